// Checks figures that were learned by another process.
#pragma once

#include <cmath>

namespace finchstile::load_balancing {

// `value` if it is finite and from `min` to `max`, else `fallback`.
inline double valueWithin(double value, double min, double max, double fallback) {
  return std::isfinite(value) && value >= min && value <= max ? value : fallback;
}

}  // namespace finchstile::load_balancing
