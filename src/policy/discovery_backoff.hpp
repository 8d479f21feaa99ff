// Schedules polls of discovery after failed polls, migrations to another discovery service and silence. A
// gateway must learn of a change within 6 s of discovery becoming reachable. Worst case: a poll that fails
// after 2 s, a pause of kMaxPause (2 s), and a poll that is answered after 1.5 s, 5.5 s in total.
#pragma once

#include <algorithm>

#include "policy/duration_math.hpp"
#include "policy/random_source.hpp"

namespace finchstile::load_balancing {

class DiscoveryBackoff {
 public:
  // `settings` must outlive this.
  explicit DiscoveryBackoff(const Settings& settings) : settings_(settings) {}

  // A poll failed. Draws one random number to jitter the pause until the next one, so that gateways do not
  // poll in lockstep.
  void onUnavailable(Time now, RandomSource& random) {
    isPolling_ = false;
    Duration pause = std::min(kFirstPause * (1 << failures_), kMaxPause);
    failures_ = now < migrationUntil_ ? 0 : std::min(failures_ + 1, kMaxFailures);
    // After a migration, discovery rejects polls while it is full. Pauses shorten with the time waited, so
    // that the gateways that have waited longest are served first.
    if (now < migrationUntil_) pause = (migrationUntil_ - now) / kMigrationPauseDivisor;
    if (settings_.maxDiscoverySilence > Duration{})
      pause = std::min(pause, settings_.maxDiscoverySilence / 3);
    nextPollAt_ = now + std::max(scaled(pause, random.unit()), kMinPause);
  }

  // The proxy now polls a different discovery service, and a poll is pending.
  void onMoved(Time now) {
    migrationUntil_ = now + kMigrationWindow;
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

  // A list arrived from another source and may be stale: discovery is polled immediately.
  void onRestored(Time now) { nextPollAt_ = now; }

  // Whether a poll is due now. The caller then polls and calls `onPoll`.
  bool isDue(Time now) const {
    // Without this check, a poll whose answer is lost would stop polling for good.
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
  static constexpr Duration kMigrationWindow = std::chrono::seconds(8);  // twice the longest migration
  static constexpr int kMigrationPauseDivisor = 32;  // pause: the remaining window divided by this

  const Settings& settings_;
  bool isPolling_ = false;    // a poll was sent and has not failed
  bool hasAnswered_ = false;  // the last poll was answered by a list
  Time polledAt_{};
  Time nextPollAt_{};
  Time migrationUntil_{};  // end of the migration window; zero after the first list
  int failures_ = 0;
};

}  // namespace finchstile::load_balancing
