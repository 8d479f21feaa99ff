// Times of a drain, for all combinations of several deadlines, settings and lags.
#include "drain/plan.hpp"

#include <gtest/gtest.h>

namespace finchstile::drain {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time kSignalledAt = seconds(100);

struct DrainGrid : ::testing::Test {
  template <class Check>
  void forEachCase(Check check) {
    for (const Duration longestDeadline :
         {Duration{}, Duration(milliseconds(50)), Duration(milliseconds(300)), Duration(seconds(1)),
          Duration(seconds(3)), Duration(seconds(30))})
      for (const Duration maxServeTime : {Duration{}, Duration(milliseconds(200)), Duration(hours(1))})
        for (const bool sharedListener : {false, true})
          for (const Duration lag :
               {Duration{}, Duration(milliseconds(30)), Duration(milliseconds(150)), Duration(seconds(5))}) {
            DrainPlan plan(kSignalledAt, {longestDeadline, maxServeTime, sharedListener});
            plan.onLag(lag);
            SCOPED_TRACE("longest " + std::to_string(longestDeadline.count()) + " serve " +
                         std::to_string(maxServeTime.count()) + " shared " + std::to_string(sharedListener) +
                         " lag " + std::to_string(lag.count()));
            check(plan, longestDeadline, maxServeTime, sharedListener, lag);
          }
  }
};

TEST_F(DrainGrid, TimesAreOrdered) {
  forEachCase([](const DrainPlan& drainPlan, Duration, Duration, bool, Duration) {
    EXPECT_LE(kSignalledAt, drainPlan.serveDeadline());
    EXPECT_LE(drainPlan.serveDeadline(), drainPlan.listenerCloseTime());
    EXPECT_LE(drainPlan.acceptDeadline(), drainPlan.listenerCloseTime());
    EXPECT_LT(drainPlan.listenerCloseTime(), drainPlan.finalResponseTime());
    EXPECT_LT(drainPlan.finalResponseTime(), drainPlan.exitTime());
    EXPECT_LT(drainPlan.exitTime(), drainPlan.killTime());
  });
}

// The platform kills the process after the longest deadline, limited to 3 s, plus 0.7 s.
TEST_F(DrainGrid, KillTimeIsTheLimitedLongestDeadlinePlusTheKillDelay) {
  forEachCase([](const DrainPlan& drainPlan, Duration longestDeadline, Duration, bool, Duration) {
    EXPECT_EQ(drainPlan.killTime() - kSignalledAt,
              std::min<Duration>(longestDeadline, seconds(3)) + milliseconds(700));
  });
}

TEST_F(DrainGrid, ExitLeavesMarginAndLagBeforeKill) {
  forEachCase([](const DrainPlan& drainPlan, Duration, Duration, bool, Duration lag) {
    EXPECT_EQ(drainPlan.killTime() - drainPlan.exitTime(),
              milliseconds(200) + std::min<Duration>(lag, milliseconds(200)));
  });
}

// New connections arrive for up to 0.4 s after the signal.
TEST_F(DrainGrid, ListenerAcceptsWhileLoadBalancersConnect) {
  forEachCase([](const DrainPlan& drainPlan, Duration, Duration, bool, Duration lag) {
    if (lag < milliseconds(100)) EXPECT_GE(drainPlan.acceptDeadline() - kSignalledAt, milliseconds(370));
    else EXPECT_GE(drainPlan.acceptDeadline() - kSignalledAt, milliseconds(200));
  });
}

// A request that arrives before serveDeadline has time for a response.
TEST_F(DrainGrid, ServingEndsHalfASecondBeforeFinalResponses) {
  forEachCase([](const DrainPlan& drainPlan, Duration longestDeadline, Duration maxServeTime,
                 bool sharedListener, Duration lag) {
    if (drainPlan.serveDeadline() > kSignalledAt)
      EXPECT_GE(drainPlan.finalResponseTime() - drainPlan.serveDeadline(), milliseconds(540));
    EXPECT_LE(drainPlan.serveDeadline() - kSignalledAt, maxServeTime);
    if (sharedListener) EXPECT_EQ(drainPlan.serveDeadline(), kSignalledAt);
    if (!sharedListener && maxServeTime > seconds(3) && lag == Duration{})
      EXPECT_EQ(drainPlan.serveDeadline() - kSignalledAt,
                std::max<Duration>(Duration{},
                                   std::min<Duration>(longestDeadline, seconds(3)) - milliseconds(100)));
  });
}

TEST(DrainPlan, UsesLargestLagAndIgnoresNegativeOnes) {
  DrainPlan drainPlan(kSignalledAt, {seconds(1), hours(1), false});
  const Time exitWithoutLag = drainPlan.exitTime();
  drainPlan.onLag(-seconds(1));
  EXPECT_EQ(drainPlan.exitTime(), exitWithoutLag);
  drainPlan.onLag(milliseconds(80));
  drainPlan.onLag(milliseconds(20));
  EXPECT_EQ(exitWithoutLag - drainPlan.exitTime(), milliseconds(80));
  const DrainPlan negativeSettings(kSignalledAt, {-seconds(5), -seconds(1), false});
  EXPECT_EQ(negativeSettings.killTime(), kSignalledAt + milliseconds(700));
  EXPECT_EQ(negativeSettings.serveDeadline(), kSignalledAt);
}

}  // namespace
}  // namespace finchstile::drain
