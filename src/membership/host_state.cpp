#include "membership/host_state.hpp"

#include <cmath>
#include <limits>
#include <tuple>

namespace finchstile::membership {
namespace {

constexpr int kConfidenceHalfLives = 4;

// Orders NaN below all numbers, because the joins need a total order.
double orderedValue(double value) {
  return std::isnan(value) ? -std::numeric_limits<double>::infinity() : value;
}

template <class T>
std::optional<T> joinOptional(const std::optional<T>& a, const std::optional<T>& b) {
  if (!a) return b;
  if (!b) return a;
  return join(*a, *b);
}

}  // namespace

ListedPhase join(const ListedPhase& a, const ListedPhase& b) {
  if (a.version != b.version) return a.version > b.version ? a : b;
  return {worsePhase(a.phase, b.phase), a.version};
}

LoadObservation join(const LoadObservation& a, const LoadObservation& b) {
  const auto order = [](const LoadObservation& load) {
    return std::tuple(load.observedAt, orderedValue(load.report.inflight), orderedValue(load.report.queue),
                      -load.receivedAt);
  };
  return order(a) >= order(b) ? a : b;
}

PeerPhase join(const PeerPhase& a, const PeerPhase& b) {
  const auto order = [](const PeerPhase& peer) {
    return std::tuple(peer.version, phaseSeverity(peer.phase), -peer.observedAt);
  };
  return order(a) >= order(b) ? a : b;
}

HostState join(const HostState& a, const HostState& b) {
  if (a.incarnation != b.incarnation) return a.incarnation > b.incarnation ? a : b;
  HostState joined;
  joined.incarnation = a.incarnation;
  joined.listed = join(a.listed, b.listed);
  joined.peerPhase = joinOptional(a.peerPhase, b.peerPhase);
  joined.load = joinOptional(a.load, b.load);
  return joined;
}

double confidence(Duration age, Duration halfLife) {
  if (age <= Duration{}) return 1;
  if (halfLife <= Duration{} || age >= kConfidenceHalfLives * halfLife) return 0;
  return std::exp2(-toSeconds(age) / toSeconds(halfLife));
}

}  // namespace finchstile::membership
