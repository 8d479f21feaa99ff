#include "membership/state_snapshot.hpp"

namespace finchstile::membership {

StateSnapshot makeSnapshot(const load_balancing::LearnedState& learned,
                           const std::function<NameKey(std::string_view)>& key,
                           const std::function<std::optional<ListedHostState>(const std::string&)>& listed) {
  StateSnapshot snapshot;
  StateSnapshot::GatewayRecord gateway;
  gateway.age = learned.age;
  for (std::size_t i = 0; i < kGatewayRecordFields.size(); ++i)
    gateway.*kGatewayRecordFields[i] = learned.*kLearnedStateFields[i];
  snapshot.gateway = gateway;
  for (const auto& cls : learned.classes)
    snapshot.classes.push_back({key(cls.name), cls.typicalLatency, cls.meanExpectedWork,
                                cls.lateRetryFraction, cls.typicalTimeLeft});
  for (const auto& type : learned.machineTypes)
    snapshot.machineTypes.push_back({key(type.name), type.provenRate, type.relativeLatency});
  snapshot.priorityLevels = learned.priorityLevels;
  for (const auto& host : learned.hosts) {
    const auto state = listed(host.address);
    if (!state) continue;
    snapshot.hosts.push_back({key(host.address), state->startedUnixMs, state->phase, state->version,
                              state->age, host.relativeLatency, host.failureRate, host.answerRate,
                              host.ejectedFor, host.ejections});
  }
  return snapshot;
}

}  // namespace finchstile::membership
