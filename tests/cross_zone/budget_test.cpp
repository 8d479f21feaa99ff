#include "cross_zone/budget.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <vector>

namespace finchstile::cross_zone {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

CrossingSettings settings(double rate, double reserve = 0.5) {
  CrossingSettings s;
  s.enabled = true;
  s.bytesPerSecond = rate;
  s.window = seconds(10);
  s.reserve = reserve;
  return s;
}

TEST(Budget, WhatIsSavedUpIsOneWindowAtTheMost) {
  Budget b(settings(1000), 12, seconds(100));
  EXPECT_DOUBLE_EQ(b.level(seconds(5000)), 1);
  b.charge(seconds(5000), 4000);
  EXPECT_DOUBLE_EQ(b.level(seconds(5000)), 0.6);
  EXPECT_DOUBLE_EQ(b.level(seconds(5002)), 0.8);
  EXPECT_DOUBLE_EQ(b.level(seconds(4000)), 0.8);  // a clock that steps back takes nothing
}

// A `cut-plan`, worth 12, competes with cheap bookings.
TEST(Budget, TheWorthiestMayUseItUpAndTheCheapestLeaveTheReserve) {
  Budget b(settings(1000), 12, seconds(0));
  EXPECT_TRUE(b.allows(seconds(0), 12));
  EXPECT_TRUE(b.allows(seconds(0), 1));
  b.charge(seconds(0), 5300);            // 0.47 left
  EXPECT_TRUE(b.allows(seconds(0), 1));  // needs more than 0.5 x 11/12 = 0.458
  b.charge(seconds(0), 200);
  EXPECT_FALSE(b.allows(seconds(0), 1));
  EXPECT_TRUE(b.allows(seconds(0), 12));
  b.charge(seconds(0), 4500);  // nothing left
  EXPECT_FALSE(b.allows(seconds(0), 12));
}

TEST(Budget, WhatWasUsedBeyondIsPaidBackForOneWindowAtTheMost) {
  Budget b(settings(1000), 12, seconds(0));
  b.charge(seconds(0), 1e9);  // a zone was lost for an hour
  EXPECT_DOUBLE_EQ(b.level(seconds(0)), -1);
  EXPECT_FALSE(b.allows(seconds(10), 12));
  EXPECT_TRUE(b.allows(seconds(10) + milliseconds(1), 12));
}

TEST(Budget, WithoutARateNothingMayCross) {
  Budget b(settings(0), 12, seconds(0));
  EXPECT_FALSE(b.allows(seconds(100), 12));
  b.charge(seconds(100), 10);
  EXPECT_EQ(b.level(seconds(100)), 0);
}

TEST(Budget, WhereNothingIsWorthAnythingAllAreAlike) {
  Budget b(settings(1000), 0, seconds(0));
  b.charge(seconds(0), 9999);
  EXPECT_TRUE(b.allows(seconds(0), 0));
}

// The bound of the header, over any stretch of time, whatever the sizes.
TEST(Budget, OverAnyTimeItKeepsToTheRate) {
  for (std::uint32_t seed = 0; seed < 60; ++seed) {
    std::mt19937 dice(seed);
    Budget b(settings(1000, (seed % 3) / 2.0), 12, seconds(0));
    std::vector<std::pair<Time, double>> taken;
    Time now{};
    for (int i = 0; i < 1500; ++i) {
      now += milliseconds(dice() % 200);
      if (!b.allows(now, dice() % 2 ? 12 : 1)) continue;
      const double bytes = dice() % 10 == 0 ? dice() % 9000 : dice() % 400;  // all below one window's worth
      b.charge(now, bytes);
      taken.emplace_back(now, bytes);
    }
    for (std::size_t from = 0; from < taken.size(); from += 7) {
      double sum = 0;
      for (std::size_t to = from; to < taken.size(); ++to) {
        sum += taken[to].second;
        const double time = std::chrono::duration<double>(taken[to].first - taken[from].first).count();
        ASSERT_LE(sum, 1000 * (time + 20) + 1e-6) << seed;
      }
    }
    EXPECT_GT(taken.size(), 50u);
  }
}

}  // namespace
}  // namespace finchstile::cross_zone
