#include "net/transfer_policy.hpp"

namespace finchstile {

TransferDecision decideAfterTimeout(TransferPhase phase, Time now, Time clientDeadline, Duration writeTime) {
  using Kind = TransferDecision::Kind;
  if (phase == TransferPhase::none) return {Kind::end, {}};
  const Time lastResponseTime = clientDeadline - writeTime;
  if (now < lastResponseTime) return {Kind::wait, lastResponseTime};
  return {phase == TransferPhase::openEnded ? Kind::relay : Kind::end, {}};
}

const char* nameOf(TransferPhase phase) {
  switch (phase) {
    case TransferPhase::none: return "none";
    case TransferPhase::requestBody: return "request_body";
    case TransferPhase::buffered: return "buffered";
    case TransferPhase::openEnded: return "open_ended";
    case TransferPhase::relayed: return "relayed";
  }
  return "none";
}

const char* nameOf(TransferEndReason reason) {
  switch (reason) {
    case TransferEndReason::deadline: return "deadline";
    case TransferEndReason::paused: return "paused";
    case TransferEndReason::broken: return "broken";
    case TransferEndReason::incomplete: return "incomplete";
  }
  return "broken";
}

}  // namespace finchstile
