// The file that is shared by the processes of a gateway.
#include "ops/state_file.hpp"

#include <gtest/gtest.h>

#include "support/process.hpp"

namespace finchstile::ops {
namespace {

TEST(StateFileTest, ReturnsEachChangeByAnotherProcessOnce) {
  const testing::TemporaryDirectory folder;
  StateFile firstProcess(folder / "s"), secondProcess(folder / "s");
  EXPECT_FALSE(firstProcess.readIfChanged());
  ASSERT_TRUE(firstProcess.write("first"));
  EXPECT_FALSE(firstProcess.readIfChanged());  // its own change
  EXPECT_EQ(secondProcess.readIfChanged(), "first");
  EXPECT_FALSE(secondProcess.readIfChanged());
  ASSERT_TRUE(
      secondProcess.write("other"));  // of the same size, and possibly with the same modification time
  EXPECT_EQ(firstProcess.readIfChanged(), "other");
  StateFile unwritable(folder / "missing/s");
  EXPECT_FALSE(unwritable.write("x"));
  EXPECT_FALSE(unwritable.readIfChanged());
}

}  // namespace
}  // namespace finchstile::ops
