// Joins of observations: order, repetition and delay do not affect the result.
#include "membership/host_state.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <random>
#include <string>
#include <tuple>
#include <vector>

#include "membership/host_state_fixtures.hpp"
#include "membership/host_state_table.hpp"

namespace finchstile::membership {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(Confidence, DecreasesWithAgeToZero) {
  double last = 1;
  for (int ms = 0; ms <= 3000; ms += 10) {
    const double current = confidence(milliseconds(ms), milliseconds(500));
    EXPECT_LE(current, last);
    EXPECT_GE(current, 0);
    last = current;
  }
  EXPECT_EQ(last, 0);
  EXPECT_EQ(confidence(milliseconds(-5), milliseconds(500)), 1);
  EXPECT_EQ(confidence(milliseconds(1), Duration{}), 0);
}

ListedPhase randomPhase(std::mt19937& random) { return {static_cast<HostPhase>(random() % 3), random() % 4}; }
LoadObservation randomLoad(std::mt19937& random) {
  LoadObservation generated =
      loadOf(static_cast<double>(random() % 3), seconds(random() % 4), seconds(random() % 4 + 1));
  if (random() % 3 == 0) generated.report.queue = std::nan("");
  if (random() % 3 == 0) generated.report.inflight = static_cast<double>(random() % 3);
  return generated;
}
HostState randomState(std::mt19937& random) {
  HostState state;
  state.incarnation = seconds(random() % 2);
  state.listed = randomPhase(random);
  if (random() % 2)
    state.peerPhase = PeerPhase{static_cast<HostPhase>(random() % 3), random() % 4, seconds(random() % 4)};
  if (random() % 2) state.load = randomLoad(random);
  return state;
}

std::string text(const HostState& state) {
  std::string out = std::to_string(state.incarnation.count()) + "/" +
                    std::to_string(static_cast<int>(state.listed.phase)) + "." +
                    std::to_string(state.listed.version);
  if (state.peerPhase)
    out += " peer " + std::to_string(static_cast<int>(state.peerPhase->phase)) + "." +
           std::to_string(state.peerPhase->version) + "." +
           std::to_string(state.peerPhase->observedAt.count());
  if (state.load)
    out += " load " + std::to_string(state.load->report.inflight) + "." +
           std::to_string(state.load->report.queue) + "." + std::to_string(state.load->observedAt.count()) +
           "." + std::to_string(state.load->receivedAt.count());
  return out;
}

TEST(HostStateJoin, IsCommutativeAssociativeAndIdempotent) {
  std::mt19937 random(11);
  for (int i = 0; i < 20'000; ++i) {
    const HostState a = randomState(random), b = randomState(random), c = randomState(random);
    ASSERT_EQ(text(join(a, b)), text(join(b, a)));
    ASSERT_EQ(text(join(join(a, b), c)), text(join(a, join(b, c))));
    ASSERT_EQ(text(join(a, a)), text(a));
    ASSERT_EQ(text(join(join(a, b), b)), text(join(a, b)));
  }
}

TEST(HostStateJoin, OrderAndRepetitionOfObservationsDoNotAffectTheState) {
  std::mt19937 random(12);
  for (int round = 0; round < 300; ++round) {
    std::vector<std::function<void(HostStateTable&)>> observations;
    for (int i = 0; i < 12; ++i) {
      const std::uint64_t version = random() % 5 + 1;
      const auto phase = static_cast<HostPhase>(random() % 3);
      const LoadObservation loadObservation = randomLoad(random);
      const PeerPhase peer{static_cast<HostPhase>(random() % 3), random() % 6, seconds(random() % 9)};
      switch (random() % 3) {
        case 0:
          observations.push_back(
              [=](HostStateTable& table) { table.onListed("a", seconds(1), phase, version, seconds(10)); });
          break;
        case 1:
          observations.push_back(
              [=](HostStateTable& table) { table.onLoadReport("a", seconds(1), loadObservation); });
          break;
        default:
          observations.push_back([=](HostStateTable& table) { table.onPeerPhase("a", seconds(1), peer); });
          break;
      }
    }
    const auto stateAfter = [&](bool twice) {
      HostStateTable table({});
      table.onListed("a", seconds(1), HostPhase::active, 0, seconds(10));
      for (const auto& apply : observations) {
        apply(table);
        if (twice) apply(table);
      }
      return text(*table.find("a"));
    };
    const std::string first = stateAfter(false);
    for (int i = 0; i < 5; ++i) {
      for (std::size_t k = observations.size(); k > 1; --k)
        std::swap(observations[k - 1], observations[random() % k]);
      ASSERT_EQ(stateAfter(i % 2 == 0), first);
    }
  }
}

// Compares with a reference that keeps all observations and searches them for the phase at each time. Only a
// newer list or a restart can end a drain.
TEST(HostStateJoin, TenThousandRandomHistoriesMatchTheReference) {
  struct Observation {
    enum class Kind { list, peer } kind;
    HostPhase phase;
    std::uint64_t version;
    Time observed;
  };
  const auto rankOf = [](HostPhase p) { return static_cast<int>(p); };
  for (unsigned seed = 1; seed <= 10'000; ++seed) {
    std::mt19937 random(seed);
    HostStateTable table({});
    table.onListed("a", seconds(1), HostPhase::active, 1, seconds(10));
    std::vector<Observation> known = {{Observation::Kind::list, HostPhase::active, 1, seconds(10)}};
    const std::size_t observationCount = 2 + random() % 10;
    std::vector<Observation> observations;
    for (std::size_t i = 0; i < observationCount; ++i)
      observations.push_back({random() % 2 ? Observation::Kind::list : Observation::Kind::peer,
                              static_cast<HostPhase>(random() % 3), 1 + random() % 6,
                              seconds(10 + random() % 20)});
    for (std::size_t i = 0; i < 3; ++i)
      observations.push_back(observations[random() % observationCount]);  // repeated
    std::shuffle(observations.begin(), observations.end(), random);
    for (const Observation& observation : observations) {
      known.push_back(observation);
      if (observation.kind == Observation::Kind::list)
        table.onListed("a", seconds(1), observation.phase, observation.version, seconds(30));
      else table.onPeerPhase("a", seconds(1), {observation.phase, observation.version, observation.observed});

      std::uint64_t version = 0;
      for (const Observation& earlier : known)
        if (earlier.kind == Observation::Kind::list) version = std::max(version, earlier.version);
      HostPhase listed = HostPhase::active;
      for (const Observation& earlier : known)
        if (earlier.kind == Observation::Kind::list && earlier.version == version &&
            rankOf(earlier.phase) > rankOf(listed))
          listed = earlier.phase;
      const Observation* peer = nullptr;
      for (const Observation& earlier : known) {
        if (earlier.kind != Observation::Kind::peer) continue;
        const auto key = [&](const Observation& candidate) {
          return std::tuple(candidate.version, rankOf(candidate.phase), -candidate.observed);
        };
        if (!peer || key(earlier) > key(*peer)) peer = &earlier;
      }
      const Time now = seconds(10 + random() % 30);
      HostPhase expected = listed;
      if (peer && peer->version > version && now - peer->observed < seconds(10) &&
          rankOf(peer->phase) > rankOf(expected))
        expected = peer->phase;
      ASSERT_EQ(table.phase("a", now), expected) << "seed " << seed;
      ASSERT_GE(rankOf(table.phase("a", now)), rankOf(listed)) << "seed " << seed;
    }
  }
}

}  // namespace
}  // namespace finchstile::membership
