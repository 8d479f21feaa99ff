// Decides what a warming host may take. All gateways together must not push it over, so each keeps to its own
// part, from what warm hosts of the machine type lately carried, the age of the host's process and the size
// of the bank. Rejected attempts count too: they cost the host work.
//
// A gateway of a small bank has a token bucket for each warming host. Among a thousand gateways each would
// claim at least one attempt in every window; there a gateway offers each of its attempts to one drawn host,
// and a warming one takes it with a small probability.
#pragma once

#include <cstdint>

#include "policy/duration_math.hpp"
#include "policy/fleet_shape.hpp"
#include "policy/host_registry.hpp"
#include "policy/traffic_statistics.hpp"

namespace finchstile::load_balancing {

class SlowStart {
 public:
  // Load of a warming host, as a fraction of the load that makes it collapse.
  static constexpr double kCollapseFraction = 0.45;

  // All must outlive this.
  SlowStart(const Settings& settings, const FleetShape& shape, const TrafficStatistics& traffic)
      : settings_(settings), shape_(shape), traffic_(traffic) {}

  bool isWarmingUp(const Host& host, Time now) const {
    return host.entry.startedAt > Time{} && now - host.entry.startedAt < settings_.warmUpTime;
  }

  // What the host can carry, as a fraction of a warm host's capacity: linear in its age.
  double capacityFraction(const Host& host, Time now) const {
    if (!isWarmingUp(host, now)) return 1;
    return settings_.initialCapacityFraction + (1 - settings_.initialCapacityFraction) *
                                                   toSeconds(now - host.entry.startedAt) /
                                                   toSeconds(settings_.warmUpTime);
  }

  // Whether the host may take an attempt from the token bucket; always if it is warm, and never in a large
  // bank if it is not (see `offerProbability`). Fills the bucket.
  bool hasCapacity(Host& host, const HostRegistry& hosts, Time now) const {
    return !isWarmingUp(host, now) || (!shape_.isLargeBank() && fillBucket(host, hosts, now));
  }
  void onSend(Host& host, Time now) const;

  // The probability that a drawn warming host takes an attempt in a large bank. `share` is its part of an
  // even share of the pool's work. The sum over all gateways keeps to that part whatever they carry: the
  // fraction of attempts that are served takes out what an overload sends again and again.
  double offerProbability(const Host& host, const HostRegistry& hosts, double share, Time now) const;

  // Renews what a warm host of each machine type has lately carried. It decays slowly: in a deploy of nearly
  // all hosts the last warm ones are overloaded, and their sinking rates would starve the warming ones.
  void sweepMachineTypes(HostRegistry& hosts, Time now) const;

  static void onHostStarted(Host& host, Time now) { host.slowStart = {1, now}; }

 private:
  bool fillBucket(Host& host, const HostRegistry& hosts, Time now) const;

  const Settings& settings_;
  const FleetShape& shape_;
  const TrafficStatistics& traffic_;
};

}  // namespace finchstile::load_balancing
