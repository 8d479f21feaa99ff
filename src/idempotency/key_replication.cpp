#include "idempotency/key_replication.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace finchstile::idempotency {
namespace {

bool fitsIntoRecord(const CachedResponse& response, std::size_t keyBytes) {
  constexpr std::size_t kOtherFields = 2048;
  return response.body.size() + response.contentType.size() + keyBytes + kOtherFields <=
         KeyReplication::kMaxRecordBytes;
}

}  // namespace

KeyReplication::KeyReplication(Role role, Store& store, TenantAndClassNames names, TimeBase timeBase,
                               Duration retention, KeyReplicationCallbacks& callbacks)
    : role_(role),
      store_(store),
      names_(std::move(names)),
      timeBase_(std::move(timeBase)),
      retention_(retention),
      callbacks_(callbacks) {
  if (role_ == Role::successor) observe();
}

KeyReplication::~KeyReplication() {
  if (observing_) store_.removeObserver(*this);
}

void KeyReplication::observe() {
  if (std::exchange(observing_, true)) return;
  store_.addObserver(*this);
  if (role_ == Role::predecessor) nextKnownKey_ = 0;
  queue(Session{store_.seed(), timeBase_});
}

void KeyReplication::queue(const ReplicationRecord& record) {
  records_.push_back(encodeReplicationRecord(record));
  if (onOutput) onOutput();
}

EarlierAttempt KeyReplication::toLocalTime(EarlierAttempt attempt) const {
  if (attempt.sentAt != Time{}) attempt.sentAt = std::max(toLocalTime(attempt.sentAt), Time{1});
  return attempt;
}

// --- Records to the other process

std::optional<std::string> KeyReplication::takeRecord() {
  // Records of runs first: what is sent of a known key is its present state, which follows from them.
  if (records_.empty() && nextKnownKey_) return nextKnownKey();
  if (records_.empty()) return std::nullopt;
  std::string record = std::move(records_.front());
  records_.pop_front();
  return record;
}

std::optional<std::string> KeyReplication::nextKnownKey() {
  while (*nextKnownKey_ < store_.entryIdLimit()) {
    const auto entry = store_.view((*nextKnownKey_)++);
    if (entry && !isPeerRun(entry->run)) return describe(*entry);
  }
  nextKnownKey_.reset();
  return encodeReplicationRecord(KeysComplete{});
}

// The attempt of a run is described in a second record, which follows.
std::string KeyReplication::describe(const Store::EntryView& entry) {
  const std::string tenant = names_.tenant(entry.request.tenant);
  const std::string& className = names_.classes[entry.request.classIndex];
  const EarlierAttempt attempt = entry.earlierAttempt ? *entry.earlierAttempt : EarlierAttempt{};
  if (entry.state == KeyState::running) {
    RunStarted started{
        entry.run, {}, entry.request.fingerprint, tenant, className, std::string(entry.request.key), {}};
    if (entry.isRetry) started.earlierAttempt = attempt;
    if (entry.attemptSent && entry.earlierAttempt)
      records_.push_back(encodeReplicationRecord(AttemptSent{entry.run, attempt}));
    return encodeReplicationRecord(started);
  }
  KeyRestored restored{entry.request.fingerprint,
                       tenant,
                       className,
                       std::string(entry.request.key),
                       entry.state,
                       {},
                       attempt,
                       entry.expiresAt};
  if (entry.state == KeyState::completed) {
    if (fitsIntoRecord(*entry.response, restored.key.size())) restored.response = *entry.response;
    else restored.state = KeyState::uncertain;
  }
  return encodeReplicationRecord(restored);
}

void KeyReplication::onRunStarted(std::uint64_t run, Time at, const Store::KeyedRequest& request,
                                  const EarlierAttempt* earlierAttempt) {
  if (mirroring_) {
    mirroredRun_ = run;
    return;
  }
  RunStarted started{run,
                     at,
                     request.fingerprint,
                     names_.tenant(request.tenant),
                     names_.classes[request.classIndex],
                     std::string(request.key),
                     {}};
  if (earlierAttempt) started.earlierAttempt = *earlierAttempt;
  if (role_ == Role::successor) undecidedRuns_.insert(run);
  queue(started);
}

void KeyReplication::onAttemptSent(std::uint64_t run, const EarlierAttempt& attempt) {
  if (!isPeerRun(run)) queue(AttemptSent{run, attempt});
}

void KeyReplication::onAttemptNotExecuted(std::uint64_t run) {
  if (!isPeerRun(run)) queue(AttemptNotExecuted{run});
}

void KeyReplication::onRunFinished(std::uint64_t run, Time at, KeyState state, const CachedResponse& response,
                                   const EarlierAttempt* /*executed*/) {
  if (mirroredRuns_.erase(run) > 0) return;
  undecidedRuns_.erase(run);
  const bool completed = state == KeyState::completed;
  if (completed && fitsIntoRecord(response, 0)) queue(RunFinished{run, at, state, response});
  else queue(RunFinished{run, at, completed ? KeyState::uncertain : state, {}});
}

// --- Records of the other process

bool KeyReplication::onRecord(Time now, std::string_view bytes) {
  auto record = decodeReplicationRecord(bytes);
  if (!record) return false;
  now_ = now;
  std::visit([this](auto& typed) { (*this)(std::move(typed)); }, *record);
  return true;
}

// The processes run on one machine at the same time, so their steady clocks are the same but for the zero.
void KeyReplication::operator()(Session&& session) {
  timeShift_ = Duration(session.timeBase.steadyEpochNs - timeBase_.steadyEpochNs);
  if (role_ == Role::successor) store_.setSeed(session.seed);
  else observe();
}

std::optional<Store::KeyedRequest> KeyReplication::localRequest(const RunStarted& started) const {
  const auto classIndex = names_.classIndex(started.className);
  if (!classIndex) return std::nullopt;
  Store::KeyedRequest request;
  request.tenant = names_.tenantIndex(started.tenant);
  request.classIndex = *classIndex;
  request.key = started.key;
  request.fingerprint = started.fingerprint;
  return request;
}

void KeyReplication::operator()(RunStarted&& started) {
  if (peerRuns_.count(started.run) > 0) return;
  if (started.earlierAttempt) started.earlierAttempt = toLocalTime(*started.earlierAttempt);
  const auto request = localRequest(started);
  if (role_ == Role::predecessor && !request) queue(RunGranted{started.run, {}, {}});
  if (!request) return;
  if (role_ == Role::predecessor) decideClaim(started, *request);
  else followPeerRun(started, *request);
}

// Decides on a run of the successor. A run of this process of the same key has been or is being reported to
// the successor, which then yields.
void KeyReplication::decideClaim(const RunStarted& started, const Store::KeyedRequest& request) {
  const auto known = store_.lookUp(now_, request);
  if (known && !(known->request.fingerprint == request.fingerprint)) return queue(RunRefused{started.run});
  if (known && known->state == KeyState::running) return;
  std::optional<EarlierAttempt> earlier = started.earlierAttempt;
  Time expiresAt = now_ + retention_;
  if (known) {
    earlier = *known->earlierAttempt;
    expiresAt = known->expiresAt;
  }
  if (known && known->state == KeyState::completed) {
    if (fitsIntoRecord(*known->response, 0))
      return queue(RunAnswered{started.run, *known->response, *earlier, expiresAt});
    store_.erase(request);
  }
  const Store::AdmissionResult mirrored = mirrorRun(started.run, request);
  if (earlier && mirrored.admission == Admission::firstRun)
    store_.bindToEarlierAttempt(mirrored.entry, *earlier, expiresAt);
  queue(RunGranted{started.run, earlier, expiresAt});
}

void KeyReplication::followPeerRun(const RunStarted& started, const Store::KeyedRequest& request) {
  const auto known = store_.lookUp(now_, request);
  if (known && known->state == KeyState::running) {
    if (undecidedRuns_.erase(known->run) == 0) return;
    if (!(known->request.fingerprint == request.fingerprint)) {
      KeyOwnership::Decision decision;
      decision.kind = KeyOwnership::Decision::Kind::fingerprintMismatch;
      decision.run = known->run;
      return callbacks_.onDecision(decision);
    }
    mirroredRuns_.insert(known->run);
    peerRuns_[started.run] = {known->id, known->run};
    return callbacks_.onRunYielded(known->run, known->id);
  }
  // The predecessor decides which of its runs begin, whatever this store has kept for longer.
  if (known && (known->state == KeyState::completed || !(known->request.fingerprint == request.fingerprint)))
    store_.erase(request);
  const Store::AdmissionResult mirrored = mirrorRun(started.run, request);
  if (started.earlierAttempt && mirrored.admission == Admission::firstRun)
    store_.bindToEarlierAttempt(mirrored.entry, *started.earlierAttempt, now_ + retention_);
}

Store::AdmissionResult KeyReplication::mirrorRun(std::uint64_t peerRun, const Store::KeyedRequest& request) {
  mirroring_ = true;
  const Store::AdmissionResult result = store_.admit(now_, request);
  mirroring_ = false;
  if (result.entry == Store::kNone) return result;  // no room: the run is not known here
  mirroredRuns_.insert(mirroredRun_);
  peerRuns_[peerRun] = {result.entry, mirroredRun_};
  return result;
}

void KeyReplication::operator()(AttemptSent&& sent) {
  const auto it = peerRuns_.find(sent.run);
  if (it != peerRuns_.end()) store_.onAttemptSent(it->second.entry, toLocalTime(std::move(sent.attempt)));
}

void KeyReplication::operator()(AttemptNotExecuted&& notExecuted) {
  const auto it = peerRuns_.find(notExecuted.run);
  if (it != peerRuns_.end()) store_.onAttemptSettled(it->second.entry, false);
}

void KeyReplication::operator()(RunFinished&& finished) {
  const auto it = peerRuns_.find(finished.run);
  if (it == peerRuns_.end()) return;
  const Store::EntryId entry = it->second.entry;
  peerRuns_.erase(it);
  const auto outcome = finished.state == KeyState::completed   ? Store::RunOutcome::responded
                       : finished.state == KeyState::uncertain ? Store::RunOutcome::mayHaveExecuted
                                                               : Store::RunOutcome::notExecuted;
  callbacks_.onPeerRunFinished(entry, outcome, std::move(finished.response));
}

void KeyReplication::operator()(KeyRestored&& restored) {
  const auto classIndex = names_.classIndex(restored.className);
  if (!classIndex) return;
  Store::RestoredEntry entry;
  entry.request.tenant = names_.tenantIndex(restored.tenant);
  entry.request.classIndex = *classIndex;
  entry.request.key = restored.key;
  entry.request.fingerprint = restored.fingerprint;
  entry.state = restored.state;
  entry.response = std::move(restored.response);
  entry.earlierAttempt = toLocalTime(std::move(restored.earlierAttempt));
  entry.expiresAt = toLocalTime(restored.expiresAt);
  store_.restore(now_, std::move(entry));
}

void KeyReplication::operator()(KeysComplete&&) { callbacks_.onKeysLoaded(); }

void KeyReplication::operator()(RunGranted&& granted) {
  // The request has ended or waits for a run of the predecessor.
  if (undecidedRuns_.erase(granted.run) == 0)
    return queue(RunFinished{granted.run, now_, KeyState::unused, {}});
  KeyOwnership::Decision decision;
  decision.run = granted.run;
  if (granted.earlierAttempt) {
    decision.kind = KeyOwnership::Decision::Kind::uncertain;
    decision.earlierAttempt = toLocalTime(std::move(*granted.earlierAttempt));
    decision.validUntil = toLocalTime(granted.expiresAt);
  }
  callbacks_.onDecision(decision);
}

void KeyReplication::operator()(RunAnswered&& answered) {
  if (undecidedRuns_.erase(answered.run) == 0) return;
  KeyOwnership::Decision decision;
  decision.kind = KeyOwnership::Decision::Kind::response;
  decision.run = answered.run;
  decision.earlierAttempt = toLocalTime(std::move(answered.earlierAttempt));
  decision.validUntil = toLocalTime(answered.expiresAt);
  decision.response = std::move(answered.response);
  callbacks_.onDecision(decision);
}

void KeyReplication::operator()(RunRefused&& refused) {
  if (undecidedRuns_.erase(refused.run) == 0) return;
  KeyOwnership::Decision decision;
  decision.kind = KeyOwnership::Decision::Kind::fingerprintMismatch;
  decision.run = refused.run;
  callbacks_.onDecision(decision);
}

// --- The end

void KeyReplication::end() {
  if (std::exchange(ended_, true)) return;
  if (std::exchange(observing_, false)) store_.removeObserver(*this);
  for (const auto& [number, run] : std::exchange(peerRuns_, {})) {
    const auto entry = store_.view(run.entry);
    // The other process reports an attempt before it sends it.
    const bool sent = entry && entry->earlierAttempt;
    callbacks_.onPeerRunFinished(
        run.entry, sent ? Store::RunOutcome::mayHaveExecuted : Store::RunOutcome::notExecuted, {});
  }
  for (const std::uint64_t run : std::exchange(undecidedRuns_, {})) {
    KeyOwnership::Decision decision;
    decision.run = run;
    callbacks_.onDecision(decision);
  }
}

}  // namespace finchstile::idempotency
