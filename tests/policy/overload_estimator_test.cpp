// OverloadEstimator: the admission cutoff by load in flight and by errors.
#include "policy/overload_estimator.hpp"

#include <algorithm>
#include <cmath>

#include "support/driver.hpp"

namespace finchstile::load_balancing::testing {
namespace {

TEST(OverloadEstimator, CutoffIsZeroBelowThresholdThenCubic) {
  Driver d(makeSettings(), 10);  // a first maximum of 6 a host and 2 over: 62
  bool rose = false, zero = false;
  double smooth = 0;
  for (int i = 0; i < 300; ++i) {
    const double held = static_cast<double>(d.out.size());
    const std::size_t before = d.out.size();
    d.request(0);
    smooth += 0.05 * (held - smooth);
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

// The learned limit follows a pool that loses most of its hosts while traffic falls alike.
TEST(OverloadEstimator, ShedsNothingWhenFleetAndTrafficShrinkAlike) {
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

// The learned limit rests on the rate of answers: after a lull or a collapse it must not stay near zero.
TEST(OverloadEstimator, RecoversAfterACollapse) {
  Driver d(makeSettings(), 6);
  d.warmUp(0, 100, milliseconds(20));
  for (int i = 0; i < 200; ++i) {  // nothing is answered at all
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

// Hosts that hold about twice their cores slow down and stay slow while demand lasts: the pool's mean latency
// must stay well under the objective (400 ms here).
TEST(OverloadEstimator, ShedsLongBeforeMeanLatencyReachesObjective) {
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

// When all hosts slow down together their latency passes the target without any queue; a limit that follows
// the sinking rate would idle the pool for as long as that lasts.
TEST(OverloadEstimator, SharedSlowdownDoesNotIdleThePool) {
  Driver d(makeSettings(), 8);
  d.warmUp(1, 100, milliseconds(20));
  double held = 0;
  for (int i = 0; i < 4000; ++i) {
    d.request(1);
    d.advance(milliseconds(5));
    serveDue(d, [](HostId) { return Duration(milliseconds(300)); });
    if (i >= 3500) held += static_cast<double>(d.out.size()) / 500;
  }
  EXPECT_GT(held, 15) << "eight hosts keep nearly two each";
}

// Hosts of many cores: what they held while nothing was rejected stays allowed.
TEST(OverloadEstimator, SharedSlowdownKeepsUnloadedConcurrency) {
  Driver d(makeSettings(), 8);
  double held = 0;
  for (int i = 0; i < 35000; ++i) {  // a thousand requests a second: sixty held, then six times the time
    d.request(1);
    d.advance(milliseconds(1), milliseconds(1));
    serveDue(d, [&](HostId) { return Duration(milliseconds(i < 5000 ? 60 : 360)); });
    if (i >= 30000) held += static_cast<double>(d.out.size()) / 5000;
  }
  EXPECT_GT(held, 40) << "two a host, the floor, would be sixteen";
}

// A gateway that starts in an overload has measured nothing: it must neither reject nor admit all.
TEST(OverloadEstimator, NewGatewayServesAtOnceAndSheds) {
  Driver d(makeSettings(), 8);
  int refused = 0;
  for (int i = 0; i < 20; ++i) refused += d.refused(d.request(1));
  EXPECT_EQ(refused, 0);
  for (int i = 0; i < 300; ++i) refused += d.refused(d.request(1));
  EXPECT_GT(refused, 100);
}

// What is held under the first second's guess proves nothing: learned as unloaded concurrency, it would keep
// small hosts crowded.
TEST(OverloadEstimator, FirstGuessIsNotLearnedAsUnloadedConcurrency) {
  Driver d(makeSettings(), 8);
  double held = 0;
  for (int i = 0; i < 20000; ++i) {
    d.request(1);
    d.advance(milliseconds(2), milliseconds(2));
    serveDue(d, [&](HostId) { return Duration(milliseconds(300)); });
    if (i >= 15000) held += static_cast<double>(d.out.size()) / 5000;
  }
  EXPECT_LT(held, 24.5) << "the guess lets twenty-five be held with nothing refused";
}

// The guess of the first second crowds hosts with small queues before anything is measured.
TEST(OverloadEstimator, CapacityRejectionsLowerTheFirstGuess) {
  Driver d(makeSettings(), 8);
  int refused = 0, sends = 0;
  for (int i = 0; i < 450; ++i) {
    refused += d.refused(d.request(1));
    while (++sends % 9 == 0) d.settle(d.lastSent(), Outcome::rejectedForCapacity, false);
    d.advance(milliseconds(2), milliseconds(2));
    serveDue(d, [](HostId) { return Duration(milliseconds(50)); });
  }
  EXPECT_GT(refused, 20) << "twenty-five held of a guess of fifty, but every ninth attempt finds a host full";
}

// A gateway that is down to its heavy class of high priority has few answers a second. Counted one by one,
// they would keep its limit at the floor while other gateways take its share.
TEST(OverloadEstimator, GatewayLeftWithHeavyRequestsRecoversItsLimit) {
  Settings set = makeSettings();
  set.gatewayCount = 4;
  Driver d(set, 8);
  std::map<RequestId, bool> heavy;
  int refused = 0;
  for (int i = 0; i < 20000; ++i) {  // a hundred heavy and four hundred light requests a second
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
  EXPECT_LE(refused, 50) << "of two hundred heavy ones, six seconds later";
}

// Overloaded hosts stay slow for long; their capacity rejections come long before errors count.
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
  EXPECT_GT(refused[1], 3 * refused[0] + 100) << "seven per cent full, far from an error overload";
}

TEST(OverloadEstimator, HandfulOfErrorsIsNoOverload) {
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
  double most = 0;
  for (int i = 0; i < 40; ++i) {
    pool.play(10, 4);
    if (i >= 10) most = std::max(most, d.balancer.admissionCutoff());
  }
  EXPECT_LT(most, 10);
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
