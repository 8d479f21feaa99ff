// Slow start: limits the attempts sent to a warming host. All gateways together must not overload it, so each
// keeps to a share derived from the recent throughput of warm hosts of the machine type, the age of the
// host's process and the number of gateways. Rejected attempts count too, since they cost the host work.
//
// A gateway of a small cluster has a token bucket for each warming host. With a thousand gateways, each would
// claim at least one attempt per window. So in a large cluster a gateway offers each of its attempts to one
// randomly chosen host, and a warming host takes it with a small probability.
#pragma once

#include <cstdint>

#include "policy/duration_math.hpp"
#include "policy/fleet_shape.hpp"
#include "policy/host_registry.hpp"
#include "policy/traffic_statistics.hpp"

namespace finchstile::load_balancing {

class SlowStart {
 public:
  // Target load of a warming host, as a fraction of the load that makes it collapse.
  static constexpr double kCollapseFraction = 0.45;

  // All must outlive this.
  SlowStart(const Settings& settings, const FleetShape& shape, const TrafficStatistics& traffic)
      : settings_(settings), shape_(shape), traffic_(traffic) {}

  bool isWarmingUp(const Host& host, Time now) const {
    return host.entry.startedAt > Time{} && now - host.entry.startedAt < settings_.warmUpTime;
  }

  // Capacity of the host as a fraction of a warm host's capacity; linear in its age.
  double capacityFraction(const Host& host, Time now) const {
    if (!isWarmingUp(host, now)) return 1;
    return settings_.initialCapacityFraction + (1 - settings_.initialCapacityFraction) *
                                                   toSeconds(now - host.entry.startedAt) /
                                                   toSeconds(settings_.warmUpTime);
  }

  // Whether the host may be sent an attempt. A warming host needs a token in its bucket; in a large cluster
  // it is never chosen this way (see `offerProbability`). Refills the bucket.
  bool hasCapacity(Host& host, const HostRegistry& hosts, Time now) const {
    return !isWarmingUp(host, now) || (!shape_.isLargeCluster() && fillBucket(host, hosts, now));
  }
  void onSend(Host& host, Time now) const;

  // The probability that a randomly chosen warming host takes an attempt in a large cluster. `share` scales
  // its load relative to an even share of the pool's load. The sum over all gateways keeps to that share at
  // any traffic: multiplying by the fraction of attempts that are served excludes the retries of an overload.
  double offerProbability(const Host& host, const HostRegistry& hosts, double share, Time now) const;

  // Updates the recent peak rate of a warm host of each machine type. The peak decays slowly: in a deploy of
  // nearly all hosts the last warm ones are overloaded, and their falling rates would starve the warming
  // hosts.
  void sweepMachineTypes(HostRegistry& hosts, Time now) const;

  static void onHostStarted(Host& host, Time now) { host.slowStart = {1, now}; }

 private:
  bool fillBucket(Host& host, const HostRegistry& hosts, Time now) const;

  const Settings& settings_;
  const FleetShape& shape_;
  const TrafficStatistics& traffic_;
};

}  // namespace finchstile::load_balancing
