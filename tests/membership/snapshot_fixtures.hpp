// Snapshots for the tests of snapshot messages, SnapshotServer and WarmStart.
#pragma once

#include <utility>
#include <vector>

#include "membership/state_snapshot.hpp"

namespace finchstile::membership {

// The record of an active host.
inline HostRecord hostRecord(HostKey key, double relativeLatency = 1, Duration age = {}) {
  HostRecord record;
  record.host = key;
  record.age = age;
  record.relativeLatency = relativeLatency;
  record.failureRate = 0.1;
  record.answerRate = 40;
  return record;
}

// The snapshot of a gateway with this uptime.
inline StateSnapshot snapshotOf(Duration uptime, std::vector<HostRecord> hosts) {
  StateSnapshot snapshot;
  StateSnapshot::GatewayRecord& gateway = snapshot.gateway.emplace();
  gateway.age = uptime;
  gateway.arrivalRate = 20;
  gateway.arrivalSamples = 200;
  gateway.answers = 1000;
  gateway.inTimeRate = 300;
  gateway.meanLatencyObjective = 0.4;
  gateway.meanTypicalLatency = 0.06;
  gateway.unloadedConcurrency = 2;
  gateway.servedFraction = 0.98;
  snapshot.classes = {{11, 0.06, 0.05, 0.01, std::chrono::milliseconds(900)}};
  snapshot.machineTypes = {{21, 70, 1.2}};
  snapshot.priorityLevels = {{1, 30}, {12, 5}};
  snapshot.hosts = std::move(hosts);
  return snapshot;
}

}  // namespace finchstile::membership
