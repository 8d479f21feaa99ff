// Composes attempts, tracks them, and reports their outcomes to the load balancer.
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
#include "net/transfer_log.hpp"
#include "net/transfer_policy.hpp"
#include "net/upstream_host_table.hpp"
#include "net/upstream_pool.hpp"

namespace finchstile {

/// Executes the load balancer's attempt actions for client requests and reports the outcomes to it. Calls
/// into the load balancer queue further actions there; the caller of these functions executes them
/// afterwards.
class AttemptManager {
 public:
  /// A cancelled attempt whose connection is closed and whose outcome has not been reported yet.
  struct ClosedAttempt {
    AttemptId id = 0;
    bool lastByteSent = false;  ///< The host may have executed the attempt.
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

  /// Registers the attempt and passes it to the pool.
  void send(const load_balancing::Action& action);
  /// Marks the attempt as cancelled. `closeCancelled` then closes its connection and `settleCancelled`
  /// reports its outcome.
  void cancel(const load_balancing::Action& action);
  bool hasCancelled() const { return !cancelled_.empty(); }
  std::vector<ClosedAttempt> closeCancelled();
  void settleCancelled(const std::vector<ClosedAttempt>& closed);
  std::optional<Time> nextDeadline() const { return table_.nextDeadline(); }
  /// Ends the attempts whose deadlines have passed, but for those whose transfer may go on.
  void settleExpired(Time now);

  /// Sends a piece of a request body to the host. Returns true if the body is complete now; the load balancer
  /// may then have queued actions.
  bool forwardRequestBody(load_balancing::RequestId id, std::string&& piece, bool last);

  // Events of the pool; see UpstreamCallbacks.
  std::optional<OutgoingRequest> compose(AttemptId id, const ConnectionUse& connection,
                                         load_balancing::Outcome& unsentOutcome);
  std::optional<load_balancing::Outcome> refuseLastByte(AttemptId id);
  void onReadyForRequestBody(AttemptId id);
  /// Returns false if there is no such attempt.
  bool onResponseHeaders(AttemptId id);
  void onResponseBegun(AttemptId id, UpstreamResponse&& upstream, std::optional<std::uint64_t> length);
  void onTransferEnded(AttemptId id, const TransferEnd& end);
  /// Returns false if the attempt or its request no longer exists.
  bool onUpgraded(AttemptId id, tcp::socket&& socket, std::string&& unreadFromHost,
                  const boost::beast::http::fields& head);
  /// Removes the attempt, sends a served response to the client, and reports the outcome to the load
  /// balancer. Does nothing if the attempt was settled before.
  void settle(AttemptId id, load_balancing::Outcome outcome, UpstreamResponse&& upstream,
              std::optional<PartialResponse> partial = {}, bool timedOut = false);

 private:
  ActiveRequest* requestOf(AttemptId id);
  bool completeRequestBody(load_balancing::RequestId id, ActiveRequest& request, AttemptId attemptId);
  Time bodyDeadline(const ActiveRequest& request) const;
  static Time lastByteNotBefore(const ActiveRequest& request);
  bool continueTransfer(AttemptId id, Time now);
  void endExpired(AttemptId id);
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
  TransferLog transferLog_;
  std::vector<AttemptId> cancelled_;
};

}  // namespace finchstile
