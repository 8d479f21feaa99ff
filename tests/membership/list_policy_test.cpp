// Lists that lie or fail: for each one rule, one count and a bound in time.
#include "membership/list_policy.hpp"

#include <gtest/gtest.h>

#include <map>
#include <random>

namespace finchstile::membership {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

Named named(const std::string& name, HostPhase phase = HostPhase::active, const std::string& at = "",
            Time since = {}) {
  Named n;
  n.entry.address = name;
  n.entry.phase = phase;
  n.entry.startedAt = since;
  n.at = at.empty() ? "at-" + name : at;
  return n;
}

List whole(std::int64_t index, std::vector<Named> hosts) { return {index, true, std::move(hosts)}; }
List change(std::int64_t index, std::vector<Named> hosts) { return {index, false, std::move(hosts)}; }

// What the module would make of all that was told, which is what the rules are about.
struct Follower {
  ListPolicy policy;
  Time now = seconds(100);
  std::map<std::string, HostPhase> phases;
  std::set<std::string> silent;
  bool asked = false;

  explicit Follower(const ListPolicySettings& s = {}) : policy(s) {}
  void follow(ListPolicy::Told&& t) {
    asked = t.askWhole;
    if (!t.list) return;
    if (t.list->whole)
      for (auto& [name, phase] : phases) phase = HostPhase::removed;
    for (const Named& n : t.list->hosts) phases[n.entry.address] = n.entry.phase;
  }
  void list(List l) {
    follow(policy.onList(std::move(l), now,
                         [&](std::string_view h) { return silent.count(std::string(h)) == 0; }));
  }
  void pass(Duration d) {
    for (const Time end = now + d; now < end;) {
      now = std::min(end, now + milliseconds(10));
      if (const auto at = policy.wake(); at && *at <= now) follow(policy.onWake(now));
    }
  }
  HostPhase of(const std::string& name) const {
    const auto it = phases.find(name);
    return it == phases.end() ? HostPhase::removed : it->second;
  }
};

std::vector<Named> many(int n, int from = 0) {
  std::vector<Named> out;
  for (int i = from; i < n; ++i) out.push_back(named("h" + std::to_string(i)));
  return out;
}

TEST(ListPolicy, APlainListPassesAsItIs) {
  Follower f;
  f.list(whole(1, many(4)));
  f.list(change(2, {named("h1", HostPhase::draining), named("new")}));
  EXPECT_EQ(f.of("h0"), HostPhase::active);
  EXPECT_EQ(f.of("h1"), HostPhase::draining);
  EXPECT_EQ(f.of("new"), HostPhase::active);
  f.list(whole(3, many(4, 1)));  // one of five left out: nothing to doubt
  EXPECT_EQ(f.of("h0"), HostPhase::removed);
  EXPECT_FALSE(f.policy.doubting());
  EXPECT_EQ(f.policy.counts().lists, 3u);
}

// Hard case: an empty whole list while the hosts answer.
TEST(ListPolicy, AnEmptyListIsHeldInDoubtAndAskedForAgain) {
  Follower f;
  f.list(whole(1, many(4)));
  f.list(whole(2, {}));
  EXPECT_TRUE(f.asked);
  EXPECT_EQ(f.of("h0"), HostPhase::active);
  f.pass(milliseconds(100));
  f.list(whole(2, many(4)));  // it was a mistake
  EXPECT_EQ(f.of("h0"), HostPhase::active);
  f.pass(seconds(5));
  EXPECT_EQ(f.of("h0"), HostPhase::active);
  EXPECT_EQ(f.policy.counts().doubted, 1u);
  EXPECT_EQ(f.policy.counts().withdrawn, 1u);
}

TEST(ListPolicy, AnEmptyListThatIsConfirmedHoldsAtOnce) {
  Follower f;
  f.list(whole(1, many(4)));
  f.list(whole(2, {}));
  f.pass(milliseconds(50));
  f.list(whole(2, {}));
  EXPECT_EQ(f.of("h0"), HostPhase::removed);
  EXPECT_EQ(f.policy.counts().confirmed, 1u);
}

// The rule on drains is kept: nobody's silence holds a host in for longer than the doubt, whatever is set.
TEST(ListPolicy, ADoubtEndsBeforeTheRuleOnDrains) {
  ListPolicySettings s;
  s.doubt = seconds(60);
  Follower f(s);
  f.list(whole(1, many(4)));
  f.list(whole(2, {}));
  f.pass(milliseconds(390));
  EXPECT_EQ(f.of("h0"), HostPhase::active);
  f.pass(milliseconds(20));
  EXPECT_EQ(f.of("h0"), HostPhase::removed);
  EXPECT_EQ(f.policy.counts().lapsed, 1u);
}

TEST(ListPolicy, WhatADoubtfulListNamesAsDrainingHoldsAtOnce) {
  Follower f;
  f.list(whole(1, many(6)));
  f.list(whole(2, {named("h0", HostPhase::draining)}));
  EXPECT_EQ(f.of("h0"), HostPhase::draining);
  EXPECT_EQ(f.of("h1"), HostPhase::active);
  f.pass(seconds(1));
  EXPECT_EQ(f.of("h0"), HostPhase::draining);
  EXPECT_EQ(f.of("h1"), HostPhase::removed);
}

// Hard case: half a list.
TEST(ListPolicy, HalfAListIsDoubtedOnlyIfTheRestAnswers) {
  Follower f;
  f.list(whole(1, many(10)));
  f.list(whole(2, many(10, 6)));
  EXPECT_TRUE(f.policy.doubting());
  EXPECT_EQ(f.policy.reason("h1"), "left out, in doubt");
  Follower dead;
  dead.list(whole(1, many(10)));
  for (int i = 0; i < 6; ++i) dead.silent.insert("h" + std::to_string(i));
  dead.list(whole(2, many(10, 6)));  // a zone is lost: the list tells what we see
  EXPECT_FALSE(dead.policy.doubting());
  EXPECT_EQ(dead.of("h1"), HostPhase::removed);
}

TEST(ListPolicy, AChangeDuringADoubtSpeaksForWhomItNames) {
  Follower f;
  f.list(whole(1, many(4)));
  f.list(whole(2, {}));
  f.list(change(3, {named("h2")}));
  f.pass(seconds(1));
  EXPECT_EQ(f.of("h1"), HostPhase::removed);
  EXPECT_EQ(f.of("h2"), HostPhase::active);
}

TEST(ListPolicy, DoubtCanBeSwitchedOff) {
  ListPolicySettings s;
  s.doubt = {};
  Follower f(s);
  f.list(whole(1, many(4)));
  f.list(whole(2, {}));
  EXPECT_EQ(f.of("h0"), HostPhase::removed);
}

// Hard case: a list that is older than ours.
TEST(ListPolicy, AnOlderListUndoesNothing) {
  Follower f;
  f.list(whole(7, many(4)));
  f.list(change(8, {named("h0", HostPhase::draining)}));
  f.list(whole(7, many(4)));
  f.list(change(6, {named("h0")}));
  EXPECT_EQ(f.of("h0"), HostPhase::draining);
  EXPECT_EQ(f.policy.counts().older, 2u);
  f.list(change(9, {named("h0")}));
  EXPECT_EQ(f.of("h0"), HostPhase::active);
}

// A discovery that was set up anew counts from the beginning; for ever passed over, it could tell no drain.
TEST(ListPolicy, ADiscoveryThatStartedAnewIsHeardAfterAWhile) {
  Follower f;
  f.list(whole(700, many(4)));
  f.list(whole(1, many(4)));
  f.pass(seconds(9));
  f.list(change(2, {named("h0", HostPhase::draining)}));
  EXPECT_EQ(f.of("h0"), HostPhase::active);
  f.pass(seconds(2));
  f.list(change(
      3, {named("h0", HostPhase::draining)}));  // what it refers to was passed over: the whole is asked for
  EXPECT_TRUE(f.asked);
  f.list(whole(3, many(4, 1)));
  EXPECT_EQ(f.of("h0"), HostPhase::removed);
  EXPECT_EQ(f.policy.counts().renumbered, 1u);
  EXPECT_EQ(f.policy.version(), 3);
}

TEST(ListPolicy, OfAnotherDiscoveryTheVersionsBeginAnew) {
  Follower f;
  f.list(whole(700, many(4)));
  f.policy.onMoved();
  f.list(whole(1, many(4, 1)));
  EXPECT_EQ(f.of("h0"), HostPhase::removed);
  EXPECT_EQ(f.policy.counts().older, 0u);
}

// Hard case: a list that names a host twice.
TEST(ListPolicy, OfAHostThatIsNamedTwiceTheWorseHolds) {
  Follower f;
  for (const bool worseFirst : {true, false}) {
    std::vector<Named> hosts = many(3);
    hosts.push_back(named("x", worseFirst ? HostPhase::draining : HostPhase::active));
    hosts.push_back(named("x", worseFirst ? HostPhase::active : HostPhase::draining));
    f.list(whole(worseFirst ? 1 : 2, hosts));
    EXPECT_EQ(f.of("x"), HostPhase::draining);
  }
  EXPECT_EQ(f.policy.counts().twice, 2u);
  const auto t = f.policy.onList(change(3, {named("y", HostPhase::active, "a:1", seconds(5)),
                                            named("y", HostPhase::active, "a:2", seconds(6))}),
                                 f.now, [](std::string_view) { return true; });
  ASSERT_EQ(t.list->hosts.size(), 1u);
  EXPECT_EQ(t.list->hosts[0].at, "a:2");  // the later start, and the address that goes with it
  EXPECT_EQ(t.list->hosts[0].entry.startedAt, Time(seconds(6)));
}

// Hard case: an address that moves to another name, the old one still listed.
TEST(ListPolicy, OfTwoAtOneAddressTheLaterStartIsThere) {
  Follower f;
  f.list(whole(1, {named("old", HostPhase::active, "a:1", seconds(5)), named("b")}));
  f.list(change(2, {named("new", HostPhase::active, "a:1", seconds(50))}));
  EXPECT_EQ(f.of("new"), HostPhase::active);
  EXPECT_EQ(f.of("old"), HostPhase::draining);
  EXPECT_EQ(f.policy.reason("old"), "its address is another's");
  f.list(change(3, {named("old", HostPhase::removed, "a:1")}));
  EXPECT_EQ(f.of("old"), HostPhase::removed);
  f.list(change(
      4, {named("late", HostPhase::active, "a:1", seconds(20))}));  // started before the one that is there
  EXPECT_EQ(f.of("late"), HostPhase::draining);
  EXPECT_EQ(f.of("new"), HostPhase::active);
  EXPECT_EQ(f.policy.counts().shared, 2u);
  f.list(change(5, {named("new", HostPhase::draining, "a:1", seconds(50))}));
  f.list(change(6, {named("late", HostPhase::active, "a:1", seconds(20))}));
  EXPECT_EQ(f.of("late"), HostPhase::active);
}

TEST(ListPolicy, TwoAtOneAddressInOneWholeList) {
  Follower f;
  f.list(whole(1, {named("b", HostPhase::active, "a:1", seconds(9)),
                   named("a", HostPhase::active, "a:1", seconds(5))}));
  EXPECT_EQ(f.of("a"), HostPhase::draining);
  EXPECT_EQ(f.of("b"), HostPhase::active);
  f.list(whole(2, {named("a", HostPhase::active, "a:1", seconds(5)),
                   named("b", HostPhase::active, "a:1", seconds(9))}));
  EXPECT_EQ(f.of("a"), HostPhase::draining);
  EXPECT_EQ(f.of("b"), HostPhase::active);
}

// A host whose address the list moves is the same host.
TEST(ListPolicy, AHostThatMovesGivesItsAddressBack) {
  Follower f;
  f.list(whole(1, {named("a", HostPhase::active, "p:1"), named("b", HostPhase::active, "p:2")}));
  f.list(change(2, {named("a", HostPhase::active, "p:3")}));
  f.list(change(3, {named("c", HostPhase::active, "p:1")}));
  EXPECT_EQ(f.of("c"), HostPhase::active);
  EXPECT_EQ(f.of("a"), HostPhase::active);
  EXPECT_EQ(f.policy.counts().shared, 0u);
}

// Hard case: a host that is taken out and back ten times a second.
TEST(ListPolicy, AFlappingHostStaysOutUntilItHasCalmedDown) {
  for (const bool byWhole : {false, true}) {
    Follower f;
    f.list(whole(1, many(5)));
    std::int64_t index = 1;
    for (int i = 0; i < 20; ++i) {
      ++index;
      if (byWhole) f.list(whole(index, many(5, 1)));
      else f.list(change(index, {named("h0", HostPhase::draining)}));
      f.pass(milliseconds(50));
      ++index;
      if (byWhole) f.list(whole(index, many(5)));
      else f.list(change(index, {named("h0")}));
      if (i >= 6) EXPECT_EQ(f.of("h0"), HostPhase::draining) << i;
      f.pass(milliseconds(50));
    }
    EXPECT_EQ(f.policy.counts().flapping, 1u);
    EXPECT_EQ(f.policy.reason("h0"), "flapping");
    EXPECT_EQ(f.of("h1"), HostPhase::active);
    f.pass(seconds(60));
    EXPECT_EQ(f.of("h0"), HostPhase::active);
    EXPECT_EQ(f.policy.reason("h0"), "");
  }
}

TEST(ListPolicy, ADeployIsNoFlap) {
  Follower f;
  f.list(whole(1, many(5)));
  std::int64_t index = 1;
  for (int i = 0; i < 5; ++i) {
    const std::string name = "h" + std::to_string(i);
    f.list(change(++index, {named(name, HostPhase::draining)}));
    f.pass(seconds(1));
    f.list(change(++index, {named(name, HostPhase::removed)}));
    f.pass(seconds(1));
    f.list(change(++index, {named(name, HostPhase::active, "", f.now)}));
    EXPECT_EQ(f.of(name), HostPhase::active);
  }
  EXPECT_EQ(f.policy.counts().flapping, 0u);
}

TEST(ListPolicy, WhatHasGoneIsForgottenAndTheTableIsBounded) {
  ListPolicySettings s;
  s.hosts = 50;
  Follower f(s);
  for (int i = 0; i < 500; ++i) {  // a fleet that is replaced all the time
    f.list(whole(i + 1, many(i + 10, i)));
    f.pass(seconds(2));
  }
  EXPECT_LT(f.policy.size(), 50u);
  EXPECT_EQ(f.policy.counts().dropped, 0u);
  f.list(whole(1000, many(200)));
  EXPECT_LE(f.policy.size(), 50u);
  EXPECT_GT(f.policy.counts().dropped, 0u);
}

// Hard case: discovery is gone for an hour.
TEST(ListPolicy, ALostDiscoveryLeavesTheListAsItIs) {
  Follower f;
  f.list(whole(1, many(3)));
  for (int i = 0; i < 3600; ++i) {
    f.policy.onLost();
    f.pass(seconds(1));
  }
  EXPECT_EQ(f.of("h2"), HostPhase::active);
  EXPECT_EQ(f.policy.counts().lost, 3600u);
  EXPECT_EQ(f.policy.listAt(), Time(seconds(100)));
}

// Whatever lists come: what one newer than ours names as draining or gone is never in force as `in`; what a
// whole list leaves out is out after the doubt at the latest; once lists are plain for long enough, what is
// in force is what they say.
TEST(ListPolicy, AnyListsKeepTheRuleOnDrains) {
  for (unsigned seed = 1; seed <= 300; ++seed) {
    std::mt19937 dice(seed);
    Follower f;
    f.list(whole(1, many(6)));
    std::int64_t index = 1;
    std::map<std::string, Time> outSince;  // by the lists that count
    for (int i = 0; i < 6; ++i) f.silent.clear();
    for (int step = 0; step < 120; ++step) {
      List l;
      l.whole = dice() % 3 == 0;
      l.index = dice() % 5 == 0 ? index - 1 : ++index;
      for (int i = 0; i < 6; ++i)
        if (dice() % 2)
          l.hosts.push_back(named("h" + std::to_string(i), static_cast<HostPhase>(dice() % 3),
                                  "p:" + std::to_string(dice() % 8), seconds(dice() % 4)));
      const bool counts = l.index >= index;
      std::map<std::string, HostPhase> worst;
      for (const Named& n : l.hosts) {
        const auto [it, fresh] = worst.emplace(n.entry.address, n.entry.phase);
        if (!fresh && n.entry.phase != HostPhase::active) it->second = n.entry.phase;
      }
      if (counts) {
        for (int i = 0; i < 6; ++i) {
          const std::string name = "h" + std::to_string(i);
          const auto it = worst.find(name);
          if (it != worst.end() && it->second == HostPhase::active) outSince.erase(name);
          else if (it != worst.end()) outSince[name] = f.now - seconds(1);  // named: at once
          else if (l.whole) outSince.emplace(name, f.now);
        }
      }
      f.list(std::move(l));
      const Duration pause = milliseconds(dice() % 300);
      f.pass(pause);
      for (const auto& [name, since] : outSince)
        if (f.now - since > kDoubtMost)
          ASSERT_NE(f.of(name), HostPhase::active) << "seed " << seed << " step " << step;
    }
    f.pass(seconds(120));
    f.list(whole(++index, many(6)));
    f.pass(seconds(1));
    for (int i = 0; i < 6; ++i) ASSERT_EQ(f.of("h" + std::to_string(i)), HostPhase::active) << seed;
  }
}

}  // namespace
}  // namespace finchstile::membership
