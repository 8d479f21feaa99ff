#include "trace/budget.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

#include "base/splitmix64.hpp"

namespace finchstile::trace {

bool chosen(std::string_view id, double share) {
  if (share >= 1) return true;
  std::uint64_t hash = 0xcbf29ce484222325ULL;  // FNV-1a, and a mix of its bits: the same on any machine
  for (const unsigned char c : id) hash = (hash ^ c) * 0x100000001b3ULL;
  return static_cast<double>(SplitMix64(hash)() >> 11) * 0x1.0p-53 < share;
}

bool Budget::take(load_balancing::Time now) {
  if (now > at_) {
    tokens_ = std::min(rate_, tokens_ + rate_ * std::chrono::duration<double>(now - at_).count());
    at_ = now;
  }
  if (tokens_ < 1) return ++dropped_, false;
  tokens_ -= 1;
  return true;
}

std::uint64_t Budget::takeDropped() { return std::exchange(dropped_, 0); }

}  // namespace finchstile::trace
