#include "policy/slow_start.hpp"

#include <algorithm>

namespace finchstile::load_balancing {
namespace {

constexpr double kProvenRateDecay = 0.997;  // per sweep; averages over about half a minute
constexpr double kMinWindowSeconds = 0.1;
constexpr double kBurstFraction = 0.25;  // maximum burst, as a fraction of the attempts allowed per window
constexpr double kMinTokens = -1;

}  // namespace

bool SlowStart::fillBucket(Host& host, const HostRegistry& hosts, Time now) const {
  const double window = std::max(toSeconds(settings_.collapseWindow), kMinWindowSeconds);
  const double rate =
      std::max(hosts.machineTypes()[host.machineType].provenRate * capacityFraction(host, now) *
                   kCollapseFraction * settings_.collapseLoadFactor,
               1 / window);
  HostSlowStart& bucket = host.slowStart;
  bucket.tokens = std::min(bucket.tokens + rate * toSeconds(now - bucket.filledAt),
                           std::max(1.0, rate * window * kBurstFraction));
  bucket.filledAt = now;
  return bucket.tokens >= 1;
}

void SlowStart::onSend(Host& host, Time now) const {
  if (isWarmingUp(host, now)) host.slowStart.tokens = std::max(host.slowStart.tokens - 1, kMinTokens);
}

double SlowStart::offerProbability(const Host& host, const HostRegistry& hosts, double share,
                                   Time now) const {
  // While most hosts are being replaced, the last warm ones reject most attempts, and the fraction served
  // would starve the warming ones. So the recent peak rate of the pool is taken into account too.
  const double provenFraction = std::min(
      traffic_.provenServedRate() * static_cast<double>(hosts.active().size()) / traffic_.sendRate(), 1.0);
  return capacityFraction(host, now) * share * std::max(traffic_.servedFraction(), provenFraction);
}

void SlowStart::sweepMachineTypes(HostRegistry& hosts, Time now) const {
  const auto isWarm = [&](const Host& host) { return !isWarmingUp(host, now) && !host.health.isUnhealthy(); };
  double poolRate = 0;
  double poolCount = 0;
  for (const HostId id : hosts.active()) {
    if (!isWarm(hosts[id])) continue;
    poolRate += hosts[id].traffic.answerRate;
    poolCount += 1;
  }
  std::vector<MachineType>& types = hosts.machineTypes();
  for (std::size_t type = 0; type < types.size(); ++type) {
    double rate = 0;
    double count = 0;
    for (const HostId id : hosts.active()) {
      if (hosts[id].machineType != type || !isWarm(hosts[id])) continue;
      rate += hosts[id].traffic.answerRate;
      count += 1;
    }
    double& proven = types[type].provenRate;
    proven = std::max(count > 0 ? rate / count : 0, proven * kProvenRateDecay);
    if (proven <= 0 && poolCount > 0) proven = poolRate / poolCount;
  }
}

}  // namespace finchstile::load_balancing
