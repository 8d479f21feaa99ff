#include "trace/line_rate_limiter.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

namespace finchstile::trace {

void LineRateLimiter::refill(load_balancing::Time now) {
  if (now <= refilledAt_) return;
  const double elapsedSeconds = std::chrono::duration<double>(now - refilledAt_).count();
  tokens_ = std::min(linesPerSecond_, tokens_ + linesPerSecond_ * elapsedSeconds);
  refilledAt_ = now;
}

bool LineRateLimiter::tryAcquire(load_balancing::Time now) {
  refill(now);
  if (tokens_ < 1) {
    ++dropped_;
    return false;
  }
  tokens_ -= 1;
  return true;
}

std::uint64_t LineRateLimiter::takeDropped() { return std::exchange(dropped_, 0); }

}  // namespace finchstile::trace
