// HostRegistry: phases, incarnations, machine types, and hosts that are forgotten.
#include "policy/host_registry.hpp"

#include <algorithm>

#include "support/driver.hpp"

namespace finchstile::load_balancing::testing {
namespace {

TEST(HostRegistry, DrainingAndRemovedHostsGetNoRequests) {
  Driver d(makeSettings(), 3);
  HostEntry lame = makeHost(0), gone = makeHost(1);
  lame.phase = HostPhase::draining;
  gone.phase = HostPhase::removed;
  d.balancer.onHostListUpdate(d.now, HostListUpdate::incremental, {lame, gone});
  d.clearHistory();
  for (int i = 0; i < 30; ++i) {
    d.request(0);
    while (!d.out.empty()) d.serve(SentAttempt(d.out.front()));
  }
  EXPECT_EQ(d.sentTo(d.host(2)), 30u);
}

TEST(HostRegistry, CompleteListRemovesHostsItLeavesOut) {
  Driver d(makeSettings(), 3);
  d.balancer.onHostListUpdate(d.now, HostListUpdate::complete, {makeHost(2)});
  d.clearHistory();
  for (int i = 0; i < 10; ++i) {
    d.request(0);
    d.serve(d.lastSent());
  }
  EXPECT_EQ(d.sentTo(d.host(2)), 10u);
}

// Fleets are replaced for days: a removed host is kept as long as a request refers to it, and then forgotten.
TEST(HostRegistry, ForgetsRemovedHostsOnceUnreferenced) {
  Driver d(makeSettings(), 1);
  const HostId first = d.host(0);
  d.request(1);
  const SentAttempt held = d.lastSent();
  std::vector<HostId> ids = {first};
  for (int i = 1; i <= 300; ++i) {
    d.balancer.onHostListUpdate(d.now, HostListUpdate::complete, {makeHost(i)});
    d.advance(milliseconds(5));
    EXPECT_TRUE(std::find(ids.begin(), ids.end(), d.host(i)) == ids.end()) << "an id means another host";
    ids.push_back(d.host(i));
    EXPECT_FALSE(i > 1 && d.balancer.isKnown(ids[static_cast<std::size_t>(i) - 1]));
  }
  ASSERT_TRUE(d.balancer.isKnown(first));
  EXPECT_EQ(d.balancer.hostAddress(first), makeHost(0).address);
  d.settle(held, Outcome::served, true);
  d.advance(milliseconds(300));
  EXPECT_FALSE(d.balancer.isKnown(first));
  EXPECT_THROW(d.balancer.hostAddress(first), std::out_of_range);
  d.request(0);
  EXPECT_EQ(d.lastSent().host, ids.back());
}

// A simulated hour in which every host is replaced every ten seconds: 368,640 hosts in all.
TEST(HostRegistry, KeepsNothingOfHostsReplacedForAnHour) {
  constexpr int kHosts = 1024, kRounds = 360;
  Settings s = makeSettings();
  s.gatewayCount = 350;
  Driver d(s, kHosts);
  const auto tell = [&](int from, HostPhase phase) {
    std::vector<HostEntry> hosts;
    for (int i = from; i < from + kHosts; ++i) {
      hosts.push_back(makeHost(i));
      hosts.back().phase = phase;
    }
    d.balancer.onHostListUpdate(d.now, HostListUpdate::incremental, hosts);
  };
  for (int round = 0; round < kRounds; ++round) {
    tell((round + 1) * kHosts, HostPhase::active);
    tell(round * kHosts, HostPhase::removed);
    d.advance(seconds(5), seconds(5));
    d.request(0);
    ASSERT_EQ(d.sent.size(), 1u) << round;
    EXPECT_GE(std::stoi(d.balancer.hostAddress(d.lastSent().host).substr(5)), 100 + (round + 1) * kHosts);
    d.serve(d.lastSent());
    d.advance(seconds(5), seconds(5));
    d.clearHistory();
  }
  int known = 0;
  for (int i = 0; i < (kRounds + 1) * kHosts; ++i) known += d.host(i) != kNone;
  EXPECT_EQ(known, kHosts);
}

TEST(HostRegistry, TellsOfNewProcessesOnly) {
  HostRegistry hosts("east");
  std::vector<std::string> started;
  const auto onStarted = [&](Host& host) { started.push_back(host.entry.address); };
  HostEntry a = makeHost(0);
  hosts.apply(HostListUpdate::complete, {a, makeHost(1, "west")}, onStarted);
  EXPECT_EQ(started, (std::vector<std::string>{"host-100", "host-101"}));
  started.clear();
  hosts.apply(HostListUpdate::incremental, {a}, onStarted);
  EXPECT_TRUE(started.empty()) << "one process";
  a.startedAt = seconds(5);
  hosts.apply(HostListUpdate::incremental, {a}, onStarted);
  EXPECT_EQ(started, (std::vector<std::string>{"host-100"}));
  EXPECT_TRUE(hosts[hosts.findByAddress("host-100")].isLocal);
  EXPECT_FALSE(hosts[hosts.findByAddress("host-101")].isLocal);
}

TEST(HostRegistry, ListsActiveHostsInOrderOfAddress) {
  HostRegistry hosts("east");
  HostEntry draining = makeHost(2);
  draining.phase = HostPhase::draining;
  hosts.apply(HostListUpdate::complete, {makeHost(3), draining, makeHost(1)}, [](Host&) {});
  ASSERT_EQ(hosts.active().size(), 2u);
  EXPECT_EQ(hosts[hosts.active()[0]].entry.address, "host-101");
  EXPECT_EQ(hosts[hosts.active()[1]].entry.address, "host-103");
  const Host& first = hosts[hosts.active()[0]];
  EXPECT_EQ(hosts.findByWireHash(first.wireHash()), first.id);
  EXPECT_EQ(hosts.findByAddress("host-999"), kNone);
}

TEST(HostRegistry, KeepsReferencedHostUntilItIsReleased) {
  HostRegistry hosts("east");
  hosts.apply(HostListUpdate::complete, {makeHost(0)}, [](Host&) {});
  const HostId id = hosts.findByAddress("host-100");
  hosts[id].references = 1;
  hosts.apply(HostListUpdate::complete, {}, [](Host&) {});
  EXPECT_TRUE(hosts.contains(id));
  hosts[id].references = 0;
  hosts.forgetUnreferenced();
  EXPECT_FALSE(hosts.contains(id));
  EXPECT_EQ(hosts.findByAddress("host-100"), kNone);
}

}  // namespace
}  // namespace finchstile::load_balancing::testing
