// Ties the rules of the decision module together: events become calls of the rules, and what they decide
// becomes actions. Interface: include/finchstile/load_balancer.hpp; the rules: one header each in this
// folder.
//
// A request is scored by its priority and rejected unsent if it scores below the cutoff (AdmissionController,
// OverloadEstimator); else it is sent to a host (HostPicker, after LoadProbing where gateways outnumber
// hosts), and again if that is allowed and useful (RetryPolicy). Outcomes feed the statistics and the health
// of hosts.
//
// The rules draw from one random source, and sums depend on their order: both are part of the behaviour.
#include "finchstile/load_balancer.hpp"

#include <algorithm>
#include <cmath>
#include <stdexcept>
#include <unordered_map>
#include <utility>

#include "policy/action_queue.hpp"
#include "policy/active_request.hpp"
#include "policy/admission_controller.hpp"
#include "policy/capacity_backoff.hpp"
#include "policy/discovery_backoff.hpp"
#include "policy/duration_math.hpp"
#include "policy/dynamic_settings.hpp"
#include "policy/fleet_shape.hpp"
#include "policy/host_picker.hpp"
#include "policy/host_registry.hpp"
#include "policy/in_flight_tracker.hpp"
#include "policy/late_retry_detector.hpp"
#include "policy/learned_state.hpp"
#include "policy/load_probing.hpp"
#include "policy/load_report_model.hpp"
#include "policy/outcomes.hpp"
#include "policy/outlier_detector.hpp"
#include "policy/overload_estimator.hpp"
#include "policy/peer_message.hpp"
#include "policy/random_source.hpp"
#include "policy/request_timers.hpp"
#include "policy/retry_policy.hpp"
#include "policy/settings.hpp"
#include "policy/slow_start.hpp"
#include "policy/stream_placement.hpp"
#include "policy/traffic_statistics.hpp"

namespace finchstile::load_balancing {
namespace {

constexpr double kMinLatencySeconds = 1e-6;   // zero would make ratios meaningless
constexpr double kMinRelativeLatency = 0.05;  // of a host, as a divisor

}  // namespace

struct LoadBalancer::Impl {
  Impl(Settings initialSettings, Time startedAt)
      : settings(std::move(initialSettings)), now(startedAt), nextSweepAt(startedAt + kSweepInterval) {}

  Impl(const Impl&) = delete;  // the rules refer to one another
  Impl& operator=(const Impl&) = delete;

  // --- Events ---------------------------------------------------------------------------------------------

  // Handles one event at its time, then does what is due after each: polls discovery and sets the timer.
  template <class Event>
  void handle(Time at, Event event) {
    now = std::max(now, at);  // a clock that goes back would make ages negative
    event(*this);
    pollDiscovery();
    setTimer();
  }

  void onHostListUpdate(HostListUpdate kind, const std::vector<HostEntry>& entries) {
    if (kind == HostListUpdate::unavailable) return discovery.onUnavailable(now, random);
    if (kind == HostListUpdate::discoveryMoved) return discovery.onMoved(now);
    if (kind == HostListUpdate::restored) discovery.onRestored(now);
    else discovery.onAnswer();
    hosts.apply(kind, entries, [this](Host& host) { onHostStarted(host); });
    probing.assignGroups();
    picker.rebuildPreferenceOrder();
  }

  // What was learned of an earlier process of the host is void, except a capacity backoff that still runs.
  void onHostStarted(Host& host) {
    OutlierDetector::onHostStarted(host);
    CapacityBackoff::onHostStarted(host);
    LoadProbing::onHostStarted(host);
    SlowStart::onHostStarted(host, now);
    TrafficStatistics::onHostStarted(host, hosts, slowStart.capacityFraction(host, now));
    host.reportedLoad = {};
  }

  void onRequest(const Request& arriving) {
    const auto [it, isNew] = requests.try_emplace(arriving.id);
    if (!isNew) return;
    ActiveRequest& request = it->second;
    describe(request, arriving);
    TrafficClass& trafficClass = traffic.classes()[request.classIndex];
    retries.onArrival();
    outliers.onArrival(now, trafficClass.settings.idempotency);
    traffic.onArrival(now);
    request.priorityWeight =
        admission.priorityWeight(now, request, trafficClass.settings.priorityWeight, arriving.tenantIndex);
    request.score = admission.score(request.priorityWeight, random);
    overload.onArrival(now);
    if (!AdmissionController::admits(request.score, overload.cutoff()))
      return request.earlierAttempt ? rejectOrFail(request) : rejectForOverload(request);
    if (!request.isBodyIncomplete) timers.add(request.deadline - settings.eventInterval, request.id);
    if (!route(request)) rejectOrFail(request);
  }

  Duration onRequestBodyComplete(RequestId id) {
    ActiveRequest* request = find(id);
    if (!request || !std::exchange(request->isBodyIncomplete, false)) return {};
    if (request->hasEnded || request->pendingAttempts == 0) return {};
    // A body that comes slowly must not look like a slow or silent host, nor like load: times count from now.
    request->objectiveAt += now - request->arrivedAt;
    request->deadline += now - request->arrivedAt;
    timers.add(request->deadline - settings.eventInterval, id);
    Attempt& attempt = request->attempts[request->attemptCount - 1];
    attempt.sentAt = now;
    inFlight.begin(hosts, id, attempt);
    return retries.attemptTimeout(*request, now);
  }

  // An answer that trickles in over a slow line, or is long, is no load of the host: counted, it would fill
  // the pool's in-flight limit, and requests that idle hosts could do would be rejected.
  void onResponseHeaders(RequestId id, std::uint32_t number) {
    ActiveRequest* request = find(id);
    if (!request || number >= request->attemptCount || !request->attempts[number].isPending) return;
    Attempt& attempt = request->attempts[number];
    inFlight.end(hosts, attempt);
    hosts[attempt.host].health.lastSeenAlive = now;
  }

  void onResponseStarted(RequestId id, std::uint32_t number) {
    ActiveRequest* request = find(id);
    if (!request || request->hasEnded || number >= request->attemptCount) return;
    request->hasResponseStarted = true;
    cancelPendingAttempts(*request, number);
    if (request->isStream) onResponseHeaders(id, number);
  }

  void onAttemptResult(const AttemptResult& result) {
    ActiveRequest* request = find(result.request);
    if (!request || result.attempt >= request->attemptCount) return;
    Attempt& attempt = request->attempts[result.attempt];
    if (!attempt.isPending) return;
    attempt.isPending = false;
    --request->pendingAttempts;
    inFlight.end(hosts, attempt);
    streams.end(hosts, attempt);
    if (!mayHaveRun(result.outcome)) attempt.mayHaveRun = false;
    learnFromResult(*request, attempt, result);
    if (result.requestEnded && !request->hasEnded) {
      request->hasEnded = true;
      cancelPendingAttempts(*request);
    }
    if (request->hasEnded) return release(*request);
    if (request->hasResponseStarted || request->pendingAttempts > 0 || request->awaitedReports > 0) return;
    retryOrGiveUp(*request, result.outcome);
  }

  void onClientDisconnected(RequestId id) {
    ActiveRequest* request = find(id);
    if (request && !request->hasEnded) end(*request);
  }

  void onProbeResult(const ProbeResult& result) {
    if (!hosts.contains(result.host)) return;
    std::deque<RequestId>& waiting = hosts[result.host].probing.waitingRequests;
    if (waiting.empty()) return;
    ActiveRequest* request = findAwaitingReports(waiting.front());
    waiting.pop_front();
    if (request && LoadProbing::onProbeResult(*request, result)) sendAfterProbing(*request, false);
  }

  void onPeerMessage(std::uint32_t gateway, std::string_view bytes) {
    peer::Message message;
    if (gateway >= settings.gatewayCount || !settings.peerMessagesEnabled || !peer::decode(bytes, message))
      return;
    const HostId id = hosts.findByWireHash(message.hostHash);
    if (id == kNone) return;  // the own list may lag behind the sender's
    switch (message.kind) {
      case peer::MessageKind::recommendation: return onRecommendation(id, message);
      case peer::MessageKind::recommendationRequest: {
        const Recommendation best = probing.recommend(id, now, random);
        if (best.host != kNone) probing.sendRecommendation(gateway, best, message.correlationId);
        return;
      }
      case peer::MessageKind::attemptStarted: return probing.onAttemptStarted(hosts[id], now);
      case peer::MessageKind::attemptEnded:
        probing.onAttemptEnded(hosts[id], now);
        return learnOfHost(hosts[id], message.outcome, message.value, false);
    }
  }

  void onRecommendation(HostId id, const peer::Message& message) {
    ActiveRequest* request = findAwaitingReports(message.correlationId);
    if (!request || settings.probingEnabled) return;
    request->leastLoaded = id;
    request->leastLoad = message.value;
    sendAfterProbing(*request, true);
  }

  void onTimer() {
    while (!timers.isEmpty() && timers.next().dueAt <= now) onRequestTimer(timers.pop().request);
    if (now >= nextSweepAt) sweep();
  }

  void onRequestTimer(RequestId id) {
    ActiveRequest* request = find(id);
    if (!request || request->hasEnded || request->hasResponseStarted) return;
    // A result that never comes must not leave the client without an answer.
    if (now >= request->deadline - settings.eventInterval) return rejectOrFail(*request);
    if (request->awaitedReports == 0) return;
    if (!settings.probingEnabled && hosts.contains(request->leastLoaded))
      probing.onTrackerSilent(hosts[request->leastLoaded].probing.group, now);
    sendAfterProbing(*request, false);
  }

  // --- Requests -------------------------------------------------------------------------------------------

  void describe(ActiveRequest& request, const Request& arriving) {
    request.id = arriving.id;
    request.classIndex = traffic.classIndexOf(arriving);
    TrafficClass& trafficClass = traffic.classes()[request.classIndex];
    request.relativeWork = traffic.onExpectedWork(trafficClass, arriving.expectedWork);
    request.latencyObjective = trafficClass.settings.latencyObjective;
    request.lateValueFraction = trafficClass.settings.lateValueFraction;
    request.affinityKey = arriving.affinityKey;
    request.hasAffinityKey = arriving.hasAffinityKey;
    request.earlierAttempt = arriving.earlierAttempt;
    request.isSingleAttempt = request.isBodyIncomplete = arriving.bodyIncomplete;
    request.preferLocalZone = arriving.preferLocalZone;
    request.isStream = arriving.isStream;
    request.arrivedAt = now;
    request.deadline = now + arriving.timeLeft;
    request.objectiveAt = request.deadline;
    if (request.isStream) return;
    const Duration spent = LateRetryDetector::timeSpentBefore(trafficClass, arriving.timeLeft);
    request.objectiveAt = now - spent + trafficClass.settings.latencyObjective +
                          scaled(arriving.expectedWork, trafficClass.settings.objectiveStretch);
    traffic.onDemand(trafficClass, request.relativeWork);
  }

  // Sends the request, or begins to probe for a host. False: no attempt is pending or will be.
  bool route(ActiveRequest& request) {
    if (!retries.maySend(request, now)) return false;
    const HostId drawn = picker.pick(request, now, random);
    if (drawn == kNone) return false;
    request.observedLoad = -1;
    if (!probing.isWorthwhile(request, retries.latestUsefulAnswer(request), now))
      return send(request, drawn, false);
    LoadProbing::begin(request);
    if (settings.probingEnabled) {
      probeHosts(request, drawn);
    } else {
      request.leastLoaded = drawn;
      const std::uint32_t tracker = probing.trackerOf(hosts[drawn].probing.group, now);
      if (probing.isOwnTracker(tracker)) {
        const Recommendation best = probing.recommend(drawn, now, random);
        request.leastLoaded = best.host;
        request.leastLoad = best.load;
        sendAfterProbing(request, true);
        return true;
      }
      probing.requestRecommendation(request, drawn, tracker);
    }
    timers.add(now + LoadProbing::maxWait(request), request.id);
    return true;
  }

  void probeHosts(ActiveRequest& request, HostId drawn) {
    probing.probe(request, drawn);
    for (int i = 1; i < LoadProbing::kProbedHosts; ++i) {
      const HostId other = picker.pick(request, now, random);
      if (other == kNone || other == drawn || slowStart.isWarmingUp(hosts[other], now)) continue;
      probing.probe(request, other);
    }
  }

  // The reports have come, or the wait for them is over. `isRecommended`: a tracker has assigned the host.
  void sendAfterProbing(ActiveRequest& request, bool isRecommended) {
    LoadProbing::end(request);
    const bool isRejected =
        request.attemptCount == 0 && !AdmissionController::admits(request.score, probing.cutoff(request));
    const HostId best = request.leastLoaded;
    const bool isKnown = hosts.contains(best);
    const bool isUsable =
        isKnown && hosts[best].entry.phase == HostPhase::active && picker.isUsable(request, best, now);
    if (isRecommended && (isRejected || !isUsable) && isKnown)
      probing.reportAttemptEnded(hosts[best], Outcome::notSent, 0, now);
    if (isRejected) return rejectForOverload(request);
    const HostId host = isUsable ? best : picker.pick(request, now, random);
    if (!send(request, host, isRecommended && isUsable)) rejectOrFail(request);
  }

  bool send(ActiveRequest& request, HostId id, bool isRecommended) {
    if (id == kNone || !retries.maySend(request, now)) return false;
    Host& host = hosts[id];
    slowStart.onSend(host, now);
    const Time sendDeadline = retries.repeatDeadline(request);
    Attempt& attempt = request.attempts[request.attemptCount];
    attempt = {};
    attempt.host = id;
    attempt.sentAt = now;
    attempt.isPending = attempt.mayHaveRun = true;
    attempt.loadHint = LoadReportModel::hintAt(host.reportedLoad, now);
    if (!request.isBodyIncomplete) inFlight.begin(hosts, request.id, attempt);
    if (request.isStream) streams.begin(hosts, attempt);
    ++host.references;
    ++request.pendingAttempts;
    traffic.onSend();
    Action& action = actions.push(ActionKind::sendAttempt, request.id, request.attemptCount++, id,
                                  retries.attemptTimeout(request, now));
    action.verifyConnection = retries.needsLiveConnection(request);
    action.sendDeadline = sendDeadline;
    if (!isRecommended) probing.reportAttemptStarted(host, now);
    return true;
  }

  void retryOrGiveUp(ActiveRequest& request, Outcome outcome) {
    if (outcome == Outcome::invalidRequest) {  // every host would answer so, and a rejection invites a retry
      actions.push(ActionKind::fail, request.id);
      return end(request);
    }
    const double highestWeight = admission.highestPriorityWeight(request.priorityWeight);
    const bool retry = outcome != Outcome::notSent && retries.mayRetry(request, highestWeight, now);
    if (retry && route(request)) retries.onRetry();
    else rejectOrFail(request);
  }

  // Ends a request that cannot be served, since no host, time, attempt or retry is left: rejects it if a
  // client's retry is harmless, otherwise fails it. Only streams get a Retry-After.
  void rejectOrFail(ActiveRequest& request) {
    if (retries.mayReject(request)) {
      const Duration retryAfter = request.isStream ? admission.retryAfter(request, random) : Duration{};
      actions.push(ActionKind::reject, request.id, 0, kNone, retryAfter);
    } else {
      actions.push(ActionKind::fail, request.id);
    }
    end(request);
  }

  // Rejects an unsent request because of overload.
  void rejectForOverload(ActiveRequest& request) {
    actions.push(ActionKind::reject, request.id, 0, kNone, admission.retryAfter(request, random));
    end(request);
  }

  void end(ActiveRequest& request) {
    request.hasEnded = true;
    cancelPendingAttempts(request);
    release(request);
  }

  void cancelPendingAttempts(ActiveRequest& request, std::uint32_t except = kNone) {
    if (!settings.cancellationEnabled) return;
    for (std::uint32_t i = 0; i < request.attemptCount; ++i) {
      Attempt& attempt = request.attempts[i];
      if (!attempt.isPending || attempt.isCancelled || i == except) continue;
      attempt.isCancelled = true;
      actions.push(ActionKind::cancelAttempt, request.id, i);
    }
  }

  // Forgets the request once nothing is owed and nothing pending. `request` is then no longer valid.
  void release(const ActiveRequest& request) {
    if (!request.hasEnded || request.pendingAttempts > 0) return;
    for (std::uint32_t i = 0; i < request.attemptCount; ++i) --hosts[request.attempts[i].host].references;
    requests.erase(request.id);
  }

  ActiveRequest* find(RequestId id) {
    const auto it = requests.find(id);
    return it == requests.end() ? nullptr : &it->second;
  }
  ActiveRequest* findAwaitingReports(RequestId id) {
    ActiveRequest* request = find(id);
    return request && !request->hasEnded && request->awaitedReports > 0 ? request : nullptr;
  }
  // The attempt of a request that a host holds, or null.
  const Attempt* findInFlight(RequestId id, HostId host) {
    const ActiveRequest* request = find(id);
    if (!request) return nullptr;
    for (std::uint32_t i = 0; i < request->attemptCount; ++i) {
      const Attempt& attempt = request->attempts[i];
      if (attempt.isInFlight && attempt.host == host) return &attempt;
    }
    return nullptr;
  }

  // --- Results ------------------------------------------------------------------------------------------

  void learnFromResult(const ActiveRequest& request, const Attempt& attempt, const AttemptResult& result) {
    Host& host = hosts[attempt.host];
    const Outcome outcome = result.outcome;
    // What went out before the host's start was answered by another process, whose load says nothing of it.
    if (result.report && attempt.sentAt >= host.entry.startedAt)
      LoadReportModel::onReport(host.reportedLoad, *result.report, now);
    if (request.isStream) {  // how long a stream lasts, or took to begin, says nothing of the host's latency
      learnOfHost(host, outcome, 0, true);
      overload.onOutcome(host, outcome);
      return;
    }
    const double seconds = std::max(toSeconds(result.elapsed), kMinLatencySeconds);
    const double relativeLatency = traffic.onResult(now, host, request, outcome, seconds);
    probing.onResult(request, outcome, seconds);
    if (outcome == Outcome::served || outcome == Outcome::timeout)
      loadReports.onAnswer(attempt.loadHint,
                           relativeLatency / std::max(host.traffic.relativeLatency, kMinRelativeLatency));
    learnOfHost(host, outcome, relativeLatency, true);
    probing.reportAttemptEnded(host, outcome, relativeLatency, now);
    overload.onOutcome(host, outcome);
    if (!saysSomethingOfHost(outcome)) return;
    retries.onResult(request, outcome, result.elapsed, seconds);
    traffic.onServedOrNot(outcome == Outcome::served);
  }

  // `firstHand`: the attempt was this gateway's own, and not reported to it as the tracker of the host's
  // group.
  void learnOfHost(Host& host, Outcome outcome, double relativeLatency, bool firstHand) {
    traffic.learnRelativeLatency(host, outcome, relativeLatency, hosts);
    const bool isUnreachable = (outcome == Outcome::connectFailed || outcome == Outcome::reset) &&
                               !OutlierDetector::isResponsive(host, now);
    if (outcome == Outcome::served) CapacityBackoff::onServed(host);
    if (outcome == Outcome::rejectedForCapacity) CapacityBackoff::onRejected(host, now, random);
    if (isUnreachable && shape.usesSubsets()) CapacityBackoff::onUnreachable(host, now, random);
    outliers.onOutcome(now, host, outcome, firstHand, random);
  }

  // Renews statistics, health and cutoff. The order matters: later steps read what earlier ones renewed.
  void sweep() {
    traffic.beginSweep(hosts.active().size());
    nextSweepAt = now + traffic.sweepInterval();
    hosts.forgetUnreferenced();
    const double fastGain = traffic.sweepGain(kFastGain);
    traffic.sweepHosts(hosts, shape);
    overload.fadeOutcomes(hosts, fastGain);
    outliers.sweep(now, random, [this](RequestId id, HostId host) { return findInFlight(id, host); });
    slowStart.sweepMachineTypes(hosts, now);
    traffic.sweepPool(hosts);
    admission.sweep();
    overload.sweep(now, fastGain);
  }

  // --- After each event ---------------------------------------------------------------------------------

  void pollDiscovery() {
    if (!discovery.isDue(now)) return;
    actions.push(ActionKind::pollDiscovery);
    discovery.onPoll(now);
  }

  void setTimer() {
    while (!timers.isEmpty()) {
      const ActiveRequest* request = find(timers.next().request);
      if (request && !request->hasEnded) break;
      timers.pop();
    }
    Time dueAt = timers.isEmpty() ? nextSweepAt : std::min(nextSweepAt, timers.next().dueAt);
    dueAt = std::max(dueAt, now + Duration(1));
    if (timerDueAt > now && timerDueAt <= dueAt) return;
    timerDueAt = dueAt;
    actions.push(ActionKind::setTimer, 0, 0, kNone, dueAt);
  }

  const Settings settings;
  Time now;
  Time nextSweepAt;
  Time timerDueAt{};  // of the last setTimer action

  ActionQueue actions;
  RandomSource random{settings.seed};
  std::unordered_map<RequestId, ActiveRequest> requests;
  RequestTimers timers;

  // The rules. Each refers to those above it only.
  HostRegistry hosts{settings.zone};
  FleetShape shape{settings, hosts};
  InFlightTracker inFlight;
  TrafficStatistics traffic{settings, now};
  RetryPolicy retries{settings, hosts, shape, traffic};
  OutlierDetector outliers{hosts, shape, traffic, actions};
  OverloadEstimator overload{settings, hosts, shape, traffic, inFlight, retries, actions};
  AdmissionController admission{settings, now};
  SlowStart slowStart{settings, shape, traffic};
  StreamPlacement streams{settings};
  LoadReportModel loadReports;
  LoadProbing probing{settings, hosts, shape, traffic, slowStart, actions};
  HostPicker picker{
      {settings, hosts, shape, traffic, overload, outliers, slowStart, retries, streams, loadReports}};
  DiscoveryBackoff discovery{settings};
};

LoadBalancer::LoadBalancer(Settings settings, Time now) {
  validate(settings);
  impl_ = std::make_unique<Impl>(std::move(settings), now);
}
LoadBalancer::~LoadBalancer() = default;
LoadBalancer::LoadBalancer(LoadBalancer&&) noexcept = default;
LoadBalancer& LoadBalancer::operator=(LoadBalancer&&) noexcept = default;

void LoadBalancer::onHostListUpdate(Time now, HostListUpdate kind, const std::vector<HostEntry>& entries) {
  impl_->handle(now, [&](Impl& impl) { impl.onHostListUpdate(kind, entries); });
}
void LoadBalancer::onDynamicSettings(Time now, const DynamicSettings& update) {
  impl_->handle(now, [&](Impl& impl) {
    applyDynamicSettings(impl.now, impl.settings, update, impl.traffic, impl.admission, impl.probing);
  });
}
void LoadBalancer::onRequest(Time now, const Request& request) {
  impl_->handle(now, [&](Impl& impl) { impl.onRequest(request); });
}
Duration LoadBalancer::onRequestBodyComplete(Time now, RequestId request) {
  Duration attemptTimeout{};
  impl_->handle(now, [&](Impl& impl) { attemptTimeout = impl.onRequestBodyComplete(request); });
  return attemptTimeout;
}
void LoadBalancer::onResponseHeaders(Time now, RequestId request, std::uint32_t attempt) {
  impl_->handle(now, [&](Impl& impl) { impl.onResponseHeaders(request, attempt); });
}
void LoadBalancer::onResponseStarted(Time now, RequestId request, std::uint32_t attempt) {
  impl_->handle(now, [&](Impl& impl) { impl.onResponseStarted(request, attempt); });
}
void LoadBalancer::onAttemptResult(Time now, const AttemptResult& result) {
  impl_->handle(now, [&](Impl& impl) { impl.onAttemptResult(result); });
}
void LoadBalancer::onClientDisconnected(Time now, RequestId request) {
  impl_->handle(now, [&](Impl& impl) { impl.onClientDisconnected(request); });
}
void LoadBalancer::onTimer(Time now) {
  impl_->handle(now, [](Impl& impl) { impl.onTimer(); });
}
void LoadBalancer::onProbeResult(Time now, const ProbeResult& result) {
  impl_->handle(now, [&](Impl& impl) { impl.onProbeResult(result); });
}
void LoadBalancer::onPeerMessage(Time now, std::uint32_t from, std::string_view bytes) {
  impl_->handle(now, [&](Impl& impl) { impl.onPeerMessage(from, bytes); });
}

LearnedState LoadBalancer::learnedState() const {
  return captureLearnedState(impl_->now, impl_->traffic, impl_->overload, impl_->admission, impl_->hosts);
}
void LoadBalancer::restoreLearnedState(Time now, const LearnedState& learned) {
  impl_->handle(now, [&](Impl& impl) {
    load_balancing::restoreLearnedState(impl.now, learned, impl.traffic, impl.overload, impl.admission,
                                        impl.hosts);
  });
}

std::vector<Action>& LoadBalancer::actions() { return impl_->actions.actions(); }
HostId LoadBalancer::findHost(std::string_view address) const { return impl_->hosts.findByAddress(address); }
bool LoadBalancer::isKnown(HostId host) const { return impl_->hosts.contains(host); }
bool LoadBalancer::isAvoided(HostId host) const {
  if (!isKnown(host)) return false;
  const Host& known = impl_->hosts[host];
  return known.health.isUnhealthy() || CapacityBackoff::isBackingOff(known, impl_->now);
}
const std::string& LoadBalancer::hostAddress(HostId host) const {
  if (!isKnown(host)) throw std::out_of_range("load balancer: unknown host");
  return impl_->hosts[host].entry.address;
}
double LoadBalancer::admissionCutoff() const { return impl_->overload.cutoff(); }
std::size_t LoadBalancer::openRequests() const { return impl_->requests.size(); }
std::size_t LoadBalancer::streamCount(HostId host) const {
  return isKnown(host) ? impl_->hosts[host].streams.count : 0;
}
std::size_t LoadBalancer::streamCount() const { return impl_->streams.streamCount(); }

}  // namespace finchstile::load_balancing
