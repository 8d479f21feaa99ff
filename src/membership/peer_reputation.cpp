#include "membership/peer_reputation.hpp"

#include <algorithm>

namespace finchstile::membership {
namespace {

constexpr double kMinRecoverySeconds = 1e-3;  // avoids a division by zero

}  // namespace

PeerReputation::PeerReputation(double maxPoints, Duration recoveryInterval, Time now)
    : maxPoints_(maxPoints), recoveryInterval_(recoveryInterval), points_(maxPoints), updatedAt_(now) {}

void PeerReputation::recover(Time now) {
  const double recovered =
      toSeconds(now - updatedAt_) / std::max(toSeconds(recoveryInterval_), kMinRecoverySeconds);
  points_ = std::min(maxPoints_, points_ + recovered);
  updatedAt_ = now;
}

void PeerReputation::penalize(Time now) {
  recover(now);
  points_ = std::max(0.0, points_ - 1);
}

}  // namespace finchstile::membership
