// Checks merged attempt logs against the rules that gateways must keep (Finding::Kind). Only records that
// are present are checked: missing records, after a gap or the crash of a process, lead to no finding. No
// I/O.
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
    answeredAfterDeadline,   // the final answer was sent after the client's deadline
    sentAfterAnswer,         // an attempt was sent after the request's final answer
    noAnswer,                // attempts without a final answer, in a process that shut down in order
    openAtShutdown,          // a process shut down in order while requests were open
    concurrentAttempts,      // an attempt was sent while an earlier one was in flight
    unsafeRetry,             // sent again though an earlier attempt may have run and repeats are not dropped
    rejectedAfterExecution,  // reported as safe to retry though an attempt may have run
    sentToDrainingHost       // sent after the grace since the host was recorded as draining or removed
  };
  Kind kind = Kind::answeredTwice;
  std::string gateway;
  std::string id;         // of the request; empty for findings about a process
  std::int64_t atUs = 0;  // when it happened, Unix time in microseconds
  std::string text;       // the details, with the figures from the records
};

// The name of a finding in the output of `finchstile trace --audit`, documented in docs/operators/trace.md.
const char* name(Finding::Kind kind);

// All findings, in order of time.
std::vector<Finding> audit(const LogMerger& log, const AuditSettings& settings);

}  // namespace finchstile::trace
