// LoadProbing: probes, and recommendations of group trackers, where gateways outnumber hosts.
#include "policy/load_probing.hpp"

#include <cmath>
#include <random>
#include <set>

#include "policy/hashing.hpp"
#include "policy/peer_message.hpp"
#include "support/driver.hpp"

namespace finchstile::load_balancing::testing {
namespace {

Settings largeBankSettings(bool probes) {
  Settings s = makeSettings();
  s.gatewayCount = 500;
  s.gatewayIndex = 3;
  s.probingEnabled = probes;
  s.peerMessagesEnabled = !probes;
  return s;
}

std::vector<Action> of(const Driver& d, ActionKind kind) {
  std::vector<Action> found;
  for (const Action& a : d.all)
    if (a.kind == kind) found.push_back(a);
  return found;
}

void report(Driver& d, HostId host, double held, bool ok = true) {
  LoadReport load;
  load.inflight = held;
  d.balancer.onProbeResult(d.now, {host, ok, load});
  d.collect();
}

TEST(LoadProbing, SendsToLeastLoadedProbedHost) {
  Driver d(largeBankSettings(true), 20);
  d.request(0);
  const std::vector<Action> probes = of(d, ActionKind::probeHost);
  ASSERT_GE(probes.size(), 2u);
  EXPECT_TRUE(d.sent.empty()) << "it waits for what the hosts say";
  for (std::size_t i = 0; i < probes.size(); ++i) report(d, probes[i].host, i == 1 ? 1 : 2);
  ASSERT_EQ(d.sent.size(), 1u);
  EXPECT_EQ(d.lastSent().host, probes[1].host);
}

TEST(LoadProbing, SendsToIdleHostAtOnce) {
  Driver d(largeBankSettings(true), 20);
  d.request(0);
  const std::vector<Action> probes = of(d, ActionKind::probeHost);
  report(d, probes[0].host, 0);
  ASSERT_EQ(d.sent.size(), 1u);
  EXPECT_EQ(d.lastSent().host, probes[0].host);
  for (std::size_t i = 1; i < probes.size(); ++i) report(d, probes[i].host, 0);
  EXPECT_EQ(d.sent.size(), 1u) << "later reports change nothing";
}

TEST(LoadProbing, FallsBackToOrdinaryPickWithoutReports) {
  Driver d(largeBankSettings(true), 20);
  d.request(0);
  d.advance(milliseconds(50));
  EXPECT_EQ(d.sent.size(), 1u);
}

TEST(LoadProbing, InvalidReportsDoNoHarm) {
  for (double held : {std::nan(""), -5.0, HUGE_VAL}) {
    Driver d(largeBankSettings(true), 20);
    for (int i = 0; i < 30; ++i) {
      d.clearHistory();
      const RequestId id = d.request(0);
      for (const Action& a : of(d, ActionKind::probeHost)) report(d, a.host, held);
      d.advance(milliseconds(50));
      EXPECT_FALSE(d.refused(id));
      ASSERT_EQ(d.out.size(), 1u);
      d.serve(SentAttempt(d.out.front()));
    }
  }
}

TEST(LoadProbing, FailedProbeIsNoCandidate) {
  Driver d(largeBankSettings(true), 20);
  d.request(0);
  const std::vector<Action> probes = of(d, ActionKind::probeHost);
  for (std::size_t i = 1; i < probes.size(); ++i) report(d, probes[i].host, 0, false);
  report(d, probes[0].host, 2);
  ASSERT_EQ(d.sent.size(), 1u);
  EXPECT_EQ(d.lastSent().host, probes[0].host);
}

// Where every host is warming up, a further draw may find none.
TEST(LoadProbing, ProbesOnlyHostsThatWereDrawn) {
  Driver d(largeBankSettings(true), 20);
  std::vector<HostEntry> restarted;
  for (int i = 0; i < 20; ++i) {
    restarted.push_back(makeHost(i, "east", i % 2));
    restarted.back().startedAt = d.now;
  }
  d.balancer.onHostListUpdate(d.now, HostListUpdate::incremental, restarted);
  std::size_t probes = 0;
  for (int i = 0; i < 300; ++i) {
    d.clearHistory();
    d.request(0);
    for (const Action& a : of(d, ActionKind::probeHost)) {
      ++probes;
      ASSERT_NE(a.host, kNone);
    }
    d.advance(milliseconds(20));
    while (!d.out.empty()) d.serve(SentAttempt(d.out.front()));
  }
  EXPECT_GT(probes, 0U);
}

TEST(LoadProbing, IgnoresUnrequestedResults) {
  Driver d(largeBankSettings(true), 20);
  report(d, d.host(0), 0);
  report(d, kNone, 0);
  report(d, 4000, 0);
  EXPECT_TRUE(d.sent.empty());
  EXPECT_EQ(d.balancer.openRequests(), 0u);
}

// In an overload the lowest scores are refused, unsent, by what the look shows.
TEST(LoadProbing, CrowdedHostsShedLowScoresFirst) {
  Driver d(largeBankSettings(true), 20);
  int low = 0, high = 0;
  for (int i = 0; i < 300; ++i) {
    const std::uint32_t cls = i % 3 == 0 ? 0 : 1;
    d.clearHistory();
    const RequestId id = d.request(cls);
    for (const Action& a : of(d, ActionKind::probeHost)) report(d, a.host, 4);  // some cut, not all
    (cls == 0 ? high : low) += d.refused(id);
    d.advance(milliseconds(50));
    while (!d.out.empty()) d.settle(SentAttempt(d.out.front()), Outcome::served, true, milliseconds(300));
  }
  EXPECT_GT(low, 20);
  EXPECT_LT(high, low / 10 + 1);
}

TEST(LoadProbing, SmallBankDoesNotProbe) {
  Settings s = largeBankSettings(true);
  s.gatewayCount = 2;
  s.gatewayIndex = 0;
  Driver d(s, 20);
  d.request(0);
  EXPECT_EQ(d.count(ActionKind::probeHost), 0u);
  EXPECT_EQ(d.sent.size(), 1u);
}

TEST(LoadProbing, AnswersAtDeadlineDuringProbe) {
  Settings s = largeBankSettings(true);
  for (ClassSettings& c : s.classes) c.latencyObjective = c.clientTimeout = seconds(1);
  Driver d(s, 20);
  const RequestId id = d.request(0, milliseconds(210));
  for (int i = 0; i < 60; ++i) d.advance(milliseconds(5));
  EXPECT_TRUE(d.refused(id) || d.failed(id));
}

TEST(GroupTracker, ItsRecommendationIsFollowed) {
  Driver d(largeBankSettings(false), 20);
  const RequestId id = d.request(0);
  const std::vector<Action> requests = of(d, ActionKind::sendPeerMessage);
  ASSERT_EQ(requests.size(), 1u);
  peer::Message question;
  ASSERT_TRUE(peer::decode(requests[0].text, question));
  EXPECT_EQ(question.kind, peer::MessageKind::recommendationRequest);
  EXPECT_TRUE(d.sent.empty());

  Driver tracker(largeBankSettings(false), 20);  // any gateway can answer
  tracker.balancer.onPeerMessage(tracker.now, 3, requests[0].text);
  tracker.collect();
  const std::vector<Action> recommendations = of(tracker, ActionKind::sendPeerMessage);
  ASSERT_EQ(recommendations.size(), 1u);
  EXPECT_EQ(recommendations[0].attempt, 3u);
  d.balancer.onPeerMessage(d.now, requests[0].attempt, recommendations[0].text);
  d.collect();
  ASSERT_EQ(d.sent.size(), 1u);
  EXPECT_EQ(d.lastSent().request, id);
  d.balancer.onPeerMessage(d.now, requests[0].attempt, recommendations[0].text);  // repeated by the network
  d.collect();
  EXPECT_EQ(d.sent.size(), 1u);
  for (const Action& a : d.all) EXPECT_LE(a.text.size(), 256u);
}

TEST(GroupTracker, SpreadsItsRecommendations) {
  Driver asker(largeBankSettings(false), 20), tracker(largeBankSettings(false), 20);
  std::map<std::uint32_t, int> recommended;
  for (int i = 0; i < 20; ++i) {
    asker.clearHistory();
    tracker.clearHistory();
    asker.request(0);
    const std::vector<Action> requests = of(asker, ActionKind::sendPeerMessage);
    tracker.balancer.onPeerMessage(tracker.now, 3, requests.at(0).text);
    tracker.collect();
    peer::Message m;
    ASSERT_TRUE(peer::decode(of(tracker, ActionKind::sendPeerMessage).at(0).text, m));
    EXPECT_EQ(m.value, 0) << "an idle host is left";
    ++recommended[m.hostHash];
  }
  EXPECT_EQ(recommended.size(), 20u) << "each host once";
}

TEST(GroupTracker, SilentOneIsPassedOver) {
  Driver d(largeBankSettings(false), 20);
  d.request(0);
  const std::uint32_t tracker = of(d, ActionKind::sendPeerMessage).at(0).attempt;
  d.advance(milliseconds(60));
  ASSERT_EQ(d.sent.size(), 1u);
  d.clearHistory();
  d.request(0);
  EXPECT_NE(of(d, ActionKind::sendPeerMessage).at(0).attempt, tracker) << "a stand-in is asked instead";
}

TEST(GroupTracker, RecommendedDrainingHostGetsNothing) {
  Driver d(largeBankSettings(false), 20);
  for (int i = 0; i < 20; ++i) {
    d.clearHistory();
    d.request(0);
    const std::vector<Action> requests = of(d, ActionKind::sendPeerMessage);
    peer::Message m;
    ASSERT_TRUE(peer::decode(requests.at(0).text, m));
    HostEntry leaving = makeHost(i, "east", i % 2);
    const HostId id = d.balancer.findHost(leaving.address);
    leaving.phase = HostPhase::draining;
    d.balancer.onHostListUpdate(d.now, HostListUpdate::incremental, {leaving});
    m.kind = peer::MessageKind::recommendation;
    m.hostHash = static_cast<std::uint32_t>(hashText(leaving.address));
    d.balancer.onPeerMessage(d.now, requests[0].attempt, peer::encode(m));
    d.collect();
    EXPECT_EQ(d.sentTo(id), 0u);
    if (i < 19) EXPECT_EQ(d.sent.size(), 1u);
    while (!d.out.empty()) d.serve(SentAttempt(d.out.front()));
  }
}

TEST(GroupTracker, IgnoresNoise) {
  Driver d(largeBankSettings(false), 20);
  std::mt19937 engine(11);
  for (int i = 0; i < 5000; ++i) {
    std::string bytes(engine() % 20, '\0');
    for (char& c : bytes) c = static_cast<char>(engine());
    if (!bytes.empty() && engine() % 2) bytes[0] = static_cast<char>(0x10 + engine() % 6);
    d.balancer.onPeerMessage(d.now, engine() % 600, bytes);
  }
  d.collect();
  EXPECT_TRUE(d.sent.empty());
  EXPECT_EQ(d.balancer.openRequests(), 0u);
  d.warmUp(0, 3, milliseconds(60));
  EXPECT_EQ(d.sent.size(), 3u) << "and serves on";
}

TEST(GroupTracker, RecommendsDrawnWarmingHostOnlyWhileIdle) {
  Settings s = largeBankSettings(false);
  s.initialCapacityFraction = 1;  // drawn as often as any
  Driver tracker(s, 20);
  HostEntry cold = makeHost(7, "east", 1);
  cold.startedAt = tracker.now;
  tracker.balancer.onHostListUpdate(tracker.now, HostListUpdate::incremental, {cold});
  const auto hash = static_cast<std::uint32_t>(hashText(cold.address));
  std::vector<bool> recommended;
  for (int i = 0; i < 3; ++i) {
    tracker.clearHistory();
    tracker.balancer.onPeerMessage(tracker.now, 5,
                                   peer::encode({peer::MessageKind::recommendationRequest, hash, 99, {}, 0}));
    tracker.collect();
    peer::Message m;
    ASSERT_TRUE(peer::decode(of(tracker, ActionKind::sendPeerMessage).at(0).text, m));
    recommended.push_back(m.hostHash == hash);
    if (i == 1)
      tracker.balancer.onPeerMessage(
          tracker.now, 5, peer::encode({peer::MessageKind::attemptEnded, hash, 0, Outcome::served, 1}));
  }
  EXPECT_EQ(recommended, (std::vector<bool>{true, false, true}));
}

// --- The class alone

class LoadProbingTest : public ::testing::Test {
 protected:
  LoadProbingTest() {
    std::vector<HostEntry> entries;
    for (int i = 0; i < 20; ++i) entries.push_back(makeHost(i));
    hosts.apply(HostListUpdate::complete, entries, [](Host&) {});
    probing.assignGroups();
  }
  Host& host(int number) { return hosts[hosts.findByAddress(makeHost(number).address)]; }

  Settings settings = largeBankSettings(false);
  HostRegistry hosts{"east"};
  FleetShape shape{settings, hosts};
  TrafficStatistics traffic{settings, {}};
  SlowStart slowStart{settings, shape, traffic};
  ActionQueue actions;
  LoadProbing probing{settings, hosts, shape, traffic, slowStart, actions};
  RandomSource random{1};
};

TEST_F(LoadProbingTest, SilentTrackerHasAStandInForThreeSeconds) {
  const std::uint64_t group = host(0).probing.group;
  const std::uint32_t tracker = probing.trackerOf(group, seconds(1));
  probing.onTrackerSilent(group, seconds(1));
  EXPECT_NE(probing.trackerOf(group, seconds(1)), tracker);
  EXPECT_NE(probing.trackerOf(group, seconds(4) - Duration(1)), tracker);
  EXPECT_EQ(probing.trackerOf(group, seconds(4)), tracker);
}

TEST_F(LoadProbingTest, AssignedAttemptsExpireAfterTheLongestObjective) {
  const Recommendation first = probing.recommend(host(0).id, seconds(1), random);
  EXPECT_EQ(first.load, 0);
  EXPECT_EQ(hosts[first.host].probing.assignedUntil.size(), 1U);
  const Recommendation second = probing.recommend(host(0).id, seconds(1), random);
  EXPECT_NE(second.host, first.host);
  probing.onAttemptStarted(hosts[first.host], seconds(1) + milliseconds(400));
  EXPECT_EQ(hosts[first.host].probing.assignedUntil.size(), 1U) << "the first one must be over";
  probing.onAttemptEnded(hosts[first.host], seconds(1) + milliseconds(401));
  EXPECT_EQ(hosts[first.host].probing.assignedUntil.size(), 0U);
}

TEST_F(LoadProbingTest, CutoffGrowsWithTheLeastLoad) {
  ActiveRequest request;
  request.latencyObjective = milliseconds(400);
  LoadProbing::begin(request);
  LoadProbing::end(request);
  EXPECT_EQ(request.observedLoad, -1) << "no report came";
  EXPECT_EQ(probing.cutoff(request), 0);
  request.observedLoad = 2;  // three requests, each 0.15 of the objective
  EXPECT_NEAR(probing.cutoff(request), 0, 1e-9);
  request.observedLoad = 3;
  EXPECT_NEAR(probing.cutoff(request), 5.2734375, 1e-6);
  request.observedLoad = 5;
  EXPECT_EQ(probing.cutoff(request), 100);
}

}  // namespace
}  // namespace finchstile::load_balancing::testing
