#include "configuration/control_plane_endpoints.hpp"

#include <algorithm>
#include <numeric>

#include "base/siphash.hpp"

namespace finchstile::configuration {
namespace {

constexpr int kMaxDoublings = 16;

Duration scaled(Duration duration, double factor) {
  return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

std::uint64_t rendezvousHash(const std::string& address, const std::string& gatewayName) {
  SipHasher hasher(SipKey{});
  hasher.add(address).add(gatewayName);
  return hasher.finalize().low;
}

}  // namespace

ControlPlaneEndpoints::ControlPlaneEndpoints(const std::vector<std::string>& addresses,
                                             const std::string& gatewayName, const BackoffSettings& settings)
    : settings_(settings), preferenceOrder_(addresses.size()), states_(addresses.size()) {
  std::iota(preferenceOrder_.begin(), preferenceOrder_.end(), std::size_t{0});
  std::stable_sort(preferenceOrder_.begin(), preferenceOrder_.end(), [&](std::size_t a, std::size_t b) {
    return rendezvousHash(addresses[a], gatewayName) > rendezvousHash(addresses[b], gatewayName);
  });
  lastPolled_ = preferenceOrder_.front();
}

ControlPlaneEndpoints::Choice ControlPlaneEndpoints::choose(Time now, double randomFraction) const {
  const auto available =
      std::find_if(preferenceOrder_.begin(), preferenceOrder_.end(),
                   [&](std::size_t endpoint) { return states_[endpoint].notBefore <= now; });
  if (available != preferenceOrder_.end()) {
    const bool isFailover = *available != lastPolled_;
    const Duration delay = isFailover ? scaled(settings_.maxFailoverDelay, randomFraction) : Duration{};
    return {*available, now + delay};
  }
  const auto soonest = std::min_element(
      preferenceOrder_.begin(), preferenceOrder_.end(),
      [&](std::size_t a, std::size_t b) { return states_[a].notBefore < states_[b].notBefore; });
  return {*soonest, states_[*soonest].notBefore};
}

void ControlPlaneEndpoints::onFailure(std::size_t endpoint, Time now, double randomFraction) {
  EndpointState& state = states_[endpoint];
  state.consecutiveFailures = std::min(state.consecutiveFailures + 1, kMaxDoublings);
  ++failureCount_;
  const Duration doubled = settings_.minBackoff * (1 << state.consecutiveFailures);
  const Duration maxJitter = std::min(doubled, settings_.maxBackoff);
  state.notBefore = now + settings_.minBackoff + scaled(maxJitter, randomFraction);
}

void ControlPlaneEndpoints::onRetryAfter(std::size_t endpoint, Time now, Duration retryAfter,
                                         double randomFraction) {
  const Duration bounded = std::clamp(retryAfter, Duration{}, settings_.maxBackoff);
  states_[endpoint].notBefore = now + scaled(bounded, 1 + randomFraction);
}

}  // namespace finchstile::configuration
