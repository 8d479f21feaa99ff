// Circuit breaker of a hook. After FaultPolicy::maxFaults faults within a window the hook is suspended for a
// backoff time. Then it runs on trial: one fault suspends it again, for twice as long. A trial without a
// fault for the longer of window and backoff resets the backoff. No I/O; the time is passed in.
#pragma once

#include <cstddef>
#include <deque>
#include <optional>

#include "finchstile/load_balancer.hpp"

namespace finchstile::hook {

using load_balancing::Duration;
using load_balancing::Time;

struct FaultPolicy {
  std::size_t maxFaults = 5;  // within the window, 1 to 64: the fault that reaches it suspends the hook
  Duration window = std::chrono::seconds(10);
  Duration initialBackoff = std::chrono::seconds(1);
  Duration maxBackoff = std::chrono::minutes(5);
};

class HookHealth {
 public:
  enum class Admission { active, trialBegins, suspended };

  struct Suspension {
    Duration duration{};
    bool onTrial = false;  // caused by a fault on trial
  };

  // Called before each run. Returns whether the hook may run now.
  Admission admitRun(Time now, const FaultPolicy& policy);

  // Called after each run that faulted. Returns the suspension, if the fault causes one.
  std::optional<Suspension> recordFault(Time now, const FaultPolicy& policy);

  bool isSuspended(Time now) const { return suspendedUntil_ > now; }
  // The remaining time of the suspension; 0 if there is none.
  Duration suspendedFor(Time now) const;

 private:
  std::deque<Time> faults_;  // the latest, at most FaultPolicy::maxFaults
  Time suspendedUntil_{};    // 0: not suspended since the last admitted run
  Time trialSince_{};
  Duration backoff_{};  // of the latest suspension; 0: none, or reset
};

}  // namespace finchstile::hook
