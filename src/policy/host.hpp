// State of one host. Each rule has its own record, which other rules only read.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>

#include "finchstile/load_balancer.hpp"
#include "policy/load_report_model.hpp"

namespace finchstile::load_balancing {

// Written by InFlightTracker.
struct HostInFlight {
  int count = 0;                       // attempts of this gateway in flight at the host
  std::size_t busyIndex = 0;           // index in InFlightTracker::busyHosts() while `count` > 0
  std::deque<RequestId> sentRequests;  // in the order of sending; ended ones are removed lazily
};

// Written by TrafficStatistics.
struct HostTraffic {
  double relativeLatency = 1;   // latency divided by the typical latency of the class
  double servedSinceSweep = 0;  // answers
  double answerRate = 0;        // answers per second
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
  int ejections = 0;          // consecutive; lengthens the next one
  bool unresponsive = false;  // has attempts in flight and has not responded for too long
  Time lastResponseAt{};      // last response of any kind; zero: never

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

// Written by StreamPlacement. Tokens are new streams.
struct HostStreams {
  std::size_t count = 0;  // open or being established
  double tokens = 1;
  Time filledAt{};
};

// Written by LoadProbing.
struct HostProbing {
  std::deque<RequestId> waitingRequests;  // in the order of their probes
  std::uint64_t group = 0;                // hosts of a group have the same tracker
  std::deque<Time> assignedUntil;         // if this gateway tracks the group: expiry of each assigned attempt
};

struct Host {
  // Written by HostRegistry; `references` by the load balancer.
  HostId id = kNone;  // kNone: an unused slot
  HostEntry entry;
  std::uint64_t hash = 0;       // of the address
  bool isLocal = false;         // in the zone of the gateway
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

  // The part of the hash that identifies the host in peer messages.
  std::uint32_t wireHash() const { return static_cast<std::uint32_t>(hash); }
};

}  // namespace finchstile::load_balancing
