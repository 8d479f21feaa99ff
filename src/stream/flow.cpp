#include "stream/flow.hpp"

#include <algorithm>

namespace finchstile::stream {

void Flow::onBlocked(Side to, Time now) {
  if (at(to).blocked == Time{}) at(to).blocked = now;
}

void Flow::onEnd(Side from) {
  at(from).ended = true;
  if (!firstEnded_) firstEnded_ = from;
}

bool Flow::onDelivered(Side from) {
  Direction& d = at(from);
  if (!d.ended || d.endForwarded) return false;
  d.endForwarded = true;
  return true;
}

std::optional<Ending> Flow::over() const {
  if (!at(Side::client).endForwarded || !at(Side::host).endForwarded) return std::nullopt;
  return Ending{*firstEnded_ == Side::client ? EndedBy::client : EndedBy::host, EndReason::finished, true};
}

// After a FIN its sender may be gone together with its machine, so a half-closed stream must not wait as long
// as one that both sides keep open.
Duration Flow::idleLimit() const {
  if (!firstEnded_ || limits_.halfIdle == Duration{}) return limits_.idle;
  return limits_.idle == Duration{} ? limits_.halfIdle : std::min(limits_.idle, limits_.halfIdle);
}

Time Flow::due() const {
  Time due = Time::max();
  if (const Duration idle = idleLimit(); idle > Duration{}) due = lastActivity_ + idle;
  if (limits_.stalled > Duration{})
    for (const Direction& d : sides_)
      if (d.blocked != Time{}) due = std::min(due, std::max(d.blocked, lastActivity_) + limits_.stalled);
  return due;
}

std::optional<Ending> Flow::overdue(Time now) const {
  if (limits_.stalled > Duration{})
    for (const Side s : {Side::client, Side::host})
      // A side that makes progress in the other direction is alive.
      if (at(s).blocked != Time{} && now >= std::max(at(s).blocked, lastActivity_) + limits_.stalled)
        return Ending{s == Side::client ? EndedBy::client : EndedBy::host, EndReason::stalled, false};
  const Duration idle = idleLimit();
  if (idle == Duration{} || now < lastActivity_ + idle) return std::nullopt;
  return Ending{EndedBy::gateway, firstEnded_ ? EndReason::halfIdle : EndReason::idle, !firstEnded_};
}

}  // namespace finchstile::stream
