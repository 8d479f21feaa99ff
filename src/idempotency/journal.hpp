// Records the runs of a store in a write-ahead log, from which the next process restores them. Each step is
// appended before it takes effect, syncs follow a policy, and a segment is removed once every key in it has
// expired. The journal decides when to write and to sync; the I/O is done by the log's directory and a
// wal::SyncRunner.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <string>

#include "idempotency/log_replay.hpp"
#include "idempotency/store.hpp"
#include "idempotency/store_observer.hpp"
#include "wal/log.hpp"
#include "wal/sync_runner.hpp"

namespace finchstile::idempotency {

// Which records a crash of the machine may lose. Under every policy all records survive the end of the
// process.
enum class SyncPolicy : std::uint8_t {
  never,      // all that the operating system has not written back yet
  interval,   // the records of the last interval
  beforeSend  // no record of a request that was sent
};

struct JournalSettings {
  SyncPolicy sync = SyncPolicy::interval;
  Duration syncInterval = std::chrono::seconds(1);
  Duration retention{};  // as in StoreLimits
  Duration maxRequestDuration{};
};

struct JournalRecovery {
  wal::RecoveryReport log;
  ReplaySummary replay;
  bool writable = false;  // the log accepts records
  // If records were lost, a key without a record may have run and counts as uncertain until then; zero
  // otherwise.
  Time uncertainUntil{};
};

class Journal : public StoreObserver {
 public:
  // All references must outlive the journal.
  Journal(wal::Log& log, const JournalSettings& settings, const TenantAndClassNames& names,
          const TimeBase& timeBase, wal::SyncRunner& runner);

  // Replays the log into `store`, which must be empty, sets the store's seed to that of the log, and
  // observes the store from then on. Must be called once, before any other function.
  JournalRecovery recover(Time now, Store& store);

  // Whether the most recently started run is in the log.
  bool lastRunRecorded() const { return lastRunRecorded_; }

  // Whether a run must not be sent before syncedRecords() reaches the value that appendedRecords() had at its
  // start.
  bool requiresSyncBeforeSend() const { return settings_.sync == SyncPolicy::beforeSend; }
  std::uint64_t appendedRecords() const { return log_.appendedRecords(); }
  std::uint64_t syncedRecords() const { return log_.syncedRecords(); }

  bool logFailed() const { return log_.failed(); }
  std::size_t bytes() const { return log_.bytes(); }
  std::uint64_t writeFailures() const { return writeFailures_; }  // steps that could not be recorded
  // Finished runs that were recorded without their response.
  std::uint64_t responsesOmitted() const { return responsesOmitted_; }
  std::uint64_t syncs() const { return syncs_; }

  // Called when a sync has ended, whether it succeeded or not, and by awaitSync() if the log has failed.
  std::function<void()> onSynced;

  // Requests a sync of all records appended so far; onSynced() reports its end. Must be called right after
  // the start of a run that waits for it.
  void awaitSync(Time now);

  // Must be called periodically: starts the syncs that are due and removes expired segments.
  void tick(Time now);

  void onRunStarted(std::uint64_t run, Time at, const Store::KeyedRequest& request,
                    const EarlierAttempt* earlierAttempt) override;
  void onAttemptSent(std::uint64_t run, const EarlierAttempt& attempt) override;
  void onAttemptNotExecuted(std::uint64_t run) override;
  void onRunFinished(std::uint64_t run, Time at, KeyState state, const CachedResponse& response,
                     const EarlierAttempt* executed) override;

 private:
  struct ClosedSegment {
    std::uint64_t number = 0;
    Time lastRecordAt{};
  };

  bool append(const LogRecord& record, Time at);
  void startSync(Time now);
  void removeExpiredSegments(Time now);

  wal::Log& log_;
  const JournalSettings settings_;
  const TenantAndClassNames& names_;
  const TimeBase timeBase_;
  wal::SyncRunner& runner_;
  std::deque<ClosedSegment> closedSegments_;  // oldest first
  std::uint64_t currentSegment_ = 0;
  Time lastRecordAt_{};
  Time lastSyncAt_{};
  std::uint64_t awaitedRecords_ = 0;  // runs wait until this many are synced
  bool lastRunRecorded_ = false;
  bool syncing_ = false;
  std::uint64_t writeFailures_ = 0, responsesOmitted_ = 0, syncs_ = 0;
};

}  // namespace finchstile::idempotency
