#include "net/gateway.hpp"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <string_view>

#include "membership/report.hpp"

namespace finchstile {
namespace {

namespace http = boost::beast::http;
using boost::system::error_code;
using ridgeshift::ActionKind;
using ridgeshift::HostId;
using ridgeshift::kNone;
using ridgeshift::ListKind;
using ridgeshift::Outcome;
using ridgeshift::Phase;
using ridgeshift::RequestId;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kHousekeep = milliseconds(250);
constexpr Duration kHousekeepDrain = milliseconds(20);
// The front notices, and clients that use their connections once more learn of it from the answer. Beyond
// this a connection at rest is closed.
constexpr Duration kRestAfterAway = milliseconds(1200);
// What discovery has to tell counts as told 6 s after it had it and could be reached, whatever a call of ours
// met. A watch that falls silent right behind a call is given up kWatchMost + kSilence later, the module asks
// again within 0.5 s, and that answer may take kSilence: 5.5 s. While calls fail they are held kWatchSoon in
// place of kWatchMost, and the module waits 2 s at the most: kWatchSoon + kSilence + 2 s + kSilence, 5.5 s.
constexpr Duration kWatchMost = seconds(2);
constexpr Duration kWatchSoon = milliseconds(500);
constexpr Duration kSilence = milliseconds(1500);
constexpr double kStallOfAim = 0.25;
constexpr double kIdleShare = 0.5;  // of the host's idle limit: a close must never cross a request
// A stall shorter than this is within the slack of every deadline. Danger: taken off each client's time for
// long, it makes the module take first tries for late ones.
constexpr Duration kLagLeast = milliseconds(20);
constexpr Duration kLagKept = milliseconds(100);

// Descriptors that nobody else may take: standard input, output and error, the loop's three, the signals'
// two, the listener, the inherited one, two for discovery (a watch that is replaced), three for operators,
// and one for a connection that is to be turned away. Danger: clients at rest would take those of discovery.
constexpr std::size_t kOwnDescriptors = 16;

std::size_t share(const Config& c, double part) {
  const auto rest = static_cast<double>(c.sockets - std::min(c.sockets / 4, kOwnDescriptors));
  return std::max<std::size_t>(8, static_cast<std::size_t>(rest * part * (1 - c.tuning.otherShare)));
}

Duration part(Duration d, double by) {
  return Duration(static_cast<Duration::rep>(static_cast<double>(d.count()) * by));
}

Duration watchWait(const ridgeshift::Settings& s) {
  // Danger: the module takes a first watch that is silent for half this time for lost.
  return s.askWithin > Duration{} ? std::min(s.askWithin / 4, kWatchMost) : kWatchMost;
}

// Between the bytes of an answer that has begun: within the time in which a host shows any sign of life, and
// soon enough that another host can still answer in time.
Duration answerMost(const Config& config) {
  Duration least = config.connectTimeout;
  for (const auto& c : config.settings.classes) least = std::min(least, part(c.aim, kStallOfAim));
  return least;
}

}  // namespace

Gateway::Gateway(boost::asio::io_context& io, const Clock& clock, Config config)
    : io_(io),
      clock_(clock),
      config_(std::move(config)),
      balancer_(config_.settings, clock.now()),
      listener_(io, clock, config_.listen, config_.inheritedListener,
                share(config_, config_.tuning.clientShare), config_.tuning.clients, *this),
      pool_(io, clock,
            {config_.connectTimeout, answerMost(config_), part(config_.idleClose, kIdleShare),
             config_.tuning.connecting, share(config_, config_.tuning.upstreamShare),
             config_.tuning.proofLeast},
            *this),
      discovery_(io, clock, config_.discovery, {watchWait(config_.settings), kWatchSoon, kSilence},
                 config_.known.index, *this),
      timer_(io),
      reader_(config_.settings) {
  for (const auto& c : config_.settings.classes) counts_.push_back({c.name});
}

void Gateway::start() {
  housekeepAt_ = clock_.now() + kHousekeep;
  if (gate_) gate_->onStart(config_.known);
  learnHosts(config_.known, ListKind::restored);
  if (!config_.settings.askDiscovery) discovery_.watch();
  listener_.start();
}

void Gateway::reload(const Config& next) {
  if (gate_) gate_->onMoved();
  balancer_.onHosts(clock_.now(), ListKind::moved, {});
  discovery_.move(next.discovery, next.known);
  carryOut();
}

void Gateway::takeTerms(const configuration::TermsChange& change) {
  ridgeshift::Terms terms;
  terms.classes = change.classes;
  for (const auto& tenant : change.tenants)
    if (tenant.quotaPerSecond) terms.tenants.push_back({tenant.index, *tenant.quotaPerSecond});
  balancer_.onTerms(clock_.now(), terms);
  for (const auto& tenant : change.tenants) {
    if (tenant.quotaPerSecond) reader_.tenants().list(tenant.index, tenant.name);
    else reader_.tenants().unlist(tenant.name);
  }
  for (const auto& cls : change.classes) {
    ridgeshift::ClassSettings& settings = config_.settings.classes[cls.index];
    settings.aim = cls.aim;
    settings.worth = cls.worth;
    settings.lateShare = cls.lateShare;
  }
  carryOut();
}

void Gateway::tune(const GatewayTuning& tuning) {
  listener_.tune(tuning.clients);
  pool_.tune(tuning.connecting, tuning.proofLeast);
}

void Gateway::drain(std::function<void()> done) {
  if (plan_) return;
  done_ = std::move(done);
  // Danger: a loop that comes late finds the signal late too, and the platform's time runs since it was sent.
  const Time told = clock_.now() - std::max(lagNow(), overdue());
  plan_.emplace(told, drain::Terms{longestGiveUp(config_.settings), config_.tuning.serveDraining,
                                   listener_.inherited()});
  housekeepAt_ = clock_.now();
  if (listener_.inherited()) {  // who shares it takes what comes there from now on
    listener_.beginDrain();
    listener_.close();
    listener_.sendAway(told + kRestAfterAway);
  }
  for (Front* front : fronts_) front->onDrain(plan_->exit());
  armTimer();
}

// Danger: what was taken late in a drain may have longer than this process; its client is owed an answer all
// the same, and this one claims nothing.
void Gateway::failOpen() {
  std::vector<RequestId> open;
  for (const auto& [id, r] : requests_)
    if (!r.ended) open.push_back(id);
  for (const RequestId id : open) {
    const auto it = requests_.find(id);
    if (it == requests_.end() || it->second.ended) continue;
    const bool held = it->second.heldUntil != Time{};
    answer(id, RequestEnd::failed, plainAnswer(http::status::bad_gateway));
    if (!held) balancer_.onClientGone(clock_.now(), id);
  }
  listener_.refuseHalf();
  carryOut();
}

void Gateway::handOver(std::function<bool(int)> give) {
  const bool ends = !give;
  listener_.handOver(std::move(give));
  if (ends && plan_) listener_.sendAway(clock_.now() + kRestAfterAway);
}

void Gateway::recall(const ridgeshift::Learned& learned) {
  balancer_.recall(clock_.now(), learned);
  carryOut();
}

bool Gateway::ready() const { return !plan_ && !away_ && !hosts_.empty(); }

void Gateway::sendAway() {
  if (std::exchange(away_, true) || plan_) return;
  listener_.sendAway(clock_.now() + kRestAfterAway);
}

void Gateway::takeBack() {
  if (!std::exchange(away_, false) || plan_) return;
  listener_.takeBack();
}

// --- Clients
// ------------------------------------------------------------------------------------------------

bool Gateway::answerOwnPaths(ClientSession& session, const ClientRequest& message) {
  const std::string_view target = view(message.target());
  if (target == "/health/live") {
    session.answer(plainAnswer(http::status::ok));
  } else if (target == "/health/ready") {
    session.answer(plainAnswer(ready() ? http::status::ok : http::status::service_unavailable));
  } else {
    return false;
  }
  return true;
}

void Gateway::onClientRequest(const std::shared_ptr<ClientSession>& session, ClientRequest&& message,
                              bool whole) {
  if (answerOwnPaths(*session, message)) return;
  const bool upgrade = upgrades_ && upgrades_->asks(message);
  if (upgrade)
    if (std::optional<Answer> no = upgrades_->check(message)) return session->answer(std::move(*no));
  ridgeshift::Request q;
  http::status usable = reader_.read(message, q);
  // Danger: under the id of a request that is still open a host would take it for a second copy.
  if (usable == http::status::ok && !openIds_.emplace(view(message["X-Correlation-Id"])).second)
    usable = http::status::conflict;
  if (usable != http::status::ok) {
    Answer a = plainAnswer(usable);
    a.close = true;  // whoever sends such things sends more of them: one connection brings one
    return session->answer(std::move(a));
  }
  // Danger: it may have lain in a socket while the loop was busy; its client counts that time.
  q.left -= std::min(lagNow(), q.left / 4);
  q.id = ++lastRequest_;
  RequestRecord& r = requests_[q.id];
  r.client = session;
  r.message = std::make_shared<const ClientRequest>(std::move(message));
  r.classIndex = q.classIndex;
  r.came = clock_.now();
  r.left = q.left;
  r.arriving = q.arriving = !whole;
  if (upgrade) {
    q.stream = true;
    q.left = std::min(q.left, upgrades_->longest());
    r.upgrade = std::make_unique<UpgradeAsked>(UpgradeAsked{session->from(), clock_.now()});
    upgrades_->onAsked();
  }
  session->setRequest(q.id);
  Arrival arrival;
  if (!stages_.empty()) {
    r.exchange = begin(q, r.message);
    arrival = stages_.arrived(*r.exchange);
    q.earlier = r.exchange->earlier;
    q.homeFirst = r.exchange->homeFirst;
  }
  // Danger: what is held would hold up its client in the midst of its body, past any time that it goes by.
  if (arrival.hold && !whole) arrival = {plainAnswer(http::status::payload_too_large), false};
  if (arrival.answer) answer(q.id, RequestEnd::rejected, std::move(*arrival.answer));
  else if (arrival.hold) hold(r, q);
  else balancer_.onRequest(clock_.now(), q);
  carryOut();
}

// Danger: the one it waits for may take longer than its own client does, and that one is owed its answer too.
void Gateway::hold(RequestRecord& r, const ridgeshift::Request& q) {
  r.heldUntil = clock_.now() + q.left - std::min(q.left / 4, 2 * config_.settings.step);
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
    const bool unrun = r != requests_.end() && r->second.exchange && r->second.exchange->heldUnrun;
    Answer a = plainAnswer(unrun ? http::status::service_unavailable : http::status::bad_gateway);
    if (unrun && config_.settings.retryAfter) a.retryAfter = config_.settings.maxRetryAfter;
    answer(id, unrun ? RequestEnd::refused : RequestEnd::failed, std::move(a));
  }
}

void Gateway::answerHeld(RequestId id, Answer&& a) { soon({HeldAction::Kind::answer, id, std::move(a)}); }
void Gateway::admitHeld(RequestId id) { soon({HeldAction::Kind::admit, id, {}}); }
void Gateway::abandon(RequestId id) { soon({HeldAction::Kind::abandon, id, {}}); }

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
      return answer(action.request, RequestEnd::served, std::move(action.answer));
    case HeldAction::Kind::admit: {
      const auto asked = held_.find({r.heldUntil, action.request});
      if (asked == held_.end()) return;
      ridgeshift::Request q = asked->second;
      letGo(action.request, r);
      q.left = std::max(r.exchange->deadline - now, Duration(1));
      q.earlier = r.exchange->earlier;
      q.homeFirst = r.exchange->homeFirst;
      return balancer_.onRequest(now, q);
    }
    case HeldAction::Kind::abandon:
      end(action.request, r, RequestEnd::left);
      balancer_.onClientGone(now, action.request);
      return releaseIfOver(action.request);
  }
}

void Gateway::onClientLeft(RequestId id) {
  const auto it = requests_.find(id);
  if (it == requests_.end() || it->second.ended) return;
  RequestRecord& r = it->second;
  const bool held = r.heldUntil != Time{};
  if (!held && r.exchange && stages_.keepsWork(*r.exchange)) return r.client.reset();
  end(id, r, RequestEnd::left);
  if (!held) balancer_.onClientGone(clock_.now(), id);
  releaseIfOver(id);
  carryOut();
}

std::unique_ptr<Exchange> Gateway::begin(const ridgeshift::Request& q,
                                         const std::shared_ptr<const ClientRequest>& message) const {
  auto x = std::make_unique<Exchange>();
  x->id = q.id;
  x->message = message;
  x->className = config_.settings.classes[q.classIndex].name;
  x->classIndex = q.classIndex;
  x->tenantIndex = q.tenantIndex;
  x->effect = config_.settings.classes[q.classIndex].effect;
  x->tenant = reader_.tenants().name(q.tenantIndex);
  x->deadline = clock_.now() + q.left;
  x->whole = !q.arriving;
  if (q.arriving) {
    const auto length = (*message)[http::field::content_length];
    std::from_chars(length.data(), length.data() + length.size(), x->bodyLength);
  }
  x->states.resize(stages_.size());
  return x;
}

void Gateway::answer(RequestId id, RequestEnd how, Answer&& a, const UpstreamAnswer* from) {
  const auto it = requests_.find(id);
  if (it == requests_.end() || it->second.ended) return;
  Exchange* const x = it->second.exchange.get();
  // A host's 4xx is passed on as the failure that it is.
  const bool byHost = from || (how == RequestEnd::failed && a.status != http::status::bad_gateway);
  if (x)
    stages_.answerHead(*x,
                       {static_cast<unsigned>(a.status), byHost, from ? &from->head : nullptr, a.contentType,
                        a.body, !a.parted, a.parted ? a.parted->length.value_or(0) : 0},
                       a.headers);
  it->second.ended = true;
  it->second.status = static_cast<unsigned>(a.status);
  if (!a.parted) count(it->second, a.status);
  if (const auto client = it->second.client.lock()) client->answer(std::move(a));
  if (x) stages_.answerDone(*x);
  end(id, it->second, how);
  releaseIfOver(id);
}

void Gateway::count(const RequestRecord& r, http::status status) {
  ClassFigures& c = counts_[r.classIndex];
  if (status == http::status::ok) ++c.answered;
  else if (status == http::status::service_unavailable || status == http::status::too_many_requests)
    ++c.deferred;
  else ++c.errored;
}

GatewayFigures Gateway::figures() const {
  GatewayFigures f;
  f.classes = counts_;
  f.sends = pool_.sends();
  f.reports = reports_;
  f.spoiltReports = spoiltReports_;
  f.current = relays_.size();
  for (const auto& [id, r] : requests_) f.current += !r.ended;
  for (const auto& [id, h] : hosts_) {
    if (h.listed.phase == Phase::out) continue;
    ++f.listed;
    f.avoided += h.phase != Phase::in || balancer_.avoids(id);
  }
  return f;
}

// What its client is owed has been given, or nobody waits for it any more.
void Gateway::end(RequestId id, RequestRecord& r, RequestEnd how) {
  letGo(id, r);
  r.ended = true;
  if (log_)
    log_->onRequest({view((*r.message)["X-Correlation-Id"]), config_.settings.classes[r.classIndex], r.came,
                     r.left, how, r.status, r.attempts.size(), balancer_.cutoff()});
  if (const auto asked = std::exchange(r.upgrade, nullptr)) upgrades_->onNotBegun(*asked, how);
  if (const auto x = std::exchange(r.exchange, nullptr)) stages_.ended(*x, how);
}

void Gateway::releaseIfOver(RequestId id) {
  const auto it = requests_.find(id);
  if (it == requests_.end() || !it->second.ended || it->second.out > 0) return;
  openIds_.erase(std::string(view((*it->second.message)["X-Correlation-Id"])));
  requests_.erase(it);
}

// --- Attempts
// -----------------------------------------------------------------------------------------------

void Gateway::send(const ridgeshift::Action& action) {
  const auto it = requests_.find(action.request);
  const auto host = hosts_.find(action.host);
  if (it == requests_.end()) return;
  RequestRecord& r = it->second;
  if (r.exchange && r.attempts.empty()) stages_.admitted(*r.exchange);
  const AttemptId id = ++lastAttempt_;
  const Time now = clock_.now();
  r.attempts.resize(std::max<std::size_t>(r.attempts.size(), action.attempt + 1));
  r.attempts[action.attempt] = id;
  ++r.out;
  // Of one whose body is still coming the client is timed, and the host that takes it; the module's limit
  // comes with the last byte.
  const Time limit = r.arriving ? Time::max() : now + action.span;
  AttemptRecord& a = attempts_[id];
  a = {action.request, action.attempt, action.host, now, limit, {}, {}, {}, action.latest};
  limits_.emplace(limit, id);
  if (host == hosts_.end()) return;  // cannot be: the module knows only hosts that we named; times out
  const HostRecord& h = host->second;
  if (log_) a.known = {h.word, h.heard, h.listed.upSince, balancer_.avoids(action.host)};
  pool_.send(id, action.host, h.endpoint, action.proveFirst);
}

// The last look before the first byte: a wait for a connection may have outlived the request, its client, its
// time, what hosts remember of its key, or the host's place in the list.
std::optional<Outgoing> Gateway::compose(AttemptId id, Outcome& unsent) {
  const auto a = attempts_.find(id);
  if (a == attempts_.end()) return std::nullopt;
  const auto r = requests_.find(a->second.request);
  const auto h = hosts_.find(a->second.host);
  if (r == requests_.end() || r->second.ended || h == hosts_.end() || h->second.phase != Phase::in)
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
    unsent = Outcome::moot;
    return std::nullopt;
  }
  a->second.begun = now;
  Outgoing out{UpstreamRequest(from.method(), from.target(), 11), whole};
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
    for (const HeaderLine& line : upgrades_->toHost(from)) to.insert(line.name, line.value);
  }
  if (!whole) {
    if (const auto length = from[http::field::content_length]; !length.empty())
      to.set(http::field::content_length, length);
    else to.chunked(true);
  } else if (!from.body().empty() || from.method() != http::verb::get) to.content_length(from.body().size());
  if (Exchange* const x = r->second.exchange.get()) {
    ++x->attempts;
    x->zone = h->second.zone;
    x->cell = h->second.cell;
    x->mayHaveRun = true;  // until its outcome proves the contrary
    for (const HeaderLine& line : x->toHost) to.set(line.name, line.value);
    stages_.sent(*x, to);
  }
  return out;
}

// Danger: where attempts can't be called off, one whose request has ended would still be begun by its host.
bool Gateway::mayFinish(AttemptId id) {
  const auto a = attempts_.find(id);
  const auto r = a == attempts_.end() ? requests_.end() : requests_.find(a->second.request);
  return r != requests_.end() && !r->second.ended && clock_.now() <= a->second.latest;
}

void Gateway::onWantBody(AttemptId id) {
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
      a->second.limit = now + balancer_.onArrived(now, id);
      limits_.emplace(a->second.limit, attempt);
    }
  }
  pool_.feed(attempt, std::move(piece), last);
  if (last) carryOut();
}

// --- Answers that are passed on piece by piece
// -------------------------------------------------------------------

// To the module it is served: what the client takes its time over is no load, and can go nowhere else.
void Gateway::onAnswerBegun(AttemptId id, UpstreamAnswer&& upstream, std::optional<std::uint64_t> length) {
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
  settle(id, Outcome::served, std::move(upstream), Parted{length, id});
  if (!client) onRelayBroken(id);
  carryOut();
}

void Gateway::onAnswerPiece(AttemptId id, std::string&& piece, bool last) {
  const auto it = relays_.find(id);
  if (it == relays_.end()) return;
  it->second.last = last;
  if (const auto client = it->second.client.lock()) client->pass(std::move(piece), last);
  else onRelayBroken(id);
}

void Gateway::onAnswerCut(AttemptId id) {
  const auto it = relays_.find(id);
  if (it == relays_.end()) return;
  if (const auto client = it->second.client.lock()) client->cut();
  if (const auto r = requests_.find(it->second.request); r != requests_.end())
    count(r->second, http::status::bad_gateway);
  endRelay(id);
}

void Gateway::onClientTook(RelayId id) {
  const auto it = relays_.find(id);
  if (it == relays_.end()) return;
  if (!it->second.last) return pool_.readOn(id);
  if (const auto r = requests_.find(it->second.request); r != requests_.end())
    count(r->second, http::status::ok);
  endRelay(id);
}

void Gateway::onRelayBroken(RelayId id) {
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

void Gateway::cancel(const ridgeshift::Action& action) {
  if (const auto front = asked_.find(action.request); front != asked_.end())
    return front->second->onCancel(action.request, action.attempt);
  const auto it = requests_.find(action.request);
  if (it == requests_.end() || action.attempt >= it->second.attempts.size()) return;
  givenUp_.push_back(it->second.attempts[action.attempt]);
}

void Gateway::onHead(AttemptId id) {
  const auto a = attempts_.find(id);
  if (a == attempts_.end()) return;
  a->second.head = clock_.now();
  if (const auto h = hosts_.find(a->second.host); h != hosts_.end()) h->second.heard = a->second.head;
  balancer_.onHead(a->second.head, a->second.request, a->second.number);
  armTimer();
}

// Its one final answer is the 101; from here on it is a stream.
void Gateway::onUpgraded(AttemptId id, tcp::socket&& socket, std::string&& early, const http::fields& head) {
  const auto it = attempts_.find(id);
  const auto found = it == attempts_.end() ? requests_.end() : requests_.find(it->second.request);
  if (found == requests_.end()) return;
  RequestRecord& r = found->second;
  std::optional<Upgrades::Accepted> accepted;
  if (!r.ended && r.upgrade) accepted = upgrades_->accepted(*r.message, head);
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
  if (Exchange* const x = r.exchange.get()) {
    stages_.settled(*x, true);
    stages_.answerHead(*x, {101, true, &head, {}, {}, true, 0}, accepted->toClient);
    stages_.answerDone(*x);
  }
  ++counts_[r.classIndex].answered;
  std::string lines = "HTTP/1.1 101 Switching Protocols\r\n";
  for (const HeaderLine& h : accepted->toClient)
    lines.append(h.name).append(": ").append(h.value).append("\r\n");
  lines += "\r\n";
  Upgraded u{a.request,
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
  end(a.request, r, RequestEnd::served);
  releaseIfOver(a.request);
  upgrades_->take(std::move(u));
  carryOut();
}

// What an attempt shows of its host beside what the module makes of it. `byLimit`: its time was up. Danger:
// one that never had a connection for want of our own descriptors says nothing of the host.
void Gateway::observe(HostRecord& host, Outcome outcome, Time sent, bool byLimit) {
  switch (outcome) {
    case Outcome::served:
    case Outcome::error:
    case Outcome::full:
    case Outcome::rejected: host.heard = clock_.now(); return;
    case Outcome::timeout: break;
    case Outcome::connectFailed:
      if (byLimit) return;
      break;
    default: return;
  }
  if (observer_ && host.heard < sent) observer_->onSilent(host.listed.address);
}

void Gateway::note(const AttemptRecord& a, const HostRecord& h, const RequestRecord& r, Outcome outcome,
                   bool byLimit) {
  log_->onAttempt({view((*r.message)["X-Correlation-Id"]), config_.settings.classes[r.classIndex], a.number,
                   h.listed.address, h.zone, h.cell, a.sent, a.begun, outcome, byLimit, r.ended, a.known});
}

void Gateway::onOutcome(AttemptId id, Outcome outcome, UpstreamAnswer&& upstream) {
  settle(id, outcome, std::move(upstream));
  carryOut();
}

// Tells the module how an attempt ended; what was served goes to the client first.
void Gateway::settle(AttemptId id, Outcome outcome, UpstreamAnswer&& upstream, std::optional<Parted> parted,
                     bool byLimit) {
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
  ridgeshift::AttemptResult result;
  result.request = a.request;
  result.attempt = a.number;
  result.host = a.host;
  result.outcome = outcome;
  result.taken = (a.head != Time{} ? a.head : now) - a.sent;
  result.terminal = r->second.ended || outcome == Outcome::served;
  if (const auto told = upstream.head["X-Backend-Load"]; !told.empty()) {
    result.report = membership::readReport(view(told));
    ++(result.report ? reports_ : spoiltReports_);
    if (observer_ && result.report && host != hosts_.end() && a.sent >= host->second.listed.upSince)
      observer_->onReport(host->second.listed.address, *result.report);
  }
  if (Exchange* const x = r->second.exchange.get()) {
    const bool may = ridgeshift::mayHaveRun(outcome);
    r->second.ran |= may;
    x->mayHaveRun = r->second.ran || r->second.out > 0;
    stages_.settled(*x, may);
  }
  if (outcome == Outcome::rejected) r->second.failure = static_cast<http::status>(upstream.status);
  if (outcome == Outcome::served) {
    Answer answered;
    answered.body = std::move(upstream.body);
    answered.contentType = std::move(upstream.contentType);
    answered.parted = parted;
    answer(a.request, RequestEnd::served, std::move(answered), &upstream);
  }
  releaseIfOver(a.request);
  balancer_.onResult(now, result);
}

// --- Fronts
// -------------------------------------------------------------------------------------------------

void Gateway::ask(Front& front, const ridgeshift::Request& q) {
  asked_.emplace(q.id, &front);
  balancer_.onRequest(clock_.now(), q);
  carryOut();
}

void Gateway::begun(RequestId request, std::uint32_t attempt) {
  balancer_.onAnswerStarted(clock_.now(), request, attempt);
  carryOut();
}

void Gateway::over(RequestId request, std::uint32_t attempt, HostId host, Outcome outcome, Duration taken,
                   bool last) {
  ridgeshift::AttemptResult result;
  result.request = request;
  result.attempt = attempt;
  result.host = host;
  result.outcome = outcome;
  result.taken = taken;
  result.terminal = last;
  if (last) asked_.erase(request);
  balancer_.onResult(clock_.now(), result);
  carryOut();
}

void Gateway::left(RequestId request) {
  balancer_.onClientGone(clock_.now(), request);
  carryOut();
  asked_.erase(request);
}

Phase Gateway::phaseOf(HostId host) const {
  const auto it = hosts_.find(host);
  return it == hosts_.end() ? Phase::out : it->second.phase;
}

bool Gateway::frontsIdle() const {
  return std::all_of(fronts_.begin(), fronts_.end(), [](const Front* front) { return front->idle(); });
}

// --- Discovery
// ----------------------------------------------------------------------------------------------

void Gateway::learnHosts(const HostList& list, ListKind kind) {
  std::vector<ridgeshift::HostEntry> entries;
  for (const ListedHost& h : list.hosts) entries.push_back(inForce(h.entry));
  const Time now = clock_.now();
  balancer_.onHosts(now, kind, entries);
  std::vector<HostId> named;
  std::vector<std::pair<HostId, Phase>> changed;
  std::size_t noRoom = 0;
  for (std::size_t i = 0; i < list.hosts.size(); ++i) {
    const ListedHost& h = list.hosts[i];
    const Phase phase = entries[i].phase;
    const HostId id = balancer_.findHost(h.entry.address);
    if (id == kNone) {  // one that has gone may never have been known
      noRoom += phase != Phase::out;
      continue;
    }
    HostRecord& record = hosts_[id];
    const bool fresh = record.endpoint == tcp::endpoint{};
    if (fresh || record.phase != phase) changed.emplace_back(id, phase);
    // Danger: connections to an old address would be taken for ones to the new.
    if (record.endpoint != h.endpoint) pool_.setOpen(id, false);
    // Another process at this name has shown no life yet.
    const Time heard = !fresh && record.listed.upSince == h.entry.upSince ? record.heard : Time{};
    record = {h.endpoint, phase, h.entry, h.entry.zone, h.entry.cell, heard, now};
    named.push_back(id);
  }
  if (noRoom > 0)
    std::fprintf(stderr, "finchstile: %zu of %zu hosts of a list have no room; 65535 are held\n", noRoom,
                 list.hosts.size());
  std::sort(named.begin(), named.end());
  for (auto& [id, record] : hosts_) {
    // What a whole list leaves out is gone, and so is what the module has forgotten.
    if (!balancer_.knows(id) ||
        (kind != ListKind::update && !std::binary_search(named.begin(), named.end(), id))) {
      if (record.phase != Phase::out) changed.emplace_back(id, Phase::out);
      record.phase = record.listed.phase = Phase::out;
    }
    pool_.setOpen(id, record.phase == Phase::in);
  }
  if (log_)
    for (const auto& [id, phase] : changed) log_->onPhase(hosts_.at(id).listed.address, phase);
  for (Front* front : fronts_)
    for (const auto& [id, phase] : changed) front->onHost(id, phase);
  carryOut();
}

ridgeshift::HostEntry Gateway::inForce(const ridgeshift::HostEntry& listed) const {
  ridgeshift::HostEntry entry = listed;
  for (const HostFilter* filter : filters_) filter->apply(entry);
  return entry;
}

// The list as it stands, told again: what the filter has changed since shows as a change of the list.
void Gateway::refilter() {
  HostList list;
  for (const auto& [id, h] : hosts_)
    if (h.listed.phase != Phase::out) list.hosts.push_back({h.listed, h.endpoint});
  learnHosts(list, ListKind::update);
}

bool Gateway::lists(const std::string& host) const {
  const HostId id = balancer_.findHost(host);
  const auto it = id == kNone ? hosts_.end() : hosts_.find(id);
  return it != hosts_.end() && it->second.listed.phase != Phase::out;
}

void Gateway::onHostList(HostList&& list) {
  if (!gate_) return takeList(list);
  if (const auto told = gate_->onList(std::move(list))) return takeList(*told);
  // Danger: a watch that brings what is passed over is a watch all the same; else the module asks again.
  takeList({});
}

void Gateway::takeList(const HostList& list) {
  learnHosts(list, list.whole ? ListKind::replace : ListKind::update);
}

void Gateway::askWholeList() { discovery_.renew(); }

Time Gateway::answeredAt(const std::string& host) const {
  const HostId id = balancer_.findHost(host);
  const auto it = id == kNone ? hosts_.end() : hosts_.find(id);
  return it == hosts_.end() ? Time{} : it->second.heard;
}

std::vector<Gateway::HostView> Gateway::hosts() const {
  std::vector<HostView> out;
  for (const auto& [id, h] : hosts_)
    if (h.listed.phase != Phase::out)
      out.push_back({h.listed, h.endpoint, h.phase, h.heard, balancer_.avoids(id), balancer_.streams(id)});
  std::sort(out.begin(), out.end(),
            [](const HostView& a, const HostView& b) { return a.listed.address < b.listed.address; });
  return out;
}

void Gateway::onDiscoveryLost() {
  if (gate_) gate_->onLost();
  balancer_.onHosts(clock_.now(), ListKind::unavailable, {});
  carryOut();
}

// --- The module's actions, and the timer
// --------------------------------------------------------------------

// Danger: carrying out an action may bring results at once, and these new actions. They are told one after
// the other, never from within another.
void Gateway::carryOut() {
  if (carrying_) return;
  carrying_ = true;
  while (!balancer_.actions().empty() || !givenUp_.empty() || !heldActions_.empty()) {
    const std::vector<ridgeshift::Action> actions = std::exchange(balancer_.actions(), {});
    // An attempt given up is closed before anything else goes out for its request, the answer included.
    for (const auto& action : actions)
      if (action.kind == ActionKind::cancel) cancel(action);
    const std::vector<AttemptId> givenUp = std::exchange(givenUp_, {});
    std::vector<std::pair<AttemptId, bool>> closed;
    for (const AttemptId id : givenUp)
      if (attempts_.count(id) > 0) closed.emplace_back(id, pool_.giveUp(id));
    for (const auto& action : actions) carryOut(action);
    for (HeldAction& action : std::exchange(heldActions_, {})) carryOut(std::move(action));
    for (const auto& [id, began] : closed) settle(id, began ? Outcome::cancelled : Outcome::moot, {});
  }
  carrying_ = false;
  armTimer();
}

bool Gateway::carryOut(const ridgeshift::Action& action, Front& front) {
  switch (action.kind) {
    case ActionKind::send: {
      const auto h = hosts_.find(action.host);
      if (h == hosts_.end()) return false;  // cannot be, see `send`
      front.onSend(action.request, action.attempt,
                   {action.host, h->second.endpoint, h->second.listed.address, h->second.zone}, action.span);
      return true;
    }
    case ActionKind::cancel: return true;  // done ahead of everything else, see `cancel`
    case ActionKind::refuse:
      asked_.erase(action.request);
      front.onRefused(action.request, action.span);
      return true;
    case ActionKind::fail:
      asked_.erase(action.request);
      front.onFailed(action.request);
      return true;
    default: return false;
  }
}

void Gateway::carryOut(const ridgeshift::Action& action) {
  if (const auto front = asked_.find(action.request);
      front != asked_.end() && carryOut(action, *front->second))
    return;
  switch (action.kind) {
    case ActionKind::send: return send(action);
    case ActionKind::refuse: {
      Answer a = plainAnswer(http::status::service_unavailable);
      a.retryAfter = action.span;
      return answer(action.request, RequestEnd::refused, std::move(a));
    }
    case ActionKind::fail: {
      const auto r = requests_.find(action.request);
      return answer(action.request, RequestEnd::failed,
                    plainAnswer(r == requests_.end() ? http::status::bad_gateway : r->second.failure));
    }
    case ActionKind::wake: wake_ = wake_ == Time{} ? action.span : std::min(wake_, action.span); return;
    case ActionKind::subscribe: return discovery_.watch();
    case ActionKind::log: std::fprintf(stderr, "%s\n", action.text.c_str()); return;
    case ActionKind::cancel:
    case ActionKind::probe:  // these two: not offered by this gateway, so never asked for
    case ActionKind::tell: return;
  }
}

void Gateway::armTimer() {
  Time want = housekeepAt_;
  if (wake_ != Time{}) want = std::min(want, wake_);
  if (!limits_.empty()) want = std::min(want, limits_.begin()->first);
  if (!held_.empty()) want = std::min(want, held_.begin()->first.first);
  if (!heldActions_.empty()) want = std::min(want, clock_.now());
  if (want == armed_) return;
  armed_ = want;
  timer_.expires_at(clock_.steady(want));
  timer_.async_wait([this](error_code stopped) {
    if (!stopped) onTimer();
  });
}

// How late the loop is with its timer: what it deals with now may have waited as long.
Duration Gateway::overdue() const {
  return armed_ == Time{} ? Duration{} : std::max(clock_.now() - armed_, Duration{});
}

// How late the loop may have come to what it now reads.
Duration Gateway::lagNow() const { return clock_.now() < lagUntil_ ? lag_ : Duration{}; }

void Gateway::onTimer() {
  const Time now = clock_.now();
  const Duration late = overdue();
  if (late > kLagLeast) lag_ = late, lagUntil_ = now + kLagKept;
  if (plan_) plan_->onLag(late);
  armed_ = Time{};
  while (!limits_.empty() && limits_.begin()->first <= now) {
    const AttemptId id = limits_.begin()->second;
    const bool began = pool_.giveUp(id);
    settle(id, began ? Outcome::timeout : Outcome::connectFailed, {}, {}, true);
  }
  failHeld(now);
  if (wake_ != Time{} && wake_ <= now) {
    wake_ = Time{};
    balancer_.onWake(clock_.now());
  }
  if (now >= housekeepAt_) housekeep(now);
  carryOut();
}

// Nothing is kept of hosts that are gone, once the module and the sockets are through with them.
void Gateway::forgetHosts() {
  for (auto it = hosts_.begin(); it != hosts_.end();)
    if (it->second.phase == Phase::out && !balancer_.knows(it->first) && pool_.forget(it->first))
      it = hosts_.erase(it);
    else ++it;
}

void Gateway::housekeep(Time now) {
  forgetHosts();
  housekeepAt_ = now + (plan_ ? kHousekeepDrain : kHousekeep);
  listener_.sweep();
  pool_.sweep();
  // Danger: what discovery pushes counts as told during a drain too, whether or not a watch is open.
  if (!config_.settings.askDiscovery) discovery_.watch();
  if (!plan_) return;
  // Danger: an answer that closes its connection sends its client to a front that may have no other gateway.
  if (now >= plan_->serveUntil()) listener_.beginDrain();
  if (now >= plan_->lastCall() && done_) failOpen();
  const bool nobody = listener_.size() == 0 && now >= plan_->acceptUntil();
  if (now < plan_->closeListener() && !nobody) return;
  listener_.close();
  if (((listener_.size() == 0 && frontsIdle()) || now >= plan_->exit()) && done_)
    std::exchange(done_, nullptr)();
}

}  // namespace finchstile
