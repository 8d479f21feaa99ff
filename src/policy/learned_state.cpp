#include "policy/learned_state.hpp"

#include <algorithm>

#include "policy/learned_value.hpp"

namespace finchstile::load_balancing {
namespace {

// Start times that differ by less are the same start: each process maps its clock to calendar time
// independently.
constexpr Duration kSameStartTolerance = std::chrono::seconds(1);
constexpr Duration kMaxEjection = std::chrono::minutes(5);
constexpr int kMaxEjections = 3;

// Time since the start; zero if the host started long ago.
Duration ageOf(Time startedAt, Time now) {
  return startedAt > Time{} ? std::max(now - startedAt, Duration(1)) : Duration{};
}

bool isSameStart(Duration uptime, Duration learnedUptime) {
  return (uptime == Duration{}) == (learnedUptime == Duration{}) &&
         uptime - learnedUptime <= kSameStartTolerance && learnedUptime - uptime <= kSameStartTolerance;
}

LearnedState::Host captureHost(const Host& host, Time now) {
  const Duration ejectedFor = host.health.state == HealthState::ejected
                                  ? std::max(host.health.ejectedUntil - now, Duration(1))
                                  : Duration{};
  return {host.entry.address,      ageOf(host.entry.startedAt, now), host.traffic.relativeLatency,
          host.health.failureRate, host.traffic.answerRate,          ejectedFor,
          host.health.ejections};
}

void restoreHost(Host& host, const LearnedState::Host& learned, Time now) {
  // Statistics on an earlier process of the host do not apply.
  if (!isSameStart(ageOf(host.entry.startedAt, now), learned.uptime)) return;
  if (host.traffic.servedSinceSweep > 0 || host.inFlight.count > 0) return;
  host.traffic.relativeLatency =
      valueWithin(learned.relativeLatency, 1e-6, 1e6, host.traffic.relativeLatency);
  host.health.failureRate = valueWithin(learned.failureRate, 0, 1, host.health.failureRate);
  host.traffic.answerRate = valueWithin(learned.answerRate, 0, 1e9, host.traffic.answerRate);
  if (learned.ejectedFor <= Duration{} || learned.ejectedFor >= kMaxEjection) return;
  host.health.state = HealthState::ejected;
  host.health.ejectedUntil = now + learned.ejectedFor;
  host.health.ejections = std::clamp(learned.ejections, 0, kMaxEjections);
}

void restoreMachineTypes(std::vector<MachineType>& types, const LearnedState& learned) {
  for (const LearnedState::MachineType& from : learned.machineTypes)
    for (MachineType& type : types) {
      if (type.name != from.name) continue;
      type.provenRate = valueWithin(from.provenRate, 0, 1e9, type.provenRate);
      type.relativeLatency = valueWithin(from.relativeLatency, 1e-6, 1e6, type.relativeLatency);
    }
}

}  // namespace

LearnedState captureLearnedState(Time now, const TrafficStatistics& traffic,
                                 const OverloadEstimator& overload, const AdmissionController& admission,
                                 const HostRegistry& hosts) {
  LearnedState learned;
  traffic.capture(learned, now);
  overload.capture(learned);
  admission.capture(learned);
  for (const MachineType& type : hosts.machineTypes())
    learned.machineTypes.push_back({type.name, type.provenRate, type.relativeLatency});
  for (const HostId id : hosts.active()) learned.hosts.push_back(captureHost(hosts[id], now));
  return learned;
}

void restoreLearnedState(Time now, const LearnedState& learned, TrafficStatistics& traffic,
                         OverloadEstimator& overload, AdmissionController& admission, HostRegistry& hosts) {
  if (learned.age <= Duration{} || traffic.answers() >= learned.answers) return;
  traffic.restore(learned, now);
  overload.restore(learned);
  admission.restore(learned);
  restoreMachineTypes(hosts.machineTypes(), learned);
  for (const LearnedState::Host& from : learned.hosts)
    if (const HostId id = hosts.findByAddress(from.address); id != kNone) restoreHost(hosts[id], from, now);
}

}  // namespace finchstile::load_balancing
