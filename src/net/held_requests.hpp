// Requests that a filter holds before they are submitted to the load balancer, and the actions that filters
// queue for them.
#pragma once

#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "finchstile/load_balancer.hpp"
#include "net/client_messages.hpp"
#include "net/clock.hpp"

namespace finchstile {

/// Queued by a filter and executed after the event that is being handled.
struct HeldRequestAction {
  enum class Kind {
    respond,  ///< Send `response` to the client.
    admit,    ///< Submit the request to the load balancer.
    abandon   ///< End a request that was continued without its client and whose result nobody needs any more.
  } kind;
  load_balancing::RequestId request;
  Response response;
};

/// Holds each request until a deadline. Doesn't change the requests themselves.
class HeldRequests {
 public:
  /// Holds the request and returns the end of the hold. That is before the end of the client's timeout,
  /// because the client must receive a response even if the request that this one waits for takes longer.
  Time hold(Time now, const load_balancing::Request& request, Duration eventInterval);
  void release(Time heldUntil, load_balancing::RequestId request) { held_.erase({heldUntil, request}); }
  /// Returns the request to submit to the load balancer, or null if no such request is held until
  /// `heldUntil`.
  const load_balancing::Request* find(Time heldUntil, load_balancing::RequestId request) const;
  std::optional<Time> nextDeadline() const;
  /// Returns the request with the earliest deadline if that has passed.
  std::optional<load_balancing::RequestId> firstExpired(Time now) const;

  void queue(HeldRequestAction&& action) { actions_.push_back(std::move(action)); }
  bool hasActions() const { return !actions_.empty(); }
  std::vector<HeldRequestAction> takeActions() { return std::exchange(actions_, {}); }

 private:
  std::map<std::pair<Time, load_balancing::RequestId>, load_balancing::Request> held_;  // by deadline
  std::vector<HeldRequestAction> actions_;
};

}  // namespace finchstile
