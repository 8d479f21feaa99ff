// Active client requests of the gateway, by request id.
#pragma once

#include <boost/beast/http.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "finchstile/load_balancer.hpp"
#include "net/abandoned_ids.hpp"
#include "net/client_messages.hpp"
#include "net/client_session.hpp"
#include "net/clock.hpp"
#include "net/request_filter.hpp"
#include "net/upgrade_handler.hpp"
#include "net/upstream_messages.hpp"

namespace finchstile {

/// One client request, from its arrival until its response is complete and none of its attempts is pending.
struct ActiveRequest {
  std::weak_ptr<ClientSession> client;
  std::shared_ptr<const ClientRequest> message;
  std::uint32_t classIndex = 0;  ///< Index into Settings::classes.
  bool bodyIncomplete = false;   ///< Part of the request body has not arrived from the client yet.
  bool finished = false;         ///< The response was sent, or the client disconnected.
  /// Response status if the request fails.
  boost::beast::http::status failureStatus = boost::beast::http::status::bad_gateway;
  std::vector<AttemptId> attempts;  ///< Indexed by attempt number; 0 if that number was not used.
  /// Number of attempts without an outcome, plus one while the response is relayed. The record is kept until
  /// this is 0.
  std::size_t pendingExchanges = 0;
  /// Null if no filter is attached, and after the request has finished.
  std::unique_ptr<RequestContext> context;
  bool mayHaveRun = false;  ///< At least one ended attempt may have been executed by a host.
  bool clientLeft = false;  ///< The client disconnected before it had the whole response.
  bool repeatable = false;  ///< Executing the request twice is harmless.
  Time arrivedAt{};
  Duration timeLeft{};  ///< How long the client waits for the response, counted from `arrivedAt`.
  unsigned responseStatus = 0;
  Time heldUntil{};  ///< End of the hold by a filter; 0 if the request is not held.
  /// Set while the request is an upgrade that is not established.
  std::unique_ptr<PendingUpgrade> pendingUpgrade;

  bool isHeld() const { return heldUntil != Time{}; }
  std::string_view correlationId() const;  ///< Value of the X-Correlation-Id header.
};

/// Owns the active requests and rejects the correlation id of an active request if another request uses it.
class ActiveRequestTable {
 public:
  /// Returns false if a request with this correlation id is active, or if one may have been executed whose
  /// client left without its response. A host would treat the second request as a repetition of the first.
  bool reserveCorrelationId(std::string_view correlationId, Time now) {
    return !abandonedIds_.contains(correlationId, now) && correlationIds_.emplace(correlationId).second;
  }
  load_balancing::RequestId newId() { return ++lastId_; }
  /// Adds an empty request. The reference stays valid until the request is released.
  ActiveRequest& add(load_balancing::RequestId id) { return requests_[id]; }
  /// Returns null if there is no such request or if it was released.
  ActiveRequest* find(load_balancing::RequestId id);
  /// As `find`, but also returns null if the request has finished.
  ActiveRequest* findUnfinished(load_balancing::RequestId id);
  /// Removes the request and frees its correlation id if it has finished and nothing of it is pending.
  void releaseIfDone(load_balancing::RequestId id);

  /// Ids of requests whose clients left, including those that another process has reported.
  AbandonedIds& abandonedIds() { return abandonedIds_; }
  const AbandonedIds& abandonedIds() const { return abandonedIds_; }
  /// Called for each such id of a request of this process.
  std::function<void(std::string_view id, Time arrivedAt)> onIdAbandoned;

  std::size_t size() const { return requests_.size(); }
  std::vector<load_balancing::RequestId> unfinished() const;
  std::size_t unfinishedCount() const;

 private:
  std::unordered_set<std::string> correlationIds_;
  AbandonedIds abandonedIds_;
  std::unordered_map<load_balancing::RequestId, ActiveRequest> requests_;
  load_balancing::RequestId lastId_ = 0;
};

}  // namespace finchstile
