// Decides whether a request may use hosts of other zones although the local zone could serve it. No I/O; the
// time is passed in.
//
// The budget is a bucket of bytes that fills at the configured rate, up to one window's worth. A request asks
// once, when it arrives. Its bytes are charged when they are known, which is later, so the balance may become
// negative, by one window's worth at most; nothing is allowed before that is paid back. Over any time T the
// bytes that are charged to allowed requests are therefore at most rate * (T + 2 * window). Traffic that
// crosses because requests would fail otherwise is charged too.
//
// A request of priority weight w is allowed while
//   balance / capacity > reserveFraction * (1 - w / maxPriorityWeight),
// so that requests of the highest weight may use all of the budget and those of the lowest leave the reserve.
#pragma once

#include "cross_zone/settings.hpp"
#include "finchstile/load_balancer.hpp"

namespace finchstile::cross_zone {

using load_balancing::Time;

class CrossZoneBudget {
 public:
  // `maxPriorityWeight`: of all classes. If it is not above 0, all requests are treated alike. The budget
  // starts full.
  CrossZoneBudget(const CrossZoneSettings& settings, double maxPriorityWeight, Time now);

  bool allows(Time now, double priorityWeight);
  void charge(Time now, double bytes);

  // The balance as a fraction of the capacity, -1 to 1; 0 without a capacity.
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
