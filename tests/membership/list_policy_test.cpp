// Faulty lists: for each case one rule, one counter and a bound in time.
#include "membership/list_policy.hpp"

#include <gtest/gtest.h>

#include <map>
#include <random>

namespace finchstile::membership {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

ListEntry named(const std::string& name, HostPhase phase = HostPhase::active, const std::string& at = "",
                Time since = {}) {
  ListEntry n;
  n.host.address = name;
  n.host.phase = phase;
  n.host.startedAt = since;
  n.endpoint = at.empty() ? "at-" + name : at;
  return n;
}

EndpointList complete(std::int64_t index, std::vector<ListEntry> hosts) {
  return {index, true, std::move(hosts)};
}
EndpointList change(std::int64_t index, std::vector<ListEntry> hosts) {
  return {index, false, std::move(hosts)};
}

// The phases that result from all effective lists.
struct Follower {
  ListPolicy policy;
  Time now = seconds(100);
  std::map<std::string, HostPhase> phases;
  std::set<std::string> unresponsive;
  bool requestedCompleteList = false;

  explicit Follower(const ListPolicySettings& s = {}) : policy(s) {}
  void apply(ListPolicy::Decision&& decision) {
    requestedCompleteList = decision.requestCompleteList;
    if (!decision.list) return;
    if (decision.list->isComplete)
      for (auto& [name, phase] : phases) phase = HostPhase::removed;
    for (const ListEntry& n : decision.list->hosts) phases[n.host.address] = n.host.phase;
  }
  void receive(EndpointList list) {
    apply(policy.onList(std::move(list), now,
                        [&](std::string_view h) { return unresponsive.count(std::string(h)) == 0; }));
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
  for (int i = from; i < end; ++i) out.push_back(named("h" + std::to_string(i)));
  return out;
}

TEST(ListPolicy, ValidListsAreEffectiveUnchanged) {
  Follower follower;
  follower.receive(complete(1, hostsUpTo(4)));
  follower.receive(change(2, {named("h1", HostPhase::draining), named("new")}));
  EXPECT_EQ(follower.phaseOf("h0"), HostPhase::active);
  EXPECT_EQ(follower.phaseOf("h1"), HostPhase::draining);
  EXPECT_EQ(follower.phaseOf("new"), HostPhase::active);
  follower.receive(complete(3, hostsUpTo(4, 1)));  // omits one of five, which is not suspicious
  EXPECT_EQ(follower.phaseOf("h0"), HostPhase::removed);
  EXPECT_FALSE(follower.policy.isHolding());
  EXPECT_EQ(follower.policy.statistics().accepted, 3u);
}

// All hosts still respond.
TEST(ListPolicy, HoldsAnEmptyListAndRequestsACompleteOne) {
  Follower follower;
  follower.receive(complete(1, hostsUpTo(4)));
  follower.receive(complete(2, {}));
  EXPECT_TRUE(follower.requestedCompleteList);
  EXPECT_EQ(follower.phaseOf("h0"), HostPhase::active);
  follower.advance(milliseconds(100));
  follower.receive(complete(2, hostsUpTo(4)));  // withdrawn
  EXPECT_EQ(follower.phaseOf("h0"), HostPhase::active);
  follower.advance(seconds(5));
  EXPECT_EQ(follower.phaseOf("h0"), HostPhase::active);
  EXPECT_EQ(follower.policy.statistics().held, 1u);
  EXPECT_EQ(follower.policy.statistics().withdrawn, 1u);
}

TEST(ListPolicy, ConfirmedEmptyListIsEffectiveAtOnce) {
  Follower follower;
  follower.receive(complete(1, hostsUpTo(4)));
  follower.receive(complete(2, {}));
  follower.advance(milliseconds(50));
  follower.receive(complete(2, {}));
  EXPECT_EQ(follower.phaseOf("h0"), HostPhase::removed);
  EXPECT_EQ(follower.policy.statistics().confirmed, 1u);
}

// Drains take effect in time, whatever hold time is set.
TEST(ListPolicy, HoldEndsAfterTheMaximumHoldTime) {
  ListPolicySettings settings;
  settings.holdTime = seconds(60);
  Follower follower(settings);
  follower.receive(complete(1, hostsUpTo(4)));
  follower.receive(complete(2, {}));
  follower.advance(milliseconds(390));
  EXPECT_EQ(follower.phaseOf("h0"), HostPhase::active);
  follower.advance(milliseconds(20));
  EXPECT_EQ(follower.phaseOf("h0"), HostPhase::removed);
  EXPECT_EQ(follower.policy.statistics().expired, 1u);
}

TEST(ListPolicy, DrainsInASuspiciousListAreEffectiveAtOnce) {
  Follower follower;
  follower.receive(complete(1, hostsUpTo(6)));
  follower.receive(complete(2, {named("h0", HostPhase::draining)}));
  EXPECT_EQ(follower.phaseOf("h0"), HostPhase::draining);
  EXPECT_EQ(follower.phaseOf("h1"), HostPhase::active);
  follower.advance(seconds(1));
  EXPECT_EQ(follower.phaseOf("h0"), HostPhase::draining);
  EXPECT_EQ(follower.phaseOf("h1"), HostPhase::removed);
}

TEST(ListPolicy, HoldsATruncatedListOnlyIfTheOmittedHostsRespond) {
  Follower follower;
  follower.receive(complete(1, hostsUpTo(10)));
  follower.receive(complete(2, hostsUpTo(10, 6)));
  EXPECT_TRUE(follower.policy.isHolding());
  EXPECT_EQ(follower.policy.restrictionReason("h1"), "left out, in doubt");
  Follower zoneLost;
  zoneLost.receive(complete(1, hostsUpTo(10)));
  for (int i = 0; i < 6; ++i) zoneLost.unresponsive.insert("h" + std::to_string(i));
  zoneLost.receive(complete(2, hostsUpTo(10, 6)));  // a lost zone: the list agrees with our observations
  EXPECT_FALSE(zoneLost.policy.isHolding());
  EXPECT_EQ(zoneLost.phaseOf("h1"), HostPhase::removed);
}

TEST(ListPolicy, ChangeDuringAHoldDecidesAboutItsHosts) {
  Follower follower;
  follower.receive(complete(1, hostsUpTo(4)));
  follower.receive(complete(2, {}));
  follower.receive(change(3, {named("h2")}));
  follower.advance(seconds(1));
  EXPECT_EQ(follower.phaseOf("h1"), HostPhase::removed);
  EXPECT_EQ(follower.phaseOf("h2"), HostPhase::active);
}

TEST(ListPolicy, HoldTimeOfZeroDisablesHolding) {
  ListPolicySettings settings;
  settings.holdTime = {};
  Follower follower(settings);
  follower.receive(complete(1, hostsUpTo(4)));
  follower.receive(complete(2, {}));
  EXPECT_EQ(follower.phaseOf("h0"), HostPhase::removed);
}

TEST(ListPolicy, IgnoresOlderLists) {
  Follower follower;
  follower.receive(complete(7, hostsUpTo(4)));
  follower.receive(change(8, {named("h0", HostPhase::draining)}));
  follower.receive(complete(7, hostsUpTo(4)));
  follower.receive(change(6, {named("h0")}));
  EXPECT_EQ(follower.phaseOf("h0"), HostPhase::draining);
  EXPECT_EQ(follower.policy.statistics().older, 2u);
  follower.receive(change(9, {named("h0")}));
  EXPECT_EQ(follower.phaseOf("h0"), HostPhase::active);
}

// A discovery that restarted with lower versions must not be ignored forever.
TEST(ListPolicy, AcceptsLowerVersionsAfterTheTolerance) {
  Follower follower;
  follower.receive(complete(700, hostsUpTo(4)));
  follower.receive(complete(1, hostsUpTo(4)));
  follower.advance(seconds(9));
  follower.receive(change(2, {named("h0", HostPhase::draining)}));
  EXPECT_EQ(follower.phaseOf("h0"), HostPhase::active);
  follower.advance(seconds(2));
  follower.receive(change(3, {named("h0", HostPhase::draining)}));  // the list that it refers to was ignored
  EXPECT_TRUE(follower.requestedCompleteList);
  follower.receive(complete(3, hostsUpTo(4, 1)));
  EXPECT_EQ(follower.phaseOf("h0"), HostPhase::removed);
  EXPECT_EQ(follower.policy.statistics().renumbered, 1u);
  EXPECT_EQ(follower.policy.version(), 3);
}

TEST(ListPolicy, AcceptsLowerVersionsOfAnotherDiscovery) {
  Follower follower;
  follower.receive(complete(700, hostsUpTo(4)));
  follower.policy.onDiscoveryMoved();
  follower.receive(complete(1, hostsUpTo(4, 1)));
  EXPECT_EQ(follower.phaseOf("h0"), HostPhase::removed);
  EXPECT_EQ(follower.policy.statistics().older, 0u);
}

TEST(ListPolicy, MergesDuplicateEntriesToTheWorsePhase) {
  Follower follower;
  for (const bool worseFirst : {true, false}) {
    std::vector<ListEntry> hosts = hostsUpTo(3);
    hosts.push_back(named("x", worseFirst ? HostPhase::draining : HostPhase::active));
    hosts.push_back(named("x", worseFirst ? HostPhase::active : HostPhase::draining));
    follower.receive(complete(worseFirst ? 1 : 2, hosts));
    EXPECT_EQ(follower.phaseOf("x"), HostPhase::draining);
  }
  EXPECT_EQ(follower.policy.statistics().duplicateHosts, 2u);
  const auto t = follower.policy.onList(change(3, {named("y", HostPhase::active, "a:1", seconds(5)),
                                                   named("y", HostPhase::active, "a:2", seconds(6))}),
                                        follower.now, [](std::string_view) { return true; });
  ASSERT_EQ(t.list->hosts.size(), 1u);
  EXPECT_EQ(t.list->hosts[0].endpoint, "a:2");  // that of the later start
  EXPECT_EQ(t.list->hosts[0].host.startedAt, Time(seconds(6)));
}

// An endpoint moves to another host while the old one is still listed.
TEST(ListPolicy, LaterStartWinsASharedEndpoint) {
  Follower follower;
  follower.receive(complete(1, {named("old", HostPhase::active, "a:1", seconds(5)), named("b")}));
  follower.receive(change(2, {named("new", HostPhase::active, "a:1", seconds(50))}));
  EXPECT_EQ(follower.phaseOf("new"), HostPhase::active);
  EXPECT_EQ(follower.phaseOf("old"), HostPhase::draining);
  EXPECT_EQ(follower.policy.restrictionReason("old"), "its address is another's");
  follower.receive(change(3, {named("old", HostPhase::removed, "a:1")}));
  EXPECT_EQ(follower.phaseOf("old"), HostPhase::removed);
  follower.receive(
      change(4, {named("late", HostPhase::active, "a:1", seconds(20))}));  // started before the owner
  EXPECT_EQ(follower.phaseOf("late"), HostPhase::draining);
  EXPECT_EQ(follower.phaseOf("new"), HostPhase::active);
  EXPECT_EQ(follower.policy.statistics().sharedEndpoints, 2u);
  follower.receive(change(5, {named("new", HostPhase::draining, "a:1", seconds(50))}));
  follower.receive(change(6, {named("late", HostPhase::active, "a:1", seconds(20))}));
  EXPECT_EQ(follower.phaseOf("late"), HostPhase::active);
}

TEST(ListPolicy, LaterStartWinsASharedEndpointInOneList) {
  Follower follower;
  follower.receive(complete(1, {named("b", HostPhase::active, "a:1", seconds(9)),
                                named("a", HostPhase::active, "a:1", seconds(5))}));
  EXPECT_EQ(follower.phaseOf("a"), HostPhase::draining);
  EXPECT_EQ(follower.phaseOf("b"), HostPhase::active);
  follower.receive(complete(2, {named("a", HostPhase::active, "a:1", seconds(5)),
                                named("b", HostPhase::active, "a:1", seconds(9))}));
  EXPECT_EQ(follower.phaseOf("a"), HostPhase::draining);
  EXPECT_EQ(follower.phaseOf("b"), HostPhase::active);
}

TEST(ListPolicy, HostThatMovesReleasesItsEndpoint) {
  Follower follower;
  follower.receive(complete(1, {named("a", HostPhase::active, "p:1"), named("b", HostPhase::active, "p:2")}));
  follower.receive(change(2, {named("a", HostPhase::active, "p:3")}));
  follower.receive(change(3, {named("c", HostPhase::active, "p:1")}));
  EXPECT_EQ(follower.phaseOf("c"), HostPhase::active);
  EXPECT_EQ(follower.phaseOf("a"), HostPhase::active);
  EXPECT_EQ(follower.policy.statistics().sharedEndpoints, 0u);
}

// A host that leaves and returns ten times per second.
TEST(ListPolicy, SuppressesAFlappingHostUntilItIsStable) {
  for (const bool byCompleteList : {false, true}) {
    Follower follower;
    follower.receive(complete(1, hostsUpTo(5)));
    std::int64_t index = 1;
    for (int i = 0; i < 20; ++i) {
      ++index;
      if (byCompleteList) follower.receive(complete(index, hostsUpTo(5, 1)));
      else follower.receive(change(index, {named("h0", HostPhase::draining)}));
      follower.advance(milliseconds(50));
      ++index;
      if (byCompleteList) follower.receive(complete(index, hostsUpTo(5)));
      else follower.receive(change(index, {named("h0")}));
      if (i >= 6) EXPECT_EQ(follower.phaseOf("h0"), HostPhase::draining) << i;
      follower.advance(milliseconds(50));
    }
    EXPECT_EQ(follower.policy.statistics().flappingHosts, 1u);
    EXPECT_EQ(follower.policy.restrictionReason("h0"), "flapping");
    EXPECT_EQ(follower.phaseOf("h1"), HostPhase::active);
    follower.advance(seconds(60));
    EXPECT_EQ(follower.phaseOf("h0"), HostPhase::active);
    EXPECT_EQ(follower.policy.restrictionReason("h0"), "");
  }
}

TEST(ListPolicy, RollingDeployIsNoFlapping) {
  Follower follower;
  follower.receive(complete(1, hostsUpTo(5)));
  std::int64_t index = 1;
  for (int i = 0; i < 5; ++i) {
    const std::string name = "h" + std::to_string(i);
    follower.receive(change(++index, {named(name, HostPhase::draining)}));
    follower.advance(seconds(1));
    follower.receive(change(++index, {named(name, HostPhase::removed)}));
    follower.advance(seconds(1));
    follower.receive(change(++index, {named(name, HostPhase::active, "", follower.now)}));
    EXPECT_EQ(follower.phaseOf(name), HostPhase::active);
  }
  EXPECT_EQ(follower.policy.statistics().flappingHosts, 0u);
}

TEST(ListPolicy, ForgetsRemovedHostsAndBoundsTheTable) {
  ListPolicySettings settings;
  settings.maxHosts = 50;
  Follower follower(settings);
  for (int i = 0; i < 500; ++i) {  // a fleet that is replaced continuously
    follower.receive(complete(i + 1, hostsUpTo(i + 10, i)));
    follower.advance(seconds(2));
  }
  EXPECT_LT(follower.policy.hostCount(), 50u);
  EXPECT_EQ(follower.policy.statistics().droppedHosts, 0u);
  follower.receive(complete(1000, hostsUpTo(200)));
  EXPECT_LE(follower.policy.hostCount(), 50u);
  EXPECT_GT(follower.policy.statistics().droppedHosts, 0u);
}

// Discovery is down for an hour.
TEST(ListPolicy, LostWatchLeavesTheListEffective) {
  Follower follower;
  follower.receive(complete(1, hostsUpTo(3)));
  for (int i = 0; i < 3600; ++i) {
    follower.policy.onWatchLost();
    follower.advance(seconds(1));
  }
  EXPECT_EQ(follower.phaseOf("h2"), HostPhase::active);
  EXPECT_EQ(follower.policy.statistics().watchesLost, 3600u);
  EXPECT_EQ(follower.policy.lastAcceptedAt(), Time(seconds(100)));
}

// For random lists: a host that a current list has as draining or removed is never active; one that a
// complete list omits is inactive after the hold time at the latest; and valid lists are effective in the
// end.
TEST(ListPolicy, AnyListsKeepDrainsInTime) {
  for (unsigned seed = 1; seed <= 300; ++seed) {
    std::mt19937 random(seed);
    Follower follower;
    follower.receive(complete(1, hostsUpTo(6)));
    std::int64_t index = 1;
    std::map<std::string, Time> outSince;  // by accepted lists
    for (int i = 0; i < 6; ++i) follower.unresponsive.clear();
    for (int step = 0; step < 120; ++step) {
      EndpointList l;
      l.isComplete = random() % 3 == 0;
      l.version = random() % 5 == 0 ? index - 1 : ++index;
      for (int i = 0; i < 6; ++i)
        if (random() % 2)
          l.hosts.push_back(named("h" + std::to_string(i), static_cast<HostPhase>(random() % 3),
                                  "p:" + std::to_string(random() % 8), seconds(random() % 4)));
      const bool counts = l.version >= index;
      std::map<std::string, HostPhase> worst;
      for (const ListEntry& n : l.hosts) {
        const auto [it, fresh] = worst.emplace(n.host.address, n.host.phase);
        if (!fresh && n.host.phase != HostPhase::active) it->second = n.host.phase;
      }
      if (counts) {
        for (int i = 0; i < 6; ++i) {
          const std::string name = "h" + std::to_string(i);
          const auto it = worst.find(name);
          if (it != worst.end() && it->second == HostPhase::active) outSince.erase(name);
          else if (it != worst.end()) outSince[name] = follower.now - seconds(1);  // named: effective at once
          else if (l.isComplete) outSince.emplace(name, follower.now);
        }
      }
      follower.receive(std::move(l));
      const Duration pause = milliseconds(random() % 300);
      follower.advance(pause);
      for (const auto& [name, since] : outSince)
        if (follower.now - since > kMaxHoldTime)
          ASSERT_NE(follower.phaseOf(name), HostPhase::active) << "seed " << seed << " step " << step;
    }
    follower.advance(seconds(120));
    follower.receive(complete(++index, hostsUpTo(6)));
    follower.advance(seconds(1));
    for (int i = 0; i < 6; ++i)
      ASSERT_EQ(follower.phaseOf("h" + std::to_string(i)), HostPhase::active) << seed;
  }
}

}  // namespace
}  // namespace finchstile::membership
