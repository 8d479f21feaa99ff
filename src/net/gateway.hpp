// The gateway: passes socket events to the load balancer and executes the load balancer's actions as I/O. It
// makes no load-balancing decisions.
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

/// Connects the components of the gateway: each event goes to the component that owns its state, and the
/// actions that the load balancer queues in response are executed. Owns the load balancer and the only timer.
/// Not thread-safe: all functions must be called from the thread that runs the io_context.
class Gateway : ClientCallbacks,
                UpstreamCallbacks,
                DiscoveryCallbacks,
                RequestFilterCallbacks,
                ProtocolHandlerCallbacks {
 public:
  /// Binds the listener. Throws std::runtime_error if the address can't be bound or the inherited descriptor
  /// can't be used.
  Gateway(boost::asio::io_context& io, const Clock& clock, GatewayConfig config);

  // --- Extensions. Everything that is attached must outlive the gateway.
  /// Filters are called in the order in which they were attached. Must not be called from within a filter.
  void attach(RequestFilter& filter) { extensions_.filters.attach(filter); }
  RequestFilterCallbacks& filterCallbacks() { return *this; }
  /// To be called before `start`.
  void attach(ProtocolHandler& handler) { protocolHandlers_.attach(handler); }
  ProtocolHandlerCallbacks& protocolHandlerCallbacks() { return *this; }
  void setUpgradeHandler(UpgradeHandler& handler) { extensions_.upgradeHandler = &handler; }
  void addHostEntryFilter(const HostEntryFilter& filter) { hosts_.addFilter(filter); }
  /// The following three are to be called before `start`.
  void setHostListInterceptor(HostListInterceptor& interceptor) {
    extensions_.hostListInterceptor = &interceptor;
  }
  void setHostObserver(HostObserver& observer) { extensions_.hostObserver = &observer; }
  void setAttemptLog(AttemptLog& log) { extensions_.attemptLog = &log; }

  /// Applies the hosts of the configuration, watches discovery, and accepts clients.
  void start();

  // --- Changes at run time.
  /// Watches the discovery service that `next` names; hosts, requests and connections are kept. All other
  /// changes in `next` take effect at the next start.
  void reload(const GatewayConfig& next);
  /// Replaces the settings of classes and tenants atomically. Active requests keep the settings with which
  /// they started. Throws std::invalid_argument and changes nothing if a setting is invalid.
  void applyDynamicSettings(const configuration::SettingsChange& change);
  /// Takes effect at once, except for the fractions of descriptors, which take effect at the next start.
  void setOptions(const GatewayOptions& options);
  /// Adopts state that the load balancer of another gateway process learned; see
  /// `LoadBalancer::restoreLearnedState`.
  void restoreLearnedState(const load_balancing::LearnedState& learned);
  /// Applies a complete list of the present discovery service that another process had, as if discovery had
  /// sent it. Does nothing if this process has one that is as new.
  void restoreEndpointList(HostList&& list);

  // --- The endpoint list.
  /// To be called when the result of a HostEntryFilter may have changed.
  void reapplyHostFilters();
  /// Applies a list without passing it to the interceptor.
  void applyHostList(const HostList& list);
  /// Requests the complete list from discovery, in place of the open watch.
  void requestCompleteList() { discovery_.requestCompleteList(); }

  // --- Draining.
  /// Enters lame duck mode: the gateway is not ready, responses close their connections, and idle connections
  /// are closed after a grace period. New connections are still accepted.
  void enterLameDuck();
  void leaveLameDuck();
  /// Drains the gateway: it is not ready any more, and serves open and new requests according to a
  /// drain::DrainPlan. `onDrained` is called once, when nothing is left or the plan's exit time has passed.
  void drain(std::function<void()> onDrained);
  /// Hands idle client connections over to another process instead of closing them; see `Listener::handOver`.
  /// An empty function ends the hand-over: they are closed again.
  void handOverClients(std::function<bool(int fd)> handOver);
  /// Takes over the connection of an idle client from another process. Takes ownership of the descriptor.
  void adoptClient(int fd) { listener_.adopt(fd); }
  /// Ids of requests whose clients left while a host may have been executing them; requests that come with
  /// them again are refused. `added` times are of this process's clock.
  const AbandonedIds& abandonedIds() const { return requests_.table().abandonedIds(); }
  void addAbandonedId(std::string_view id, Time added) { requests_.table().abandonedIds().add(id, added); }
  /// `onAbandoned` is called for each id that this process adds itself.
  void onIdAbandoned(std::function<void(std::string_view id, Time added)> onAbandoned) {
    requests_.table().onIdAbandoned = std::move(onAbandoned);
  }

  // --- State.
  /// Returns true if there are hosts and the gateway neither drains nor is in lame duck mode.
  bool ready() const;
  bool isListed(const std::string& host) const { return hosts_.isListed(host); }
  /// When an attempt last received a response from the host; 0 if none did or the host is unknown.
  Time lastResponseAt(const std::string& host) const;
  using HostView = UpstreamHostView;
  std::vector<HostView> hosts() const { return hosts_.views(); }
  GatewayMetrics metrics() const;
  load_balancing::LearnedState learnedState() const { return balancer_.learnedState(); }
  /// The list in force, complete and with the version of the present discovery service.
  HostList endpointList() const;
  const tcp::endpoint& discoveryEndpoint() const { return discovery_.endpoint(); }
  tcp::endpoint endpoint() const { return listener_.endpoint(); }
  std::size_t openRequests() const { return requests_.table().size(); }
  std::size_t upstreamConnections() const { return pool_.connections(); }
  std::size_t upstreamOpened() const { return pool_.opened(); }
  /// Number of hosts of which the gateway or its pool keeps a record.
  std::size_t trackedHosts() const { return std::max(hosts_.size(), pool_.upstreams()); }
  std::size_t clientConnections() const { return listener_.size(); }
  /// Maximum numbers of connections. `refused` limits connections beyond `clients` that exist while they are
  /// refused.
  struct DescriptorLimits {
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
  std::optional<OutgoingRequest> composeRequest(AttemptId attempt, const ConnectionUse& connection,
                                                load_balancing::Outcome& unsentOutcome) override {
    return attempts_.compose(attempt, connection, unsentOutcome);
  }
  std::optional<load_balancing::Outcome> refuseLastByte(AttemptId attempt) override {
    return attempts_.refuseLastByte(attempt);
  }
  void onReadyForRequestBody(AttemptId attempt) override { attempts_.onReadyForRequestBody(attempt); }
  void onResponseHeaders(AttemptId attempt) override;
  void onResponseBegun(AttemptId attempt, UpstreamResponse&& response,
                       std::optional<std::uint64_t> length) override;
  void onResponseBody(AttemptId attempt, std::string&& piece, bool last) override {
    relays_.onBody(attempt, std::move(piece), last);
  }
  void onTransferEnded(AttemptId attempt, const TransferEnd& end) override {
    attempts_.onTransferEnded(attempt, end);
  }
  void onResponseTruncated(AttemptId attempt) override { relays_.onTruncated(attempt); }
  void onUpgraded(AttemptId attempt, tcp::socket&& socket, std::string&& unreadFromHost,
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
  bool executeByHandler(ProtocolHandler& handler, const load_balancing::Action& action);
  void cancel(const load_balancing::Action& action);
  void queueHeldAction(HeldRequestAction&& action);

  void armTimer();
  void onTimer();
  Duration timerDelay() const;
  void maintain(Time now);
  void continueDrain(Time now);
  void failOpenRequests();

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
  Time timerAt_{};          // 0 if the timer is not armed
  Time balancerTimerAt_{};  // when the load balancer's timer is due; 0 if it is not set
  Time maintenanceAt_{};
  EventLoopLag lag_;

  bool executing_ = false;  // actions are being executed
  bool lameDuck_ = false;
  std::optional<drain::DrainPlan> drainPlan_;  // while draining
  std::function<void()> onDrained_;
};

}  // namespace finchstile
