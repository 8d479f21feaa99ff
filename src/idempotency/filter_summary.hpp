// The counters of the idempotency filter, and the summary line that reports them.
#pragma once

#include <cstdint>
#include <string>

#include "idempotency/journal.hpp"
#include "idempotency/key_ownership.hpp"
#include "idempotency/store.hpp"

namespace finchstile::idempotency {

// Totals of requests since the start.
struct FilterCounts {
  // By Admission.
  std::uint64_t firstRuns = 0, joinedRunning = 0, replayedResponses = 0, retriedUncertain = 0;
  std::uint64_t fingerprintMismatches = 0, tooManyWaiters = 0, storeFull = 0;
  std::uint64_t bodyTooLarge = 0;         // body not buffered completely; forwarded without the store
  std::uint64_t answeredFromRunning = 0;  // waiters that received the response of the run
  std::uint64_t promoted = 0;             // waiters that ran after a run without a response
  std::uint64_t keptWithoutClient = 0;    // runs whose client disconnected while others waited
  std::uint64_t assumedUncertain = 0;     // new keys counted as uncertain after log damage
  std::uint64_t unrecorded = 0;           // ran, or were rejected, without a record in the log
};

// Returns the line "idempotency name=value ...". Its names are documented in docs/operators/idempotency.md
// and matched by operators and tests, so they must not change. `journal` and `ownership` are null if they
// are not enabled.
std::string summarize(const Store& store, const FilterCounts& counts, const Journal* journal,
                      const KeyOwnership* ownership);

}  // namespace finchstile::idempotency
