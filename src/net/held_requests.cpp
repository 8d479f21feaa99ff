#include "net/held_requests.hpp"

#include <algorithm>

namespace finchstile {

using load_balancing::Request;
using load_balancing::RequestId;

Time HeldRequests::hold(Time now, const Request& request, Duration eventInterval) {
  const Time until = now + request.timeLeft - std::min(request.timeLeft / 4, 2 * eventInterval);
  held_.emplace(std::pair(until, request.id), request);
  return until;
}

const Request* HeldRequests::find(Time heldUntil, RequestId request) const {
  const auto found = held_.find({heldUntil, request});
  return found == held_.end() ? nullptr : &found->second;
}

std::optional<Time> HeldRequests::nextDeadline() const {
  if (held_.empty()) return std::nullopt;
  return held_.begin()->first.first;
}

std::optional<RequestId> HeldRequests::firstExpired(Time now) const {
  if (held_.empty() || held_.begin()->first.first > now) return std::nullopt;
  return held_.begin()->first.second;
}

}  // namespace finchstile
