// Traffic statistics: decayed rates of the pool, the typical latency of each class, and the latency of each
// host relative to it. Inputs are arrivals, sends and results. Rates are updated by a periodic sweep.
//
// Latency depends on the class and the work of a request, so hosts are compared by relative latency: the
// latency of an answer, divided by the product of the typical latency of its class and the relative work of
// the request.
#pragma once

#include <algorithm>
#include <vector>

#include "policy/active_request.hpp"
#include "policy/fleet_shape.hpp"
#include "policy/host_registry.hpp"
#include "policy/traffic_class.hpp"

namespace finchstile::load_balancing {

// Minimum time between sweeps: a few times the latency of a typical service.
inline constexpr Duration kSweepInterval = std::chrono::milliseconds(100);
// Gain per sweep of rates that average over about half a second.
inline constexpr double kFastGain = 0.2;
// Gain per sweep of averages over about ten seconds, such as the mix of the traffic.
inline constexpr double kSlowGain = 0.008;
// Gain per sample of means over about the last fifty samples.
inline constexpr double kFiftySampleGain = 0.02;
// Minimum number of samples in statistics of the pool: a gateway among a thousand receives two requests per
// second, and a rate over half a second would be noise.
inline constexpr double kMinSamples = 20;

class TrafficStatistics {
 public:
  // `settings` must outlive this.
  TrafficStatistics(const Settings& settings, Time now);

  // Index of the request's class. Requests of an unknown class get a fallback class that is non-idempotent
  // and has the lowest priority.
  std::uint32_t classIndexOf(const Request& request) const {
    return std::min(request.classIndex, knownClassCount_);
  }
  std::vector<TrafficClass>& classes() { return classes_; }
  const std::vector<TrafficClass>& classes() const { return classes_; }

  void onArrival(Time now) {
    arrivals_ += 1;
    if (firstArrivalAt_ == Time{}) firstArrivalAt_ = now;
  }
  // Returns the request's expected work relative to the mean of its class, within limits; 1 if unknown.
  double recordExpectedWork(TrafficClass& trafficClass, Duration expectedWork);
  // Updates the means of the latency objective and the typical latency of arriving requests.
  void recordDemand(const TrafficClass& trafficClass, double relativeWork);
  void onSend() { sends_ += 1; }
  // An attempt, not of a stream, ended after `seconds`. Returns its relative latency; 1 while the typical
  // latency of the class is unknown.
  double onResult(Time now, Host& host, const ActiveRequest& request, Outcome outcome, double seconds);
  // Updates the fraction of attempts that are served. Called for each result that reflects the host's health.
  void recordServed(bool served) {
    servedFraction_ += ((served ? 1.0 : 0.0) - servedFraction_) / kMinSamples;
  }
  // Updates the relative latency of a host. Timeouts longer than the typical latency count with their
  // duration; otherwise a pool that becomes slow would be judged by its fast answers only.
  void learnRelativeLatency(Host& host, Outcome outcome, double relativeLatency, HostRegistry& hosts);
  // A host is new or its process has restarted. `capacityFraction` is its present capacity while it warms up.
  static void onHostStarted(Host& host, const HostRegistry& hosts, double capacityFraction);

  // Begins a sweep and sets the time until the next one: longer host lists are swept less often, to save CPU
  // time.
  void beginSweep(std::size_t hostCount);
  void sweepHosts(HostRegistry& hosts, const FleetShape& shape);
  void sweepPool(const HostRegistry& hosts);

  // `gain` per sweep, reduced where needed so that at least kMinSamples arrivals are averaged.
  double sweepGain(double gain) const;

  // Whether the statistics since the start are still too few to rely on.
  bool isLearning(Time now) const { return now - startedAt_ < 10 * kSweepInterval || answers_ < kMinSamples; }
  // Answers in time per second since the first arrival; 0 after the learning phase or with too few answers.
  // Until the swept rate approaches the true one, fast hosts would be left idle by the initial in-flight
  // limit. Slow or warming hosts give too few answers, and the initial limit stays in force.
  double initialInTimeRate(Time now) const;

  Time startedAt() const { return startedAt_; }
  Duration sweepInterval() const { return sweepInterval_; }
  double answers() const { return answers_; }
  // Arrivals per sweepInterval(); the other rates are per second.
  double arrivalRate() const { return arrivalRate_; }
  double inTimeRate() const { return inTimeRate_; }  // answers per second, weighted by work and by lateness
  double sendRate() const { return sendRate_; }      // attempts per second
  double provenServedRate() const { return provenServedRate_; }  // recent peak of answers per second and host
  double servedFraction() const { return servedFraction_; }
  double meanLatencyObjective() const { return meanLatencyObjective_; }  // seconds
  double meanTypicalLatency() const { return meanTypicalLatency_; }      // seconds
  double medianRelativeLatency() const { return medianRelativeLatency_; }

  void capture(LearnedState& learned, Time now) const;
  // Restores the valid values of another load balancer, for the classes that both have.
  void restore(const LearnedState& learned, Time now);

 private:
  std::uint32_t knownClassCount_;  // index of the fallback class for unknown ones
  std::vector<TrafficClass> classes_;
  Time startedAt_{};
  Duration sweepInterval_ = kSweepInterval;

  double arrivals_ = 0;  // since the last sweep
  double arrivalRate_ = 0;
  double arrivalSweeps_ = 0;
  double answers_ = 0;
  double inTimeAnswers_ = 0;  // since the last sweep
  double inTimeRate_ = 0;
  Time firstArrivalAt_{};
  double inTimeAnswersWhileLearning_ = 0;  // count; updated while isLearning()
  double sends_ = 0;                       // since the last sweep
  double sendRate_ = 1;
  double served_ = 0;  // since the last sweep
  double servedRate_ = 0;
  double provenServedRate_ = 0;
  double servedFraction_ = 0.5;
  double meanLatencyObjective_ = 0;
  double meanTypicalLatency_ = 0;
  double medianRelativeLatency_ = 1;
};

}  // namespace finchstile::load_balancing
