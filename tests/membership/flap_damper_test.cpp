// Suppression and release of flapping hosts.
#include "membership/flap_damper.hpp"

#include <gtest/gtest.h>

namespace finchstile::membership {
namespace {

using std::chrono::seconds;

TEST(FlapDamper, SuppressesAtTheLimitAndReleasesAtHalfOfIt) {
  FlapDamper damper(4, seconds(5));
  FlapState state;
  const Time now = seconds(100);
  for (int i = 0; i < 3; ++i) EXPECT_FALSE(damper.onDeparture("a", state, now));
  EXPECT_FALSE(damper.nextRelease());
  EXPECT_TRUE(damper.onDeparture("a", state, now));
  EXPECT_TRUE(state.suppressed);
  ASSERT_TRUE(damper.nextRelease());
  EXPECT_EQ(*damper.nextRelease(), now + seconds(5));  // the count falls from 4 to 2 in one half-life
  EXPECT_FALSE(damper.takeReleasable(now + seconds(4)));
  EXPECT_EQ(damper.takeReleasable(now + seconds(5)), "a");
  damper.release(state, now + seconds(5));
  EXPECT_FALSE(state.suppressed);
  EXPECT_DOUBLE_EQ(state.count, 2);
  EXPECT_FALSE(damper.nextRelease());
}

TEST(FlapDamper, CountHalvesEveryHalfLife) {
  FlapDamper damper(4, seconds(5));
  FlapState state;
  damper.onDeparture("a", state, seconds(100));
  EXPECT_DOUBLE_EQ(damper.currentCount(state, seconds(100)), 1);
  EXPECT_DOUBLE_EQ(damper.currentCount(state, seconds(105)), 0.5);
  EXPECT_DOUBLE_EQ(damper.currentCount(state, seconds(115)), 0.125);
}

TEST(FlapDamper, ReportsOnlyTheStartOfASuppression) {
  FlapDamper damper(1, seconds(5));
  FlapState state;
  EXPECT_TRUE(damper.onDeparture("a", state, seconds(100)));
  EXPECT_FALSE(damper.onDeparture("a", state, seconds(101)));
}

}  // namespace
}  // namespace finchstile::membership
