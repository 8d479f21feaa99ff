// What gateways tell one another of hosts: who is convinced by what, what a liar can do, what is sent.
#include "membership/gossip.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <random>

namespace finchstile::membership {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

Rumour silent(HostKey host, Duration age = {}, std::int64_t started = 0) {
  return {host, started, Rumour::What::silent, 0, age};
}
Rumour phase(HostKey host, Rumour::What what, std::uint64_t version, std::int64_t started = 0) {
  return {host, started, what, version, {}};
}
std::string bytes(std::vector<Rumour> r) { return encodeRumours(r).value(); }

// One gateway of five, before ten hosts.
struct One {
  GossipSettings settings;
  std::map<HostKey, Time> answered;
  Time now = seconds(100);
  std::unique_ptr<Gossip> gossip;

  explicit One(const std::function<void(GossipSettings&)>& change = [](GossipSettings&) {}) {
    settings.gateways = 5;
    settings.quorum = 2;
    change(settings);
    gossip = std::make_unique<Gossip>(settings, 7, now, [this](HostKey h) {
      const auto it = answered.find(h);
      return it == answered.end() ? Time{} : it->second;
    });
    for (HostKey h = 1; h <= 10; ++h) gossip->onListed(h, 0, HostPhase::active, 5, now);
  }
  void hears(GatewayNumber from, std::vector<Rumour> r) { gossip->receive(from, bytes(std::move(r)), now); }
  std::vector<Rumour> tells() {
    std::vector<Rumour> all;
    for (const auto& o : gossip->tick(now)) {
      const auto r = decodeRumours(o.payload);
      EXPECT_TRUE(r);
      all = *r;  // the same to each
    }
    return all;
  }
};

TEST(Rumours, ComeThroughAsTheyWere) {
  std::vector<Rumour> all;
  for (int i = 0; i < 8; ++i)
    all.push_back({~HostKey{0} - static_cast<HostKey>(i), 1'700'000'000'000 + i,
                   static_cast<Rumour::What>(i % 3 + 1), 1ull << (8 * i), milliseconds(10) * i});
  const std::string b = bytes(all);
  EXPECT_EQ(b.size(), 218u);  // what a datagram between gateways has room for
  EXPECT_EQ(decodeRumours(b), all);
  EXPECT_FALSE(encodeRumours({}));
  all.push_back(all[0]);
  EXPECT_FALSE(encodeRumours(all));
  // Ages are rounded up and bounded: what is told on gets no younger.
  EXPECT_EQ(decodeRumours(bytes({silent(1, Duration(1))}))->at(0).age, Duration(milliseconds(10)));
  EXPECT_EQ(decodeRumours(bytes({silent(1, std::chrono::hours(9))}))->at(0).age, kAgeMost);
  EXPECT_EQ(decodeRumours(bytes({silent(1, -seconds(5))}))->at(0).age, Duration{});
}

TEST(Rumours, WhatIsCutOrNoRumourIsNone) {
  const std::string b = bytes({silent(1), silent(2)});
  for (std::size_t n = 0; n < b.size(); ++n) EXPECT_FALSE(decodeRumours(b.substr(0, n))) << n;
  EXPECT_FALSE(decodeRumours(b + "x"));
  std::string bad = b;
  bad[2 + 16] = 9;
  EXPECT_FALSE(decodeRumours(bad));
  bad = b;
  bad[0] = 2;
  EXPECT_FALSE(decodeRumours(bad));
}

TEST(Gossip, InCalmNothingIsSent) {
  One g;
  for (int i = 0; i < 1000; ++i) {
    EXPECT_TRUE(g.gossip->tick(g.now).empty());
    g.now += milliseconds(200);
  }
}

TEST(Gossip, OneGatewayConvincesNobodyOfSilence) {
  One g;
  for (int i = 0; i < 50; ++i) {
    g.hears(1, {silent(3)});
    g.now += milliseconds(100);
  }
  EXPECT_FALSE(g.gossip->silentByOthers(3, g.now));
  EXPECT_TRUE(g.tells().empty());  // nor is it told on
}

TEST(Gossip, AQuorumConvincesAndIsToldOnNoYoungerThanItWas) {
  One g;
  g.hears(1, {silent(3, milliseconds(400))});
  g.hears(2, {silent(3, milliseconds(900))});
  EXPECT_TRUE(g.gossip->silentByOthers(3, g.now));
  EXPECT_EQ(g.gossip->takeSilent().size(), 1u);
  g.now += milliseconds(100);
  const auto told = g.tells();
  ASSERT_EQ(told.size(), 1u);
  EXPECT_EQ(told[0].age, Duration(seconds(1)));  // of the second youngest: the youngest alone proves nothing
  g.now += milliseconds(2000);
  EXPECT_FALSE(g.gossip->silentByOthers(3, g.now));  // 3 s after it was seen
  EXPECT_EQ(g.gossip->counts().convinced, 1u);
}

// Danger: two that only repeat one another would keep a host out for ever.
TEST(Gossip, ConvictionsDoNotKeepOneAnotherAlive) {
  std::vector<std::unique_ptr<One>> all;
  for (int i = 0; i < 5; ++i)
    all.push_back(std::make_unique<One>([&](GossipSettings& s) { s.own = static_cast<GatewayNumber>(i); }));
  all[0]->gossip->onSilent(3, 0, all[0]->now);
  all[1]->gossip->onSilent(3, 0, all[1]->now);
  bool known = false;
  for (int i = 0; i < 40; ++i) {
    for (GatewayNumber from = 0; from < 5; ++from)
      for (const auto& o : all[from]->gossip->tick(all[from]->now))
        all[o.to]->gossip->receive(from, o.payload, all[o.to]->now);
    known |= all[4]->gossip->silentByOthers(3, all[4]->now);
    for (auto& g : all) g->now += milliseconds(200);
  }
  EXPECT_TRUE(known);
  for (auto& g : all) {
    EXPECT_FALSE(g->gossip->silentByOthers(3, g->now));
    EXPECT_TRUE(g->gossip->tick(g->now).empty());
  }
}

TEST(Gossip, OurOwnAnswersGoBeforeTheWordOfOthers) {
  One g;
  g.answered[3] = g.now - milliseconds(100);
  g.hears(1, {silent(3, milliseconds(400))});
  g.hears(2, {silent(3, milliseconds(400))});
  EXPECT_FALSE(g.gossip->silentByOthers(3, g.now));
  EXPECT_EQ(g.gossip->counts().contradicted, 2u);
  g.hears(1, {silent(4)});
  g.hears(2, {silent(4)});
  EXPECT_TRUE(g.gossip->silentByOthers(4, g.now));
  g.answered[4] = g.now + milliseconds(5);
  EXPECT_FALSE(g.gossip->silentByOthers(4, g.now + milliseconds(10)));
}

// Hard case: a worker restarts between two facts.
TEST(Gossip, OfAnotherStartNothingHolds) {
  One g;
  g.hears(1, {silent(3)});
  g.gossip->onListed(3, 1000, HostPhase::active, 6, g.now);
  g.hears(2, {silent(3)});  // of the process before
  EXPECT_FALSE(g.gossip->silentByOthers(3, g.now));
  g.hears(2, {silent(3, {}, 1000)});
  EXPECT_FALSE(g.gossip->silentByOthers(3, g.now));  // the first vote was on the other
  g.hears(1, {silent(3, {}, 1000)});
  EXPECT_TRUE(g.gossip->silentByOthers(3, g.now));
  g.gossip->onSilent(3, 0, g.now);  // an attempt of before that ends late
  EXPECT_EQ(g.tells().at(0).started, 1000);
}

TEST(Gossip, OnlyOurListNamesAHost) {
  One g;
  g.hears(1, {silent(99), phase(99, Rumour::What::out, 9)});
  g.hears(2, {silent(99)});
  EXPECT_FALSE(g.gossip->silentByOthers(99, g.now));
  EXPECT_TRUE(g.gossip->takeAccepted().empty());
  EXPECT_EQ(g.gossip->size(), 10u);
}

// Hard case: a mad peer that calls every worker dead.
TEST(Gossip, AMadPeerKeepsOutABoundedShareForABoundedTime) {
  One g;
  std::size_t taken = 0;
  for (int second = 0; second < 600; ++second) {
    for (HostKey h = 1; h <= 10; ++h)
      g.hears(1, {silent(h), phase(h, Rumour::What::out, 1000 + static_cast<std::uint64_t>(second))});
    for (HostKey h = 1; h <= 10; ++h) EXPECT_FALSE(g.gossip->silentByOthers(h, g.now));
    taken += g.gossip->takeAccepted().size();
    g.gossip->tick(g.now);
    g.now += seconds(1);
  }
  // Two of ten hosts at once (a quarter), 10 s each, until 32 claims were wrong; then one a minute.
  EXPECT_LE(taken, 32u + 10u + 2u);
  EXPECT_FALSE(g.gossip->heard(1));
  EXPECT_GT(g.gossip->counts().overShare, 0u);
  EXPECT_GT(g.gossip->counts().unheard, 0u);
  // Nobody else's word is worth less for it.
  g.hears(2, {phase(4, Rumour::What::draining, 9)});
  EXPECT_EQ(g.gossip->takeAccepted().size(), 1u);
}

// Hard case: the peer's view is older than the list's.
TEST(Gossip, ClaimsOfOlderListsAreNone) {
  One g;
  g.hears(1, {phase(3, Rumour::What::draining, 5)});
  g.hears(1, {phase(3, Rumour::What::out, 4)});
  EXPECT_TRUE(g.gossip->takeAccepted().empty());
  g.hears(1, {phase(3, Rumour::What::draining, 6)});
  const auto a = g.gossip->takeAccepted();
  ASSERT_EQ(a.size(), 1u);
  EXPECT_EQ(a[0].phase, HostPhase::draining);
  EXPECT_EQ(a[0].since, g.now);
}

TEST(Gossip, AClaimSaidAgainGetsNoYounger) {
  One g;
  const Time first = g.now;
  for (int i = 0; i < 9; ++i) {
    g.hears(
        1, {phase(3, i < 5 ? Rumour::What::draining : Rumour::What::out, 6 + static_cast<std::uint64_t>(i))});
    for (const auto& a : g.gossip->takeAccepted()) EXPECT_EQ(a.since, first);
    g.now += seconds(1);
  }
  EXPECT_EQ(g.gossip->counts().claims, 1u);
}

TEST(Gossip, AClaimThatTheListBearsOutCostsNothing) {
  One g([](GossipSettings& s) { s.credit = 2; });
  for (std::uint64_t v = 6; v < 40; v += 2) {  // a peer that hears its list ahead of us, deploy after deploy
    g.hears(1, {phase(3, Rumour::What::draining, v)});
    EXPECT_EQ(g.gossip->takeAccepted().size(), 1u) << v;
    g.now += seconds(2);
    g.gossip->onListed(3, 0, HostPhase::draining, v, g.now);
    g.gossip->onListed(3, 0, HostPhase::active, v + 1, g.now);
  }
  EXPECT_TRUE(g.gossip->heard(1));
  EXPECT_EQ(g.gossip->counts().lapsed, 0u);
  EXPECT_EQ(g.gossip->counts().borne, 17u);
}

// Danger: where everybody finds everything silent, as in an overload, nobody would serve.
TEST(Gossip, TheWordOfOthersNeverEmptiesThePool) {
  One g;
  for (HostKey h = 1; h <= 10; ++h)
    for (GatewayNumber from = 1; from < 5; ++from) g.hears(from, {silent(h)});
  std::size_t out = 0;
  for (HostKey h = 1; h <= 10; ++h) out += g.gossip->silentByOthers(h, g.now);
  EXPECT_EQ(out, 5u);
}

TEST(Gossip, WhatIsSentIsBounded) {
  One g([](GossipSettings& s) { s.gateways = 1000; });
  for (HostKey h = 100; h < 10'100; ++h) g.gossip->onListed(h, 0, HostPhase::active, 6, g.now);
  for (HostKey h = 100; h < 10'100; ++h)
    g.gossip->onListed(h, 0, HostPhase::removed, 7, g.now);  // all of them go at once
  std::size_t sent = 0, bytes = 0;
  for (int i = 0; i < 50; ++i) {
    for (const auto& o : g.gossip->tick(g.now)) ++sent, bytes += o.payload.size();
    g.now += milliseconds(200);
  }
  EXPECT_EQ(sent, 150u);
  EXPECT_LE(bytes, 150u * 218u);
  EXPECT_GT(g.gossip->counts().dropped, 0u);
}

TEST(Gossip, AChangeIsToldSoManyTimesAndNoMore) {
  One g;
  g.gossip->onListed(3, 0, HostPhase::draining, 6, g.now);
  std::size_t told = 0;
  for (int i = 0; i < 100; ++i) {
    told += !g.tells().empty();
    g.now += milliseconds(200);
  }
  EXPECT_EQ(told, 6u);  // 2 log2(6), rounded up
  g.gossip->onListed(3, 0, HostPhase::draining, 7, g.now);
  EXPECT_TRUE(g.tells().empty());  // nothing new
  g.gossip->onListed(3, 0, HostPhase::removed, 8, g.now);
  g.gossip->onForgotten(3);
  EXPECT_EQ(g.tells().at(0).what, Rumour::What::out);  // the news outlives the record
}

TEST(Gossip, WhatIsNoMessageOfAnotherGatewayIsCounted) {
  One g;
  g.gossip->receive(1, "noise", g.now);
  g.gossip->receive(0, bytes({silent(1)}), g.now);  // ourselves
  g.gossip->receive(9, bytes({silent(1)}), g.now);  // nobody
  EXPECT_EQ(g.gossip->counts().malformed, 3u);
}

// Hard case: a clock that is off by minutes, either way. Ages are told and not times.
TEST(Gossip, ClocksNeedNotAgree) {
  for (const Duration off : {Duration(minutes(5)), Duration(-minutes(1))}) {
    One teller([](GossipSettings&s) { s.own = 1; }), hearer;
    teller.now += off;
    teller.gossip->onSilent(3, 0, teller.now);
    teller.now += milliseconds(500);
    const auto told = teller.tells();
    ASSERT_EQ(told.size(), 1u);
    EXPECT_EQ(told[0].age, Duration(milliseconds(500)));
    hearer.hears(1, told);
    hearer.hears(2, told);
    EXPECT_TRUE(hearer.gossip->silentByOthers(3, hearer.now));
    EXPECT_FALSE(hearer.gossip->silentByOthers(3, hearer.now + seconds(3)));
  }
}

// Hard case: a partition. Each half goes by itself, and neither holds anything against what answers it.
TEST(Gossip, HalvesThatDoNotHearOneAnotherGoEachByItself) {
  std::vector<std::unique_ptr<One>> all;
  for (GatewayNumber i = 0; i < 6; ++i)
    all.push_back(std::make_unique<One>([&](GossipSettings& s) { s.own = i, s.gateways = 6; }));
  for (GatewayNumber i = 0; i < 3; ++i) all[i]->gossip->onSilent(3, 0, all[i]->now);
  for (int round = 0; round < 5; ++round)
    for (GatewayNumber from = 0; from < 6; ++from) {
      if (from >= 3) all[from]->answered[3] = all[from]->now;
      for (const auto& o : all[from]->gossip->tick(all[from]->now))
        if ((from < 3) == (o.to < 3)) all[o.to]->gossip->receive(from, o.payload, all[o.to]->now);
      all[from]->now += milliseconds(200);
    }
  for (GatewayNumber i = 0; i < 6; ++i) EXPECT_EQ(all[i]->gossip->silentByOthers(3, all[i]->now), i < 3) << i;
  // Healed: what the others say is older than what was answered here.
  for (GatewayNumber from = 0; from < 3; ++from) all[5]->hears(from, {silent(3, milliseconds(300))});
  EXPECT_FALSE(all[5]->gossip->silentByOthers(3, all[5]->now));
}

// Votes in any order, repeated and late: the same conviction, as a reference that keeps everything has it.
TEST(Gossip, AnyOrderOfVotesConvincesAlike) {
  for (unsigned seed = 1; seed <= 2000; ++seed) {
    std::mt19937 dice(seed);
    One g([](GossipSettings& s) { s.gateways = 9, s.quorum = 3; });
    std::vector<std::pair<GatewayNumber, Rumour>> votes;
    for (int i = 0; i < 8; ++i)
      votes.push_back(
          {static_cast<GatewayNumber>(1 + dice() % 5), silent(3, milliseconds(10) * (dice() % 500))});
    if (dice() % 3 == 0) g.answered[3] = g.now - milliseconds(10) * (dice() % 400);
    std::map<GatewayNumber, Time> youngest;
    for (const auto& [from, r] : votes) {
      const Time seen = g.now - r.age;
      if (r.age < g.settings.holds && seen > g.answered[3]) {
        auto [it, fresh] = youngest.emplace(from, seen);
        it->second = std::max(it->second, seen);
      }
    }
    std::shuffle(votes.begin(), votes.end(), dice);
    for (const auto& [from, r] : votes) {
      g.hears(from, {r});
      if (dice() % 2) g.hears(from, {r});
    }
    if (g.answered[3] == Time{}) g.answered.erase(3);
    ASSERT_EQ(g.gossip->silentByOthers(3, g.now), youngest.size() >= 3) << seed;
  }
}

}  // namespace
}  // namespace finchstile::membership
