// Decides the admission cutoff: the score, 0 to 100, below which requests are rejected unsent. It is
// 100 x^3, where x is the larger of two overloads of the pool, each 0 at its threshold and 1 at its maximum:
//
// - in-flight overload: attempts of this gateway in flight, against what the pool can hold. By Little's law
//   the pool holds `rate x latency objective` at most if answers are to be in time. Where load probing is in
//   use, the figures of the probed hosts stand in for it (load_probing.hpp).
// - error overload: the fraction of attempts that were not served, capacity rejections and time-outs
// included.
#pragma once

#include <cstddef>

#include "policy/action_queue.hpp"
#include "policy/fleet_shape.hpp"
#include "policy/host_registry.hpp"
#include "policy/in_flight_tracker.hpp"
#include "policy/retry_policy.hpp"
#include "policy/traffic_statistics.hpp"

namespace finchstile::load_balancing {

// The cutoff for an overload, 0 to 100.
double cubicCutoff(double overload);

class OverloadEstimator {
 public:
  // Mean time in flight that a full pool is allowed, as a fraction of the latency objective.
  static constexpr double kMaxObjectiveFraction = 0.38;
  // Fraction of the in-flight maximum below which nothing is rejected.
  static constexpr double kInFlightThreshold = 0.5;

  // All must outlive this.
  OverloadEstimator(const Settings& settings, const HostRegistry& hosts, const FleetShape& shape,
                    const TrafficStatistics& traffic, const InFlightTracker& inFlight,
                    const RetryPolicy& retries, ActionQueue& actions);

  // A request has come. Renews the cutoff.
  void onArrival(Time now);
  // Counts an attempt's outcome for the pool.
  void onOutcome(Host& host, Outcome outcome);

  // The parts of a sweep: the counts of the hosts fade, by the gain from before the traffic's own sweep; then
  // the estimates and the cutoff are renewed.
  void fadeOutcomes(HostRegistry& hosts, double gain) const;
  void sweep(Time now, double gain);

  double cutoff() const { return cutoff_; }
  double smoothedInFlight() const { return smoothedInFlight_; }
  // Attempts of this gateway that the pool may hold.
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
  double unloadedConcurrency_ = 0;  // in flight a host while nothing is rejected
  double recentRejections_ = 0;     // decayed count of attempts rejected for capacity
  double recentOutcomes_;           // decayed count of attempts
  int loggedCutoffStep_ = 0;
};

}  // namespace finchstile::load_balancing
