// State of a request and its attempts, kept until the request and all of its attempts have ended.
#pragma once

#include <array>
#include <cstdint>
#include <optional>

#include "finchstile/load_balancer.hpp"
#include "policy/load_report_model.hpp"

namespace finchstile::load_balancing {

// Upper bound on the attempts of one request, whatever Settings::maxAttempts is.
inline constexpr std::size_t kMaxAttemptsPerRequest = 8;

struct Attempt {
  HostId host = kNone;
  Time sentAt{};
  bool isPending = false;   // its result has not arrived
  bool mayHaveRun = false;  // as far as known
  bool isCancelled = false;
  bool isInFlight = false;  // counted by InFlightTracker
  bool isStream = false;    // counted by StreamPlacement
  LoadHint loadHint{};      // from the host's load report at the time of sending
};

struct ActiveRequest {
  RequestId id = 0;
  std::uint32_t classIndex = kNone;  // into TrafficStatistics::classes()

  // Times.
  Time arrivedAt{};
  Time deadline{};               // when the client abandons the request
  Time objectiveAt{};            // an answer after this is late
  Duration latencyObjective{};   // of the class at the arrival
  double lateValueFraction = 0;  // of the class at the arrival

  // Demand.
  double relativeWork = 0;  // expected work, divided by the mean of the class
  std::uint64_t affinityKey = 0;
  bool hasAffinityKey = false;
  bool preferLocalZone = false;
  bool isStream = false;
  bool isSingleAttempt = false;   // its body was streamed and cannot be sent again
  bool isBodyIncomplete = false;  // the last byte of its body has not arrived

  // Admission.
  double priorityWeight = 0;
  double score = 0;  // 1 to 100

  // Load probing.
  double observedLoad = -1;    // lowest load reported by the end of the wait; below 0: unknown
  int awaitedReports = 0;      // probe results or recommendations that are outstanding
  HostId leastLoaded = kNone;  // among the reports received so far
  double leastLoad = 0;        // in requests held

  // Attempts.
  std::optional<EarlierAttempt> earlierAttempt;
  std::array<Attempt, kMaxAttemptsPerRequest> attempts;
  std::uint32_t attemptCount = 0;
  std::uint32_t pendingAttempts = 0;
  bool hasEnded = false;            // the client needs no further response
  bool hasResponseStarted = false;  // response bytes were sent to the client: it is not sent again
};

}  // namespace finchstile::load_balancing
