// Decides when discovery is polled again, from failed calls, moves to another discovery and silence. A change
// counts as known to a gateway 6 s after discovery could be reached, whatever became of the calls. The
// longest pause here, after a call of 2 s that failed and before an answer that takes 1.5 s, leaves half a
// second.
#pragma once

#include <algorithm>

#include "policy/duration_math.hpp"
#include "policy/random_source.hpp"

namespace finchstile::load_balancing {

class DiscoveryBackoff {
 public:
  // `settings` must outlive this.
  explicit DiscoveryBackoff(const Settings& settings) : settings_(settings) {}

  // A call failed. Draws once for the pause until the next one, or a fleet would poll together.
  void onUnavailable(Time now, RandomSource& random) {
    isPolling_ = false;
    Duration pause = std::min(kFirstPause * (1 << failures_), kMaxPause);
    failures_ = now < hurryUntil_ ? 0 : std::min(failures_ + 1, kMaxFailures);
    // After a move discovery rejects calls while it is full: they follow sooner the longer the wait was.
    if (now < hurryUntil_) pause = (hurryUntil_ - now) / kHurryFraction;
    if (settings_.maxDiscoverySilence > Duration{})
      pause = std::min(pause, settings_.maxDiscoverySilence / 3);
    nextPollAt_ = now + std::max(scaled(pause, random.unit()), kMinPause);
  }

  // The proxy polls another discovery from now on and has a call out.
  void onMoved(Time now) {
    hurryUntil_ = now + kHurrySpan;
    polledAt_ = now;
    isPolling_ = true;
    hasAnswered_ = false;
  }

  // Discovery sent a list.
  void onAnswer() {
    failures_ = 0;
    hasAnswered_ = true;
    hurryUntil_ = {};
  }

  // A list came from elsewhere and may be stale: discovery is polled at once.
  void onRestored(Time now) { nextPollAt_ = now; }

  // Whether a call is to go out now. Call `onPoll` when it has.
  bool isDue(Time now) const {
    // A call whose answer is lost would leave the gateway silent towards discovery for good.
    const bool isLost = !hasAnswered_ && settings_.maxDiscoverySilence > Duration{} &&
                        now - polledAt_ > settings_.maxDiscoverySilence / 2;
    return settings_.pollsDiscovery && (!isPolling_ || isLost) && now >= nextPollAt_;
  }
  void onPoll(Time now) {
    isPolling_ = true;
    hasAnswered_ = false;
    polledAt_ = now;
  }

 private:
  static constexpr Duration kFirstPause = std::chrono::milliseconds(500);  // doubled for each failure
  static constexpr Duration kMaxPause = std::chrono::seconds(2);
  static constexpr Duration kMinPause = std::chrono::milliseconds(50);
  static constexpr int kMaxFailures = 4;
  static constexpr Duration kHurrySpan = std::chrono::seconds(8);  // twice what a move may take
  static constexpr int kHurryFraction = 32;                        // of the rest of that span

  const Settings& settings_;
  bool isPolling_ = false;    // a call is out, and has not failed
  bool hasAnswered_ = false;  // and has brought a list
  Time polledAt_{};
  Time nextPollAt_{};
  Time hurryUntil_{};  // discovery has moved and has not sent a list since
  int failures_ = 0;
};

}  // namespace finchstile::load_balancing
