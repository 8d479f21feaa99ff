// Keeps the idempotency keys of two processes of one gateway alike while one replaces the other, so that a
// key runs once although both serve requests. The predecessor first sends all keys that it knows. From then
// on each process tells the other of its runs, and repeats wait for the run of the other process as they do
// for one of their own. If both begin a run of the same key at the same time, the predecessor's run counts:
// the successor sends a run only after the predecessor has granted it. No I/O.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

#include "idempotency/key_ownership.hpp"
#include "idempotency/log_replay.hpp"
#include "idempotency/replication_record.hpp"
#include "idempotency/store.hpp"
#include "idempotency/store_observer.hpp"

namespace finchstile::idempotency {

/// What a replication reports to the filter whose store it keeps alike. The calls come from within
/// `KeyReplication::onRecord` and `KeyReplication::end`.
class KeyReplicationCallbacks {
 public:
  virtual ~KeyReplicationCallbacks() = default;
  /// The store has all keys that the predecessor knew.
  virtual void onKeysLoaded() = 0;
  /// The predecessor has decided on a run of this process.
  virtual void onDecision(const KeyOwnership::Decision& decision) = 0;
  /// A run of this process, which had not been granted, has become one of the predecessor in the same entry.
  /// The request that began it has to wait for that run.
  virtual void onRunYielded(std::uint64_t run, Store::EntryId entry) = 0;
  /// A run of the other process has ended. The callee must finish it in the store.
  virtual void onPeerRunFinished(Store::EntryId entry, Store::RunOutcome outcome,
                                 CachedResponse&& response) = 0;
};

class KeyReplication : StoreObserver {
 public:
  enum class Role : std::uint8_t { predecessor, successor };
  /// Upper limit of a record; responses that would exceed it are left out.
  static constexpr std::size_t kMaxRecordBytes = 60'000;

  /// `store` and `callbacks` must outlive the replication. `retention`: of the store. A successor's exchange
  /// begins at once, that of a predecessor with the successor's first record.
  KeyReplication(Role role, Store& store, TenantAndClassNames names, TimeBase timeBase, Duration retention,
                 KeyReplicationCallbacks& callbacks);
  ~KeyReplication() override;
  KeyReplication(const KeyReplication&) = delete;
  KeyReplication& operator=(const KeyReplication&) = delete;

  /// Called when there are records to be sent. Must not call back into the replication, except takeRecord().
  std::function<void()> onOutput;

  /// Whether a run that begins now must not be sent before its decision.
  bool decidesRuns() const { return role_ == Role::successor && !ended_; }
  /// Returns the next record for the other process, if there is one.
  std::optional<std::string> takeRecord();
  /// Number of records of runs that are to be sent.
  std::size_t queuedRecords() const { return records_.size(); }
  /// Handles a record of the other process. Returns false if it is invalid.
  bool onRecord(Time now, std::string_view bytes);
  /// Ends the exchange: the other process is gone. Its runs that may have been sent leave their keys
  /// uncertain, and the other runs have not been executed.
  void end();

 private:
  struct PeerRun {
    Store::EntryId entry = Store::kNone;
    std::uint64_t localRun = 0;  // number of the run in this store that stands for it
  };

  void onRunStarted(std::uint64_t run, Time at, const Store::KeyedRequest& request,
                    const EarlierAttempt* earlierAttempt) override;
  void onAttemptSent(std::uint64_t run, const EarlierAttempt& attempt) override;
  void onAttemptNotExecuted(std::uint64_t run) override;
  void onRunFinished(std::uint64_t run, Time at, KeyState state, const CachedResponse& response,
                     const EarlierAttempt* executed) override;

  void operator()(Session&& session);
  void operator()(RunStarted&& started);
  void operator()(AttemptSent&& sent);
  void operator()(AttemptNotExecuted&& notExecuted);
  void operator()(RunFinished&& finished);
  void operator()(KeyRestored&& restored);
  void operator()(KeysComplete&& complete);
  void operator()(RunGranted&& granted);
  void operator()(RunAnswered&& answered);
  void operator()(RunRefused&& refused);

  void observe();
  void queue(const ReplicationRecord& record);
  std::optional<std::string> nextKnownKey();
  std::string describe(const Store::EntryView& entry);
  std::optional<Store::KeyedRequest> localRequest(const RunStarted& started) const;
  void decideClaim(const RunStarted& started, const Store::KeyedRequest& request);
  void followPeerRun(const RunStarted& started, const Store::KeyedRequest& request);
  Store::AdmissionResult mirrorRun(std::uint64_t peerRun, const Store::KeyedRequest& request);
  bool isPeerRun(std::uint64_t localRun) const { return mirroredRuns_.count(localRun) > 0; }
  Time toLocalTime(Time peerTime) const { return peerTime + timeShift_; }
  EarlierAttempt toLocalTime(EarlierAttempt attempt) const;

  const Role role_;
  Store& store_;
  const TenantAndClassNames names_;
  const TimeBase timeBase_;
  const Duration retention_;
  KeyReplicationCallbacks& callbacks_;
  Time now_{};
  Duration timeShift_{};  // between the clocks of the two processes
  bool observing_ = false;
  bool ended_ = false;

  std::deque<std::string> records_;                      // to be sent
  std::optional<Store::EntryId> nextKnownKey_;           // set until all known keys have been sent
  std::unordered_map<std::uint64_t, PeerRun> peerRuns_;  // by the other process's number of the run
  std::unordered_set<std::uint64_t> mirroredRuns_;       // the numbers of these runs in this store
  std::unordered_set<std::uint64_t> undecidedRuns_;      // of this process, a successor
  bool mirroring_ = false;                               // the run that starts is one of the other process
  std::uint64_t mirroredRun_ = 0;
};

}  // namespace finchstile::idempotency
