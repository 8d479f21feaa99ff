// Gateways that agree on keys over a network in memory. It loses, delays and duplicates messages as each test
// sets; gateways restart, and may be configured differently.
#include "idempotency/key_ownership.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <random>

namespace finchstile::idempotency {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Kind = KeyOwnership::Decision::Kind;

struct Net {
  std::mt19937 rng{3};
  OwnershipSettings settings;
  Time now = std::chrono::hours(24);
  double lost = 0, twice = 0;
  Duration delayMost = milliseconds(2);
  struct Gateway {
    std::unique_ptr<KeyOwnership> owners;
    std::uint64_t epoch = 1;
    bool down = false;
    std::vector<KeyOwnership::Decision> decided;
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
    settings.retention = seconds(10);
    settings.maxRequestDuration = seconds(2);
    for (GatewayNumber n = 0; n < gateways; ++n) {
      all.emplace_back();
      start(n);
    }
    run(settings.retention + settings.maxRequestDuration);  // no owner is new any more
  }
  void start(GatewayNumber n) {
    settings.ownNumber = n;
    all[n].owners = std::make_unique<KeyOwnership>(settings, SipKey{7, 8}, now);
    ++all[n].epoch;
    all[n].decided.clear();
    all[n].down = false;
  }
  KeyOwnership& operator[](GatewayNumber n) { return *all[n].owners; }

  void collect() {
    for (GatewayNumber n = 0; n < all.size(); ++n) {
      for (auto& out : all[n].owners->takeOutgoing()) {
        EXPECT_LE(out.payload.size(), 218u);  // fits into a datagram
        EXPECT_NE(out.to, n);
        for (int copies = chance(twice) ? 2 : 1; copies > 0; --copies)
          if (!chance(lost))
            flying.insert({now + Duration(rng() % (delayMost.count() + 1)), ++order, n, out.to, all[n].epoch,
                           out.payload});
      }
      for (auto& d : all[n].owners->takeDecisions()) all[n].decided.push_back(std::move(d));
    }
  }
  bool chance(double p) { return rng() % 10'000 < p * 10'000; }
  void run(Duration span) {
    const Time until = now + span;
    for (;;) {
      collect();
      Time next = until;
      if (!flying.empty()) next = std::min(next, flying.begin()->at);
      for (const Gateway& g : all)
        if (!g.down && g.owners->nextTimer()) next = std::min(next, *g.owners->nextTimer());
      now = std::max(now, next);
      while (!flying.empty() && flying.begin()->at <= now) {
        const Flying f = *flying.begin();
        flying.erase(flying.begin());
        if (!all[f.to].down) all[f.to].owners->onMessage(now, f.from, f.epoch, f.payload);
      }
      for (Gateway& g : all)
        if (!g.down && g.owners->nextTimer() && *g.owners->nextTimer() <= now) g.owners->onTimer(now);
      if (now >= until) return collect();
    }
  }
  SharedKey key(const std::string& name, const std::string& body = "b") {
    return all[0].owners->keyOf("acme", "put", name, "POST", "/put/1", body);
  }
  // The decision on that run, or null if there is none yet.
  const KeyOwnership::Decision* decision(GatewayNumber n, std::uint64_t run) const {
    for (const auto& d : all[n].decided)
      if (d.run == run) return &d;
    return nullptr;
  }
  void over(GatewayNumber n, std::uint64_t run, KeyState to, const std::string& body = "",
            const std::string& zone = "east") {
    const CachedResponse a{201, "text/x", body};
    all[n].owners->finishRun(now, run, to, zone.empty() ? EarlierAttempt{} : EarlierAttempt{zone, 1, now},
                             now + settings.retention, &a);
  }
};

TEST(KeyOwnership, OwnersAgreeAndFewKeysMoveWithAdditionalGateway) {
  Net net(5);
  OwnershipSettings more = net.settings;
  more.gateways = 6;
  const KeyOwnership six(more, SipKey{7, 8}, net.now);
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
  EXPECT_NEAR(moved, 1000, 150);  // one sixth of the keys
}

TEST(KeyOwnership, RepeatAtAnotherGatewayWaitsAndFetchesResponse) {
  for (const std::size_t size : {0u, 5u, 600u, 1900u}) {
    Net net(4);
    const auto k = net.key("k");
    net[0].claimKey(net.now, 1, k, false);
    net.run(milliseconds(20));
    net[1].claimKey(net.now, 1, k, true);
    net.run(milliseconds(500));
    EXPECT_FALSE(net.decision(1, 1));
    const std::string body(size, 'x');
    net.over(0, 1, KeyState::completed, body);
    net.run(milliseconds(200));
    const auto* d = net.decision(1, 1);
    ASSERT_TRUE(d);
    ASSERT_EQ(d->kind, Kind::response);
    EXPECT_EQ(d->response.status, 201u);
    EXPECT_EQ(d->response.contentType, "text/x");
    EXPECT_EQ(d->response.body, body);
  }
}

TEST(KeyOwnership, ResponseTooLargeToShareLeavesKeyUncertain) {
  Net net(4);
  const auto k = net.key("k");
  net[0].claimKey(net.now, 1, k, false);
  net.run(milliseconds(20));
  const Time sent = net.now;
  net.over(0, 1, KeyState::completed, std::string(3000, 'x'));
  net.run(milliseconds(50));
  net[1].claimKey(net.now, 1, k, true);
  net.run(milliseconds(100));
  const auto* d = net.decision(1, 1);
  ASSERT_TRUE(d);
  EXPECT_EQ(d->kind, Kind::uncertain);
  EXPECT_EQ(d->earlierAttempt.zone, "east");
  // The received age is never too short: a repeat would be sent after the hosts' window.
  EXPECT_LE(d->earlierAttempt.sentAt, sent);
  EXPECT_GE(d->earlierAttempt.sentAt, sent - milliseconds(400));
}

TEST(KeyOwnership, RunThatWasNotExecutedLeavesKeyUnused) {
  Net net(4);
  const auto k = net.key("k");
  net[0].claimKey(net.now, 1, k, false);
  net.run(milliseconds(20));
  net.over(0, 1, KeyState::unused);
  net.run(milliseconds(20));
  net[1].claimKey(net.now, 1, k, true);
  net.run(milliseconds(20));
  ASSERT_TRUE(net.decision(1, 1));
  EXPECT_EQ(net.decision(1, 1)->kind, Kind::run);
}

TEST(KeyOwnership, RunThatMayHaveExecutedBindsOneRepeatAtATime) {
  Net net(4);
  const auto k = net.key("k");
  net[0].claimKey(net.now, 1, k, false);
  net.run(milliseconds(20));
  const Time sent = net.now;
  net.over(0, 1, KeyState::uncertain, "", "west");
  net.run(milliseconds(20));
  net[1].claimKey(net.now, 1, k, true);
  net.run(milliseconds(20));
  ASSERT_TRUE(net.decision(1, 1));
  EXPECT_EQ(net.decision(1, 1)->kind, Kind::uncertain);
  EXPECT_EQ(net.decision(1, 1)->earlierAttempt.zone, "west");
  EXPECT_EQ(net.decision(1, 1)->earlierAttempt.cell, 1);
  EXPECT_LE(net.decision(1, 1)->earlierAttempt.sentAt, sent);
  EXPECT_LE(net.decision(1, 1)->validUntil, sent + net.settings.retention + milliseconds(10));
  net[2].claimKey(net.now, 1, k, true);
  net.run(milliseconds(200));
  EXPECT_FALSE(net.decision(2, 1));  // the other gateway runs it
  net.over(1, 1, KeyState::unused);  // it fails unsent
  net.run(milliseconds(100));
  ASSERT_TRUE(net.decision(2, 1));
  EXPECT_EQ(net.decision(2, 1)->kind, Kind::uncertain);  // still uncertain
  net.over(2, 1, KeyState::unused);
  net.run(net.settings.retention);
  net[3].claimKey(net.now, 1, k, true);
  net.run(milliseconds(20));
  EXPECT_EQ(net.decision(3, 1)->kind, Kind::run);  // the retention is over
}

TEST(KeyOwnership, SameKeyOfAnotherRequestIsFingerprintMismatch) {
  Net net(4);
  net[0].claimKey(net.now, 1, net.key("k"), false);
  net.run(milliseconds(20));
  net[1].claimKey(net.now, 1, net.key("k", "another body"), true);
  net.run(milliseconds(20));
  ASSERT_TRUE(net.decision(1, 1));
  EXPECT_EQ(net.decision(1, 1)->kind, Kind::fingerprintMismatch);
}

// The owners are silent, so nothing counts as known.
TEST(KeyOwnership, SilentOwnersLeaveKeyUncertainOrRunItBySetting) {
  for (const bool runs : {false, true}) {
    Net net(4);
    net.settings.runWithoutMajority = runs;
    net.start(1);
    net.run(net.settings.retention + net.settings.maxRequestDuration);
    net.lost = 1;
    const Time begin = net.now;
    net[1].claimKey(net.now, 1, net.key("k"), true);
    net.run(milliseconds(100));
    ASSERT_TRUE(net.decision(1, 1));
    EXPECT_EQ(net.decision(1, 1)->kind, runs ? Kind::run : Kind::uncertain);
    EXPECT_EQ(net.decision(1, 1)->earlierAttempt.sentAt, Time{});
    EXPECT_EQ(net[1].counts().noMajority, 1u);
    EXPECT_EQ(net[1].pendingMessages(), 0u);  // messages are given up
    EXPECT_LE(net.now - begin, milliseconds(100));
  }
}

// Owners that have restarted know nothing and do not count towards a majority. What the others know counts.
TEST(KeyOwnership, RestartedOwnerHidesNoRun) {
  for (int i = 0; i < 20; ++i) {
    Net net(4);
    const auto k = net.key("k" + std::to_string(i));
    const auto owners = net[0].ownersOf(k.id);
    const auto runner = static_cast<GatewayNumber>(i % 4), repeats = static_cast<GatewayNumber>((i + 1) % 4);
    net[runner].claimKey(net.now, 1, k, false);
    net.run(milliseconds(20));
    const auto fresh = owners[static_cast<std::size_t>(i) % 3];
    if (fresh == runner || fresh == repeats) continue;
    net.start(fresh);
    net[repeats].claimKey(net.now, 1, k, true);
    net.run(milliseconds(100));
    EXPECT_FALSE(net.decision(repeats, 1));
  }
}

TEST(KeyOwnership, NoKeyCountsAsUnusedWhileMostOwnersAreNew) {
  Net net(3);
  net.start(0), net.start(1), net.start(2);
  net[1].claimKey(net.now, 1, net.key("k"), true);
  net.run(milliseconds(100));
  ASSERT_TRUE(net.decision(1, 1));
  EXPECT_EQ(net.decision(1, 1)->kind, Kind::uncertain);
  net.over(1, 1, KeyState::unused);
  net.run(net.settings.retention + net.settings.maxRequestDuration);
  net[1].claimKey(net.now, 2, net.key("k"), true);
  net.run(milliseconds(100));
  EXPECT_EQ(net.decision(1, 2)->kind, Kind::run);
}

// The gateway that ran the key restarts, and nobody can tell what became of the run.
TEST(KeyOwnership, RestartedRunnerLeavesItsKeysUncertain) {
  Net net(4);
  const auto k = net.key("k");
  net[0].claimKey(net.now, 1, k, false);
  net.run(milliseconds(20));
  net.start(0);
  net[0].claimKey(net.now, 1, k, true);  // the client repeats at that gateway
  net.run(milliseconds(100));
  ASSERT_TRUE(net.decision(0, 1));
  EXPECT_EQ(net.decision(0, 1)->kind, Kind::uncertain);
  EXPECT_EQ(net.decision(0, 1)->earlierAttempt.sentAt, Time{});
}

TEST(KeyOwnership, SilentRunnerLeavesKeyUncertain) {
  Net net(4);
  const auto k = net.key("k");
  net[0].claimKey(net.now, 1, k, false);
  net.run(milliseconds(20));
  net.all[0].down = true;
  net[1].claimKey(net.now, 1, k, true);
  net.run(seconds(1));
  EXPECT_FALSE(net.decision(1, 1));
  net.run(seconds(2));
  ASSERT_TRUE(net.decision(1, 1));
  EXPECT_EQ(net.decision(1, 1)->kind, Kind::uncertain);
}

// Two gateways are configured for different rings. A gateway that does not count itself among the owners
// cannot tell that a key is unused.
TEST(KeyOwnership, MembershipMismatchDoesNotMakeKeysUnused) {
  int waits = 0, ran = 0;
  for (int i = 0; i < 60; ++i) {
    Net net(4);
    const auto k = net.key("k" + std::to_string(i));
    // Gateway 3 is configured for four gateways, the others for three.
    for (GatewayNumber n = 0; n < 3; ++n) {
      net.settings.gateways = 3;
      net.start(n);
    }
    net.run(net.settings.retention + net.settings.maxRequestDuration);
    net[0].claimKey(net.now, 1, k, false);
    net.run(milliseconds(20));
    net[3].claimKey(net.now, 1, k, true);
    net.run(milliseconds(100));
    const auto* d = net.decision(3, 1);
    waits += !d;
    ran += d && d->kind == Kind::run;
  }
  EXPECT_EQ(ran, 0);
  EXPECT_EQ(waits, 60);  // two of its three owners are owners for the others as well
}

// A claim that arrives after the end of its run must not restart it.
TEST(KeyOwnership, DelayedClaimDoesNotRestartFinishedRun) {
  Net net(4);
  const auto k = net.key("k");
  const auto owner = [&] {
    for (const GatewayNumber n : net[0].ownersOf(k.id))
      if (n != 0) return n;
    return GatewayNumber{0};
  }();
  net[0].claimKey(net.now, 1, k, false);
  net.collect();
  const auto late = net.flying;
  net.run(milliseconds(20));
  net.over(0, 1, KeyState::unused);
  net.run(milliseconds(20));
  for (const auto& f : late)
    if (f.to == owner) net[owner].onMessage(net.now, f.from, f.epoch, f.payload);
  net[1].claimKey(net.now, 1, k, true);
  net.run(milliseconds(30));
  ASSERT_TRUE(net.decision(1, 1));
  EXPECT_EQ(net.decision(1, 1)->kind, Kind::run);
}

// Two gateways claim a key at the same moment and hold an owner each. One of them runs it, and the other gets
// its response.
TEST(KeyOwnership, OneOfTwoSimultaneousClaimsRuns) {
  int decidedFirst[5] = {};
  for (int i = 0; i < 50; ++i) {
    Net net(5);
    net.rng.seed(static_cast<std::uint32_t>(i));
    const auto k = net.key("k" + std::to_string(i));
    net[1].claimKey(net.now, 1, k, true);
    net[4].claimKey(net.now, 1, k, true);
    net.run(milliseconds(300));
    const bool one = net.decision(1, 1), four = net.decision(4, 1);
    ASSERT_NE(one, four) << i;
    const GatewayNumber runs = one ? 1 : 4, waits = one ? 4 : 1;
    ++decidedFirst[runs];
    EXPECT_EQ(net.decision(runs, 1)->kind, Kind::run);
    net.over(runs, 1, KeyState::completed, "once");
    net.run(milliseconds(200));
    ASSERT_TRUE(net.decision(waits, 1));
    EXPECT_EQ(net.decision(waits, 1)->kind, Kind::response);
  }
  EXPECT_GT(decidedFirst[1], 0);
}

// What a claimer decides on votes that the test gives it. It is not an owner of the key itself.
KeyOwnership::Decision decisionOn(const std::vector<ClaimResponse>& rulings) {
  Net net(6);
  GatewayNumber at = 0;
  SharedKey k;
  std::vector<GatewayNumber> owners;
  for (int i = 0; owners.empty() || std::find(owners.begin(), owners.end(), at) != owners.end(); ++i) {
    k = net.key("k" + std::to_string(i));
    owners = net[0].ownersOf(k.id);
  }
  net[at].claimKey(net.now, 1, k, true);
  std::map<GatewayNumber, ClaimResponse> of;
  for (std::size_t i = 0; i < rulings.size(); ++i) of[owners[i]] = rulings[i];
  for (const auto& out : net[at].takeOutgoing()) {
    if (!of.count(out.to)) continue;  // gives no vote
    ClaimResponse r = of[out.to];
    r.requestId = std::get<Claim>(*decodeOwnerMessage(out.payload)).requestId;
    net[at].onMessage(net.now, out.to, 1, encode(r));
  }
  net.lost = 1;
  net.run(milliseconds(35));
  const auto* d = net.decision(at, 1);
  EXPECT_TRUE(d);
  return d ? *d : KeyOwnership::Decision{};
}
ClaimResponse says(ClaimResult known, const std::string& zone = "", bool mine = true) {
  return {0, known, 1, mine, false, {zone, 1, zone.empty() ? AttemptLocation::kUnknownAge : 50}, 5000};
}

TEST(KeyOwnership, MajorityOfInformedOwnersDecides) {
  const ClaimResponse free = says(ClaimResult::unused), east = says(ClaimResult::uncertain, "east"),
                      west = says(ClaimResult::uncertain, "west"), full = says(ClaimResult::ownerFull),
                      other = says(ClaimResult::unused, "",
                                   false);  // by its own configuration it is not an owner
  EXPECT_EQ(decisionOn({free, free, free}).kind, Kind::run);
  EXPECT_EQ(decisionOn({free, free}).kind, Kind::run);
  EXPECT_EQ(decisionOn({free}).kind, Kind::uncertain);
  EXPECT_EQ(decisionOn({free, other, other}).kind, Kind::uncertain);
  EXPECT_EQ(decisionOn({free, full}).kind, Kind::uncertain);
  EXPECT_EQ(decisionOn({free, free, other}).kind, Kind::run);
  EXPECT_EQ(decisionOn({free, says(ClaimResult::mismatch)}).kind, Kind::fingerprintMismatch);
  EXPECT_EQ(decisionOn({east, free, free}).earlierAttempt.zone, "east");
  EXPECT_EQ(decisionOn({east, free}).earlierAttempt.zone, "east");
  EXPECT_EQ(decisionOn({east}).earlierAttempt.sentAt,
            Time{});  // the other owners may know of another attempt
  EXPECT_EQ(decisionOn({east, west, free}).earlierAttempt.sentAt, Time{});
  EXPECT_EQ(decisionOn({east, east, west}).earlierAttempt.sentAt, Time{});
}

// The notice of a run arrives after the claim of the next run of that gateway.
TEST(KeyOwnership, DelayedNoticeAfterNextClaimCounts) {
  Net net(1);
  net.settings.gateways = 3;
  net.start(0);
  net.run(net.settings.retention + net.settings.maxRequestDuration);
  const auto k = net.key("k");
  const auto ruled = [&](GatewayNumber from, std::uint64_t run) {
    net[0].onMessage(net.now, from, 1, encode(Claim{1, k, run, 0, false}));
    return std::get<ClaimResponse>(*decodeOwnerMessage(net[0].takeOutgoing().back().payload));
  };
  EXPECT_EQ(ruled(1, 1).result, ClaimResult::unused);
  EXPECT_EQ(ruled(1, 1).result, ClaimResult::unused);  // a duplicate
  const auto next = ruled(1, 2);                       // the end of the first run is not known yet
  EXPECT_EQ(next.result, ClaimResult::uncertain);
  EXPECT_EQ(next.attempt.ageMs, AttemptLocation::kUnknownAge);
  net[0].onMessage(net.now, 1, 1,
                   encode(RunFinishedNotice{2, k, 1, KeyState::uncertain, {"west", 3, 50}, 5000}));
  EXPECT_EQ(ruled(2, 9).result, ClaimResult::running);
  net[0].onMessage(net.now, 1, 1, encode(RunFinishedNotice{3, k, 2, KeyState::unused, {}, 0}));
  const auto after = ruled(2, 9);
  EXPECT_EQ(after.result, ClaimResult::uncertain);
  EXPECT_EQ(after.attempt.zone, "west");
}

TEST(KeyOwnership, OwnedKeysAreBoundedAndFullOwnerSaysSo) {
  Net net(1);
  net.settings.maxEntries = 50;
  net.start(0);
  net.run(net.settings.retention + net.settings.maxRequestDuration);
  for (std::uint64_t i = 1; i <= 50; ++i) net[0].claimKey(net.now, i, net.key(std::to_string(i)), true);
  net[0].claimKey(net.now, 51, net.key("more"), true);
  net.run(milliseconds(1));
  EXPECT_EQ(net.decision(0, 50)->kind, Kind::run);
  EXPECT_EQ(net.decision(0, 51)->kind, Kind::uncertain);
  EXPECT_EQ(net[0].ownedKeys(), 50u);
  EXPECT_EQ(net[0].counts().rejectedForCapacity, 1u);
  for (std::uint64_t i = 1; i <= 51; ++i) net.over(0, i, KeyState::completed, std::string(100, 'x'));
  net.run(net.settings.retention + seconds(1));
  net[0].claimKey(net.now, 52, net.key("later"), true);
  net.run(milliseconds(1));
  EXPECT_EQ(net.decision(0, 52)->kind, Kind::run);
  EXPECT_EQ(net[0].ownedKeys(), 1u);
}

TEST(KeyOwnership, PendingMessagesAreBounded) {
  Net net(4);
  net.settings.maxPendingMessages = 30;
  net.start(1);
  net.lost = 1;
  for (std::uint64_t i = 1; i <= 100; ++i) net[1].claimKey(net.now, i, net.key(std::to_string(i)), true);
  EXPECT_LE(net[1].pendingMessages(), 30u);
  EXPECT_GT(net[1].counts().notSent, 100u);
  net.run(milliseconds(100));
  EXPECT_EQ(net.all[1].decided.size(), 100u);
}

TEST(KeyOwnership, MalformedMessageIsCountedAndIgnored) {
  Net net(2);
  net[0].onMessage(net.now, 1, 5, "");
  net[0].onMessage(net.now, 1, 5, "\x01 cut");
  net[0].onMessage(
      net.now, 1, 5,
      encode(ClaimResponse{99, ClaimResult::unused, 0, true, false, {}, 0}));  // answers no claim
  EXPECT_EQ(net[0].counts().malformed, 2u);
  EXPECT_TRUE(net[0].takeOutgoing().empty());
}

// Messages are lost, late and duplicated, and gateways restart one at a time, all from a fixed seed. Every
// request waits for its decision. No key runs while it runs elsewhere, and none counts as unused while it may
// have been executed.
TEST(KeyOwnership, NoKeyRunsTwiceUnderNetworkFaults) {
  std::size_t ran = 0, answered = 0, bound = 0, waited = 0, restarts = 0;
  for (std::uint32_t seed = 1; seed <= 25; ++seed) {
    Net net(5);
    net.rng.seed(seed);
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
      // A bound run that ran again leaves two runs, both valid.
      std::map<std::string, Time> answers;
      std::map<GatewayNumber, Time> endedAt;
    };
    std::vector<Open> open;
    std::map<std::string, Truth> truth;
    std::uint64_t next = 0;
    Time startAnew = net.now + seconds(3);
    for (int step = 0; step < 2500; ++step) {
      net.run(milliseconds(net.rng() % 12));
      if (net.now >= startAnew) {  // one at a time, once the last one is not new any more
        const auto n = static_cast<GatewayNumber>(net.rng() % 5);
        net.start(n);
        ++restarts;
        for (auto it = open.begin(); it != open.end();) {
          if (it->at != n) {
            ++it;
            continue;
          }
          Truth& t = truth[it->key];
          if (it->runs) --t.running, t.mayHaveRunUntil = net.now + net.settings.retention, t.zone.clear();
          it = open.erase(it);
        }
        startAnew = net.now + net.settings.retention + net.settings.maxRequestDuration + seconds(1);
      }
      if (open.size() < 40) {
        Open o{static_cast<GatewayNumber>(net.rng() % 5), ++next, "k" + std::to_string(net.rng() % 30)};
        // The store of a gateway has its own repeats join, so a gateway claims a key once at a time.
        if (std::none_of(open.begin(), open.end(),
                         [&](const Open& a) { return a.at == o.at && a.key == o.key; }) &&
            // The store knows what it has run, and evicts it after some time at the earliest.
            net.now - truth[o.key].endedAt[o.at] > milliseconds(200)) {
          o.until = net.now + milliseconds(1500);
          net[o.at].claimKey(net.now, o.run, net.key(o.key), true);
          open.push_back(o);
          ++waited;
        }
      }
      for (auto it = open.begin(); it != open.end();) {
        Truth& t = truth[it->key];
        if (!it->runs) {
          const auto* d = net.decision(it->at, it->run);
          if (!d) {
            if (net.now >= it->until) {  // the client's deadline
              net.over(it->at, it->run, KeyState::unused);
              it = open.erase(it);
              continue;
            }
            ++it;
            continue;
          }
          const bool mayHaveRun = net.now < t.mayHaveRunUntil;
          if (d->kind == Kind::response) {
            ASSERT_TRUE(t.answers.count(d->response.body)) << "seed " << seed << " step " << step;
            ASSERT_LT(net.now, t.answers[d->response.body] + milliseconds(300)) << "kept for too long";
            ++answered;
            net.over(it->at, it->run, KeyState::unused);  // it was not executed here
            it = open.erase(it);
            continue;
          }
          if (d->kind == Kind::uncertain && d->earlierAttempt.sentAt == Time{}) {  // it fails unsent
            net.over(it->at, it->run, KeyState::unused);
            it = open.erase(it);
            continue;
          }
          ASSERT_EQ(t.running, 0) << "two at once: seed " << seed << " step " << step << " " << it->key;
          if (d->kind == Kind::run) {
            ASSERT_FALSE(mayHaveRun) << "twice: seed " << seed << " step " << step << " " << it->key;
            ++ran;
          } else {
            if (mayHaveRun && !t.zone.empty()) ASSERT_EQ(d->earlierAttempt.zone, t.zone);
            t.zone = d->earlierAttempt.zone;  // sent to that zone only
            t.mayHaveRunUntil = std::max(t.mayHaveRunUntil, d->validUntil);
            ++bound;
          }
          it->runs = true;
          it->until = net.now + milliseconds(net.rng() % 400);
          ++t.running;
        } else if (net.now >= it->until) {
          --t.running;
          const bool served = net.rng() % 2;
          const std::string answer = "answer to " + it->key + " by " + std::to_string(it->run);
          if (served) t.answers[answer] = net.now + net.settings.retention;
          if (t.zone.empty() || net.now >= t.mayHaveRunUntil) t.zone = net.rng() % 2 ? "east" : "west";
          net.over(it->at, it->run, served ? KeyState::completed : KeyState::uncertain, answer, t.zone);
          t.mayHaveRunUntil = net.now + net.settings.retention - milliseconds(1);
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
