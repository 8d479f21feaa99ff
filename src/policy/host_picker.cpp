#include "policy/host_picker.hpp"

#include <algorithm>
#include <cmath>

#include "policy/capacity_backoff.hpp"
#include "policy/hashing.hpp"
#include "policy/subset.hpp"

namespace finchstile::load_balancing {
namespace {

constexpr std::size_t kMaxCandidates = 24;  // per pick; more would cost CPU time for little gain
// The subset of a gateway has kMaxSubset hosts, or fewer so that a host is in at most about
// kMaxGatewaysPerHost subsets, but enough that it is in at least about kMinGatewaysPerHost.
constexpr std::size_t kMaxSubset = 4;
constexpr double kMinGatewaysPerHost = 6;
constexpr double kMaxGatewaysPerHost = 40;
constexpr double kSubsetHostsPerRequest = 0.5;  // additional hosts per request in flight
// In the draw. A host of another zone that is 1.4 times as fast has the same weight.
constexpr double kLocalZoneWeight = 2;
constexpr std::size_t kAffinityCandidates = 3;  // hosts among which a key's requests are spread
constexpr double kMinRelativeLatency = 0.05;
constexpr double kMinLatencyPower = 0.01;
// Exponent of the relative latency in the weight of a host. In a large cluster the gateway's own in-flight
// counts say little and every host looks idle, so the draw favors fast hosts more strongly.
constexpr int kLatencyExponent = 2;
constexpr int kLargeClusterLatencyExponent = 4;

}  // namespace

void HostPicker::rebuildPreferenceOrder() {
  const std::vector<HostId>& active = inputs_.hosts.active();
  preferenceOrder_ = active;
  baseSubsetSize_ = active.size();
  if (!inputs_.shape.usesSubsets()) return;
  const double hostsPerGateway = static_cast<double>(active.size()) / inputs_.settings.gatewayCount;
  const auto maxSize = static_cast<std::size_t>(std::max(kMaxGatewaysPerHost * hostsPerGateway, 1.0));
  const auto minSize = static_cast<std::size_t>(std::ceil(kMinGatewaysPerHost * hostsPerGateway));
  baseSubsetSize_ = std::max(std::min(kMaxSubset, maxSize), minSize);
  std::vector<std::uint64_t> hashes;
  hashes.reserve(active.size());
  for (const HostId id : active) hashes.push_back(inputs_.hosts[id].hash);
  const auto order =
      subsetOrder(hashes, inputs_.settings.gatewayIndex, inputs_.settings.gatewayCount, baseSubsetSize_);
  for (std::size_t i = 0; i < order.size(); ++i) preferenceOrder_[i] = active[order[i]];
}

HostId HostPicker::pick(const ActiveRequest& request, Time now, RandomSource& random) {
  if (request.isStream) return pickForStream(request, now, random);
  if (const HostId warming = drawWarmingHost(request, 1, now, random); warming != kNone) return warming;
  gatherCandidates(request, Health::required, request.preferLocalZone ? Zone::local : Zone::any, now, random);
  if (request.preferLocalZone && !localZoneHasCapacity(now))
    gatherCandidates(request, Health::required, Zone::any, now, random);
  // Without a usable host, any that the rule on repeats allows is better than none.
  if (candidates_.empty()) gatherCandidates(request, Health::ignored, Zone::any, now, random);
  if (candidates_.empty())
    return drawWarmingHost(request, SlowStart::kCollapseFraction * inputs_.settings.collapseLoadFactor - 1,
                           now, random);
  if (inputs_.settings.keyAffinity && request.hasAffinityKey)
    if (const HostId id = pickByAffinity(request); id != kNone) return id;
  if (const HostId id = drawIdleHost(now, random); id != kNone) return id;
  return pickLessLoadedOfTwo(now, random);
}

HostId HostPicker::pickForStream(const ActiveRequest& request, Time now, RandomSource& random) {
  if (!inputs_.streams.hasGatewayCapacity()) return kNone;
  gatherCandidates(request, Health::required, Zone::any, now, random);
  if (candidates_.empty()) gatherCandidates(request, Health::ignored, Zone::any, now, random);
  const auto isFull = [&](HostId id) { return !hasStreamCapacity(inputs_.hosts[id], now); };
  candidates_.erase(std::remove_if(candidates_.begin(), candidates_.end(), isFull), candidates_.end());
  return inputs_.streams.choose(inputs_.hosts, candidates_, random);
}

// A gateway of a large cluster offers each attempt to one random host of its subset, which takes it with some
// probability if it is warming up (slow_start.hpp).
HostId HostPicker::drawWarmingHost(const ActiveRequest& request, double share, Time now,
                                   RandomSource& random) const {
  if (!inputs_.shape.isLargeCluster() || inputs_.hosts.active().empty()) return kNone;
  const HostId id = preferenceOrder_[random.below(std::min(subsetSize(), preferenceOrder_.size()))];
  const Host& host = inputs_.hosts[id];
  if (!inputs_.slowStart.isWarmingUp(host, now) || !isUsable(request, id, now)) return kNone;
  return random.unit() < inputs_.slowStart.offerProbability(host, inputs_.hosts, share, now) ? id : kNone;
}

// The first idle host in the rendezvous order of the key, which is the same at all gateways. If none of the
// first few is idle, these remain the only candidates.
HostId HostPicker::pickByAffinity(const ActiveRequest& request) {
  const std::size_t count = std::min(kAffinityCandidates, candidates_.size());
  std::partial_sort(candidates_.begin(), candidates_.begin() + static_cast<std::ptrdiff_t>(count),
                    candidates_.end(), [&](HostId a, HostId b) {
                      return mixBits(inputs_.hosts[a].hash ^ request.affinityKey) >
                             mixBits(inputs_.hosts[b].hash ^ request.affinityKey);
                    });
  for (std::size_t i = 0; i < count; ++i)
    if (isIdle(inputs_.hosts[candidates_[i]])) return candidates_[i];
  candidates_.resize(count);
  return kNone;
}

// Draws one random number per idle candidate. The weight of the local zone is only moderately higher: where
// every host looks idle, a strong preference would overload it.
HostId HostPicker::drawIdleHost(Time now, RandomSource& random) const {
  const int exponent = inputs_.shape.isLargeCluster() ? kLargeClusterLatencyExponent : kLatencyExponent;
  double weightSum = 0;
  HostId chosen = kNone;
  for (const HostId id : candidates_) {
    const Host& host = inputs_.hosts[id];
    if (!isIdle(host)) continue;
    const double weight = (host.isLocal ? kLocalZoneWeight : 1) /
                          std::max(std::pow(currentRelativeLatency(host, now), exponent), kMinLatencyPower);
    weightSum += weight;
    if (random.unit() * weightSum < weight) chosen = id;
  }
  return chosen;
}

HostId HostPicker::pickLessLoadedOfTwo(Time now, RandomSource& random) const {
  const HostId a = candidates_[random.below(candidates_.size())];
  const HostId b = candidates_[random.below(candidates_.size())];
  return load(inputs_.hosts[a], now) <= load(inputs_.hosts[b], now) ? a : b;
}

// Starts at a random position of the subset and wraps around, then continues with the hosts after the subset.
// Draws one random number.
void HostPicker::gatherCandidates(const ActiveRequest& request, Health health, Zone zone, Time now,
                                  RandomSource& random) {
  candidates_.clear();
  const std::size_t hostCount = inputs_.hosts.active().size();
  const std::size_t subset = std::min(subsetSize(), hostCount);
  const std::size_t maxCount = std::min(subset, kMaxCandidates);
  const std::size_t start = random.below(subset);
  for (std::size_t i = 0; i < hostCount && candidates_.size() < maxCount; ++i) {
    const HostId id = preferenceOrder_[i < subset ? (start + i) % subset : i];
    Host& host = inputs_.hosts[id];
    if (zone == Zone::local && !host.isLocal) continue;
    const bool isAllowed =
        health == Health::ignored ? inputs_.retries.mayRunOn(request, host, now) : isUsable(request, id, now);
    if (isAllowed && hasCapacity(request, host, now)) candidates_.push_back(id);
  }
}

bool HostPicker::isUsable(const ActiveRequest& request, HostId id, Time now) const {
  const Host& host = inputs_.hosts[id];
  if (CapacityBackoff::isBackingOff(host, now) || host.health.unresponsive) return false;
  if (host.health.state == HealthState::ejected) return false;
  if (host.health.state == HealthState::trial) {
    const ClassSettings& settings = inputs_.traffic.classes()[request.classIndex].settings;
    if (!inputs_.outliers.mayServeAsTrial(host, settings.idempotency, now)) return false;
  }
  return !wasTried(request, id) && inputs_.retries.mayRunOn(request, host, now);
}

bool HostPicker::wasTried(const ActiveRequest& request, HostId id) const {
  for (std::uint32_t i = 0; i < request.attemptCount; ++i)
    if (request.attempts[i].host == id) return true;
  return false;
}

bool HostPicker::hasCapacity(const ActiveRequest& request, Host& host, Time now) const {
  if (!request.isStream) return inputs_.slowStart.hasCapacity(host, inputs_.hosts, now);
  return (inputs_.streams.limitsRate() || inputs_.slowStart.hasCapacity(host, inputs_.hosts, now)) &&
         hasStreamCapacity(host, now);
}

bool HostPicker::hasStreamCapacity(Host& host, Time now) const {
  return inputs_.streams.hasCapacity(host, inputs_.slowStart.capacityFraction(host, now),
                                     inputs_.traffic.startedAt(), now);
}

// Whether one of the candidates, all of the local zone, has fewer requests in flight than an even share of
// the pool's in-flight threshold, or answers so fast that its requests in flight stay within that fraction of
// the objective. Above that, latency would grow.
bool HostPicker::localZoneHasCapacity(Time now) const {
  const double hostCount = static_cast<double>(std::max<std::size_t>(inputs_.hosts.active().size(), 1));
  const double hostShare =
      std::max(1.0, OverloadEstimator::kInFlightThreshold * inputs_.overload.inFlightLimit(now) / hostCount);
  const double seconds = OverloadEstimator::kInFlightThreshold * OverloadEstimator::kMaxObjectiveFraction *
                         inputs_.traffic.meanLatencyObjective();
  return std::any_of(candidates_.begin(), candidates_.end(), [&](HostId id) {
    const Host& host = inputs_.hosts[id];
    return host.inFlight.count + 1 <= std::max(hostShare, seconds * host.traffic.answerRate);
  });
}

// Whether the host has no requests of this gateway in flight; a fast host may have more.
bool HostPicker::isIdle(const Host& host) const {
  return host.inFlight.count < std::max(1.0, inputs_.traffic.medianRelativeLatency() /
                                                 std::max(host.traffic.relativeLatency, kMinRelativeLatency));
}

// The relative latency, scaled by the prediction from the host's last load report.
double HostPicker::currentRelativeLatency(const Host& host, Time now) const {
  return host.traffic.relativeLatency * inputs_.loadReports.latencyFactorAt(host.reportedLoad, now);
}

double HostPicker::load(const Host& host, Time now) const {
  return (host.inFlight.count + 1) * currentRelativeLatency(host, now);
}

// Grows with the requests in flight. Hosts after the subset also replace those of it that are not usable
// (gatherCandidates).
std::size_t HostPicker::subsetSize() const {
  if (!inputs_.shape.usesSubsets()) return baseSubsetSize_;
  return baseSubsetSize_ +
         static_cast<std::size_t>(kSubsetHostsPerRequest * inputs_.overload.smoothedInFlight());
}

}  // namespace finchstile::load_balancing
