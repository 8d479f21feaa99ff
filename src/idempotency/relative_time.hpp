// Times in messages between gateways, which share no clock: the time of an attempt is sent as its age, and a
// deadline as the time that remains. No I/O.
#pragma once

#include <cstdint>

#include "idempotency/owner_message.hpp"

namespace finchstile::idempotency {

// An attempt whose time is unknown, or whose age the field cannot express, becomes an AttemptLocation of
// unknown age. The age includes the longest delay of a datagram, so that the receiver does not send a repeat
// after the hosts' deduplication window.
AttemptLocation toLocation(Time now, const EarlierAttempt& attempt);
EarlierAttempt toEarlierAttempt(Time now, const AttemptLocation& location);

// Whole milliseconds, rounded up, of at most `retention`.
std::uint32_t remainingMilliseconds(Time now, Time until, Duration retention);
// At most `retention` from now.
Time deadlineAfter(Time now, std::uint32_t remainingMs, Duration retention);

// Combines the attempts that two sources report for one key. If zone or cell differ, they report different
// attempts, and the result is an unknown attempt; otherwise it is the earlier one.
EarlierAttempt mergeEarlierAttempts(const EarlierAttempt& a, const EarlierAttempt& b);

}  // namespace finchstile::idempotency
