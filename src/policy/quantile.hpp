// Quantiles of small samples.
#pragma once

#include <algorithm>
#include <cstddef>
#include <vector>

namespace finchstile::load_balancing {

// The value at fraction `position` (0 to 1) of the sorted sample, or `whenEmpty`. Reorders `values`.
inline double quantile(std::vector<double>& values, double position, double whenEmpty) {
  if (values.empty()) return whenEmpty;
  const auto nth =
      values.begin() + static_cast<std::ptrdiff_t>(position * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), nth, values.end());
  return *nth;
}

}  // namespace finchstile::load_balancing
