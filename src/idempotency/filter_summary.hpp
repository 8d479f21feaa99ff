// The counters of the idempotency filter, and the line that shows them.
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
  std::uint64_t bodyTooLarge = 0;         // not compared, and forwarded without the store
  std::uint64_t answeredFromRunning = 0;  // waiters that got the response of the run
  std::uint64_t promoted = 0;             // waiters that run in place of one that was not executed
  std::uint64_t keptWithoutClient = 0;    // runs whose client left while others waited
  std::uint64_t assumedUncertain = 0;     // new keys that count as uncertain because the log was damaged
  std::uint64_t unrecorded = 0;           // ran, or were rejected, without a record in the log
};

// One line "idempotency name=value ...". Operators and tests read its names, which
// docs/operators/idempotency.md explains, so they keep their form. `journal` and `ownership` are null if they
// are not enabled.
std::string summarize(const Store& store, const FilterCounts& counts, const Journal* journal,
                      const KeyOwnership* ownership);

}  // namespace finchstile::idempotency
