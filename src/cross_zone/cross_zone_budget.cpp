#include "cross_zone/cross_zone_budget.hpp"

#include <algorithm>

namespace finchstile::cross_zone {
namespace {

double toSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

}  // namespace

CrossZoneBudget::CrossZoneBudget(const CrossZoneSettings& settings, double maxPriorityWeight, Time now)
    : bytesPerSecond_(settings.bytesPerSecond),
      capacityBytes_(settings.bytesPerSecond * toSeconds(settings.window)),
      reserveFraction_(settings.reserveFraction),
      maxPriorityWeight_(maxPriorityWeight),
      balanceBytes_(capacityBytes_),
      refilledAt_(now) {}

void CrossZoneBudget::refill(Time now) {
  if (now <= refilledAt_) return;  // a clock that steps back must not drain the bucket
  balanceBytes_ = std::min(capacityBytes_, balanceBytes_ + bytesPerSecond_ * toSeconds(now - refilledAt_));
  refilledAt_ = now;
}

bool CrossZoneBudget::allows(Time now, double priorityWeight) {
  refill(now);
  if (capacityBytes_ <= 0) return false;
  const double rank = maxPriorityWeight_ > 0 ? std::clamp(priorityWeight / maxPriorityWeight_, 0.0, 1.0) : 1;
  return balanceBytes_ / capacityBytes_ > reserveFraction_ * (1 - rank);
}

void CrossZoneBudget::charge(Time now, double bytes) {
  refill(now);
  balanceBytes_ = std::max(-capacityBytes_, balanceBytes_ - bytes);
}

double CrossZoneBudget::balanceFraction(Time now) {
  refill(now);
  return capacityBytes_ > 0 ? balanceBytes_ / capacityBytes_ : 0;
}

}  // namespace finchstile::cross_zone
