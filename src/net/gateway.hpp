// The gateway: turns events of sockets into calls of the load balancer, and the load balancer's actions into
// I/O. It decides nothing.
#pragma once

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "configuration/configuration_store.hpp"
#include "drain/plan.hpp"
#include "finchstile/load_balancer.hpp"
#include "net/attempt_log.hpp"
#include "net/attempt_manager.hpp"
#include "net/client_session.hpp"
#include "net/clock.hpp"
#include "net/config.hpp"
#include "net/discovery.hpp"
#include "net/event_loop_lag.hpp"
#include "net/gateway_extensions.hpp"
#include "net/gateway_metrics.hpp"
#include "net/gateway_metrics_collector.hpp"
#include "net/host_list_hooks.hpp"
#include "net/listener.hpp"
#include "net/protocol_handler.hpp"
#include "net/protocol_handler_registry.hpp"
#include "net/request_filter.hpp"
#include "net/request_manager.hpp"
#include "net/response_relays.hpp"
#include "net/upgrade_handler.hpp"
#include "net/upstream_host_table.hpp"
#include "net/upstream_pool.hpp"

namespace finchstile {

/// Wires the gateway's parts together: each event goes to the part that owns its state, and the actions that
/// the load balancer then wants are executed. Owns the load balancer and the one timer.
class Gateway : ClientCallbacks,
                UpstreamCallbacks,
                DiscoveryCallbacks,
                RequestFilterCallbacks,
                ProtocolHandlerCallbacks {
 public:
  /// Binds the listener. Throws std::runtime_error if it can't be bound or the inherited one can't be used.
  Gateway(boost::asio::io_context& io, const Clock& clock, GatewayConfig config);

  // --- What is attached. All of it must outlive the gateway.
  /// Filters are called in the order of these calls. Not to be called from within a filter.
  void attach(RequestFilter& filter) { extensions_.filters.attach(filter); }
  RequestFilterCallbacks& filterCallbacks() { return *this; }
  /// Before `start`.
  void attach(ProtocolHandler& handler) { protocolHandlers_.attach(handler); }
  ProtocolHandlerCallbacks& protocolHandlerCallbacks() { return *this; }
  void setUpgradeHandler(UpgradeHandler& handler) { extensions_.upgradeHandler = &handler; }
  void addHostEntryFilter(const HostEntryFilter& filter) { hosts_.addFilter(filter); }
  /// The following three: before `start`.
  void setHostListInterceptor(HostListInterceptor& interceptor) {
    extensions_.hostListInterceptor = &interceptor;
  }
  void setHostObserver(HostObserver& observer) { extensions_.hostObserver = &observer; }
  void setAttemptLog(AttemptLog& log) { extensions_.attemptLog = &log; }

  /// Applies the known hosts, watches discovery, and accepts clients.
  void start();

  // --- Changes while it runs.
  /// Watches the discovery that `next` names; hosts, requests and connections stay as they are. Everything
  /// else in `next` takes effect at the next start.
  void reload(const GatewayConfig& next);
  /// Replaces the settings of classes and tenants in one step. Active requests end under the settings with
  /// which they began. Throws std::invalid_argument and changes nothing if a setting makes no sense.
  void applyDynamicSettings(const configuration::SettingsChange& change);
  /// Takes effect at once, except for the fractions of descriptors, which do at the next start.
  void setOptions(const GatewayOptions& options);
  void restoreLearnedState(const load_balancing::LearnedState& learned);

  // --- The endpoint list.
  /// To be called when a HostEntryFilter would change an entry in another way than before.
  void reapplyHostFilters();
  /// Applies a list without asking the interceptor.
  void applyHostList(const HostList& list);
  /// Asks discovery for the complete list, in place of the watch that is open.
  void requestCompleteList() { discovery_.requestCompleteList(); }

  // --- Draining.
  /// Lame duck: not ready, responses close their connections, and idle connections are closed after a while.
  /// New connections are still accepted.
  void enterLameDuck();
  void leaveLameDuck();
  /// Not ready any more; answers what is open and what still comes, by a drain::DrainPlan. `onDrained` is
  /// called once, when nothing is left.
  void drain(std::function<void()> onDrained);
  /// Clients' connections go to another process when they become idle, instead of being closed; see
  /// `Listener::handOver`. An empty function ends that: they are closed again.
  void handOverClients(std::function<bool(int fd)> handOver);
  /// Takes over a connection of an idle client from another process. The descriptor is owned from here on.
  void adoptClient(int fd) { listener_.adopt(fd); }

  // --- State.
  /// It would serve clients: knows hosts, and neither drains nor is a lame duck.
  bool ready() const;
  bool isListed(const std::string& host) const { return hosts_.isListed(host); }
  /// When an attempt last showed that the host lives; 0: never, or the host is not known.
  Time lastResponseAt(const std::string& host) const;
  using HostView = UpstreamHostView;
  std::vector<HostView> hosts() const { return hosts_.views(); }
  GatewayMetrics metrics() const;
  load_balancing::LearnedState learnedState() const { return balancer_.learnedState(); }
  tcp::endpoint endpoint() const { return listener_.endpoint(); }
  std::size_t openRequests() const { return requests_.table().size(); }
  std::size_t upstreamConnections() const { return pool_.connections(); }
  std::size_t upstreamOpened() const { return pool_.opened(); }
  /// Hosts of which the gateway or its pool keeps a record.
  std::size_t trackedHosts() const { return std::max(hosts_.size(), pool_.upstreams()); }
  std::size_t clientConnections() const { return listener_.size(); }
  struct DescriptorLimits {  ///< Connections at most; `refused`: beyond `clients`, while they are refused.
    std::size_t clients = 0, refused = 0, upstream = 0;
  };
  DescriptorLimits descriptorLimits() const {
    return {listener_.maxConnections(), listener_.maxRefusedConnections(), pool_.maxConnections()};
  }

 private:
  // ClientCallbacks
  void onClientRequest(const std::shared_ptr<ClientSession>& session, ClientRequest&& request,
                       bool bodyComplete) override;
  void onClientBody(load_balancing::RequestId request, std::string&& piece, bool last) override;
  void onClientDisconnected(load_balancing::RequestId request) override;
  void onResponseWritten(RelayId relay) override { relays_.onWritten(relay); }
  void onResponseAborted(RelayId relay) override { relays_.onAborted(relay); }

  // UpstreamCallbacks
  std::optional<OutgoingRequest> composeRequest(AttemptId attempt, load_balancing::Outcome& unsent) override {
    return attempts_.compose(attempt, unsent);
  }
  bool maySendLastByte(AttemptId attempt) override { return attempts_.maySendLastByte(attempt); }
  void onReadyForRequestBody(AttemptId attempt) override { attempts_.onReadyForRequestBody(attempt); }
  void onResponseHeaders(AttemptId attempt) override;
  void onResponseBegun(AttemptId attempt, UpstreamResponse&& response,
                       std::optional<std::uint64_t> length) override;
  void onResponseBody(AttemptId attempt, std::string&& piece, bool last) override {
    relays_.onBody(attempt, std::move(piece), last);
  }
  void onResponseTruncated(AttemptId attempt) override { relays_.onTruncated(attempt); }
  void onUpgraded(AttemptId attempt, tcp::socket&& socket, std::string&& early,
                  const boost::beast::http::fields& head) override;
  void onOutcome(AttemptId attempt, load_balancing::Outcome outcome, UpstreamResponse&& response) override;

  // DiscoveryCallbacks
  void onHostList(HostList&& list) override;
  void onDiscoveryLost() override;

  // RequestFilterCallbacks
  void respondToHeld(load_balancing::RequestId request, Response&& response) override;
  void admitHeld(load_balancing::RequestId request) override;
  void abandonContinued(load_balancing::RequestId request) override;

  // ProtocolHandlerCallbacks
  load_balancing::RequestId newRequest() override { return requests_.table().newId(); }
  void submitRequest(ProtocolHandler& handler, const load_balancing::Request& request) override;
  void attemptEstablished(load_balancing::RequestId request, std::uint32_t attempt) override;
  void attemptEnded(load_balancing::RequestId request, std::uint32_t attempt, load_balancing::HostId host,
                    load_balancing::Outcome outcome, Duration elapsed, bool last) override;
  void clientDisconnected(load_balancing::RequestId request) override;
  load_balancing::HostPhase hostPhase(load_balancing::HostId host) const override;

  bool respondToHealthCheck(ClientSession& session, const ClientRequest& message) const;
  void updateHosts(const HostList& list, load_balancing::HostListUpdate kind);

  void executeActions();
  void execute(const load_balancing::Action& action);
  bool executeFor(ProtocolHandler& handler, const load_balancing::Action& action);
  void cancel(const load_balancing::Action& action);
  void queueHeldAction(HeldRequestAction&& action);

  void armTimer();
  void onTimer();
  Duration timerDelay() const;
  void maintain(Time now);
  void continueDrain(Time now);
  void answerEverythingOpen();

  const Clock& clock_;
  GatewayConfig config_;
  load_balancing::LoadBalancer balancer_;
  Listener listener_;
  UpstreamPool pool_;
  GatewayExtensions extensions_;
  GatewayMetricsCollector metrics_;
  UpstreamHostTable hosts_;
  RequestManager requests_;
  ResponseRelays relays_;
  AttemptManager attempts_;
  ProtocolHandlerRegistry protocolHandlers_;
  Discovery discovery_;

  boost::asio::steady_timer timer_;
  Time timerAt_{};       // 0: the timer is not armed
  Time balancerWake_{};  // when the load balancer wants its timer; 0: it does not
  Time maintenanceAt_{};
  EventLoopLag lag_;

  bool executing_ = false;  // actions are being executed
  bool lameDuck_ = false;
  std::optional<drain::DrainPlan> drainPlan_;  // while draining
  std::function<void()> onDrained_;
};

}  // namespace finchstile
