#include "policy/load_probing.hpp"

#include <algorithm>
#include <string>

#include "policy/capacity_backoff.hpp"
#include "policy/duration_math.hpp"
#include "policy/hashing.hpp"
#include "policy/overload_estimator.hpp"

namespace finchstile::load_balancing {
namespace {

constexpr double kMaxWaitObjectiveFraction = 0.1;
constexpr double kIdleLoad = 0.5;  // in requests held; a host with fewer is idle, so the wait for others ends
// Time that the least loaded host would need, as a fraction of the latency objective: below the first nothing
// is rejected, from the second on everything.
constexpr double kThresholdFraction = 0.45;
constexpr double kMaxFraction = 0.85;
constexpr double kFirstLatencyPerRequest = 0.15;  // initial estimate, as a fraction of the objective,
constexpr double kFirstLatencySamples = 10;       // with the weight of this many samples
constexpr double kMaxLatencySamples = 30;         // maximum number of samples in the mean
constexpr double kUnusableRank = 1000;  // more requests than any host holds: ranks after all usable hosts
constexpr double kWarmingRank = -1;     // ranks before all other hosts
// Hosts of one zone per group. The least loaded of them is close to the least loaded of the pool.
constexpr double kHostsPerGroup = 24;
constexpr Duration kSilentTrackerSkipTime = std::chrono::seconds(3);

}  // namespace

LoadProbing::LoadProbing(const Settings& settings, HostRegistry& hosts, const FleetShape& shape,
                         const TrafficStatistics& traffic, const SlowStart& slowStart, ActionQueue& actions)
    : settings_(settings),
      hosts_(hosts),
      shape_(shape),
      traffic_(traffic),
      slowStart_(slowStart),
      actions_(actions),
      latencyPerRequest_(kFirstLatencyPerRequest),
      latencySamples_(kFirstLatencySamples) {
  for (const ClassSettings& classSettings : settings.classes)
    onLatencyObjective(classSettings.latencyObjective);
}

bool LoadProbing::shouldProbe(const ActiveRequest& request, Time latestUsefulAnswer, Time now) const {
  return !request.isStream && shape_.probesLoad() && latestUsefulAnswer - now >= 2 * maxWait(request);
}

Duration LoadProbing::maxWait(const ActiveRequest& request) {
  return scaled(request.latencyObjective, kMaxWaitObjectiveFraction);
}

void LoadProbing::begin(ActiveRequest& request) {
  request.leastLoaded = kNone;
  request.leastLoad = HUGE_VAL;
}

void LoadProbing::probe(ActiveRequest& request, HostId host) {
  hosts_[host].probing.waitingRequests.push_back(request.id);
  ++request.awaitedReports;
  actions_.push(ActionKind::probeHost, 0, 0, host);
}

void LoadProbing::requestRecommendation(ActiveRequest& request, HostId drawn, std::uint32_t tracker) {
  send(tracker, {peer::MessageKind::recommendationRequest, hosts_[drawn].wireHash(), request.id, {}, 0});
  request.awaitedReports = 1;
}

bool LoadProbing::onProbeResult(ActiveRequest& request, const ProbeResult& result) {
  const double held = std::isfinite(result.report.inflight) ? result.report.inflight : result.report.queue;
  const double load = result.healthy && held >= 0 ? held : HUGE_VAL;
  if (load < request.leastLoad) {
    request.leastLoaded = result.host;
    request.leastLoad = load;
  }
  return --request.awaitedReports == 0 || load < kIdleLoad;
}

void LoadProbing::end(ActiveRequest& request) {
  request.awaitedReports = 0;
  request.observedLoad = request.leastLoad < HUGE_VAL ? request.leastLoad : -1;
}

double LoadProbing::cutoff(const ActiveRequest& request) const {
  return cubicCutoff(((request.observedLoad + 1) * latencyPerRequest_ - kThresholdFraction) /
                     (kMaxFraction - kThresholdFraction));
}

void LoadProbing::onResult(const ActiveRequest& request, Outcome outcome, double seconds) {
  if (request.observedLoad < 0 || (outcome != Outcome::served && outcome != Outcome::timeout)) return;
  const double sample =
      std::min(seconds / toSeconds(request.latencyObjective), 1.0) / (request.observedLoad + 1);
  latencySamples_ = std::min(latencySamples_ + 1, kMaxLatencySamples);
  latencyPerRequest_ += (sample - latencyPerRequest_) / latencySamples_;
}

// The number of groups of a zone is a power of two, so that gateways whose lists differ by a few hosts agree
// on it.
void LoadProbing::assignGroups() {
  std::unordered_map<std::string, double> hostsInZone;
  for (const HostId id : hosts_.active()) hostsInZone[hosts_[id].entry.zone] += 1;
  for (const HostId id : hosts_.active()) {
    Host& host = hosts_[id];
    const double groups = std::exp2(std::round(std::log2(hostsInZone[host.entry.zone] / kHostsPerGroup)));
    host.probing.group =
        mixBits(hashText(host.entry.zone) + host.hash % static_cast<std::uint64_t>(std::max(groups, 1.0)));
  }
}

std::uint32_t LoadProbing::trackerOf(std::uint64_t group, Time now) const {
  const auto it = trackersSkippedUntil_.find(group);
  const std::uint64_t fallbackOffset = it != trackersSkippedUntil_.end() && now < it->second ? 1 : 0;
  return static_cast<std::uint32_t>(mixBits(group + fallbackOffset) % settings_.gatewayCount);
}

void LoadProbing::onTrackerSilent(std::uint64_t group, Time now) {
  trackersSkippedUntil_[group] = now + kSilentTrackerSkipTime;
}

void LoadProbing::reportAttemptStarted(Host& host, Time now) {
  if (!shape_.usesGroupTrackers()) return;
  report(host, {peer::MessageKind::attemptStarted, host.wireHash(), 0, {}, 0}, now);
}

void LoadProbing::reportAttemptEnded(Host& host, Outcome outcome, double relativeLatency, Time now) {
  if (!shape_.usesGroupTrackers()) return;
  report(host, {peer::MessageKind::attemptEnded, host.wireHash(), 0, outcome, relativeLatency}, now);
}

void LoadProbing::report(Host& host, const peer::Message& message, Time now) {
  const std::uint32_t tracker = trackerOf(host.probing.group, now);
  if (!isOwnTracker(tracker)) return send(tracker, message);
  if (message.kind == peer::MessageKind::attemptEnded) onAttemptEnded(host, now);
  else onAttemptStarted(host, now);
}

Recommendation LoadProbing::recommend(HostId drawn, Time now, RandomSource& random) {
  Recommendation best;
  double lowestRank = HUGE_VAL;
  double equalRanks = 0;
  for (const HostId id : hosts_.active()) {
    Host& host = hosts_[id];
    const bool isWarming = slowStart_.isWarmingUp(host, now);
    if (host.probing.group != hosts_[drawn].probing.group || (isWarming && id != drawn)) continue;
    const double slowdown =
        isWarming ? 1 : std::max(host.traffic.relativeLatency / traffic_.medianRelativeLatency(), 1.0);
    const double load = static_cast<double>(assignedCount(host, now) + 1) * slowdown - 1;
    const bool isUnusable =
        host.health.isUnhealthy() || CapacityBackoff::isBackingOff(host, now) || (isWarming && load > 0);
    const double rank = isWarming && !isUnusable ? kWarmingRank : load + (isUnusable ? kUnusableRank : 0);
    if (rank < lowestRank) equalRanks = 0;
    if (rank > lowestRank || random.unit() * ++equalRanks >= 1) continue;
    best = {id, load};
    lowestRank = rank;
  }
  if (best.host != kNone) onAttemptStarted(hosts_[best.host], now);
  return best;
}

void LoadProbing::sendRecommendation(std::uint32_t gateway, const Recommendation& recommendation,
                                     std::uint64_t correlationId) {
  send(gateway, {peer::MessageKind::recommendation,
                 hosts_[recommendation.host].wireHash(),
                 correlationId,
                 {},
                 recommendation.load});
}

void LoadProbing::onAttemptStarted(Host& host, Time now) {
  assignedCount(host, now);
  host.probing.assignedUntil.push_back(now + longestObjective_);
}

void LoadProbing::onAttemptEnded(Host& host, Time now) {
  if (assignedCount(host, now) > 0) host.probing.assignedUntil.pop_front();
}

void LoadProbing::onLatencyObjective(Duration objective) {
  longestObjective_ = std::max(longestObjective_, objective);
}

// Removes expired attempts first.
std::size_t LoadProbing::assignedCount(Host& host, Time now) {
  std::deque<Time>& assignedUntil = host.probing.assignedUntil;
  while (!assignedUntil.empty() && assignedUntil.front() <= now) assignedUntil.pop_front();
  return assignedUntil.size();
}

void LoadProbing::send(std::uint32_t gateway, const peer::Message& message) {
  actions_.pushPeerMessage(gateway, peer::encode(message));
}

}  // namespace finchstile::load_balancing
