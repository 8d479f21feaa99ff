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
  const std::size_t own = kOwnDescriptors + c.reservedDescriptors;
  const auto rest = static_cast<double>(c.sockets - std::min(c.sockets / 4, own));
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
