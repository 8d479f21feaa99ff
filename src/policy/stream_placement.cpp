#include "policy/stream_placement.hpp"

#include <algorithm>

#include "policy/duration_math.hpp"

namespace finchstile::load_balancing {
namespace {

constexpr Duration kBurstSpan = std::chrono::milliseconds(250);  // of a host's rate that may begin at once

// Weight of a host in the draw: 1 for one with the mean number of streams, one more for each stream fewer.
// These bounds even out what chance does, and do not send one empty host all that comes.
constexpr double kMinWeight = 0.25;
constexpr double kMaxWeight = 4;
// Where a rate guards the hosts it bounds the draw too, and an empty host would stay behind for long.
constexpr double kMinRateLimitedWeight = 0.02;
constexpr double kMaxRateLimitedWeight = 16;

}  // namespace

bool StreamPlacement::hasCapacity(Host& host, double capacityFraction, Time startedAt, Time now) const {
  HostStreams& streams = host.streams;
  const double part = capacityFraction / settings_.gatewayCount;
  if (settings_.maxStreamsPerHost > 0 &&
      static_cast<double>(streams.count) >= std::max(1.0, settings_.maxStreamsPerHost * part))
    return false;
  if (!limitsRate()) return true;
  const double rate = settings_.hostStreamRate * part;
  streams.tokens = std::min(streams.tokens + rate * toSeconds(now - std::max(streams.filledAt, startedAt)),
                            std::max(1.0, rate * toSeconds(kBurstSpan)));
  streams.filledAt = now;
  return streams.tokens >= 1;
}

HostId StreamPlacement::choose(const HostRegistry& hosts, const std::vector<HostId>& candidates,
                               RandomSource& random) const {
  const double minWeight = limitsRate() ? kMinRateLimitedWeight : kMinWeight;
  const double maxWeight = limitsRate() ? kMaxRateLimitedWeight : kMaxWeight;
  double all = 0;
  for (const HostId id : candidates) all += static_cast<double>(hosts[id].streams.count);
  double weightSum = 0;
  HostId chosen = kNone;
  for (const HostId id : candidates) {
    const double fewerThanMean =
        all / static_cast<double>(candidates.size()) - static_cast<double>(hosts[id].streams.count);
    const double weight = std::clamp(1 + fewerThanMean, minWeight, maxWeight);
    weightSum += weight;
    if (random.unit() * weightSum < weight) chosen = id;
  }
  return chosen;
}

}  // namespace finchstile::load_balancing
