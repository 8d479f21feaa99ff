// The times of a drain, for a grid of deadlines, settings and lags.
#include "drain/plan.hpp"

#include <gtest/gtest.h>

namespace finchstile::drain {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time kTold = seconds(100);

struct DrainGrid : ::testing::Test {
  template <class Check>
  void each(Check check) {
    for (const Duration longest : {Duration{}, Duration(milliseconds(50)), Duration(milliseconds(300)),
                                   Duration(seconds(1)), Duration(seconds(3)), Duration(seconds(30))})
      for (const Duration serveFor : {Duration{}, Duration(milliseconds(200)), Duration(hours(1))})
        for (const bool shared : {false, true})
          for (const Duration lag :
               {Duration{}, Duration(milliseconds(30)), Duration(milliseconds(150)), Duration(seconds(5))}) {
            DrainPlan plan(kTold, {longest, serveFor, shared});
            plan.onLag(lag);
            SCOPED_TRACE("longest " + std::to_string(longest.count()) + " serve " +
                         std::to_string(serveFor.count()) + " shared " + std::to_string(shared) + " lag " +
                         std::to_string(lag.count()));
            check(plan, longest, serveFor, shared, lag);
          }
  }
};

TEST_F(DrainGrid, TimesAreOrdered) {
  each([](const DrainPlan& p, Duration, Duration, bool, Duration) {
    EXPECT_LE(kTold, p.serveDeadline());
    EXPECT_LE(p.serveDeadline(), p.listenerCloseTime());
    EXPECT_LE(p.acceptDeadline(), p.listenerCloseTime());
    EXPECT_LT(p.listenerCloseTime(), p.finalResponseTime());
    EXPECT_LT(p.finalResponseTime(), p.exitTime());
    EXPECT_LT(p.exitTime(), p.killTime());
  });
}

// The platform's rule: the longest deadline, of which at most 3 s count, plus 0.7 s.
TEST_F(DrainGrid, KillTimeFollowsThePlatformsRule) {
  each([](const DrainPlan& p, Duration longest, Duration, bool, Duration) {
    EXPECT_EQ(p.killTime() - kTold, std::min<Duration>(longest, seconds(3)) + milliseconds(700));
  });
}

TEST_F(DrainGrid, ExitLeavesMarginAndLagBeforeKill) {
  each([](const DrainPlan& p, Duration, Duration, bool, Duration lag) {
    EXPECT_EQ(p.killTime() - p.exitTime(), milliseconds(200) + std::min<Duration>(lag, milliseconds(200)));
  });
}

// New connections come for up to 0.4 s after the signal.
TEST_F(DrainGrid, ListenerAcceptsWhileLoadBalancersConnect) {
  each([](const DrainPlan& p, Duration, Duration, bool, Duration lag) {
    if (lag < milliseconds(100)) EXPECT_GE(p.acceptDeadline() - kTold, milliseconds(370));
    else EXPECT_GE(p.acceptDeadline() - kTold, milliseconds(200));
  });
}

// A request that comes while connections are served has time for a response.
TEST_F(DrainGrid, ServingEndsHalfASecondBeforeFinalResponses) {
  each([](const DrainPlan& p, Duration longest, Duration serveFor, bool shared, Duration lag) {
    if (p.serveDeadline() > kTold) EXPECT_GE(p.finalResponseTime() - p.serveDeadline(), milliseconds(540));
    EXPECT_LE(p.serveDeadline() - kTold, serveFor);
    if (shared) EXPECT_EQ(p.serveDeadline(), kTold);
    if (!shared && serveFor > seconds(3) && lag == Duration{})
      EXPECT_EQ(p.serveDeadline() - kTold,
                std::max<Duration>(Duration{}, std::min<Duration>(longest, seconds(3)) - milliseconds(100)));
  });
}

TEST(DrainPlan, UsesWorstLagAndIgnoresNegativeOnes) {
  DrainPlan p(kTold, {seconds(1), hours(1), false});
  const Time calm = p.exitTime();
  p.onLag(-seconds(1));
  EXPECT_EQ(p.exitTime(), calm);
  p.onLag(milliseconds(80));
  p.onLag(milliseconds(20));
  EXPECT_EQ(calm - p.exitTime(), milliseconds(80));
  const DrainPlan odd(kTold, {-seconds(5), -seconds(1), false});
  EXPECT_EQ(odd.killTime(), kTold + milliseconds(700));
  EXPECT_EQ(odd.serveDeadline(), kTold);
}

}  // namespace
}  // namespace finchstile::drain
