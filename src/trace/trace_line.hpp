// The records of the attempt log. A gateway writes one record per ended attempt, per ended request and per
// change of a host's phase, and records that mark the start, the orderly end and the gaps of a process's log.
// trace_line_codec.hpp defines their text form. No I/O.
#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "finchstile/load_balancer.hpp"

namespace finchstile::trace {

using load_balancing::DeduplicationScope;
using load_balancing::HostPhase;
using load_balancing::Idempotency;
using load_balancing::Outcome;

// The age of an event that never happened.
inline constexpr std::int64_t kNever = -1;

// Whether the host executed an attempt.
enum class Execution { no, maybe, yes };

// What ended an attempt.
enum class EndReason {
  host,          // the host or its connection; see the outcome
  timeLimit,     // its time limit expired
  requestEnded,  // its request was answered, or the client disconnected
  abandoned      // cancelled in favour of another attempt, or before it was sent
};

// How a request ended at a gateway.
enum class RequestEnd { served, rejected, failed, rejectedByFilter, clientDisconnected };

// The fields that attempt and request records share.
struct RequestIdentity {
  std::string gateway;
  std::string id;  // chosen by the client; any bytes
  std::string className;
  Idempotency idempotency = Idempotency::nonIdempotent;
};

// An attempt. Times are Unix time in microseconds.
struct AttemptLine : RequestIdentity {
  std::string host;
  std::string zone;
  std::int64_t chosenAtUs = 0;
  std::int64_t endedAtUs = 0;
  std::int64_t firstByteAtUs = 0;   // 0: no byte was sent
  std::uint32_t attemptNumber = 0;  // from 0
  std::int64_t cell = 0;
  // For classes with idempotency keys: the group of hosts that recognize repeats of each other's requests,
  // and for how long they do.
  DeduplicationScope deduplicationScope = DeduplicationScope::all;
  std::int64_t deduplicationWindowMs = 0;
  Outcome outcome = Outcome::notSent;
  EndReason endReason = EndReason::host;
  Execution execution = Execution::no;
  // The state of the host in the gateway when the host was chosen.
  std::int64_t listingAgeMs = kNever;      // since the host was last in an endpoint list
  std::int64_t responseAgeMs = kNever;     // since the last response of the host to this gateway
  std::int64_t uptimeMs = 0;               // since the host started; 0: long ago or unknown
  bool avoided = false;                    // whether the load balancer avoided the host
  std::uint32_t connectionPort = 0;        // the gateway's port of the connection; 0: the attempt got none
  std::int64_t connectionRestUs = kNever;  // from the connection's previous response to the first byte
};

// A request at one gateway. Times are Unix time in microseconds.
struct RequestLine : RequestIdentity {
  std::int64_t arrivedAtUs = 0;
  std::int64_t endedAtUs = 0;
  std::int64_t timeLeftMs = 0;  // until the client's deadline, on arrival
  RequestEnd end = RequestEnd::failed;
  std::uint32_t status = 0;  // 0: the client had disconnected
  std::uint32_t attempts = 0;
  std::uint32_t admissionCutoff = 0;  // at the end of the request, 0 to 100
};

// A host's phase at one gateway from `atUs` on.
struct HostLine {
  std::string gateway;
  std::string host;
  std::int64_t atUs = 0;
  HostPhase phase = HostPhase::active;
};

// The start of a process.
struct StartLine {
  std::string gateway;
  std::int64_t atUs = 0;
};

// The orderly end of a process.
struct StopLine {
  std::string gateway;
  std::int64_t atUs = 0;
  std::uint64_t openRequests = 0;
};

// Lines that were dropped before this one.
struct GapLine {
  std::string gateway;
  std::int64_t atUs = 0;
  std::uint64_t lines = 0;
};

using TraceLine = std::variant<AttemptLine, RequestLine, HostLine, StartLine, StopLine, GapLine>;

// When the record was written, Unix time in microseconds.
std::int64_t timeOf(const TraceLine& line);
const std::string& gatewayOf(const TraceLine& line);

}  // namespace finchstile::trace
