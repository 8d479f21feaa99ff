// Decides which hosts are unhealthy: suspects hosts that fall silent, ejects those that fail more than their
// peers, tries ejected ones with real requests and returns them. Inputs are outcomes of attempts, own ones
// and those that other gateways report to the tracker of a host's group.
//
// A host is judged against the better quarter of its peers, and at most half of the pool is unhealthy, so a
// fault of the whole pool ejects nobody.
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
  // Time within which any healthy host under load shows life; short pauses are normal.
  static constexpr Duration kMinSilence = std::chrono::milliseconds(150);

  // All must outlive this.
  OutlierDetector(HostRegistry& hosts, const FleetShape& shape, const TrafficStatistics& traffic,
                  ActionQueue& actions)
      : hosts_(hosts), shape_(shape), traffic_(traffic), actions_(actions) {}

  // `firstHand`: the attempt was this gateway's own. Time-outs that others report are not counted: in an
  // overload a tracker would eject its whole group. Draws once if the host is ejected.
  void onOutcome(Time now, Host& host, Outcome outcome, bool firstHand, RandomSource& random);

  // Begins trials, renews the suspicion of silence, and ejects outliers. Draws once for each ejection. `find`
  // returns the attempt of a request that a host holds, or null.
  template <class FindAttempt>
  void sweep(Time now, RandomSource& random, const FindAttempt& find);

  // The host has shown life so lately that it is not down, whatever became of one connection. Where
  // connections break all over the fleet, hosts that do most of their work would be ejected and the rest
  // overloaded; a process that died answers no more and is ejected a moment later.
  static bool isResponsive(const Host& host, Time now) {
    return host.health.lastSeenAlive > Time{} && now - host.health.lastSeenAlive < kMinSilence;
  }

  // Whether a request may serve as the trial of a host after its ejection. Every gateway tries a host on its
  // own, and a host that fails immediately would cost one non-idempotent request for each gateway and trial.
  // So trials are left to idempotent requests for some seconds, while there are any.
  bool mayTry(const Host& host, Idempotency idempotency, Time now) const {
    const bool leftToIdempotent =
        now - lastIdempotentAt_ < kFirstEjection && now < host.health.ejectedUntil + kIdempotentTrialSpan;
    return host.inFlight.count == 0 && (!leftToIdempotent || idempotency == Idempotency::idempotent);
  }

  // A request of this idempotency has come.
  void onArrival(Time now, Idempotency idempotency) {
    if (idempotency == Idempotency::idempotent) lastIdempotentAt_ = now;
  }

  static void onHostStarted(Host& host);

 private:
  void eject(Time now, Host& host, const char* reason, RandomSource& random);
  void ejectOutliers(Time now, std::size_t unhealthy, double peerFailureRate, RandomSource& random);
  void endEjection(Time now, Host& host) const;
  Duration silenceLimit(const Host& host) const;
  static double goodPeersFailureRate(std::vector<double>& failureRates);

  static constexpr Duration kFirstEjection = std::chrono::seconds(1);  // doubled for each one in a row
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
    // A paused or lost host would gather requests until they time out.
    std::deque<RequestId>& sent = host.inFlight.sentRequests;
    while (!sent.empty() && !find(sent.front(), id)) sent.pop_front();
    host.health.unresponsive =
        !sent.empty() &&
        now - std::max(host.health.lastSeenAlive, find(sent.front(), id)->sentAt) > silenceLimit(host);
  }
  ejectOutliers(now, unhealthy, goodPeersFailureRate(failureRates), random);
}

}  // namespace finchstile::load_balancing
