// What all of src/membership speaks of.
#pragma once

#include "finchstile/load_balancer.hpp"

namespace finchstile::membership {

using load_balancing::Duration;
using load_balancing::HostPhase;
using load_balancing::Time;

// From what may be used to what has gone.
constexpr int rank(HostPhase p) { return p == HostPhase::active ? 0 : p == HostPhase::draining ? 1 : 2; }
constexpr HostPhase worse(HostPhase a, HostPhase b) { return rank(a) >= rank(b) ? a : b; }

inline double inSeconds(Duration d) { return std::chrono::duration<double>(d).count(); }

}  // namespace finchstile::membership
