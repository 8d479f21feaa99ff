// Decides whether a request may be sent again, to which hosts, until when, and how long each attempt may
// take. Inputs are the request's attempts so far, the idempotency of its class, the retry budget and the
// recent fraction of lost attempts.
//
// The rule on repeats: an attempt that may have run forbids another one unless the class is idempotent, or
// has an idempotency key and the other host drops repeats together with the first one, within the window.
#pragma once

#include <algorithm>
#include <cstddef>

#include "policy/active_request.hpp"
#include "policy/fleet_shape.hpp"
#include "policy/host_registry.hpp"
#include "policy/traffic_statistics.hpp"

namespace finchstile::load_balancing {

class RetryPolicy {
 public:
  // All must outlive this.
  RetryPolicy(const Settings& settings, const HostRegistry& hosts, const FleetShape& shape,
              const TrafficStatistics& traffic);

  // --- The rule on repeats

  // Whether the request may run on this host now, after all that may have run of it.
  bool mayRunOn(const ActiveRequest& request, const Host& host, Time now) const {
    const bool isFirst = request.attemptCount == 0 && !request.earlierAttempt;
    return isFirst || mayRepeatOn(request, host, now);
  }
  // No byte of another attempt may go out later: the first host may have forgotten the key.
  Time repeatDeadline(const ActiveRequest& request) const {
    const ClassSettings& settings = settingsOf(request);
    Time first = request.earlierAttempt ? request.earlierAttempt->sentAt : Time::max();
    for (std::uint32_t i = 0; i < request.attemptCount; ++i)
      if (request.attempts[i].mayHaveRun) first = std::min(first, request.attempts[i].sentAt);
    if (settings.idempotency != Idempotency::idempotentWithKey || first == Time::max()) return Time::max();
    return first + settings.deduplicationWindow - 2 * settings_.eventInterval;
  }
  // Whether a retry by the client is harmless: no attempt may have run, or the hosts tolerate a repeat
  // (idempotent, or one deduplication scope for all hosts and nothing pending). Otherwise the request fails.
  bool mayReject(const ActiveRequest& request) const;
  // An attempt that dies with its connection may have run. What may not run again anywhere is sent only on a
  // connection that has shown life; an idempotent request is sent again anyway and spared the wait.
  bool needsLiveConnection(const ActiveRequest& request) const {
    return settingsOf(request).idempotency != Idempotency::idempotent;
  }

  // --- Time

  // The latest time at which an answer still has value and still reaches the client.
  Time latestUsefulAnswer(const ActiveRequest& request) const {
    const Time end = request.deadline - 2 * settings_.eventInterval;
    return request.lateValueFraction > 0 ? end
                                         : std::min(end, request.objectiveAt - 2 * settings_.eventInterval);
  }
  // Whether there is time, and an attempt left, to send the request.
  bool maySend(const ActiveRequest& request, Time now) const {
    const std::size_t maxAttempts =
        std::min<std::size_t>(request.isSingleAttempt ? 1 : settings_.maxAttempts, kMaxAttemptsPerRequest);
    return latestUsefulAnswer(request) > now && request.attemptCount < maxAttempts;
  }
  // How long an attempt that goes out now may take.
  Duration attemptTimeout(const ActiveRequest& request, Time now) const;

  // --- The retry budget. Tokens are retries.

  void onArrival();
  bool mayRetry(const ActiveRequest& request, double highestPriorityWeight, Time now) const;
  void onRetry() { tokens_ -= 1; }

  // --- Lost attempts

  // An attempt ended after `seconds`; not for streams.
  void onResult(const ActiveRequest& request, Outcome outcome, Duration elapsed, double seconds);
  // Many attempts are lost, as far as can be told: they got no answer in a time that is long for their class.
  bool isLosingAttempts() const { return lostFraction_ > kLostAttemptFraction; }
  // Time that lost attempts are in flight, as a fraction of that of all.
  double lostTimeFraction() const { return lostSeconds_ / attemptSeconds_; }

 private:
  const ClassSettings& settingsOf(const ActiveRequest& request) const {
    return traffic_.classes()[request.classIndex].settings;
  }
  bool mayRepeatOn(const ActiveRequest& request, const Host& host, Time now) const;
  Duration lossTimeout(const ActiveRequest& request) const;

  // Attempts are abandoned early only once this fraction of recent attempts got no answer: where answers are
  // late and not lost, what is abandoned has cost work.
  static constexpr double kLostAttemptFraction = 0.1;

  const Settings& settings_;
  const HostRegistry& hosts_;
  const FleetShape& shape_;
  const TrafficStatistics& traffic_;
  double tokens_;
  double lostFraction_ = 0;    // of the last fifty attempts
  double lostSeconds_ = 0;     // mean over the last fifty attempts; 0 for those not lost
  double attemptSeconds_ = 0;  // mean over the last fifty attempts
};

}  // namespace finchstile::load_balancing
