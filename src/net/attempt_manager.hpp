// Attempts at hosts: composed, followed, and settled with the load balancer.
#pragma once

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "finchstile/load_balancer.hpp"
#include "net/attempt_table.hpp"
#include "net/clock.hpp"
#include "net/config.hpp"
#include "net/gateway_extensions.hpp"
#include "net/gateway_metrics_collector.hpp"
#include "net/request_manager.hpp"
#include "net/response_relays.hpp"
#include "net/upstream_host_table.hpp"
#include "net/upstream_pool.hpp"

namespace finchstile {

/// Carries out the load balancer's attempts for clients' requests, and reports their outcomes to it. Calls of
/// the load balancer leave actions with it; whoever calls in here executes them afterwards.
class AttemptManager {
 public:
  /// An attempt that was cancelled and whose connection is closed; its outcome is still to be reported.
  struct ClosedAttempt {
    AttemptId id = 0;
    bool lastByteSent = false;  ///< It may have run.
  };

  AttemptManager(const Clock& clock, const GatewayConfig& config, load_balancing::LoadBalancer& balancer,
                 const GatewayExtensions& extensions, GatewayMetricsCollector& metrics,
                 UpstreamHostTable& hosts, RequestManager& requests, ResponseRelays& relays,
                 UpstreamPool& pool)
      : clock_(clock),
        config_(config),
        balancer_(balancer),
        extensions_(extensions),
        metrics_(metrics),
        hosts_(hosts),
        requests_(requests),
        relays_(relays),
        pool_(pool) {}

  void send(const load_balancing::Action& action);
  /// Cancelled attempts are closed by `closeCancelled` and reported by `settleCancelled`.
  void cancel(const load_balancing::Action& action);
  bool hasCancelled() const { return !cancelled_.empty(); }
  std::vector<ClosedAttempt> closeCancelled();
  void settleCancelled(const std::vector<ClosedAttempt>& closed);
  std::optional<Time> nextDeadline() const { return table_.nextDeadline(); }
  /// Gives up the attempts whose deadlines have passed.
  void settleExpired(Time now);

  /// A piece of a request's body has come from its client. Returns true if the load balancer was asked.
  bool forwardRequestBody(load_balancing::RequestId id, std::string&& piece, bool last);

  // The events of the pool, as UpstreamCallbacks describes them.
  std::optional<OutgoingRequest> compose(AttemptId id, load_balancing::Outcome& unsent);
  bool maySendLastByte(AttemptId id);
  void onReadyForRequestBody(AttemptId id);
  /// Returns false if there is no such attempt.
  bool onResponseHeaders(AttemptId id);
  void onResponseBegun(AttemptId id, UpstreamResponse&& upstream, std::optional<std::uint64_t> length);
  /// Returns false if there is no such attempt.
  bool onUpgraded(AttemptId id, tcp::socket&& socket, std::string&& early,
                  const boost::beast::http::fields& head);
  void settle(AttemptId id, load_balancing::Outcome outcome, UpstreamResponse&& upstream,
              std::optional<PartialResponse> partial = {}, bool timedOut = false);

 private:
  ActiveRequest* requestOf(AttemptId id);
  UpstreamRequest composeMessage(const ActiveRequest& request, const UpstreamHost& host,
                                 std::chrono::milliseconds timeLeft) const;
  void observeHost(UpstreamHost& host, load_balancing::Outcome outcome, Time sentAt, bool timedOut) const;
  void readLoadReport(const Attempt& attempt, const UpstreamHost* host, const UpstreamResponse& upstream,
                      load_balancing::AttemptResult& result);
  void log(const Attempt& attempt, const UpstreamHost* host, const ActiveRequest& request,
           load_balancing::Outcome outcome, bool timedOut) const;

  const Clock& clock_;
  const GatewayConfig& config_;
  load_balancing::LoadBalancer& balancer_;
  const GatewayExtensions& extensions_;
  GatewayMetricsCollector& metrics_;
  UpstreamHostTable& hosts_;
  RequestManager& requests_;
  ResponseRelays& relays_;
  UpstreamPool& pool_;
  AttemptTable table_;
  std::vector<AttemptId> cancelled_;
};

}  // namespace finchstile
