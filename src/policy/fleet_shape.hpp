// Selects rules by the number of gateways relative to the number of hosts. A gateway of a small cluster sees
// most of the load of a host; one among hundreds sees almost none of it.
#pragma once

#include <algorithm>
#include <cstddef>

#include "policy/host_registry.hpp"

namespace finchstile::load_balancing {

class FleetShape {
 public:
  // Both must outlive this.
  FleetShape(const Settings& settings, const HostRegistry& hosts) : settings_(settings), hosts_(hosts) {}

  // If so, the gateway's own in-flight counts and rates say little about the load of a host.
  bool gatewaysOutnumberHosts() const { return settings_.gatewayCount > hosts_.active().size(); }

  // Whether there are too many gateways for each of them to use every host: more than there are hosts, or
  // more than kLargeClusterGateways.
  bool isLargeCluster() const {
    return settings_.gatewayCount > std::min(hosts_.active().size(), kLargeClusterGateways);
  }

  // Whether load probing replaces the gateway's own in-flight counts.
  bool probesLoad() const {
    return gatewaysOutnumberHosts() && (settings_.probingEnabled || settings_.peerMessagesEnabled);
  }

  // Whether each gateway uses a subset of the hosts. If every gateway of a large cluster used every host,
  // connections would carry only one or two requests each and exhaust the connection limits of the hosts.
  // Load probing makes subsets unnecessary, since it compares few hosts per attempt.
  bool usesSubsets() const { return isLargeCluster() && !probesLoad(); }

  // Whether attempts and outcomes are reported to the gateway that tracks the host's group.
  bool usesGroupTrackers() const {
    return gatewaysOutnumberHosts() && settings_.peerMessagesEnabled && !settings_.probingEnabled;
  }

 private:
  static constexpr std::size_t kLargeClusterGateways = 32;
  const Settings& settings_;
  const HostRegistry& hosts_;
};

}  // namespace finchstile::load_balancing
