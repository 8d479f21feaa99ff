// Times in messages between gateways, which share no clock: an attempt travels with its age, and a deadline
// with the time that remains. No I/O.
#pragma once

#include <cstdint>

#include "idempotency/owner_message.hpp"

namespace finchstile::idempotency {

// An attempt whose time is unknown, or whose age the message cannot express, becomes a location without
// either. The age includes the longest time that a datagram may take, so that the receiver never sends a
// repeat too late.
AttemptLocation toLocation(Time now, const EarlierAttempt& attempt);
EarlierAttempt toEarlierAttempt(Time now, const AttemptLocation& location);

// Whole milliseconds, rounded up, of at most `retention`.
std::uint32_t remainingMilliseconds(Time now, Time until, Duration retention);
// At most `retention` from now.
Time deadlineAfter(Time now, std::uint32_t remainingMs, Duration retention);

// Combines what two sources know of one key. They may know of different attempts: if zone or cell differ, the
// result is an unknown attempt, else the earlier one.
EarlierAttempt mergeEarlierAttempts(const EarlierAttempt& a, const EarlierAttempt& b);

}  // namespace finchstile::idempotency
