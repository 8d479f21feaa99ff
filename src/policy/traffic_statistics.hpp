// Measures the traffic: decayed rates of the pool, the typical latency of each class, and the latency of each
// host relative to it. Decides nothing. Inputs are arrivals, sends and results; rates are renewed by a sweep.
//
// Times of requests differ by class and by work, so hosts are compared by relative latency: the time that an
// answer took, divided by the typical latency of its class times the relative work of the request.
#pragma once

#include <algorithm>
#include <vector>

#include "policy/active_request.hpp"
#include "policy/fleet_shape.hpp"
#include "policy/host_registry.hpp"
#include "policy/traffic_class.hpp"

namespace finchstile::load_balancing {

// Time between two sweeps: a few latencies of a typical service.
inline constexpr Duration kSweepInterval = std::chrono::milliseconds(100);
// Gain per sweep of rates over about half a second.
inline constexpr double kFastGain = 0.2;
// Gain per sweep of what is remembered for about ten seconds: the mix of the traffic.
inline constexpr double kSlowGain = 0.008;
// Gain per sample of means over the last fifty.
inline constexpr double kFiftySampleGain = 0.02;
// No figure of the pool rests on fewer samples: a gateway among a thousand sees two requests a second, and a
// rate over half a second is noise there.
inline constexpr double kMinSamples = 20;

class TrafficStatistics {
 public:
  // `settings` must outlive this.
  TrafficStatistics(const Settings& settings, Time now);

  // The class of a request, or a stand-in for undescribed ones: never repeated, of lowest priority.
  std::uint32_t classIndexOf(const Request& request) const {
    return std::min(request.classIndex, describedClasses_);
  }
  std::vector<TrafficClass>& classes() { return classes_; }
  const std::vector<TrafficClass>& classes() const { return classes_; }

  void onArrival(Time now) {
    arrivals_ += 1;
    if (firstArrivalAt_ == Time{}) firstArrivalAt_ = now;
  }
  // Returns the request's expected work relative to its class, within limits; 1 if the work is not known.
  double onExpectedWork(TrafficClass& trafficClass, Duration expectedWork);
  // Updates the means of what arriving requests are owed and cost. `relativeWork` as above.
  void onDemand(const TrafficClass& trafficClass, double relativeWork);
  void onSend() { sends_ += 1; }
  // An attempt, no stream, ended after `seconds`. Returns its relative latency, 1 while nothing is known.
  double onResult(Time now, Host& host, const ActiveRequest& request, Outcome outcome, double seconds);
  // The fraction of attempts that are served. Call once for each result that says something of the host.
  void onServedOrNot(bool served) {
    servedFraction_ += ((served ? 1.0 : 0.0) - servedFraction_) / kMinSamples;
  }
  // Learns the relative latency of a host; time-outs count at their length if that was above the typical one:
  // left out, a pool that turns slow would look as quick as the answers that survive.
  void learnRelativeLatency(Host& host, Outcome outcome, double relativeLatency, HostRegistry& hosts);
  // A host is new or runs as a new process. `capacityFraction` is what it can carry while it warms up.
  static void onHostStarted(Host& host, const HostRegistry& hosts, double capacityFraction);

  // Begins a sweep for so many hosts: longer lists are swept less often, to save processor time.
  void beginSweep(std::size_t hostCount);
  void sweepHosts(HostRegistry& hosts, const FleetShape& shape);
  void sweepPool(const HostRegistry& hosts);

  // `gain` per sweep, or less, so that at least kMinSamples arrivals are in the figure.
  double sweepGain(double gain) const;

  // Too little was measured since the start to rely on.
  bool isLearning(Time now) const { return now - startedAt_ < 10 * kSweepInterval || answers_ < kMinSamples; }
  // Answers in time a second since the first arrival; 0 unless it is learning and has enough of them. Until
  // the swept rate has come near the true one, fast hosts would stand idle under the first guess. Slow or
  // warming hosts give too few answers here, and the guess stands.
  double initialInTimeRate(Time now) const;

  Time startedAt() const { return startedAt_; }
  Duration sweepInterval() const { return sweepInterval_; }
  double answers() const { return answers_; }
  double arrivalRate() const {
    return arrivalRate_;
  }  // arrivals per sweep (sweepInterval(), 100 ms or longer); the other rates are per second
  double inTimeRate() const { return inTimeRate_; }  // answers a second, weighted by work and by lateness
  double sendRate() const { return sendRate_; }      // attempts a second
  double provenServedRate() const { return provenServedRate_; }  // answers a second and host, lately at best
  double servedFraction() const { return servedFraction_; }
  double meanLatencyObjective() const { return meanLatencyObjective_; }  // seconds
  double meanTypicalLatency() const { return meanTypicalLatency_; }      // seconds
  double medianRelativeLatency() const { return medianRelativeLatency_; }

  void capture(LearnedState& learned, Time now) const;
  // Takes over the valid figures of another load balancer for the same classes.
  void restore(const LearnedState& learned, Time now);

 private:
  std::uint32_t describedClasses_;  // the stand-in comes behind these
  std::vector<TrafficClass> classes_;
  Time startedAt_{};
  Duration sweepInterval_ = kSweepInterval;

  double arrivals_ = 0;  // since the sweep
  double arrivalRate_ = 0;
  double arrivalSweeps_ = 0;
  double answers_ = 0;
  double inTimeAnswers_ = 0;  // since the sweep
  double inTimeRate_ = 0;
  Time firstArrivalAt_{};
  double firstInTimeAnswers_ = 0;  // while learning
  double sends_ = 0;               // since the sweep
  double sendRate_ = 1;
  double served_ = 0;  // since the sweep
  double servedRate_ = 0;
  double provenServedRate_ = 0;
  double servedFraction_ = 0.5;
  double meanLatencyObjective_ = 0;
  double meanTypicalLatency_ = 0;
  double medianRelativeLatency_ = 1;
};

}  // namespace finchstile::load_balancing
