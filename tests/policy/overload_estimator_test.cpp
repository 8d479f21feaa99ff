// OverloadEstimator: the admission cutoff by requests in flight and by errors.
#include "policy/overload_estimator.hpp"

#include <algorithm>
#include <cmath>

#include "support/driver.hpp"

namespace finchstile::load_balancing::testing {
namespace {

TEST(OverloadEstimator, CutoffIsZeroBelowThresholdThenCubic) {
  Driver d(makeSettings(), 10);  // initial limit: 6 per host plus 2, so 62
  bool rose = false, zero = false;
  double smooth = 0;
  for (int i = 0; i < 300; ++i) {
    const double inFlight = static_cast<double>(d.out.size());
    const std::size_t before = d.out.size();
    d.request(0);
    smooth += 0.05 * (inFlight - smooth);
    const double x = std::clamp((smooth / 62 - 0.5) / 0.5, 0.0, 1.0);
    zero |= x == 0 && smooth > 15;
    EXPECT_NEAR(d.balancer.admissionCutoff(), 100 * x * x * x, 1e-6) << "at " << before;
    rose |= d.balancer.admissionCutoff() > 5;
  }
  EXPECT_TRUE(rose);
  EXPECT_TRUE(zero);
}

TEST(OverloadEstimator, PoolErrorsRaiseCutoffUntilRecovery) {
  Driver d(makeSettings());
  d.warmUp(0, 60);
  for (int i = 0; i < 60; ++i) {
    d.request(1);
    d.advance(milliseconds(20));
    while (!d.out.empty()) d.settle(SentAttempt(d.out.front()), Outcome::error, false);
  }
  EXPECT_GT(d.balancer.admissionCutoff(), 1);
  d.warmUp(0, 200);
  EXPECT_EQ(d.balancer.admissionCutoff(), 0);
}

// The in-flight limit follows a pool that loses most of its hosts while traffic decreases in proportion.
TEST(OverloadEstimator, RejectsNothingWhenFleetAndTrafficShrinkAlike) {
  Driver d(makeSettings(), 8);
  int refused = 0;
  for (int phase = 0; phase < 3; ++phase) {
    std::vector<HostEntry> list;
    for (int i = 0; i < (8 >> phase); ++i) list.push_back(makeHost(i));
    d.balancer.onHostListUpdate(d.now, HostListUpdate::complete, list);
    for (int i = 0; i < 300; ++i) {
      refused += d.refused(d.request(1));
      d.advance(milliseconds(5 << phase));
      serveDue(d, [](HostId) { return Duration(milliseconds(30)); });
    }
  }
  EXPECT_EQ(refused, 0);
}

// The in-flight limit is derived from the rate of answers; after a collapse it must not stay near zero.
TEST(OverloadEstimator, RecoversAfterCollapse) {
  Driver d(makeSettings(), 6);
  d.warmUp(0, 100, milliseconds(20));
  for (int i = 0; i < 200; ++i) {  // no attempt is answered
    d.request(1);
    d.advance(milliseconds(20));
    serveDue(d, [](HostId) { return Duration{}; });
  }
  d.advance(seconds(2));
  serveDue(d, [](HostId) { return Duration{}; });
  int refused = 0;
  for (int i = 0; i < 400; ++i) {
    const RequestId id = d.request(1);
    if (i >= 300) refused += d.refused(id);
    d.advance(milliseconds(10));
    serveDue(d, [](HostId) { return Duration(milliseconds(30)); });
  }
  EXPECT_EQ(refused, 0);
}

// Hosts with about twice as many requests as cores slow down and stay slow while the demand lasts, so the
// pool's mean latency must stay well below the objective (400 ms here).
TEST(OverloadEstimator, RejectsBeforeMeanLatencyReachesObjective) {
  for (int time : {50, 250}) {
    Driver d(makeSettings(), 8);
    int refused = 0;
    for (int i = 0; i < 1500; ++i) {
      const RequestId id = d.request(1);
      if (i >= 500) refused += d.refused(id);
      d.advance(milliseconds(5));
      serveDue(d, [&](HostId) { return Duration(milliseconds(time)); });
    }
    if (time == 50) EXPECT_EQ(refused, 0);
    else EXPECT_GT(refused, 200);
  }
}

// When all hosts slow down together, latency exceeds the target without any queueing. A limit that follows
// the falling rate would leave the pool idle for as long as that lasts.
TEST(OverloadEstimator, SharedSlowdownDoesNotIdleThePool) {
  Driver d(makeSettings(), 8);
  d.warmUp(1, 100, milliseconds(20));
  double inFlight = 0;
  for (int i = 0; i < 4000; ++i) {
    d.request(1);
    d.advance(milliseconds(5));
    serveDue(d, [](HostId) { return Duration(milliseconds(300)); });
    if (i >= 3500) inFlight += static_cast<double>(d.out.size()) / 500;
  }
  EXPECT_GT(inFlight, 15) << "eight hosts have almost two requests each";
}

// Hosts with many cores: the concurrency reached while nothing was rejected stays allowed.
TEST(OverloadEstimator, SharedSlowdownKeepsUnloadedConcurrency) {
  Driver d(makeSettings(), 8);
  double inFlight = 0;
  for (int i = 0; i < 35000; ++i) {  // 1,000 requests per second: 60 in flight, then six times the latency
    d.request(1);
    d.advance(milliseconds(1), milliseconds(1));
    serveDue(d, [&](HostId) { return Duration(milliseconds(i < 5000 ? 60 : 360)); });
    if (i >= 30000) inFlight += static_cast<double>(d.out.size()) / 5000;
  }
  EXPECT_GT(inFlight, 40) << "the minimum of two per host would be sixteen";
}

// A gateway that starts during an overload has no measurements. It must neither reject nor admit everything.
TEST(OverloadEstimator, NewGatewayAdmitsFirstRequestsThenRejects) {
  Driver d(makeSettings(), 8);
  int refused = 0;
  for (int i = 0; i < 20; ++i) refused += d.refused(d.request(1));
  EXPECT_EQ(refused, 0);
  for (int i = 0; i < 300; ++i) refused += d.refused(d.request(1));
  EXPECT_GT(refused, 100);
}

// The requests in flight under the initial limit must not be taken for unloaded concurrency, or small hosts
// would stay overloaded.
TEST(OverloadEstimator, InitialLimitIsNotTakenForUnloadedConcurrency) {
  Driver d(makeSettings(), 8);
  double inFlight = 0;
  for (int i = 0; i < 20000; ++i) {
    d.request(1);
    d.advance(milliseconds(2), milliseconds(2));
    serveDue(d, [&](HostId) { return Duration(milliseconds(300)); });
    if (i >= 15000) inFlight += static_cast<double>(d.out.size()) / 5000;
  }
  EXPECT_LT(inFlight, 24.5) << "the initial limit allows twenty-five without rejections";
}

// The initial limit overloads hosts with small queues before there are measurements.
TEST(OverloadEstimator, CapacityRejectionsLowerTheInitialLimit) {
  Driver d(makeSettings(), 8);
  int refused = 0, sends = 0;
  for (int i = 0; i < 450; ++i) {
    refused += d.refused(d.request(1));
    while (++sends % 9 == 0) d.settle(d.lastSent(), Outcome::rejectedForCapacity, false);
    d.advance(milliseconds(2), milliseconds(2));
    serveDue(d, [](HostId) { return Duration(milliseconds(50)); });
  }
  EXPECT_GT(refused, 20) << "25 in flight under a limit of 50, but every ninth attempt is rejected";
}

// A gateway left with a heavy class of high priority has few answers per second. Without weighting by work
// they would keep its limit at the minimum while other gateways take its share.
TEST(OverloadEstimator, GatewayLeftWithHeavyRequestsRecoversItsLimit) {
  Settings settings = makeSettings();
  settings.gatewayCount = 4;
  Driver d(settings, 8);
  std::map<RequestId, bool> heavy;
  int refused = 0;
  for (int i = 0; i < 20000; ++i) {  // 100 heavy and 400 light requests per second
    const bool isHeavy = i % 5 == 0;
    const RequestId id = d.request(isHeavy ? 0 : 1);
    heavy[id] = isHeavy;
    d.advance(milliseconds(2), milliseconds(2));
    const int slow = i > 1000 && i < 16000 ? 4 : 1;  // thirty seconds
    for (std::size_t k = 0; k < d.out.size();) {
      const SentAttempt s = d.out[k];
      if (d.now - s.at >= slow * milliseconds(heavy[s.request] ? 190 : 95)) d.serve(s);
      else if (d.now - s.at >= s.limit) d.settle(s, Outcome::timeout, false);
      else ++k;
    }
    if (i >= 19000 && isHeavy) refused += d.refused(id);
  }
  EXPECT_LE(refused, 50) << "of two hundred heavy requests, six seconds after the slowdown";
}

// Overloaded hosts stay slow for long. Their capacity rejections lower the limit well before the error
// overload does.
TEST(OverloadEstimator, CapacityRejectionsLowerTheLimit) {
  int refused[2] = {0, 0};
  for (int round : {0, 1}) {
    Driver d(makeSettings(), 8);
    int sends = 0;
    for (int i = 0; i < 3000; ++i) {
      const RequestId id = d.request(1);
      if (i >= 1000) refused[round] += d.refused(id);
      while (round == 1 && ++sends % 15 == 0) d.settle(d.lastSent(), Outcome::rejectedForCapacity, false);
      d.advance(milliseconds(5));
      serveDue(d, [&](HostId) { return Duration(milliseconds(90)); });
    }
  }
  EXPECT_LT(refused[0], 100);
  EXPECT_GT(refused[1], 3 * refused[0] + 100) << "7 percent of rejections are far below the error threshold";
}

TEST(OverloadEstimator, FewErrorsAreNoOverload) {
  Driver d(makeSettings(), 3);
  for (int i = 0; i < 20; ++i) {
    const RequestId id = d.request(1);
    EXPECT_FALSE(d.refused(id));
    d.advance(milliseconds(700));
    while (!d.out.empty())
      d.settle(SentAttempt(d.out.front()), i % 4 == 0 ? Outcome::error : Outcome::served, i % 4 != 0);
  }
}

TEST(OverloadEstimator, LostAttemptsAreNoLoad) {
  Driver d(makeSettings(), 4);
  LossyPool pool(d);
  pool.play(200, 0);
  double maxCutoff = 0;
  for (int i = 0; i < 40; ++i) {
    pool.play(10, 4);
    if (i >= 10) maxCutoff = std::max(maxCutoff, d.balancer.admissionCutoff());
  }
  EXPECT_LT(maxCutoff, 10);
}

TEST(OverloadEstimator, CubicCutoffIsBounded) {
  EXPECT_EQ(cubicCutoff(-1), 0);
  EXPECT_EQ(cubicCutoff(0), 0);
  EXPECT_EQ(cubicCutoff(0.5), 12.5);
  EXPECT_EQ(cubicCutoff(1), 100);
  EXPECT_EQ(cubicCutoff(7), 100);
}

}  // namespace
}  // namespace finchstile::load_balancing::testing
