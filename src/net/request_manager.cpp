#include "net/request_manager.hpp"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <utility>

#include "net/framing.hpp"
#include "net/string_view.hpp"

namespace finchstile {

namespace http = boost::beast::http;
using load_balancing::RequestId;

// Of a client that waits no longer; its request is refused at once.
static constexpr Duration kMinTimeLeft = std::chrono::milliseconds(1);

RequestManager::RequestManager(const Clock& clock, const GatewayConfig& config,
                               load_balancing::LoadBalancer& balancer, const GatewayExtensions& extensions,
                               GatewayMetricsCollector& metrics)
    : clock_(clock),
      config_(config),
      balancer_(balancer),
      extensions_(extensions),
      metrics_(metrics),
      reader_(config.settings) {}

bool RequestManager::receive(const std::shared_ptr<ClientSession>& session, ClientRequest&& message,
                             bool bodyComplete, Duration lag) {
  UpgradeHandler* const handler = extensions_.upgradeHandler;
  const bool isUpgrade = handler && handler->isUpgradeRequest(message);
  if (isUpgrade)
    if (std::optional<Response> refusal = handler->checkRequest(message)) {
      session->respond(std::move(*refusal));
      return false;
    }
  load_balancing::Request balancerRequest;
  http::status status = reader_.read(message, balancerRequest);
  // A host would treat a second request with the id of an active one as a repetition of it.
  if (status == http::status::ok &&
      !table_.reserveCorrelationId(view(message["X-Correlation-Id"]), clock_.now()))
    status = http::status::conflict;
  if (status != http::status::ok) {
    Response refusal = plainResponse(status);
    refusal.close = true;  // A client that sends an invalid request is likely to send more of them.
    session->respond(std::move(refusal));
    return false;
  }
  // The request may have waited in the socket's receive buffer while the event loop was busy, and its client
  // counts that time.
  const Duration timeLeft = balancerRequest.timeLeft;
  const Duration waited = std::max(std::min(lag, timeLeft / 4), session->unreadTime());
  balancerRequest.timeLeft = std::max(timeLeft - waited, kMinTimeLeft);
  balancerRequest.id = table_.newId();
  ActiveRequest& request = table_.add(balancerRequest.id);
  request.client = session;
  request.message = std::make_shared<const ClientRequest>(std::move(message));
  request.classIndex = balancerRequest.classIndex;
  request.repeatable =
      config_.settings.classes[request.classIndex].idempotency == load_balancing::Idempotency::idempotent;
  request.arrivedAt = clock_.now();
  // That of an incomplete body counts from `ClientSession::lastByteNotBefore`.
  request.timeLeft = bodyComplete ? balancerRequest.timeLeft : timeLeft - (waited - session->unreadTime());
  request.bodyIncomplete = balancerRequest.bodyIncomplete = !bodyComplete;
  if (isUpgrade) {
    balancerRequest.isStream = true;
    balancerRequest.timeLeft = std::min(balancerRequest.timeLeft, handler->handshakeTimeout());
    request.pendingUpgrade =
        std::make_unique<PendingUpgrade>(PendingUpgrade{session->remoteEndpoint(), clock_.now()});
    handler->onUpgradeRequested();
  }
  session->setRequest(balancerRequest.id);
  if (!hasMemoryFor(*request.message)) {
    reject(balancerRequest.id, {});
    return true;
  }
  FilterDecision decision;
  if (!extensions_.filters.empty()) {
    request.context = makeContext(balancerRequest, request.message);
    decision = extensions_.filters.onRequestReceived(*request.context);
    balancerRequest.earlierAttempt = request.context->earlierAttempt;
    balancerRequest.preferLocalZone = request.context->preferLocalZone;
  }
  // Holding the request would suspend the transfer of its body, beyond any timeout of the client.
  if (decision.hold && !bodyComplete) decision = {plainResponse(http::status::payload_too_large), false};
  if (decision.response) {
    respond(balancerRequest.id, RequestResult::rejectedByFilter, std::move(*decision.response));
  } else if (decision.hold) {
    request.heldUntil = held_.hold(clock_.now(), balancerRequest, config_.settings.eventInterval);
  } else {
    balancer_.onRequest(clock_.now(), balancerRequest);
  }
  return true;
}

// What is forwarded of a request has a copy, until it is written.
bool RequestManager::hasMemoryFor(const ClientRequest& message) const {
  constexpr std::size_t kCopies = 2;
  if (!config_.memory) return true;
  return config_.memory->grant(kCopies * message.body().size() + kMaxReadBytes, MemoryUse::request);
}

bool RequestManager::onClientDisconnected(RequestId id) {
  ActiveRequest* const request = table_.findUnfinished(id);
  if (!request) return false;
  const bool held = request->isHeld();
  if (!held && request->context && extensions_.filters.continuesWithoutClient(*request->context)) {
    request->client.reset();
    return false;
  }
  finish(id, *request, RequestResult::clientDisconnected);
  if (!held) balancer_.onClientDisconnected(clock_.now(), id);
  table_.releaseIfDone(id);
  return true;
}

void RequestManager::respond(RequestId id, RequestResult result, Response&& response,
                             const UpstreamResponse* upstream) {
  ActiveRequest* const request = table_.findUnfinished(id);
  if (!request) return;
  RequestContext* const context = request->context.get();
  const RequestFilterChain& filters = extensions_.filters;
  if (context) {
    // A failure with a status other than 502 passes on a client error from a host.
    const bool fromUpstream =
        upstream || (result == RequestResult::failed && response.status != http::status::bad_gateway);
    const std::optional<PartialResponse>& partial = response.partial;
    const ResponseHead head{static_cast<unsigned>(response.status),
                            fromUpstream,
                            upstream ? &upstream->head : nullptr,
                            response.contentType,
                            response.body,
                            !partial,
                            partial ? partial->length.value_or(0) : 0};
    filters.onResponseHeaders(*context, head, response.headers);
  }
  request->finished = true;
  request->responseStatus = static_cast<unsigned>(response.status);
  if (!response.partial) metrics_.onResponse(request->classIndex, response.status);
  if (const auto client = request->client.lock()) client->respond(std::move(response));
  if (context) filters.onResponseSent(*context);
  finish(id, *request, result);
  table_.releaseIfDone(id);
}

void RequestManager::reject(RequestId id, Duration retryAfter) {
  Response response = plainResponse(http::status::service_unavailable);
  response.retryAfter = retryAfter;
  respond(id, RequestResult::rejected, std::move(response));
}

void RequestManager::fail(RequestId id) {
  const ActiveRequest* const request = table_.find(id);
  respond(id, RequestResult::failed,
          plainResponse(request ? request->failureStatus : http::status::bad_gateway));
}

void RequestManager::finish(RequestId id, ActiveRequest& request, RequestResult result) {
  if (request.isHeld()) releaseHold(id, request);
  request.finished = true;
  request.clientLeft |= result == RequestResult::clientDisconnected;
  if (extensions_.attemptLog)
    extensions_.attemptLog->onRequest({request.correlationId(), config_.settings.classes[request.classIndex],
                                       request.arrivedAt, request.timeLeft, result, request.responseStatus,
                                       request.attempts.size(), balancer_.admissionCutoff()});
  if (const auto upgrade = std::exchange(request.pendingUpgrade, nullptr))
    extensions_.upgradeHandler->onUpgradeNotEstablished(*upgrade, result);
  if (const auto context = std::exchange(request.context, nullptr))
    extensions_.filters.onRequestCompleted(*context, result);
}

void RequestManager::failAll() {
  for (const RequestId id : table_.unfinished()) {
    const ActiveRequest* const request = table_.findUnfinished(id);
    if (!request) continue;
    const bool held = request->isHeld();
    respond(id, RequestResult::failed, plainResponse(http::status::bad_gateway));
    if (!held) balancer_.onClientDisconnected(clock_.now(), id);
  }
}

void RequestManager::onUpgradeResponse(ActiveRequest& request, const http::fields& upstreamHead,
                                       std::vector<HeaderLine>& toClient) {
  constexpr unsigned kSwitchingProtocols = 101;
  request.responseStatus = kSwitchingProtocols;
  if (RequestContext* const context = request.context.get()) {
    const RequestFilterChain& filters = extensions_.filters;
    filters.onAttemptEnded(*context, true);
    filters.onResponseHeaders(*context, {kSwitchingProtocols, true, &upstreamHead, {}, {}, true, 0},
                              toClient);
    filters.onResponseSent(*context);
  }
  metrics_.onUpgrade(request.classIndex);
}

void RequestManager::executeHeldAction(HeldRequestAction&& action) {
  ActiveRequest* const request = table_.findUnfinished(action.request);
  if (!request) return;
  switch (action.kind) {
    case HeldRequestAction::Kind::respond:
      return respond(action.request, RequestResult::served, std::move(action.response));
    case HeldRequestAction::Kind::admit: return admitHeld(action.request, *request);
    case HeldRequestAction::Kind::abandon: {
      const Time now = clock_.now();
      finish(action.request, *request, RequestResult::clientDisconnected);
      balancer_.onClientDisconnected(now, action.request);
      return table_.releaseIfDone(action.request);
    }
  }
}

void RequestManager::admitHeld(RequestId id, ActiveRequest& request) {
  const Time now = clock_.now();
  const load_balancing::Request* const held = held_.find(request.heldUntil, id);
  if (!held) return;
  load_balancing::Request balancerRequest = *held;
  releaseHold(id, request);
  balancerRequest.timeLeft = std::max(request.context->deadline - now, Duration(1));
  balancerRequest.earlierAttempt = request.context->earlierAttempt;
  balancerRequest.preferLocalZone = request.context->preferLocalZone;
  balancer_.onRequest(now, balancerRequest);
}

void RequestManager::failExpiredHeld(Time now) {
  while (const auto id = held_.firstExpired(now)) {
    const ActiveRequest* const request = table_.find(*id);
    // The request that this one waited for may have run, unless the filter that holds this one has determined
    // otherwise.
    const bool neverRan = request && request->context && request->context->heldBeforeExecution;
    Response response =
        plainResponse(neverRan ? http::status::service_unavailable : http::status::bad_gateway);
    if (neverRan && config_.settings.retryAfterEnabled) response.retryAfter = config_.settings.maxRetryAfter;
    respond(*id, neverRan ? RequestResult::rejected : RequestResult::failed, std::move(response));
  }
}

void RequestManager::releaseHold(RequestId id, ActiveRequest& request) {
  held_.release(std::exchange(request.heldUntil, Time{}), id);
}

std::unique_ptr<RequestContext> RequestManager::makeContext(
    const load_balancing::Request& request, const std::shared_ptr<const ClientRequest>& message) const {
  const load_balancing::ClassSettings& settings = config_.settings.classes[request.classIndex];
  auto context = std::make_unique<RequestContext>();
  context->id = request.id;
  context->message = message;
  context->className = settings.name;
  context->classIndex = request.classIndex;
  context->tenantIndex = request.tenantIndex;
  context->idempotency = settings.idempotency;
  context->tenant = reader_.tenants().name(request.tenantIndex);
  context->deadline = clock_.now() + request.timeLeft;
  context->bodyComplete = !request.bodyIncomplete;
  if (request.bodyIncomplete) {
    const auto length = (*message)[http::field::content_length];
    std::from_chars(length.data(), length.data() + length.size(), context->bodyLength);
  }
  context->filterStates.resize(extensions_.filters.size());
  return context;
}

}  // namespace finchstile
