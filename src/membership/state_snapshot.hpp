// The snapshot that a running gateway sends to a starting one: what it has learned about its traffic and
// about each host. Names are replaced by keyed hashes. No I/O.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "finchstile/load_balancer.hpp"
#include "membership/gossip_message.hpp"

namespace finchstile::membership {

using NameKey = std::uint64_t;  // keyed hash of the name of a class, machine type or host

// State of one host at the sending gateway.
struct HostRecord {
  HostKey host = 0;
  std::int64_t startedUnixMs = 0;  // start of the process; 0: long ago
  HostPhase phase = HostPhase::active;
  std::uint64_t version = 0;   // of the list that contains the phase
  Duration age{};              // since the host last responded to the sending gateway
  double relativeLatency = 1;  // to other hosts; 1: typical
  double failureRate = 0;      // 0 to 1
  double answerRate = 0;       // responses per second
  Duration ejectedFor{};       // remaining time of the ejection; 0: not ejected
  int ejections = 0;           // consecutive ejections
};

struct StateSnapshot {
  // Figures about all traffic of the gateway; see LearnedState for the units.
  struct GatewayRecord {
    Duration age{};  // uptime of the gateway
    double arrivalRate = 0;
    double arrivalSamples = 0;
    double answers = 0;
    double inTimeRate = 0;
    double meanLatencyObjective = 0;
    double meanTypicalLatency = 0;
    double unloadedConcurrency = 0;
    double servedFraction = 0;
  };
  struct ClassRecord {
    NameKey key = 0;
    double typicalLatency = 0;
    double meanExpectedWork = 0;
    double lateRetryFraction = 0;
    Duration typicalTimeLeft{};
  };
  struct MachineTypeRecord {
    NameKey key = 0;
    double provenRate = 0;
    double relativeLatency = 1;
  };
  std::optional<GatewayRecord> gateway;
  std::vector<ClassRecord> classes;
  std::vector<MachineTypeRecord> machineTypes;
  std::vector<load_balancing::LearnedState::PriorityLevel> priorityLevels;
  std::vector<HostRecord> hosts;
};

// The fields of `GatewayRecord` in their order on the wire, and the corresponding fields of `LearnedState`.
inline constexpr std::array kGatewayRecordFields = {&StateSnapshot::GatewayRecord::arrivalRate,
                                                    &StateSnapshot::GatewayRecord::arrivalSamples,
                                                    &StateSnapshot::GatewayRecord::answers,
                                                    &StateSnapshot::GatewayRecord::inTimeRate,
                                                    &StateSnapshot::GatewayRecord::meanLatencyObjective,
                                                    &StateSnapshot::GatewayRecord::meanTypicalLatency,
                                                    &StateSnapshot::GatewayRecord::unloadedConcurrency,
                                                    &StateSnapshot::GatewayRecord::servedFraction};
inline constexpr std::array kLearnedStateFields = {&load_balancing::LearnedState::arrivalRate,
                                                   &load_balancing::LearnedState::arrivalSamples,
                                                   &load_balancing::LearnedState::answers,
                                                   &load_balancing::LearnedState::inTimeRate,
                                                   &load_balancing::LearnedState::meanLatencyObjective,
                                                   &load_balancing::LearnedState::meanTypicalLatency,
                                                   &load_balancing::LearnedState::unloadedConcurrency,
                                                   &load_balancing::LearnedState::servedFraction};
static_assert(kGatewayRecordFields.size() == kLearnedStateFields.size());

// State of a host that the learned state does not contain.
struct ListedHostState {
  std::int64_t startedUnixMs = 0;
  HostPhase phase = HostPhase::active;
  std::uint64_t version = 0;
  Duration age{};  // since the host last responded; kMaxAge: never
};

// `key` hashes a name. `listed` returns the listed state of a host, or nothing if the host is to be omitted.
StateSnapshot makeSnapshot(
    const load_balancing::LearnedState& learned, const std::function<NameKey(std::string_view)>& key,
    const std::function<std::optional<ListedHostState>(const std::string& host)>& listed);

}  // namespace finchstile::membership
