#include "trace/line_rate_limiter.hpp"

#include <gtest/gtest.h>

namespace finchstile::trace {
namespace {

using namespace std::chrono_literals;

TEST(LineRateLimiter, CountsLinesBeyondTheRateAsDropped) {
  LineRateLimiter limiter(10, load_balancing::Time(1s));
  int acquired = 0;
  for (int i = 0; i < 25; ++i) acquired += limiter.tryAcquire(load_balancing::Time(1s));
  EXPECT_EQ(acquired, 10);
  EXPECT_EQ(limiter.takeDropped(), 15u);
  EXPECT_EQ(limiter.takeDropped(), 0u);
  acquired = 0;
  for (int i = 0; i < 5; ++i) acquired += limiter.tryAcquire(load_balancing::Time(1300ms));
  EXPECT_EQ(acquired, 3);
  limiter.recordDropped(4);
  EXPECT_EQ(limiter.takeDropped(), 6u);
}

TEST(LineRateLimiter, AddsNoTokensWhenTheClockStepsBack) {
  LineRateLimiter limiter(1, load_balancing::Time(10s));
  EXPECT_TRUE(limiter.tryAcquire(load_balancing::Time(10s)));
  EXPECT_FALSE(limiter.tryAcquire(load_balancing::Time(5s)));
  EXPECT_FALSE(limiter.tryAcquire(load_balancing::Time(10s)));
  EXPECT_TRUE(limiter.tryAcquire(load_balancing::Time(11s)));
}

}  // namespace
}  // namespace finchstile::trace
