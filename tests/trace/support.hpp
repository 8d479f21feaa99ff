// Builds the records of a merged log in tests. Times are milliseconds from a fixed start.
#pragma once

#include <gtest/gtest.h>

#include <vector>

#include "trace/log_merger.hpp"

namespace finchstile::trace::testing {

inline constexpr std::int64_t kMs = 1000;  // microseconds

struct AttemptLogTest : ::testing::Test {
  std::vector<TraceLine> lines;

  AttemptLine attempt(std::int64_t chosenMs, std::int64_t endedMs, Outcome outcome, Execution execution) {
    AttemptLine a;
    a.gateway = "n1";
    a.id = "x";
    a.className = "read";
    a.host = "s-1";
    a.zone = "a";
    a.chosenAtUs = (1000 + chosenMs) * kMs;
    a.firstByteAtUs = a.chosenAtUs + 300;
    a.endedAtUs = (1000 + endedMs) * kMs;
    a.idempotency = Idempotency::idempotent;
    a.outcome = outcome;
    a.execution = execution;
    a.listingAgeMs = 100;
    return a;
  }
  RequestLine request(std::int64_t arrivedMs, std::int64_t endedMs, RequestEnd end) {
    RequestLine r;
    r.gateway = "n1";
    r.id = "x";
    r.className = "read";
    r.arrivedAtUs = (1000 + arrivedMs) * kMs;
    r.endedAtUs = (1000 + endedMs) * kMs;
    r.timeLeftMs = 500;
    r.idempotency = Idempotency::idempotent;
    r.end = end;
    r.status = end == RequestEnd::served ? 200 : end == RequestEnd::rejected ? 503 : 502;
    r.attempts = 1;
    return r;
  }
  // A process of the gateway; `stoppedMs` of 0: without an orderly end.
  void addProcess(std::int64_t startedMs, std::int64_t stoppedMs, std::uint64_t openRequests = 0) {
    lines.push_back(StartLine{"n1", (1000 + startedMs) * kMs});
    if (stoppedMs > 0) lines.push_back(StopLine{"n1", (1000 + stoppedMs) * kMs, openRequests});
  }

  LogMerger merged() const {
    LogMerger log;
    for (const TraceLine& line : lines) log.add(line);
    return log;
  }
};

}  // namespace finchstile::trace::testing
