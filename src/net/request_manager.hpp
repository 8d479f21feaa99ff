// Clients' requests, from their arrival to their one response.
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

/// Reads requests, passes them through the filters, asks the load balancer, and answers each request once.
/// Calls of the load balancer leave actions with it; whoever calls in here executes them afterwards.
class RequestManager {
 public:
  RequestManager(const Clock& clock, const GatewayConfig& config, load_balancing::LoadBalancer& balancer,
                 const GatewayExtensions& extensions, GatewayMetricsCollector& metrics);

  /// A client has sent a request; `bodyComplete` is false if more of its body follows. `lag`: how late the
  /// event loop may have read it. Returns false if it was answered without being accepted.
  bool receive(const std::shared_ptr<ClientSession>& session, ClientRequest&& message, bool bodyComplete,
               Duration lag);
  /// The client has closed its connection. Returns false if that changes nothing.
  bool onClientDisconnected(load_balancing::RequestId id);
  /// Gives the client its response, unless the request has finished. `upstream` is the host's response that
  /// it passes on, if it does.
  void respond(load_balancing::RequestId id, RequestResult result, Response&& response,
               const UpstreamResponse* upstream = nullptr);
  /// The load balancer has rejected the request; the client may come back after `retryAfter` (0: not said).
  void reject(load_balancing::RequestId id, Duration retryAfter);
  /// The load balancer has given the request up.
  void fail(load_balancing::RequestId id);
  /// Nothing more goes out for the request: its client has its response, or has gone.
  void finish(load_balancing::RequestId id, ActiveRequest& request, RequestResult result);
  /// Gives every unfinished request a final response. Its client is owed one even if its time goes beyond the
  /// end of the process.
  void failAll();

  /// The host has accepted the request's upgrade: filters may add headers to the response, which is written
  /// by whoever takes the connection over.
  void onUpgradeResponse(ActiveRequest& request, const boost::beast::http::fields& upstreamHead,
                         std::vector<HeaderLine>& toClient);

  void executeHeldAction(HeldRequestAction&& action);
  /// Answers the held requests whose deadlines have passed.
  void failExpiredHeld(Time now);
  HeldRequests& held() { return held_; }
  const HeldRequests& held() const { return held_; }

  ActiveRequestTable& table() { return table_; }
  const ActiveRequestTable& table() const { return table_; }
  TenantTable& tenants() { return reader_.tenants(); }

 private:
  std::unique_ptr<RequestContext> makeContext(const load_balancing::Request& request,
                                              const std::shared_ptr<const ClientRequest>& message) const;
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
