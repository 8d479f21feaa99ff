// Gossip between gateways: quorum decisions, limits on faulty gateways, and the messages that are sent.
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
GossipUpdate phase(HostKey host, GossipUpdate::Kind updateKind, std::uint64_t version,
                   std::int64_t started = 0) {
  return {host, started, updateKind, version, {}};
}
std::string bytes(std::vector<GossipUpdate> batch) { return encodeGossipMessage(batch).value(); }

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
  void receive(GatewayNumber from, std::vector<GossipUpdate> batch) {
    gossip->onMessage(from, bytes(std::move(batch)), now);
  }
  std::vector<GossipUpdate> sentUpdates() {
    std::vector<GossipUpdate> lastBatch;
    for (const auto& message : gossip->tick(now)) {
      const auto batch = decodeGossipMessage(message.payload);
      EXPECT_TRUE(batch);
      lastBatch = *batch;  // the same for each recipient
    }
    return lastBatch;
  }
};

TEST(Gossip, SendsNothingWithoutChanges) {
  TestGateway gateway;
  for (int i = 0; i < 1000; ++i) {
    EXPECT_TRUE(gateway.gossip->tick(gateway.now).empty());
    gateway.now += milliseconds(200);
  }
}

TEST(Gossip, ObservationsOfOneGatewayDoNotMakeAHostUnresponsive) {
  TestGateway gateway;
  for (int i = 0; i < 50; ++i) {
    gateway.receive(1, {unresponsive(3)});
    gateway.now += milliseconds(100);
  }
  EXPECT_FALSE(gateway.gossip->isUnresponsiveByQuorum(3, gateway.now));
  EXPECT_TRUE(gateway.sentUpdates().empty());  // nor is the observation forwarded
}

TEST(Gossip, QuorumMakesAHostUnresponsiveAndIsForwardedWithItsAge) {
  TestGateway gateway;
  gateway.receive(1, {unresponsive(3, milliseconds(400))});
  gateway.receive(2, {unresponsive(3, milliseconds(900))});
  EXPECT_TRUE(gateway.gossip->isUnresponsiveByQuorum(3, gateway.now));
  EXPECT_EQ(gateway.gossip->takeUnresponsiveUntil().size(), 1u);
  gateway.now += milliseconds(100);
  const auto updates = gateway.sentUpdates();
  ASSERT_EQ(updates.size(), 1u);
  EXPECT_EQ(updates[0].age, Duration(seconds(1)));  // that of the second youngest observation
  gateway.now += milliseconds(2000);
  EXPECT_FALSE(gateway.gossip->isUnresponsiveByQuorum(3, gateway.now));  // 3 s after the observation
  EXPECT_EQ(gateway.gossip->statistics().unresponsiveByQuorum, 1u);
}

// Two gateways that repeat each other's observation must not restrict a host forever.
TEST(Gossip, RepeatedObservationsExpire) {
  std::vector<std::unique_ptr<TestGateway>> gateways;
  for (int i = 0; i < 5; ++i)
    gateways.push_back(std::make_unique<TestGateway>(
        [&](GossipSettings& s) { s.ownNumber = static_cast<GatewayNumber>(i); }));
  gateways[0]->gossip->onUnresponsive(3, 0, gateways[0]->now);
  gateways[1]->gossip->onUnresponsive(3, 0, gateways[1]->now);
  bool unresponsiveByQuorum = false;
  for (int i = 0; i < 40; ++i) {
    for (GatewayNumber from = 0; from < 5; ++from)
      for (const auto& message : gateways[from]->gossip->tick(gateways[from]->now))
        gateways[message.recipient]->gossip->onMessage(from, message.payload,
                                                       gateways[message.recipient]->now);
    unresponsiveByQuorum |= gateways[4]->gossip->isUnresponsiveByQuorum(3, gateways[4]->now);
    for (auto& member : gateways) member->now += milliseconds(200);
  }
  EXPECT_TRUE(unresponsiveByQuorum);
  for (auto& member : gateways) {
    EXPECT_FALSE(member->gossip->isUnresponsiveByQuorum(3, member->now));
    EXPECT_TRUE(member->gossip->tick(member->now).empty());
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

// The host restarts between the observations of two gateways.
TEST(Gossip, IgnoresObservationsOfAnEarlierProcess) {
  TestGateway gateway;
  gateway.receive(1, {unresponsive(3)});
  gateway.gossip->onListed(3, 1000, HostPhase::active, 6, gateway.now);
  gateway.receive(2, {unresponsive(3)});  // about the earlier process
  EXPECT_FALSE(gateway.gossip->isUnresponsiveByQuorum(3, gateway.now));
  gateway.receive(2, {unresponsive(3, {}, 1000)});
  EXPECT_FALSE(gateway.gossip->isUnresponsiveByQuorum(
      3, gateway.now));  // the vote of gateway 1 was about the earlier process
  gateway.receive(1, {unresponsive(3, {}, 1000)});
  EXPECT_TRUE(gateway.gossip->isUnresponsiveByQuorum(3, gateway.now));
  gateway.gossip->onUnresponsive(3, 0, gateway.now);  // an attempt at the earlier process
  EXPECT_EQ(gateway.sentUpdates().at(0).startedUnixMs, 1000);
}

TEST(Gossip, IgnoresUnlistedHosts) {
  TestGateway gateway;
  gateway.receive(1, {unresponsive(99), phase(99, GossipUpdate::Kind::removed, 9)});
  gateway.receive(2, {unresponsive(99)});
  EXPECT_FALSE(gateway.gossip->isUnresponsiveByQuorum(99, gateway.now));
  EXPECT_TRUE(gateway.gossip->takeAcceptedPhases().empty());
  EXPECT_EQ(gateway.gossip->hostCount(), 10u);
}

// A faulty gateway reports every host as unresponsive and as removed.
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
  // At most a quarter of the hosts (two of ten) for 10 s each, until 32 assertions have expired; then
  // one per minute.
  EXPECT_LE(accepted, 32u + 10u + 2u);
  EXPECT_FALSE(gateway.gossip->hasReputation(1));
  EXPECT_GT(gateway.gossip->statistics().overFraction, 0u);
  EXPECT_GT(gateway.gossip->statistics().withoutReputation, 0u);
  // The reputation of other gateways is unaffected.
  gateway.receive(2, {phase(4, GossipUpdate::Kind::draining, 9)});
  EXPECT_EQ(gateway.gossip->takeAcceptedPhases().size(), 1u);
}

TEST(Gossip, IgnoresAssertionsOfOlderLists) {
  TestGateway gateway;
  gateway.receive(1, {phase(3, GossipUpdate::Kind::draining, 5)});
  gateway.receive(1, {phase(3, GossipUpdate::Kind::removed, 4)});
  EXPECT_TRUE(gateway.gossip->takeAcceptedPhases().empty());
  gateway.receive(1, {phase(3, GossipUpdate::Kind::draining, 6)});
  const auto acceptedPhases = gateway.gossip->takeAcceptedPhases();
  ASSERT_EQ(acceptedPhases.size(), 1u);
  EXPECT_EQ(acceptedPhases[0].phase, HostPhase::draining);
  EXPECT_EQ(acceptedPhases[0].since, gateway.now);
}

TEST(Gossip, RepeatedAssertionKeepsTheTimeOfTheFirst) {
  TestGateway gateway;
  const Time first = gateway.now;
  for (int i = 0; i < 9; ++i) {
    gateway.receive(1, {phase(3, i < 5 ? GossipUpdate::Kind::draining : GossipUpdate::Kind::removed,
                              6 + static_cast<std::uint64_t>(i))});
    for (const auto& acceptedPhase : gateway.gossip->takeAcceptedPhases())
      EXPECT_EQ(acceptedPhase.since, first);
    gateway.now += seconds(1);
  }
  EXPECT_EQ(gateway.gossip->statistics().assertions, 1u);
}

TEST(Gossip, ConfirmedAssertionCostsNoReputation) {
  TestGateway gateway([](GossipSettings& s) { s.maxReputation = 2; });
  for (std::uint64_t v = 6; v < 40; v += 2) {  // the lists of the peer are ahead of the own ones
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

// During an overload all gateways may find all hosts unresponsive.
TEST(Gossip, QuorumRestrictsABoundedFractionOfHosts) {
  TestGateway gateway;
  for (HostKey h = 1; h <= 10; ++h)
    for (GatewayNumber from = 1; from < 5; ++from) gateway.receive(from, {unresponsive(h)});
  std::size_t unresponsiveHosts = 0;
  for (HostKey h = 1; h <= 10; ++h)
    unresponsiveHosts += gateway.gossip->isUnresponsiveByQuorum(h, gateway.now);
  EXPECT_EQ(unresponsiveHosts, 5u);
}

TEST(Gossip, SendsABoundedNumberOfMessagesAndBytes) {
  TestGateway gateway([](GossipSettings& s) { s.gatewayCount = 1000; });
  for (HostKey h = 100; h < 10'100; ++h) gateway.gossip->onListed(h, 0, HostPhase::active, 6, gateway.now);
  for (HostKey h = 100; h < 10'100; ++h)
    gateway.gossip->onListed(h, 0, HostPhase::removed, 7,
                             gateway.now);  // all are removed at the same time
  std::size_t sent = 0, sentBytes = 0;
  for (int i = 0; i < 50; ++i) {
    for (const auto& message : gateway.gossip->tick(gateway.now)) ++sent, sentBytes += message.payload.size();
    gateway.now += milliseconds(200);
  }
  EXPECT_EQ(sent, 150u);
  EXPECT_LE(sentBytes, 150u * 218u);
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
            GossipUpdate::Kind::removed);  // still sent after the state of the host was dropped
}

TEST(Gossip, CountsMalformedMessages) {
  TestGateway gateway;
  gateway.gossip->onMessage(1, "noise", gateway.now);
  gateway.gossip->onMessage(0, bytes({unresponsive(1)}), gateway.now);  // from the gateway itself
  gateway.gossip->onMessage(9, bytes({unresponsive(1)}), gateway.now);  // from an unknown gateway
  EXPECT_EQ(gateway.gossip->statistics().malformed, 3u);
}

// Messages carry ages instead of timestamps.
TEST(Gossip, WorksWithUnsynchronizedClocks) {
  for (const Duration clockOffset : {Duration(minutes(5)), Duration(-minutes(1))}) {
    TestGateway sender([](GossipSettings&s) { s.ownNumber = 1; }), receiver;
    sender.now += clockOffset;
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

// During a network partition each half decides by its own observations.
TEST(Gossip, PartitionedHalvesDecideIndependently) {
  std::vector<std::unique_ptr<TestGateway>> gateways;
  for (GatewayNumber i = 0; i < 6; ++i)
    gateways.push_back(
        std::make_unique<TestGateway>([&](GossipSettings& s) { s.ownNumber = i, s.gatewayCount = 6; }));
  for (GatewayNumber i = 0; i < 3; ++i) gateways[i]->gossip->onUnresponsive(3, 0, gateways[i]->now);
  for (int round = 0; round < 5; ++round)
    for (GatewayNumber from = 0; from < 6; ++from) {
      if (from >= 3) gateways[from]->lastResponses[3] = gateways[from]->now;
      for (const auto& message : gateways[from]->gossip->tick(gateways[from]->now))
        if ((from < 3) == (message.recipient < 3))
          gateways[message.recipient]->gossip->onMessage(from, message.payload,
                                                         gateways[message.recipient]->now);
      gateways[from]->now += milliseconds(200);
    }
  for (GatewayNumber i = 0; i < 6; ++i)
    EXPECT_EQ(gateways[i]->gossip->isUnresponsiveByQuorum(3, gateways[i]->now), i < 3) << i;
  // After the partition the observations of the other half are older than the responses in this half.
  for (GatewayNumber from = 0; from < 3; ++from)
    gateways[5]->receive(from, {unresponsive(3, milliseconds(300))});
  EXPECT_FALSE(gateways[5]->gossip->isUnresponsiveByQuorum(3, gateways[5]->now));
}

// Compares with a reference that keeps all votes, for votes that are reordered, repeated and
// delayed.
TEST(Gossip, DecisionDoesNotDependOnTheOrderOfVotes) {
  for (unsigned seed = 1; seed <= 2000; ++seed) {
    std::mt19937 random(seed);
    TestGateway gateway([](GossipSettings& s) { s.gatewayCount = 9, s.quorum = 3; });
    std::vector<std::pair<GatewayNumber, GossipUpdate>> votes;
    for (int i = 0; i < 8; ++i)
      votes.push_back({static_cast<GatewayNumber>(1 + random() % 5),
                       unresponsive(3, milliseconds(10) * (random() % 500))});
    if (random() % 3 == 0) gateway.lastResponses[3] = gateway.now - milliseconds(10) * (random() % 400);
    std::map<GatewayNumber, Time> latestVotes;
    for (const auto& [from, update] : votes) {
      const Time observedAt = gateway.now - update.age;
      if (update.age < gateway.settings.observationLifetime && observedAt > gateway.lastResponses[3]) {
        auto [it, isNew] = latestVotes.emplace(from, observedAt);
        it->second = std::max(it->second, observedAt);
      }
    }
    std::shuffle(votes.begin(), votes.end(), random);
    for (const auto& [from, update] : votes) {
      gateway.receive(from, {update});
      if (random() % 2) gateway.receive(from, {update});
    }
    if (gateway.lastResponses[3] == Time{}) gateway.lastResponses.erase(3);
    ASSERT_EQ(gateway.gossip->isUnresponsiveByQuorum(3, gateway.now), latestVotes.size() >= 3) << seed;
  }
}

}  // namespace
}  // namespace finchstile::membership
