// Counts the attempts that each host holds for this gateway. Nothing is decided here.
#pragma once

#include <cstddef>
#include <utility>
#include <vector>

#include "policy/active_request.hpp"
#include "policy/host_registry.hpp"

namespace finchstile::load_balancing {

class InFlightTracker {
 public:
  // The attempt's host begins to hold it.
  void begin(HostRegistry& hosts, RequestId request, Attempt& attempt) {
    HostInFlight& inFlight = hosts[attempt.host].inFlight;
    attempt.isInFlight = true;
    inFlight.sentRequests.push_back(request);
    if (++inFlight.count > 1) return;
    inFlight.busyIndex = busyHosts_.size();
    busyHosts_.push_back(attempt.host);
  }

  // The attempt's host holds it no longer. A second call does nothing.
  void end(HostRegistry& hosts, Attempt& attempt) {
    HostInFlight& inFlight = hosts[attempt.host].inFlight;
    if (!std::exchange(attempt.isInFlight, false) || --inFlight.count > 0) return;
    hosts[busyHosts_.back()].inFlight.busyIndex = inFlight.busyIndex;
    busyHosts_[inFlight.busyIndex] = busyHosts_.back();
    busyHosts_.pop_back();
  }

  // Hosts that hold at least one attempt, in no particular order.
  const std::vector<HostId>& busyHosts() const { return busyHosts_; }

 private:
  std::vector<HostId> busyHosts_;
};

}  // namespace finchstile::load_balancing
