// A token bucket that limits the lines written to the attempt log per second, so that a burst of requests
// does not make logging expensive, and counts the dropped lines. No I/O.
#pragma once

#include <cstdint>

#include "finchstile/load_balancer.hpp"

namespace finchstile::trace {

class LineRateLimiter {
 public:
  // `linesPerSecond`: at least 1; also the size of the largest burst.
  LineRateLimiter(double linesPerSecond, load_balancing::Time now)
      : linesPerSecond_(linesPerSecond), tokens_(linesPerSecond), refilledAt_(now) {}

  // Returns whether a line may be written now; if not, counts it as dropped.
  bool tryAcquire(load_balancing::Time now);

  // Counts lines that were dropped for another reason.
  void recordDropped(std::uint64_t lines) { dropped_ += lines; }

  // Returns the number of lines dropped since the last call, and resets it.
  std::uint64_t takeDropped();

 private:
  void refill(load_balancing::Time now);

  const double linesPerSecond_;
  double tokens_;
  load_balancing::Time refilledAt_;
  std::uint64_t dropped_ = 0;
};

}  // namespace finchstile::trace
