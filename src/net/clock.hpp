// The gateway's clock: monotonic, and related to Unix time once, at the start of the process.
#pragma once

#include <chrono>

#include "finchstile/load_balancer.hpp"

namespace finchstile {

using load_balancing::Duration;
using load_balancing::Time;

/// Converts between the gateway's time (load_balancing::Time), std::chrono::steady_clock and Unix time.
class Clock {
 public:
  Time now() const { return kOrigin + (std::chrono::steady_clock::now() - started_); }

  /// `t` as a time point of std::chrono::steady_clock, for timers.
  std::chrono::steady_clock::time_point steady(Time t) const { return started_ + (t - kOrigin); }

  /// Unix time at `t`, as computed from the system time at the start of the process.
  std::chrono::nanoseconds unixAt(Time t) const { return unixStarted_ + (t - kOrigin); }

  /// Converts Unix time. Values of 0 and times before this clock's zero become 0, which means long ago. The
  /// conversion uses the system time at the start of the process and not the present one: otherwise the start
  /// time of a host's process would differ by microseconds from list to list, and the load balancer would
  /// treat every host as restarted.
  Time fromUnix(std::chrono::milliseconds unixTime) const {
    if (unixTime.count() <= 0) return Time{};
    const auto ago = unixStarted_ - unixTime;
    return ago < kOrigin ? kOrigin - ago : Time{};
  }

 private:
  // Not 0, so that hosts' processes that started before this one have start times above 0.
  static constexpr Time kOrigin = std::chrono::hours(24);

  std::chrono::steady_clock::time_point started_ = std::chrono::steady_clock::now();
  std::chrono::milliseconds unixStarted_ = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
};

}  // namespace finchstile
