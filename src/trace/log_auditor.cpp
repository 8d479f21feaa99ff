#include "trace/log_auditor.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

#include "trace/trace_line_codec.hpp"

namespace finchstile::trace {
namespace {

constexpr std::int64_t kMicrosecondsPerMillisecond = 1000;

// Whether the host of `retry` drops it as a repeat if `first` ran.
bool isRepeatDropped(const AttemptLine& first, const AttemptLine& retry) {
  if (first.idempotency == Idempotency::idempotent) return true;
  if (first.idempotency == Idempotency::nonIdempotent) return false;
  const bool sameZone = first.zone == retry.zone;
  const bool sameCell = first.cell == retry.cell;
  if (first.deduplicationScope != DeduplicationScope::all && !sameZone) return false;
  if (first.deduplicationScope == DeduplicationScope::cell && !sameCell) return false;
  const std::int64_t windowUs = first.deduplicationWindowMs * kMicrosecondsPerMillisecond;
  return retry.firstByteAtUs <= first.chosenAtUs + windowUs;
}

// Whether the client may repeat the request anywhere without a second execution.
bool isRepeatSafeEverywhere(const AttemptLine& attempt) {
  if (attempt.idempotency == Idempotency::idempotent) return true;
  return attempt.idempotency == Idempotency::idempotentWithKey &&
         attempt.deduplicationScope == DeduplicationScope::all;
}

class Auditor {
 public:
  Auditor(const LogMerger& log, const AuditSettings& settings)
      : log_(log), settings_(settings), processes_(log.processes()) {}

  std::vector<Finding> run() {
    for (const auto& entry : log_.histories()) checkHistory(sorted(entry.second));
    checkShutdowns();
    std::sort(findings_.begin(), findings_.end(), [](const Finding& a, const Finding& b) {
      return std::tie(a.atUs, a.gateway, a.id, a.kind) < std::tie(b.atUs, b.gateway, b.id, b.kind);
    });
    return std::move(findings_);
  }

 private:
  using Kind = Finding::Kind;

  void report(Kind kind, const RequestIdentity& identity, std::int64_t atUs, std::string text) {
    findings_.push_back({kind, identity.gateway, identity.id, atUs, std::move(text)});
  }

  void checkHistory(const RequestHistory& history) {
    for (std::size_t i = 0; i < history.requests.size(); ++i) {
      checkAnsweredOnce(history, i);
      checkDeadline(history.requests[i]);
    }
    for (std::size_t i = 0; i < history.attempts.size(); ++i) {
      const AttemptLine& attempt = history.attempts[i];
      const RequestLine* const request = requestOf(history, attempt);
      if (request == nullptr) {
        checkAnswerMissing(attempt);
      } else {
        checkSentBeforeAnswer(attempt, *request);
        checkRejection(attempt, *request);
      }
      checkHostPhase(attempt);
      for (std::size_t j = 0; j < i; ++j) checkRetry(history.attempts[j], attempt);
    }
  }

  void checkAnsweredOnce(const RequestHistory& history, std::size_t index) {
    const RequestLine& request = history.requests[index];
    for (std::size_t i = 0; i < index; ++i) {
      const RequestLine& earlier = history.requests[i];
      if (earlier.gateway != request.gateway || earlier.arrivedAtUs != request.arrivedAtUs) continue;
      report(Kind::answeredTwice, request, request.endedAtUs,
             std::string("as ") + name(earlier.end) + " and as " + name(request.end));
    }
  }

  void checkDeadline(const RequestLine& request) {
    if (request.end == RequestEnd::clientDisconnected) return;
    const std::int64_t deadlineUs = request.arrivedAtUs + request.timeLeftMs * kMicrosecondsPerMillisecond;
    if (request.endedAtUs <= deadlineUs + settings_.slackUs) return;
    report(Kind::answeredAfterDeadline, request, request.endedAtUs,
           std::string(name(request.end)) + " " + formatMilliseconds(request.endedAtUs - deadlineUs) +
               " ms after its client's time of " + std::to_string(request.timeLeftMs) + " ms");
  }

  // A process that shut down in order must have answered each request. With gaps in its log the record of
  // the answer may be missing.
  void checkAnswerMissing(const AttemptLine& attempt) {
    const GatewayProcess* const process = processAt(processes_, attempt.gateway, attempt.chosenAtUs);
    if (process == nullptr || process->stoppedAtUs == 0 || process->hasGap) return;
    report(Kind::noAnswer, attempt, attempt.endedAtUs,
           "attempt " + std::to_string(attempt.attemptNumber) + " at " + attempt.host);
  }

  void checkSentBeforeAnswer(const AttemptLine& attempt, const RequestLine& request) {
    if (!wasSent(attempt) || attempt.firstByteAtUs <= request.endedAtUs) return;
    report(Kind::sentAfterAnswer, attempt, attempt.firstByteAtUs,
           "to " + attempt.host + ", " + formatMilliseconds(attempt.firstByteAtUs - request.endedAtUs) +
               " ms after it was " + name(request.end));
  }

  // A rejection is a promise to the client that nothing was executed.
  void checkRejection(const AttemptLine& attempt, const RequestLine& request) {
    if (request.end != RequestEnd::rejected || attempt.execution == Execution::no) return;
    if (isRepeatSafeEverywhere(attempt)) return;
    report(Kind::rejectedAfterExecution, attempt, request.endedAtUs,
           "attempt " + std::to_string(attempt.attemptNumber) + " at " + attempt.host + " ended as " +
               name(attempt.outcome));
  }

  void checkHostPhase(const AttemptLine& attempt) {
    if (!wasSent(attempt)) return;
    const HostLine* const known = log_.hostPhaseAt(attempt.gateway, attempt.host, attempt.firstByteAtUs);
    if (known == nullptr || known->phase == HostPhase::active) return;
    if (attempt.firstByteAtUs <= known->atUs + settings_.drainGraceUs + settings_.slackUs) return;
    report(Kind::sentToDrainingHost, attempt, attempt.firstByteAtUs,
           attempt.host + " was known as " + name(known->phase) + " for " +
               formatMilliseconds(attempt.firstByteAtUs - known->atUs) + " ms");
  }

  void checkRetry(const AttemptLine& first, const AttemptLine& retry) {
    if (!wasSent(first) || !wasSent(retry)) return;
    const std::int64_t skewUs = first.gateway == retry.gateway ? 0 : settings_.clockSkewUs;
    if (first.endedAtUs > retry.firstByteAtUs + skewUs)
      report(Kind::concurrentAttempts, retry, retry.firstByteAtUs,
             "at " + retry.host + " while it was out at " + first.host + ", from " + first.gateway +
                 ", for " + formatMilliseconds(first.endedAtUs - retry.firstByteAtUs) + " ms more");
    if (first.execution != Execution::no && !isRepeatDropped(first, retry))
      report(Kind::unsafeRetry, retry, retry.firstByteAtUs,
             "sent to " + retry.host + " after " + name(first.outcome) + " at " + first.host);
  }

  void checkShutdowns() {
    for (const auto& [gateway, processes] : processes_)
      for (const GatewayProcess& process : processes) {
        if (process.openRequests == 0) continue;
        findings_.push_back({Kind::openAtShutdown, gateway, "", process.stoppedAtUs,
                             std::to_string(process.openRequests) + " requests"});
      }
  }

  const LogMerger& log_;
  const AuditSettings& settings_;
  const GatewayProcesses processes_;
  std::vector<Finding> findings_;
};

}  // namespace

const char* name(Finding::Kind kind) {
  switch (kind) {
    case Finding::Kind::answeredTwice: return "answered_twice";
    case Finding::Kind::answeredAfterDeadline: return "late";
    case Finding::Kind::sentAfterAnswer: return "sent_after_answer";
    case Finding::Kind::noAnswer: return "no_answer";
    case Finding::Kind::openAtShutdown: return "left_open";
    case Finding::Kind::concurrentAttempts: return "two_at_once";
    case Finding::Kind::unsafeRetry: return "ran_twice";
    case Finding::Kind::rejectedAfterExecution: return "refused_after_run";
    case Finding::Kind::sentToDrainingHost: return "sent_to_draining";
  }
  return "unknown";
}

std::vector<Finding> audit(const LogMerger& log, const AuditSettings& settings) {
  return Auditor(log, settings).run();
}

}  // namespace finchstile::trace
