#include "cross_zone/cross_zone_budget.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <vector>

namespace finchstile::cross_zone {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

CrossZoneSettings settings(double rate, double reserve = 0.5) {
  CrossZoneSettings s;
  s.enabled = true;
  s.bytesPerSecond = rate;
  s.window = seconds(10);
  s.reserveFraction = reserve;
  return s;
}

TEST(CrossZoneBudget, AccumulatesOneWindowAtMost) {
  CrossZoneBudget budget(settings(1000), 12, seconds(100));
  EXPECT_DOUBLE_EQ(budget.balanceFraction(seconds(5000)), 1);
  budget.charge(seconds(5000), 4000);
  EXPECT_DOUBLE_EQ(budget.balanceFraction(seconds(5000)), 0.6);
  EXPECT_DOUBLE_EQ(budget.balanceFraction(seconds(5002)), 0.8);
  EXPECT_DOUBLE_EQ(budget.balanceFraction(seconds(4000)),
                   0.8);  // a clock that steps back does not drain the bucket
}

// A `cut-plan` of weight 12 competes with bookings of weight 1.
TEST(CrossZoneBudget, KeepsTheReserveForTheHighestPriorityWeight) {
  CrossZoneBudget budget(settings(1000), 12, seconds(0));
  EXPECT_TRUE(budget.allows(seconds(0), 12));
  EXPECT_TRUE(budget.allows(seconds(0), 1));
  budget.charge(seconds(0), 5300);            // leaves 0.47
  EXPECT_TRUE(budget.allows(seconds(0), 1));  // needs more than 0.5 x 11/12 = 0.458
  budget.charge(seconds(0), 200);
  EXPECT_FALSE(budget.allows(seconds(0), 1));
  EXPECT_TRUE(budget.allows(seconds(0), 12));
  budget.charge(seconds(0), 4500);  // leaves a balance of 0
  EXPECT_FALSE(budget.allows(seconds(0), 12));
}

TEST(CrossZoneBudget, PaysBackOverdraftForOneWindowAtMost) {
  CrossZoneBudget budget(settings(1000), 12, seconds(0));
  budget.charge(seconds(0), 1e9);  // as after the failure of a zone
  EXPECT_DOUBLE_EQ(budget.balanceFraction(seconds(0)), -1);
  EXPECT_FALSE(budget.allows(seconds(10), 12));
  EXPECT_TRUE(budget.allows(seconds(10) + milliseconds(1), 12));
}

TEST(CrossZoneBudget, AllowsNothingWithoutARate) {
  CrossZoneBudget budget(settings(0), 12, seconds(0));
  EXPECT_FALSE(budget.allows(seconds(100), 12));
  budget.charge(seconds(100), 10);
  EXPECT_EQ(budget.balanceFraction(seconds(100)), 0);
}

TEST(CrossZoneBudget, AllowsAllClassesEquallyWithoutPriorityWeights) {
  CrossZoneBudget budget(settings(1000), 0, seconds(0));
  budget.charge(seconds(0), 9999);
  EXPECT_TRUE(budget.allows(seconds(0), 0));
}

// The bound that cross_zone_budget.hpp states, for any interval and any request sizes.
TEST(CrossZoneBudget, BoundsChargedBytesOverAnyInterval) {
  for (std::uint32_t seed = 0; seed < 60; ++seed) {
    std::mt19937 random(seed);
    CrossZoneBudget budget(settings(1000, (seed % 3) / 2.0), 12, seconds(0));
    std::vector<std::pair<Time, double>> taken;
    Time now{};
    for (int i = 0; i < 1500; ++i) {
      now += milliseconds(random() % 200);
      if (!budget.allows(now, random() % 2 ? 12 : 1)) continue;
      const double bytes = random() % 10 == 0 ? random() % 9000 : random() % 400;  // each below the capacity
      budget.charge(now, bytes);
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
