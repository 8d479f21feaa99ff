// The gateway's part for attempts at hosts: composed, followed, settled, and answers that are passed on.
#include <charconv>

#include "membership/load_report.hpp"
#include "net/gateway.hpp"

namespace finchstile {
namespace {

namespace http = boost::beast::http;
using load_balancing::HostPhase;
using load_balancing::Outcome;
using load_balancing::RequestId;
using std::chrono::milliseconds;

}  // namespace

void Gateway::send(const load_balancing::Action& action) {
  const auto it = requests_.find(action.request);
  const auto host = hosts_.find(action.host);
  if (it == requests_.end()) return;
  RequestRecord& r = it->second;
  if (r.exchange && r.attempts.empty()) stages_.onRequestAdmitted(*r.exchange);
  const AttemptId id = ++lastAttempt_;
  const Time now = clock_.now();
  r.attempts.resize(std::max<std::size_t>(r.attempts.size(), action.attempt + 1));
  r.attempts[action.attempt] = id;
  ++r.out;
  // Of one whose body is still coming the client is timed, and the host that takes it; the module's limit
  // comes with the last byte.
  const Time limit = r.arriving ? Time::max() : now + action.duration;
  AttemptRecord& a = attempts_[id];
  a = {action.request, action.attempt, action.host, now, limit, {}, {}, {}, action.sendDeadline};
  limits_.emplace(limit, id);
  if (host == hosts_.end()) return;  // cannot be: the module knows only hosts that we named; times out
  const HostRecord& h = host->second;
  if (log_) a.known = {h.word, h.heard, h.listed.startedAt, balancer_.isAvoided(action.host)};
  pool_.send(id, action.host, h.endpoint, action.verifyConnection);
}

// The last look before the first byte: a wait for a connection may have outlived the request, its client, its
// time, what hosts remember of its key, or the host's place in the list.
std::optional<OutgoingRequest> Gateway::composeRequest(AttemptId id, Outcome& unsent) {
  const auto a = attempts_.find(id);
  if (a == attempts_.end()) return std::nullopt;
  const auto r = requests_.find(a->second.request);
  const auto h = hosts_.find(a->second.host);
  if (r == requests_.end() || r->second.ended || h == hosts_.end() || h->second.phase != HostPhase::active)
    return std::nullopt;
  const ClientRequest& from = *r->second.message;
  const bool whole = !r->second.arriving;
  const Time now = clock_.now();
  const auto left = std::chrono::duration_cast<milliseconds>(a->second.limit - now).count();
  if (left <= 0 || now > a->second.latest) return std::nullopt;
  // Danger: its client may have left with the news unread, or while a stage keeps the work. Nothing more is
  // begun for it, nor asked of other hosts.
  const auto client = r->second.client.lock();
  if (!client || client->gone()) {
    unsent = Outcome::notSent;
    return std::nullopt;
  }
  a->second.begun = now;
  OutgoingRequest out{UpstreamRequest(from.method(), from.target(), 11), whole};
  UpstreamRequest& to = out.message;
  if (from.method() == http::verb::unknown) to.method_string(from.method_string());
  to.set(http::field::host,
         h->second.endpoint.address().to_string() + ":" + std::to_string(h->second.endpoint.port()));
  for (const char* name : {"X-Correlation-Id", "Idempotency-Key", "Content-Type"})
    if (const auto value = from[name]; !value.empty()) to.set(name, value);
  if (whole) to.set("X-Time-Left-Ms", std::to_string(left));
  else to.set("X-Time-Left-Ms", from["X-Time-Left-Ms"]);
  to.body() = from.body();
  if (r->second.upgrade) {
    out.upgrade = true;
    for (const HeaderLine& line : upgrades_->upstreamHeaders(from)) to.insert(line.name, line.value);
  }
  if (!whole) {
    if (const auto length = from[http::field::content_length]; !length.empty())
      to.set(http::field::content_length, length);
    else to.chunked(true);
  } else if (!from.body().empty() || from.method() != http::verb::get) to.content_length(from.body().size());
  if (RequestContext* const x = r->second.exchange.get()) {
    ++x->attemptCount;
    x->zone = h->second.zone;
    x->cell = h->second.cell;
    x->mayHaveRun = true;  // until its outcome proves the contrary
    for (const HeaderLine& line : x->upstreamHeaders) to.set(line.name, line.value);
    stages_.onAttemptSending(*x, to);
  }
  return out;
}

// Danger: where attempts can't be called off, one whose request has ended would still be begun by its host.
bool Gateway::maySendLastByte(AttemptId id) {
  const auto a = attempts_.find(id);
  const auto r = a == attempts_.end() ? requests_.end() : requests_.find(a->second.request);
  return r != requests_.end() && !r->second.ended && clock_.now() <= a->second.latest;
}

void Gateway::onRequestBodyWanted(AttemptId id) {
  const auto a = attempts_.find(id);
  if (a == attempts_.end()) return;
  const auto r = requests_.find(a->second.request);
  if (r == requests_.end()) return;
  if (const auto client = r->second.client.lock()) client->pull();
}

void Gateway::onClientBody(RequestId id, std::string&& piece, bool last) {
  const auto it = requests_.find(id);
  if (it == requests_.end() || it->second.ended || it->second.attempts.empty()) return;
  const AttemptId attempt = it->second.attempts.back();
  if (last) {
    it->second.arriving = false;
    const auto a = attempts_.find(attempt);
    if (a != attempts_.end()) {
      const Time now = clock_.now();
      limits_.erase({a->second.limit, attempt});
      a->second.sent = now;
      a->second.limit = now + balancer_.onRequestBodyComplete(now, id);
      limits_.emplace(a->second.limit, attempt);
    }
  }
  pool_.sendBody(attempt, std::move(piece), last);
  if (last) carryOut();
}

// --- Answers that are passed on piece by piece
// -------------------------------------------------------------------

// To the module it is served: what the client takes its time over is no load, and can go nowhere else.
void Gateway::onResponseBegun(AttemptId id, UpstreamResponse&& upstream,
                              std::optional<std::uint64_t> length) {
  const auto a = attempts_.find(id);
  const auto r = a == attempts_.end() ? requests_.end() : requests_.find(a->second.request);
  if (r == requests_.end() || r->second.ended) {
    pool_.giveUp(id);
    settle(id, Outcome::served, std::move(upstream));
    return carryOut();
  }
  const auto client = r->second.client.lock();
  relays_[id] = {r->first, r->second.client, false};
  ++r->second.out;  // its record, and its id, stay until the relay is over
  settle(id, Outcome::served, std::move(upstream), PartialResponse{length, id});
  if (!client) onResponseAborted(id);
  carryOut();
}

void Gateway::onResponseBody(AttemptId id, std::string&& piece, bool last) {
  const auto it = relays_.find(id);
  if (it == relays_.end()) return;
  it->second.last = last;
  if (const auto client = it->second.client.lock()) client->pass(std::move(piece), last);
  else onResponseAborted(id);
}

void Gateway::onResponseTruncated(AttemptId id) {
  const auto it = relays_.find(id);
  if (it == relays_.end()) return;
  if (const auto client = it->second.client.lock()) client->cut();
  if (const auto r = requests_.find(it->second.request); r != requests_.end())
    count(r->second, http::status::bad_gateway);
  endRelay(id);
}

void Gateway::onResponseWritten(RelayId id) {
  const auto it = relays_.find(id);
  if (it == relays_.end()) return;
  if (!it->second.last) return pool_.resumeReading(id);
  if (const auto r = requests_.find(it->second.request); r != requests_.end())
    count(r->second, http::status::ok);
  endRelay(id);
}

void Gateway::onResponseAborted(RelayId id) {
  if (relays_.count(id) == 0) return;
  pool_.giveUp(id);
  endRelay(id);
}

void Gateway::endRelay(RelayId id) {
  const auto it = relays_.find(id);
  const RequestId request = it->second.request;
  relays_.erase(it);
  if (const auto r = requests_.find(request); r != requests_.end()) --r->second.out;
  releaseIfOver(request);
}

void Gateway::cancel(const load_balancing::Action& action) {
  if (const auto front = asked_.find(action.request); front != asked_.end())
    return front->second->onCancelAttempt(action.request, action.attempt);
  const auto it = requests_.find(action.request);
  if (it == requests_.end() || action.attempt >= it->second.attempts.size()) return;
  givenUp_.push_back(it->second.attempts[action.attempt]);
}

void Gateway::onResponseHeaders(AttemptId id) {
  const auto a = attempts_.find(id);
  if (a == attempts_.end()) return;
  a->second.head = clock_.now();
  if (const auto h = hosts_.find(a->second.host); h != hosts_.end()) h->second.heard = a->second.head;
  balancer_.onResponseHeaders(a->second.head, a->second.request, a->second.number);
  armTimer();
}

// Its one final answer is the 101; from here on it is a stream.
void Gateway::onUpgraded(AttemptId id, tcp::socket&& socket, std::string&& early, const http::fields& head) {
  const auto it = attempts_.find(id);
  const auto found = it == attempts_.end() ? requests_.end() : requests_.find(it->second.request);
  if (found == requests_.end()) return;
  RequestRecord& r = found->second;
  std::optional<UpgradeHandler::AcceptedUpgrade> accepted;
  if (!r.ended && r.upgrade) accepted = upgrades_->acceptResponse(*r.message, head);
  const auto client = r.client.lock();
  std::optional<ClientSession::Left> left;
  if (accepted && client) left = client->leave();
  if (!left) {
    // Anything but the answer to this request: it may have run, and its connection is of no further use.
    settle(id, r.ended ? Outcome::cancelled : Outcome::reset, {});
    return carryOut();
  }
  const AttemptRecord a = it->second;
  attempts_.erase(it);
  limits_.erase({a.limit, id});
  --r.out;
  r.status = 101;
  const auto host = hosts_.find(a.host);
  if (log_ && host != hosts_.end()) note(a, host->second, r, Outcome::served, false);
  if (RequestContext* const x = r.exchange.get()) {
    stages_.onAttemptEnded(*x, true);
    stages_.onResponseHeaders(*x, {101, true, &head, {}, {}, true, 0}, accepted->toClient);
    stages_.onResponseSent(*x);
  }
  ++counts_[r.classIndex].succeeded;
  std::string lines = "HTTP/1.1 101 Switching Protocols\r\n";
  for (const HeaderLine& h : accepted->toClient)
    lines.append(h.name).append(": ").append(h.value).append("\r\n");
  lines += "\r\n";
  UpgradedConnection u{a.request,
                       a.number,
                       a.host,
                       host == hosts_.end() ? "" : host->second.listed.address,
                       *std::exchange(r.upgrade, nullptr),
                       std::move(left->socket),
                       std::move(socket),
                       std::move(left->early),
                       std::move(early),
                       std::move(lines),
                       accepted->agreed};
  end(a.request, r, RequestResult::served);
  releaseIfOver(a.request);
  upgrades_->takeOverConnection(std::move(u));
  carryOut();
}

// What an attempt shows of its host beside what the module makes of it. `byLimit`: its time was up. Danger:
// one that never had a connection for want of our own descriptors says nothing of the host.
void Gateway::observe(HostRecord& host, Outcome outcome, Time sent, bool byLimit) {
  switch (outcome) {
    case Outcome::served:
    case Outcome::error:
    case Outcome::rejectedForCapacity:
    case Outcome::invalidRequest: host.heard = clock_.now(); return;
    case Outcome::timeout: break;
    case Outcome::connectFailed:
      if (byLimit) return;
      break;
    default: return;
  }
  if (observer_ && host.heard < sent) observer_->onHostSilent(host.listed.address);
}

void Gateway::note(const AttemptRecord& a, const HostRecord& h, const RequestRecord& r, Outcome outcome,
                   bool byLimit) {
  log_->onAttempt({view((*r.message)["X-Correlation-Id"]), config_.settings.classes[r.classIndex], a.number,
                   h.listed.address, h.zone, h.cell, a.sent, a.begun, outcome, byLimit, r.ended, a.known});
}

void Gateway::onOutcome(AttemptId id, Outcome outcome, UpstreamResponse&& upstream) {
  settle(id, outcome, std::move(upstream));
  carryOut();
}

// Tells the module how an attempt ended; what was served goes to the client first.
void Gateway::settle(AttemptId id, Outcome outcome, UpstreamResponse&& upstream,
                     std::optional<PartialResponse> parted, bool byLimit) {
  const auto it = attempts_.find(id);
  if (it == attempts_.end()) return;
  const AttemptRecord a = it->second;
  attempts_.erase(it);
  limits_.erase({a.limit, id});
  const auto host = hosts_.find(a.host);
  if (host != hosts_.end()) observe(host->second, outcome, a.sent, byLimit);
  const auto r = requests_.find(a.request);
  if (r == requests_.end()) return;
  if (log_ && host != hosts_.end()) note(a, host->second, r->second, outcome, byLimit);
  --r->second.out;
  const Time now = clock_.now();
  load_balancing::AttemptResult result;
  result.request = a.request;
  result.attempt = a.number;
  result.host = a.host;
  result.outcome = outcome;
  result.elapsed = (a.head != Time{} ? a.head : now) - a.sent;
  result.requestEnded = r->second.ended || outcome == Outcome::served;
  if (const auto told = upstream.head["X-Backend-Load"]; !told.empty()) {
    result.report = membership::parseLoadReport(view(told));
    ++(result.report ? reports_ : spoiltReports_);
    if (observer_ && result.report && host != hosts_.end() && a.sent >= host->second.listed.startedAt)
      observer_->onLoadReport(host->second.listed.address, *result.report);
  }
  if (RequestContext* const x = r->second.exchange.get()) {
    const bool may = load_balancing::mayHaveRun(outcome);
    r->second.ran |= may;
    x->mayHaveRun = r->second.ran || r->second.out > 0;
    stages_.onAttemptEnded(*x, may);
  }
  if (outcome == Outcome::invalidRequest) r->second.failure = static_cast<http::status>(upstream.status);
  if (outcome == Outcome::served) {
    Response answered;
    answered.body = std::move(upstream.body);
    answered.contentType = std::move(upstream.contentType);
    answered.partial = parted;
    answer(a.request, RequestResult::served, std::move(answered), &upstream);
  }
  releaseIfOver(a.request);
  balancer_.onAttemptResult(now, result);
}

}  // namespace finchstile
