// Counts the attempts of this gateway that are in flight at each host.
#pragma once

#include <cstddef>
#include <utility>
#include <vector>

#include "policy/active_request.hpp"
#include "policy/host_registry.hpp"

namespace finchstile::load_balancing {

class InFlightTracker {
 public:
  // Counts the attempt as in flight at its host.
  void begin(HostRegistry& hosts, RequestId request, Attempt& attempt) {
    HostInFlight& inFlight = hosts[attempt.host].inFlight;
    attempt.isInFlight = true;
    inFlight.sentRequests.push_back(request);
    if (++inFlight.count > 1) return;
    inFlight.busyIndex = busyHosts_.size();
    busyHosts_.push_back(attempt.host);
  }

  // Stops counting the attempt. A second call does nothing.
  void end(HostRegistry& hosts, Attempt& attempt) {
    HostInFlight& inFlight = hosts[attempt.host].inFlight;
    if (!std::exchange(attempt.isInFlight, false) || --inFlight.count > 0) return;
    hosts[busyHosts_.back()].inFlight.busyIndex = inFlight.busyIndex;
    busyHosts_[inFlight.busyIndex] = busyHosts_.back();
    busyHosts_.pop_back();
  }

  // Hosts with at least one attempt in flight, in no particular order.
  const std::vector<HostId>& busyHosts() const { return busyHosts_; }

 private:
  std::vector<HostId> busyHosts_;
};

}  // namespace finchstile::load_balancing
