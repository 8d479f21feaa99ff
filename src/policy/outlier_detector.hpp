// Outlier detection: marks hosts that stop responding, ejects those that fail more than their peers, and
// returns ejected hosts to service after a trial with real requests. Inputs are the outcomes of attempts,
// both own ones and those that other gateways report to the tracker of a host's group.
//
// A host is compared with the lower quartile of its peers' failure rates, and at most half of the hosts are
// ejected or in trial, so a fault of the whole pool ejects none.
#pragma once

#include <cstddef>

#include "policy/action_queue.hpp"
#include "policy/active_request.hpp"
#include "policy/host_registry.hpp"
#include "policy/random_source.hpp"
#include "policy/traffic_statistics.hpp"

namespace finchstile::load_balancing {

class OutlierDetector {
 public:
  // A healthy host under load responds at least this often; shorter pauses are normal.
  static constexpr Duration kMinSilence = std::chrono::milliseconds(150);

  // All must outlive this.
  OutlierDetector(HostRegistry& hosts, const FleetShape& shape, const TrafficStatistics& traffic,
                  ActionQueue& actions)
      : hosts_(hosts), shape_(shape), traffic_(traffic), actions_(actions) {}

  // `isOwnAttempt`: whether the attempt was made by this gateway. Timeouts reported by other gateways are
  // ignored: under overload a tracker would eject its whole group. Draws one random number if the host is
  // ejected.
  void onOutcome(Time now, Host& host, Outcome outcome, bool isOwnAttempt, RandomSource& random);

  // Starts trials, updates which hosts are unresponsive, and ejects outliers. Draws one random number per
  // ejection. `find` returns the attempt of a request that is in flight at a host, or null.
  template <class FindAttempt>
  void sweep(Time now, RandomSource& random, const FindAttempt& find);

  // Whether the host responded so recently that it is not down, even if a connection to it failed. Without
  // this check, connection failures across the fleet would eject hosts that serve most of their requests and
  // overload the rest. A process that has died stops responding and is ejected shortly afterwards.
  static bool isResponsive(const Host& host, Time now) {
    return host.health.lastResponseAt > Time{} && now - host.health.lastResponseAt < kMinSilence;
  }

  // Whether a request may serve as the trial of a host after its ejection. Every gateway runs its own trials,
  // and a host that fails immediately would cost one non-idempotent request per gateway and trial. So for the
  // first seconds trials are reserved for idempotent requests, if any arrive.
  bool mayServeAsTrial(const Host& host, Idempotency idempotency, Time now) const {
    const bool reservedForIdempotent =
        now - lastIdempotentAt_ < kFirstEjection && now < host.health.ejectedUntil + kIdempotentTrialSpan;
    return host.inFlight.count == 0 && (!reservedForIdempotent || idempotency == Idempotency::idempotent);
  }

  void onArrival(Time now, Idempotency idempotency) {
    if (idempotency == Idempotency::idempotent) lastIdempotentAt_ = now;
  }

  static void onHostStarted(Host& host);

 private:
  void eject(Time now, Host& host, const char* reason, RandomSource& random);
  void ejectOutliers(Time now, std::size_t unhealthy, double peerFailureRate, RandomSource& random);
  void endEjection(Time now, Host& host) const;
  Duration silenceLimit(const Host& host) const;
  static double lowerQuartileFailureRate(std::vector<double>& failureRates);

  static constexpr Duration kFirstEjection = std::chrono::seconds(1);  // doubled for each consecutive one
  static constexpr Duration kIdempotentTrialSpan = std::chrono::seconds(4);

  HostRegistry& hosts_;
  const FleetShape& shape_;
  const TrafficStatistics& traffic_;
  ActionQueue& actions_;
  Time lastIdempotentAt_{Duration::min() / 2};
};

template <class FindAttempt>
void OutlierDetector::sweep(Time now, RandomSource& random, const FindAttempt& find) {
  std::vector<double> failureRates;
  std::size_t unhealthy = 0;
  for (const HostId id : hosts_.active()) {
    Host& host = hosts_[id];
    endEjection(now, host);
    if (host.health.state != HealthState::healthy) ++unhealthy;
    failureRates.push_back(host.health.failureRate);
    // A paused or lost host would accumulate requests until they time out.
    std::deque<RequestId>& sent = host.inFlight.sentRequests;
    while (!sent.empty() && !find(sent.front(), id)) sent.pop_front();
    host.health.unresponsive =
        !sent.empty() &&
        now - std::max(host.health.lastResponseAt, find(sent.front(), id)->sentAt) > silenceLimit(host);
  }
  ejectOutliers(now, unhealthy, lowerQuartileFailureRate(failureRates), random);
}

}  // namespace finchstile::load_balancing
