#include "policy/stream_placement.hpp"

#include <algorithm>

#include "policy/duration_math.hpp"

namespace finchstile::load_balancing {
namespace {

// Burst of new streams, as the time over which the rate may accumulate.
constexpr Duration kBurstWindow = std::chrono::milliseconds(250);

// Bounds of a host's weight in the draw, which is 1 at the mean number of streams and increases by 1 for each
// stream fewer. They are wide enough to even out random differences, and narrow enough that one empty host
// does not receive all new streams.
constexpr double kMinWeight = 0.25;
constexpr double kMaxWeight = 4;
// Wider bounds if a rate limit protects the hosts; with the narrow ones an empty host would lag behind for
// long.
constexpr double kMinRateLimitedWeight = 0.02;
constexpr double kMaxRateLimitedWeight = 16;

}  // namespace

bool StreamPlacement::hasCapacity(Host& host, double capacityFraction, Time startedAt, Time now) const {
  HostStreams& streams = host.streams;
  const double gatewayShare = capacityFraction / settings_.gatewayCount;
  if (settings_.maxStreamsPerHost > 0 &&
      static_cast<double>(streams.count) >= std::max(1.0, settings_.maxStreamsPerHost * gatewayShare))
    return false;
  if (!limitsRate()) return true;
  const double rate = settings_.hostStreamRate * gatewayShare;
  streams.tokens = std::min(streams.tokens + rate * toSeconds(now - std::max(streams.filledAt, startedAt)),
                            std::max(1.0, rate * toSeconds(kBurstWindow)));
  streams.filledAt = now;
  return streams.tokens >= 1;
}

HostId StreamPlacement::choose(const HostRegistry& hosts, const std::vector<HostId>& candidates,
                               RandomSource& random) const {
  const double minWeight = limitsRate() ? kMinRateLimitedWeight : kMinWeight;
  const double maxWeight = limitsRate() ? kMaxRateLimitedWeight : kMaxWeight;
  double streamSum = 0;
  for (const HostId id : candidates) streamSum += static_cast<double>(hosts[id].streams.count);
  double weightSum = 0;
  HostId chosen = kNone;
  for (const HostId id : candidates) {
    const double belowMean =
        streamSum / static_cast<double>(candidates.size()) - static_cast<double>(hosts[id].streams.count);
    const double weight = std::clamp(1 + belowMean, minWeight, maxWeight);
    weightSum += weight;
    if (random.unit() * weightSum < weight) chosen = id;
  }
  return chosen;
}

}  // namespace finchstile::load_balancing
