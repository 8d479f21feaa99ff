// Conversion and scaling of durations.
#pragma once

#include "finchstile/load_balancer.hpp"

namespace finchstile::load_balancing {

inline double toSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

inline Duration scaled(Duration duration, double factor) {
  return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

}  // namespace finchstile::load_balancing
