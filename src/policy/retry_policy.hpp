// Retry policy: whether a request may be sent again, to which hosts, until when, and the timeout of each
// attempt. Inputs are the previous attempts of the request, the idempotency of its class, the retry budget
// and the recent fraction of lost attempts.
//
// The rule on repeats: after an attempt that may have run, another one is allowed only if the class is
// idempotent, or if it has an idempotency key and the other host deduplicates together with the first one,
// within the deduplication window.
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

  // Whether the rule allows an attempt at this host now, given the previous attempts that may have run.
  bool mayRunOn(const ActiveRequest& request, const Host& host, Time now) const {
    const bool isFirst = request.attemptCount == 0 && !request.earlierAttempt;
    return isFirst || mayRepeatOn(request, host, now);
  }
  // No byte of another attempt may be sent after this time: the first host may have dropped the key by then.
  Time repeatDeadline(const ActiveRequest& request) const {
    const ClassSettings& settings = settingsOf(request);
    Time first = request.earlierAttempt ? request.earlierAttempt->sentAt : Time::max();
    for (std::uint32_t i = 0; i < request.attemptCount; ++i)
      if (request.attempts[i].mayHaveRun) first = std::min(first, request.attempts[i].sentAt);
    if (settings.idempotency != Idempotency::idempotentWithKey || first == Time::max()) return Time::max();
    return first + settings.deduplicationWindow - 2 * settings_.eventInterval;
  }
  // Whether a retry by the client is harmless: no attempt may have run, or the hosts tolerate a repeat (the
  // class is idempotent, or all hosts deduplicate together and no attempt is pending). Otherwise the request
  // fails.
  bool mayReject(const ActiveRequest& request) const;
  // Whether an attempt may be sent only on a connection verified to be alive, since an attempt whose
  // connection breaks may have run. Idempotent requests can be sent again anyway and avoid the delay.
  bool needsVerifiedConnection(const ActiveRequest& request) const {
    return settingsOf(request).idempotency != Idempotency::idempotent;
  }

  // --- Time

  // The latest time at which an answer still has value and can reach the client.
  Time latestUsefulAnswer(const ActiveRequest& request) const {
    const Time end = request.deadline - 2 * settings_.eventInterval;
    return request.lateValueFraction > 0 ? end
                                         : std::min(end, request.objectiveAt - 2 * settings_.eventInterval);
  }
  // Whether there is time for an attempt, and the limit on attempts allows one.
  bool maySend(const ActiveRequest& request, Time now) const {
    const std::size_t maxAttempts =
        std::min<std::size_t>(request.isSingleAttempt ? 1 : settings_.maxAttempts, kMaxAttemptsPerRequest);
    return latestUsefulAnswer(request) > now && request.attemptCount < maxAttempts;
  }
  // Timeout of an attempt that is sent now.
  Duration attemptTimeout(const ActiveRequest& request, Time now) const;

  // --- The retry budget: a token bucket, one token per retry

  void onArrival();
  bool mayRetry(const ActiveRequest& request, double highestPriorityWeight, Time now) const;
  void onRetry() { tokens_ -= 1; }

  // --- Lost attempts

  // An attempt ended after `seconds`. Not called for streams.
  void onResult(const ActiveRequest& request, Outcome outcome, Duration elapsed, double seconds);
  // Whether many recent attempts were lost, that is, got no answer within a time that is long for their
  // class.
  bool isLosingAttempts() const { return lostFraction_ > kLostAttemptFraction; }
  // Time in flight of lost attempts, as a fraction of that of all attempts.
  double lostTimeFraction() const { return lostSeconds_ / attemptSeconds_; }

 private:
  const ClassSettings& settingsOf(const ActiveRequest& request) const {
    return traffic_.classes()[request.classIndex].settings;
  }
  bool mayRepeatOn(const ActiveRequest& request, const Host& host, Time now) const;
  Duration lossTimeout(const ActiveRequest& request) const;

  // Attempts are abandoned early only if more than this fraction of recent attempts got no answer: if answers
  // are late rather than lost, abandoned attempts waste work of the hosts.
  static constexpr double kLostAttemptFraction = 0.1;

  const Settings& settings_;
  const HostRegistry& hosts_;
  const FleetShape& shape_;
  const TrafficStatistics& traffic_;
  double tokens_;
  double lostFraction_ = 0;    // over about the last fifty attempts
  double lostSeconds_ = 0;     // mean, counting 0 for attempts that were not lost
  double attemptSeconds_ = 0;  // mean over about the last fifty attempts
};

}  // namespace finchstile::load_balancing
