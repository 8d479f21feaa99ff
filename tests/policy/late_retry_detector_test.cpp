// LateRetryDetector: which requests are late retries of their clients.
#include "policy/late_retry_detector.hpp"

#include "support/driver.hpp"

namespace finchstile::load_balancing::testing {
namespace {

// A client's later attempt has less time left; what it spent before no longer earns.
TEST(LateRetryDetector, RejectsRetryPastItsObjective) {
  Driver d(makeSettings(), 6);
  d.warmUp(0, 30);
  const RequestId id = d.request(0, milliseconds(500));  // 500 of 1000 ms spent, the aim is 400
  EXPECT_TRUE(d.refused(id));
}

// A client's last attempt gets all that is left of its wait, often more than its first ones. Taken for the
// typical time, it would make every first attempt look late.
TEST(LateRetryDetector, LongLastAttemptDoesNotMakeFirstOnesLate) {
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

// Clients that turn impatient, many at once, are no late retries.
TEST(LateRetryDetector, ServesCrowdOfImpatientClients) {
  Driver d(makeSettings());
  d.warmUp(1, 60, milliseconds(5));
  int refused = 0;
  for (int i = 0; i < 200; ++i) {  // times all of their own
    refused += d.refused(d.request(1, milliseconds(150 + 7 * (i % 20))));
    d.advance(milliseconds(20));
    while (!d.out.empty()) d.serve(SentAttempt(d.out.front()));
  }
  EXPECT_LT(refused, 20);
}

TEST(LateRetryDetector, TimeSpentIsWhatIsMissingFromTheClientsWait) {
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
