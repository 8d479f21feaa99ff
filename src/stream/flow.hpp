// The two directions of a stream and how each ends. A direction ends with the FIN of the side that sends on
// it (RFC 9293, 3.6): the other side is shown that end once it has been written all that came before, and the
// other direction goes on. Decides; does no I/O.
#pragma once

#include <array>
#include <cstdint>
#include <optional>

#include "net/clock.hpp"
#include "stream/ending.hpp"

namespace finchstile::stream {

struct FlowLimits {
  Duration idle{};      // nothing in either direction; 0: for ever
  Duration halfIdle{};  // the same, once one direction has ended
  Duration stalled{};   // bytes wait for a side and it takes none; 0: for ever
};

class Flow {
 public:
  Flow(const FlowLimits& limits, Time now) : limits_(limits), moved_(now) {}

  // Bytes were read from a side, or written to one.
  void onMoved(Time now) { moved_ = now; }
  // Bytes wait to be written to `to`, and it takes none now; or it took them all.
  void onBlocked(Side to, Time now);
  void onUnblocked(Side to) { at(to).blocked = Time{}; }
  // The FIN of `from` was read.
  void onEnd(Side from);
  // All that came from `from` has been written. True: show its end to the other side now.
  bool onDelivered(Side from);
  // Both directions have ended and are shown as ended.
  std::optional<Ending> over() const;
  bool ended(Side from) const { return at(from).ended; }

  // When to ask `overdue` again, if nothing happens until then; `Time::max()`: never.
  Time due() const;
  std::optional<Ending> overdue(Time now) const;

 private:
  struct Direction {
    bool ended = false, shown = false;
    Time blocked{};  // towards this side, since then; 0: it is not
  };
  Direction& at(Side s) { return sides_[static_cast<std::size_t>(s)]; }
  const Direction& at(Side s) const { return sides_[static_cast<std::size_t>(s)]; }
  Duration idleLimit() const;

  FlowLimits limits_;
  Time moved_;
  std::array<Direction, 2> sides_;  // by the side that sends; `blocked` by the side that takes
  std::optional<Side> first_;       // to end
};

}  // namespace finchstile::stream
