// Lifecycle of the two directions of a stream. A direction ends with the FIN of its sender (RFC 9293, 3.6):
// the FIN is forwarded once all earlier bytes have been written, and the other direction stays open (half-
// close). Makes decisions only; no I/O.
#pragma once

#include <array>
#include <cstdint>
#include <optional>

#include "net/clock.hpp"
#include "stream/ending.hpp"

namespace finchstile::stream {

struct FlowLimits {
  Duration idle{};      // idle timeout over both directions; 0: none
  Duration halfIdle{};  // idle timeout of a half-closed stream
  Duration stalled{};   // longest time a side may accept none of the bytes waiting for it; 0: no limit
};

class Flow {
 public:
  Flow(const FlowLimits& limits, Time now) : limits_(limits), lastActivity_(now) {}

  // Bytes were read from or written to a side.
  void onActivity(Time now) { lastActivity_ = now; }
  // onBlocked: a write to `to` would block. onUnblocked: a write to `to` succeeded.
  void onBlocked(Side to, Time now);
  void onUnblocked(Side to) { at(to).blocked = Time{}; }
  // The FIN of `from` was read.
  void onEnd(Side from);
  // All bytes read from `from` have been written. True: forward its FIN to the other side now.
  bool onDelivered(Side from);
  // The ending, once both directions have ended and both FINs were forwarded.
  std::optional<Ending> over() const;
  bool ended(Side from) const { return at(from).ended; }

  // Time of the next `overdue` check if nothing happens before; `Time::max()`: never.
  Time due() const;
  std::optional<Ending> overdue(Time now) const;

 private:
  struct Direction {
    bool ended = false, endForwarded = false;
    Time blocked{};  // when writes to this side began to block; 0: they do not
  };
  Direction& at(Side s) { return sides_[static_cast<std::size_t>(s)]; }
  const Direction& at(Side s) const { return sides_[static_cast<std::size_t>(s)]; }
  Duration idleLimit() const;

  FlowLimits limits_;
  Time lastActivity_;
  std::array<Direction, 2> sides_;  // by sending side; `blocked` of an element is about writes to that side
  std::optional<Side> firstEnded_;  // side that sent its FIN first
};

}  // namespace finchstile::stream
