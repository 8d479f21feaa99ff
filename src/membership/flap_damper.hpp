// Route flap damping (RFC 2439) for hosts: a host that leaves the endpoint list too often is suppressed until
// its exponentially decayed departure count has fallen to half of the limit. No I/O; the caller passes the
// current time.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <utility>

#include "membership/host_phase.hpp"

namespace finchstile::membership {

// Departure count of one host. Owned by the caller; only FlapDamper modifies it.
struct FlapState {
  double count = 0;  // value at `updatedAt`; decays exponentially from then on
  Time updatedAt{};
  bool suppressed = false;
};

class FlapDamper {
 public:
  // A host is suppressed when its departure count reaches `maxFlaps`. The count halves every `halfLife`.
  FlapDamper(double maxFlaps, Duration halfLife) : maxFlaps_(maxFlaps), halfLife_(halfLife) {}

  // Records that the host has left the list. Returns true if this departure starts a suppression.
  bool onDeparture(const std::string& host, FlapState& state, Time now);
  // The earliest time at which a suppression ends; empty if no host is suppressed.
  std::optional<Time> nextRelease() const;
  // Removes and returns a host whose suppression has ended; empty if there is none. The caller must pass the
  // state of that host to `release`.
  std::optional<std::string> takeReleasable(Time now);
  void release(FlapState& state, Time now) const;
  double currentCount(const FlapState& state, Time now) const;

 private:
  Time releaseTime(const FlapState& state) const;

  double maxFlaps_;
  Duration halfLife_;
  std::set<std::pair<Time, std::string>> releases_;  // earliest first
};

}  // namespace finchstile::membership
