// Decides how long a transfer between this gateway and a host may take. No I/O.
//
// Whoever moves bytes is not ended for time. A transfer ends if nothing has moved for `maxPause`, or if its
// client's time is over and the client can be given nothing but a final response:
//
// - A request body, and a buffered response, may go on after the attempt's timeout until the client's time is
//   nearly over. Such a response counts by its last byte, so its client is owed another final response then.
// - Nobody knows the length of an open-ended response, so it may be one of which only the first bytes are
//   timed: at that moment its client is given what has arrived, and the rest is relayed for as long as the
//   host goes on.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "net/clock.hpp"

namespace finchstile {

/// What an attempt is transferring.
enum class TransferPhase {
  none,         ///< Nothing that the client waits for: the host is to begin its response.
  requestBody,  ///< A long request body, which the host may still be reading.
  buffered,     ///< A response that its client gets as a whole.
  openEnded,    ///< A response without a length, which is buffered at first.
  relayed       ///< A response that is passed on piece by piece.
};
const char* nameOf(TransferPhase phase);

/// What happens to an attempt whose timeout has passed.
struct TransferDecision {
  enum class Kind {
    end,   ///< The attempt ends.
    wait,  ///< The attempt goes on, and is looked at again at `until`.
    relay  ///< The client is given what has arrived, and then the rest as it arrives.
  };
  Kind kind = Kind::end;
  Time until{};
};

/// Why a transfer ended before it was complete.
enum class TransferEndReason {
  deadline,   ///< The client's time is over.
  paused,     ///< Nothing moved for too long.
  broken,     ///< The host's connection or its response is broken.
  incomplete  ///< As `broken` or `paused`, when the client had a part of the response.
};
inline constexpr std::size_t kTransferEndReasons = 4;
const char* nameOf(TransferEndReason reason);

/// A transfer that ended before it was complete.
struct TransferEnd {
  TransferPhase phase = TransferPhase::none;
  TransferEndReason reason = TransferEndReason::deadline;
  std::uint64_t bytes = 0;  ///< Of the response's body that had arrived.
};

/// Longest time for which nothing moves in a transfer that is not ended. A lost packet costs a second where
/// the sender follows RFC 6298, 2.4, and a host may pause between the pieces of a long response.
constexpr Duration maxPause(TransferPhase phase) {
  constexpr Duration kMaxPauseBuffered = std::chrono::seconds(2);
  constexpr Duration kMaxPauseRelayed = std::chrono::seconds(5);
  const bool isLong = phase == TransferPhase::relayed || phase == TransferPhase::requestBody;
  return isLong ? kMaxPauseRelayed : kMaxPauseBuffered;
}

/// Decides about an attempt whose timeout has passed. `clientDeadline` is the end of the client's time, and a
/// response takes up to `writeTime` to reach the client.
TransferDecision decideAfterTimeout(TransferPhase phase, Time now, Time clientDeadline, Duration writeTime);

}  // namespace finchstile
