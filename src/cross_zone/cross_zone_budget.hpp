// Decides whether a request may use hosts of other zones although the local zone could serve it. No I/O; the
// time is passed in.
//
// The budget is a token bucket of bytes. It refills at the configured rate, and its capacity is the bytes of
// one window at that rate. A request is checked once, when it arrives. Its bytes are charged later, when they
// are known, so the balance may become negative, down to minus the capacity; no request is allowed until the
// balance is positive again. Over any time T the bytes charged to allowed requests are therefore at most
// rate * (T + 2 * window). Requests that cross zones because they would fail otherwise are charged too.
//
// A request of priority weight w is allowed while
//   balance / capacity > reserveFraction * (1 - w / maxPriorityWeight).
// Requests of the highest weight may use the whole budget; the lower the weight, the more of the reserve is
// left untouched.
#pragma once

#include "cross_zone/settings.hpp"
#include "finchstile/load_balancer.hpp"

namespace finchstile::cross_zone {

using load_balancing::Time;

class CrossZoneBudget {
 public:
  // `maxPriorityWeight`: the highest of all classes. If it is 0 or less, all requests may use the whole
  // budget. The budget starts full.
  CrossZoneBudget(const CrossZoneSettings& settings, double maxPriorityWeight, Time now);

  // Whether a request of this weight may use hosts of other zones. Charges nothing.
  bool allows(Time now, double priorityWeight);
  void charge(Time now, double bytes);

  // The balance as a fraction of the capacity, -1 to 1; 0 if the capacity is 0.
  double balanceFraction(Time now);

 private:
  void refill(Time now);

  const double bytesPerSecond_;
  const double capacityBytes_;
  const double reserveFraction_;
  const double maxPriorityWeight_;
  double balanceBytes_;
  Time refilledAt_;
};

}  // namespace finchstile::cross_zone
