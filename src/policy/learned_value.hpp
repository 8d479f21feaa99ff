// Validation of statistics from another process.
#pragma once

#include <cmath>

namespace finchstile::load_balancing {

// `value` if it is finite and within [min, max], otherwise `fallback`.
inline double valueWithin(double value, double min, double max, double fallback) {
  return std::isfinite(value) && value >= min && value <= max ? value : fallback;
}

}  // namespace finchstile::load_balancing
