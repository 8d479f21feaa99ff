// Computes the admission cutoff: the score, 0 to 100, below which requests are rejected before they are sent.
// It is 100 x^3, where x is the larger of two overload measures of the pool, each 0 at its threshold and 1 at
// its maximum:
//
// - in-flight overload: attempts of this gateway in flight, relative to the limit of the pool. By Little's
// law, answers are in time if the pool holds at most `rate x latency objective`. Not used with load probing,
// which has its own cutoff from the load of the probed hosts (load_probing.hpp).
// - error overload: the fraction of attempts that were not served, including capacity rejections and
// timeouts.
#pragma once

#include <cstddef>

#include "policy/action_queue.hpp"
#include "policy/fleet_shape.hpp"
#include "policy/host_registry.hpp"
#include "policy/in_flight_tracker.hpp"
#include "policy/retry_policy.hpp"
#include "policy/traffic_statistics.hpp"

namespace finchstile::load_balancing {

// The cutoff, 0 to 100, for an overload; values outside 0 to 1 are clamped.
double cubicCutoff(double overload);

class OverloadEstimator {
 public:
  // Mean time in flight at the in-flight limit, as a fraction of the latency objective.
  static constexpr double kMaxObjectiveFraction = 0.38;
  // Fraction of the in-flight maximum below which nothing is rejected.
  static constexpr double kInFlightThreshold = 0.5;

  // All must outlive this.
  OverloadEstimator(const Settings& settings, const HostRegistry& hosts, const FleetShape& shape,
                    const TrafficStatistics& traffic, const InFlightTracker& inFlight,
                    const RetryPolicy& retries, ActionQueue& actions);

  // A request has arrived. Updates the cutoff.
  void onArrival(Time now);
  // Counts the outcome of an attempt for the host and the pool.
  void onOutcome(Host& host, Outcome outcome);

  // The two parts of a sweep: decaying the counts of the hosts, and updating the estimates and the cutoff.
  // `gain` is TrafficStatistics::sweepGain(kFastGain), taken before its sweepPool.
  void decayOutcomes(HostRegistry& hosts, double gain) const;
  void sweep(Time now, double gain);

  double cutoff() const { return cutoff_; }
  double smoothedInFlight() const { return smoothedInFlight_; }
  // Maximum number of attempts of this gateway in flight at the whole pool.
  double inFlightLimit(Time now) const;

  void capture(LearnedState& learned) const { learned.unloadedConcurrency = unloadedConcurrency_; }
  void restore(const LearnedState& learned);

 private:
  double currentInFlight() const;
  double poolErrorOverload() const;
  void renewCutoff(Time now);
  void logCutoff(Time now);

  const Settings& settings_;
  const HostRegistry& hosts_;
  const FleetShape& shape_;
  const TrafficStatistics& traffic_;
  const InFlightTracker& inFlight_;
  const RetryPolicy& retries_;
  ActionQueue& actions_;

  double cutoff_ = 0;
  double errorOverload_ = 0;
  double smoothedInFlight_ = 0;
  double unloadedConcurrency_ = 0;  // in flight per host while nothing is rejected
  double recentRejections_ = 0;     // decayed count of attempts rejected for capacity
  double recentOutcomes_;           // decayed count of attempts
  int loggedCutoffStep_ = 0;
};

}  // namespace finchstile::load_balancing
