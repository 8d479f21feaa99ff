// Warm start from the snapshots of running gateways: weights, conflicting records, and faults in
// transmission.
#include "membership/warm_start.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <random>
#include <set>

#include "membership/snapshot_fixtures.hpp"

namespace finchstile::membership {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

// A starting gateway. Host number k is named "h<k>" and was started long ago unless it is in `restarted`.
struct StartingGateway {
  WarmStartSettings settings;
  Time now = seconds(100);
  std::unique_ptr<WarmStart> start;
  std::map<GatewayNumber, std::uint64_t> nonces;
  std::map<HostKey, Duration> restarted;  // uptimes of restarted hosts
  std::set<HostKey> unlisted;

  explicit StartingGateway(GatewayNumber gateways = 3,
                           const std::function<void(WarmStartSettings&)>& change = {}) {
    settings.gatewayCount = gateways;
    if (change) change(settings);
    start = std::make_unique<WarmStart>(settings, 5, now);
    collect();
  }
  void collect() {
    for (const auto& message : start->takeOutgoing())
      nonces[message.recipient] = decodeSnapshotRequest(message.payload).value();
  }
  void receiveSnapshot(GatewayNumber from, const StateSnapshot& snapshot) {
    for (const std::string& chunk : encodeSnapshot(snapshot, nonces.at(from)))
      start->onMessage(from, chunk, now);
  }
  void advance(Duration duration) {
    for (const Time end = now + duration; now < end;) {
      now = std::min(end, now + milliseconds(10));
      if (const auto at = start->nextTimer(); at && *at <= now) start->onTimer(now);
      collect();
    }
  }
  std::optional<load_balancing::LearnedState> learned() const {
    NameResolver names;
    names.classes = {{11, "log-in"}, {12, "other"}};
    names.machineTypes = {{21, "std"}};
    names.hostName = [&](HostKey key) -> std::optional<std::string> {
      if (unlisted.count(key)) return std::nullopt;
      return "h" + std::to_string(key);
    };
    names.uptime = [&](HostKey key, std::int64_t started) -> std::optional<Duration> {
      const auto it = restarted.find(key);
      const bool same = (it == restarted.end()) == (started == 0);
      if (!same || unlisted.count(key)) return std::nullopt;
      return it == restarted.end() ? Duration{} : it->second;
    };
    return start->learnedState(names, now);
  }
};

TEST(WarmStart, MergesTenThousandHosts) {
  StateSnapshot peerSnapshot = snapshotOf(minutes(3), {});
  for (HostKey key = 1; key <= 10'000; ++key) peerSnapshot.hosts.push_back(hostRecord(key, 1.5));
  StartingGateway gateway;
  gateway.receiveSnapshot(1, peerSnapshot);
  gateway.receiveSnapshot(2, peerSnapshot);
  EXPECT_TRUE(gateway.start->isFinished());
  const auto state = gateway.learned();
  ASSERT_TRUE(state);
  EXPECT_EQ(state->hosts.size(), 10'000u);
  EXPECT_NEAR(state->hosts[5000].relativeLatency, 1.5, 1e-3);
}

TEST(WarmStart, RestoresTheSnapshotOfASinglePeer) {
  StartingGateway gateway;
  gateway.receiveSnapshot(1, snapshotOf(minutes(3), {hostRecord(1, 2), hostRecord(2, 0.5)}));
  const auto state = gateway.learned();
  ASSERT_TRUE(state);
  EXPECT_EQ(state->age, Duration(minutes(3)));
  EXPECT_NEAR(state->inTimeRate, 300, 0.01);
  ASSERT_EQ(state->classes.size(), 1u);
  EXPECT_EQ(state->classes[0].name, "log-in");
  EXPECT_NEAR(state->classes[0].typicalLatency, 0.06, 1e-6);
  EXPECT_EQ(state->machineTypes.at(0).name, "std");
  EXPECT_EQ(state->priorityLevels.size(), 2u);
  ASSERT_EQ(state->hosts.size(), 2u);
  EXPECT_EQ(state->hosts[0].address, "h1");
  EXPECT_NEAR(state->hosts[0].relativeLatency, 2, 1e-3);
}

TEST(WarmStart, SnapshotOfARecentlyStartedGatewayHasLittleWeight) {
  StartingGateway gateway;
  gateway.receiveSnapshot(1, snapshotOf(milliseconds(500), {hostRecord(1, 5)}));
  gateway.receiveSnapshot(2, snapshotOf(milliseconds(900), {hostRecord(1, 5)}));
  EXPECT_TRUE(gateway.start->isFinished());
  EXPECT_FALSE(gateway.learned());  // as after a restart of all gateways at the same time
  EXPECT_EQ(gateway.start->statistics().tooYoung, 2u);
  StartingGateway withYoungPeer;
  withYoungPeer.receiveSnapshot(1, snapshotOf(seconds(3), {hostRecord(1, 5)}));
  const auto partial = withYoungPeer.learned();
  ASSERT_TRUE(partial);
  EXPECT_GT(partial->hosts.at(0).relativeLatency, 1.2);
  EXPECT_LT(partial->hosts.at(0).relativeLatency, 3);  // moved towards the default of an unknown host
  StartingGateway withOlderPeer;
  withOlderPeer.receiveSnapshot(1, snapshotOf(seconds(2), {hostRecord(1, 5)}));
  withOlderPeer.receiveSnapshot(2, snapshotOf(minutes(5), {hostRecord(1, 1)}));
  EXPECT_LT(withOlderPeer.learned()->hosts.at(0).relativeLatency, 1.5);
}

// Both records keep their ages, and the younger one has more weight.
TEST(WarmStart, KeepsConflictingRecordsOfPeers) {
  StartingGateway gateway;
  gateway.receiveSnapshot(1, snapshotOf(minutes(3), {hostRecord(1, 4, seconds(15))}));
  gateway.receiveSnapshot(2, snapshotOf(minutes(3), {hostRecord(1, 1, milliseconds(100))}));
  gateway.now += milliseconds(500);
  const auto observations = gateway.start->observationsOf(1, gateway.now);
  ASSERT_EQ(observations.size(), 2u);
  EXPECT_EQ(observations[0].age, Duration(milliseconds(15'500)));
  EXPECT_EQ(observations[1].age, Duration(milliseconds(600)));
  EXPECT_LT(observations[0].weight, observations[1].weight);
  const double mergedLatency = gateway.learned()->hosts.at(0).relativeLatency;
  EXPECT_GT(mergedLatency, 1);
  EXPECT_LT(mergedLatency, 1.4);
}

TEST(WarmStart, OldRecordHasNoWeight) {
  StartingGateway gateway;
  gateway.receiveSnapshot(1, snapshotOf(minutes(3), {hostRecord(1, 4, seconds(30))}));
  EXPECT_EQ(gateway.learned()->hosts.at(0).relativeLatency, 1);
}

TEST(WarmStart, EjectsAHostIfPeersWithTheMajorityOfTheWeightEjectedIt) {
  HostRecord ejectedHost = hostRecord(1);
  ejectedHost.ejectedFor = seconds(3);
  ejectedHost.ejections = 2;
  ejectedHost.age = seconds(60);  // an ejected host gets no requests and sends no responses
  StartingGateway gateway;
  gateway.receiveSnapshot(1, snapshotOf(minutes(3), {ejectedHost}));
  gateway.now += seconds(1);
  EXPECT_EQ(gateway.learned()->hosts.at(0).ejectedFor, Duration(seconds(2)));
  StartingGateway withoutMajority;
  withoutMajority.receiveSnapshot(1, snapshotOf(minutes(3), {ejectedHost}));
  withoutMajority.receiveSnapshot(
      2, snapshotOf(minutes(3), {hostRecord(1)}));  // responds to this peer, so there is no majority
  EXPECT_EQ(withoutMajority.learned()->hosts.at(0).ejectedFor, Duration{});
  gateway.now += seconds(3);
  EXPECT_EQ(gateway.learned()->hosts.at(0).ejectedFor, Duration{});
}

TEST(WarmStart, IgnoresRecordsOfAnotherProcess) {
  StartingGateway gateway;
  gateway.restarted[1] = seconds(2);
  HostRecord sameProcess = hostRecord(2, 3), otherProcess = hostRecord(3, 3);
  otherProcess.startedUnixMs = 5;
  gateway.receiveSnapshot(1, snapshotOf(minutes(3), {hostRecord(1, 3), sameProcess, otherProcess}));
  const auto state = gateway.learned();
  ASSERT_EQ(state->hosts.size(), 1u);
  EXPECT_EQ(state->hosts[0].address, "h2");
}

TEST(WarmStart, IgnoresUnlistedHosts) {
  StartingGateway gateway;
  gateway.unlisted.insert(2);
  gateway.receiveSnapshot(1, snapshotOf(minutes(3), {hostRecord(1), hostRecord(2)}));
  EXPECT_EQ(gateway.learned()->hosts.size(), 1u);
}

// Datagrams are lost, repeated, reordered, truncated or forged.
TEST(WarmStart, TransmissionFaultsDoNotCorruptTheState) {
  StateSnapshot peerSnapshot = snapshotOf(minutes(3), {});
  for (HostKey key = 1; key <= 200; ++key) peerSnapshot.hosts.push_back(hostRecord(key, 2));
  for (unsigned seed = 1; seed <= 200; ++seed) {
    std::mt19937 random(seed);
    StartingGateway gateway;
    auto chunks = encodeSnapshot(peerSnapshot, gateway.nonces.at(1));
    for (int i = 0; i < 20; ++i) chunks.push_back(chunks[random() % chunks.size()]);
    std::shuffle(chunks.begin() + 1, chunks.end(), random);
    std::set<HostKey> received;
    for (std::size_t i = 0; i < chunks.size(); ++i) {
      if (i > 0 && random() % 5 == 0) continue;
      std::string chunk = chunks[i];
      const unsigned fault = i == 0 ? 9 : random() % 10;
      if (fault == 0) chunk.resize(random() % chunk.size());
      if (fault == 1) chunk[1 + random() % 8] ^= 1;  // another nonce
      const auto decoded = decodeChunk(chunk);
      const bool isExpected = decoded && decoded->nonce == gateway.nonces.at(1);
      gateway.start->onMessage(fault == 2 ? 0 : 1, chunk, gateway.now);
      if (isExpected && fault != 2)
        for (const HostRecord& h : decoded->records.hosts) received.insert(h.host);
    }
    const auto state = gateway.learned();
    ASSERT_TRUE(state);
    // A chunk that is truncated at the end of a record counts as received, so its other records are
    // lost.
    ASSERT_LE(state->hosts.size(), received.size());
    ASSERT_GE(state->hosts.size() + 25, received.size());
    for (const auto& h : state->hosts) ASSERT_NEAR(h.relativeLatency, 2, 1e-3);
  }
}

TEST(WarmStart, RequestsOtherPeersAfterATimeout) {
  StartingGateway gateway(10);
  EXPECT_EQ(gateway.nonces.size(), 2u);
  const auto first = gateway.nonces;
  gateway.advance(milliseconds(150));
  EXPECT_EQ(gateway.nonces.size(), 4u);
  gateway.advance(milliseconds(150));
  EXPECT_EQ(gateway.nonces.size(), 4u);  // the maximum number of requests
  EXPECT_TRUE(gateway.start->isFinished());
  EXPECT_FALSE(gateway.learned());
  EXPECT_FALSE(gateway.start->onMessage(
      first.begin()->first,
      encodeSnapshot(snapshotOf(minutes(3), {hostRecord(1)}), first.begin()->second).at(0), gateway.now));
}

TEST(WarmStart, FinishesAtTheDeadline) {
  StartingGateway gateway(10);
  StateSnapshot peerSnapshot = snapshotOf(minutes(3), {});
  for (HostKey key = 1; key <= 400; ++key) peerSnapshot.hosts.push_back(hostRecord(key));
  const GatewayNumber from = gateway.nonces.begin()->first;
  const auto chunks = encodeSnapshot(peerSnapshot, gateway.nonces.at(from));
  for (std::size_t i = 0; i < chunks.size() && !gateway.start->isFinished();
       ++i) {  // one every 50 ms, for 5 s in total
    gateway.start->onMessage(from, chunks[i], gateway.now);
    gateway.advance(milliseconds(50));
  }
  EXPECT_TRUE(gateway.start->isFinished());
  EXPECT_LE(gateway.now, Time(seconds(102) + milliseconds(50)));
  EXPECT_GT(gateway.learned()->hosts.size(), 100u);  // the chunks received so far count
}

TEST(WarmStart, FinishesAtOnceWithoutPeers) {
  StartingGateway gateway(1);
  EXPECT_TRUE(gateway.start->isFinished());
  EXPECT_FALSE(gateway.learned());
  EXPECT_FALSE(gateway.start->nextTimer());
}

TEST(WarmStart, OrderOfChunksDoesNotAffectTheState) {
  StateSnapshot longRunning = snapshotOf(minutes(3), {}), recentlyStarted = snapshotOf(seconds(5), {});
  for (HostKey key = 1; key <= 40; ++key) {
    longRunning.hosts.push_back(hostRecord(key, 1 + 0.1 * static_cast<double>(key), milliseconds(100) * key));
    recentlyStarted.hosts.push_back(hostRecord(key, 3, milliseconds(50) * key));
  }
  std::string first;
  for (unsigned seed = 1; seed <= 50; ++seed) {
    std::mt19937 random(seed);
    StartingGateway gateway;
    std::vector<std::pair<GatewayNumber, std::string>> all;
    for (const auto& chunk : encodeSnapshot(longRunning, gateway.nonces.at(1))) all.emplace_back(1, chunk);
    for (const auto& chunk : encodeSnapshot(recentlyStarted, gateway.nonces.at(2)))
      all.emplace_back(2, chunk);
    std::shuffle(all.begin(), all.end(), random);
    for (const auto& [from, chunk] : all) gateway.start->onMessage(from, chunk, gateway.now);
    std::string text;
    const auto state = gateway.learned();
    for (const auto& h : state->hosts) text += h.address + " " + std::to_string(h.relativeLatency) + "\n";
    if (seed == 1) first = text;
    ASSERT_EQ(text, first);
  }
}

}  // namespace
}  // namespace finchstile::membership
