// What all of src/membership speaks of.
#pragma once

#include "ridgeshift/ridgeshift.hpp"

namespace finchstile::membership {

using ridgeshift::Duration;
using ridgeshift::Phase;
using ridgeshift::Time;

// From what may be used to what has gone.
constexpr int rank(Phase p) { return p == Phase::in ? 0 : p == Phase::draining ? 1 : 2; }
constexpr Phase worse(Phase a, Phase b) { return rank(a) >= rank(b) ? a : b; }

inline double inSeconds(Duration d) { return std::chrono::duration<double>(d).count(); }

}  // namespace finchstile::membership
