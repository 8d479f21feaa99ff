// Requests that a filter holds before the load balancer is asked, and what filters ask to be done with them.
#pragma once

#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "finchstile/load_balancer.hpp"
#include "net/client_messages.hpp"
#include "net/clock.hpp"

namespace finchstile {

/// Asked for by a filter, and executed after the event that is being handled.
struct HeldRequestAction {
  enum class Kind {
    respond,  ///< The client gets `response`.
    admit,    ///< The load balancer is asked now.
    abandon   ///< The request was continued without its client, and nobody waits for it any more.
  } kind;
  load_balancing::RequestId request;
  Response response;
};

/// Holds each request until a deadline. Has no effect on the requests themselves.
class HeldRequests {
 public:
  /// Returns the time until which it is held. That is earlier than the end of the client's wait, because the
  /// client is owed a response even if the request that this one waits for takes longer.
  Time hold(Time now, const load_balancing::Request& request, Duration eventInterval);
  void release(Time heldUntil, load_balancing::RequestId request) { held_.erase({heldUntil, request}); }
  /// The request as the load balancer is to be asked about it; null: it is not held until then.
  const load_balancing::Request* find(Time heldUntil, load_balancing::RequestId request) const;
  std::optional<Time> nextDeadline() const;
  /// The request whose deadline passed first, if one has.
  std::optional<load_balancing::RequestId> firstExpired(Time now) const;

  void queue(HeldRequestAction&& action) { actions_.push_back(std::move(action)); }
  bool hasActions() const { return !actions_.empty(); }
  std::vector<HeldRequestAction> takeActions() { return std::exchange(actions_, {}); }

 private:
  std::map<std::pair<Time, load_balancing::RequestId>, load_balancing::Request> held_;  // by deadline
  std::vector<HeldRequestAction> actions_;
};

}  // namespace finchstile
