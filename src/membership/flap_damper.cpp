#include "membership/flap_damper.hpp"

#include <algorithm>
#include <cmath>

namespace finchstile::membership {
namespace {

constexpr double kMinHalfLifeSeconds = 1e-3;  // avoids a division by zero

}  // namespace

bool FlapDamper::onDeparture(const std::string& host, FlapState& state, Time now) {
  state.count = currentCount(state, now) + 1;
  // Computed from the new count and the old `updatedAt`, this time seldom equals the scheduled one. The
  // earlier entry then stays in `releases_`, and the host is released at the earlier of the two times.
  if (state.suppressed) releases_.erase({releaseTime(state), host});
  state.updatedAt = now;
  if (state.count < maxFlaps_ && !state.suppressed) return false;
  const bool wasSuppressed = std::exchange(state.suppressed, true);
  releases_.emplace(releaseTime(state), host);
  return !wasSuppressed;
}

std::optional<Time> FlapDamper::nextRelease() const {
  if (releases_.empty()) return std::nullopt;
  return releases_.begin()->first;
}

std::optional<std::string> FlapDamper::takeReleasable(Time now) {
  if (releases_.empty() || releases_.begin()->first > now) return std::nullopt;
  std::string host = releases_.begin()->second;
  releases_.erase(releases_.begin());
  return host;
}

void FlapDamper::release(FlapState& state, Time now) const {
  state.suppressed = false;
  state.count = currentCount(state, now);
  state.updatedAt = now;
}

double FlapDamper::currentCount(const FlapState& state, Time now) const {
  const double halfLives =
      toSeconds(now - state.updatedAt) / std::max(toSeconds(halfLife_), kMinHalfLifeSeconds);
  return state.count * std::exp2(-halfLives);
}

Time FlapDamper::releaseTime(const FlapState& state) const {
  const double halfLives = std::max(0.0, std::log2(state.count / (maxFlaps_ / 2)));
  return state.updatedAt +
         std::chrono::duration_cast<Duration>(halfLives * std::chrono::duration<double>(halfLife_));
}

}  // namespace finchstile::membership
