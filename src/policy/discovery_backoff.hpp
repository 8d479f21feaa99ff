// Decides when discovery is polled again, from failed calls, migrations to another discovery and silence. A
// gateway must know a change within 6 s of discovery being reachable. Worst case: a call that fails after 2
// s, a pause of kMaxPause (2 s), and a call that is answered after 1.5 s, 5.5 s in all.
#pragma once

#include <algorithm>

#include "policy/duration_math.hpp"
#include "policy/random_source.hpp"

namespace finchstile::load_balancing {

class DiscoveryBackoff {
 public:
  // `settings` must outlive this.
  explicit DiscoveryBackoff(const Settings& settings) : settings_(settings) {}

  // A call failed. Draws once for the pause until the next one, or all gateways would poll together.
  void onUnavailable(Time now, RandomSource& random) {
    isPolling_ = false;
    Duration pause = std::min(kFirstPause * (1 << failures_), kMaxPause);
    failures_ = now < migrationUntil_ ? 0 : std::min(failures_ + 1, kMaxFailures);
    // After a migration discovery rejects calls while it is full: they follow sooner the longer the wait was.
    if (now < migrationUntil_) pause = (migrationUntil_ - now) / kMigrationPauseDivisor;
    if (settings_.maxDiscoverySilence > Duration{})
      pause = std::min(pause, settings_.maxDiscoverySilence / 3);
    nextPollAt_ = now + std::max(scaled(pause, random.unit()), kMinPause);
  }

  // The proxy polls another discovery from now on and has a call out.
  void onMoved(Time now) {
    migrationUntil_ = now + kMigrationSpan;
    polledAt_ = now;
    isPolling_ = true;
    hasAnswered_ = false;
  }

  // Discovery sent a list.
  void onAnswer() {
    failures_ = 0;
    hasAnswered_ = true;
    migrationUntil_ = {};
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
  static constexpr Duration kMigrationSpan = std::chrono::seconds(8);  // twice what a migration may take
  static constexpr int kMigrationPauseDivisor = 32;  // a pause is the rest of that span, divided by this

  const Settings& settings_;
  bool isPolling_ = false;    // a call is out, and has not failed
  bool hasAnswered_ = false;  // and has brought a list
  Time polledAt_{};
  Time nextPollAt_{};
  Time migrationUntil_{};  // discovery has discoveryMoved and has not sent a list since
  int failures_ = 0;
};

}  // namespace finchstile::load_balancing
