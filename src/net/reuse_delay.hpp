// How long a connection to a host rests between a response and the next request, and when to open one more
// for that.
#pragma once

#include <algorithm>
#include <chrono>

#include "net/clock.hpp"

namespace finchstile {

/// HTTP/1.1 matches responses to requests by their order alone. If a host sends a response twice, the copy is
/// taken for the response to the next request on the connection, unless it arrives before that request is
/// sent. This class keeps the delay that copies need to show: the configured minimum, and for some time more
/// if copies were seen to arrive late. No I/O.
class ReuseDelay {
 public:
  explicit ReuseDelay(Duration minimum) : minimum_(minimum) {}
  /// 0 turns the delay off.
  void setMinimum(Duration minimum) { minimum_ = minimum; }

  /// Minimum time between a response and the next request on the same connection.
  Duration at(Time now) const {
    return now < extendedUntil_ && minimum_ > Duration{} ? std::max(extended_, minimum_) : minimum_;
  }

  /// Unsolicited bytes have arrived on a resting connection, `delay` after the last response on it. Bytes
  /// that are later than any delay could cover have other causes, such as an idle timeout of the host.
  void onUnsolicitedBytes(Time now, Duration delay) {
    if (minimum_ == Duration{} || delay > kMaxDelay) return;
    const Duration needed = std::min(kMargin * delay, kMaxDelay);
    if (needed <= minimum_) return;
    extended_ = std::max(at(now), needed);
    extendedUntil_ = now + kExtensionTime;
  }

 private:
  static constexpr Duration kMaxDelay = std::chrono::milliseconds(100);
  static constexpr int kMargin = 2;  // the next copy may be later than the latest one so far
  static constexpr Duration kExtensionTime = std::chrono::minutes(5);

  Duration minimum_;
  Duration extended_{};
  Time extendedUntil_{};
};

/// Tells when so many attempts to a host wait for resting connections that one more connection is worth its
/// cost. The share is what latency targets for 99 of 100 requests allow. No I/O.
class RestWaitCounter {
 public:
  /// Counts an attempt. Returns true if one more connection is to be opened.
  bool add(bool waits) {
    if (++attempts_ > kAttempts) {
      attempts_ = 1;
      waits_ = 0;
    }
    if (waits) ++waits_;
    if (waits_ < kMaxWaits) return false;
    attempts_ = waits_ = 0;
    return true;
  }

 private:
  static constexpr int kAttempts = 1000;
  static constexpr int kMaxWaits = 10;  // of kAttempts

  int attempts_ = 0, waits_ = 0;
};

}  // namespace finchstile
