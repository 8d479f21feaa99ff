// LateRetryDetector: detection of late retries by the time that the client has left.
#include "policy/late_retry_detector.hpp"

#include "support/driver.hpp"

namespace finchstile::load_balancing::testing {
namespace {

// A retry has less time left, and the time spent before counts against its objective.
TEST(LateRetryDetector, RejectsRetryPastItsObjective) {
  Driver d(makeSettings(), 6);
  d.warmUp(0, 30);
  const RequestId id = d.request(0, milliseconds(500));  // 500 of 1000 ms spent; the objective is 400 ms
  EXPECT_TRUE(d.refused(id));
}

// A client gives its last attempt all of its remaining wait, often more than its first ones. If that became
// the typical time left, every first attempt would look late.
TEST(LateRetryDetector, LongLastAttemptsDoNotMakeFirstAttemptsLate) {
  Driver d(makeSettings(), 6);
  for (int i = 0; i < 60; ++i) {
    d.request(0, i % 4 == 3 ? milliseconds(950) : milliseconds(600));
    const SentAttempt s = d.lastSent();
    if (i > 20) EXPECT_GE(s.limit, i % 4 == 3 ? milliseconds(320) : milliseconds(380)) << i;
    if (i > 20 && i % 4 == 3) EXPECT_LE(s.limit, milliseconds(350)) << "50 ms were spent before";
    d.advance(milliseconds(30));
    d.serve(s);
  }
}

// Many clients that shorten their timeouts at once are not taken for late retries.
TEST(LateRetryDetector, ManyClientsWithShortTimeoutsAreNotLateRetries) {
  Driver d(makeSettings());
  d.warmUp(1, 60, milliseconds(5));
  int refused = 0;
  for (int i = 0; i < 200; ++i) {  // 20 different timeouts
    refused += d.refused(d.request(1, milliseconds(150 + 7 * (i % 20))));
    d.advance(milliseconds(20));
    while (!d.out.empty()) d.serve(SentAttempt(d.out.front()));
  }
  EXPECT_LT(refused, 20);
}

TEST(LateRetryDetector, TimeSpentIsClientTimeoutMinusTimeLeft) {
  TrafficClass trafficClass;
  trafficClass.settings = makeSettings().classes[0];
  for (int i = 0; i < 20; ++i)
    EXPECT_EQ(LateRetryDetector::timeSpentBefore(trafficClass, milliseconds(1000)), Duration{});
  EXPECT_EQ(LateRetryDetector::timeSpentBefore(trafficClass, milliseconds(700)), milliseconds(300));
  EXPECT_EQ(LateRetryDetector::timeSpentBefore(trafficClass, milliseconds(1005)), Duration{})
      << "within the tolerance of the typical time";
}

}  // namespace
}  // namespace finchstile::load_balancing::testing
