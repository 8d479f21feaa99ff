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
// Within this time the platform's load balancers detect that the gateway is not ready, and clients that send
// another request receive `Connection: close`. Connections that are idle for longer are closed.
constexpr Duration kIdleTimeInLameDuck = milliseconds(1200);
// How long responses that are being written may delay the exit. A part of the time before the platform's
// kill.
constexpr Duration kMaxTimeToFinishWrites = milliseconds(60);

}  // namespace

Gateway::Gateway(boost::asio::io_context& io, const Clock& clock, GatewayConfig config)
    : clock_(clock),
      config_(std::move(config)),
      balancer_(config_.settings, clock.now()),
      listener_(io, clock, config_.listen, config_.inheritedListenerDescriptor,
                {maxClientConnections(config_), maxClientBufferBytes(config_), config_.memory},
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
    if (tenant.quotaPerSecond) tenants.add(tenant.index, tenant.name);
    else tenants.remove(tenant.name);
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
  pool_.setConnectionOptions(options.maxConnectingPerHost, options.minVerificationTime,
                             options.minReuseDelay);
}

void Gateway::restoreLearnedState(const load_balancing::LearnedState& learned) {
  balancer_.restoreLearnedState(clock_.now(), learned);
  executeActions();
}

HostList Gateway::endpointList() const {
  HostList list = hosts_.listedHosts();
  list.version = discovery_.version();
  list.complete = true;
  return list;
}

void Gateway::restoreEndpointList(HostList&& list) {
  if (list.version <= discovery_.version()) return;
  if (HostListInterceptor* const interceptor = extensions_.hostListInterceptor) {
    std::optional<HostList> accepted = interceptor->onList(std::move(list));
    if (!accepted) return;
    list = std::move(*accepted);
  }
  updateHosts(list, list.complete ? HostListUpdate::restored : HostListUpdate::incremental);
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

void Gateway::onUpgraded(AttemptId attempt, tcp::socket&& socket, std::string&& unreadFromHost,
                         const http::fields& head) {
  if (attempts_.onUpgraded(attempt, std::move(socket), std::move(unreadFromHost), head)) executeActions();
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
  // An empty incremental update confirms to the load balancer that the watch works; otherwise it would poll
  // discovery again.
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

// Applies the present list again, so that changed results of the filters appear as changes of the list.
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
  const UpstreamHost* const upstreamHost = hosts_.findByName(host);
  return upstreamHost ? upstreamHost->lastResponseAt : Time{};
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
  // A filter may call this from its own timer. Then the gateway's timer executes the action.
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
  const UpstreamHost* const upstreamHost = hosts_.find(host);
  return upstreamHost ? upstreamHost->effectivePhase : HostPhase::removed;
}

// --- Actions of the load balancer

// Executing an action may produce results at once, and these may queue further actions. All are executed one
// after the other, never from within another.
void Gateway::executeActions() {
  if (executing_) return;
  executing_ = true;
  while (!balancer_.actions().empty() || attempts_.hasCancelled() || requests_.held().hasActions()) {
    const std::vector<load_balancing::Action> actions = std::exchange(balancer_.actions(), {});
    // The connection of a cancelled attempt is closed before anything else is sent for its request, including
    // the response.
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
  if (handler && executeByHandler(*handler, action)) return;
  switch (action.kind) {
    case ActionKind::sendAttempt: return attempts_.send(action);
    case ActionKind::reject: return requests_.reject(action.request, action.duration);
    case ActionKind::fail: return requests_.fail(action.request);
    case ActionKind::setTimer:
      balancerTimerAt_ =
          balancerTimerAt_ == Time{} ? action.duration : std::min(balancerTimerAt_, action.duration);
      return;
    case ActionKind::pollDiscovery: return discovery_.watch();
    case ActionKind::log: std::fprintf(stderr, "%s\n", action.text.c_str()); return;
    case ActionKind::cancelAttempt:  // executed before the others
    // The gateway implements neither probes nor peer messages of the decision module. They have no result,
    // and hosts are chosen without them.
    case ActionKind::probeHost:
    case ActionKind::sendPeerMessage: return;
  }
}

// Returns false if the action is not one that a protocol handler executes.
bool Gateway::executeByHandler(ProtocolHandler& handler, const load_balancing::Action& action) {
  switch (action.kind) {
    case ActionKind::sendAttempt: {
      const UpstreamHost* const host = hosts_.find(action.host);
      if (!host) return false;  // the load balancer only chooses hosts of this table
      handler.onSendAttempt(action.request, action.attempt,
                            {action.host, host->endpoint, host->listed.address, host->listed.zone},
                            action.duration);
      return true;
    }
    case ActionKind::cancelAttempt: return true;  // executed before the others
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
  if (balancerTimerAt_ != Time{}) next = std::min(next, balancerTimerAt_);
  if (const auto deadline = attempts_.nextDeadline()) next = std::min(next, *deadline);
  if (const auto deadline = requests_.held().nextDeadline()) next = std::min(next, *deadline);
  if (requests_.held().hasActions()) next = std::min(next, clock_.now());
  if (next == timerAt_) return;
  timerAt_ = next;
  timer_.expires_at(clock_.steady(next));
  timer_.async_wait([this](error_code cancelled) {
    if (!cancelled) onTimer();
  });
}

// Lag of the event loop's timer. Events that are being handled may have waited for as long.
Duration Gateway::timerDelay() const {
  return timerAt_ == Time{} ? Duration{} : std::max(clock_.now() - timerAt_, Duration{});
}

void Gateway::onTimer() {
  const Time now = clock_.now();
  const Duration lateness = timerDelay();
  lag_.record(now, lateness);
  if (drainPlan_) drainPlan_->onLag(lateness);
  timerAt_ = Time{};
  attempts_.settleExpired(now);
  requests_.failExpiredHeld(now);
  if (balancerTimerAt_ != Time{} && balancerTimerAt_ <= now) {
    balancerTimerAt_ = Time{};
    balancer_.onTimer(clock_.now());
  }
  if (now >= maintenanceAt_) maintain(now);
  executeActions();
}

void Gateway::maintain(Time now) {
  hosts_.eraseRemoved();
  if (config_.memory) config_.memory->read();
  maintenanceAt_ = now + (drainPlan_ ? kMaintenanceIntervalInDrain : kMaintenanceInterval);
  listener_.sweep();
  pool_.sweep();
  // If discovery pushes its lists, a watch has to be open, during a drain as well.
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
  const bool endsHandOver = !handOver;
  listener_.handOver(std::move(handOver));
  if (endsHandOver && drainPlan_) listener_.enterLameDuck(clock_.now() + kIdleTimeInLameDuck);
}

void Gateway::drain(std::function<void()> onDrained) {
  if (drainPlan_) return;
  onDrained_ = std::move(onDrained);
  // A lagging event loop handles the signal late, too, and the platform's time limit starts when the signal
  // is sent.
  const Time signalledAt = clock_.now() - std::max(lag_.at(clock_.now()), timerDelay());
  drainPlan_.emplace(signalledAt,
                     drain::DrainSettings{longestClientTimeout(config_.settings),
                                          config_.options.drainServeTime, listener_.inherited()});
  maintenanceAt_ = clock_.now();
  // The process that shares the listener accepts all connections from now on.
  if (listener_.inherited()) {
    listener_.beginDrain();
    listener_.close();
    listener_.enterLameDuck(signalledAt + kIdleTimeInLameDuck);
  }
  protocolHandlers_.onDrain(drainPlan_->exitTime());
  armTimer();
}

void Gateway::continueDrain(Time now) {
  // Connections are kept open until the serve deadline: a client whose connection is closed reconnects
  // through a front proxy, which may have no other gateway.
  if (now >= drainPlan_->serveDeadline()) listener_.beginDrain();
  if (now >= drainPlan_->finalResponseTime() && onDrained_) failOpenRequests();
  const bool noClients = listener_.size() == 0 && now >= drainPlan_->acceptDeadline();
  if (now < drainPlan_->listenerCloseTime() && !noClients) return;
  listener_.close();
  const bool idle = listener_.size() == 0 && protocolHandlers_.allIdle();
  const bool mustExit = now >= drainPlan_->exitTime() && !listener_.isWriting();
  const bool isLate = now >= drainPlan_->exitTime() + kMaxTimeToFinishWrites;
  if ((idle || mustExit || isLate) && onDrained_) std::exchange(onDrained_, nullptr)();
}

// The deadline of a request that was accepted late in a drain may be after the exit of this process. Its
// client receives a response that makes no statement about whether the request ran.
void Gateway::failOpenRequests() {
  requests_.failAll();
  listener_.refuseIncompleteRequests();
  executeActions();
}

// --- Metrics

GatewayMetrics Gateway::metrics() const {
  GatewayMetrics metrics = metrics_.snapshot();
  metrics.attemptsSent = pool_.sends();
  metrics.unsolicitedBytes = pool_.unsolicitedBytes();
  metrics.activeRequests = relays_.size() + requests_.table().unfinishedCount();
  metrics.clientBufferBytes = listener_.bufferedBytes();
  metrics.pausedReads = listener_.pausedReads();
  if (const MemoryAccount* const memory = config_.memory) {
    metrics.memory.limit = memory->limit();
    metrics.memory.resident = memory->residentBytes();
    metrics.memory.promised = memory->promisedBytes();
    for (std::size_t use = 0; use < kMemoryUses; ++use)
      metrics.memory.refused[use] = memory->refused(static_cast<MemoryUse>(use));
  }
  metrics.listedHosts = hosts_.listedCount();
  metrics.avoidedHosts = hosts_.avoidedCount();
  return metrics;
}

}  // namespace finchstile
