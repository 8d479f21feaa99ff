// Faulty endpoint lists: each case has one rule, one counter and a time limit.
#include "membership/list_policy.hpp"

#include <gtest/gtest.h>

#include <map>
#include <random>

namespace finchstile::membership {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

ListEntry makeEntry(const std::string& name, HostPhase phase = HostPhase::active,
                    const std::string& listenAddress = "", Time started = {}) {
  ListEntry entry;
  entry.host.address = name;
  entry.host.phase = phase;
  entry.host.startedAt = started;
  entry.endpoint = listenAddress.empty() ? "at-" + name : listenAddress;
  return entry;
}

EndpointList complete(std::int64_t listVersion, std::vector<ListEntry> hosts) {
  return {listVersion, true, std::move(hosts)};
}
EndpointList change(std::int64_t listVersion, std::vector<ListEntry> hosts) {
  return {listVersion, false, std::move(hosts)};
}

// Applies all effective lists, as the gateway does, and keeps the resulting phases.
struct TestGateway {
  ListPolicy policy;
  Time now = seconds(100);
  std::map<std::string, HostPhase> phases;
  std::set<std::string> unresponsive;
  bool requestedCompleteList = false;

  explicit TestGateway(const ListPolicySettings& policySettings = {}) : policy(policySettings) {}
  void apply(ListPolicy::Decision&& decision) {
    requestedCompleteList = decision.requestCompleteList;
    if (!decision.list) return;
    if (decision.list->isComplete)
      for (auto& [name, phase] : phases) phase = HostPhase::removed;
    for (const ListEntry& entry : decision.list->hosts) phases[entry.host.address] = entry.host.phase;
  }
  void receive(EndpointList list) {
    apply(policy.onList(std::move(list), now, [&](std::string_view hostName) {
      return unresponsive.count(std::string(hostName)) == 0;
    }));
  }
  void advance(Duration duration) {
    for (const Time end = now + duration; now < end;) {
      now = std::min(end, now + milliseconds(10));
      if (const auto at = policy.nextTimer(); at && *at <= now) apply(policy.onTimer(now));
    }
  }
  HostPhase phaseOf(const std::string& name) const {
    const auto it = phases.find(name);
    return it == phases.end() ? HostPhase::removed : it->second;
  }
};

std::vector<ListEntry> hostsUpTo(int end, int from = 0) {
  std::vector<ListEntry> out;
  for (int i = from; i < end; ++i) out.push_back(makeEntry("h" + std::to_string(i)));
  return out;
}

TEST(ListPolicy, AppliesValidListsUnchanged) {
  TestGateway gateway;
  gateway.receive(complete(1, hostsUpTo(4)));
  gateway.receive(change(2, {makeEntry("h1", HostPhase::draining), makeEntry("new")}));
  EXPECT_EQ(gateway.phaseOf("h0"), HostPhase::active);
  EXPECT_EQ(gateway.phaseOf("h1"), HostPhase::draining);
  EXPECT_EQ(gateway.phaseOf("new"), HostPhase::active);
  gateway.receive(complete(3, hostsUpTo(4, 1)));  // omits one of five, which is not suspicious
  EXPECT_EQ(gateway.phaseOf("h0"), HostPhase::removed);
  EXPECT_FALSE(gateway.policy.isHolding());
  EXPECT_EQ(gateway.policy.statistics().accepted, 3u);
}

// All hosts still respond, so an empty list is suspicious.
TEST(ListPolicy, HoldsAnEmptyListAndRequestsACompleteOne) {
  TestGateway gateway;
  gateway.receive(complete(1, hostsUpTo(4)));
  gateway.receive(complete(2, {}));
  EXPECT_TRUE(gateway.requestedCompleteList);
  EXPECT_EQ(gateway.phaseOf("h0"), HostPhase::active);
  gateway.advance(milliseconds(100));
  gateway.receive(complete(2, hostsUpTo(4)));  // the omissions are withdrawn
  EXPECT_EQ(gateway.phaseOf("h0"), HostPhase::active);
  gateway.advance(seconds(5));
  EXPECT_EQ(gateway.phaseOf("h0"), HostPhase::active);
  EXPECT_EQ(gateway.policy.statistics().held, 1u);
  EXPECT_EQ(gateway.policy.statistics().withdrawn, 1u);
}

TEST(ListPolicy, AppliesAConfirmedEmptyListAtOnce) {
  TestGateway gateway;
  gateway.receive(complete(1, hostsUpTo(4)));
  gateway.receive(complete(2, {}));
  gateway.advance(milliseconds(50));
  gateway.receive(complete(2, {}));
  EXPECT_EQ(gateway.phaseOf("h0"), HostPhase::removed);
  EXPECT_EQ(gateway.policy.statistics().confirmed, 1u);
}

// Drains must take effect in time, whatever hold time is configured.
TEST(ListPolicy, HoldEndsAfterTheMaximumHoldTimeIfMoreIsConfigured) {
  ListPolicySettings settings;
  settings.holdTime = seconds(60);
  TestGateway gateway(settings);
  gateway.receive(complete(1, hostsUpTo(4)));
  gateway.receive(complete(2, {}));
  gateway.advance(milliseconds(390));
  EXPECT_EQ(gateway.phaseOf("h0"), HostPhase::active);
  gateway.advance(milliseconds(20));
  EXPECT_EQ(gateway.phaseOf("h0"), HostPhase::removed);
  EXPECT_EQ(gateway.policy.statistics().expired, 1u);
}

TEST(ListPolicy, AppliesDrainsInASuspiciousListAtOnce) {
  TestGateway gateway;
  gateway.receive(complete(1, hostsUpTo(6)));
  gateway.receive(complete(2, {makeEntry("h0", HostPhase::draining)}));
  EXPECT_EQ(gateway.phaseOf("h0"), HostPhase::draining);
  EXPECT_EQ(gateway.phaseOf("h1"), HostPhase::active);
  gateway.advance(seconds(1));
  EXPECT_EQ(gateway.phaseOf("h0"), HostPhase::draining);
  EXPECT_EQ(gateway.phaseOf("h1"), HostPhase::removed);
}

TEST(ListPolicy, HoldsATruncatedListOnlyIfTheOmittedHostsRespond) {
  TestGateway gateway;
  gateway.receive(complete(1, hostsUpTo(10)));
  gateway.receive(complete(2, hostsUpTo(10, 6)));
  EXPECT_TRUE(gateway.policy.isHolding());
  EXPECT_EQ(gateway.policy.restrictionReason("h1"), "left out, in doubt");
  TestGateway gatewayOfLostZone;
  gatewayOfLostZone.receive(complete(1, hostsUpTo(10)));
  for (int i = 0; i < 6; ++i) gatewayOfLostZone.unresponsive.insert("h" + std::to_string(i));
  gatewayOfLostZone.receive(
      complete(2, hostsUpTo(10, 6)));  // a zone has failed: the omitted hosts do not respond either
  EXPECT_FALSE(gatewayOfLostZone.policy.isHolding());
  EXPECT_EQ(gatewayOfLostZone.phaseOf("h1"), HostPhase::removed);
}

TEST(ListPolicy, IncrementalListDuringAHoldOverridesHeldOmissions) {
  TestGateway gateway;
  gateway.receive(complete(1, hostsUpTo(4)));
  gateway.receive(complete(2, {}));
  gateway.receive(change(3, {makeEntry("h2")}));
  gateway.advance(seconds(1));
  EXPECT_EQ(gateway.phaseOf("h1"), HostPhase::removed);
  EXPECT_EQ(gateway.phaseOf("h2"), HostPhase::active);
}

TEST(ListPolicy, HoldTimeOfZeroDisablesHolding) {
  ListPolicySettings settings;
  settings.holdTime = {};
  TestGateway gateway(settings);
  gateway.receive(complete(1, hostsUpTo(4)));
  gateway.receive(complete(2, {}));
  EXPECT_EQ(gateway.phaseOf("h0"), HostPhase::removed);
}

TEST(ListPolicy, IgnoresListsWithOlderVersions) {
  TestGateway gateway;
  gateway.receive(complete(7, hostsUpTo(4)));
  gateway.receive(change(8, {makeEntry("h0", HostPhase::draining)}));
  gateway.receive(complete(7, hostsUpTo(4)));
  gateway.receive(change(6, {makeEntry("h0")}));
  EXPECT_EQ(gateway.phaseOf("h0"), HostPhase::draining);
  EXPECT_EQ(gateway.policy.statistics().older, 2u);
  gateway.receive(change(9, {makeEntry("h0")}));
  EXPECT_EQ(gateway.phaseOf("h0"), HostPhase::active);
}

// Discovery that has restarted with lower versions must not be ignored forever.
TEST(ListPolicy, AcceptsLowerVersionsAfterTheTolerance) {
  TestGateway gateway;
  gateway.receive(complete(700, hostsUpTo(4)));
  gateway.receive(complete(1, hostsUpTo(4)));
  gateway.advance(seconds(9));
  gateway.receive(change(2, {makeEntry("h0", HostPhase::draining)}));
  EXPECT_EQ(gateway.phaseOf("h0"), HostPhase::active);
  gateway.advance(seconds(2));
  gateway.receive(
      change(3, {makeEntry("h0", HostPhase::draining)}));  // the complete list that it refers to was ignored
  EXPECT_TRUE(gateway.requestedCompleteList);
  gateway.receive(complete(3, hostsUpTo(4, 1)));
  EXPECT_EQ(gateway.phaseOf("h0"), HostPhase::removed);
  EXPECT_EQ(gateway.policy.statistics().renumbered, 1u);
  EXPECT_EQ(gateway.policy.version(), 3);
}

TEST(ListPolicy, AcceptsLowerVersionsAfterDiscoveryWasReplaced) {
  TestGateway gateway;
  gateway.receive(complete(700, hostsUpTo(4)));
  gateway.policy.onDiscoveryMoved();
  gateway.receive(complete(1, hostsUpTo(4, 1)));
  EXPECT_EQ(gateway.phaseOf("h0"), HostPhase::removed);
  EXPECT_EQ(gateway.policy.statistics().older, 0u);
}

TEST(ListPolicy, MergesDuplicateEntriesToTheWorsePhase) {
  TestGateway gateway;
  for (const bool worseFirst : {true, false}) {
    std::vector<ListEntry> hosts = hostsUpTo(3);
    hosts.push_back(makeEntry("x", worseFirst ? HostPhase::draining : HostPhase::active));
    hosts.push_back(makeEntry("x", worseFirst ? HostPhase::active : HostPhase::draining));
    gateway.receive(complete(worseFirst ? 1 : 2, hosts));
    EXPECT_EQ(gateway.phaseOf("x"), HostPhase::draining);
  }
  EXPECT_EQ(gateway.policy.statistics().duplicateHosts, 2u);
  const auto merged = gateway.policy.onList(change(3, {makeEntry("y", HostPhase::active, "a:1", seconds(5)),
                                                       makeEntry("y", HostPhase::active, "a:2", seconds(6))}),
                                            gateway.now, [](std::string_view) { return true; });
  ASSERT_EQ(merged.list->hosts.size(), 1u);
  EXPECT_EQ(merged.list->hosts[0].endpoint, "a:2");  // of the entry with the later start
  EXPECT_EQ(merged.list->hosts[0].host.startedAt, Time(seconds(6)));
}

// An endpoint is reused by a new host while the old host is still listed.
TEST(ListPolicy, LaterStartedHostOwnsASharedEndpoint) {
  TestGateway gateway;
  gateway.receive(complete(1, {makeEntry("old", HostPhase::active, "a:1", seconds(5)), makeEntry("b")}));
  gateway.receive(change(2, {makeEntry("new", HostPhase::active, "a:1", seconds(50))}));
  EXPECT_EQ(gateway.phaseOf("new"), HostPhase::active);
  EXPECT_EQ(gateway.phaseOf("old"), HostPhase::draining);
  EXPECT_EQ(gateway.policy.restrictionReason("old"), "its address is another's");
  gateway.receive(change(3, {makeEntry("old", HostPhase::removed, "a:1")}));
  EXPECT_EQ(gateway.phaseOf("old"), HostPhase::removed);
  gateway.receive(
      change(4, {makeEntry("late", HostPhase::active, "a:1", seconds(20))}));  // started before the owner
  EXPECT_EQ(gateway.phaseOf("late"), HostPhase::draining);
  EXPECT_EQ(gateway.phaseOf("new"), HostPhase::active);
  EXPECT_EQ(gateway.policy.statistics().sharedEndpoints, 2u);
  gateway.receive(change(5, {makeEntry("new", HostPhase::draining, "a:1", seconds(50))}));
  gateway.receive(change(6, {makeEntry("late", HostPhase::active, "a:1", seconds(20))}));
  EXPECT_EQ(gateway.phaseOf("late"), HostPhase::active);
}

TEST(ListPolicy, LaterStartedHostOwnsASharedEndpointWithinOneList) {
  TestGateway gateway;
  gateway.receive(complete(1, {makeEntry("b", HostPhase::active, "a:1", seconds(9)),
                               makeEntry("a", HostPhase::active, "a:1", seconds(5))}));
  EXPECT_EQ(gateway.phaseOf("a"), HostPhase::draining);
  EXPECT_EQ(gateway.phaseOf("b"), HostPhase::active);
  gateway.receive(complete(2, {makeEntry("a", HostPhase::active, "a:1", seconds(5)),
                               makeEntry("b", HostPhase::active, "a:1", seconds(9))}));
  EXPECT_EQ(gateway.phaseOf("a"), HostPhase::draining);
  EXPECT_EQ(gateway.phaseOf("b"), HostPhase::active);
}

TEST(ListPolicy, HostWithANewEndpointReleasesItsOldOne) {
  TestGateway gateway;
  gateway.receive(
      complete(1, {makeEntry("a", HostPhase::active, "p:1"), makeEntry("b", HostPhase::active, "p:2")}));
  gateway.receive(change(2, {makeEntry("a", HostPhase::active, "p:3")}));
  gateway.receive(change(3, {makeEntry("c", HostPhase::active, "p:1")}));
  EXPECT_EQ(gateway.phaseOf("c"), HostPhase::active);
  EXPECT_EQ(gateway.phaseOf("a"), HostPhase::active);
  EXPECT_EQ(gateway.policy.statistics().sharedEndpoints, 0u);
}

// A host leaves the list and returns ten times per second.
TEST(ListPolicy, SuppressesAFlappingHostUntilItIsStable) {
  for (const bool byCompleteList : {false, true}) {
    TestGateway gateway;
    gateway.receive(complete(1, hostsUpTo(5)));
    std::int64_t listVersion = 1;
    for (int i = 0; i < 20; ++i) {
      ++listVersion;
      if (byCompleteList) gateway.receive(complete(listVersion, hostsUpTo(5, 1)));
      else gateway.receive(change(listVersion, {makeEntry("h0", HostPhase::draining)}));
      gateway.advance(milliseconds(50));
      ++listVersion;
      if (byCompleteList) gateway.receive(complete(listVersion, hostsUpTo(5)));
      else gateway.receive(change(listVersion, {makeEntry("h0")}));
      if (i >= 6) EXPECT_EQ(gateway.phaseOf("h0"), HostPhase::draining) << i;
      gateway.advance(milliseconds(50));
    }
    EXPECT_EQ(gateway.policy.statistics().flappingHosts, 1u);
    EXPECT_EQ(gateway.policy.restrictionReason("h0"), "flapping");
    EXPECT_EQ(gateway.phaseOf("h1"), HostPhase::active);
    gateway.advance(seconds(60));
    EXPECT_EQ(gateway.phaseOf("h0"), HostPhase::active);
    EXPECT_EQ(gateway.policy.restrictionReason("h0"), "");
  }
}

TEST(ListPolicy, RollingDeployDoesNotCountAsFlapping) {
  TestGateway gateway;
  gateway.receive(complete(1, hostsUpTo(5)));
  std::int64_t listVersion = 1;
  for (int i = 0; i < 5; ++i) {
    const std::string name = "h" + std::to_string(i);
    gateway.receive(change(++listVersion, {makeEntry(name, HostPhase::draining)}));
    gateway.advance(seconds(1));
    gateway.receive(change(++listVersion, {makeEntry(name, HostPhase::removed)}));
    gateway.advance(seconds(1));
    gateway.receive(change(++listVersion, {makeEntry(name, HostPhase::active, "", gateway.now)}));
    EXPECT_EQ(gateway.phaseOf(name), HostPhase::active);
  }
  EXPECT_EQ(gateway.policy.statistics().flappingHosts, 0u);
}

TEST(ListPolicy, ErasesRemovedHostsAndBoundsTheTable) {
  ListPolicySettings settings;
  settings.maxHosts = 50;
  TestGateway gateway(settings);
  for (int i = 0; i < 500; ++i) {  // hosts are replaced continuously
    gateway.receive(complete(i + 1, hostsUpTo(i + 10, i)));
    gateway.advance(seconds(2));
  }
  EXPECT_LT(gateway.policy.hostCount(), 50u);
  EXPECT_EQ(gateway.policy.statistics().droppedHosts, 0u);
  gateway.receive(complete(1000, hostsUpTo(200)));
  EXPECT_LE(gateway.policy.hostCount(), 50u);
  EXPECT_GT(gateway.policy.statistics().droppedHosts, 0u);
}

// Discovery is unavailable for an hour.
TEST(ListPolicy, KeepsTheListWhileTheWatchIsLost) {
  TestGateway gateway;
  gateway.receive(complete(1, hostsUpTo(3)));
  for (int i = 0; i < 3600; ++i) {
    gateway.policy.onWatchLost();
    gateway.advance(seconds(1));
  }
  EXPECT_EQ(gateway.phaseOf("h2"), HostPhase::active);
  EXPECT_EQ(gateway.policy.statistics().watchesLost, 3600u);
  EXPECT_EQ(gateway.policy.lastAcceptedAt(), Time(seconds(100)));
}

// For random lists: a host that the latest list marks as draining or removed is never active, a host that a
// complete list omits is inactive after the hold time at the latest, and valid lists become effective in the
// end.
TEST(ListPolicy, DrainsTakeEffectInTimeForRandomLists) {
  for (unsigned seed = 1; seed <= 300; ++seed) {
    std::mt19937 random(seed);
    TestGateway gateway;
    gateway.receive(complete(1, hostsUpTo(6)));
    std::int64_t listVersion = 1;
    std::map<std::string, Time> inactiveSince;  // according to accepted lists
    for (int i = 0; i < 6; ++i) gateway.unresponsive.clear();
    for (int step = 0; step < 120; ++step) {
      EndpointList randomList;
      randomList.isComplete = random() % 3 == 0;
      randomList.version = random() % 5 == 0 ? listVersion - 1 : ++listVersion;
      for (int i = 0; i < 6; ++i)
        if (random() % 2)
          randomList.hosts.push_back(makeEntry("h" + std::to_string(i), static_cast<HostPhase>(random() % 3),
                                               "p:" + std::to_string(random() % 8), seconds(random() % 4)));
      const bool isCurrent = randomList.version >= listVersion;
      std::map<std::string, HostPhase> worstPhases;
      for (const ListEntry& entry : randomList.hosts) {
        const auto [it, isFirst] = worstPhases.emplace(entry.host.address, entry.host.phase);
        if (!isFirst && entry.host.phase != HostPhase::active) it->second = entry.host.phase;
      }
      if (isCurrent) {
        for (int i = 0; i < 6; ++i) {
          const std::string name = "h" + std::to_string(i);
          const auto it = worstPhases.find(name);
          if (it != worstPhases.end() && it->second == HostPhase::active) inactiveSince.erase(name);
          else if (it != worstPhases.end())
            inactiveSince[name] = gateway.now - seconds(1);  // listed: effective at once
          else if (randomList.isComplete) inactiveSince.emplace(name, gateway.now);
        }
      }
      gateway.receive(std::move(randomList));
      const Duration pause = milliseconds(random() % 300);
      gateway.advance(pause);
      for (const auto& [name, since] : inactiveSince)
        if (gateway.now - since > kMaxHoldTime)
          ASSERT_NE(gateway.phaseOf(name), HostPhase::active) << "seed " << seed << " step " << step;
    }
    gateway.advance(seconds(120));
    gateway.receive(complete(++listVersion, hostsUpTo(6)));
    gateway.advance(seconds(1));
    for (int i = 0; i < 6; ++i)
      ASSERT_EQ(gateway.phaseOf("h" + std::to_string(i)), HostPhase::active) << seed;
  }
}

}  // namespace
}  // namespace finchstile::membership
