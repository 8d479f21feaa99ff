// The only source of randomness of a load balancer. A seed gives the same sequence on every platform; the
// distributions of the standard library are not used, since they differ between implementations.
#pragma once

#include <cstddef>
#include <cstdint>
#include <random>

namespace finchstile::load_balancing {

class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed) : engine_(seed) {}

  // Uniform in [0, 1), in steps of 2^-53.
  double unit() { return static_cast<double>(engine_() >> 11) * 0x1.0p-53; }

  // Uniform in [0, count); 0 for a count of 0.
  std::size_t below(std::size_t count) {
    return static_cast<std::size_t>(unit() * static_cast<double>(count));
  }

 private:
  std::mt19937_64 engine_;
};

}  // namespace finchstile::load_balancing
