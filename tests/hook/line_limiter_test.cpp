#include "hook/line_limiter.hpp"

#include <gtest/gtest.h>

namespace finchstile::hook {
namespace {

using load_balancing::Time;
using std::chrono::seconds;

TEST(LineLimiter, AdmitsABurstAndThenOneLineASecond) {
  LineLimiter limiter;
  const Time now = seconds(100);
  for (int i = 0; i < 5; ++i) EXPECT_EQ(limiter.admit(now), std::optional<std::uint64_t>(0));
  EXPECT_FALSE(limiter.admit(now));
  EXPECT_FALSE(limiter.admit(now));
  EXPECT_EQ(limiter.admit(now + seconds(1)), std::optional<std::uint64_t>(2));
  EXPECT_FALSE(limiter.admit(now + seconds(1)));
}

TEST(LineLimiter, AdmitsAGuaranteedLineAfterTheBurst) {
  LineLimiter limiter;
  const Time now = seconds(100);
  for (int i = 0; i < 6; ++i) limiter.admit(now);
  limiter.guaranteeNext();
  EXPECT_EQ(limiter.admit(now), std::optional<std::uint64_t>(1));
}

}  // namespace
}  // namespace finchstile::hook
