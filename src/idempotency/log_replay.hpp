// Rebuilds a store from the records of an idempotency log that earlier processes wrote. No I/O.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "idempotency/log_record.hpp"
#include "idempotency/store.hpp"

namespace finchstile::idempotency {

// Maps tenants and classes between their names, which the log records, and their indexes in the current
// settings.
struct TenantAndClassNames {
  std::vector<std::string> tenants;  // the index after the last stands for all unnamed tenants
  std::vector<std::string> classes;

  static TenantAndClassNames of(const load_balancing::Settings& settings);

  // Empty for the index of unnamed tenants.
  std::string tenant(std::uint32_t index) const { return index < tenants.size() ? tenants[index] : ""; }
  // The index of unnamed tenants if no tenant has that name.
  std::uint32_t tenantIndex(const std::string& name) const;
  std::optional<std::uint32_t> classIndex(const std::string& name) const;
};

struct ReplaySummary {
  std::size_t completed = 0, uncertain = 0;  // entries in the store after the replay
  std::size_t running = 0;                   // part of `uncertain`: running when their process ended
  std::size_t expired = 0;                   // past their retention, or of a class that no longer exists
  std::size_t evicted = 0;                   // not restored, since the store had no room
  std::size_t unreadable = 0;                // records that could not be decoded
};

// Replays one log: onRecord() for each record, then finish() once.
class LogReplay {
 public:
  // `timeBase` describes the clock that `now` is read from. All references must outlive the replay.
  LogReplay(Store& store, const TenantAndClassNames& names, const TimeBase& timeBase, Time now,
            Duration retention);

  // Must be called with the records of the log in their order.
  void onRecord(std::string_view record);

  // Restores the runs that have no end in the log as uncertain entries, whose retention begins now. Returns
  // the numbers of these runs, which the caller has to log as finished. `logComplete`: nothing was truncated
  // or damaged, so the recorded attempt of a run is known to be the one that repeats are bound to; otherwise
  // the attempt counts as unknown.
  std::vector<std::uint64_t> finish(bool logComplete);

  const ReplaySummary& summary() const { return summary_; }

 private:
  struct UnfinishedRun {
    RunStarted started;
    std::optional<EarlierAttempt> earlierAttempt;
    bool attemptUnsettled = false;  // `earlierAttempt` may still prove not to have been executed
    bool sameBoot = false;
  };

  Time toLocalTime(Time recorded) const;
  EarlierAttempt toLocalTime(const EarlierAttempt& recorded) const;
  void restore(RunStarted&& started, KeyState state, CachedResponse&& response, EarlierAttempt&& attempt,
               Time expiresAt);

  void operator()(Session&& session);
  void operator()(RunStarted&& started);
  void operator()(AttemptSent&& sent);
  void operator()(AttemptNotExecuted&& notExecuted);
  void operator()(RunFinished&& finished);

  Store& store_;
  const TenantAndClassNames& names_;
  const TimeBase localTimeBase_;
  const Time now_;
  const Duration retention_;
  std::optional<Session> session_;
  bool sameBoot_ = false;  // the session and this process run within one boot of the machine
  std::unordered_map<std::uint64_t, UnfinishedRun> unfinishedRuns_;
  ReplaySummary summary_;
};

}  // namespace finchstile::idempotency
