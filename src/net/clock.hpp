// The gateway's clock: steady, and tied to Unix time once, at the start.
#pragma once

#include <chrono>

#include "finchstile/load_balancer.hpp"

namespace finchstile {

using load_balancing::Duration;
using load_balancing::Time;

class Clock {
 public:
  Time now() const { return kOrigin + (std::chrono::steady_clock::now() - started_); }

  std::chrono::steady_clock::time_point steady(Time t) const { return started_ + (t - kOrigin); }

  /// Unix time at `t`, by the calendar as it stood at the start.
  std::chrono::nanoseconds unixAt(Time t) const { return unixStarted_ + (t - kOrigin); }

  /// The time at a moment of Unix time. 0 stands for long ago, and so does what lies before this clock's
  /// zero. Ties to the start and not to the present calendar: else the start of one process would differ by
  /// microseconds from list to list, and the load balancer would take every host for restarted.
  Time fromUnix(std::chrono::milliseconds since) const {
    if (since.count() <= 0) return Time{};
    const auto ago = unixStarted_ - since;
    return ago < kOrigin ? kOrigin - ago : Time{};
  }

 private:
  static constexpr Time kOrigin = std::chrono::hours(24);  // so that starts before our own lie above zero

  std::chrono::steady_clock::time_point started_ = std::chrono::steady_clock::now();
  std::chrono::milliseconds unixStarted_ = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
};

}  // namespace finchstile
