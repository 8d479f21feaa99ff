#include "idempotency/relative_time.hpp"

#include <algorithm>
#include <chrono>

namespace finchstile::idempotency {
namespace {

using std::chrono::milliseconds;

constexpr Duration kMaxDatagramDelay = milliseconds(100);

}  // namespace

AttemptLocation toLocation(Time now, const EarlierAttempt& attempt) {
  if (attempt.sentAt == Time{}) return {};
  const auto ageMs = std::chrono::ceil<milliseconds>(now - attempt.sentAt + kMaxDatagramDelay).count();
  if (ageMs < 0 || ageMs >= AttemptLocation::kUnknownAge) return {};
  return {attempt.zone, attempt.cell, static_cast<std::uint32_t>(ageMs)};
}

EarlierAttempt toEarlierAttempt(Time now, const AttemptLocation& location) {
  const Duration age = milliseconds(location.ageMs);
  if (location.ageMs == AttemptLocation::kUnknownAge || age >= now) return {};
  return {location.zone, location.cell, now - age};
}

std::uint32_t remainingMilliseconds(Time now, Time until, Duration retention) {
  const Duration remaining = std::clamp<Duration>(until - now, Duration{}, retention);
  return static_cast<std::uint32_t>(std::chrono::ceil<milliseconds>(remaining).count());
}

Time deadlineAfter(Time now, std::uint32_t remainingMs, Duration retention) {
  return now + std::min<Duration>(milliseconds(remainingMs), retention);
}

EarlierAttempt mergeEarlierAttempts(const EarlierAttempt& a, const EarlierAttempt& b) {
  if (a.zone != b.zone || a.cell != b.cell) return {};
  return a.sentAt < b.sentAt ? a : b;
}

}  // namespace finchstile::idempotency
