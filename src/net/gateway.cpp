#include "net/gateway.hpp"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <string_view>

#include "membership/load_report.hpp"

namespace finchstile {
namespace {

namespace http = boost::beast::http;
using boost::system::error_code;
using load_balancing::ActionKind;
using load_balancing::HostId;
using load_balancing::HostListUpdate;
using load_balancing::HostPhase;
using load_balancing::kNone;
using load_balancing::Outcome;
using load_balancing::RequestId;
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

std::size_t share(const GatewayConfig& c, double part) {
  const std::size_t own = kOwnDescriptors + c.reservedDescriptors;
  const auto rest = static_cast<double>(c.descriptorLimit - std::min(c.descriptorLimit / 4, own));
  return std::max<std::size_t>(
      8, static_cast<std::size_t>(rest * part * (1 - c.options.reservedDescriptorFraction)));
}

Duration part(Duration d, double by) {
  return Duration(static_cast<Duration::rep>(static_cast<double>(d.count()) * by));
}

Duration watchWait(const load_balancing::Settings& s) {
  // Danger: the module takes a first watch that is silent for half this time for lost.
  return s.maxDiscoverySilence > Duration{} ? std::min(s.maxDiscoverySilence / 4, kWatchMost) : kWatchMost;
}

// Between the bytes of an answer that has begun: within the time in which a host shows any sign of life, and
// soon enough that another host can still answer in time.
Duration answerMost(const GatewayConfig& config) {
  Duration least = config.connectTimeout;
  for (const auto& c : config.settings.classes)
    least = std::min(least, part(c.latencyObjective, kStallOfAim));
  return least;
}

}  // namespace

Gateway::Gateway(boost::asio::io_context& io, const Clock& clock, GatewayConfig config)
    : io_(io),
      clock_(clock),
      config_(std::move(config)),
      balancer_(config_.settings, clock.now()),
      listener_(io, clock, config_.listen, config_.inheritedListenerDescriptor,
                share(config_, config_.options.clientDescriptorFraction), config_.options.clients, *this),
      pool_(io, clock,
            {config_.connectTimeout, answerMost(config_), part(config_.upstreamIdleTimeout, kIdleShare),
             config_.options.maxConnectingPerHost, share(config_, config_.options.upstreamDescriptorFraction),
             config_.options.minConnectionCheck},
            *this),
      discovery_(io, clock, config_.discovery, {watchWait(config_.settings), kWatchSoon, kSilence},
                 config_.knownHosts.version, *this),
      timer_(io),
      reader_(config_.settings) {
  for (const auto& c : config_.settings.classes) counts_.push_back({c.name});
}

void Gateway::start() {
  housekeepAt_ = clock_.now() + kHousekeep;
  if (gate_) gate_->onInitialList(config_.knownHosts);
  learnHosts(config_.knownHosts, HostListUpdate::restored);
  if (!config_.settings.pollsDiscovery) discovery_.watch();
  listener_.start();
}

void Gateway::reload(const GatewayConfig& next) {
  if (gate_) gate_->onDiscoveryMoved();
  balancer_.onHostListUpdate(clock_.now(), HostListUpdate::moved, {});
  discovery_.move(next.discovery, next.knownHosts);
  carryOut();
}

void Gateway::applyDynamicSettings(const configuration::SettingsChange& change) {
  load_balancing::DynamicSettings terms;
  terms.classes = change.classes;
  for (const auto& tenant : change.tenants)
    if (tenant.quotaPerSecond) terms.tenants.push_back({tenant.index, *tenant.quotaPerSecond});
  balancer_.onDynamicSettings(clock_.now(), terms);
  for (const auto& tenant : change.tenants) {
    if (tenant.quotaPerSecond) reader_.tenants().list(tenant.index, tenant.name);
    else reader_.tenants().unlist(tenant.name);
  }
  for (const auto& cls : change.classes) {
    load_balancing::ClassSettings& settings = config_.settings.classes[cls.index];
    settings.latencyObjective = cls.latencyObjective;
    settings.priorityWeight = cls.priorityWeight;
    settings.lateValueFraction = cls.lateValueFraction;
  }
  carryOut();
}

void Gateway::setOptions(const GatewayOptions& tuning) {
  listener_.setOptions(tuning.clients);
  pool_.setConnectionOptions(tuning.maxConnectingPerHost, tuning.minConnectionCheck);
}

void Gateway::drain(std::function<void()> done) {
  if (plan_) return;
  done_ = std::move(done);
  // Danger: a loop that comes late finds the signal late too, and the platform's time runs since it was sent.
  const Time told = clock_.now() - std::max(lagNow(), overdue());
  plan_.emplace(told, drain::DrainSettings{longestClientTimeout(config_.settings),
                                           config_.options.drainServeTime, listener_.inherited()});
  housekeepAt_ = clock_.now();
  if (listener_.inherited()) {  // who shares it takes what comes there from now on
    listener_.beginDrain();
    listener_.close();
    listener_.enterLameDuck(told + kRestAfterAway);
  }
  for (ProtocolHandler* front : fronts_) front->onDrain(plan_->exitTime());
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
    answer(id, RequestResult::failed, plainResponse(http::status::bad_gateway));
    if (!held) balancer_.onClientDisconnected(clock_.now(), id);
  }
  listener_.refuseHalf();
  carryOut();
}

void Gateway::handOverClients(std::function<bool(int)> give) {
  const bool ends = !give;
  listener_.handOver(std::move(give));
  if (ends && plan_) listener_.enterLameDuck(clock_.now() + kRestAfterAway);
}

void Gateway::restoreLearnedState(const load_balancing::LearnedState& learned) {
  balancer_.restoreLearnedState(clock_.now(), learned);
  carryOut();
}

bool Gateway::ready() const { return !plan_ && !away_ && !hosts_.empty(); }

void Gateway::enterLameDuck() {
  if (std::exchange(away_, true) || plan_) return;
  listener_.enterLameDuck(clock_.now() + kRestAfterAway);
}

void Gateway::leaveLameDuck() {
  if (!std::exchange(away_, false) || plan_) return;
  listener_.leaveLameDuck();
}

// Danger: carrying out an action may bring results at once, and these new actions. They are told one after
// the other, never from within another.
void Gateway::carryOut() {
  if (carrying_) return;
  carrying_ = true;
  while (!balancer_.actions().empty() || !givenUp_.empty() || !heldActions_.empty()) {
    const std::vector<load_balancing::Action> actions = std::exchange(balancer_.actions(), {});
    // An attempt given up is closed before anything else goes out for its request, the answer included.
    for (const auto& action : actions)
      if (action.kind == ActionKind::cancelAttempt) cancel(action);
    const std::vector<AttemptId> givenUp = std::exchange(givenUp_, {});
    std::vector<std::pair<AttemptId, bool>> closed;
    for (const AttemptId id : givenUp)
      if (attempts_.count(id) > 0) closed.emplace_back(id, pool_.giveUp(id));
    for (const auto& action : actions) carryOut(action);
    for (HeldAction& action : std::exchange(heldActions_, {})) carryOut(std::move(action));
    for (const auto& [id, began] : closed) settle(id, began ? Outcome::cancelled : Outcome::notSent, {});
  }
  carrying_ = false;
  armTimer();
}

void Gateway::carryOut(const load_balancing::Action& action) {
  if (const auto front = asked_.find(action.request);
      front != asked_.end() && carryOut(action, *front->second))
    return;
  switch (action.kind) {
    case ActionKind::sendAttempt: return send(action);
    case ActionKind::reject: {
      Response a = plainResponse(http::status::service_unavailable);
      a.retryAfter = action.duration;
      return answer(action.request, RequestResult::rejected, std::move(a));
    }
    case ActionKind::fail: {
      const auto r = requests_.find(action.request);
      return answer(action.request, RequestResult::failed,
                    plainResponse(r == requests_.end() ? http::status::bad_gateway : r->second.failure));
    }
    case ActionKind::setTimer:
      wake_ = wake_ == Time{} ? action.duration : std::min(wake_, action.duration);
      return;
    case ActionKind::pollDiscovery: return discovery_.watch();
    case ActionKind::log: std::fprintf(stderr, "%s\n", action.text.c_str()); return;
    case ActionKind::cancelAttempt:
    case ActionKind::probeHost:  // these two: not offered by this gateway, so never asked for
    case ActionKind::sendPeerMessage: return;
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
    balancer_.onTimer(clock_.now());
  }
  if (now >= housekeepAt_) housekeep(now);
  carryOut();
}

// Nothing is kept of hosts that are gone, once the module and the sockets are through with them.
void Gateway::forgetHosts() {
  for (auto it = hosts_.begin(); it != hosts_.end();)
    if (it->second.phase == HostPhase::removed && !balancer_.isKnown(it->first) && pool_.forget(it->first))
      it = hosts_.erase(it);
    else ++it;
}

void Gateway::housekeep(Time now) {
  forgetHosts();
  housekeepAt_ = now + (plan_ ? kHousekeepDrain : kHousekeep);
  listener_.sweep();
  pool_.sweep();
  // Danger: what discovery pushes counts as told during a drain too, whether or not a watch is open.
  if (!config_.settings.pollsDiscovery) discovery_.watch();
  if (!plan_) return;
  // Danger: an answer that closes its connection sends its client to a front that may have no other gateway.
  if (now >= plan_->serveDeadline()) listener_.beginDrain();
  if (now >= plan_->finalResponseTime() && done_) failOpen();
  const bool nobody = listener_.size() == 0 && now >= plan_->acceptDeadline();
  if (now < plan_->listenerCloseTime() && !nobody) return;
  listener_.close();
  if (((listener_.size() == 0 && frontsIdle()) || now >= plan_->exitTime()) && done_)
    std::exchange(done_, nullptr)();
}

}  // namespace finchstile
