// Token bucket that limits the log lines of one hook to a burst and a steady rate, and counts the omitted
// lines. No I/O; the time is passed in.
#pragma once

#include <cstdint>
#include <optional>

#include "finchstile/load_balancer.hpp"

namespace finchstile::hook {

class LineLimiter {
 public:
  static constexpr double kMaxBurstLines = 5;
  static constexpr double kLinesPerSecond = 1;

  // If a line may be written now, returns the number of lines omitted since the previous one. Otherwise
  // counts this line as omitted and returns none.
  std::optional<std::uint64_t> admit(load_balancing::Time now);

  // Makes the next admit() succeed, regardless of the rate.
  void guaranteeNext();

 private:
  double tokens_ = kMaxBurstLines;
  load_balancing::Time refilledAt_{};
  std::uint64_t omitted_ = 0;
};

}  // namespace finchstile::hook
