#include "policy/retry_policy.hpp"

#include <algorithm>

#include "policy/duration_math.hpp"
#include "policy/outlier_detector.hpp"

namespace finchstile::load_balancing {
namespace {

constexpr double kRetriesPerRequest = 0.3;  // tokens added per request
constexpr double kMaxTokens = 30;
constexpr double kReservedTokens = 25;  // withheld from requests of the lowest priority

// A pool that loses part of its attempts looks overloaded: lost attempts stay in flight until they time out,
// and a request that may be retried has no time left by then. So an attempt times out after half of the time
// left, if that is longer than the first of these, and after the second at the latest.
constexpr double kLossTimeoutLatencies = 2;  // in typical latencies
constexpr double kMaxAttemptLatencies = 3;

// Whether a repeat at `other` is harmless after an attempt that may have run in the given zone and cell.
bool isRepeatHarmlessOn(const ClassSettings& settings, const std::string& zone, std::int64_t cell,
                        const HostEntry& other) {
  if (settings.idempotency != Idempotency::idempotentWithKey)
    return settings.idempotency == Idempotency::idempotent;
  if (settings.deduplicationScope != DeduplicationScope::all && zone != other.zone) return false;
  return settings.deduplicationScope != DeduplicationScope::cell || cell == other.cell;
}

}  // namespace

RetryPolicy::RetryPolicy(const Settings& settings, const HostRegistry& hosts, const FleetShape& shape,
                         const TrafficStatistics& traffic)
    : settings_(settings), hosts_(hosts), shape_(shape), traffic_(traffic), tokens_(kMaxTokens) {}

bool RetryPolicy::mayRepeatOn(const ActiveRequest& request, const Host& host, Time now) const {
  const ClassSettings& settings = settingsOf(request);
  if (now > repeatDeadline(request)) return false;
  const std::optional<EarlierAttempt>& earlier = request.earlierAttempt;
  if (earlier && !isRepeatHarmlessOn(settings, earlier->zone, earlier->cell, host.entry)) return false;
  for (std::uint32_t i = 0; i < request.attemptCount; ++i) {
    const Attempt& attempt = request.attempts[i];
    const HostEntry& first = hosts_[attempt.host].entry;
    if (attempt.mayHaveRun && !isRepeatHarmlessOn(settings, first.zone, first.cell, host.entry)) return false;
  }
  return true;
}

bool RetryPolicy::mayReject(const ActiveRequest& request) const {
  const ClassSettings& settings = settingsOf(request);
  bool mayHaveRun = request.earlierAttempt.has_value();
  for (std::uint32_t i = 0; i < request.attemptCount; ++i) mayHaveRun |= request.attempts[i].mayHaveRun;
  return !mayHaveRun || settings.idempotency == Idempotency::idempotent ||
         (settings.idempotency == Idempotency::idempotentWithKey &&
          settings.deduplicationScope == DeduplicationScope::all && request.pendingAttempts == 0);
}

Duration RetryPolicy::attemptTimeout(const ActiveRequest& request, Time now) const {
  const Duration left = latestUsefulAnswer(request) - now;
  const Duration lost = lossTimeout(request);
  const bool leavesTimeForRetry = isLosingAttempts() && !request.isStream &&
                                  settingsOf(request).idempotency != Idempotency::nonIdempotent &&
                                  tokens_ >= 1;
  if (!leavesTimeForRetry || left / 2 <= lost) return left;
  return std::min(left / 2, scaled(lost, kMaxAttemptLatencies / kLossTimeoutLatencies));
}

void RetryPolicy::onArrival() { tokens_ = std::min(tokens_ + kRetriesPerRequest, kMaxTokens); }

bool RetryPolicy::mayRetry(const ActiveRequest& request, double highestPriorityWeight, Time now) const {
  // Under many rejections the retry budget runs out, so a part of it is reserved for requests of high
  // priority. In a small cluster a gateway has so much traffic that the reserve would last for only a tenth
  // of a second.
  const bool reserves = shape_.isLargeCluster() && highestPriorityWeight > 0;
  const double reserved =
      reserves ? kReservedTokens * (1 - request.priorityWeight / highestPriorityWeight) : 0;
  return latestUsefulAnswer(request) > now && tokens_ >= 1 + reserved;
}

void RetryPolicy::onResult(const ActiveRequest& request, Outcome outcome, Duration elapsed, double seconds) {
  const bool lost = outcome == Outcome::timeout && elapsed >= lossTimeout(request);
  lostFraction_ += kFiftySampleGain * ((lost ? 1.0 : 0.0) - lostFraction_);
  lostSeconds_ += kFiftySampleGain * ((lost ? seconds : 0.0) - lostSeconds_);
  attemptSeconds_ += kFiftySampleGain * (seconds - attemptSeconds_);
}

Duration RetryPolicy::lossTimeout(const ActiveRequest& request) const {
  const double typicalLatency = traffic_.classes()[request.classIndex].typicalLatency;
  return std::max(
      OutlierDetector::kMinSilence,
      scaled(std::chrono::seconds(1), kLossTimeoutLatencies * typicalLatency * request.relativeWork));
}

}  // namespace finchstile::load_balancing
