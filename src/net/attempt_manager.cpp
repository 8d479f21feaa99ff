#include "net/attempt_manager.hpp"

#include <algorithm>
#include <chrono>

#include "base/address.hpp"
#include "membership/load_report.hpp"
#include "net/string_view.hpp"

namespace finchstile {
namespace {

namespace http = boost::beast::http;
using load_balancing::HostPhase;
using load_balancing::Outcome;
using load_balancing::RequestId;
using std::chrono::milliseconds;

// A response that is begun, or given up, this long before the end of its client's time reaches the client in
// time. It is longer where the load balancer's events are further apart.
constexpr Duration kMinWriteTime = milliseconds(5);

// How late the deadline of a body that is still being written may be, by the time it takes to compute it.
constexpr milliseconds kMaxUnwrittenBodyLag(20);

// Response head of RFC 9110, 15.2.2, with the given additional header lines.
std::string switchingProtocolsHead(const std::vector<HeaderLine>& headers) {
  std::string head = "HTTP/1.1 101 Switching Protocols\r\n";
  for (const HeaderLine& line : headers)
    head.append(line.name).append(": ").append(line.value).append("\r\n");
  return head += "\r\n";
}

}  // namespace

void AttemptManager::send(const load_balancing::Action& action) {
  ActiveRequest* const request = requests_.table().find(action.request);
  if (!request) return;
  if (request->context && request->attempts.empty()) extensions_.filters.onRequestAdmitted(*request->context);
  const AttemptId id = table_.newId();
  const Time now = clock_.now();
  request->attempts.resize(std::max<std::size_t>(request->attempts.size(), action.attempt + 1));
  request->attempts[action.attempt] = id;
  ++request->pendingExchanges;
  // The load balancer's limit starts with the last byte of the body.
  const Time deadline = request->bodyIncomplete ? bodyDeadline(*request) : now + action.duration;
  Attempt& attempt = table_.add(
      id, {action.request, action.attempt, action.host, now, deadline, {}, {}, {}, action.sendDeadline, {}});
  const UpstreamHost* const host = hosts_.find(action.host);
  // The load balancer only chooses hosts of this table. If one were missing, the attempt would time out.
  if (!host) return;
  if (extensions_.attemptLog)
    attempt.hostObservation = {host->lastListedAt, host->lastResponseAt, host->listed.startedAt,
                               balancer_.isAvoided(action.host)};
  pool_.send(id, action.host, host->endpoint, action.verifyConnection);
}

// While the attempt waited for a connection, the request may have finished, its client may have disconnected,
// its deadline or the idempotency window may have passed, or the host may have been removed or set to
// draining. All of these are therefore checked directly before the first byte.
std::optional<OutgoingRequest> AttemptManager::compose(AttemptId id, const ConnectionUse& connection,
                                                       Outcome& unsentOutcome) {
  Attempt* const attempt = table_.find(id);
  if (!attempt) return std::nullopt;
  ActiveRequest* const request = requests_.table().findUnfinished(attempt->request);
  const UpstreamHost* const host = hosts_.find(attempt->host);
  if (!request || !host || host->effectivePhase != HostPhase::active) return std::nullopt;
  const Time now = clock_.now();
  // The last byte of an incomplete body may have been written meanwhile, and then the client's time runs.
  const Time deadline = request->bodyIncomplete ? bodyDeadline(*request) : attempt->deadline;
  const auto timeLeft = std::chrono::duration_cast<milliseconds>(deadline - now);
  if (timeLeft.count() <= 0 || now > attempt->sendDeadline) return std::nullopt;
  // The client may have closed its connection after bytes that are still unread, or while a filter continues
  // the request. No further attempt is started for it, at this host or at others.
  const auto client = request->client.lock();
  if (!client || client->isDisconnected()) {
    unsentOutcome = Outcome::notSent;
    return std::nullopt;
  }
  attempt->firstByteAt = now;
  attempt->connection = connection;
  OutgoingRequest out{composeMessage(*request, *host, timeLeft), !request->bodyIncomplete};
  out.upgrade = request->pendingUpgrade != nullptr;
  if (RequestContext* const context = request->context.get()) {
    ++context->attemptCount;
    context->zone = host->listed.zone;
    context->cell = host->listed.cell;
    context->mayHaveRun = true;  // until its outcome proves otherwise
    for (const HeaderLine& line : context->upstreamHeaders) out.message.set(line.name, line.value);
    extensions_.filters.onAttemptSending(*context, out.message);
  }
  return out;
}

UpstreamRequest AttemptManager::composeMessage(const ActiveRequest& request, const UpstreamHost& host,
                                               milliseconds timeLeft) const {
  const ClientRequest& clientRequest = *request.message;
  const bool bodyComplete = !request.bodyIncomplete;
  UpstreamRequest upstreamRequest(clientRequest.method(), clientRequest.target(), 11);
  if (clientRequest.method() == http::verb::unknown)
    upstreamRequest.method_string(clientRequest.method_string());
  upstreamRequest.set(http::field::host, addressText(host.endpoint));
  for (const char* name : {"X-Correlation-Id", "Idempotency-Key", "Content-Type"})
    if (const auto value = clientRequest[name]; !value.empty()) upstreamRequest.set(name, value);
  milliseconds told = timeLeft;
  // While the body arrives, the time of its client has not begun.
  if (!bodyComplete)
    told =
        std::min(std::chrono::duration_cast<milliseconds>(request.timeLeft), timeLeft + kMaxUnwrittenBodyLag);
  upstreamRequest.set("X-Time-Left-Ms", std::to_string(told.count()));
  upstreamRequest.body() = clientRequest.body();
  if (request.pendingUpgrade)
    for (const HeaderLine& line : extensions_.upgradeHandler->upstreamHeaders(clientRequest))
      upstreamRequest.insert(line.name, line.value);
  if (bodyComplete) {
    if (!clientRequest.body().empty() || clientRequest.method() != http::verb::get)
      upstreamRequest.content_length(clientRequest.body().size());
  } else if (const auto length = clientRequest[http::field::content_length]; !length.empty()) {
    upstreamRequest.set(http::field::content_length, length);
  } else {
    upstreamRequest.chunked(true);
  }
  return upstreamRequest;
}

// Without cancellation of attempts the host would otherwise start one whose request has finished.
std::optional<Outcome> AttemptManager::refuseLastByte(AttemptId id) {
  const Attempt* const attempt = table_.find(id);
  const ActiveRequest* const request = attempt ? requests_.table().findUnfinished(attempt->request) : nullptr;
  if (!request || clock_.now() > attempt->sendDeadline) return Outcome::connectFailed;
  // The client may have left while its body was relayed. Without a client a filter continues the request.
  const auto client = request->client.lock();
  if (client && client->isDisconnected()) return Outcome::notSent;
  return std::nullopt;
}

void AttemptManager::onReadyForRequestBody(AttemptId id) {
  const ActiveRequest* const request = requestOf(id);
  if (!request) return;
  if (const auto client = request->client.lock()) client->readBody();
}

bool AttemptManager::forwardRequestBody(RequestId id, std::string&& piece, bool last) {
  ActiveRequest* const request = requests_.table().findUnfinished(id);
  if (!request || request->attempts.empty()) return false;
  const AttemptId attemptId = request->attempts.back();
  if (last && !completeRequestBody(id, *request, attemptId)) return true;
  pool_.sendBody(attemptId, std::move(piece), last);
  return last;
}

// Returns false if the client's time is over. The attempt has ended then, without having run.
bool AttemptManager::completeRequestBody(RequestId id, ActiveRequest& request, AttemptId attemptId) {
  request.bodyIncomplete = false;
  Attempt* const attempt = table_.find(attemptId);
  if (!attempt) return true;
  const Time now = clock_.now();
  const Duration timeout = balancer_.onRequestBodyComplete(now, id, lastByteNotBefore(request));
  attempt->sentAt = now;
  table_.setDeadline(attemptId, *attempt, now + timeout);
  if (timeout > Duration{}) return true;
  pool_.abandonAttempt(attemptId);
  settle(attemptId, Outcome::connectFailed, {}, {}, true);
  return false;
}

// An incomplete body has a limit of its own, for its client counts from its last byte, which may have been
// written already although the host has not taken the bytes before it.
Time AttemptManager::bodyDeadline(const ActiveRequest& request) const {
  return lastByteNotBefore(request) + request.timeLeft - config_.settings.eventInterval;
}

Time AttemptManager::lastByteNotBefore(const ActiveRequest& request) {
  const auto client = request.client.lock();
  return client ? client->lastByteNotBefore() : request.arrivedAt;
}

void AttemptManager::cancel(const load_balancing::Action& action) {
  const ActiveRequest* const request = requests_.table().find(action.request);
  if (!request || action.attempt >= request->attempts.size()) return;
  cancelled_.push_back(request->attempts[action.attempt]);
}

std::vector<AttemptManager::ClosedAttempt> AttemptManager::closeCancelled() {
  std::vector<ClosedAttempt> closed;
  for (const AttemptId id : std::exchange(cancelled_, {}))
    if (table_.contains(id)) closed.push_back({id, pool_.abandonAttempt(id)});
  return closed;
}

void AttemptManager::settleCancelled(const std::vector<ClosedAttempt>& closed) {
  for (const auto& [id, lastByteSent] : closed)
    settle(id, lastByteSent ? Outcome::cancelled : Outcome::notSent, {});
}

void AttemptManager::settleExpired(Time now) {
  while (const auto id = table_.firstExpired(now))
    if (!continueTransfer(*id, now)) endExpired(*id);
}

void AttemptManager::endExpired(AttemptId id) {
  pool_.reportDeadline(id);
  const bool lastByteSent = pool_.abandonAttempt(id);
  settle(id, lastByteSent ? Outcome::timeout : Outcome::connectFailed, {}, {}, true);
}

// Returns false if the attempt ends now.
bool AttemptManager::continueTransfer(AttemptId id, Time now) {
  Attempt* const attempt = table_.find(id);
  const ActiveRequest* const request = attempt ? requests_.table().findUnfinished(attempt->request) : nullptr;
  if (!request) return false;
  if (request->bodyIncomplete) {
    const Time deadline = bodyDeadline(*request);
    if (deadline > now) table_.setDeadline(id, *attempt, deadline);
    return deadline > now;
  }
  const Duration writeTime = std::max(kMinWriteTime, 2 * config_.settings.eventInterval);
  const Time clientDeadline = lastByteNotBefore(*request) + request->timeLeft;
  const TransferDecision decision =
      decideAfterTimeout(pool_.transferPhase(id), now, clientDeadline, writeTime);
  switch (decision.kind) {
    case TransferDecision::Kind::end: return false;
    case TransferDecision::Kind::wait:
      metrics_.onTransferProlonged();
      balancer_.onTransferProlonged(now, attempt->request, attempt->number);
      table_.setDeadline(id, *attempt, decision.until);
      return true;
    case TransferDecision::Kind::relay:
      metrics_.onRelayAtDeadline();
      pool_.relay(id);
      return true;
  }
  return false;
}

void AttemptManager::onTransferEnded(AttemptId id, const TransferEnd& end) {
  metrics_.onTransferEnded(end.reason);
  const Attempt* const attempt = table_.find(id);
  // The attempt of a relayed response has its outcome already.
  const RequestId requestId = attempt ? attempt->request : relays_.requestOf(id);
  const ActiveRequest* const request = requests_.table().find(requestId);
  if (!request) return;
  const UpstreamHost* const host = hosts_.find(attempt ? attempt->host : relays_.hostOf(id));
  const Time now = clock_.now();
  transferLog_.write(now, {request->correlationId(), host ? host->listed.address : std::string(),
                           now - request->arrivedAt, end});
}

bool AttemptManager::onResponseHeaders(AttemptId id) {
  Attempt* const attempt = table_.find(id);
  if (!attempt) return false;
  attempt->responseStartedAt = clock_.now();
  if (UpstreamHost* const host = hosts_.find(attempt->host))
    host->lastResponseAt = attempt->responseStartedAt;
  balancer_.onResponseHeaders(attempt->responseStartedAt, attempt->request, attempt->number);
  return true;
}

// The request is reported as served now: the time that the client takes to read the rest is not load of the
// host, and the request can't be sent to another host any more.
void AttemptManager::onResponseBegun(AttemptId id, UpstreamResponse&& upstream,
                                     std::optional<std::uint64_t> length) {
  const Attempt* const attempt = table_.find(id);
  const RequestId requestId = attempt ? attempt->request : 0;
  ActiveRequest* const request = attempt ? requests_.table().findUnfinished(requestId) : nullptr;
  if (!request) {
    pool_.abandonAttempt(id);
    return settle(id, Outcome::served, std::move(upstream));
  }
  const auto client = request->client.lock();
  relays_.begin(id, requestId, attempt->host, *request);
  settle(id, Outcome::served, std::move(upstream), PartialResponse{length, id});
  if (!client) relays_.onAborted(id);
}

bool AttemptManager::onUpgraded(AttemptId id, tcp::socket&& socket, std::string&& unreadFromHost,
                                const http::fields& head) {
  ActiveRequest* const request = requestOf(id);
  if (!request) return false;
  UpgradeHandler* const handler = extensions_.upgradeHandler;
  std::optional<UpgradeHandler::AcceptedUpgrade> accepted;
  if (!request->finished && request->pendingUpgrade)
    accepted = handler->acceptResponse(*request->message, head);
  const auto client = request->client.lock();
  std::optional<ClientSession::ReleasedConnection> released;
  if (accepted && client) released = client->release();
  if (!released) {
    // The 101 is not a valid response to this request. The request may have run, and the connection can't be
    // reused.
    settle(id, request->finished ? Outcome::cancelled : Outcome::reset, {});
    return true;
  }
  const Attempt attempt = *table_.remove(id);
  --request->pendingExchanges;
  const UpstreamHost* const host = hosts_.find(attempt.host);
  log(attempt, host, *request, Outcome::served, false);
  requests_.onUpgradeResponse(*request, head, accepted->toClient);
  UpgradedConnection upgraded{attempt.request,
                              attempt.number,
                              attempt.host,
                              host ? host->listed.address : "",
                              *std::exchange(request->pendingUpgrade, nullptr),
                              std::move(released->socket),
                              std::move(socket),
                              std::move(released->unread),
                              std::move(unreadFromHost),
                              switchingProtocolsHead(accepted->toClient),
                              accepted->extensionNegotiated};
  requests_.finish(attempt.request, *request, RequestResult::served);
  requests_.table().releaseIfDone(attempt.request);
  handler->takeOverConnection(std::move(upgraded));
  return true;
}

// Passes a served response to the client before the outcome is reported to the load balancer.
void AttemptManager::settle(AttemptId id, Outcome outcome, UpstreamResponse&& upstream,
                            std::optional<PartialResponse> partial, bool timedOut) {
  const std::optional<Attempt> attempt = table_.remove(id);
  if (!attempt) return;
  UpstreamHost* const host = hosts_.find(attempt->host);
  if (host) observeHost(*host, outcome, attempt->sentAt, timedOut);
  ActiveRequest* const request = requests_.table().find(attempt->request);
  if (!request) return;
  log(*attempt, host, *request, outcome, timedOut);
  --request->pendingExchanges;
  const Time now = clock_.now();
  load_balancing::AttemptResult result;
  result.request = attempt->request;
  result.attempt = attempt->number;
  result.host = attempt->host;
  result.outcome = outcome;
  result.elapsed =
      (attempt->responseStartedAt != Time{} ? attempt->responseStartedAt : now) - attempt->sentAt;
  result.requestEnded = request->finished || outcome == Outcome::served;
  readLoadReport(*attempt, host, upstream, result);
  const bool mayHaveRun = load_balancing::mayHaveRun(outcome);
  request->mayHaveRun |= mayHaveRun;
  if (RequestContext* const context = request->context.get()) {
    context->mayHaveRun = request->mayHaveRun || request->pendingExchanges > 0;
    extensions_.filters.onAttemptEnded(*context, mayHaveRun);
  }
  if (outcome == Outcome::invalidRequest) request->failureStatus = static_cast<http::status>(upstream.status);
  if (outcome == Outcome::served) {
    Response response;
    response.body = std::move(upstream.body);
    response.contentType = std::move(upstream.contentType);
    response.partial = partial;
    requests_.respond(attempt->request, RequestResult::served, std::move(response), &upstream);
  }
  requests_.table().releaseIfDone(attempt->request);
  balancer_.onAttemptResult(now, result);
}

ActiveRequest* AttemptManager::requestOf(AttemptId id) {
  const Attempt* const attempt = table_.find(id);
  return attempt ? requests_.table().find(attempt->request) : nullptr;
}

// An attempt that reached its deadline while it waited for a connection, because the gateway's own
// descriptors were exhausted, is no evidence about the host.
void AttemptManager::observeHost(UpstreamHost& host, Outcome outcome, Time sentAt, bool timedOut) const {
  switch (outcome) {
    case Outcome::served:
    case Outcome::error:
    case Outcome::rejectedForCapacity:
    case Outcome::invalidRequest: host.lastResponseAt = clock_.now(); return;
    case Outcome::timeout: break;
    case Outcome::connectFailed:
      if (timedOut) return;
      break;
    default: return;
  }
  if (extensions_.hostObserver && host.lastResponseAt < sentAt)
    extensions_.hostObserver->onHostUnresponsive(host.listed.address);
}

void AttemptManager::readLoadReport(const Attempt& attempt, const UpstreamHost* host,
                                    const UpstreamResponse& upstream, load_balancing::AttemptResult& result) {
  const auto text = upstream.head["X-Backend-Load"];
  if (text.empty()) return;
  result.report = membership::parseLoadReport(view(text));
  if (result.report) metrics_.onLoadReport();
  else metrics_.onMalformedLoadReport();
  // The response to an attempt that was sent before the host's process started comes from the previous
  // process.
  if (extensions_.hostObserver && result.report && host && attempt.sentAt >= host->listed.startedAt)
    extensions_.hostObserver->onLoadReport(host->listed.address, *result.report);
}

void AttemptManager::log(const Attempt& attempt, const UpstreamHost* host, const ActiveRequest& request,
                         Outcome outcome, bool timedOut) const {
  if (!extensions_.attemptLog || !host) return;
  extensions_.attemptLog->onAttempt(
      {request.correlationId(), config_.settings.classes[request.classIndex], attempt.number,
       host->listed.address, host->listed.zone, host->listed.cell, attempt.sentAt, attempt.firstByteAt,
       outcome, timedOut, request.finished, attempt.hostObservation, attempt.connection});
}

}  // namespace finchstile
