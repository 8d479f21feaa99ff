#include "hook/hook_health.hpp"

#include <gtest/gtest.h>

namespace finchstile::hook {
namespace {

using Admission = HookHealth::Admission;
using std::chrono::milliseconds;
using std::chrono::seconds;

struct HookHealthTest : ::testing::Test {
  FaultPolicy policy{2, seconds(10), seconds(1), seconds(3)};
  HookHealth health;
  Time now = std::chrono::hours(1);

  Admission admit() { return health.admitRun(now, policy); }
  std::optional<HookHealth::Suspension> fault() { return health.recordFault(now, policy); }
};

TEST_F(HookHealthTest, SuspendsAfterTheMaximumOfFaultsWithinTheWindow) {
  EXPECT_EQ(admit(), Admission::active);
  EXPECT_FALSE(fault());
  now += seconds(10);
  const auto suspension = fault();
  ASSERT_TRUE(suspension);
  EXPECT_EQ(suspension->duration, seconds(1));
  EXPECT_FALSE(suspension->onTrial);
  EXPECT_TRUE(health.isSuspended(now));
  EXPECT_EQ(health.suspendedFor(now + milliseconds(400)), milliseconds(600));
  EXPECT_EQ(health.suspendedFor(now + seconds(2)), Duration{});
  EXPECT_EQ(admit(), Admission::suspended);
}

TEST_F(HookHealthTest, IgnoresFaultsThatAreFartherApartThanTheWindow) {
  EXPECT_FALSE(fault());
  now += seconds(10) + milliseconds(1);
  EXPECT_FALSE(fault());
}

TEST_F(HookHealthTest, DoublesTheBackoffForAFaultOnTrialUpToItsMaximum) {
  fault();
  fault();
  for (const Duration expected : {seconds(2), seconds(3), seconds(3)}) {
    now += seconds(3);
    EXPECT_EQ(admit(), Admission::trialBegins);
    EXPECT_EQ(admit(), Admission::active);
    const auto suspension = fault();
    ASSERT_TRUE(suspension);
    EXPECT_TRUE(suspension->onTrial);
    EXPECT_EQ(suspension->duration, expected);
  }
}

TEST_F(HookHealthTest, ResetsTheBackoffAfterATrialLongerThanTheWindow) {
  fault();
  fault();
  now += seconds(1);
  EXPECT_EQ(admit(), Admission::trialBegins);
  now += seconds(10) + milliseconds(1);
  EXPECT_EQ(admit(), Admission::active);
  EXPECT_FALSE(fault());
}

}  // namespace
}  // namespace finchstile::hook
