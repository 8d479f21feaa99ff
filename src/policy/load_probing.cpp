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
constexpr double kIdleLoad = 0.5;  // a host that holds fewer requests is idle: no need to wait for others
// The time that the lightest host would need, as a fraction of the latency objective: nothing is rejected
// below the first, everything from the second on.
constexpr double kThresholdFraction = 0.45;
constexpr double kMaxFraction = 0.85;
constexpr double kFirstLatencyPerRequest = 0.15;  // assumed fraction of the objective,
constexpr double kFirstLatencySamples = 10;       // with the weight of so many samples
constexpr double kMaxLatencySamples = 30;         // the mean is over so many at most
constexpr double kUnfitRank = 1000;               // more than any host holds: ranks behind all that are fit
constexpr double kWarmingRank = -1;               // ranks before all others
constexpr double kHostsPerGroup = 24;             // of one zone: the lightest of so many is almost the pool's
constexpr Duration kSilentTrackerSpan = std::chrono::seconds(3);

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

bool LoadProbing::isWorthwhile(const ActiveRequest& request, Time latestUsefulAnswer, Time now) const {
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

// A zone is parted into a power of two of groups, so that gateways whose lists differ by a few hosts agree.
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
  const auto it = silentTrackers_.find(group);
  const std::uint64_t standIn = it != silentTrackers_.end() && now < it->second ? 1 : 0;
  return static_cast<std::uint32_t>(mixBits(group + standIn) % settings_.gatewayCount);
}

void LoadProbing::onTrackerSilent(std::uint64_t group, Time now) {
  silentTrackers_[group] = now + kSilentTrackerSpan;
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
    const double slowness =
        isWarming ? 1 : std::max(host.traffic.relativeLatency / traffic_.medianRelativeLatency(), 1.0);
    const double load = static_cast<double>(assignedCount(host, now) + 1) * slowness - 1;
    const bool isUnfit =
        host.health.isUnhealthy() || CapacityBackoff::isBackingOff(host, now) || (isWarming && load > 0);
    const double rank = isWarming && !isUnfit ? kWarmingRank : load + (isUnfit ? kUnfitRank : 0);
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

// Drops attempts that must be over by now.
std::size_t LoadProbing::assignedCount(Host& host, Time now) {
  std::deque<Time>& assignedUntil = host.probing.assignedUntil;
  while (!assignedUntil.empty() && assignedUntil.front() <= now) assignedUntil.pop_front();
  return assignedUntil.size();
}

void LoadProbing::send(std::uint32_t gateway, const peer::Message& message) {
  actions_.pushPeerMessage(gateway, peer::encode(message));
}

}  // namespace finchstile::load_balancing
