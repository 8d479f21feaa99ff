#include "policy/traffic_statistics.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "policy/duration_math.hpp"
#include "policy/learned_value.hpp"
#include "policy/quantile.hpp"

namespace finchstile::load_balancing {
namespace {

constexpr double kHostsPerSweepInterval = 32;  // with more, the interval grows in proportion
constexpr double kHostLatencyGain = 0.1;       // per answer; averages over about ten answers
constexpr double kIdleLatencyGain = 0.05;      // per sweep without answers; decays within two seconds
constexpr double kProvenRateDecay = 0.99;      // per sweep; about ten seconds
constexpr double kMaxRelativeLatency = 20;     // upper bound of one sample
constexpr double kMinSeconds = 1e-6;           // a latency of zero would make ratios meaningless
constexpr double kMinRelativeWork = 0.2;
constexpr double kMaxRelativeWork = 5;
constexpr double kMinWorkWeight = 0.1;
constexpr double kMaxWorkWeight = 10;
constexpr Duration kMinInitialSpan = std::chrono::milliseconds(1);

}  // namespace

TrafficStatistics::TrafficStatistics(const Settings& settings, Time now)
    : knownClassCount_(static_cast<std::uint32_t>(settings.classes.size())), startedAt_(now) {
  for (const ClassSettings& classSettings : settings.classes) {
    classes_.push_back({classSettings, 0, 0, {}, 0});
    meanLatencyObjective_ +=
        toSeconds(classSettings.latencyObjective) / static_cast<double>(settings.classes.size());
  }
  ClassSettings unknownClass = settings.classes.front();
  unknownClass.name = "unknown";
  unknownClass.idempotency = Idempotency::nonIdempotent;
  unknownClass.priorityWeight = 0;
  classes_.push_back({unknownClass, 0, 0, {}, 0});
}

double TrafficStatistics::recordExpectedWork(TrafficClass& trafficClass, Duration expectedWork) {
  const double work = toSeconds(expectedWork);
  if (work <= 0) return 1.0;
  double& mean = trafficClass.meanExpectedWork;
  mean = mean > 0 ? mean + kFiftySampleGain * (work - mean) : work;
  return std::clamp(work / mean, kMinRelativeWork, kMaxRelativeWork);
}

void TrafficStatistics::recordDemand(const TrafficClass& trafficClass, double relativeWork) {
  const ClassSettings& settings = trafficClass.settings;
  // If late answers still have value, the objective is extended in proportion to that value.
  const Duration lateExtension =
      scaled(std::min(trafficClass.typicalTimeLeft - settings.latencyObjective, settings.latencyObjective),
             settings.lateValueFraction);
  meanLatencyObjective_ +=
      kFiftySampleGain * (toSeconds(settings.latencyObjective + lateExtension) - meanLatencyObjective_);
  if (trafficClass.typicalLatency > 0)
    meanTypicalLatency_ += (meanTypicalLatency_ > 0 ? kFiftySampleGain : 1.0) *
                           (trafficClass.typicalLatency * relativeWork - meanTypicalLatency_);
}

double TrafficStatistics::onResult(Time now, Host& host, const ActiveRequest& request, Outcome outcome,
                                   double seconds) {
  TrafficClass& trafficClass = classes_[request.classIndex];
  double& typical = trafficClass.typicalLatency;
  if (outcome == Outcome::served && typical <= 0) typical = seconds / request.relativeWork;
  const double relativeLatency =
      typical > 0 ? std::min(seconds / (typical * request.relativeWork), kMaxRelativeLatency) : 1;
  if (outcome != Outcome::served) return relativeLatency;
  answers_ += 1;
  served_ += 1;
  host.traffic.servedSinceSweep += 1;
  typical += kFiftySampleGain * (seconds / request.relativeWork - typical);
  // Answers are weighted by their work. Otherwise a gateway whose traffic is reduced to a class of heavy
  // requests would see few answers, take the pool for slow and lower its limit.
  const double weight =
      meanTypicalLatency_ > 0
          ? std::clamp(typical * request.relativeWork / meanTypicalLatency_, kMinWorkWeight, kMaxWorkWeight)
          : 1;
  const bool inTime = now <= request.objectiveAt;
  inTimeAnswers_ += weight * (inTime ? 1 : request.lateValueFraction);
  if (isLearning(now)) inTimeAnswersWhileLearning_ += inTime ? 1 : 0;
  return relativeLatency;
}

void TrafficStatistics::learnRelativeLatency(Host& host, Outcome outcome, double relativeLatency,
                                             HostRegistry& hosts) {
  const bool counts = (outcome == Outcome::served && relativeLatency > 0) ||
                      (outcome == Outcome::timeout && relativeLatency > 1);
  if (!counts) return;
  MachineType& type = hosts.machineTypes()[host.machineType];
  host.traffic.relativeLatency += kHostLatencyGain * (relativeLatency - host.traffic.relativeLatency);
  type.relativeLatency += kFiftySampleGain * (relativeLatency - type.relativeLatency);
}

void TrafficStatistics::onHostStarted(Host& host, const HostRegistry& hosts, double capacityFraction) {
  host.traffic.answerRate = 0;
  host.traffic.relativeLatency =
      hosts.machineTypes()[host.machineType].relativeLatency / std::sqrt(capacityFraction);
}

double TrafficStatistics::sweepGain(double gain) const {
  return std::min(gain, std::max(arrivalRate_, 0.001) / kMinSamples);
}

void TrafficStatistics::beginSweep(std::size_t hostCount) {
  sweepInterval_ =
      scaled(kSweepInterval, std::max(1.0, static_cast<double>(hostCount) / kHostsPerSweepInterval));
}

void TrafficStatistics::sweepHosts(HostRegistry& hosts, const FleetShape& shape) {
  std::vector<double> latencies;
  for (const HostId id : hosts.active()) {
    Host& host = hosts[id];
    HostTraffic& traffic = host.traffic;
    traffic.answerRate +=
        kFastGain * (traffic.servedSinceSweep / toSeconds(sweepInterval_) - traffic.answerRate);
    // A high relative latency measured during a fault keeps requests away from the host, so it would never be
    // updated. It decays to that of the machine type, which recovers sooner, or with load probing to the
    // median.
    if (traffic.servedSinceSweep <= 0 && host.inFlight.count == 0)
      traffic.relativeLatency +=
          kIdleLatencyGain * ((shape.probesLoad() ? medianRelativeLatency_
                                                  : hosts.machineTypes()[host.machineType].relativeLatency) -
                              traffic.relativeLatency);
    traffic.servedSinceSweep = 0;
    latencies.push_back(traffic.relativeLatency);
  }
  medianRelativeLatency_ = quantile(latencies, 0.5, 1);
}

void TrafficStatistics::sweepPool(const HostRegistry& hosts) {
  const double gain = sweepGain(kFastGain);
  const double seconds = toSeconds(sweepInterval_);
  const double arrivalGain = arrivalSweeps_ < 1 / kSlowGain ? 1 / ++arrivalSweeps_ : kSlowGain;
  arrivalRate_ += arrivalGain * (arrivals_ - arrivalRate_);
  arrivals_ = 0;
  inTimeRate_ += gain * (inTimeAnswers_ / seconds - inTimeRate_);
  inTimeAnswers_ = 0;
  sendRate_ += gain * (std::exchange(sends_, 0) / seconds - sendRate_);
  // Smoothed more than the other rates, since its peak is kept and must not reflect noise.
  servedRate_ += gain / 3 * (std::exchange(served_, 0) / seconds - servedRate_);
  provenServedRate_ = std::max(servedRate_ / static_cast<double>(hosts.active().size() + 1),
                               provenServedRate_ * kProvenRateDecay);
}

double TrafficStatistics::initialInTimeRate(Time now) const {
  if (!isLearning(now) || inTimeAnswersWhileLearning_ < kMinSamples ||
      now - firstArrivalAt_ < kMinInitialSpan)
    return 0;
  return inTimeAnswersWhileLearning_ / toSeconds(now - firstArrivalAt_);
}

void TrafficStatistics::capture(LearnedState& learned, Time now) const {
  learned.age = now - startedAt_;
  learned.arrivalRate = arrivalRate_;
  learned.arrivalSamples = arrivalSweeps_;
  learned.answers = answers_;
  learned.inTimeRate = inTimeRate_;
  learned.meanLatencyObjective = meanLatencyObjective_;
  learned.meanTypicalLatency = meanTypicalLatency_;
  learned.servedFraction = servedFraction_;
  for (const TrafficClass& c : classes_)
    learned.classes.push_back(
        {c.settings.name, c.typicalLatency, c.meanExpectedWork, c.lateRetryFraction, c.typicalTimeLeft});
}

void TrafficStatistics::restore(const LearnedState& learned, Time now) {
  startedAt_ = std::max(std::min(startedAt_, now - learned.age), Time{});
  arrivalRate_ = valueWithin(learned.arrivalRate, 0, 1e9, arrivalRate_);
  arrivalSweeps_ = valueWithin(learned.arrivalSamples, 0, 1e9, arrivalSweeps_);
  answers_ = valueWithin(learned.answers, 0, 1e15, answers_);
  inTimeRate_ = valueWithin(learned.inTimeRate, 0, 1e9, inTimeRate_);
  meanLatencyObjective_ = valueWithin(learned.meanLatencyObjective, 1e-6, 1e6, meanLatencyObjective_);
  meanTypicalLatency_ = valueWithin(learned.meanTypicalLatency, 0, 1e6, meanTypicalLatency_);
  servedFraction_ = valueWithin(learned.servedFraction, 0, 1, servedFraction_);
  for (const LearnedState::Class& from : learned.classes)
    for (TrafficClass& c : classes_) {
      if (c.settings.name != from.name) continue;
      c.typicalLatency = valueWithin(from.typicalLatency, 0, 1e6, c.typicalLatency);
      c.meanExpectedWork = valueWithin(from.meanExpectedWork, 0, 1e6, c.meanExpectedWork);
      c.lateRetryFraction = valueWithin(from.lateRetryFraction, 0, 1, c.lateRetryFraction);
      if (from.typicalTimeLeft > Duration{} && from.typicalTimeLeft <= c.settings.clientTimeout)
        c.typicalTimeLeft = from.typicalTimeLeft;
    }
}

}  // namespace finchstile::load_balancing
