// What a starting gateway takes from the snapshots of running ones: weights, conflicts, and faults in
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

// A starting gateway: host k is named "h<k>" and has run for long unless it is in `restarted`.
struct StartingGateway {
  WarmStartSettings settings;
  Time now = seconds(100);
  std::unique_ptr<WarmStart> start;
  std::map<GatewayNumber, std::uint64_t> nonces;
  std::map<HostKey, Duration> restarted;  // uptimes
  std::set<HostKey> unlisted;

  explicit StartingGateway(GatewayNumber gateways = 3,
                           const std::function<void(WarmStartSettings&)>& change = {}) {
    settings.gatewayCount = gateways;
    if (change) change(settings);
    start = std::make_unique<WarmStart>(settings, 5, now);
    collect();
  }
  void collect() {
    for (const auto& o : start->takeOutgoing())
      nonces[o.recipient] = decodeSnapshotRequest(o.payload).value();
  }
  void receiveSnapshot(GatewayNumber from, const StateSnapshot& snapshot) {
    for (const std::string& c : encodeSnapshot(snapshot, nonces.at(from))) start->onMessage(from, c, now);
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
    names.hostName = [&](HostKey k) -> std::optional<std::string> {
      if (unlisted.count(k)) return std::nullopt;
      return "h" + std::to_string(k);
    };
    names.uptime = [&](HostKey k, std::int64_t started) -> std::optional<Duration> {
      const auto it = restarted.find(k);
      const bool same = (it == restarted.end()) == (started == 0);
      if (!same || unlisted.count(k)) return std::nullopt;
      return it == restarted.end() ? Duration{} : it->second;
    };
    return start->learnedState(names, now);
  }
};

TEST(WarmStart, MergesTenThousandHosts) {
  StateSnapshot s = snapshotOf(minutes(3), {});
  for (HostKey k = 1; k <= 10'000; ++k) s.hosts.push_back(hostRecord(k, 1.5));
  StartingGateway a;
  a.receiveSnapshot(1, s);
  a.receiveSnapshot(2, s);
  EXPECT_TRUE(a.start->isFinished());
  const auto l = a.learned();
  ASSERT_TRUE(l);
  EXPECT_EQ(l->hosts.size(), 10'000u);
  EXPECT_NEAR(l->hosts[5000].relativeLatency, 1.5, 1e-3);
}

TEST(WarmStart, RestoresTheSnapshotOfOnePeer) {
  StartingGateway a;
  a.receiveSnapshot(1, snapshotOf(minutes(3), {hostRecord(1, 2), hostRecord(2, 0.5)}));
  const auto l = a.learned();
  ASSERT_TRUE(l);
  EXPECT_EQ(l->age, Duration(minutes(3)));
  EXPECT_NEAR(l->inTimeRate, 300, 0.01);
  ASSERT_EQ(l->classes.size(), 1u);
  EXPECT_EQ(l->classes[0].name, "log-in");
  EXPECT_NEAR(l->classes[0].typicalLatency, 0.06, 1e-6);
  EXPECT_EQ(l->machineTypes.at(0).name, "std");
  EXPECT_EQ(l->priorityLevels.size(), 2u);
  ASSERT_EQ(l->hosts.size(), 2u);
  EXPECT_EQ(l->hosts[0].address, "h1");
  EXPECT_NEAR(l->hosts[0].relativeLatency, 2, 1e-3);
}

TEST(WarmStart, SnapshotOfAYoungGatewayHasLittleWeight) {
  StartingGateway a;
  a.receiveSnapshot(1, snapshotOf(milliseconds(500), {hostRecord(1, 5)}));
  a.receiveSnapshot(2, snapshotOf(milliseconds(900), {hostRecord(1, 5)}));
  EXPECT_TRUE(a.start->isFinished());
  EXPECT_FALSE(a.learned());  // all gateways restarted at the same time
  EXPECT_EQ(a.start->statistics().tooYoung, 2u);
  StartingGateway b;
  b.receiveSnapshot(1, snapshotOf(seconds(3), {hostRecord(1, 5)}));
  const auto part = b.learned();
  ASSERT_TRUE(part);
  EXPECT_GT(part->hosts.at(0).relativeLatency, 1.2);
  EXPECT_LT(part->hosts.at(0).relativeLatency, 3);  // drawn towards the value of an unknown host
  StartingGateway c;
  c.receiveSnapshot(1, snapshotOf(seconds(2), {hostRecord(1, 5)}));
  c.receiveSnapshot(2, snapshotOf(minutes(5), {hostRecord(1, 1)}));
  EXPECT_LT(c.learned()->hosts.at(0).relativeLatency, 1.5);
}

// Both records are kept with their ages, and the younger one has more weight.
TEST(WarmStart, KeepsConflictingRecordsOfPeers) {
  StartingGateway a;
  a.receiveSnapshot(1, snapshotOf(minutes(3), {hostRecord(1, 4, seconds(15))}));
  a.receiveSnapshot(2, snapshotOf(minutes(3), {hostRecord(1, 1, milliseconds(100))}));
  a.now += milliseconds(500);
  const auto observations = a.start->observationsOf(1, a.now);
  ASSERT_EQ(observations.size(), 2u);
  EXPECT_EQ(observations[0].age, Duration(milliseconds(15'500)));
  EXPECT_EQ(observations[1].age, Duration(milliseconds(600)));
  EXPECT_LT(observations[0].weight, observations[1].weight);
  const double pace = a.learned()->hosts.at(0).relativeLatency;
  EXPECT_GT(pace, 1);
  EXPECT_LT(pace, 1.4);
}

TEST(WarmStart, OldRecordHasNoWeight) {
  StartingGateway a;
  a.receiveSnapshot(1, snapshotOf(minutes(3), {hostRecord(1, 4, seconds(30))}));
  EXPECT_EQ(a.learned()->hosts.at(0).relativeLatency, 1);
}

TEST(WarmStart, EjectsHostsByTheMajorityOfWeights) {
  HostRecord out = hostRecord(1);
  out.ejectedFor = seconds(3);
  out.ejections = 2;
  out.age = seconds(60);  // it responds to nobody there
  StartingGateway a;
  a.receiveSnapshot(1, snapshotOf(minutes(3), {out}));
  a.now += seconds(1);
  EXPECT_EQ(a.learned()->hosts.at(0).ejectedFor, Duration(seconds(2)));
  StartingGateway b;
  b.receiveSnapshot(1, snapshotOf(minutes(3), {out}));
  b.receiveSnapshot(2, snapshotOf(minutes(3), {hostRecord(1)}));  // it responds here, so there is no majority
  EXPECT_EQ(b.learned()->hosts.at(0).ejectedFor, Duration{});
  a.now += seconds(3);
  EXPECT_EQ(a.learned()->hosts.at(0).ejectedFor, Duration{});
}

TEST(WarmStart, IgnoresRecordsOfAnotherProcess) {
  StartingGateway a;
  a.restarted[1] = seconds(2);
  HostRecord now = hostRecord(2, 3), anew = hostRecord(3, 3);
  anew.startedUnixMs = 5;
  a.receiveSnapshot(1, snapshotOf(minutes(3), {hostRecord(1, 3), now, anew}));
  const auto l = a.learned();
  ASSERT_EQ(l->hosts.size(), 1u);
  EXPECT_EQ(l->hosts[0].address, "h2");
}

TEST(WarmStart, IgnoresHostsThatTheListDoesNotName) {
  StartingGateway a;
  a.unlisted.insert(2);
  a.receiveSnapshot(1, snapshotOf(minutes(3), {hostRecord(1), hostRecord(2)}));
  EXPECT_EQ(a.learned()->hosts.size(), 1u);
}

// Datagrams are lost, repeated, reordered, truncated and forged.
TEST(WarmStart, FaultsInTransmissionDoNotCorruptTheState) {
  StateSnapshot s = snapshotOf(minutes(3), {});
  for (HostKey k = 1; k <= 200; ++k) s.hosts.push_back(hostRecord(k, 2));
  for (unsigned seed = 1; seed <= 200; ++seed) {
    std::mt19937 random(seed);
    StartingGateway a;
    auto chunks = encodeSnapshot(s, a.nonces.at(1));
    for (int i = 0; i < 20; ++i) chunks.push_back(chunks[random() % chunks.size()]);
    std::shuffle(chunks.begin() + 1, chunks.end(), random);
    std::set<HostKey> received;
    for (std::size_t i = 0; i < chunks.size(); ++i) {
      if (i > 0 && random() % 5 == 0) continue;
      std::string c = chunks[i];
      const unsigned what = i == 0 ? 9 : random() % 10;
      if (what == 0) c.resize(random() % c.size());
      if (what == 1) c[1 + random() % 8] ^= 1;  // another nonce
      const auto good = decodeChunk(c);
      const bool counts = good && good->nonce == a.nonces.at(1);
      a.start->onMessage(what == 2 ? 0 : 1, c, a.now);
      if (counts && what != 2)
        for (const HostRecord& h : good->records.hosts) received.insert(h.host);
    }
    const auto l = a.learned();
    ASSERT_TRUE(l);
    // A chunk that was truncated at the end of a record counts as received, so the rest of it is lost.
    ASSERT_LE(l->hosts.size(), received.size());
    ASSERT_GE(l->hosts.size() + 25, received.size());
    for (const auto& h : l->hosts) ASSERT_NEAR(h.relativeLatency, 2, 1e-3);
  }
}

TEST(WarmStart, RequestsOtherPeersAfterATimeout) {
  StartingGateway a(10);
  EXPECT_EQ(a.nonces.size(), 2u);
  const auto first = a.nonces;
  a.advance(milliseconds(150));
  EXPECT_EQ(a.nonces.size(), 4u);
  a.advance(milliseconds(150));
  EXPECT_EQ(a.nonces.size(), 4u);  // the maximum
  EXPECT_TRUE(a.start->isFinished());
  EXPECT_FALSE(a.learned());
  EXPECT_FALSE(a.start->onMessage(
      first.begin()->first,
      encodeSnapshot(snapshotOf(minutes(3), {hostRecord(1)}), first.begin()->second).at(0), a.now));
}

TEST(WarmStart, FinishesAtTheDeadline) {
  StartingGateway a(10);
  StateSnapshot s = snapshotOf(minutes(3), {});
  for (HostKey k = 1; k <= 400; ++k) s.hosts.push_back(hostRecord(k));
  const GatewayNumber from = a.nonces.begin()->first;
  const auto chunks = encodeSnapshot(s, a.nonces.at(from));
  for (std::size_t i = 0; i < chunks.size() && !a.start->isFinished(); ++i) {  // one per 50 ms, 5 s in all
    a.start->onMessage(from, chunks[i], a.now);
    a.advance(milliseconds(50));
  }
  EXPECT_TRUE(a.start->isFinished());
  EXPECT_LE(a.now, Time(seconds(102) + milliseconds(50)));
  EXPECT_GT(a.learned()->hosts.size(), 100u);  // the chunks received so far count
}

TEST(WarmStart, FinishesAtOnceWithoutPeers) {
  StartingGateway a(1);
  EXPECT_TRUE(a.start->isFinished());
  EXPECT_FALSE(a.learned());
  EXPECT_FALSE(a.start->nextTimer());
}

TEST(WarmStart, AnyOrderOfChunksLeadsToTheSameState) {
  StateSnapshot s1 = snapshotOf(minutes(3), {}), s2 = snapshotOf(seconds(5), {});
  for (HostKey k = 1; k <= 40; ++k) {
    s1.hosts.push_back(hostRecord(k, 1 + 0.1 * static_cast<double>(k), milliseconds(100) * k));
    s2.hosts.push_back(hostRecord(k, 3, milliseconds(50) * k));
  }
  std::string first;
  for (unsigned seed = 1; seed <= 50; ++seed) {
    std::mt19937 random(seed);
    StartingGateway a;
    std::vector<std::pair<GatewayNumber, std::string>> all;
    for (const auto& c : encodeSnapshot(s1, a.nonces.at(1))) all.emplace_back(1, c);
    for (const auto& c : encodeSnapshot(s2, a.nonces.at(2))) all.emplace_back(2, c);
    std::shuffle(all.begin(), all.end(), random);
    for (const auto& [from, c] : all) a.start->onMessage(from, c, a.now);
    std::string text;
    const auto l = a.learned();
    for (const auto& h : l->hosts) text += h.address + " " + std::to_string(h.relativeLatency) + "\n";
    if (seed == 1) first = text;
    ASSERT_EQ(text, first);
  }
}

}  // namespace
}  // namespace finchstile::membership
