// The clients' requests that the gateway works on.
#pragma once

#include <boost/beast/http.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "finchstile/load_balancer.hpp"
#include "net/client_messages.hpp"
#include "net/client_session.hpp"
#include "net/clock.hpp"
#include "net/request_filter.hpp"
#include "net/upgrade_handler.hpp"
#include "net/upstream_messages.hpp"

namespace finchstile {

/// One client's request, from its arrival until it has its response and none of its attempts is under way.
struct ActiveRequest {
  std::weak_ptr<ClientSession> client;
  std::shared_ptr<const ClientRequest> message;
  std::uint32_t classIndex = 0;  ///< Into the settings' classes.
  bool bodyIncomplete = false;   ///< More of its body is to come from the client.
  bool finished = false;         ///< It has its response, or its client has gone.
  /// The status of the response if the request fails.
  boost::beast::http::status failureStatus = boost::beast::http::status::bad_gateway;
  std::vector<AttemptId> attempts;  ///< By attempt number; 0: that number was not used.
  /// Attempts without an outcome, and the relay of its response. The record stays until there are none.
  std::size_t pendingExchanges = 0;
  std::unique_ptr<RequestContext> context;  ///< Null while no filter is attached, and once it is finished.
  bool mayHaveRun = false;                  ///< An attempt that has ended may have run at a host.
  Time arrivedAt{};
  Duration timeLeft{};  ///< For which the client waits, counted from `arrivedAt`.
  unsigned responseStatus = 0;
  Time heldUntil{};                                ///< A filter holds it until then; 0: it is not held.
  std::unique_ptr<PendingUpgrade> pendingUpgrade;  ///< It asks to leave HTTP, and has not left it yet.

  bool isHeld() const { return heldUntil != Time{}; }
  std::string_view correlationId() const;  ///< The value of X-Correlation-Id.
};

/// Owns the active requests, and keeps clients from using the id of one of them twice.
class ActiveRequestTable {
 public:
  /// False: a request with this client id is active. A host would take the second one for a repetition.
  bool reserveCorrelationId(std::string_view correlationId) {
    return correlationIds_.emplace(correlationId).second;
  }
  load_balancing::RequestId newId() { return ++lastId_; }
  /// The reference stays valid until the request is released.
  ActiveRequest& add(load_balancing::RequestId id) { return requests_[id]; }
  /// Null: there is no such request, or it has been released.
  ActiveRequest* find(load_balancing::RequestId id);
  /// Null also for a request that has finished.
  ActiveRequest* findUnfinished(load_balancing::RequestId id);
  /// Removes a request that has finished once nothing of it is pending, and frees its client id.
  void releaseIfDone(load_balancing::RequestId id);

  std::size_t size() const { return requests_.size(); }
  std::vector<load_balancing::RequestId> unfinished() const;
  std::size_t unfinishedCount() const;

 private:
  std::unordered_set<std::string> correlationIds_;
  std::unordered_map<load_balancing::RequestId, ActiveRequest> requests_;
  load_balancing::RequestId lastId_ = 0;
};

}  // namespace finchstile
