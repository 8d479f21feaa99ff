// How lateness the event loop has lately been.
#pragma once

#include <chrono>

#include "net/clock.hpp"

namespace finchstile {

/// What is read shortly after the loop was lateness may have waited in its socket as long.
class EventLoopLag {
 public:
  /// The loop came to a timer `lateness` after it was due.
  void record(Time now, Duration lateness) {
    if (lateness <= kMinLag) return;
    lag_ = lateness;
    validUntil_ = now + kValidTime;
  }
  Duration at(Time now) const { return now < validUntil_ ? lag_ : Duration{}; }

 private:
  // Shorter lags are within the slack of every deadline. If they were taken off the time of every request,
  // the load balancer would take first attempts for lateness ones.
  static constexpr Duration kMinLag = std::chrono::milliseconds(20);
  static constexpr Duration kValidTime = std::chrono::milliseconds(100);

  Duration lag_{};
  Time validUntil_{};
};

}  // namespace finchstile
