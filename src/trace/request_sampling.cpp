#include "trace/request_sampling.hpp"

#include <cstdint>

#include "base/splitmix64.hpp"

namespace finchstile::trace {
namespace {

constexpr std::uint64_t kFnvOffsetBasis = 0xcbf29ce484222325ULL;
constexpr std::uint64_t kFnvPrime = 0x100000001b3ULL;
constexpr double kTwoToMinus53 = 0x1.0p-53;  // a double has a 53-bit significand

// FNV-1a, since std::hash may differ between builds of gateways.
std::uint64_t hashOf(std::string_view id) {
  std::uint64_t hash = kFnvOffsetBasis;
  for (const unsigned char byte : id) hash = (hash ^ byte) * kFnvPrime;
  return hash;
}

}  // namespace

bool isSampled(std::string_view id, double fraction) {
  if (fraction >= 1) return true;
  const std::uint64_t mixed = SplitMix64(hashOf(id))();
  const double position = static_cast<double>(mixed >> 11) * kTwoToMinus53;  // in [0, 1)
  return position < fraction;
}

}  // namespace finchstile::trace
