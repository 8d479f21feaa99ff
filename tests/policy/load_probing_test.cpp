// Where gateways outnumber hosts: probes and peers before a send.
#include <cmath>
#include <random>
#include <set>

#include "policy/message.hpp"
#include "policy/state.hpp"
#include "support/driver.hpp"

namespace finchstile::load_balancing::testing {
namespace {

Settings sparseSettings(bool probes) {
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

TEST(Probe, TheLeastHeldOfTheProbedGetsTheRequest) {
  Driver d(sparseSettings(true), 20);
  d.request(0);
  const std::vector<Action> probes = of(d, ActionKind::probeHost);
  ASSERT_GE(probes.size(), 2u);
  EXPECT_TRUE(d.sent.empty()) << "it waits for what the hosts say";
  for (std::size_t i = 0; i < probes.size(); ++i) report(d, probes[i].host, i == 1 ? 1 : 2);
  ASSERT_EQ(d.sent.size(), 1u);
  EXPECT_EQ(d.lastSent().host, probes[1].host);
}

TEST(Probe, AnIdleHostIsTakenAtOnce) {
  Driver d(sparseSettings(true), 20);
  d.request(0);
  const std::vector<Action> probes = of(d, ActionKind::probeHost);
  report(d, probes[0].host, 0);
  ASSERT_EQ(d.sent.size(), 1u);
  EXPECT_EQ(d.lastSent().host, probes[0].host);
  for (std::size_t i = 1; i < probes.size(); ++i) report(d, probes[i].host, 0);
  EXPECT_EQ(d.sent.size(), 1u) << "later reports change nothing";
}

TEST(Probe, SilenceFallsBackToThePlainPick) {
  Driver d(sparseSettings(true), 20);
  d.request(0);
  d.advance(milliseconds(50));
  EXPECT_EQ(d.sent.size(), 1u);
}

TEST(Probe, ReportsWithoutSenseAreNoBarAndPoisonNothing) {
  for (double held : {std::nan(""), -5.0, HUGE_VAL}) {
    Driver d(sparseSettings(true), 20);
    for (int i = 0; i < 30; ++i) {
      d.forget();
      const RequestId id = d.request(0);
      for (const Action& a : of(d, ActionKind::probeHost)) report(d, a.host, held);
      d.advance(milliseconds(50));
      EXPECT_FALSE(d.refused(id));
      ASSERT_EQ(d.out.size(), 1u);
      d.serve(Sent(d.out.front()));
    }
  }
}

TEST(Probe, AFailedProbeIsNoCandidate) {
  Driver d(sparseSettings(true), 20);
  d.request(0);
  const std::vector<Action> probes = of(d, ActionKind::probeHost);
  for (std::size_t i = 1; i < probes.size(); ++i) report(d, probes[i].host, 0, false);
  report(d, probes[0].host, 2);
  ASSERT_EQ(d.sent.size(), 1u);
  EXPECT_EQ(d.lastSent().host, probes[0].host);
}

TEST(Probe, ResultsNobodyAskedForAreIgnored) {
  Driver d(sparseSettings(true), 20);
  report(d, d.host(0), 0);
  report(d, kNone, 0);
  report(d, 4000, 0);
  EXPECT_TRUE(d.sent.empty());
  EXPECT_EQ(d.balancer.openRequests(), 0u);
}

// In an overload the lowest scores are refused, unsent, by what the look shows.
TEST(Probe, CrowdedHostsShedLowScoresFirst) {
  Driver d(sparseSettings(true), 20);
  int low = 0, high = 0;
  for (int i = 0; i < 300; ++i) {
    const std::uint32_t cls = i % 3 == 0 ? 0 : 1;
    d.forget();
    const RequestId id = d.request(cls);
    for (const Action& a : of(d, ActionKind::probeHost)) report(d, a.host, 4);  // some cut, not all
    (cls == 0 ? high : low) += d.refused(id);
    d.advance(milliseconds(50));
    while (!d.out.empty()) d.settle(Sent(d.out.front()), Outcome::served, true, milliseconds(300));
  }
  EXPECT_GT(low, 20);
  EXPECT_LT(high, low / 10 + 1);
}

TEST(Probe, NoneWhereGatewaysAreFew) {
  Settings s = sparseSettings(true);
  s.gatewayCount = 2;
  s.gatewayIndex = 0;
  Driver d(s, 20);
  d.request(0);
  EXPECT_EQ(d.count(ActionKind::probeHost), 0u);
  EXPECT_EQ(d.sent.size(), 1u);
}

TEST(Probe, ADeadlineDuringALookIsStillAnswered) {
  Settings s = sparseSettings(true);
  for (ClassSettings& c : s.classes) c.latencyObjective = c.clientTimeout = seconds(1);
  Driver d(s, 20);
  const RequestId id = d.request(0, milliseconds(210));
  for (int i = 0; i < 60; ++i) d.advance(milliseconds(5));
  EXPECT_TRUE(d.refused(id) || d.failed(id));
}

// --- Peers ---

TEST(Peer, TheKeeperIsAskedAndItsAdviceTaken) {
  Driver d(sparseSettings(false), 20);
  const RequestId id = d.request(0);
  const std::vector<Action> asks = of(d, ActionKind::sendPeerMessage);
  ASSERT_EQ(asks.size(), 1u);
  peer::Message ask;
  ASSERT_TRUE(peer::decode(asks[0].text, ask));
  EXPECT_EQ(ask.kind, peer::Kind::ask);
  EXPECT_TRUE(d.sent.empty());

  Driver keeper(sparseSettings(false), 20);  // any gateway can answer
  keeper.balancer.onPeerMessage(keeper.now, 3, asks[0].text);
  keeper.collect();
  const std::vector<Action> advice = of(keeper, ActionKind::sendPeerMessage);
  ASSERT_EQ(advice.size(), 1u);
  EXPECT_EQ(advice[0].attempt, 3u);
  d.balancer.onPeerMessage(d.now, asks[0].attempt, advice[0].text);
  d.collect();
  ASSERT_EQ(d.sent.size(), 1u);
  EXPECT_EQ(d.lastSent().request, id);
  d.balancer.onPeerMessage(d.now, asks[0].attempt, advice[0].text);  // repeated by the network
  d.collect();
  EXPECT_EQ(d.sent.size(), 1u);
  for (const Action& a : d.all) EXPECT_LE(a.text.size(), 256u);
}

TEST(Peer, AKeeperSpreadsWhatIsAskedOfIt) {
  Driver asker(sparseSettings(false), 20), keeper(sparseSettings(false), 20);
  std::map<std::uint32_t, int> advised;
  for (int i = 0; i < 20; ++i) {
    asker.forget();
    keeper.forget();
    asker.request(0);
    const std::vector<Action> asks = of(asker, ActionKind::sendPeerMessage);
    keeper.balancer.onPeerMessage(keeper.now, 3, asks.at(0).text);
    keeper.collect();
    peer::Message m;
    ASSERT_TRUE(peer::decode(of(keeper, ActionKind::sendPeerMessage).at(0).text, m));
    EXPECT_EQ(m.sample, 0) << "an idle host is left";
    ++advised[m.host];
  }
  EXPECT_EQ(advised.size(), 20u) << "each host once";
}

TEST(Peer, ASilentKeeperCostsAWaitAndIsPassedOver) {
  Driver d(sparseSettings(false), 20);
  d.request(0);
  const std::uint32_t keeper = of(d, ActionKind::sendPeerMessage).at(0).attempt;
  d.advance(milliseconds(60));
  ASSERT_EQ(d.sent.size(), 1u);
  d.forget();
  d.request(0);
  EXPECT_NE(of(d, ActionKind::sendPeerMessage).at(0).attempt, keeper) << "a stand-in is asked";
}

TEST(Peer, WordOfPeersNeverSendsToADrainingHost) {
  Driver d(sparseSettings(false), 20);
  for (int i = 0; i < 20; ++i) {
    d.forget();
    d.request(0);
    const std::vector<Action> asks = of(d, ActionKind::sendPeerMessage);
    peer::Message m;
    ASSERT_TRUE(peer::decode(asks.at(0).text, m));
    HostEntry leaving = makeHost(i, "east", i % 2);
    const HostId id = d.balancer.findHost(leaving.address);
    leaving.phase = HostPhase::draining;
    d.balancer.onHostListUpdate(d.now, HostListUpdate::incremental, {leaving});
    m.kind = peer::Kind::advice;
    m.host = static_cast<std::uint32_t>(hashText(leaving.address));
    d.balancer.onPeerMessage(d.now, asks[0].attempt, peer::encode(m));
    d.collect();
    EXPECT_EQ(d.sentTo(id), 0u);
    if (i < 19) EXPECT_EQ(d.sent.size(), 1u);
    while (!d.out.empty()) d.serve(Sent(d.out.front()));
  }
}

TEST(Peer, NoiseIsIgnored) {
  Driver d(sparseSettings(false), 20);
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

TEST(Peer, MessagesSurviveTheTripAndNothingElseDecodes) {
  for (const peer::Kind kind : {peer::Kind::ask, peer::Kind::advice, peer::Kind::took, peer::Kind::done}) {
    const peer::Message sent = {kind, 0x89abcdef, 0x1122334455667788, Outcome::reset, 2.5};
    peer::Message got;
    const std::string bytes = peer::encode(sent);
    ASSERT_TRUE(peer::decode(bytes, got));
    EXPECT_EQ(got.kind, kind);
    EXPECT_EQ(got.host, sent.host);
    if (kind <= peer::Kind::advice) EXPECT_EQ(got.mark, sent.mark);
    if (kind == peer::Kind::done) EXPECT_EQ(got.outcome, Outcome::reset);
    if (kind == peer::Kind::done || kind == peer::Kind::advice) EXPECT_NEAR(got.sample, 2.5, 0.05);
    EXPECT_FALSE(peer::decode(bytes + "x", got));
    EXPECT_FALSE(peer::decode(std::string_view(bytes).substr(0, bytes.size() - 1), got));
  }
}

TEST(Peer, ADrawnColdHostIsAdvisedOnlyWhileIdle) {
  Settings s = sparseSettings(false);
  s.initialCapacityFraction = 1;  // drawn as often as any
  Driver keeper(s, 20);
  HostEntry cold = makeHost(7, "east", 1);
  cold.startedAt = keeper.now;
  keeper.balancer.onHostListUpdate(keeper.now, HostListUpdate::incremental, {cold});
  const auto hash = static_cast<std::uint32_t>(hashText(cold.address));
  std::vector<bool> advised;
  for (int i = 0; i < 3; ++i) {
    keeper.forget();
    keeper.balancer.onPeerMessage(keeper.now, 5, peer::encode({peer::Kind::ask, hash, 99, {}, 0}));
    keeper.collect();
    peer::Message m;
    ASSERT_TRUE(peer::decode(of(keeper, ActionKind::sendPeerMessage).at(0).text, m));
    advised.push_back(m.host == hash);
    if (i == 1)
      keeper.balancer.onPeerMessage(keeper.now, 5,
                                    peer::encode({peer::Kind::done, hash, 0, Outcome::served, 1}));
  }
  EXPECT_EQ(advised, (std::vector<bool>{true, false, true}));
}

}  // namespace
}  // namespace finchstile::load_balancing::testing
