#include "policy/overload_estimator.hpp"

#include <algorithm>
#include <cmath>
#include <string>

#include "policy/capacity_backoff.hpp"
#include "policy/learned_value.hpp"
#include "policy/outcomes.hpp"

namespace finchstile::load_balancing {
namespace {

constexpr double kArrivalGain = 0.05;  // per arrival: mean in-flight count over the last twenty
constexpr double kSweepGain = 0.5;     // per sweep: mean in-flight count
constexpr double kFirstPerHost = 6;    // in flight a host, by all gateways, before anything was measured
constexpr double kMinPerHost = 2;      // and the least that the learned limit is ever taken for
// Hosts that were overloaded stay slow for long, and rejections are the first sign of it. So many times the
// fraction of rejections is taken off the limit, up to a half; it is forgotten in half a second.
constexpr double kRejectionFactor = 4;
constexpr double kMaxRejectionReduction = 0.5;
// A limit that follows a sinking rate would idle slow hosts. What a host held without overload stays allowed,
// and is forgotten in some minutes (per sweep).
constexpr double kUnloadedConcurrencyFade = 0.001;
constexpr int kMinUnloadedSweeps = 15;   // since the start, before it is learned
constexpr double kUnloadedCutoff = 1;    // it is learned up to this cutoff
constexpr double kErrorThreshold = 0.1;  // fraction of failed attempts: a few per cent are everyday noise
constexpr double kMaxErrorFraction = 0.7;
// What a subset rejects is rejected whatever its priority, once retries are used up: lower there.
constexpr double kMaxErrorFractionOfSubset = 0.4;
constexpr double kRejectionError = 0.5;  // weight of a rejection where load probing chooses by reported load
constexpr double kPriorOutcomes = 10;    // attempts assumed good, so that a handful of samples proves nothing
constexpr int kCutoffLogStep = 20;

}  // namespace

double cubicCutoff(double overload) { return 100 * std::pow(std::clamp(overload, 0.0, 1.0), 3); }

OverloadEstimator::OverloadEstimator(const Settings& settings, const HostRegistry& hosts,
                                     const FleetShape& shape, const TrafficStatistics& traffic,
                                     const InFlightTracker& inFlight, const RetryPolicy& retries,
                                     ActionQueue& actions)
    : settings_(settings),
      hosts_(hosts),
      shape_(shape),
      traffic_(traffic),
      inFlight_(inFlight),
      retries_(retries),
      actions_(actions),
      recentOutcomes_(kPriorOutcomes) {}

void OverloadEstimator::onArrival(Time now) {
  if (!shape_.probesLoad()) smoothedInFlight_ += (currentInFlight() - smoothedInFlight_) * kArrivalGain;
  renewCutoff(now);
}

void OverloadEstimator::onOutcome(Host& host, Outcome outcome) {
  if (!saysSomethingOfHost(outcome)) return;
  const bool rejected = outcome == Outcome::rejectedForCapacity;
  recentOutcomes_ += 1;
  host.outcomes.attempts += 1;
  // A host that rejects on and on is in trouble by itself; the pool is not.
  if (rejected && host.capacity.consecutiveRejections <= CapacityBackoff::kMinRejections)
    recentRejections_ += 1;
  if (outcome != Outcome::served)
    host.outcomes.errors += rejected && shape_.probesLoad() ? kRejectionError : 1;
}

void OverloadEstimator::fadeOutcomes(HostRegistry& hosts, double gain) const {
  const double fade = 1 - gain;
  for (const HostId id : hosts.active()) {
    hosts[id].outcomes.attempts *= fade;
    hosts[id].outcomes.errors *= fade;
  }
}

void OverloadEstimator::sweep(Time now, double gain) {
  const std::size_t hostCount = hosts_.active().size();
  unloadedConcurrency_ *= 1 - kUnloadedConcurrencyFade;
  if (cutoff_ <= kUnloadedCutoff && now - traffic_.startedAt() > kMinUnloadedSweeps * kSweepInterval &&
      hostCount > 0)
    unloadedConcurrency_ = std::max(unloadedConcurrency_, smoothedInFlight_ / static_cast<double>(hostCount));
  recentRejections_ *= 1 - gain;
  recentOutcomes_ += gain * (kPriorOutcomes - recentOutcomes_);
  errorOverload_ = poolErrorOverload();
  // With few arrivals a burst would linger in the mean over arrivals.
  smoothedInFlight_ += (currentInFlight() - smoothedInFlight_) * traffic_.sweepGain(kSweepGain);
  renewCutoff(now);
  logCutoff(now);
}

double OverloadEstimator::inFlightLimit(Time now) const {
  const double hostCount = static_cast<double>(std::max<std::size_t>(hosts_.active().size(), 1));
  const double reduction =
      1 - std::min(kRejectionFactor * recentRejections_ / recentOutcomes_, kMaxRejectionReduction);
  // Before anything was measured (an own start in an overload) and after a lull, guesses per host stand in.
  const double leastPerHost = traffic_.isLearning(now)
                                  ? kFirstPerHost * reduction / settings_.gatewayCount
                                  : std::max(kMinPerHost / settings_.gatewayCount, unloadedConcurrency_);
  const double rate = std::max(traffic_.inTimeRate(), traffic_.initialInTimeRate(now));
  return std::max(rate * traffic_.meanLatencyObjective() * kMaxObjectiveFraction * reduction,
                  leastPerHost * hostCount + 2);
}

double OverloadEstimator::currentInFlight() const {
  double inFlight = 0;
  for (const HostId id : inFlight_.busyHosts()) {
    const Host& host = hosts_[id];
    // One bad host must not raise the cutoff of the pool.
    if (host.entry.phase == HostPhase::active && !host.health.isUnhealthy()) inFlight += host.inFlight.count;
  }
  // Nor must lost attempts, which nobody works on.
  return retries_.isLosingAttempts() ? inFlight * (1 - retries_.lostTimeFraction()) : inFlight;
}

double OverloadEstimator::poolErrorOverload() const {
  double attempts = kPriorOutcomes;
  double errors = 0;
  for (const HostId id : hosts_.active()) {
    const Host& host = hosts_[id];
    if (host.health.isUnhealthy()) continue;
    attempts += host.outcomes.attempts;
    errors += host.outcomes.errors;
  }
  const double maxFraction = shape_.usesSubsets() ? kMaxErrorFractionOfSubset : kMaxErrorFraction;
  return (errors / attempts - kErrorThreshold) / (maxFraction - kErrorThreshold);
}

void OverloadEstimator::renewCutoff(Time now) {
  const double inFlightOverload =
      (smoothedInFlight_ / inFlightLimit(now) - kInFlightThreshold) / (1 - kInFlightThreshold);
  cutoff_ = cubicCutoff(std::max(shape_.probesLoad() ? 0 : inFlightOverload, errorOverload_));
}

void OverloadEstimator::logCutoff(Time now) {
  const int step = static_cast<int>(cutoff_ / kCutoffLogStep);
  if (step == loggedCutoffStep_ || !actions_.mayLog(now)) return;
  loggedCutoffStep_ = step;
  actions_.log(now, "admission cutoff changed: cutoff=" + std::to_string(static_cast<int>(cutoff_)) +
                        " error_overload=" + std::to_string(errorOverload_));
}

void OverloadEstimator::restore(const LearnedState& learned) {
  unloadedConcurrency_ = valueWithin(learned.unloadedConcurrency, 0, 1e6, unloadedConcurrency_);
}

}  // namespace finchstile::load_balancing
