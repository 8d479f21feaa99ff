// What a load balancer keeps of one host: a record for each rule, which alone writes it. Nothing is decided
// here.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>

#include "finchstile/load_balancer.hpp"
#include "policy/load_report_model.hpp"

namespace finchstile::load_balancing {

// Written by InFlightTracker.
struct HostInFlight {
  int count = 0;                       // attempts of this gateway that the host holds
  std::size_t busyIndex = 0;           // place in InFlightTracker::busyHosts() while `count` is above 0
  std::deque<RequestId> sentRequests;  // in the order of sending; those that are over are dropped lazily
};

// Written by TrafficStatistics.
struct HostTraffic {
  double relativeLatency = 1;   // time taken, divided by the typical latency of the request's class
  double servedSinceSweep = 0;  // answers
  double answerRate = 0;        // answers a second
};

// Written by OverloadEstimator; decayed counts of attempts.
struct HostOutcomes {
  double attempts = 0;
  double errors = 0;
};

enum class HealthState { healthy, ejected, trial };

// Written by OutlierDetector.
struct HostHealth {
  HealthState state = HealthState::healthy;
  double failureRate = 0;  // decayed fraction of failed attempts, 0 to 1
  Time ejectedUntil{};
  int ejections = 0;          // in a row; lengthens the next one
  bool unresponsive = false;  // holds attempts and has shown no sign of life for too long
  Time lastSeenAlive{};       // when it last showed life; zero: never

  // Whether the host gets no ordinary traffic because of its health.
  bool isUnhealthy() const { return state != HealthState::healthy || unresponsive; }
};

// Written by CapacityBackoff.
struct HostCapacity {
  int consecutiveRejections = 0;
  Time backoffUntil{};
};

// Written by SlowStart: the token bucket of a warming host. Tokens are attempts.
struct HostSlowStart {
  double tokens = 0;
  Time filledAt{};
};

// Written by StreamPlacement. Tokens are streams that may begin.
struct HostStreams {
  std::size_t count = 0;  // that the host holds or is being sent
  double tokens = 1;
  Time filledAt{};
};

// Written by LoadProbing.
struct HostProbing {
  std::deque<RequestId> waitingRequests;  // in the order of their probes
  std::uint64_t group = 0;                // hosts of one group have one tracker
  std::deque<Time> assignedUntil;  // as the group's tracker: when each assigned attempt is over at the latest
};

struct Host {
  // Written by HostRegistry; `references` by the load balancer.
  HostId id = kNone;  // kNone: an unused slot
  HostEntry entry;
  std::uint64_t hash = 0;       // of the address
  bool isLocal = false;         // in the gateway's own zone
  std::size_t machineType = 0;  // index into HostRegistry::machineTypes()
  std::size_t references = 0;   // attempts of active requests

  HostInFlight inFlight;
  HostTraffic traffic;
  HostOutcomes outcomes;
  HostHealth health;
  HostCapacity capacity;
  HostSlowStart slowStart;
  HostStreams streams;
  HostProbing probing;
  ReportedLoad reportedLoad;

  // The part of the hash by which peer messages name the host.
  std::uint32_t wireHash() const { return static_cast<std::uint32_t>(hash); }
};

}  // namespace finchstile::load_balancing
