// The instants of a drain, over the whole grid of deadlines, settings and lags.
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
            Plan plan(kTold, {longest, serveFor, shared});
            plan.onLag(lag);
            SCOPED_TRACE("longest " + std::to_string(longest.count()) + " serve " +
                         std::to_string(serveFor.count()) + " shared " + std::to_string(shared) + " lag " +
                         std::to_string(lag.count()));
            check(plan, longest, serveFor, shared, lag);
          }
  }
};

TEST_F(DrainGrid, TheInstantsFollowOneAnother) {
  each([](const Plan& p, Duration, Duration, bool, Duration) {
    EXPECT_LE(kTold, p.serveUntil());
    EXPECT_LE(p.serveUntil(), p.closeListener());
    EXPECT_LE(p.acceptUntil(), p.closeListener());
    EXPECT_LT(p.closeListener(), p.lastCall());
    EXPECT_LT(p.lastCall(), p.exit());
    EXPECT_LT(p.exit(), p.kill());
  });
}

// The protocol's words: the longest deadline, 3 s at most, and 0.7 s.
TEST_F(DrainGrid, TheKillIsThePlatforms) {
  each([](const Plan& p, Duration longest, Duration, bool, Duration) {
    EXPECT_EQ(p.kill() - kTold, std::min<Duration>(longest, seconds(3)) + milliseconds(700));
  });
}

TEST_F(DrainGrid, AFifthOfASecondIsLeftBeforeTheKillAndWhatTheLoopLags) {
  each([](const Plan& p, Duration, Duration, bool, Duration lag) {
    EXPECT_EQ(p.kill() - p.exit(), milliseconds(200) + std::min<Duration>(lag, milliseconds(200)));
  });
}

// New connections go on coming for up to 0.4 s after the signal.
TEST_F(DrainGrid, FrontsFindTheListenerForAsLongAsTheyConnect) {
  each([](const Plan& p, Duration, Duration, bool, Duration lag) {
    if (lag < milliseconds(100)) EXPECT_GE(p.acceptUntil() - kTold, milliseconds(370));
    else EXPECT_GE(p.acceptUntil() - kTold, milliseconds(200));
  });
}

// Whoever asks while connections are served on has time for an answer.
TEST_F(DrainGrid, ServingEndsHalfASecondBeforeTheLastCall) {
  each([](const Plan& p, Duration longest, Duration serveFor, bool shared, Duration lag) {
    if (p.serveUntil() > kTold) EXPECT_GE(p.lastCall() - p.serveUntil(), milliseconds(540));
    EXPECT_LE(p.serveUntil() - kTold, serveFor);
    if (shared) EXPECT_EQ(p.serveUntil(), kTold);
    if (!shared && serveFor > seconds(3) && lag == Duration{})
      EXPECT_EQ(p.serveUntil() - kTold,
                std::max<Duration>(Duration{}, std::min<Duration>(longest, seconds(3)) - milliseconds(100)));
  });
}

TEST(DrainPlan, TheWorstLagCountsAndNonsenseDoesNot) {
  Plan p(kTold, {seconds(1), hours(1), false});
  const Time calm = p.exit();
  p.onLag(-seconds(1));
  EXPECT_EQ(p.exit(), calm);
  p.onLag(milliseconds(80));
  p.onLag(milliseconds(20));
  EXPECT_EQ(calm - p.exit(), milliseconds(80));
  const Plan odd(kTold, {-seconds(5), -seconds(1), false});
  EXPECT_EQ(odd.kill(), kTold + milliseconds(700));
  EXPECT_EQ(odd.serveUntil(), kTold);
}

}  // namespace
}  // namespace finchstile::drain
