// SlowStart: what a warming host may take.
#include "policy/slow_start.hpp"

#include "support/driver.hpp"

namespace finchstile::load_balancing::testing {
namespace {

TEST(SlowStart, WarmingHostHasBudgetInEveryWindow) {
  Settings s = makeSettings();
  s.gatewayCount = 2;
  Driver d(s, 4);
  d.warmUp(0, 100, milliseconds(10));
  HostEntry cold = makeHost(9);
  cold.startedAt = d.now;
  d.balancer.onHostListUpdate(d.now, HostListUpdate::incremental, {cold});
  d.clearHistory();
  std::size_t warm = 0;
  for (int i = 0; i < 200; ++i) {  // two seconds, the cold host refuses all: refused attempts count too
    d.request(0);
    d.advance(milliseconds(10));
    while (!d.out.empty()) {
      const SentAttempt o = d.out.front();
      if (o.host == d.host(9)) d.settle(o, Outcome::rejectedForCapacity, false);
      else d.serve(o);
    }
  }
  warm = d.sentTo(d.host(0));
  EXPECT_GT(d.sentTo(d.host(9)), 0u);
  EXPECT_LT(static_cast<double>(d.sentTo(d.host(9))), 0.6 * static_cast<double>(warm));
}

TEST(SlowStart, BudgetHoldsWhenEveryHostIsWarmingUp) {
  Settings s = makeSettings();
  Driver d(s, 0);
  std::vector<HostEntry> list;
  for (int i = 0; i < 3; ++i) {
    list.push_back(makeHost(i));
    list.back().startedAt = d.now;
  }
  d.balancer.onHostListUpdate(d.now, HostListUpdate::complete, list);
  for (int i = 0; i < 400; ++i) {
    d.request(0);
    d.advance(milliseconds(5));
    while (!d.out.empty()) d.serve(SentAttempt(d.out.front()));
  }
  EXPECT_GT(d.sent.size(), 0u);
  EXPECT_LT(d.sent.size(), 60u);
}

// Deploy of nearly all hosts: all but one have budgets, and not everything may go to the last warm one.
TEST(SlowStart, LastWarmHostIsNotOverloadedInDeploy) {
  Driver d(makeSettings(), 6);
  d.warmUp(0, 60);
  std::vector<HostEntry> list = {makeHost(0)};
  for (int i = 1; i < 6; ++i) {
    list.push_back(makeHost(10 + i));
    list.back().startedAt = d.now;
  }
  d.balancer.onHostListUpdate(d.now, HostListUpdate::complete, list);
  for (int i = 0; i < 200; ++i) d.request(1);
  std::size_t held = 0;
  for (const SentAttempt& s : d.out) held += s.host == d.host(0);
  EXPECT_LE(held, 20u) << "of 200: the pool sheds instead";
}

// A deploy of all hosts at once leaves no warm one to measure by: what they carried is remembered for a
// while, or the warming ones would be starved to one request in a window.
TEST(SlowStart, WarmingHostsAloneGetTheirShare) {
  Driver d(makeSettings(), 4);
  d.warmUp(1, 600, milliseconds(5));
  std::vector<HostEntry> list;
  for (int i = 10; i < 14; ++i) {
    list.push_back(makeHost(i));
    list.back().startedAt = d.now;
  }
  d.balancer.onHostListUpdate(d.now, HostListUpdate::complete, list);
  d.collect();
  d.clearHistory();
  d.warmUp(1, 400, milliseconds(5));  // two seconds
  EXPECT_GE(d.sent.size(), 40u);
  EXPECT_LE(d.sent.size(), 200u) << "nor may they be pushed over";
}

// Twelve hundred gateways that each claim at least one request of a warming host would overload it. Their sum
// must stay near the part of an even share that the host can do, retries counted.
TEST(SlowStart, LargeBankTogetherKeepsTheBudget) {
  Settings s = makeSettings();
  s.gatewayCount = 1200;
  std::size_t all = 0, cold = 0;
  for (std::uint64_t seed = 1; seed <= s.gatewayCount; ++seed) {
    s.seed = seed;
    s.gatewayIndex = static_cast<std::uint32_t>(seed - 1);
    Driver d(s, 10);
    HostEntry fresh = makeHost(50);
    fresh.startedAt = d.now;
    d.balancer.onHostListUpdate(d.now, HostListUpdate::incremental, {fresh});
    for (int i = 0; i < 4; ++i) {  // within the first fifth of its warming
      d.request(0);
      d.advance(milliseconds(500));
      while (!d.out.empty()) {
        const SentAttempt o = d.out.front();
        d.settle(o, o.host == d.host(50) ? Outcome::rejectedForCapacity : Outcome::served,
                 o.host != d.host(50));
      }
    }
    all += d.sent.size();
    cold += d.sentTo(d.host(50));
  }
  const double share = static_cast<double>(all) / 11;
  EXPECT_GT(static_cast<double>(cold), 0.08 * share) << "it is used";
  EXPECT_LT(static_cast<double>(cold), 0.5 * share);
}

// In an overload requests are sent again and again: an even share of those attempts is more than a warming
// host can do.
TEST(SlowStart, RetriesOfAnOverloadDoNotRaiseTheShare) {
  Settings s = makeSettings();
  s.gatewayCount = 300;
  std::size_t all = 0, cold = 0;
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    s.seed = seed;
    s.gatewayIndex = static_cast<std::uint32_t>(seed - 1);
    Driver d(s, 10);
    const auto request = [&](bool overload) {
      d.request(0);
      d.advance(milliseconds(50));
      for (int tries = 0; !d.out.empty(); ++tries) {
        const SentAttempt o = d.out.front();
        const bool full = overload && tries < 3;
        d.settle(o, full ? Outcome::rejectedForCapacity : Outcome::served, !full);
      }
    };
    for (int i = 0; i < 30; ++i) request(true);
    HostEntry fresh = makeHost(50);
    fresh.startedAt = d.now;
    d.balancer.onHostListUpdate(d.now, HostListUpdate::incremental, {fresh});
    d.clearHistory();
    for (int i = 0; i < 20; ++i) request(true);
    all += d.sent.size();
    cold += d.sentTo(d.host(50));
  }
  const double evenShareOfWork = static_cast<double>(all) / 4 / 11;  // one attempt in four is answered
  EXPECT_GT(cold, 0u);
  EXPECT_LT(static_cast<double>(cold), 0.6 * evenShareOfWork) << "its warmth is 0.2 to 0.3";
}

TEST(SlowStart, CapacityGrowsWithTheAgeOfTheProcess) {
  const Settings settings = makeSettings();  // from 0.2 to 1 within 10 s
  const HostRegistry hosts("east");
  const FleetShape shape(settings, hosts);
  const TrafficStatistics traffic(settings, {});
  const SlowStart slowStart(settings, shape, traffic);
  Host host;
  EXPECT_EQ(slowStart.capacityFraction(host, seconds(100)), 1) << "started long ago";
  host.entry.startedAt = seconds(100);
  EXPECT_DOUBLE_EQ(slowStart.capacityFraction(host, seconds(100)), 0.2);
  EXPECT_DOUBLE_EQ(slowStart.capacityFraction(host, seconds(105)), 0.6);
  EXPECT_TRUE(slowStart.isWarmingUp(host, seconds(110) - Duration(1)));
  EXPECT_FALSE(slowStart.isWarmingUp(host, seconds(110)));
}

}  // namespace
}  // namespace finchstile::load_balancing::testing
