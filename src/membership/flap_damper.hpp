// Route flap damping for hosts, after RFC 2439: a host that leaves the list too often is suppressed until its
// decayed count of departures has fallen to half of the limit. No I/O; the clock is passed in.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <utility>

#include "membership/host_phase.hpp"

namespace finchstile::membership {

// The departures of one host. Kept by its owner, changed by the damper alone.
struct FlapState {
  double count = 0;  // as of `updatedAt`; it decays from there
  Time updatedAt{};
  bool suppressed = false;
};

class FlapDamper {
 public:
  // A host is suppressed at `maxFlaps` departures, of which half are forgotten in each `halfLife`.
  FlapDamper(double maxFlaps, Duration halfLife) : maxFlaps_(maxFlaps), halfLife_(halfLife) {}

  // The host has left the list. True if it is suppressed from now on and was not before.
  bool onDeparture(const std::string& host, FlapState& state, Time now);
  // When `takeReleasable` has a host; empty: none is suppressed.
  std::optional<Time> nextRelease() const;
  // A host whose suppression may end by now. The caller passes its state to `release`.
  std::optional<std::string> takeReleasable(Time now);
  void release(FlapState& state, Time now) const;
  double currentCount(const FlapState& state, Time now) const;

 private:
  Time releaseTime(const FlapState& state) const;

  double maxFlaps_;
  Duration halfLife_;
  std::set<std::pair<Time, std::string>> releases_;  // by time
};

}  // namespace finchstile::membership
