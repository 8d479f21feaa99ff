#include "net/gateway.hpp"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <string_view>
#include <utility>

#include "net/gateway_limits.hpp"
#include "net/string_view.hpp"

namespace finchstile {
namespace {

namespace http = boost::beast::http;
using boost::system::error_code;
using load_balancing::ActionKind;
using load_balancing::HostId;
using load_balancing::HostListUpdate;
using load_balancing::HostPhase;
using load_balancing::Outcome;
using load_balancing::RequestId;
using std::chrono::milliseconds;

constexpr Duration kMaintenanceInterval = milliseconds(250);
constexpr Duration kMaintenanceIntervalInDrain = milliseconds(20);
// Within this time the platform's load balancers notice that the gateway is not ready, and clients that send
// another request learn of it from `Connection: close`. Connections that are idle for longer are closed.
constexpr Duration kIdleTimeInLameDuck = milliseconds(1200);

}  // namespace

Gateway::Gateway(boost::asio::io_context& io, const Clock& clock, GatewayConfig config)
    : clock_(clock),
      config_(std::move(config)),
      balancer_(config_.settings, clock.now()),
      listener_(io, clock, config_.listen, config_.inheritedListenerDescriptor, maxClientConnections(config_),
                config_.options.clients, *this),
      pool_(io, clock, upstreamPoolLimits(config_), *this),
      metrics_(config_.settings.classes),
      hosts_(clock, balancer_, pool_),
      requests_(clock, config_, balancer_, extensions_, metrics_),
      relays_(requests_.table(), pool_, metrics_),
      attempts_(clock, config_, balancer_, extensions_, metrics_, hosts_, requests_, relays_, pool_),
      discovery_(io, clock, config_.discovery, discoveryTimeouts(config_.settings),
                 config_.knownHosts.version, *this),
      timer_(io) {}

void Gateway::start() {
  maintenanceAt_ = clock_.now() + kMaintenanceInterval;
  if (extensions_.hostListInterceptor) extensions_.hostListInterceptor->onInitialList(config_.knownHosts);
  updateHosts(config_.knownHosts, HostListUpdate::restored);
  if (!config_.settings.pollsDiscovery) discovery_.watch();
  listener_.start();
}

// --- Changes while it runs

void Gateway::reload(const GatewayConfig& next) {
  if (extensions_.hostListInterceptor) extensions_.hostListInterceptor->onDiscoveryMoved();
  balancer_.onHostListUpdate(clock_.now(), HostListUpdate::discoveryMoved, {});
  discovery_.move(next.discovery, next.knownHosts);
  executeActions();
}

void Gateway::applyDynamicSettings(const configuration::SettingsChange& change) {
  load_balancing::DynamicSettings settings;
  settings.classes = change.classes;
  for (const auto& tenant : change.tenants)
    if (tenant.quotaPerSecond) settings.tenants.push_back({tenant.index, *tenant.quotaPerSecond});
  balancer_.onDynamicSettings(clock_.now(), settings);
  TenantTable& tenants = requests_.tenants();
  for (const auto& tenant : change.tenants) {
    if (tenant.quotaPerSecond) tenants.list(tenant.index, tenant.name);
    else tenants.unlist(tenant.name);
  }
  for (const auto& changed : change.classes) {
    load_balancing::ClassSettings& classSettings = config_.settings.classes[changed.index];
    classSettings.latencyObjective = changed.latencyObjective;
    classSettings.priorityWeight = changed.priorityWeight;
    classSettings.lateValueFraction = changed.lateValueFraction;
  }
  executeActions();
}

void Gateway::setOptions(const GatewayOptions& options) {
  listener_.setOptions(options.clients);
  pool_.setConnectionOptions(options.maxConnectingPerHost, options.minVerificationTime);
}

void Gateway::restoreLearnedState(const load_balancing::LearnedState& learned) {
  balancer_.restoreLearnedState(clock_.now(), learned);
  executeActions();
}

// --- Clients

bool Gateway::respondToHealthCheck(ClientSession& session, const ClientRequest& message) const {
  const std::string_view target = view(message.target());
  if (target == "/health/live") {
    session.respond(plainResponse(http::status::ok));
  } else if (target == "/health/ready") {
    session.respond(plainResponse(ready() ? http::status::ok : http::status::service_unavailable));
  } else {
    return false;
  }
  return true;
}

void Gateway::onClientRequest(const std::shared_ptr<ClientSession>& session, ClientRequest&& message,
                              bool bodyComplete) {
  if (respondToHealthCheck(*session, message)) return;
  if (requests_.receive(session, std::move(message), bodyComplete, lag_.at(clock_.now()))) executeActions();
}

void Gateway::onClientBody(RequestId request, std::string&& piece, bool last) {
  if (attempts_.forwardRequestBody(request, std::move(piece), last)) executeActions();
}

void Gateway::onClientDisconnected(RequestId request) {
  if (requests_.onClientDisconnected(request)) executeActions();
}

// --- Hosts

void Gateway::onResponseHeaders(AttemptId attempt) {
  if (attempts_.onResponseHeaders(attempt)) armTimer();
}

void Gateway::onResponseBegun(AttemptId attempt, UpstreamResponse&& response,
                              std::optional<std::uint64_t> length) {
  attempts_.onResponseBegun(attempt, std::move(response), length);
  executeActions();
}

void Gateway::onUpgraded(AttemptId attempt, tcp::socket&& socket, std::string&& early,
                         const http::fields& head) {
  if (attempts_.onUpgraded(attempt, std::move(socket), std::move(early), head)) executeActions();
}

void Gateway::onOutcome(AttemptId attempt, Outcome outcome, UpstreamResponse&& response) {
  attempts_.settle(attempt, outcome, std::move(response));
  executeActions();
}

// --- The endpoint list

void Gateway::onHostList(HostList&& list) {
  if (!extensions_.hostListInterceptor) return applyHostList(list);
  if (const auto accepted = extensions_.hostListInterceptor->onList(std::move(list)))
    return applyHostList(*accepted);
  // An empty change shows the load balancer that the watch works; otherwise it would poll again.
  applyHostList({});
}

void Gateway::onDiscoveryLost() {
  if (extensions_.hostListInterceptor) extensions_.hostListInterceptor->onWatchLost();
  balancer_.onHostListUpdate(clock_.now(), HostListUpdate::unavailable, {});
  executeActions();
}

void Gateway::applyHostList(const HostList& list) {
  updateHosts(list, list.complete ? HostListUpdate::complete : HostListUpdate::incremental);
}

// Applies the list as it stands once more, so that what the filters change shows as a change of the list.
void Gateway::reapplyHostFilters() { updateHosts(hosts_.listedHosts(), HostListUpdate::incremental); }

void Gateway::updateHosts(const HostList& list, HostListUpdate kind) {
  const std::vector<HostPhaseChange> changes = hosts_.apply(list, kind);
  if (extensions_.attemptLog)
    for (const auto& [id, phase] : changes)
      extensions_.attemptLog->onHostPhase(hosts_.find(id)->listed.address, phase);
  protocolHandlers_.onHostPhasesChanged(changes);
  executeActions();
}

Time Gateway::lastResponseAt(const std::string& host) const {
  const UpstreamHost* const known = hosts_.findByName(host);
  return known ? known->lastResponseAt : Time{};
}

// --- Held requests

void Gateway::respondToHeld(RequestId request, Response&& response) {
  queueHeldAction({HeldRequestAction::Kind::respond, request, std::move(response)});
}

void Gateway::admitHeld(RequestId request) { queueHeldAction({HeldRequestAction::Kind::admit, request, {}}); }

void Gateway::abandonContinued(RequestId request) {
  queueHeldAction({HeldRequestAction::Kind::abandon, request, {}});
}

void Gateway::queueHeldAction(HeldRequestAction&& action) {
  requests_.held().queue(std::move(action));
  // A filter may call from a timer of its own. Then only the gateway's timer executes the action.
  if (!executing_) armTimer();
}

// --- Protocol handlers

void Gateway::submitRequest(ProtocolHandler& handler, const load_balancing::Request& request) {
  protocolHandlers_.addRequest(request.id, handler);
  balancer_.onRequest(clock_.now(), request);
  executeActions();
}

void Gateway::attemptEstablished(RequestId request, std::uint32_t attempt) {
  balancer_.onResponseStarted(clock_.now(), request, attempt);
  executeActions();
}

void Gateway::attemptEnded(RequestId request, std::uint32_t attempt, HostId host, Outcome outcome,
                           Duration elapsed, bool last) {
  load_balancing::AttemptResult result;
  result.request = request;
  result.attempt = attempt;
  result.host = host;
  result.outcome = outcome;
  result.elapsed = elapsed;
  result.requestEnded = last;
  if (last) protocolHandlers_.removeRequest(request);
  balancer_.onAttemptResult(clock_.now(), result);
  executeActions();
}

void Gateway::clientDisconnected(RequestId request) {
  balancer_.onClientDisconnected(clock_.now(), request);
  executeActions();
  protocolHandlers_.removeRequest(request);
}

HostPhase Gateway::hostPhase(HostId host) const {
  const UpstreamHost* const known = hosts_.find(host);
  return known ? known->effectivePhase : HostPhase::removed;
}

// --- Actions of the load balancer

// Executing an action may bring results at once, and these further actions. All are executed one after the
// other, never from within another.
void Gateway::executeActions() {
  if (executing_) return;
  executing_ = true;
  while (!balancer_.actions().empty() || attempts_.hasCancelled() || requests_.held().hasActions()) {
    const std::vector<load_balancing::Action> actions = std::exchange(balancer_.actions(), {});
    // A cancelled attempt is closed before anything else goes out for its request, the response included.
    for (const auto& action : actions)
      if (action.kind == ActionKind::cancelAttempt) cancel(action);
    const auto closed = attempts_.closeCancelled();
    for (const auto& action : actions) execute(action);
    for (HeldRequestAction& action : requests_.held().takeActions())
      requests_.executeHeldAction(std::move(action));
    attempts_.settleCancelled(closed);
  }
  executing_ = false;
  armTimer();
}

void Gateway::cancel(const load_balancing::Action& action) {
  if (ProtocolHandler* const handler = protocolHandlers_.ownerOf(action.request))
    return handler->onCancelAttempt(action.request, action.attempt);
  attempts_.cancel(action);
}

void Gateway::execute(const load_balancing::Action& action) {
  ProtocolHandler* const handler = protocolHandlers_.ownerOf(action.request);
  if (handler && executeFor(*handler, action)) return;
  switch (action.kind) {
    case ActionKind::sendAttempt: return attempts_.send(action);
    case ActionKind::reject: return requests_.reject(action.request, action.duration);
    case ActionKind::fail: return requests_.fail(action.request);
    case ActionKind::setTimer:
      balancerWake_ = balancerWake_ == Time{} ? action.duration : std::min(balancerWake_, action.duration);
      return;
    case ActionKind::pollDiscovery: return discovery_.watch();
    case ActionKind::log: std::fprintf(stderr, "%s\n", action.text.c_str()); return;
    case ActionKind::cancelAttempt:  // has been executed ahead of the others
    // The gateway carries out neither probes nor messages of the decision module: they have no result, and
    // the pick goes on without them.
    case ActionKind::probeHost:
    case ActionKind::sendPeerMessage: return;
  }
}

// False: the action is none that a protocol handler executes.
bool Gateway::executeFor(ProtocolHandler& handler, const load_balancing::Action& action) {
  switch (action.kind) {
    case ActionKind::sendAttempt: {
      const UpstreamHost* const host = hosts_.find(action.host);
      if (!host) return false;  // the load balancer knows only hosts of the table
      handler.onSendAttempt(action.request, action.attempt,
                            {action.host, host->endpoint, host->listed.address, host->listed.zone},
                            action.duration);
      return true;
    }
    case ActionKind::cancelAttempt: return true;  // has been executed ahead of the others
    case ActionKind::reject:
      protocolHandlers_.removeRequest(action.request);
      handler.onRequestRejected(action.request, action.duration);
      return true;
    case ActionKind::fail:
      protocolHandlers_.removeRequest(action.request);
      handler.onRequestFailed(action.request);
      return true;
    default: return false;
  }
}

// --- The timer

void Gateway::armTimer() {
  Time next = maintenanceAt_;
  if (balancerWake_ != Time{}) next = std::min(next, balancerWake_);
  if (const auto deadline = attempts_.nextDeadline()) next = std::min(next, *deadline);
  if (const auto deadline = requests_.held().nextDeadline()) next = std::min(next, *deadline);
  if (requests_.held().hasActions()) next = std::min(next, clock_.now());
  if (next == timerAt_) return;
  timerAt_ = next;
  timer_.expires_at(clock_.steady(next));
  timer_.async_wait([this](error_code stopped) {
    if (!stopped) onTimer();
  });
}

// How late the loop is with its timer: what it handles now may have waited as long.
Duration Gateway::timerDelay() const {
  return timerAt_ == Time{} ? Duration{} : std::max(clock_.now() - timerAt_, Duration{});
}

void Gateway::onTimer() {
  const Time now = clock_.now();
  const Duration late = timerDelay();
  lag_.record(now, late);
  if (drainPlan_) drainPlan_->onLag(late);
  timerAt_ = Time{};
  attempts_.settleExpired(now);
  requests_.failExpiredHeld(now);
  if (balancerWake_ != Time{} && balancerWake_ <= now) {
    balancerWake_ = Time{};
    balancer_.onTimer(clock_.now());
  }
  if (now >= maintenanceAt_) maintain(now);
  executeActions();
}

void Gateway::maintain(Time now) {
  hosts_.forgetRemoved();
  maintenanceAt_ = now + (drainPlan_ ? kMaintenanceIntervalInDrain : kMaintenanceInterval);
  listener_.sweep();
  pool_.sweep();
  // Where discovery pushes its lists, a watch has to be open, in a drain as well.
  if (!config_.settings.pollsDiscovery) discovery_.watch();
  if (drainPlan_) continueDrain(now);
}

// --- Draining

bool Gateway::ready() const { return !drainPlan_ && !lameDuck_ && !hosts_.empty(); }

void Gateway::enterLameDuck() {
  if (std::exchange(lameDuck_, true) || drainPlan_) return;
  listener_.enterLameDuck(clock_.now() + kIdleTimeInLameDuck);
}

void Gateway::leaveLameDuck() {
  if (!std::exchange(lameDuck_, false) || drainPlan_) return;
  listener_.leaveLameDuck();
}

void Gateway::handOverClients(std::function<bool(int)> handOver) {
  const bool ends = !handOver;
  listener_.handOver(std::move(handOver));
  if (ends && drainPlan_) listener_.enterLameDuck(clock_.now() + kIdleTimeInLameDuck);
}

void Gateway::drain(std::function<void()> onDrained) {
  if (drainPlan_) return;
  onDrained_ = std::move(onDrained);
  // A loop that is late found the signal late too, and the platform counts from when it was sent.
  const Time signalledAt = clock_.now() - std::max(lag_.at(clock_.now()), timerDelay());
  drainPlan_.emplace(signalledAt,
                     drain::DrainSettings{longestClientTimeout(config_.settings),
                                          config_.options.drainServeTime, listener_.inherited()});
  maintenanceAt_ = clock_.now();
  if (listener_.inherited()) {  // the process that shares the listener accepts what comes from now on
    listener_.beginDrain();
    listener_.close();
    listener_.enterLameDuck(signalledAt + kIdleTimeInLameDuck);
  }
  protocolHandlers_.onDrain(drainPlan_->exitTime());
  armTimer();
}

void Gateway::continueDrain(Time now) {
  // A response that closes its connection sends its client to a front that may have no other gateway.
  if (now >= drainPlan_->serveDeadline()) listener_.beginDrain();
  if (now >= drainPlan_->finalResponseTime() && onDrained_) answerEverythingOpen();
  const bool noClients = listener_.size() == 0 && now >= drainPlan_->acceptDeadline();
  if (now < drainPlan_->listenerCloseTime() && !noClients) return;
  listener_.close();
  const bool idle = listener_.size() == 0 && protocolHandlers_.allIdle();
  if ((idle || now >= drainPlan_->exitTime()) && onDrained_) std::exchange(onDrained_, nullptr)();
}

// A request that was accepted late in a drain may have longer than this process. Its client gets a response
// that claims nothing about whether the request ran.
void Gateway::answerEverythingOpen() {
  requests_.failAll();
  listener_.refuseIncompleteRequests();
  executeActions();
}

// --- Metrics

GatewayMetrics Gateway::metrics() const {
  GatewayMetrics metrics = metrics_.snapshot();
  metrics.attemptsSent = pool_.sends();
  metrics.activeRequests = relays_.size() + requests_.table().unfinishedCount();
  metrics.listedHosts = hosts_.listedCount();
  metrics.avoidedHosts = hosts_.avoidedCount();
  return metrics;
}

}  // namespace finchstile
