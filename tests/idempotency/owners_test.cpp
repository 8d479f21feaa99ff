// Owners of keys among gateways that lose, delay and repeat what they say to one another, start anew, and
// disagree on who there is. A network in memory: what it does comes from dice that each test sets.
#include "idempotency/owners.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <random>

namespace finchstile::idempotency {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Kind = Owners::Decision::Kind;

struct Net {
  std::mt19937 dice{3};
  OwnerSettings settings;
  Time now = std::chrono::hours(24);
  double lost = 0, twice = 0;
  Duration delayMost = milliseconds(2);
  struct Gateway {
    std::unique_ptr<Owners> owners;
    std::uint64_t epoch = 1;
    bool down = false;
    std::vector<Owners::Decision> decided;
  };
  std::vector<Gateway> all;
  struct Flying {
    Time at;
    std::uint64_t order;
    GatewayNumber from, to;
    std::uint64_t epoch;
    std::string payload;
    bool operator<(const Flying& b) const { return std::tie(at, order) < std::tie(b.at, b.order); }
  };
  std::set<Flying> flying;
  std::uint64_t order = 0;

  explicit Net(GatewayNumber gateways) {
    settings.gateways = gateways;
    settings.keep = seconds(10);
    settings.longest = seconds(2);
    for (GatewayNumber n = 0; n < gateways; ++n) {
      all.emplace_back();
      start(n);
    }
    run(settings.keep + settings.longest);  // none is young any more
  }
  void start(GatewayNumber n) {
    settings.own = n;
    all[n].owners = std::make_unique<Owners>(settings, SipKey{7, 8}, now);
    ++all[n].epoch;
    all[n].decided.clear();
    all[n].down = false;
  }
  Owners& operator[](GatewayNumber n) { return *all[n].owners; }

  void collect() {
    for (GatewayNumber n = 0; n < all.size(); ++n) {
      for (auto& out : all[n].owners->takeOutgoing()) {
        EXPECT_LE(out.payload.size(), 218u);  // what a datagram holds
        EXPECT_NE(out.to, n);
        for (int copies = chance(twice) ? 2 : 1; copies > 0; --copies)
          if (!chance(lost))
            flying.insert({now + Duration(dice() % (delayMost.count() + 1)), ++order, n, out.to, all[n].epoch,
                           out.payload});
      }
      for (auto& d : all[n].owners->takeDecisions()) all[n].decided.push_back(std::move(d));
    }
  }
  bool chance(double p) { return dice() % 10'000 < p * 10'000; }
  void run(Duration span) {
    const Time until = now + span;
    for (;;) {
      collect();
      Time next = until;
      if (!flying.empty()) next = std::min(next, flying.begin()->at);
      for (const Gateway& g : all)
        if (!g.down && g.owners->wake()) next = std::min(next, *g.owners->wake());
      now = std::max(now, next);
      while (!flying.empty() && flying.begin()->at <= now) {
        const Flying f = *flying.begin();
        flying.erase(flying.begin());
        if (!all[f.to].down) all[f.to].owners->receive(now, f.from, f.epoch, f.payload);
      }
      for (Gateway& g : all)
        if (!g.down && g.owners->wake() && *g.owners->wake() <= now) g.owners->tick(now);
      if (now >= until) return collect();
    }
  }
  SharedKey key(const std::string& name, const std::string& body = "b") {
    return all[0].owners->keyOf("acme", "put", name, "POST", "/put/1", body);
  }
  // The decision on that run, if there is one by then.
  const Owners::Decision* decision(GatewayNumber n, std::uint64_t run) const {
    for (const auto& d : all[n].decided)
      if (d.run == run) return &d;
    return nullptr;
  }
  void over(GatewayNumber n, std::uint64_t run, State to, const std::string& body = "",
            const std::string& zone = "east") {
    const KeptAnswer a{201, "text/x", body};
    all[n].owners->over(now, run, to, zone.empty() ? Earlier{} : Earlier{zone, 1, now}, now + settings.keep,
                        &a);
  }
};

TEST(Owners, AreTheSameForAllAndFewKeysMoveWithOneGatewayMore) {
  Net net(5);
  OwnerSettings more = net.settings;
  more.gateways = 6;
  const Owners six(more, SipKey{7, 8}, net.now);
  std::map<GatewayNumber, int> first;
  int moved = 0;
  for (int i = 0; i < 6000; ++i) {
    const SharedKey k = net.key(std::to_string(i));
    const auto owners = net[0].ownersOf(k.id);
    ASSERT_EQ(owners.size(), 3u);
    EXPECT_EQ(owners, net[4].ownersOf(k.id));
    EXPECT_EQ(std::set<GatewayNumber>(owners.begin(), owners.end()).size(), 3u);
    ++first[owners[0]];
    moved += six.ownersOf(k.id)[0] != owners[0];
  }
  for (const auto& [n, count] : first) EXPECT_NEAR(count, 1200, 150) << n;
  EXPECT_NEAR(moved, 1000, 150);  // a sixth
}

TEST(Owners, ARepeatElsewhereWaitsForTheFirstAndGetsItsAnswer) {
  for (const std::size_t size : {0u, 5u, 600u, 1900u}) {
    Net net(4);
    const auto k = net.key("k");
    net[0].claim(net.now, 1, k, false);
    net.run(milliseconds(20));
    net[1].claim(net.now, 1, k, true);
    net.run(milliseconds(500));
    EXPECT_FALSE(net.decision(1, 1));
    const std::string body(size, 'x');
    net.over(0, 1, State::answered, body);
    net.run(milliseconds(200));
    const auto* d = net.decision(1, 1);
    ASSERT_TRUE(d);
    ASSERT_EQ(d->kind, Kind::answer);
    EXPECT_EQ(d->answer.status, 201u);
    EXPECT_EQ(d->answer.contentType, "text/x");
    EXPECT_EQ(d->answer.body, body);
  }
}

TEST(Owners, AnAnswerThatIsTooLargeToSendLeavesItUncertain) {
  Net net(4);
  const auto k = net.key("k");
  net[0].claim(net.now, 1, k, false);
  net.run(milliseconds(20));
  const Time sent = net.now;
  net.over(0, 1, State::answered, std::string(3000, 'x'));
  net.run(milliseconds(50));
  net[1].claim(net.now, 1, k, true);
  net.run(milliseconds(100));
  const auto* d = net.decision(1, 1);
  ASSERT_TRUE(d);
  EXPECT_EQ(d->kind, Kind::uncertain);
  EXPECT_EQ(d->earlier.zone, "east");
  // Never later than it was, or a repeat would be sent behind the hosts' window.
  EXPECT_LE(d->earlier.sentAt, sent);
  EXPECT_GE(d->earlier.sentAt, sent - milliseconds(400));
}

TEST(Owners, OneThatNeverRanLeavesItsKeyFree) {
  Net net(4);
  const auto k = net.key("k");
  net[0].claim(net.now, 1, k, false);
  net.run(milliseconds(20));
  net.over(0, 1, State::free);
  net.run(milliseconds(20));
  net[1].claim(net.now, 1, k, true);
  net.run(milliseconds(20));
  ASSERT_TRUE(net.decision(1, 1));
  EXPECT_EQ(net.decision(1, 1)->kind, Kind::run);
}

TEST(Owners, OneThatMayHaveRunBindsItsRepeatAndOnlyOneOfThemAtATime) {
  Net net(4);
  const auto k = net.key("k");
  net[0].claim(net.now, 1, k, false);
  net.run(milliseconds(20));
  const Time sent = net.now;
  net.over(0, 1, State::uncertain, "", "west");
  net.run(milliseconds(20));
  net[1].claim(net.now, 1, k, true);
  net.run(milliseconds(20));
  ASSERT_TRUE(net.decision(1, 1));
  EXPECT_EQ(net.decision(1, 1)->kind, Kind::uncertain);
  EXPECT_EQ(net.decision(1, 1)->earlier.zone, "west");
  EXPECT_EQ(net.decision(1, 1)->earlier.cell, 1);
  EXPECT_LE(net.decision(1, 1)->earlier.sentAt, sent);
  EXPECT_LE(net.decision(1, 1)->until, sent + net.settings.keep + milliseconds(10));
  net[2].claim(net.now, 1, k, true);
  net.run(milliseconds(200));
  EXPECT_FALSE(net.decision(2, 1));  // the other one runs
  net.over(1, 1, State::free);       // it failed unsent
  net.run(milliseconds(100));
  ASSERT_TRUE(net.decision(2, 1));
  EXPECT_EQ(net.decision(2, 1)->kind, Kind::uncertain);  // still
  net.over(2, 1, State::free);
  net.run(net.settings.keep);
  net[3].claim(net.now, 1, k, true);
  net.run(milliseconds(20));
  EXPECT_EQ(net.decision(3, 1)->kind, Kind::run);  // no longer than it had to
}

TEST(Owners, TheSameKeyOfAnotherRequestIsAMismatch) {
  Net net(4);
  net[0].claim(net.now, 1, net.key("k"), false);
  net.run(milliseconds(20));
  net[1].claim(net.now, 1, net.key("k", "another body"), true);
  net.run(milliseconds(20));
  ASSERT_TRUE(net.decision(1, 1));
  EXPECT_EQ(net.decision(1, 1)->kind, Kind::mismatch);
}

// Hard case: the owners are silent. What can't be known is not taken for known.
TEST(Owners, SilentOwnersLeaveItUncertainOrRunItAsSet) {
  for (const bool runs : {false, true}) {
    Net net(4);
    net.settings.runWhenSilent = runs;
    net.start(1);
    net.run(net.settings.keep + net.settings.longest);
    net.lost = 1;
    const Time begin = net.now;
    net[1].claim(net.now, 1, net.key("k"), true);
    net.run(milliseconds(100));
    ASSERT_TRUE(net.decision(1, 1));
    EXPECT_EQ(net.decision(1, 1)->kind, runs ? Kind::run : Kind::uncertain);
    EXPECT_EQ(net.decision(1, 1)->earlier.sentAt, Time{});
    EXPECT_EQ(net[1].counts().untold, 1u);
    EXPECT_EQ(net[1].pending(), 0u);  // nothing comes again for ever
    EXPECT_LE(net.now - begin, milliseconds(100));
  }
}

// Hard case: owners start anew, and have forgotten. Their ignorance counts for nothing; the others' knowledge
// does.
TEST(Owners, AnOwnerThatStartedAnewHidesNothing) {
  for (int i = 0; i < 20; ++i) {
    Net net(4);
    const auto k = net.key("k" + std::to_string(i));
    const auto owners = net[0].ownersOf(k.id);
    const auto runner = static_cast<GatewayNumber>(i % 4), repeats = static_cast<GatewayNumber>((i + 1) % 4);
    net[runner].claim(net.now, 1, k, false);
    net.run(milliseconds(20));
    const auto fresh = owners[static_cast<std::size_t>(i) % 3];
    if (fresh == runner || fresh == repeats) continue;
    net.start(fresh);
    net[repeats].claim(net.now, 1, k, true);
    net.run(milliseconds(100));
    EXPECT_FALSE(net.decision(repeats, 1));
  }
}

TEST(Owners, WhileMostOwnersAreYoungNothingIsTakenForNew) {
  Net net(3);
  net.start(0), net.start(1), net.start(2);
  net[1].claim(net.now, 1, net.key("k"), true);
  net.run(milliseconds(100));
  ASSERT_TRUE(net.decision(1, 1));
  EXPECT_EQ(net.decision(1, 1)->kind, Kind::uncertain);
  net.over(1, 1, State::free);
  net.run(net.settings.keep + net.settings.longest);
  net[1].claim(net.now, 2, net.key("k"), true);
  net.run(milliseconds(100));
  EXPECT_EQ(net.decision(1, 2)->kind, Kind::run);
}

// The one who ran it starts anew: what became of it nobody can tell.
TEST(Owners, ARunnerThatStartsAnewLeavesItsKeysUncertain) {
  Net net(4);
  const auto k = net.key("k");
  net[0].claim(net.now, 1, k, false);
  net.run(milliseconds(20));
  net.start(0);
  net[0].claim(net.now, 1, k, true);  // its client repeats there
  net.run(milliseconds(100));
  ASSERT_TRUE(net.decision(0, 1));
  EXPECT_EQ(net.decision(0, 1)->kind, Kind::uncertain);
  EXPECT_EQ(net.decision(0, 1)->earlier.sentAt, Time{});
}

TEST(Owners, ARunnerThatIsNotHeardOfAnyMoreLeavesItUncertain) {
  Net net(4);
  const auto k = net.key("k");
  net[0].claim(net.now, 1, k, false);
  net.run(milliseconds(20));
  net.all[0].down = true;
  net[1].claim(net.now, 1, k, true);
  net.run(seconds(1));
  EXPECT_FALSE(net.decision(1, 1));
  net.run(seconds(2));
  ASSERT_TRUE(net.decision(1, 1));
  EXPECT_EQ(net.decision(1, 1)->kind, Kind::uncertain);
}

// Hard case: two gateways disagree on who there is. One that does not hold itself for an owner says nothing.
TEST(Owners, GatewaysThatDisagreeOnTheMembershipTakeNothingForNewThatIsNot) {
  int waits = 0, ran = 0;
  for (int i = 0; i < 60; ++i) {
    Net net(4);
    const auto k = net.key("k" + std::to_string(i));
    // Gateway 3 knows of four, the others still of three.
    for (GatewayNumber n = 0; n < 3; ++n) {
      net.settings.gateways = 3;
      net.start(n);
    }
    net.run(net.settings.keep + net.settings.longest);
    net[0].claim(net.now, 1, k, false);
    net.run(milliseconds(20));
    net[3].claim(net.now, 1, k, true);
    net.run(milliseconds(100));
    const auto* d = net.decision(3, 1);
    waits += !d;
    ran += d && d->kind == Kind::run;
  }
  EXPECT_EQ(ran, 0);
  EXPECT_EQ(waits, 60);  // two of its three owners are the others' as well
}

// Danger met: a claim that comes late, behind the end of its run, must not bring it back.
TEST(Owners, AClaimThatComesLateDoesNotBringItsRunBack) {
  Net net(4);
  const auto k = net.key("k");
  const auto owner = [&] {
    for (const GatewayNumber n : net[0].ownersOf(k.id))
      if (n != 0) return n;
    return GatewayNumber{0};
  }();
  net[0].claim(net.now, 1, k, false);
  net.collect();
  const auto late = net.flying;
  net.run(milliseconds(20));
  net.over(0, 1, State::free);
  net.run(milliseconds(20));
  for (const auto& f : late)
    if (f.to == owner) net[owner].receive(net.now, f.from, f.epoch, f.payload);
  net[1].claim(net.now, 1, k, true);
  net.run(milliseconds(30));
  ASSERT_TRUE(net.decision(1, 1));
  EXPECT_EQ(net.decision(1, 1)->kind, Kind::run);
}

// Two that claim at the same moment, and hold an owner each: one of them runs, and the other gets its answer.
TEST(Owners, OfTwoThatClaimAtOnceOneRuns) {
  int decidedFirst[5] = {};
  for (int i = 0; i < 50; ++i) {
    Net net(5);
    net.dice.seed(static_cast<std::uint32_t>(i));
    const auto k = net.key("k" + std::to_string(i));
    net[1].claim(net.now, 1, k, true);
    net[4].claim(net.now, 1, k, true);
    net.run(milliseconds(300));
    const bool one = net.decision(1, 1), four = net.decision(4, 1);
    ASSERT_NE(one, four) << i;
    const GatewayNumber runs = one ? 1 : 4, waits = one ? 4 : 1;
    ++decidedFirst[runs];
    EXPECT_EQ(net.decision(runs, 1)->kind, Kind::run);
    net.over(runs, 1, State::answered, "once");
    net.run(milliseconds(200));
    ASSERT_TRUE(net.decision(waits, 1));
    EXPECT_EQ(net.decision(waits, 1)->kind, Kind::answer);
  }
  EXPECT_GT(decidedFirst[1], 0);
}

// What a claimer makes of votes that the test gives it. Its own is not among them: it owns none of the key.
Owners::Decision decisionOn(const std::vector<Ruling>& rulings) {
  Net net(6);
  GatewayNumber at = 0;
  SharedKey k;
  std::vector<GatewayNumber> owners;
  for (int i = 0; owners.empty() || std::find(owners.begin(), owners.end(), at) != owners.end(); ++i) {
    k = net.key("k" + std::to_string(i));
    owners = net[0].ownersOf(k.id);
  }
  net[at].claim(net.now, 1, k, true);
  std::map<GatewayNumber, Ruling> of;
  for (std::size_t i = 0; i < rulings.size(); ++i) of[owners[i]] = rulings[i];
  for (const auto& out : net[at].takeOutgoing()) {
    if (!of.count(out.to)) continue;  // silent
    Ruling r = of[out.to];
    r.ask = std::get<Claim>(*decodeOwnerMessage(out.payload)).ask;
    net[at].receive(net.now, out.to, 1, encode(r));
  }
  net.lost = 1;
  net.run(milliseconds(35));
  const auto* d = net.decision(at, 1);
  EXPECT_TRUE(d);
  return d ? *d : Owners::Decision{};
}
Ruling says(Known known, const std::string& zone = "", bool mine = true) {
  return {0, known, 1, mine, false, {zone, 1, zone.empty() ? Whereabouts::kLongAgo : 50}, 5000};
}

TEST(Owners, AMajorityOfThoseWhoKnowDecides) {
  const Ruling free = says(Known::free), east = says(Known::uncertain, "east"),
               west = says(Known::uncertain, "west"), full = says(Known::full),
               other = says(Known::free, "", false);  // no owner by its own list
  EXPECT_EQ(decisionOn({free, free, free}).kind, Kind::run);
  EXPECT_EQ(decisionOn({free, free}).kind, Kind::run);
  EXPECT_EQ(decisionOn({free}).kind, Kind::uncertain);
  EXPECT_EQ(decisionOn({free, other, other}).kind, Kind::uncertain);
  EXPECT_EQ(decisionOn({free, full}).kind, Kind::uncertain);
  EXPECT_EQ(decisionOn({free, free, other}).kind, Kind::run);
  EXPECT_EQ(decisionOn({free, says(Known::mismatch)}).kind, Kind::mismatch);
  EXPECT_EQ(decisionOn({east, free, free}).earlier.zone, "east");
  EXPECT_EQ(decisionOn({east, free}).earlier.zone, "east");
  EXPECT_EQ(decisionOn({east}).earlier.sentAt, Time{});  // the others may know of one that runs
  EXPECT_EQ(decisionOn({east, west, free}).earlier.sentAt, Time{});
  EXPECT_EQ(decisionOn({east, east, west}).earlier.sentAt, Time{});
}

// Met by the run below: the end of a run comes behind the claim of the next, from the same gateway.
TEST(Owners, AnEndThatComesBehindTheNextClaimIsNotLost) {
  Net net(1);
  net.settings.gateways = 3;
  net.start(0);
  net.run(net.settings.keep + net.settings.longest);
  const auto k = net.key("k");
  const auto ruled = [&](GatewayNumber from, std::uint64_t run) {
    net[0].receive(net.now, from, 1, encode(Claim{1, k, run, 0, false}));
    return std::get<Ruling>(*decodeOwnerMessage(net[0].takeOutgoing().back().payload));
  };
  EXPECT_EQ(ruled(1, 1).known, Known::free);
  EXPECT_EQ(ruled(1, 1).known, Known::free);  // the same once more
  const auto next = ruled(1, 2);              // what became of the first is not known yet
  EXPECT_EQ(next.known, Known::uncertain);
  EXPECT_EQ(next.where.agoMs, Whereabouts::kLongAgo);
  net[0].receive(net.now, 1, 1, encode(Over{2, k, 1, State::uncertain, {"west", 3, 50}, 5000}));
  EXPECT_EQ(ruled(2, 9).known, Known::running);
  net[0].receive(net.now, 1, 1, encode(Over{3, k, 2, State::free, {}, 0}));
  const auto after = ruled(2, 9);
  EXPECT_EQ(after.known, Known::uncertain);
  EXPECT_EQ(after.where.zone, "west");
}

TEST(Owners, WhatAnOwnerHoldsIsBoundedAndAFullOneSaysSo) {
  Net net(1);
  net.settings.entries = 50;
  net.start(0);
  net.run(net.settings.keep + net.settings.longest);
  for (std::uint64_t i = 1; i <= 50; ++i) net[0].claim(net.now, i, net.key(std::to_string(i)), true);
  net[0].claim(net.now, 51, net.key("more"), true);
  net.run(milliseconds(1));
  EXPECT_EQ(net.decision(0, 50)->kind, Kind::run);
  EXPECT_EQ(net.decision(0, 51)->kind, Kind::uncertain);
  EXPECT_EQ(net[0].held(), 50u);
  EXPECT_EQ(net[0].counts().full, 1u);
  for (std::uint64_t i = 1; i <= 51; ++i) net.over(0, i, State::answered, std::string(100, 'x'));
  net.run(net.settings.keep + seconds(1));
  net[0].claim(net.now, 52, net.key("later"), true);
  net.run(milliseconds(1));
  EXPECT_EQ(net.decision(0, 52)->kind, Kind::run);
  EXPECT_EQ(net[0].held(), 1u);
}

TEST(Owners, MessagesThatWaitAreBounded) {
  Net net(4);
  net.settings.messagesMost = 30;
  net.start(1);
  net.lost = 1;
  for (std::uint64_t i = 1; i <= 100; ++i) net[1].claim(net.now, i, net.key(std::to_string(i)), true);
  EXPECT_LE(net[1].pending(), 30u);
  EXPECT_GT(net[1].counts().dropped, 100u);
  net.run(milliseconds(100));
  EXPECT_EQ(net.all[1].decided.size(), 100u);
}

TEST(Owners, WhatIsNoMessageIsCountedAndNothingElse) {
  Net net(2);
  net[0].receive(net.now, 1, 5, "");
  net[0].receive(net.now, 1, 5, "\x01 cut");
  net[0].receive(net.now, 1, 5, encode(Ruling{99, Known::free, 0, true, false, {}, 0}));  // to nothing asked
  EXPECT_EQ(net[0].counts().malformed, 2u);
  EXPECT_TRUE(net[0].takeOutgoing().empty());
}

// Everything at once, from fixed dice: messages lost, late and repeated, gateways that start anew one at a
// time. All requests wait. No key runs while it runs elsewhere, and none is taken for new while it may have
// run.
TEST(Owners, NoKeyRunsTwiceWhateverTheNetworkDoes) {
  std::size_t ran = 0, answered = 0, bound = 0, waited = 0, restarts = 0;
  for (std::uint32_t seed = 1; seed <= 25; ++seed) {
    Net net(5);
    net.dice.seed(seed);
    net.lost = seed % 3 * 0.12;
    net.twice = 0.1;
    net.delayMost = milliseconds(seed % 2 ? 3 : 25);
    struct Open {
      GatewayNumber at;
      std::uint64_t run;
      std::string key;
      bool runs = false;
      Time until{};
    };
    struct Truth {
      int running = 0;
      Time mayHaveRunUntil{};
      std::string zone;
      // Of its runs: one that was bound and ran again leaves two, both good.
      std::map<std::string, Time> answers;
      std::map<GatewayNumber, Time> endedAt;
    };
    std::vector<Open> open;
    std::map<std::string, Truth> truth;
    std::uint64_t next = 0;
    Time startAnew = net.now + seconds(3);
    for (int step = 0; step < 2500; ++step) {
      net.run(milliseconds(net.dice() % 12));
      if (net.now >= startAnew) {  // one at a time, and not before the last is old
        const auto n = static_cast<GatewayNumber>(net.dice() % 5);
        net.start(n);
        ++restarts;
        for (auto it = open.begin(); it != open.end();) {
          if (it->at != n) {
            ++it;
            continue;
          }
          Truth& t = truth[it->key];
          if (it->runs) --t.running, t.mayHaveRunUntil = net.now + net.settings.keep, t.zone.clear();
          it = open.erase(it);
        }
        startAnew = net.now + net.settings.keep + net.settings.longest + seconds(1);
      }
      if (open.size() < 40) {
        Open o{static_cast<GatewayNumber>(net.dice() % 5), ++next, "k" + std::to_string(net.dice() % 30)};
        // A gateway's own store has its repeats join: it claims a key once at a time.
        if (std::none_of(open.begin(), open.end(),
                         [&](const Open& a) { return a.at == o.at && a.key == o.key; }) &&
            // Its store knows what it has run, and forgets it for want of room at the earliest some time
            // after.
            net.now - truth[o.key].endedAt[o.at] > milliseconds(200)) {
          o.until = net.now + milliseconds(1500);
          net[o.at].claim(net.now, o.run, net.key(o.key), true);
          open.push_back(o);
          ++waited;
        }
      }
      for (auto it = open.begin(); it != open.end();) {
        Truth& t = truth[it->key];
        if (!it->runs) {
          const auto* d = net.decision(it->at, it->run);
          if (!d) {
            if (net.now >= it->until) {  // its client's time is up
              net.over(it->at, it->run, State::free);
              it = open.erase(it);
              continue;
            }
            ++it;
            continue;
          }
          const bool mayHaveRun = net.now < t.mayHaveRunUntil;
          if (d->kind == Kind::answer) {
            ASSERT_TRUE(t.answers.count(d->answer.body)) << "seed " << seed << " step " << step;
            ASSERT_LT(net.now, t.answers[d->answer.body] + milliseconds(300)) << "kept for too long";
            ++answered;
            net.over(it->at, it->run, State::free);  // it did not run itself
            it = open.erase(it);
            continue;
          }
          if (d->kind == Kind::uncertain && d->earlier.sentAt == Time{}) {  // it fails, unsent
            net.over(it->at, it->run, State::free);
            it = open.erase(it);
            continue;
          }
          ASSERT_EQ(t.running, 0) << "two at once: seed " << seed << " step " << step << " " << it->key;
          if (d->kind == Kind::run) {
            ASSERT_FALSE(mayHaveRun) << "twice: seed " << seed << " step " << step << " " << it->key;
            ++ran;
          } else {
            if (mayHaveRun && !t.zone.empty()) ASSERT_EQ(d->earlier.zone, t.zone);
            t.zone = d->earlier.zone;  // it goes there, and nowhere else
            t.mayHaveRunUntil = std::max(t.mayHaveRunUntil, d->until);
            ++bound;
          }
          it->runs = true;
          it->until = net.now + milliseconds(net.dice() % 400);
          ++t.running;
        } else if (net.now >= it->until) {
          --t.running;
          const bool served = net.dice() % 2;
          const std::string answer = "answer to " + it->key + " by " + std::to_string(it->run);
          if (served) t.answers[answer] = net.now + net.settings.keep;
          if (t.zone.empty() || net.now >= t.mayHaveRunUntil) t.zone = net.dice() % 2 ? "east" : "west";
          net.over(it->at, it->run, served ? State::answered : State::uncertain, answer, t.zone);
          t.mayHaveRunUntil = net.now + net.settings.keep - milliseconds(1);
          t.endedAt[it->at] = net.now;
          it = open.erase(it);
          continue;
        }
        ++it;
      }
    }
  }
  EXPECT_GT(ran, 500u);
  EXPECT_GT(answered, 1000u);
  EXPECT_GT(bound, 100u);
  EXPECT_GE(restarts, 25u);
  std::printf("%zu requests waited: %zu ran, %zu answered, %zu bound, %zu starts anew\n", waited, ran,
              answered, bound, restarts);
}

}  // namespace
}  // namespace finchstile::idempotency
