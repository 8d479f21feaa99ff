#include "idempotency/journal.hpp"

#include <algorithm>
#include <utility>

namespace finchstile::idempotency {
namespace {

// A response body is recorded only if it takes at most one part in so many of the space left in the log.
constexpr std::size_t kMaxResponseDivisor = 32;

}  // namespace

Journal::Journal(wal::Log& log, const JournalSettings& settings, const TenantAndClassNames& names,
                 const TimeBase& timeBase, wal::SyncRunner& runner)
    : log_(log), settings_(settings), names_(names), timeBase_(timeBase), runner_(runner) {}

JournalRecovery Journal::recover(Time now, Store& store) {
  JournalRecovery recovery;
  LogReplay replay(store, names_, timeBase_, now, settings_.retention);
  // The preamble is encoded when the first segment of this process begins, after the replay has set the
  // store's seed to that of the log. With another seed no fingerprint of a new request would match a
  // recorded one.
  log_.setPreamble([&] { return encode(Session{store.seed(), timeBase_}); });
  const auto onRecord = [&](std::string_view record) { replay.onRecord(record); };
  recovery.writable = log_.recover(onRecord, recovery.log);
  const bool logComplete = recovery.log.truncatedBytes == 0 && !recovery.log.damaged;
  const std::vector<std::uint64_t> interrupted = replay.finish(logComplete);
  recovery.replay = replay.summary();
  if (recovery.log.damaged || recovery.replay.unreadable > 0)
    recovery.uncertainUntil = now + settings_.retention;
  currentSegment_ = log_.currentSegment();
  closedSegments_.push_back({currentSegment_ - 1, now});  // stands for all segments of earlier processes
  lastSyncAt_ = now;
  // Without an end in the log the next process would find these runs unfinished again and renew their
  // retention.
  for (const std::uint64_t run : interrupted) append(RunFinished{run, now, KeyState::uncertain, {}}, now);
  store.addObserver(*this);
  return recovery;
}

bool Journal::append(const LogRecord& record, Time at) {
  lastRecordAt_ = std::max(lastRecordAt_, at);
  if (!log_.append(encode(record))) {
    ++writeFailures_;
    return false;
  }
  if (log_.currentSegment() != currentSegment_) {
    closedSegments_.push_back({currentSegment_, lastRecordAt_});
    currentSegment_ = log_.currentSegment();
  }
  return true;
}

void Journal::onRunStarted(std::uint64_t run, Time at, const Store::KeyedRequest& request,
                           const EarlierAttempt* earlierAttempt) {
  RunStarted started;
  started.run = run;
  started.startedAt = at;
  started.fingerprint = request.fingerprint;
  started.tenant = names_.tenant(request.tenant);
  started.className = names_.classes[request.classIndex];
  started.key = std::string(request.key);
  if (earlierAttempt) started.earlierAttempt = *earlierAttempt;
  // The last part of the log is reserved for the ends of runs that have started. Without its end in the log
  // an answered key would be uncertain in the next process.
  lastRunRecorded_ = !log_.nearlyFull() && append(started, at);
  if (!lastRunRecorded_ && log_.nearlyFull()) ++writeFailures_;
}

void Journal::onAttemptSent(std::uint64_t run, const EarlierAttempt& attempt) {
  append(AttemptSent{run, attempt}, attempt.sentAt);
}

void Journal::onAttemptNotExecuted(std::uint64_t run) { append(AttemptNotExecuted{run}, lastRecordAt_); }

void Journal::onRunFinished(std::uint64_t run, Time at, KeyState state, const CachedResponse& response,
                            const EarlierAttempt* /*executed*/) {
  // Large responses would use up the space that the ends of other runs need. Without its response the key is
  // recorded as uncertain.
  const bool completed = state == KeyState::completed;
  const bool withResponse = completed && response.body.size() <= log_.remainingBytes() / kMaxResponseDivisor;
  if (withResponse) {
    append(RunFinished{run, at, state, response}, at);
    return;
  }
  if (completed) ++responsesOmitted_;
  append(RunFinished{run, at, completed ? KeyState::uncertain : state, {}}, at);
}

void Journal::awaitSync(Time now) {
  awaitedRecords_ = log_.appendedRecords();
  startSync(now);
  // After a failure of the log no sync begins whose end could release the run.
  if (log_.failed() && !syncing_ && onSynced) onSynced();
}

void Journal::removeExpiredSegments(Time now) {
  // The last run that started in a segment may take the longest request duration, and its key is retained
  // after its end.
  const Duration lifetime = settings_.maxRequestDuration + settings_.retention;
  while (!closedSegments_.empty() && closedSegments_.front().lastRecordAt + lifetime <= now) {
    log_.removeSegmentsThrough(closedSegments_.front().number);
    closedSegments_.pop_front();
  }
}

void Journal::tick(Time now) {
  const bool due = settings_.sync != SyncPolicy::never && now - lastSyncAt_ >= settings_.syncInterval;
  removeExpiredSegments(now);
  if (due || log_.hasUnsyncedClosedSegment()) startSync(now);
}

void Journal::startSync(Time now) {
  if (syncing_) return;
  const auto task = log_.beginSync();
  if (!task) return;
  syncing_ = true;
  lastSyncAt_ = now;
  ++syncs_;
  runner_.run(*task, [this, now, task = *task](bool succeeded) {
    syncing_ = false;
    log_.endSync(task, succeeded);
    if (onSynced) onSynced();
    // Records appended during this sync belong to the next one.
    if (awaitedRecords_ > log_.syncedRecords()) startSync(now);
  });
}

}  // namespace finchstile::idempotency
