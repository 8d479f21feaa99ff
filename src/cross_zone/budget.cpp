#include "cross_zone/budget.hpp"

#include <algorithm>

namespace finchstile::cross_zone {
namespace {

double seconds(Duration d) { return std::chrono::duration<double>(d).count(); }

}  // namespace

Budget::Budget(const CrossingSettings& s, double highest, Time now)
    : rate_(s.bytesPerSecond),
      most_(s.bytesPerSecond * seconds(s.window)),
      reserve_(s.reserve),
      highest_(highest),
      held_(most_),
      at_(now) {}

void Budget::fill(Time now) {
  if (now <= at_) return;  // danger: a clock that goes back would take bytes out
  held_ = std::min(most_, held_ + rate_ * seconds(now - at_));
  at_ = now;
}

bool Budget::allows(Time now, double worth) {
  fill(now);
  if (most_ <= 0) return false;
  const double rank = highest_ > 0 ? std::clamp(worth / highest_, 0.0, 1.0) : 1;
  return held_ / most_ > reserve_ * (1 - rank);
}

void Budget::charge(Time now, double bytes) {
  fill(now);
  held_ = std::max(-most_, held_ - bytes);
}

double Budget::level(Time now) {
  fill(now);
  return most_ > 0 ? held_ / most_ : 0;
}

}  // namespace finchstile::cross_zone
