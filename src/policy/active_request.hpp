// What a load balancer keeps of a request and its attempts until all of them are over. Nothing is decided
// here.
#pragma once

#include <array>
#include <cstdint>
#include <optional>

#include "finchstile/load_balancer.hpp"
#include "policy/load_report_model.hpp"

namespace finchstile::load_balancing {

// Attempts that one request may have at most, whatever the settings allow.
inline constexpr std::size_t kMaxAttemptsPerRequest = 8;

struct Attempt {
  HostId host = kNone;
  Time sentAt{};
  bool isPending = false;   // its result has not come
  bool mayHaveRun = false;  // as far as is known
  bool isCancelled = false;
  bool isInFlight = false;  // counted by InFlightTracker
  bool isStream = false;    // counted by StreamPlacement
  LoadHint loadHint{};      // what the host's load report was worth when the attempt went out
};

struct ActiveRequest {
  RequestId id = 0;
  std::uint32_t classIndex = kNone;  // into TrafficStatistics::classes()

  // Times.
  Time arrivedAt{};
  Time deadline{};               // when the client gives up
  Time objectiveAt{};            // an answer after this is late
  Duration latencyObjective{};   // of the class at the arrival
  double lateValueFraction = 0;  // of the class at the arrival

  // Demand.
  double relativeWork = 0;  // expected work, divided by the mean of the class
  std::uint64_t affinityKey = 0;
  bool hasAffinityKey = false;
  bool preferLocalZone = false;
  bool isStream = false;
  bool isSingleAttempt = false;   // its body came piece by piece and cannot be sent again
  bool isBodyIncomplete = false;  // the last byte of its body has not come

  // Admission.
  double priorityWeight = 0;
  double score = 0;  // 1 to 100

  // Load probing.
  double observedLoad =
      -1;  // load of the least loaded host that reported, when the wait ended; below 0: not known
  int awaitedReports = 0;      // probe results or recommendations that have not come
  HostId leastLoaded = kNone;  // among the reports that have come
  double leastLoad = 0;        // requests that host holds

  // Attempts.
  std::optional<EarlierAttempt> earlierAttempt;
  std::array<Attempt, kMaxAttemptsPerRequest> attempts;
  std::uint32_t attemptCount = 0;
  std::uint32_t pendingAttempts = 0;
  bool hasEnded = false;  // nothing more is owed to the client
  bool hasResponseStarted =
      false;  // bytes of the answer have gone to the client: no other attempt may follow
};

}  // namespace finchstile::load_balancing
