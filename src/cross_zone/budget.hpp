// What may cross between zones. No I/O, no clock of its own.
//
// A bucket of bytes fills at the rate that is set, up to one window's worth. Whether a request may cross as
// it likes is asked once, when it arrives; what it took is charged when it is known, which is later: the
// bucket may go below zero, by one window's worth at the most, and pays that back before anybody may again.
// So over any time T the bytes charged while it said yes are at most rate x (T + 2 windows), whatever the
// sizes were; what crosses because service would fall without it is charged alike, and beyond the debt it is
// counted only.
//
// Worth: of a bucket filled to the part f, a request of worth w may take if f > reserve x (1 - w / highest).
// The worthiest may use it up, the cheapest leave the reserve.
#pragma once

#include "cross_zone/settings.hpp"
#include "finchstile/load_balancer.hpp"

namespace finchstile::cross_zone {

using load_balancing::Time;

class Budget {
 public:
  // `highest`: worth of the worthiest class; not above 0: all are alike.
  Budget(const CrossingSettings& settings, double highest, Time now);

  bool allows(Time now, double worth);
  void charge(Time now, double bytes);
  // Of the bucket, -1 to 1.
  double level(Time now);

 private:
  void fill(Time now);

  double rate_, most_, reserve_, highest_;
  double held_;
  Time at_;
};

}  // namespace finchstile::cross_zone
