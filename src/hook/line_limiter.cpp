#include "hook/line_limiter.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace finchstile::hook {

std::optional<std::uint64_t> LineLimiter::admit(load_balancing::Time now) {
  const double elapsedSeconds = std::chrono::duration<double>(now - refilledAt_).count();
  tokens_ = std::min(kMaxBurstLines, tokens_ + kLinesPerSecond * std::max(0.0, elapsedSeconds));
  refilledAt_ = now;
  if (tokens_ < 1) {
    ++omitted_;
    return std::nullopt;
  }
  tokens_ -= 1;
  return std::exchange(omitted_, 0);
}

void LineLimiter::guaranteeNext() { tokens_ = std::max(tokens_, 1.0); }

}  // namespace finchstile::hook
