#include "idempotency/filter.hpp"

#include <algorithm>
#include <memory>
#include <utility>

#include "idempotency/relative_time.hpp"
#include "net/string_view.hpp"

namespace finchstile::idempotency {
namespace {

namespace http = boost::beast::http;

constexpr const char* kKeyHeader = "Idempotency-Key";
constexpr const char* kRepeatHeader = "X-Repeat";
constexpr const char* kIsRepeat = "1";

Response toResponse(const CachedResponse& cached) {
  Response response;
  response.status = static_cast<http::status>(cached.status);
  response.contentType = cached.contentType;
  response.body = cached.body;
  return response;
}

}  // namespace

IdempotencyFilter::IdempotencyFilter(const Clock& clock, const IdempotencySettings& settings,
                                     std::size_t tenants, const Seed& seed, RequestFilterCallbacks& callbacks)
    : clock_(clock),
      settings_(settings),
      namedTenants_(static_cast<std::uint32_t>(tenants)),
      callbacks_(callbacks),
      store_(settings.limits, namedTenants_ + 1, seed) {}

std::uint8_t IdempotencyFilter::phases() const {
  return phaseBit(RequestPhase::received) | phaseBit(RequestPhase::attemptSending) |
         phaseBit(RequestPhase::attemptEnded) | phaseBit(RequestPhase::responseHeaders) |
         phaseBit(RequestPhase::completed);
}

JournalRecovery IdempotencyFilter::recover(Journal& journal) {
  JournalRecovery recovery = journal.recover(clock_.now(), store_);
  journal_ = &journal;
  uncertainUntil_ = recovery.uncertainUntil;
  journal.onSynced = [this] { onSynced(); };
  return recovery;
}

void IdempotencyFilter::enableOwnership(KeyOwnership& ownership, GatewayLink& link,
                                        const TenantAndClassNames& names, bool awaitOwnersForEveryKey) {
  ownership_ = &ownership;
  link_ = &link;
  names_ = &names;
  askForEveryKey_ = awaitOwnersForEveryKey;
  store_.addObserver(*this);
}

IdempotencyFilter::RequestState& IdempotencyFilter::stateOf(RequestContext& request) const {
  return static_cast<RequestState&>(*request.filterStates[chainIndex()]);
}

const IdempotencyFilter::RequestState& IdempotencyFilter::stateOf(const RequestContext& request) const {
  return static_cast<const RequestState&>(*request.filterStates[chainIndex()]);
}

// All tenants without settings of their own share one index.
std::uint32_t IdempotencyFilter::tenantOf(const RequestContext& request) const {
  return std::min(request.tenantIndex, namedTenants_);
}

Store::KeyedRequest IdempotencyFilter::keyedRequest(const RequestContext& request) const {
  const ClientRequest& message = *request.message;
  Store::KeyedRequest keyed;
  keyed.tenant = tenantOf(request);
  keyed.classIndex = request.classIndex;
  keyed.key = view(message[kKeyHeader]);
  keyed.fingerprint = Hasher(store_.seed())
                          .add(view(message.method_string()))
                          .add(view(message.target()))
                          .add(message.body())
                          .finalize();
  keyed.waiter = request.id;
  return keyed;
}

FilterDecision IdempotencyFilter::onRequestReceived(RequestContext& request) {
  if (request.idempotency != load_balancing::Idempotency::idempotentWithKey) return {};
  // A fingerprint needs the whole body. A request whose body exceeds the buffer is forwarded without the
  // store.
  if (!request.bodyComplete) {
    ++counts_.bodyTooLarge;
    return {};
  }
  if (awaitingKeys_) return holdUntilKeysAreLoaded(request);
  return admissionDecision(request, store_.admit(clock_.now(), keyedRequest(request)));
}

FilterDecision IdempotencyFilter::admissionDecision(RequestContext& request,
                                                    const Store::AdmissionResult& result) {
  FilterDecision decision;
  switch (result.admission) {
    case Admission::firstRun: ++counts_.firstRuns; break;
    case Admission::retryUncertain: ++counts_.retriedUncertain; break;
    case Admission::joinRunning: ++counts_.joinedRunning; break;
    case Admission::replayResponse:
      ++counts_.replayedResponses;
      decision.response = toResponse(*result.response);
      return decision;
    case Admission::fingerprintMismatch:
      ++counts_.fingerprintMismatches;
      decision.response = plainResponse(http::status::unprocessable_entity);
      return decision;
    case Admission::tooManyWaiters:
      // A failure rather than a rejection, since the request that runs may have been executed.
      ++counts_.tooManyWaiters;
      decision.response = plainResponse(http::status::bad_gateway);
      return decision;
    case Admission::storeFull:
      ++counts_.storeFull;
      if (settings_.rejectWhenFull) decision.response = plainResponse(http::status::service_unavailable);
      return decision;
  }
  auto newState = std::make_unique<RequestState>();
  newState->entry = result.entry;
  newState->awaitsRun = result.admission == Admission::joinRunning;
  state(request) = std::move(newState);
  if (result.admission == Admission::joinRunning) {
    waiters_[request.id] = &request;
    decision.hold = true;
    return decision;
  }
  switch (startRun(request, result)) {
    case StartResult::admitted: break;
    case StartResult::held: decision.hold = true; break;
    case StartResult::rejected: decision.response = unrecordedResponse(stateOf(request)); break;
  }
  return decision;
}

// Continues a run that has started in the store. It is admitted now, or once its record is synced and the
// owners of its key have decided, or it is rejected.
IdempotencyFilter::StartResult IdempotencyFilter::startRun(RequestContext& request,
                                                           const Store::AdmissionResult& result) {
  RequestState& state = stateOf(request);
  state.entry = result.entry;
  state.awaitsRun = false;
  state.isRetry = result.admission == Admission::retryUncertain;
  if (state.isRetry) request.earlierAttempt = *result.earlierAttempt;
  state.run = store_.view(state.entry)->run;
  const bool recorded = !journal_ || journal_->lastRunRecorded();
  // A record of this key may be among those that the log has lost.
  if (journal_ && !state.isRetry && clock_.now() < uncertainUntil_) assumeUncertain(request, state);
  if (!recorded) {
    ++counts_.unrecorded;
    if (settings_.log.rejectUnrecorded) return StartResult::rejected;
  }
  if (recorded && journal_ && journal_->requiresSyncBeforeSend()) {
    state.awaitsSync = true;
    syncWaiters_.add(journal_->appendedRecords(), request);
  }
  state.awaitsDecision = claimAtOwners(request, state);
  // Until the owners have decided, another gateway may be executing a run of the key.
  request.heldBeforeExecution = state.awaitsSync && !state.awaitsDecision && !state.isRetry;
  // The calls below may clear both flags through onSynced() or onDecision(), which then admit the request by
  // a callback. It has to be reported as held in that case too.
  const bool held = state.awaitsSync || state.awaitsDecision;
  if (state.awaitsSync) journal_->awaitSync(clock_.now());
  dispatchOwnershipOutput();
  return held ? StartResult::held : StartResult::admitted;
}

void IdempotencyFilter::assumeUncertain(RequestContext& request, RequestState& state) {
  ++counts_.assumedUncertain;
  state.isRetry = true;
  request.earlierAttempt = EarlierAttempt{};
  store_.bindToEarlierAttempt(state.entry, EarlierAttempt{}, uncertainUntil_);
}

// Claims the key at its owners, or at the predecessor of this process. Returns whether the request has to
// wait for their decision.
bool IdempotencyFilter::claimAtOwners(RequestContext& request, RequestState& state) {
  if (replication_ && replication_->decidesRuns()) {
    decisionWaiters_[state.run] = &request;
    return true;
  }
  if (!ownership_) return false;
  const ClientRequest& message = *request.message;
  // A repeat of a key that is uncertain in this gateway waits as well, since another gateway may be running
  // it.
  const bool awaitDecision = askForEveryKey_ || view(message[kRepeatHeader]) == kIsRepeat;
  if (awaitDecision) decisionWaiters_[state.run] = &request;
  const SharedKey key = ownership_->keyOf(
      names_->tenant(tenantOf(request)), names_->classes[request.classIndex], view(message[kKeyHeader]),
      view(message.method_string()), view(message.target()), message.body());
  ownership_->claimKey(clock_.now(), state.run, key, awaitDecision);
  return awaitDecision;
}

void IdempotencyFilter::admitIfReady(const RequestContext& request) {
  const RequestState& state = stateOf(request);
  if (!state.awaitsDecision && !state.awaitsSync) callbacks_.admitHeld(request.id);
}

// The response to a run that must not be sent because it is not recorded: a failure if an earlier run may
// have been executed, and a rejection otherwise.
Response IdempotencyFilter::unrecordedResponse(const RequestState& state) const {
  return plainResponse(state.isRetry ? http::status::bad_gateway : http::status::service_unavailable);
}

void IdempotencyFilter::onSynced() {
  while (const auto ready = syncWaiters_.next(journal_->syncedRecords(), journal_->logFailed())) {
    RequestContext& request = *ready->request;
    RequestState& state = stateOf(request);
    state.awaitsSync = false;
    if (!ready->synced) ++counts_.unrecorded;
    if (ready->synced || !settings_.log.rejectUnrecorded) admitIfReady(request);
    else callbacks_.respondToHeld(request.id, unrecordedResponse(state));
  }
}

void IdempotencyFilter::onRunFinished(std::uint64_t run, Time at, KeyState state,
                                      const CachedResponse& response, const EarlierAttempt* executed) {
  const Time until = at + settings_.limits.retention;
  if (executed) ownership_->finishRun(clock_.now(), run, state, *executed, until, &response);
  else ownership_->finishRun(clock_.now(), run, KeyState::unused, EarlierAttempt{}, until, &response);
}

void IdempotencyFilter::onGatewayMessage(GatewayNumber from, std::uint64_t epoch, std::string_view payload) {
  ownership_->onMessage(clock_.now(), from, epoch, payload);
  dispatchOwnershipOutput();
}

void IdempotencyFilter::onTimer() {
  ownership_->onTimer(clock_.now());
  dispatchOwnershipOutput();
}

void IdempotencyFilter::dispatchOwnershipOutput() {
  if (!ownership_) return;
  for (const KeyOwnership::Outgoing& outgoing : ownership_->takeOutgoing())
    link_->send(outgoing.to, outgoing.payload);
  for (const KeyOwnership::Decision& decision : ownership_->takeDecisions()) onDecision(decision);
  link_->scheduleTimer(ownership_->nextTimer());
}

void IdempotencyFilter::onDecision(const KeyOwnership::Decision& decision) {
  const auto it = decisionWaiters_.find(decision.run);
  if (it == decisionWaiters_.end()) return;  // the request has completed meanwhile
  RequestContext& request = *it->second;
  decisionWaiters_.erase(it);
  RequestState& state = stateOf(request);
  state.awaitsDecision = false;
  switch (decision.kind) {
    case KeyOwnership::Decision::Kind::run:
      request.heldBeforeExecution = state.awaitsSync && !state.isRetry;
      return admitIfReady(request);
    case KeyOwnership::Decision::Kind::uncertain:
      request.earlierAttempt = state.isRetry
                                   ? mergeEarlierAttempts(*request.earlierAttempt, decision.earlierAttempt)
                                   : decision.earlierAttempt;
      state.isRetry = true;
      store_.bindToEarlierAttempt(state.entry, decision.earlierAttempt, decision.validUntil);
      return admitIfReady(request);
    case KeyOwnership::Decision::Kind::response:
      store_.bindToEarlierAttempt(state.entry, decision.earlierAttempt, decision.validUntil);
      state.hasPeerResponse = true;
      state.response = decision.response;
      return callbacks_.respondToHeld(request.id, toResponse(decision.response));
    case KeyOwnership::Decision::Kind::fingerprintMismatch:
      return callbacks_.respondToHeld(request.id, plainResponse(http::status::unprocessable_entity));
  }
}

// --- Exchange of keys with another process

KeyReplication& IdempotencyFilter::startReplication(KeyReplication::Role role, TenantAndClassNames names) {
  if (replication_) endReplication();
  awaitingKeys_ = role == KeyReplication::Role::successor;
  replication_ = std::make_unique<KeyReplication>(role, store_, std::move(names), clockTimeBase(clock_, ""),
                                                  settings_.limits.retention,
                                                  static_cast<KeyReplicationCallbacks&>(*this));
  return *replication_;
}

void IdempotencyFilter::endReplication() {
  if (const auto ending = std::move(replication_)) ending->end();
  onKeysLoaded();
}

FilterDecision IdempotencyFilter::holdUntilKeysAreLoaded(RequestContext& request) {
  auto newState = std::make_unique<RequestState>();
  newState->awaitsKeys = true;
  state(request) = std::move(newState);
  keysWaiters_.push_back(&request);
  request.heldBeforeExecution = true;
  FilterDecision decision;
  decision.hold = true;
  return decision;
}

void IdempotencyFilter::onKeysLoaded() {
  awaitingKeys_ = false;
  for (RequestContext* const request : std::exchange(keysWaiters_, {})) admitAfterLoading(*request);
}

void IdempotencyFilter::admitAfterLoading(RequestContext& request) {
  state(request).reset();
  request.heldBeforeExecution = false;
  FilterDecision decision = admissionDecision(request, store_.admit(clock_.now(), keyedRequest(request)));
  if (decision.response) callbacks_.respondToHeld(request.id, std::move(*decision.response));
  else if (!decision.hold) callbacks_.admitHeld(request.id);
}

void IdempotencyFilter::onRunYielded(std::uint64_t run, Store::EntryId entry) {
  RequestContext& request = *decisionWaiters_.at(run);
  decisionWaiters_.erase(run);
  RequestState& requestState = stateOf(request);
  requestState.awaitsDecision = false;
  requestState.awaitsRun = true;
  requestState.isRetry = false;
  request.earlierAttempt.reset();
  waiters_[request.id] = &request;
  store_.waitForRun(entry, request.id);
}

void IdempotencyFilter::onPeerRunFinished(Store::EntryId entry, Store::RunOutcome outcome,
                                          CachedResponse&& response) {
  if (outcome != Store::RunOutcome::responded) {
    finishUnanswered(entry, outcome);
  } else {
    CachedResponse cached = response;
    answerWaiters(store_.finishRun(clock_.now(), entry, outcome, std::move(cached)), response);
  }
  dispatchOwnershipOutput();
}

void IdempotencyFilter::onAttemptSending(RequestContext& request, UpstreamRequest&) {
  if (!state(request)) return;
  const EarlierAttempt attempt{std::string(request.zone), request.cell, clock_.now()};
  store_.onAttemptSent(stateOf(request).entry, attempt);
}

void IdempotencyFilter::onAttemptEnded(RequestContext& request, bool mayHaveRun) {
  if (state(request)) store_.onAttemptSettled(stateOf(request).entry, mayHaveRun);
}

// The response is recorded before it is sent to the client, so that the next process can replay every
// response that a client has received.
void IdempotencyFilter::onResponseHeaders(RequestContext& request, const ResponseHead& head,
                                          std::vector<HeaderLine>&) {
  if (!state(request)) return;
  RequestState& requestState = stateOf(request);
  if (requestState.awaitsRun || requestState.awaitsKeys) return;
  if (!head.bodyComplete) return finishWithoutResponse(request);
  if (head.fromUpstream) {
    CachedResponse response{head.status, std::string(head.contentType), std::string(head.body)};
    return finishWithResponse(request, std::move(response));
  }
  if (requestState.hasPeerResponse) finishWithResponse(request, std::move(requestState.response));
}

// The run was executed, and its response is too long to be cached: the key becomes uncertain, and repeats
// are bound to the attempt.
void IdempotencyFilter::finishWithoutResponse(RequestContext& request) {
  const RequestState& requestState = stateOf(request);
  const Store::EntryId entry = requestState.entry;
  stopWaiting(request, requestState);
  runsWithoutClient_.erase(entry);
  state(request).reset();
  finishUnanswered(entry, Store::RunOutcome::mayHaveExecuted);
  dispatchOwnershipOutput();
}

void IdempotencyFilter::finishWithResponse(RequestContext& request, CachedResponse&& response) {
  const RequestState& requestState = stateOf(request);
  const Store::EntryId entry = requestState.entry;
  // Another gateway's response may arrive before the record of this run is synced.
  if (requestState.awaitsSync) syncWaiters_.remove(request.id);
  runsWithoutClient_.erase(entry);
  CachedResponse cached = std::move(response);
  state(request).reset();
  CachedResponse forWaiters;
  if (store_.hasWaiters(entry)) forWaiters = cached;
  const auto outcome = Store::RunOutcome::responded;
  answerWaiters(store_.finishRun(clock_.now(), entry, outcome, std::move(cached)), forWaiters);
  dispatchOwnershipOutput();
}

bool IdempotencyFilter::continuesWithoutClient(RequestContext& request) {
  if (!state(request)) return false;
  const RequestState& requestState = stateOf(request);
  if (requestState.awaitsRun || requestState.awaitsKeys || !store_.hasWaiters(requestState.entry))
    return false;
  runsWithoutClient_[requestState.entry] = request.id;
  ++counts_.keptWithoutClient;
  return true;
}

void IdempotencyFilter::stopWaiting(RequestContext& request, const RequestState& state) {
  if (state.awaitsSync) syncWaiters_.remove(request.id);
  if (state.awaitsDecision) decisionWaiters_.erase(state.run);
  if (state.awaitsKeys)
    keysWaiters_.erase(std::remove(keysWaiters_.begin(), keysWaiters_.end(), &request), keysWaiters_.end());
}

void IdempotencyFilter::onRequestCompleted(RequestContext& request, RequestResult) {
  if (!state(request)) return;
  const RequestState& requestState = stateOf(request);
  stopWaiting(request, requestState);
  if (requestState.awaitsKeys) return;
  if (requestState.awaitsRun) return onWaiterCompleted(request, requestState);
  runsWithoutClient_.erase(requestState.entry);
  const auto outcome =
      request.mayHaveRun ? Store::RunOutcome::mayHaveExecuted : Store::RunOutcome::notExecuted;
  finishUnanswered(requestState.entry, outcome);
  dispatchOwnershipOutput();
}

// A run whose own client has disconnected is abandoned when its last waiter has left.
void IdempotencyFilter::onWaiterCompleted(RequestContext& request, const RequestState& state) {
  waiters_.erase(request.id);
  store_.removeWaiter(state.entry, request.id);
  const auto run = runsWithoutClient_.find(state.entry);
  if (run == runsWithoutClient_.end() || store_.hasWaiters(state.entry)) return;
  callbacks_.abandonContinued(run->second);
  runsWithoutClient_.erase(run);
}

void IdempotencyFilter::answerWaiters(const std::vector<Store::Waiter>& waiters,
                                      const CachedResponse& response) {
  for (const Store::Waiter waiter : waiters) {
    const auto it = waiters_.find(waiter);
    if (it == waiters_.end()) continue;
    RequestContext& request = *it->second;
    ++counts_.answeredFromRunning;
    waiters_.erase(it);
    state(request).reset();
    callbacks_.respondToHeld(waiter, toResponse(response));
  }
}

// Ends a run without a response. If requests wait for it, the first of them runs and the others wait for that
// one. It keeps its own deadline and priority, by which the load balancer admits or rejects it like any other
// request.
void IdempotencyFilter::finishUnanswered(Store::EntryId entry, Store::RunOutcome outcome) {
  const Time now = clock_.now();
  if (!store_.hasWaiters(entry)) {
    store_.finishRun(now, entry, outcome);
    return;
  }
  const Store::NextRun next = store_.finishRunAndBeginNext(now, entry, outcome);
  ++counts_.promoted;
  RequestContext& request = *waiters_.at(next.waiter);
  waiters_.erase(next.waiter);
  switch (startRun(request, next.admission)) {
    case StartResult::admitted: callbacks_.admitHeld(request.id); break;
    case StartResult::held: break;
    case StartResult::rejected:
      callbacks_.respondToHeld(request.id, unrecordedResponse(stateOf(request)));
      break;
  }
}

}  // namespace finchstile::idempotency
