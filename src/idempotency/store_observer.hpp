// Observes the runs of a store.
#pragma once

#include <cstdint>

#include "idempotency/store.hpp"

namespace finchstile::idempotency {

// Each function is called before the step that it reports takes effect: a record appended by onAttemptSent()
// precedes the sending of the attempt. Runs are numbered in ascending order.
class StoreObserver {
 public:
  virtual ~StoreObserver() = default;

  // `earlierAttempt`: null for the first run of a key.
  virtual void onRunStarted(std::uint64_t run, Time at, const Store::KeyedRequest& request,
                            const EarlierAttempt* earlierAttempt) = 0;

  // Repeats are bound to `attempt` unless onAttemptNotExecuted() follows.
  virtual void onAttemptSent(std::uint64_t run, const EarlierAttempt& attempt) = 0;

  // The attempt of the last onAttemptSent() was not executed.
  virtual void onAttemptNotExecuted(std::uint64_t run) = 0;

  // `at`: the start of the retention; the key expires one retention later. `executed`: the attempt of this
  // run that may have been executed, or null if there is none.
  virtual void onRunFinished(std::uint64_t run, Time at, KeyState state, const CachedResponse& response,
                             const EarlierAttempt* executed) = 0;
};

}  // namespace finchstile::idempotency
