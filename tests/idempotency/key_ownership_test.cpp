// Several KeyOwnership objects over a network in memory, which loses, delays and duplicates messages as each
// test sets. Gateways restart, and may be configured differently.
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

struct Network {
  std::mt19937 rng{3};
  OwnershipSettings settings;
  Time now = std::chrono::hours(24);
  double lossRate = 0, duplicationRate = 0;
  Duration maxDelay = milliseconds(2);
  struct Gateway {
    std::unique_ptr<KeyOwnership> owners;
    std::uint64_t epoch = 1;
    bool down = false;
    std::vector<KeyOwnership::Decision> decisions;
  };
  std::vector<Gateway> members;
  struct Datagram {
    Time at;
    std::uint64_t sequenceNumber;
    GatewayNumber from, to;
    std::uint64_t epoch;
    std::string payload;
    bool operator<(const Datagram& b) const {
      return std::tie(at, sequenceNumber) < std::tie(b.at, b.sequenceNumber);
    }
  };
  std::set<Datagram> inTransit;
  std::uint64_t sequenceNumber = 0;

  explicit Network(GatewayNumber gateways) {
    settings.gateways = gateways;
    settings.retention = seconds(10);
    settings.maxRequestDuration = seconds(2);
    for (GatewayNumber n = 0; n < gateways; ++n) {
      members.emplace_back();
      start(n);
    }
    run(settings.retention + settings.maxRequestDuration);  // until no owner is new
  }
  void start(GatewayNumber n) {
    settings.ownNumber = n;
    members[n].owners = std::make_unique<KeyOwnership>(settings, SipKey{7, 8}, now);
    ++members[n].epoch;
    members[n].decisions.clear();
    members[n].down = false;
  }
  KeyOwnership& operator[](GatewayNumber n) { return *members[n].owners; }

  void collect() {
    for (GatewayNumber n = 0; n < members.size(); ++n) {
      for (auto& out : members[n].owners->takeOutgoing()) {
        EXPECT_LE(out.payload.size(), 218u);  // fits into a datagram
        EXPECT_NE(out.to, n);
        for (int copies = chance(duplicationRate) ? 2 : 1; copies > 0; --copies)
          if (!chance(lossRate))
            inTransit.insert({now + Duration(rng() % (maxDelay.count() + 1)), ++sequenceNumber, n, out.to,
                              members[n].epoch, out.payload});
      }
      for (auto& d : members[n].owners->takeDecisions()) members[n].decisions.push_back(std::move(d));
    }
  }
  bool chance(double p) { return rng() % 10'000 < p * 10'000; }
  void run(Duration span) {
    const Time until = now + span;
    for (;;) {
      collect();
      Time nextEvent = until;
      if (!inTransit.empty()) nextEvent = std::min(nextEvent, inTransit.begin()->at);
      for (const Gateway& g : members)
        if (!g.down && g.owners->nextTimer()) nextEvent = std::min(nextEvent, *g.owners->nextTimer());
      now = std::max(now, nextEvent);
      while (!inTransit.empty() && inTransit.begin()->at <= now) {
        const Datagram f = *inTransit.begin();
        inTransit.erase(inTransit.begin());
        if (!members[f.to].down) members[f.to].owners->onMessage(now, f.from, f.epoch, f.payload);
      }
      for (Gateway& g : members)
        if (!g.down && g.owners->nextTimer() && *g.owners->nextTimer() <= now) g.owners->onTimer(now);
      if (now >= until) return collect();
    }
  }
  SharedKey key(const std::string& name, const std::string& body = "b") {
    return members[0].owners->keyOf("acme", "put", name, "POST", "/put/1", body);
  }
  // The decision on a run; null if there is none yet.
  const KeyOwnership::Decision* decision(GatewayNumber n, std::uint64_t run) const {
    for (const auto& d : members[n].decisions)
      if (d.run == run) return &d;
    return nullptr;
  }
  void finish(GatewayNumber n, std::uint64_t run, KeyState to, const std::string& body = "",
              const std::string& zone = "east") {
    const CachedResponse a{201, "text/x", body};
    members[n].owners->finishRun(now, run, to, zone.empty() ? EarlierAttempt{} : EarlierAttempt{zone, 1, now},
                                 now + settings.retention, &a);
  }
};

TEST(KeyOwnership, OwnersAgreeAndFewKeysMoveWithAdditionalGateway) {
  Network network(5);
  OwnershipSettings more = network.settings;
  more.gateways = 6;
  const KeyOwnership six(more, SipKey{7, 8}, network.now);
  std::map<GatewayNumber, int> first;
  int moved = 0;
  for (int i = 0; i < 6000; ++i) {
    const SharedKey k = network.key(std::to_string(i));
    const auto owners = network[0].ownersOf(k.id);
    ASSERT_EQ(owners.size(), 3u);
    EXPECT_EQ(owners, network[4].ownersOf(k.id));
    EXPECT_EQ(std::set<GatewayNumber>(owners.begin(), owners.end()).size(), 3u);
    ++first[owners[0]];
    moved += six.ownersOf(k.id)[0] != owners[0];
  }
  for (const auto& [n, count] : first) EXPECT_NEAR(count, 1200, 150) << n;
  EXPECT_NEAR(moved, 1000, 150);  // one sixth of the keys
}

TEST(KeyOwnership, RepeatAtAnotherGatewayWaitsAndFetchesResponse) {
  for (const std::size_t size : {0u, 5u, 600u, 1900u}) {
    Network network(4);
    const auto k = network.key("k");
    network[0].claimKey(network.now, 1, k, false);
    network.run(milliseconds(20));
    network[1].claimKey(network.now, 1, k, true);
    network.run(milliseconds(500));
    EXPECT_FALSE(network.decision(1, 1));
    const std::string body(size, 'x');
    network.finish(0, 1, KeyState::completed, body);
    network.run(milliseconds(200));
    const auto* d = network.decision(1, 1);
    ASSERT_TRUE(d);
    ASSERT_EQ(d->kind, Kind::response);
    EXPECT_EQ(d->response.status, 201u);
    EXPECT_EQ(d->response.contentType, "text/x");
    EXPECT_EQ(d->response.body, body);
  }
}

TEST(KeyOwnership, ResponseTooLargeToShareLeavesKeyUncertain) {
  Network network(4);
  const auto k = network.key("k");
  network[0].claimKey(network.now, 1, k, false);
  network.run(milliseconds(20));
  const Time sent = network.now;
  network.finish(0, 1, KeyState::completed, std::string(3000, 'x'));
  network.run(milliseconds(50));
  network[1].claimKey(network.now, 1, k, true);
  network.run(milliseconds(100));
  const auto* d = network.decision(1, 1);
  ASSERT_TRUE(d);
  EXPECT_EQ(d->kind, Kind::uncertain);
  EXPECT_EQ(d->earlierAttempt.zone, "east");
  // The received age is never too short, or a repeat could be sent after the hosts' window.
  EXPECT_LE(d->earlierAttempt.sentAt, sent);
  EXPECT_GE(d->earlierAttempt.sentAt, sent - milliseconds(400));
}

TEST(KeyOwnership, RunThatWasNotExecutedLeavesKeyUnused) {
  Network network(4);
  const auto k = network.key("k");
  network[0].claimKey(network.now, 1, k, false);
  network.run(milliseconds(20));
  network.finish(0, 1, KeyState::unused);
  network.run(milliseconds(20));
  network[1].claimKey(network.now, 1, k, true);
  network.run(milliseconds(20));
  ASSERT_TRUE(network.decision(1, 1));
  EXPECT_EQ(network.decision(1, 1)->kind, Kind::run);
}

TEST(KeyOwnership, RunThatMayHaveExecutedBindsOneRepeatAtATime) {
  Network network(4);
  const auto k = network.key("k");
  network[0].claimKey(network.now, 1, k, false);
  network.run(milliseconds(20));
  const Time sent = network.now;
  network.finish(0, 1, KeyState::uncertain, "", "west");
  network.run(milliseconds(20));
  network[1].claimKey(network.now, 1, k, true);
  network.run(milliseconds(20));
  ASSERT_TRUE(network.decision(1, 1));
  EXPECT_EQ(network.decision(1, 1)->kind, Kind::uncertain);
  EXPECT_EQ(network.decision(1, 1)->earlierAttempt.zone, "west");
  EXPECT_EQ(network.decision(1, 1)->earlierAttempt.cell, 1);
  EXPECT_LE(network.decision(1, 1)->earlierAttempt.sentAt, sent);
  EXPECT_LE(network.decision(1, 1)->validUntil, sent + network.settings.retention + milliseconds(10));
  network[2].claimKey(network.now, 1, k, true);
  network.run(milliseconds(200));
  EXPECT_FALSE(network.decision(2, 1));    // another gateway runs it
  network.finish(1, 1, KeyState::unused);  // that run fails unsent
  network.run(milliseconds(100));
  ASSERT_TRUE(network.decision(2, 1));
  EXPECT_EQ(network.decision(2, 1)->kind, Kind::uncertain);  // the key is still uncertain
  network.finish(2, 1, KeyState::unused);
  network.run(network.settings.retention);
  network[3].claimKey(network.now, 1, k, true);
  network.run(milliseconds(20));
  EXPECT_EQ(network.decision(3, 1)->kind, Kind::run);  // the retention has passed
}

TEST(KeyOwnership, SameKeyOfAnotherRequestIsFingerprintMismatch) {
  Network network(4);
  network[0].claimKey(network.now, 1, network.key("k"), false);
  network.run(milliseconds(20));
  network[1].claimKey(network.now, 1, network.key("k", "another body"), true);
  network.run(milliseconds(20));
  ASSERT_TRUE(network.decision(1, 1));
  EXPECT_EQ(network.decision(1, 1)->kind, Kind::fingerprintMismatch);
}

// No owner answers, so there is no majority.
TEST(KeyOwnership, UnreachableOwnersLeaveKeyUncertainOrRunItBySetting) {
  for (const bool mayRun : {false, true}) {
    Network network(4);
    network.settings.runWithoutMajority = mayRun;
    network.start(1);
    network.run(network.settings.retention + network.settings.maxRequestDuration);
    network.lossRate = 1;
    const Time begin = network.now;
    network[1].claimKey(network.now, 1, network.key("k"), true);
    network.run(milliseconds(100));
    ASSERT_TRUE(network.decision(1, 1));
    EXPECT_EQ(network.decision(1, 1)->kind, mayRun ? Kind::run : Kind::uncertain);
    EXPECT_EQ(network.decision(1, 1)->earlierAttempt.sentAt, Time{});
    EXPECT_EQ(network[1].counts().noMajority, 1u);
    EXPECT_EQ(network[1].pendingMessages(), 0u);  // retransmission has ended
    EXPECT_LE(network.now - begin, milliseconds(100));
  }
}

// An owner that has restarted has no entries and does not count towards a majority. The other owners still
// report the run.
TEST(KeyOwnership, RestartedOwnerDoesNotHideRun) {
  for (int i = 0; i < 20; ++i) {
    Network network(4);
    const auto k = network.key("k" + std::to_string(i));
    const auto owners = network[0].ownersOf(k.id);
    const auto runner = static_cast<GatewayNumber>(i % 4), repeats = static_cast<GatewayNumber>((i + 1) % 4);
    network[runner].claimKey(network.now, 1, k, false);
    network.run(milliseconds(20));
    const auto restarted = owners[static_cast<std::size_t>(i) % 3];
    if (restarted == runner || restarted == repeats) continue;
    network.start(restarted);
    network[repeats].claimKey(network.now, 1, k, true);
    network.run(milliseconds(100));
    EXPECT_FALSE(network.decision(repeats, 1));
  }
}

TEST(KeyOwnership, NoKeyCountsAsUnusedWhileMostOwnersAreNew) {
  Network network(3);
  network.start(0), network.start(1), network.start(2);
  network[1].claimKey(network.now, 1, network.key("k"), true);
  network.run(milliseconds(100));
  ASSERT_TRUE(network.decision(1, 1));
  EXPECT_EQ(network.decision(1, 1)->kind, Kind::uncertain);
  network.finish(1, 1, KeyState::unused);
  network.run(network.settings.retention + network.settings.maxRequestDuration);
  network[1].claimKey(network.now, 2, network.key("k"), true);
  network.run(milliseconds(100));
  EXPECT_EQ(network.decision(1, 2)->kind, Kind::run);
}

// The gateway that ran the key restarts and has lost the result of the run.
TEST(KeyOwnership, RestartedRunnerLeavesItsKeysUncertain) {
  Network network(4);
  const auto k = network.key("k");
  network[0].claimKey(network.now, 1, k, false);
  network.run(milliseconds(20));
  network.start(0);
  network[0].claimKey(network.now, 1, k, true);  // a repeat at the same gateway
  network.run(milliseconds(100));
  ASSERT_TRUE(network.decision(0, 1));
  EXPECT_EQ(network.decision(0, 1)->kind, Kind::uncertain);
  EXPECT_EQ(network.decision(0, 1)->earlierAttempt.sentAt, Time{});
}

TEST(KeyOwnership, StoppedRunnerLeavesKeyUncertain) {
  Network network(4);
  const auto k = network.key("k");
  network[0].claimKey(network.now, 1, k, false);
  network.run(milliseconds(20));
  network.members[0].down = true;
  network[1].claimKey(network.now, 1, k, true);
  network.run(seconds(1));
  EXPECT_FALSE(network.decision(1, 1));
  network.run(seconds(2));
  ASSERT_TRUE(network.decision(1, 1));
  EXPECT_EQ(network.decision(1, 1)->kind, Kind::uncertain);
}

// A gateway is configured for another number of gateways. The vote of a gateway that does not count itself
// among the owners cannot make a key unused.
TEST(KeyOwnership, MembershipMismatchDoesNotMakeKeysUnused) {
  int waitingCount = 0, ran = 0;
  for (int i = 0; i < 60; ++i) {
    Network network(4);
    const auto k = network.key("k" + std::to_string(i));
    // Gateway 3 is configured for four gateways, the others for three.
    for (GatewayNumber n = 0; n < 3; ++n) {
      network.settings.gateways = 3;
      network.start(n);
    }
    network.run(network.settings.retention + network.settings.maxRequestDuration);
    network[0].claimKey(network.now, 1, k, false);
    network.run(milliseconds(20));
    network[3].claimKey(network.now, 1, k, true);
    network.run(milliseconds(100));
    const auto* d = network.decision(3, 1);
    waitingCount += !d;
    ran += d && d->kind == Kind::run;
  }
  EXPECT_EQ(ran, 0);
  EXPECT_EQ(waitingCount, 60);  // two of its three owners also are owners for the other gateways
}

// A claim may arrive after the notice that its run has finished.
TEST(KeyOwnership, DelayedClaimDoesNotRestartFinishedRun) {
  Network network(4);
  const auto k = network.key("k");
  const auto owner = [&] {
    for (const GatewayNumber n : network[0].ownersOf(k.id))
      if (n != 0) return n;
    return GatewayNumber{0};
  }();
  network[0].claimKey(network.now, 1, k, false);
  network.collect();
  const auto delayed = network.inTransit;
  network.run(milliseconds(20));
  network.finish(0, 1, KeyState::unused);
  network.run(milliseconds(20));
  for (const auto& f : delayed)
    if (f.to == owner) network[owner].onMessage(network.now, f.from, f.epoch, f.payload);
  network[1].claimKey(network.now, 1, k, true);
  network.run(milliseconds(30));
  ASSERT_TRUE(network.decision(1, 1));
  EXPECT_EQ(network.decision(1, 1)->kind, Kind::run);
}

// Two gateways claim a key at the same time, and each may be the runner at one of its owners. One of them
// must run it, and the other gets its response.
TEST(KeyOwnership, OneOfTwoSimultaneousClaimsRuns) {
  int decidedFirst[5] = {};
  for (int i = 0; i < 50; ++i) {
    Network network(5);
    network.rng.seed(static_cast<std::uint32_t>(i));
    const auto k = network.key("k" + std::to_string(i));
    network[1].claimKey(network.now, 1, k, true);
    network[4].claimKey(network.now, 1, k, true);
    network.run(milliseconds(300));
    const bool one = network.decision(1, 1), four = network.decision(4, 1);
    ASSERT_NE(one, four) << i;
    const GatewayNumber winner = one ? 1 : 4, loser = one ? 4 : 1;
    ++decidedFirst[winner];
    EXPECT_EQ(network.decision(winner, 1)->kind, Kind::run);
    network.finish(winner, 1, KeyState::completed, "once");
    network.run(milliseconds(200));
    ASSERT_TRUE(network.decision(loser, 1));
    EXPECT_EQ(network.decision(loser, 1)->kind, Kind::response);
  }
  EXPECT_GT(decidedFirst[1], 0);
}

// Returns the decision of a claimer that receives `responses` from the owners of a key. The claimer is not
// an owner itself.
KeyOwnership::Decision decisionOn(const std::vector<ClaimResponse>& responses) {
  Network network(6);
  GatewayNumber at = 0;
  SharedKey k;
  std::vector<GatewayNumber> owners;
  for (int i = 0; owners.empty() || std::find(owners.begin(), owners.end(), at) != owners.end(); ++i) {
    k = network.key("k" + std::to_string(i));
    owners = network[0].ownersOf(k.id);
  }
  network[at].claimKey(network.now, 1, k, true);
  std::map<GatewayNumber, ClaimResponse> responseByOwner;
  for (std::size_t i = 0; i < responses.size(); ++i) responseByOwner[owners[i]] = responses[i];
  for (const auto& out : network[at].takeOutgoing()) {
    if (!responseByOwner.count(out.to)) continue;  // does not answer
    ClaimResponse r = responseByOwner[out.to];
    r.requestId = std::get<Claim>(*decodeOwnerMessage(out.payload)).requestId;
    network[at].onMessage(network.now, out.to, 1, encode(r));
  }
  network.lossRate = 1;
  network.run(milliseconds(35));
  const auto* d = network.decision(at, 1);
  EXPECT_TRUE(d);
  return d ? *d : KeyOwnership::Decision{};
}
ClaimResponse vote(ClaimResult state, const std::string& zone = "", bool senderIsOwner = true) {
  return {0,   state, 1, senderIsOwner, false, {zone, 1, zone.empty() ? AttemptLocation::kUnknownAge : 50},
          5000};
}

TEST(KeyOwnership, MajorityOfInformedOwnersDecides) {
  // foreignVote: the sender is not an owner by its own configuration.
  const ClaimResponse unusedVote = vote(ClaimResult::unused), eastVote = vote(ClaimResult::uncertain, "east"),
                      westVote = vote(ClaimResult::uncertain, "west"),
                      fullVote = vote(ClaimResult::ownerFull),
                      foreignVote = vote(ClaimResult::unused, "", false);
  EXPECT_EQ(decisionOn({unusedVote, unusedVote, unusedVote}).kind, Kind::run);
  EXPECT_EQ(decisionOn({unusedVote, unusedVote}).kind, Kind::run);
  EXPECT_EQ(decisionOn({unusedVote}).kind, Kind::uncertain);
  EXPECT_EQ(decisionOn({unusedVote, foreignVote, foreignVote}).kind, Kind::uncertain);
  EXPECT_EQ(decisionOn({unusedVote, fullVote}).kind, Kind::uncertain);
  EXPECT_EQ(decisionOn({unusedVote, unusedVote, foreignVote}).kind, Kind::run);
  EXPECT_EQ(decisionOn({unusedVote, vote(ClaimResult::mismatch)}).kind, Kind::fingerprintMismatch);
  EXPECT_EQ(decisionOn({eastVote, unusedVote, unusedVote}).earlierAttempt.zone, "east");
  EXPECT_EQ(decisionOn({eastVote, unusedVote}).earlierAttempt.zone, "east");
  // The other owners may have recorded another attempt.
  EXPECT_EQ(decisionOn({eastVote}).earlierAttempt.sentAt, Time{});
  EXPECT_EQ(decisionOn({eastVote, westVote, unusedVote}).earlierAttempt.sentAt, Time{});
  EXPECT_EQ(decisionOn({eastVote, eastVote, westVote}).earlierAttempt.sentAt, Time{});
}

// The notice of a run arrives after the claim of the next run of that gateway.
TEST(KeyOwnership, DelayedNoticeAfterNextClaimCounts) {
  Network network(1);
  network.settings.gateways = 3;
  network.start(0);
  network.run(network.settings.retention + network.settings.maxRequestDuration);
  const auto k = network.key("k");
  const auto claimAt = [&](GatewayNumber from, std::uint64_t run) {
    network[0].onMessage(network.now, from, 1, encode(Claim{1, k, run, 0, false}));
    return std::get<ClaimResponse>(*decodeOwnerMessage(network[0].takeOutgoing().back().payload));
  };
  EXPECT_EQ(claimAt(1, 1).result, ClaimResult::unused);
  EXPECT_EQ(claimAt(1, 1).result, ClaimResult::unused);  // a duplicate
  const auto nextClaim = claimAt(1, 2);                  // the end of the first run has not been reported
  EXPECT_EQ(nextClaim.result, ClaimResult::uncertain);
  EXPECT_EQ(nextClaim.attempt.ageMs, AttemptLocation::kUnknownAge);
  network[0].onMessage(network.now, 1, 1,
                       encode(RunFinishedNotice{2, k, 1, KeyState::uncertain, {"west", 3, 50}, 5000}));
  EXPECT_EQ(claimAt(2, 9).result, ClaimResult::running);
  network[0].onMessage(network.now, 1, 1, encode(RunFinishedNotice{3, k, 2, KeyState::unused, {}, 0}));
  const auto after = claimAt(2, 9);
  EXPECT_EQ(after.result, ClaimResult::uncertain);
  EXPECT_EQ(after.attempt.zone, "west");
}

TEST(KeyOwnership, OwnedKeysAreBoundedAndFullOwnerRejectsClaims) {
  Network network(1);
  network.settings.maxEntries = 50;
  network.start(0);
  network.run(network.settings.retention + network.settings.maxRequestDuration);
  for (std::uint64_t i = 1; i <= 50; ++i)
    network[0].claimKey(network.now, i, network.key(std::to_string(i)), true);
  network[0].claimKey(network.now, 51, network.key("more"), true);
  network.run(milliseconds(1));
  EXPECT_EQ(network.decision(0, 50)->kind, Kind::run);
  EXPECT_EQ(network.decision(0, 51)->kind, Kind::uncertain);
  EXPECT_EQ(network[0].ownedKeys(), 50u);
  EXPECT_EQ(network[0].counts().rejectedForCapacity, 1u);
  for (std::uint64_t i = 1; i <= 51; ++i) network.finish(0, i, KeyState::completed, std::string(100, 'x'));
  network.run(network.settings.retention + seconds(1));
  network[0].claimKey(network.now, 52, network.key("later"), true);
  network.run(milliseconds(1));
  EXPECT_EQ(network.decision(0, 52)->kind, Kind::run);
  EXPECT_EQ(network[0].ownedKeys(), 1u);
}

TEST(KeyOwnership, PendingMessagesAreBounded) {
  Network network(4);
  network.settings.maxPendingMessages = 30;
  network.start(1);
  network.lossRate = 1;
  for (std::uint64_t i = 1; i <= 100; ++i)
    network[1].claimKey(network.now, i, network.key(std::to_string(i)), true);
  EXPECT_LE(network[1].pendingMessages(), 30u);
  EXPECT_GT(network[1].counts().notSent, 100u);
  network.run(milliseconds(100));
  EXPECT_EQ(network.members[1].decisions.size(), 100u);
}

TEST(KeyOwnership, MalformedMessageIsCountedAndIgnored) {
  Network network(2);
  network[0].onMessage(network.now, 1, 5, "");
  network[0].onMessage(network.now, 1, 5, "\x01 cut");
  network[0].onMessage(
      network.now, 1, 5,
      encode(ClaimResponse{99, ClaimResult::unused, 0, true, false, {}, 0}));  // answers no claim
  EXPECT_EQ(network[0].counts().malformed, 2u);
  EXPECT_TRUE(network[0].takeOutgoing().empty());
}

// Messages are lost, delayed and duplicated, and gateways restart one at a time, all from fixed seeds. Every
// request waits for its decision. A key must not run in two gateways at once, and must not count as unused
// while it may have been executed.
TEST(KeyOwnership, NoKeyRunsTwiceUnderNetworkFaults) {
  std::size_t ran = 0, answered = 0, bound = 0, waited = 0, restarts = 0;
  for (std::uint32_t seed = 1; seed <= 25; ++seed) {
    Network network(5);
    network.rng.seed(seed);
    network.lossRate = seed % 3 * 0.12;
    network.duplicationRate = 0.1;
    network.maxDelay = milliseconds(seed % 2 ? 3 : 25);
    struct OpenRequest {
      GatewayNumber at;
      std::uint64_t run;
      std::string key;
      bool isRunning = false;
      Time until{};
    };
    struct KeyHistory {
      int running = 0;
      Time mayHaveRunUntil{};
      std::string zone;
      // A bound run that was sent again leaves two responses, both valid.
      std::map<std::string, Time> responseExpiry;
      std::map<GatewayNumber, Time> endedAt;
    };
    std::vector<OpenRequest> openRequests;
    std::map<std::string, KeyHistory> histories;
    std::uint64_t lastRun = 0;
    Time nextRestart = network.now + seconds(3);
    for (int step = 0; step < 2500; ++step) {
      network.run(milliseconds(network.rng() % 12));
      // The next restart follows when the restarted gateway is not new any more.
      if (network.now >= nextRestart) {
        const auto n = static_cast<GatewayNumber>(network.rng() % 5);
        network.start(n);
        ++restarts;
        for (auto it = openRequests.begin(); it != openRequests.end();) {
          if (it->at != n) {
            ++it;
            continue;
          }
          KeyHistory& t = histories[it->key];
          if (it->isRunning)
            --t.running, t.mayHaveRunUntil = network.now + network.settings.retention, t.zone.clear();
          it = openRequests.erase(it);
        }
        nextRestart =
            network.now + network.settings.retention + network.settings.maxRequestDuration + seconds(1);
      }
      if (openRequests.size() < 40) {
        OpenRequest o{static_cast<GatewayNumber>(network.rng() % 5), ++lastRun,
                      "k" + std::to_string(network.rng() % 30)};
        // Repeats at the same gateway wait in its store, so a gateway has one claim of a key at a time.
        if (std::none_of(openRequests.begin(), openRequests.end(),
                         [&](const OpenRequest& a) { return a.at == o.at && a.key == o.key; }) &&
            // The store answers repeats of its own runs until it evicts them, which takes some time.
            network.now - histories[o.key].endedAt[o.at] > milliseconds(200)) {
          o.until = network.now + milliseconds(1500);
          network[o.at].claimKey(network.now, o.run, network.key(o.key), true);
          openRequests.push_back(o);
          ++waited;
        }
      }
      for (auto it = openRequests.begin(); it != openRequests.end();) {
        KeyHistory& t = histories[it->key];
        if (!it->isRunning) {
          const auto* d = network.decision(it->at, it->run);
          if (!d) {
            if (network.now >= it->until) {  // at the client's deadline
              network.finish(it->at, it->run, KeyState::unused);
              it = openRequests.erase(it);
              continue;
            }
            ++it;
            continue;
          }
          const bool mayHaveRun = network.now < t.mayHaveRunUntil;
          if (d->kind == Kind::response) {
            ASSERT_TRUE(t.responseExpiry.count(d->response.body)) << "seed " << seed << " step " << step;
            ASSERT_LT(network.now, t.responseExpiry[d->response.body] + milliseconds(300))
                << "response replayed after its retention";
            ++answered;
            network.finish(it->at, it->run, KeyState::unused);  // not executed at this gateway
            it = openRequests.erase(it);
            continue;
          }
          if (d->kind == Kind::uncertain && d->earlierAttempt.sentAt == Time{}) {  // the run fails unsent
            network.finish(it->at, it->run, KeyState::unused);
            it = openRequests.erase(it);
            continue;
          }
          ASSERT_EQ(t.running, 0) << "two concurrent runs: seed " << seed << " step " << step << " "
                                  << it->key;
          if (d->kind == Kind::run) {
            ASSERT_FALSE(mayHaveRun) << "run twice: seed " << seed << " step " << step << " " << it->key;
            ++ran;
          } else {
            if (mayHaveRun && !t.zone.empty()) ASSERT_EQ(d->earlierAttempt.zone, t.zone);
            t.zone = d->earlierAttempt.zone;  // sent to that zone only
            t.mayHaveRunUntil = std::max(t.mayHaveRunUntil, d->validUntil);
            ++bound;
          }
          it->isRunning = true;
          it->until = network.now + milliseconds(network.rng() % 400);
          ++t.running;
        } else if (network.now >= it->until) {
          --t.running;
          const bool served = network.rng() % 2;
          const std::string answer = "answer to " + it->key + " by " + std::to_string(it->run);
          if (served) t.responseExpiry[answer] = network.now + network.settings.retention;
          if (t.zone.empty() || network.now >= t.mayHaveRunUntil)
            t.zone = network.rng() % 2 ? "east" : "west";
          network.finish(it->at, it->run, served ? KeyState::completed : KeyState::uncertain, answer, t.zone);
          t.mayHaveRunUntil = network.now + network.settings.retention - milliseconds(1);
          t.endedAt[it->at] = network.now;
          it = openRequests.erase(it);
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
  std::printf("%zu requests waited: %zu ran, %zu answered, %zu bound, %zu restarts\n", waited, ran, answered,
              bound, restarts);
}

}  // namespace
}  // namespace finchstile::idempotency
