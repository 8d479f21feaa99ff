#include "hook/hook_health.hpp"

#include <algorithm>

namespace finchstile::hook {

HookHealth::Admission HookHealth::admitRun(Time now, const FaultPolicy& policy) {
  if (suspendedUntil_ == Time{}) {
    const bool onTrial = backoff_ > Duration{};
    if (onTrial && now - trialSince_ > std::max(policy.window, backoff_)) backoff_ = Duration{};
    return Admission::active;
  }
  if (now < suspendedUntil_) return Admission::suspended;
  suspendedUntil_ = Time{};
  trialSince_ = now;
  faults_.clear();
  return Admission::trialBegins;
}

std::optional<HookHealth::Suspension> HookHealth::recordFault(Time now, const FaultPolicy& policy) {
  faults_.push_back(now);
  while (faults_.size() > policy.maxFaults) faults_.pop_front();
  const bool onTrial = backoff_ > Duration{};
  const bool tooMany = faults_.size() == policy.maxFaults && now - faults_.front() <= policy.window;
  if (!onTrial && !tooMany) return std::nullopt;
  const Duration backoff = onTrial ? 2 * backoff_ : policy.initialBackoff;
  backoff_ = std::min(backoff, policy.maxBackoff);
  suspendedUntil_ = now + backoff_;
  faults_.clear();
  return Suspension{backoff_, onTrial};
}

Duration HookHealth::suspendedFor(Time now) const {
  return isSuspended(now) ? suspendedUntil_ - now : Duration{};
}

}  // namespace finchstile::hook
