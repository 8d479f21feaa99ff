// AdmissionController: scores, Retry-After, quotas.
#include "policy/admission_controller.hpp"

#include <cmath>
#include <random>

#include "support/driver.hpp"

namespace finchstile::load_balancing::testing {
namespace {

TEST(AdmissionController, RejectsLowPriorityBeforeHighPriority) {
  Driver d(makeSettings(), 10);
  int low = 0, high = 0;
  std::mt19937 engine(3);
  for (int i = 0; i < 400; ++i) {
    const std::uint32_t cls = engine() % 4 == 0 ? 0 : 1;
    const RequestId id = d.request(cls);
    if (d.out.size() > 44) d.serve(SentAttempt(d.out[engine() % d.out.size()]));
    if (d.balancer.admissionCutoff() > 60) continue;  // high worth holds the top quarter of the scores
    low += cls == 1 && d.refused(id);
    high += cls == 0 && d.refused(id);
  }
  EXPECT_GT(low, 10);
  EXPECT_EQ(high, 0);
}

TEST(AdmissionController, EqualPrioritiesShareTheLoss) {
  Settings s = makeSettings();
  Driver d(s, 10);
  std::map<std::uint32_t, int> refused;
  std::mt19937 engine(5);
  for (int i = 0; i < 12000; ++i) {
    const std::uint32_t cls = 1 + engine() % 2;
    const RequestId id = d.request(cls);
    refused[cls] += d.refused(id);
    if (d.out.size() > 42) d.serve(SentAttempt(d.out[engine() % d.out.size()]));
  }
  EXPECT_GT(refused[1], 50);
  EXPECT_LT(std::abs(refused[1] - refused[2]), (refused[1] + refused[2]) / 3);
}

TEST(AdmissionController, RetryAfterGrowsAsScoreFallsIfEnabled) {
  for (bool received : {true, false}) {
    Settings s = makeSettings();
    s.retryAfterEnabled = received;
    s.maxRetryAfter = milliseconds(1000);
    Driver d(s, 10);
    double sums[2] = {0, 0};
    int counts[2] = {0, 0};
    for (int i = 0; i < 2000; ++i) {
      const std::uint32_t cls = i % 2;
      const RequestId id = d.request(cls);
      if (!d.refused(id)) continue;
      ++counts[cls];
      sums[cls] += static_cast<double>(d.retryAfter[id].count());
      EXPECT_LE(d.retryAfter[id], s.maxRetryAfter);
    }
    ASSERT_GT(counts[0], 0);
    ASSERT_GT(counts[1], 0);
    if (received) EXPECT_GT(sums[1] / counts[1], sums[0] / counts[0]);
    else EXPECT_EQ(sums[0] + sums[1], 0);
  }
}

// Clients that were rejected together come back together: a burst is shed by priority and has no
// after-effect.
TEST(AdmissionController, ShedsSynchronisedBurstAndRecovers) {
  Driver d(makeSettings(), 6);
  d.warmUp(0, 60);
  int high = 0;
  for (int burst = 0; burst < 5; ++burst) {
    for (int i = 0; i < 150; ++i) high += d.refused(d.request(i % 10 == 0 ? 0 : 1));
    for (int i = 0; i < 20; ++i) {
      d.advance(milliseconds(10));
      serveDue(d, [](HostId) { return Duration(milliseconds(30)); });
    }
  }
  EXPECT_GT(high, 0);
  int after = 0;
  for (int i = 0; i < 100; ++i) {
    after += d.refused(d.request(1));
    d.advance(milliseconds(10));
    serveDue(d, [](HostId) { return Duration(milliseconds(30)); });
  }
  EXPECT_EQ(after, 0);
}

TEST(AdmissionController, ScoreIsTheRankInTheRecentTraffic) {
  const Settings settings = makeSettings();
  AdmissionController admission(settings, {});
  RandomSource random(1);
  for (int i = 0; i < 100; ++i) admission.score(i % 4 == 0 ? 10 : 1, random);
  for (int i = 0; i < 100; ++i) {
    const double low = admission.score(1, random);
    EXPECT_GE(low, 1);
    EXPECT_LE(low, 88) << "three in four requests are of this level or more";
    const double high = admission.score(10, random);
    EXPECT_GE(high, 50);
    EXPECT_LE(high, 100);
  }
  EXPECT_EQ(admission.highestPriorityWeight(1), 10);
  EXPECT_EQ(admission.highestPriorityWeight(11), 11);
  EXPECT_TRUE(AdmissionController::admits(50, 50));
  EXPECT_FALSE(AdmissionController::admits(49.9, 50));
}

TEST(AdmissionController, TenantBeyondItsQuotaLosesWeight) {
  Settings settings = makeSettings();
  settings.tenants = {{"small", 1}, {"free", 0}};
  settings.overQuotaWeightFactor = 0.5;
  AdmissionController admission(settings, seconds(1));
  ActiveRequest request;
  request.objectiveAt = seconds(10);
  request.lateValueFraction = 0.25;
  for (int i = 0; i < 4; ++i) EXPECT_EQ(admission.priorityWeight(seconds(1), request, 8, 0), 8);
  EXPECT_EQ(admission.priorityWeight(seconds(1), request, 8, 0), 4);
  EXPECT_EQ(admission.priorityWeight(seconds(2), request, 8, 0), 8) << "one token a second";
  EXPECT_EQ(admission.priorityWeight(seconds(10), request, 8, 1), 2) << "late, without a quota";
}

}  // namespace
}  // namespace finchstile::load_balancing::testing
