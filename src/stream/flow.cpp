#include "stream/flow.hpp"

#include <algorithm>

namespace finchstile::stream {

void Flow::onBlocked(Side to, Time now) {
  if (at(to).blocked == Time{}) at(to).blocked = now;
}

void Flow::onEnd(Side from) {
  at(from).ended = true;
  if (!first_) first_ = from;
}

bool Flow::onDelivered(Side from) {
  Direction& d = at(from);
  if (!d.ended || d.shown) return false;
  d.shown = true;
  return true;
}

std::optional<Ending> Flow::over() const {
  if (!at(Side::client).shown || !at(Side::host).shown) return std::nullopt;
  return Ending{*first_ == Side::client ? Ender::client : Ender::host, Why::finished, true};
}

// Danger: the side that has ended may be gone for good, its machine with it; what waits for the other
// direction's end must not wait as long as a stream that both keep open.
Duration Flow::idleLimit() const {
  if (!first_ || limits_.halfIdle == Duration{}) return limits_.idle;
  return limits_.idle == Duration{} ? limits_.halfIdle : std::min(limits_.idle, limits_.halfIdle);
}

Time Flow::due() const {
  Time due = Time::max();
  if (const Duration idle = idleLimit(); idle > Duration{}) due = moved_ + idle;
  if (limits_.stalled > Duration{})
    for (const Direction& d : sides_)
      if (d.blocked != Time{}) due = std::min(due, std::max(d.blocked, moved_) + limits_.stalled);
  return due;
}

std::optional<Ending> Flow::overdue(Time now) const {
  if (limits_.stalled > Duration{})
    for (const Side s : {Side::client, Side::host})
      // A side that is slow in the one direction while the other moves is there.
      if (at(s).blocked != Time{} && now >= std::max(at(s).blocked, moved_) + limits_.stalled)
        return Ending{s == Side::client ? Ender::client : Ender::host, Why::stalled, false};
  const Duration idle = idleLimit();
  if (idle == Duration{} || now < moved_ + idle) return std::nullopt;
  return Ending{Ender::gateway, first_ ? Why::halfIdle : Why::idle, !first_};
}

}  // namespace finchstile::stream
