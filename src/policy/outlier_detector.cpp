#include "policy/outlier_detector.hpp"

#include <algorithm>

#include "policy/duration_math.hpp"
#include "policy/quantile.hpp"

namespace finchstile::load_balancing {
namespace {

// Per outcome; five consecutive failures raise the rate to about one half.
constexpr double kFailureGain = 0.12;
// Per error response in a large cluster, where a gateway sees few outcomes of a host, and errors of healthy
// hosts are rare.
constexpr double kLargeClusterErrorGain = 0.5;
constexpr double kEjectionFailureRate = 0.45;  // a host is ejected above this rate
constexpr double kEjectionPeerFactor = 2.5;    // and above this multiple of its peers' lower quartile
constexpr double kMaxUnhealthyFraction = 0.5;  // of the active hosts
// The count of consecutive ejections is reset below this failure rate, once this many first ejection times
// have passed since the last ejection ended.
constexpr double kRecoveredFailureRate = 0.05;
constexpr int kRecoveryEjectionTimes = 4;
constexpr double kMaxFirstEjectionFactor = 8;  // maximum factor by which low traffic lengthens an ejection
constexpr int kMaxEjectionDoublings = 3;
constexpr double kSilenceLatencyMultiple = 4;  // typical latencies without a response

}  // namespace

void OutlierDetector::onOutcome(Time now, Host& host, Outcome outcome, bool isOwnAttempt,
                                RandomSource& random) {
  HostHealth& health = host.health;
  bool failed = false;
  switch (outcome) {
    case Outcome::served: health.lastResponseAt = now; break;
    case Outcome::rejectedForCapacity:
    case Outcome::invalidRequest: health.lastResponseAt = now; return;
    case Outcome::timeout:
      if (!isOwnAttempt || isResponsive(host, now)) return;
      failed = true;
      break;
    case Outcome::error:
      health.lastResponseAt = now;
      failed = true;
      break;
    case Outcome::connectFailed:
    case Outcome::reset:
      if (isResponsive(host, now)) return;
      failed = true;
      break;
    case Outcome::cancelled:
    case Outcome::notSent: return;
  }
  const double gain =
      outcome == Outcome::error && shape_.isLargeCluster() ? kLargeClusterErrorGain : kFailureGain;
  health.failureRate += gain * ((failed ? 1.0 : 0.0) - health.failureRate);
  if (health.state != HealthState::trial) return;
  if (failed) return eject(now, host, "trial_failed", random);
  health.state = HealthState::healthy;
  health.failureRate = 0;
  if (actions_.mayLog(now))
    actions_.log(now, "host returned to service after a trial: host=" + host.entry.address);
}

void OutlierDetector::eject(Time now, Host& host, const char* reason, RandomSource& random) {
  HostHealth& health = host.health;
  health.state = HealthState::ejected;
  // With little traffic a host receives attempts so rarely that a short ejection would have no effect.
  const double secondsBetweenAttempts = static_cast<double>(hosts_.active().size()) *
                                        toSeconds(traffic_.sweepInterval()) /
                                        std::max(traffic_.arrivalRate(), 0.001);
  const double first =
      std::clamp(secondsBetweenAttempts / toSeconds(kFirstEjection), 1.0, kMaxFirstEjectionFactor);
  const double jitter = 0.75 + 0.5 * random.unit();
  health.ejectedUntil = now + scaled(kFirstEjection * (1 << health.ejections), first * jitter);
  health.ejections = std::min(health.ejections + 1, kMaxEjectionDoublings);
  if (actions_.mayLog(now))
    actions_.log(now, "host ejected until its next trial: host=" + host.entry.address + " reason=" + reason);
}

void OutlierDetector::ejectOutliers(Time now, std::size_t unhealthy, double peerFailureRate,
                                    RandomSource& random) {
  const double maxUnhealthy = kMaxUnhealthyFraction * static_cast<double>(hosts_.active().size());
  for (const HostId id : hosts_.active()) {
    Host& host = hosts_[id];
    HostHealth& health = host.health;
    if (health.state != HealthState::healthy || static_cast<double>(unhealthy + 1) > maxUnhealthy) continue;
    if (health.failureRate > std::max(kEjectionFailureRate, kEjectionPeerFactor * peerFailureRate)) {
      eject(now, host, "failing", random);
      ++unhealthy;
    } else if (health.ejections > 0 && health.failureRate < kRecoveredFailureRate &&
               now > health.ejectedUntil + kRecoveryEjectionTimes * kFirstEjection) {
      health.ejections = 0;
    }
  }
}

void OutlierDetector::endEjection(Time now, Host& host) const {
  if (host.health.state == HealthState::ejected && now >= host.health.ejectedUntil)
    host.health.state = HealthState::trial;
}

Duration OutlierDetector::silenceLimit(const Host& host) const {
  return std::max(kMinSilence,
                  scaled(std::chrono::seconds(1), kSilenceLatencyMultiple * traffic_.meanTypicalLatency() *
                                                      std::max(1.0, host.traffic.relativeLatency)));
}

double OutlierDetector::lowerQuartileFailureRate(std::vector<double>& failureRates) {
  return quantile(failureRates, 0.25, 0);
}

void OutlierDetector::onHostStarted(Host& host) {
  host.health.state = HealthState::healthy;
  host.health.ejections = 0;
  host.health.failureRate = 0;
  host.health.unresponsive = false;
}

}  // namespace finchstile::load_balancing
