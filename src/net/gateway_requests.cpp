// The gateway's part for clients' requests: from their arrival to their one answer.
#include <charconv>

#include "net/gateway.hpp"

namespace finchstile {
namespace {

namespace http = boost::beast::http;
using load_balancing::HostPhase;
using load_balancing::RequestId;

}  // namespace

bool Gateway::answerOwnPaths(ClientSession& session, const ClientRequest& message) {
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
                              bool whole) {
  if (answerOwnPaths(*session, message)) return;
  const bool upgrade = upgrades_ && upgrades_->isUpgradeRequest(message);
  if (upgrade)
    if (std::optional<Response> no = upgrades_->checkRequest(message))
      return session->respond(std::move(*no));
  load_balancing::Request q;
  http::status usable = reader_.read(message, q);
  // Danger: under the id of a request that is still open a host would take it for a second copy.
  if (usable == http::status::ok && !openIds_.emplace(view(message["X-Correlation-Id"])).second)
    usable = http::status::conflict;
  if (usable != http::status::ok) {
    Response a = plainResponse(usable);
    a.close = true;  // whoever sends such things sends more of them: one connection brings one
    return session->respond(std::move(a));
  }
  // Danger: it may have lain in a socket while the loop was busy; its client counts that time.
  q.timeLeft -= std::min(lagNow(), q.timeLeft / 4);
  q.id = ++lastRequest_;
  RequestRecord& r = requests_[q.id];
  r.client = session;
  r.message = std::make_shared<const ClientRequest>(std::move(message));
  r.classIndex = q.classIndex;
  r.came = clock_.now();
  r.left = q.timeLeft;
  r.arriving = q.bodyIncomplete = !whole;
  if (upgrade) {
    q.isStream = true;
    q.timeLeft = std::min(q.timeLeft, upgrades_->handshakeTimeout());
    r.upgrade = std::make_unique<PendingUpgrade>(PendingUpgrade{session->from(), clock_.now()});
    upgrades_->onUpgradeRequested();
  }
  session->setRequest(q.id);
  FilterDecision arrival;
  if (!stages_.empty()) {
    r.exchange = begin(q, r.message);
    arrival = stages_.onRequestReceived(*r.exchange);
    q.earlierAttempt = r.exchange->earlierAttempt;
    q.preferLocalZone = r.exchange->preferLocalZone;
  }
  // Danger: what is held would hold up its client in the midst of its body, past any time that it goes by.
  if (arrival.hold && !whole) arrival = {plainResponse(http::status::payload_too_large), false};
  if (arrival.response) answer(q.id, RequestResult::rejectedByFilter, std::move(*arrival.response));
  else if (arrival.hold) hold(r, q);
  else balancer_.onRequest(clock_.now(), q);
  carryOut();
}

// Danger: the one it waits for may take longer than its own client does, and that one is owed its answer too.
void Gateway::hold(RequestRecord& r, const load_balancing::Request& q) {
  r.heldUntil = clock_.now() + q.timeLeft - std::min(q.timeLeft / 4, 2 * config_.settings.eventInterval);
  held_.emplace(std::pair(r.heldUntil, q.id), q);
}

void Gateway::letGo(RequestId id, RequestRecord& r) {
  if (r.heldUntil != Time{}) held_.erase({std::exchange(r.heldUntil, Time{}), id});
}

// Held until its time was up: what it waited for may have run, unless the stage that held it knows better.
void Gateway::failHeld(Time now) {
  while (!held_.empty() && held_.begin()->first.first <= now) {
    const RequestId id = held_.begin()->first.second;
    const auto r = requests_.find(id);
    const bool unrun = r != requests_.end() && r->second.exchange && r->second.exchange->heldBeforeExecution;
    Response a = plainResponse(unrun ? http::status::service_unavailable : http::status::bad_gateway);
    if (unrun && config_.settings.retryAfterEnabled) a.retryAfter = config_.settings.maxRetryAfter;
    answer(id, unrun ? RequestResult::rejected : RequestResult::failed, std::move(a));
  }
}

void Gateway::respondToHeld(RequestId id, Response&& a) {
  soon({HeldAction::Kind::answer, id, std::move(a)});
}
void Gateway::admitHeld(RequestId id) { soon({HeldAction::Kind::admit, id, {}}); }
void Gateway::abandonContinued(RequestId id) { soon({HeldAction::Kind::abandon, id, {}}); }

void Gateway::soon(HeldAction&& action) {
  heldActions_.push_back(std::move(action));
  // A stage may be called from outside a phase, by a timer of its own: then nothing else comes to carry it
  // out.
  if (!carrying_) armTimer();
}

void Gateway::carryOut(HeldAction&& action) {
  const auto it = requests_.find(action.request);
  if (it == requests_.end() || it->second.ended) return;
  RequestRecord& r = it->second;
  const Time now = clock_.now();
  switch (action.kind) {
    case HeldAction::Kind::answer:
      return answer(action.request, RequestResult::served, std::move(action.answer));
    case HeldAction::Kind::admit: {
      const auto asked = held_.find({r.heldUntil, action.request});
      if (asked == held_.end()) return;
      load_balancing::Request q = asked->second;
      letGo(action.request, r);
      q.timeLeft = std::max(r.exchange->deadline - now, Duration(1));
      q.earlierAttempt = r.exchange->earlierAttempt;
      q.preferLocalZone = r.exchange->preferLocalZone;
      return balancer_.onRequest(now, q);
    }
    case HeldAction::Kind::abandon:
      end(action.request, r, RequestResult::clientDisconnected);
      balancer_.onClientDisconnected(now, action.request);
      return releaseIfOver(action.request);
  }
}

void Gateway::onClientDisconnected(RequestId id) {
  const auto it = requests_.find(id);
  if (it == requests_.end() || it->second.ended) return;
  RequestRecord& r = it->second;
  const bool held = r.heldUntil != Time{};
  if (!held && r.exchange && stages_.continuesWithoutClient(*r.exchange)) return r.client.reset();
  end(id, r, RequestResult::clientDisconnected);
  if (!held) balancer_.onClientDisconnected(clock_.now(), id);
  releaseIfOver(id);
  carryOut();
}

std::unique_ptr<RequestContext> Gateway::begin(const load_balancing::Request& q,
                                               const std::shared_ptr<const ClientRequest>& message) const {
  auto x = std::make_unique<RequestContext>();
  x->id = q.id;
  x->message = message;
  x->className = config_.settings.classes[q.classIndex].name;
  x->classIndex = q.classIndex;
  x->tenantIndex = q.tenantIndex;
  x->idempotency = config_.settings.classes[q.classIndex].idempotency;
  x->tenant = reader_.tenants().name(q.tenantIndex);
  x->deadline = clock_.now() + q.timeLeft;
  x->bodyComplete = !q.bodyIncomplete;
  if (q.bodyIncomplete) {
    const auto length = (*message)[http::field::content_length];
    std::from_chars(length.data(), length.data() + length.size(), x->bodyLength);
  }
  x->filterStates.resize(stages_.size());
  return x;
}

void Gateway::answer(RequestId id, RequestResult how, Response&& a, const UpstreamResponse* from) {
  const auto it = requests_.find(id);
  if (it == requests_.end() || it->second.ended) return;
  RequestContext* const x = it->second.exchange.get();
  // A host's 4xx is passed on as the failure that it is.
  const bool byHost = from || (how == RequestResult::failed && a.status != http::status::bad_gateway);
  if (x)
    stages_.onResponseHeaders(
        *x,
        {static_cast<unsigned>(a.status), byHost, from ? &from->head : nullptr, a.contentType, a.body,
         !a.partial, a.partial ? a.partial->length.value_or(0) : 0},
        a.headers);
  it->second.ended = true;
  it->second.status = static_cast<unsigned>(a.status);
  if (!a.partial) count(it->second, a.status);
  if (const auto client = it->second.client.lock()) client->respond(std::move(a));
  if (x) stages_.onResponseSent(*x);
  end(id, it->second, how);
  releaseIfOver(id);
}

void Gateway::count(const RequestRecord& r, http::status status) {
  ClassMetrics& c = counts_[r.classIndex];
  if (status == http::status::ok) ++c.succeeded;
  else if (status == http::status::service_unavailable || status == http::status::too_many_requests)
    ++c.rejected;
  else ++c.failed;
}

GatewayMetrics Gateway::metrics() const {
  GatewayMetrics f;
  f.classes = counts_;
  f.attemptsSent = pool_.sends();
  f.loadReports = reports_;
  f.malformedLoadReports = spoiltReports_;
  f.activeRequests = relays_.size();
  for (const auto& [id, r] : requests_) f.activeRequests += !r.ended;
  for (const auto& [id, h] : hosts_) {
    if (h.listed.phase == HostPhase::removed) continue;
    ++f.listedHosts;
    f.avoidedHosts += h.phase != HostPhase::active || balancer_.isAvoided(id);
  }
  return f;
}

// What its client is owed has been given, or nobody waits for it any more.
void Gateway::end(RequestId id, RequestRecord& r, RequestResult how) {
  letGo(id, r);
  r.ended = true;
  if (log_)
    log_->onRequest({view((*r.message)["X-Correlation-Id"]), config_.settings.classes[r.classIndex], r.came,
                     r.left, how, r.status, r.attempts.size(), balancer_.admissionCutoff()});
  if (const auto asked = std::exchange(r.upgrade, nullptr)) upgrades_->onUpgradeNotEstablished(*asked, how);
  if (const auto x = std::exchange(r.exchange, nullptr)) stages_.onRequestCompleted(*x, how);
}

void Gateway::releaseIfOver(RequestId id) {
  const auto it = requests_.find(id);
  if (it == requests_.end() || !it->second.ended || it->second.out > 0) return;
  openIds_.erase(std::string(view((*it->second.message)["X-Correlation-Id"])));
  requests_.erase(it);
}

}  // namespace finchstile
