// Processes client requests from their arrival to their response.
#pragma once

#include <memory>
#include <optional>

#include "finchstile/load_balancer.hpp"
#include "net/active_request.hpp"
#include "net/client_messages.hpp"
#include "net/client_session.hpp"
#include "net/clock.hpp"
#include "net/config.hpp"
#include "net/gateway_extensions.hpp"
#include "net/gateway_metrics_collector.hpp"
#include "net/held_requests.hpp"
#include "net/request_reader.hpp"

namespace finchstile {

/// Reads requests, passes them through the filters, submits them to the load balancer, and responds to each
/// exactly once. Calls into the load balancer queue actions there; the caller of these functions executes
/// them afterwards.
class RequestManager {
 public:
  RequestManager(const Clock& clock, const GatewayConfig& config, load_balancing::LoadBalancer& balancer,
                 const GatewayExtensions& extensions, GatewayMetricsCollector& metrics);

  /// Processes a request from a client. `bodyComplete` is false if more of its body follows. `lag` is how
  /// late the event loop may have read the request. Returns false if it was refused without being accepted.
  bool receive(const std::shared_ptr<ClientSession>& session, ClientRequest&& message, bool bodyComplete,
               Duration lag);
  /// The client has closed its connection. Returns false if that has no effect.
  bool onClientDisconnected(load_balancing::RequestId id);
  /// Sends the response to the client, unless the request has finished. `upstream` is the host's response on
  /// which `response` is based, if any.
  void respond(load_balancing::RequestId id, RequestResult result, Response&& response,
               const UpstreamResponse* upstream = nullptr);
  /// The load balancer has rejected the request. The client may retry after `retryAfter`; 0 if unspecified.
  void reject(load_balancing::RequestId id, Duration retryAfter);
  /// The load balancer has given up the request.
  void fail(load_balancing::RequestId id);
  /// Finishes the request: its response was sent, or the client disconnected.
  void finish(load_balancing::RequestId id, ActiveRequest& request, RequestResult result);
  /// Sends a final response to every unfinished request, including those whose deadlines are after the exit
  /// of the process.
  void failAll();

  /// The host has accepted the upgrade. Filters may add headers to the response, which is written by the
  /// handler that takes over the connection.
  void onUpgradeResponse(ActiveRequest& request, const boost::beast::http::fields& upstreamHead,
                         std::vector<HeaderLine>& toClient);

  /// Executes an action that a filter queued for a held or continued request.
  void executeHeldAction(HeldRequestAction&& action);
  /// Fails the held requests whose deadlines have passed.
  void failExpiredHeld(Time now);
  HeldRequests& held() { return held_; }
  const HeldRequests& held() const { return held_; }

  ActiveRequestTable& table() { return table_; }
  const ActiveRequestTable& table() const { return table_; }
  TenantTable& tenants() { return reader_.tenants(); }

 private:
  std::unique_ptr<RequestContext> makeContext(const load_balancing::Request& request,
                                              const std::shared_ptr<const ClientRequest>& message) const;
  bool hasMemoryFor(const ClientRequest& message) const;
  void releaseHold(load_balancing::RequestId id, ActiveRequest& request);
  void admitHeld(load_balancing::RequestId id, ActiveRequest& request);

  const Clock& clock_;
  const GatewayConfig& config_;
  load_balancing::LoadBalancer& balancer_;
  const GatewayExtensions& extensions_;
  GatewayMetricsCollector& metrics_;
  RequestReader reader_;
  ActiveRequestTable table_;
  HeldRequests held_;
};

}  // namespace finchstile
