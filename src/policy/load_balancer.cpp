// Implementation of LoadBalancer: dispatches events to the rules and turns their decisions into actions. Each
// rule has its own header in this folder.
//
// A request is scored by its priority and rejected before it is sent if its score is below the cutoff
// (AdmissionController, OverloadEstimator). Otherwise it is sent to a host (HostPicker, after LoadProbing if
// gateways outnumber hosts), and retried if that is allowed and useful (RetryPolicy). Outcomes update the
// statistics and the health of hosts.
//
// The rules share one random source, and floating-point sums depend on their order, so reordering calls
// changes decisions.
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

constexpr double kMinLatencySeconds = 1e-6;   // a latency of zero would make ratios meaningless
constexpr double kMinRelativeLatency = 0.05;  // lower bound of a host's relative latency as a divisor

}  // namespace

struct LoadBalancer::Impl {
  Impl(Settings initialSettings, Time startedAt)
      : settings(std::move(initialSettings)), now(startedAt), nextSweepAt(startedAt + kSweepInterval) {}

  Impl(const Impl&) = delete;  // the rules hold references to one another
  Impl& operator=(const Impl&) = delete;

  // --- Events ---------------------------------------------------------------------------------------------

  // Handles one event, then polls discovery and sets the timer if due.
  template <class Event>
  void handle(Time at, Event event) {
    now = std::max(now, at);  // a clock that goes backwards would make ages negative
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

  // Resets the statistics of the host's previous process, except a capacity backoff that is in progress.
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
    initialize(request, arriving);
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

  Duration onRequestBodyComplete(RequestId id, Time writtenAt) {
    ActiveRequest* request = find(id);
    if (!request || !std::exchange(request->isBodyIncomplete, false)) return {};
    if (request->hasEnded || request->pendingAttempts == 0) return {};
    // A body that arrives slowly must not count as load or make the host look slow or unresponsive, so the
    // host's time counts from now. The client counts from its last byte, which may have waited unread.
    request->deadline += std::clamp(writtenAt, request->arrivedAt, now) - request->arrivedAt;
    request->objectiveAt = std::min(request->objectiveAt + (now - request->arrivedAt), request->deadline);
    timers.add(request->deadline - settings.eventInterval, id);
    Attempt& attempt = request->attempts[request->attemptCount - 1];
    attempt.sentAt = now;
    inFlight.begin(hosts, id, attempt);
    return std::max(retries.attemptTimeout(*request, now), Duration{});
  }

  // A response that is long or is transferred slowly is not load of the host. If counted, it would use up the
  // pool's in-flight limit, and requests would be rejected although hosts are idle.
  void onResponseHeaders(RequestId id, std::uint32_t number) {
    ActiveRequest* request = find(id);
    if (!request || number >= request->attemptCount || !request->attempts[number].isPending) return;
    Attempt& attempt = request->attempts[number];
    inFlight.end(hosts, attempt);
    hosts[attempt.host].health.lastResponseAt = now;
  }

  void onTransferProlonged(RequestId id, std::uint32_t number) {
    ActiveRequest* request = find(id);
    if (request && number < request->attemptCount) inFlight.end(hosts, request->attempts[number]);
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
    if (id == kNone) return;  // this gateway's list may lag behind the sender's
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
        return learnAboutHost(hosts[id], message.outcome, message.value, false);
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
    // The client must get an answer even if a result never arrives.
    if (now >= request->deadline - settings.eventInterval) return rejectOrFail(*request);
    if (request->awaitedReports == 0) return;
    if (!settings.probingEnabled && hosts.contains(request->leastLoaded))
      probing.onTrackerSilent(hosts[request->leastLoaded].probing.group, now);
    sendAfterProbing(*request, false);
  }

  // --- Requests -------------------------------------------------------------------------------------------

  void initialize(ActiveRequest& request, const Request& arriving) {
    request.id = arriving.id;
    request.classIndex = traffic.classIndexOf(arriving);
    TrafficClass& trafficClass = traffic.classes()[request.classIndex];
    request.relativeWork = traffic.recordExpectedWork(trafficClass, arriving.expectedWork);
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
    traffic.recordDemand(trafficClass, request.relativeWork);
  }

  // Sends the request or starts load probing. Returns false if neither is possible; the caller then ends the
  // request.
  bool route(ActiveRequest& request) {
    if (!retries.maySend(request, now)) return false;
    const HostId drawn = picker.pick(request, now, random);
    if (drawn == kNone) return false;
    request.observedLoad = -1;
    if (!probing.shouldProbe(request, retries.latestUsefulAnswer(request), now))
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

  // Called when the reports have arrived or the wait for them is over. `isRecommended`: whether a tracker has
  // assigned the host.
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
    action.verifyConnection = retries.needsVerifiedConnection(request);
    action.sendDeadline = sendDeadline;
    if (!isRecommended) probing.reportAttemptStarted(host, now);
    return true;
  }

  void retryOrGiveUp(ActiveRequest& request, Outcome outcome) {
    // Every host would give the same result, and a rejection would invite the client to retry.
    if (outcome == Outcome::invalidRequest) {
      actions.push(ActionKind::fail, request.id);
      return end(request);
    }
    const double highestWeight = admission.highestPriorityWeight(request.priorityWeight);
    const bool retry = outcome != Outcome::notSent && retries.mayRetry(request, highestWeight, now);
    if (retry && route(request)) retries.onRetry();
    else rejectOrFail(request);
  }

  // Ends a request that cannot be served because no host, time, attempt or retry is left. Rejects it if a
  // retry by the client is harmless, otherwise fails it. Only streams get a Retry-After.
  void rejectOrFail(ActiveRequest& request) {
    if (retries.mayReject(request)) {
      const Duration retryAfter = request.isStream ? admission.retryAfter(request, random) : Duration{};
      actions.push(ActionKind::reject, request.id, 0, kNone, retryAfter);
    } else {
      actions.push(ActionKind::fail, request.id);
    }
    end(request);
  }

  // Rejects a request that was not sent, because of overload.
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

  // Erases the request, which invalidates `request`, if it has ended and no attempt is pending.
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
  // The attempt of a request that is in flight at a host, or null.
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
    // An attempt sent before the host's start was answered by its previous process, whose load does not
    // apply.
    if (result.report && attempt.sentAt >= host.entry.startedAt)
      LoadReportModel::onReport(host.reportedLoad, *result.report, now);
    // Neither the duration of a stream nor the time to establish it reflects the host's latency.
    if (request.isStream) {
      learnAboutHost(host, outcome, 0, true);
      overload.onOutcome(host, outcome);
      return;
    }
    const double seconds = std::max(toSeconds(result.elapsed), kMinLatencySeconds);
    const double relativeLatency = traffic.onResult(now, host, request, outcome, seconds);
    probing.onResult(request, outcome, seconds);
    if (outcome == Outcome::served || outcome == Outcome::timeout)
      loadReports.onAnswer(attempt.loadHint,
                           relativeLatency / std::max(host.traffic.relativeLatency, kMinRelativeLatency));
    learnAboutHost(host, outcome, relativeLatency, true);
    probing.reportAttemptEnded(host, outcome, relativeLatency, now);
    overload.onOutcome(host, outcome);
    if (!reflectsHostHealth(outcome)) return;
    retries.onResult(request, outcome, result.elapsed, seconds);
    traffic.recordServed(outcome == Outcome::served);
  }

  // `isOwnAttempt`: whether the attempt was made by this gateway; if not, it was reported to it as the
  // tracker of the host's group.
  void learnAboutHost(Host& host, Outcome outcome, double relativeLatency, bool isOwnAttempt) {
    traffic.learnRelativeLatency(host, outcome, relativeLatency, hosts);
    const bool isUnreachable = (outcome == Outcome::connectFailed || outcome == Outcome::reset) &&
                               !OutlierDetector::isResponsive(host, now);
    if (outcome == Outcome::served) CapacityBackoff::onServed(host);
    if (outcome == Outcome::rejectedForCapacity) CapacityBackoff::onRejected(host, now, random);
    if (isUnreachable && shape.usesSubsets()) CapacityBackoff::onUnreachable(host, now, random);
    outliers.onOutcome(now, host, outcome, isOwnAttempt, random);
  }

  // Updates statistics, health and cutoff. The order matters: later steps read what earlier ones updated.
  void sweep() {
    traffic.beginSweep(hosts.active().size());
    nextSweepAt = now + traffic.sweepInterval();
    hosts.eraseUnreferenced();
    const double fastGain = traffic.sweepGain(kFastGain);
    traffic.sweepHosts(hosts, shape);
    overload.decayOutcomes(hosts, fastGain);
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

  // The rules. Each refers only to those declared before it.
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
Duration LoadBalancer::onRequestBodyComplete(Time now, RequestId request, Time writtenAt) {
  Duration attemptTimeout{};
  impl_->handle(now, [&](Impl& impl) { attemptTimeout = impl.onRequestBodyComplete(request, writtenAt); });
  return attemptTimeout;
}
void LoadBalancer::onResponseHeaders(Time now, RequestId request, std::uint32_t attempt) {
  impl_->handle(now, [&](Impl& impl) { impl.onResponseHeaders(request, attempt); });
}
void LoadBalancer::onTransferProlonged(Time now, RequestId request, std::uint32_t attempt) {
  impl_->handle(now, [&](Impl& impl) { impl.onTransferProlonged(request, attempt); });
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
