// Order of the host phases, and the time types used in src/membership.
#pragma once

#include "finchstile/load_balancer.hpp"

namespace finchstile::membership {

using load_balancing::Duration;
using load_balancing::HostPhase;
using load_balancing::Time;

// From 0 for an active host to 2 for a removed one.
constexpr int phaseSeverity(HostPhase phase) {
  switch (phase) {
    case HostPhase::active: return 0;
    case HostPhase::draining: return 1;
    default: return 2;
  }
}

constexpr HostPhase worsePhase(HostPhase a, HostPhase b) {
  return phaseSeverity(a) >= phaseSeverity(b) ? a : b;
}

inline double toSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

}  // namespace finchstile::membership
