// Checks merged attempt logs against the rules of the service. A rule is judged only by records that are
// present: records that a gap or the death of a process may have removed lead to no finding. No I/O.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "trace/log_merger.hpp"

namespace finchstile::trace {

struct AuditSettings {
  std::int64_t slackUs = 50'000;        // added to each time limit
  std::int64_t drainGraceUs = 500'000;  // in which attempts may still be sent to a draining or removed host
  std::int64_t clockSkewUs = 0;         // by which the clocks of two gateways may differ
};

struct Finding {
  enum class Kind {
    answeredTwice,           // two final answers to one arrival of a request
    answeredAfterDeadline,   // the final answer came after the client's deadline
    sentAfterAnswer,         // an attempt was sent after the request's final answer
    noAnswer,                // attempts without a final answer, in a process that ended in order
    openAtShutdown,          // a process ended in order while requests were open
    concurrentAttempts,      // an attempt was sent while an earlier one was in flight
    unsafeRetry,             // sent again though an earlier attempt may have run and repeats are not dropped
    rejectedAfterExecution,  // reported as safe to retry though an attempt may have run
    sentToDrainingHost       // sent later than the grace after this gateway knew that the host drains or is
                             // removed
  };
  Kind kind = Kind::answeredTwice;
  std::string gateway;
  std::string id;         // of the request; empty for findings about a process
  std::int64_t atUs = 0;  // when it happened, Unix time in microseconds
  std::string text;       // what the records show, with the figures
};

// The name of a finding in the output of `finchstile trace --audit`, which docs/operators/trace.md refers to.
const char* name(Finding::Kind kind);

// All findings, in order of time.
std::vector<Finding> audit(const LogMerger& log, const AuditSettings& settings);

}  // namespace finchstile::trace
