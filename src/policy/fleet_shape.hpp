// Decides which rules apply for the number of gateways beside the number of hosts. A gateway of a small bank
// sees most of what a host carries; one among hundreds sees next to nothing of it.
#pragma once

#include <algorithm>
#include <cstddef>

#include "policy/host_registry.hpp"

namespace finchstile::load_balancing {

class FleetShape {
 public:
  // Both must outlive this.
  FleetShape(const Settings& settings, const HostRegistry& hosts) : settings_(settings), hosts_(hosts) {}

  // Own in-flight counts and rates then say next to nothing of what a host carries.
  bool gatewaysOutnumberHosts() const { return settings_.gatewayCount > hosts_.active().size(); }

  // Not every gateway is to meet every host: there are more gateways than hosts, or than kLargeBankGateways.
  bool isLargeBank() const {
    return settings_.gatewayCount > std::min(hosts_.active().size(), kLargeBankGateways);
  }

  // Load probing stands in for the own in-flight counts.
  bool probesLoad() const {
    return gatewaysOutnumberHosts() && (settings_.probingEnabled || settings_.peerMessagesEnabled);
  }

  // Each gateway keeps to a subset of the hosts. Where every gateway of a large bank met every host,
  // connections would carry a request or two and fill the hosts' tables. Where load probing compares hosts it
  // does the work of a subset.
  bool usesSubsets() const { return isLargeBank() && !probesLoad(); }

  // Attempts and outcomes are reported to the gateway that tracks the host's group.
  bool usesGroupTrackers() const {
    return gatewaysOutnumberHosts() && settings_.peerMessagesEnabled && !settings_.probingEnabled;
  }

 private:
  static constexpr std::size_t kLargeBankGateways = 32;
  const Settings& settings_;
  const HostRegistry& hosts_;
};

}  // namespace finchstile::load_balancing
