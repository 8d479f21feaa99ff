// Gossip between gateways: what convinces one, what a faulty one can do, and what is sent.
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

GossipUpdate unresponsive(HostKey host, Duration age = {}, std::int64_t started = 0) {
  return {host, started, GossipUpdate::Kind::unresponsive, 0, age};
}
GossipUpdate phase(HostKey host, GossipUpdate::Kind what, std::uint64_t version, std::int64_t started = 0) {
  return {host, started, what, version, {}};
}
std::string bytes(std::vector<GossipUpdate> r) { return encodeGossipMessage(r).value(); }

// One gateway of five, with ten listed hosts.
struct TestGateway {
  GossipSettings settings;
  std::map<HostKey, Time> lastResponses;
  Time now = seconds(100);
  std::unique_ptr<Gossip> gossip;

  explicit TestGateway(const std::function<void(GossipSettings&)>& change = [](GossipSettings&) {}) {
    settings.gatewayCount = 5;
    settings.quorum = 2;
    change(settings);
    gossip = std::make_unique<Gossip>(settings, 7, now, [this](HostKey h) {
      const auto it = lastResponses.find(h);
      return it == lastResponses.end() ? Time{} : it->second;
    });
    for (HostKey h = 1; h <= 10; ++h) gossip->onListed(h, 0, HostPhase::active, 5, now);
  }
  void receive(GatewayNumber from, std::vector<GossipUpdate> r) {
    gossip->onMessage(from, bytes(std::move(r)), now);
  }
  std::vector<GossipUpdate> sentUpdates() {
    std::vector<GossipUpdate> all;
    for (const auto& o : gossip->tick(now)) {
      const auto r = decodeGossipMessage(o.payload);
      EXPECT_TRUE(r);
      all = *r;  // the same to each
    }
    return all;
  }
};

TEST(Gossip, SendsNothingWithoutChanges) {
  TestGateway gateway;
  for (int i = 0; i < 1000; ++i) {
    EXPECT_TRUE(gateway.gossip->tick(gateway.now).empty());
    gateway.now += milliseconds(200);
  }
}

TEST(Gossip, OneGatewayConvincesNobody) {
  TestGateway gateway;
  for (int i = 0; i < 50; ++i) {
    gateway.receive(1, {unresponsive(3)});
    gateway.now += milliseconds(100);
  }
  EXPECT_FALSE(gateway.gossip->isUnresponsiveByQuorum(3, gateway.now));
  EXPECT_TRUE(gateway.sentUpdates().empty());  // nor is it passed on
}

TEST(Gossip, QuorumConvincesAndIsPassedOnWithItsAge) {
  TestGateway gateway;
  gateway.receive(1, {unresponsive(3, milliseconds(400))});
  gateway.receive(2, {unresponsive(3, milliseconds(900))});
  EXPECT_TRUE(gateway.gossip->isUnresponsiveByQuorum(3, gateway.now));
  EXPECT_EQ(gateway.gossip->takeUnresponsiveUntil().size(), 1u);
  gateway.now += milliseconds(100);
  const auto updates = gateway.sentUpdates();
  ASSERT_EQ(updates.size(), 1u);
  EXPECT_EQ(updates[0].age, Duration(seconds(1)));  // of the second youngest observation
  gateway.now += milliseconds(2000);
  EXPECT_FALSE(gateway.gossip->isUnresponsiveByQuorum(3, gateway.now));  // 3 s after the observation
  EXPECT_EQ(gateway.gossip->statistics().unresponsiveByQuorum, 1u);
}

// Two gateways that repeat each other must not restrict a host forever.
TEST(Gossip, RepeatedUpdatesExpire) {
  std::vector<std::unique_ptr<TestGateway>> all;
  for (int i = 0; i < 5; ++i)
    all.push_back(std::make_unique<TestGateway>(
        [&](GossipSettings& s) { s.ownNumber = static_cast<GatewayNumber>(i); }));
  all[0]->gossip->onUnresponsive(3, 0, all[0]->now);
  all[1]->gossip->onUnresponsive(3, 0, all[1]->now);
  bool unresponsiveByQuorum = false;
  for (int i = 0; i < 40; ++i) {
    for (GatewayNumber from = 0; from < 5; ++from)
      for (const auto& o : all[from]->gossip->tick(all[from]->now))
        all[o.recipient]->gossip->onMessage(from, o.payload, all[o.recipient]->now);
    unresponsiveByQuorum |= all[4]->gossip->isUnresponsiveByQuorum(3, all[4]->now);
    for (auto& g : all) g->now += milliseconds(200);
  }
  EXPECT_TRUE(unresponsiveByQuorum);
  for (auto& g : all) {
    EXPECT_FALSE(g->gossip->isUnresponsiveByQuorum(3, g->now));
    EXPECT_TRUE(g->gossip->tick(g->now).empty());
  }
}

TEST(Gossip, OwnResponsesOverrideTheQuorum) {
  TestGateway gateway;
  gateway.lastResponses[3] = gateway.now - milliseconds(100);
  gateway.receive(1, {unresponsive(3, milliseconds(400))});
  gateway.receive(2, {unresponsive(3, milliseconds(400))});
  EXPECT_FALSE(gateway.gossip->isUnresponsiveByQuorum(3, gateway.now));
  EXPECT_EQ(gateway.gossip->statistics().contradicted, 2u);
  gateway.receive(1, {unresponsive(4)});
  gateway.receive(2, {unresponsive(4)});
  EXPECT_TRUE(gateway.gossip->isUnresponsiveByQuorum(4, gateway.now));
  gateway.lastResponses[4] = gateway.now + milliseconds(5);
  EXPECT_FALSE(gateway.gossip->isUnresponsiveByQuorum(4, gateway.now + milliseconds(10)));
}

// The host restarts between two observations.
TEST(Gossip, NoObservationOfAnEarlierProcessCounts) {
  TestGateway gateway;
  gateway.receive(1, {unresponsive(3)});
  gateway.gossip->onListed(3, 1000, HostPhase::active, 6, gateway.now);
  gateway.receive(2, {unresponsive(3)});  // of the earlier process
  EXPECT_FALSE(gateway.gossip->isUnresponsiveByQuorum(3, gateway.now));
  gateway.receive(2, {unresponsive(3, {}, 1000)});
  EXPECT_FALSE(
      gateway.gossip->isUnresponsiveByQuorum(3, gateway.now));  // the first vote was for the earlier process
  gateway.receive(1, {unresponsive(3, {}, 1000)});
  EXPECT_TRUE(gateway.gossip->isUnresponsiveByQuorum(3, gateway.now));
  gateway.gossip->onUnresponsive(3, 0, gateway.now);  // an attempt at the earlier process
  EXPECT_EQ(gateway.sentUpdates().at(0).startedUnixMs, 1000);
}

TEST(Gossip, IgnoresHostsThatTheListDoesNotName) {
  TestGateway gateway;
  gateway.receive(1, {unresponsive(99), phase(99, GossipUpdate::Kind::removed, 9)});
  gateway.receive(2, {unresponsive(99)});
  EXPECT_FALSE(gateway.gossip->isUnresponsiveByQuorum(99, gateway.now));
  EXPECT_TRUE(gateway.gossip->takeAcceptedPhases().empty());
  EXPECT_EQ(gateway.gossip->hostCount(), 10u);
}

// A faulty gateway that reports every host as unresponsive and removed.
TEST(Gossip, FaultyGatewayRestrictsABoundedFractionForABoundedTime) {
  TestGateway gateway;
  std::size_t accepted = 0;
  for (int second = 0; second < 600; ++second) {
    for (HostKey h = 1; h <= 10; ++h)
      gateway.receive(1, {unresponsive(h),
                          phase(h, GossipUpdate::Kind::removed, 1000 + static_cast<std::uint64_t>(second))});
    for (HostKey h = 1; h <= 10; ++h) EXPECT_FALSE(gateway.gossip->isUnresponsiveByQuorum(h, gateway.now));
    accepted += gateway.gossip->takeAcceptedPhases().size();
    gateway.gossip->tick(gateway.now);
    gateway.now += seconds(1);
  }
  // Two of ten hosts at a time (a quarter), 10 s each, until 32 assertions were wrong; then one per minute.
  EXPECT_LE(accepted, 32u + 10u + 2u);
  EXPECT_FALSE(gateway.gossip->hasReputation(1));
  EXPECT_GT(gateway.gossip->statistics().overFraction, 0u);
  EXPECT_GT(gateway.gossip->statistics().withoutReputation, 0u);
  // The reputation of others does not change.
  gateway.receive(2, {phase(4, GossipUpdate::Kind::draining, 9)});
  EXPECT_EQ(gateway.gossip->takeAcceptedPhases().size(), 1u);
}

TEST(Gossip, IgnoresAssertionsOfOlderLists) {
  TestGateway gateway;
  gateway.receive(1, {phase(3, GossipUpdate::Kind::draining, 5)});
  gateway.receive(1, {phase(3, GossipUpdate::Kind::removed, 4)});
  EXPECT_TRUE(gateway.gossip->takeAcceptedPhases().empty());
  gateway.receive(1, {phase(3, GossipUpdate::Kind::draining, 6)});
  const auto a = gateway.gossip->takeAcceptedPhases();
  ASSERT_EQ(a.size(), 1u);
  EXPECT_EQ(a[0].phase, HostPhase::draining);
  EXPECT_EQ(a[0].since, gateway.now);
}

TEST(Gossip, RepeatedAssertionKeepsItsTime) {
  TestGateway gateway;
  const Time first = gateway.now;
  for (int i = 0; i < 9; ++i) {
    gateway.receive(1, {phase(3, i < 5 ? GossipUpdate::Kind::draining : GossipUpdate::Kind::removed,
                              6 + static_cast<std::uint64_t>(i))});
    for (const auto& a : gateway.gossip->takeAcceptedPhases()) EXPECT_EQ(a.since, first);
    gateway.now += seconds(1);
  }
  EXPECT_EQ(gateway.gossip->statistics().assertions, 1u);
}

TEST(Gossip, ConfirmedAssertionCostsNoReputation) {
  TestGateway gateway([](GossipSettings& s) { s.maxReputation = 2; });
  for (std::uint64_t v = 6; v < 40; v += 2) {  // a peer whose lists are ahead of ours
    gateway.receive(1, {phase(3, GossipUpdate::Kind::draining, v)});
    EXPECT_EQ(gateway.gossip->takeAcceptedPhases().size(), 1u) << v;
    gateway.now += seconds(2);
    gateway.gossip->onListed(3, 0, HostPhase::draining, v, gateway.now);
    gateway.gossip->onListed(3, 0, HostPhase::active, v + 1, gateway.now);
  }
  EXPECT_TRUE(gateway.gossip->hasReputation(1));
  EXPECT_EQ(gateway.gossip->statistics().expired, 0u);
  EXPECT_EQ(gateway.gossip->statistics().confirmed, 17u);
}

// In an overload every gateway may find every host unresponsive.
TEST(Gossip, QuorumRestrictsABoundedFractionOfHosts) {
  TestGateway gateway;
  for (HostKey h = 1; h <= 10; ++h)
    for (GatewayNumber from = 1; from < 5; ++from) gateway.receive(from, {unresponsive(h)});
  std::size_t out = 0;
  for (HostKey h = 1; h <= 10; ++h) out += gateway.gossip->isUnresponsiveByQuorum(h, gateway.now);
  EXPECT_EQ(out, 5u);
}

TEST(Gossip, BoundsWhatIsSent) {
  TestGateway gateway([](GossipSettings& s) { s.gatewayCount = 1000; });
  for (HostKey h = 100; h < 10'100; ++h) gateway.gossip->onListed(h, 0, HostPhase::active, 6, gateway.now);
  for (HostKey h = 100; h < 10'100; ++h)
    gateway.gossip->onListed(h, 0, HostPhase::removed, 7, gateway.now);  // all are removed at the same time
  std::size_t sent = 0, bytes = 0;
  for (int i = 0; i < 50; ++i) {
    for (const auto& o : gateway.gossip->tick(gateway.now)) ++sent, bytes += o.payload.size();
    gateway.now += milliseconds(200);
  }
  EXPECT_EQ(sent, 150u);
  EXPECT_LE(bytes, 150u * 218u);
  EXPECT_GT(gateway.gossip->statistics().dropped, 0u);
}

TEST(Gossip, SendsAChangeABoundedNumberOfTimes) {
  TestGateway gateway;
  gateway.gossip->onListed(3, 0, HostPhase::draining, 6, gateway.now);
  std::size_t messages = 0;
  for (int i = 0; i < 100; ++i) {
    messages += !gateway.sentUpdates().empty();
    gateway.now += milliseconds(200);
  }
  EXPECT_EQ(messages, 6u);  // 2 log2(6), rounded up
  gateway.gossip->onListed(3, 0, HostPhase::draining, 7, gateway.now);
  EXPECT_TRUE(gateway.sentUpdates().empty());  // unchanged
  gateway.gossip->onListed(3, 0, HostPhase::removed, 8, gateway.now);
  gateway.gossip->onHostErased(3);
  EXPECT_EQ(gateway.sentUpdates().at(0).kind,
            GossipUpdate::Kind::removed);  // still sent after the host is forgotten
}

TEST(Gossip, CountsMalformedMessages) {
  TestGateway gateway;
  gateway.gossip->onMessage(1, "noise", gateway.now);
  gateway.gossip->onMessage(0, bytes({unresponsive(1)}), gateway.now);  // from itself
  gateway.gossip->onMessage(9, bytes({unresponsive(1)}), gateway.now);  // from an unknown gateway
  EXPECT_EQ(gateway.gossip->statistics().malformed, 3u);
}

// Messages have ages instead of times.
TEST(Gossip, WorksWithClocksThatDiffer) {
  for (const Duration off : {Duration(minutes(5)), Duration(-minutes(1))}) {
    TestGateway sender([](GossipSettings&s) { s.ownNumber = 1; }), receiver;
    sender.now += off;
    sender.gossip->onUnresponsive(3, 0, sender.now);
    sender.now += milliseconds(500);
    const auto updates = sender.sentUpdates();
    ASSERT_EQ(updates.size(), 1u);
    EXPECT_EQ(updates[0].age, Duration(milliseconds(500)));
    receiver.receive(1, updates);
    receiver.receive(2, updates);
    EXPECT_TRUE(receiver.gossip->isUnresponsiveByQuorum(3, receiver.now));
    EXPECT_FALSE(receiver.gossip->isUnresponsiveByQuorum(3, receiver.now + seconds(3)));
  }
}

// In a network partition each half relies on its own observations.
TEST(Gossip, PartitionedHalvesDecideIndependently) {
  std::vector<std::unique_ptr<TestGateway>> all;
  for (GatewayNumber i = 0; i < 6; ++i)
    all.push_back(
        std::make_unique<TestGateway>([&](GossipSettings& s) { s.ownNumber = i, s.gatewayCount = 6; }));
  for (GatewayNumber i = 0; i < 3; ++i) all[i]->gossip->onUnresponsive(3, 0, all[i]->now);
  for (int round = 0; round < 5; ++round)
    for (GatewayNumber from = 0; from < 6; ++from) {
      if (from >= 3) all[from]->lastResponses[3] = all[from]->now;
      for (const auto& o : all[from]->gossip->tick(all[from]->now))
        if ((from < 3) == (o.recipient < 3))
          all[o.recipient]->gossip->onMessage(from, o.payload, all[o.recipient]->now);
      all[from]->now += milliseconds(200);
    }
  for (GatewayNumber i = 0; i < 6; ++i)
    EXPECT_EQ(all[i]->gossip->isUnresponsiveByQuorum(3, all[i]->now), i < 3) << i;
  // After the partition the observations of the others are older than the responses here.
  for (GatewayNumber from = 0; from < 3; ++from) all[5]->receive(from, {unresponsive(3, milliseconds(300))});
  EXPECT_FALSE(all[5]->gossip->isUnresponsiveByQuorum(3, all[5]->now));
}

// A reference that keeps all votes decides alike, for votes in any order, repeated and delayed.
TEST(Gossip, AnyOrderOfVotesDecidesAlike) {
  for (unsigned seed = 1; seed <= 2000; ++seed) {
    std::mt19937 random(seed);
    TestGateway gateway([](GossipSettings& s) { s.gatewayCount = 9, s.quorum = 3; });
    std::vector<std::pair<GatewayNumber, GossipUpdate>> votes;
    for (int i = 0; i < 8; ++i)
      votes.push_back({static_cast<GatewayNumber>(1 + random() % 5),
                       unresponsive(3, milliseconds(10) * (random() % 500))});
    if (random() % 3 == 0) gateway.lastResponses[3] = gateway.now - milliseconds(10) * (random() % 400);
    std::map<GatewayNumber, Time> youngest;
    for (const auto& [from, r] : votes) {
      const Time seen = gateway.now - r.age;
      if (r.age < gateway.settings.observationLifetime && seen > gateway.lastResponses[3]) {
        auto [it, fresh] = youngest.emplace(from, seen);
        it->second = std::max(it->second, seen);
      }
    }
    std::shuffle(votes.begin(), votes.end(), random);
    for (const auto& [from, r] : votes) {
      gateway.receive(from, {r});
      if (random() % 2) gateway.receive(from, {r});
    }
    if (gateway.lastResponses[3] == Time{}) gateway.lastResponses.erase(3);
    ASSERT_EQ(gateway.gossip->isUnresponsiveByQuorum(3, gateway.now), youngest.size() >= 3) << seed;
  }
}

}  // namespace
}  // namespace finchstile::membership
