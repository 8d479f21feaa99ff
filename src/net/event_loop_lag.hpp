// Tracks the recent lag of the event loop.
#pragma once

#include <chrono>

#include "net/clock.hpp"

namespace finchstile {

/// The lag of the event loop. Input that is read shortly after a lag may have waited in its socket for as
/// long.
class EventLoopLag {
 public:
  /// Records that a timer was handled `lateness` after it was due.
  void record(Time now, Duration lateness) {
    if (lateness <= kMinLag) return;
    lag_ = lateness;
    validUntil_ = now + kValidTime;
  }
  /// The lag that input read at `now` may have had; 0 if there was no lag lately.
  Duration at(Time now) const { return now < validUntil_ ? lag_ : Duration{}; }

 private:
  // Shorter lags are within the slack of every deadline. If they were subtracted from the time of every
  // request, the load balancer would treat first attempts as late.
  static constexpr Duration kMinLag = std::chrono::milliseconds(20);
  static constexpr Duration kValidTime = std::chrono::milliseconds(100);

  Duration lag_{};
  Time validUntil_{};
};

}  // namespace finchstile
