// Limits the log lines of one hook to a burst and a steady rate, and counts the omitted lines. A token
// bucket. No I/O; the time is passed in.
#pragma once

#include <cstdint>
#include <optional>

#include "finchstile/load_balancer.hpp"

namespace finchstile::hook {

class LineLimiter {
 public:
  static constexpr double kMaxBurstLines = 5;
  static constexpr double kLinesPerSecond = 1;

  // Whether a line may be written now: the number of lines that were omitted before it. None if it may not;
  // it is then counted as omitted.
  std::optional<std::uint64_t> admit(load_balancing::Time now);

  // Lets the next line through, whatever was written before.
  void guaranteeNext();

 private:
  double tokens_ = kMaxBurstLines;
  load_balancing::Time refilledAt_{};
  std::uint64_t omitted_ = 0;
};

}  // namespace finchstile::hook
