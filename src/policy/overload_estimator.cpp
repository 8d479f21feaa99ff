#include "policy/overload_estimator.hpp"

#include <algorithm>
#include <cmath>
#include <string>

#include "policy/capacity_backoff.hpp"
#include "policy/learned_value.hpp"
#include "policy/outcomes.hpp"

namespace finchstile::load_balancing {
namespace {

// Per arrival; the in-flight count is averaged over about twenty arrivals.
constexpr double kArrivalGain = 0.05;
constexpr double kSweepGain = 0.5;  // per sweep; for the same average
// Initial limit per host, over all gateways, before there are measurements.
constexpr double kInitialInFlightPerHost = 6;
constexpr double kMinInFlightPerHost = 2;  // lower bound of the limit per host, over all gateways
// Overloaded hosts stay slow for long, and capacity rejections are the first sign of overload. The limit is
// reduced by this multiple of the fraction of rejections, by at most a half. The fraction decays within half
// a second.
constexpr double kRejectionFactor = 4;
constexpr double kMaxRejectionReduction = 0.5;
// Decay per sweep of the concurrency per host that was reached without overload; it fades within minutes. It
// is a lower bound of the limit: a limit that follows a falling rate of answers would leave slow hosts idle.
constexpr double kUnloadedConcurrencyDecay = 0.001;
constexpr int kMinUnloadedSweeps = 15;   // since the start, before unloadedConcurrency_ is updated
constexpr double kUnloadedCutoff = 1;    // maximum cutoff at which unloadedConcurrency_ is updated
constexpr double kErrorThreshold = 0.1;  // fraction of failed attempts; a few percent are normal
constexpr double kMaxErrorFraction = 0.7;
// Lower with subsets: once retries are used up, what the hosts of the subset reject is rejected regardless of
// its priority.
constexpr double kMaxErrorFractionOfSubset = 0.4;
constexpr double kRejectionError = 0.5;  // weight of a rejection as an error with load probing
// Attempts assumed to be served, so that a few samples carry little weight.
constexpr double kPriorOutcomes = 10;
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
  if (!reflectsHostHealth(outcome)) return;
  const bool rejected = outcome == Outcome::rejectedForCapacity;
  recentOutcomes_ += 1;
  host.outcomes.attempts += 1;
  // A host that keeps rejecting has a problem of its own; that is no sign of overload of the pool.
  if (rejected && host.capacity.consecutiveRejections <= CapacityBackoff::kMinRejections)
    recentRejections_ += 1;
  if (outcome != Outcome::served)
    host.outcomes.errors += rejected && shape_.probesLoad() ? kRejectionError : 1;
}

void OverloadEstimator::decayOutcomes(HostRegistry& hosts, double gain) const {
  const double retainedFraction = 1 - gain;
  for (const HostId id : hosts.active()) {
    hosts[id].outcomes.attempts *= retainedFraction;
    hosts[id].outcomes.errors *= retainedFraction;
  }
}

void OverloadEstimator::sweep(Time now, double gain) {
  const std::size_t hostCount = hosts_.active().size();
  unloadedConcurrency_ *= 1 - kUnloadedConcurrencyDecay;
  if (cutoff_ <= kUnloadedCutoff && now - traffic_.startedAt() > kMinUnloadedSweeps * kSweepInterval &&
      hostCount > 0)
    unloadedConcurrency_ = std::max(unloadedConcurrency_, smoothedInFlight_ / static_cast<double>(hostCount));
  recentRejections_ *= 1 - gain;
  recentOutcomes_ += gain * (kPriorOutcomes - recentOutcomes_);
  errorOverload_ = poolErrorOverload();
  // With few arrivals, a burst would persist in the average over arrivals.
  smoothedInFlight_ += (currentInFlight() - smoothedInFlight_) * traffic_.sweepGain(kSweepGain);
  renewCutoff(now);
  logCutoff(now);
}

double OverloadEstimator::inFlightLimit(Time now) const {
  const double hostCount = static_cast<double>(std::max<std::size_t>(hosts_.active().size(), 1));
  const double reduction =
      1 - std::min(kRejectionFactor * recentRejections_ / recentOutcomes_, kMaxRejectionReduction);
  // Limits per host apply before there are measurements (if the gateway starts during an overload) and after
  // a period of little traffic.
  const double minPerHost =
      traffic_.isLearning(now) ? kInitialInFlightPerHost * reduction / settings_.gatewayCount
                               : std::max(kMinInFlightPerHost / settings_.gatewayCount, unloadedConcurrency_);
  const double rate = std::max(traffic_.inTimeRate(), traffic_.initialInTimeRate(now));
  return std::max(rate * traffic_.meanLatencyObjective() * kMaxObjectiveFraction * reduction,
                  minPerHost * hostCount + 2);
}

double OverloadEstimator::currentInFlight() const {
  double inFlight = 0;
  for (const HostId id : inFlight_.busyHosts()) {
    const Host& host = hosts_[id];
    // One unhealthy host must not raise the cutoff of the pool.
    if (host.entry.phase == HostPhase::active && !host.health.isUnhealthy()) inFlight += host.inFlight.count;
  }
  // Lost attempts are not load either: no host is processing them.
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
