// The file that the processes of a gateway share.
#include "ops/state_file.hpp"

#include <gtest/gtest.h>

#include "support/process.hpp"

namespace finchstile::ops {
namespace {

TEST(StateFileTest, ReturnsEachChangeByAnotherProcessOnce) {
  const testing::TemporaryDirectory folder;
  StateFile one(folder / "s"), two(folder / "s");
  EXPECT_FALSE(one.readIfChanged());
  ASSERT_TRUE(one.write("first"));
  EXPECT_FALSE(one.readIfChanged());  // its own change
  EXPECT_EQ(two.readIfChanged(), "first");
  EXPECT_FALSE(two.readIfChanged());
  ASSERT_TRUE(two.write("other"));  // of the same size, and perhaps in the same instant
  EXPECT_EQ(one.readIfChanged(), "other");
  StateFile nowhere(folder / "missing/s");
  EXPECT_FALSE(nowhere.write("x"));
  EXPECT_FALSE(nowhere.readIfChanged());
}

}  // namespace
}  // namespace finchstile::ops
