// Cost of the log of keyed requests: requests per second and the time that each waits for its record, by sync
// policy; recovery time at start-up, by the size of the log.
//
//   cmake -B build-bench -DFINCHSTILE_BENCH=ON
//   cmake --build build-bench -j4 --target bench_idempotency_log
//   build-bench/bench_idempotency_log FOLDER
//
// FOLDER is created if it is missing; it must be on the disk to be measured. The log is removed from it at
// the end.
#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <deque>
#include <filesystem>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "idempotency/journal.hpp"
#include "units.hpp"
#include "wal/sync_thread.hpp"

namespace {

using namespace finchstile;
using namespace finchstile::idempotency;
using SteadyClock = std::chrono::steady_clock;

constexpr std::size_t kMaxStoreAndLogBytes = std::size_t{8} << 30;  // limit of the store and of the log
constexpr std::chrono::milliseconds kTickInterval(100);

// Replaces the event loop of a gateway: functions are posted from any thread and run in order by runPosted().
class CallQueue {
 public:
  void post(std::function<void()> call) {
    {
      const std::lock_guard lock(mutex_);
      calls_.push_back(std::move(call));
    }
    posted_.notify_one();
  }
  // Runs the functions posted so far; if `wait` is set, waits until there is one.
  void runPosted(bool wait) {
    std::deque<std::function<void()>> now;
    {
      std::unique_lock lock(mutex_);
      if (wait) posted_.wait(lock, [this] { return !calls_.empty(); });
      now.swap(calls_);
    }
    for (const auto& call : now) call();
  }

 private:
  std::mutex mutex_;
  std::condition_variable posted_;
  std::deque<std::function<void()>> calls_;
};

// A store of keyed requests with its log.
struct LoggedStore {
  CallQueue calls;
  TenantAndClassNames names{{"acme"}, {"put"}};
  std::unique_ptr<wal::LogDirectory> directory;
  std::unique_ptr<wal::Log> log;
  std::unique_ptr<wal::SyncThread> syncThread;
  std::unique_ptr<Store> store;
  std::unique_ptr<Journal> journal;
  JournalRecovery recovery;
  double recoverySeconds = 0;

  LoggedStore(const std::string& path, SyncPolicy policy) {
    try {
      directory = wal::openLogDirectory(path);
    } catch (const wal::LogDirectoryError& error) {
      std::fprintf(stderr, "%s\n", error.what());
      std::exit(1);
    }
    wal::LogOptions logOptions;
    logOptions.maxTotalBytes = kMaxStoreAndLogBytes;
    log = std::make_unique<wal::Log>(*directory, logOptions);
    syncThread = std::make_unique<wal::SyncThread>([this](auto call) { calls.post(std::move(call)); });
    StoreLimits limits;
    limits.maxEntries = 5'000'000;
    limits.maxBytes = kMaxStoreAndLogBytes;
    limits.maxTenantFraction = 1;
    limits.retention = std::chrono::hours(1);
    store = std::make_unique<Store>(limits, 2, Seed{1, 2});
    JournalSettings settings;
    settings.sync = policy;
    settings.retention = limits.retention;
    settings.maxRequestDuration = std::chrono::seconds(3);
    journal = std::make_unique<Journal>(*log, settings, names, TimeBase{"boot", 0, 0}, *syncThread);
    const auto begin = SteadyClock::now();
    recovery = journal->recover(now(), *store);
    recoverySeconds = secondsSince(begin);
  }
  ~LoggedStore() { syncThread.reset(); }
  static Time now() { return SteadyClock::now().time_since_epoch(); }
  static double secondsSince(SteadyClock::time_point begin) {
    return std::chrono::duration<double>(SteadyClock::now() - begin).count();
  }

  // Runs keyed requests with responses of 100 bytes, `concurrency` of them concurrently. Returns the time
  // that each waited for its record, in microseconds and ascending order.
  std::vector<double> runRequests(std::size_t requests, std::size_t concurrency) {
    struct OpenRequest {
      Store::EntryId entry;
      std::uint64_t recordPosition;  // count of log records up to the last one of the request
      SteadyClock::time_point startedAt;
    };
    std::deque<OpenRequest> openRequests;
    std::vector<double> waitsUs;
    Time nextTick = now();
    for (std::size_t started = 0; started < requests || !openRequests.empty();) {
      if (now() >= nextTick) journal->tick(now()), nextTick = now() + kTickInterval;
      const bool canStart = started < requests && openRequests.size() < concurrency;
      if (canStart) {
        const std::string key =
            "5c0f6e1a2b3d4c59a8b7c6d5e4f" + std::to_string(10'000'000 + keysUsed_ + started++);
        Store::KeyedRequest request;
        request.key = key;
        request.fingerprint = {1, 2};
        request.waiter = started;
        const auto startedAt = SteadyClock::now();
        const auto admitted = store->admit(now(), request);
        openRequests.push_back({admitted.entry, journal->appendedRecords(), startedAt});
        if (journal->requiresSyncBeforeSend()) journal->awaitSync(now());
      }
      calls.runPosted(!canStart && journal->requiresSyncBeforeSend() &&
                      journal->syncedRecords() < openRequests.front().recordPosition);
      while (!openRequests.empty() && (!journal->requiresSyncBeforeSend() ||
                                       journal->syncedRecords() >= openRequests.front().recordPosition)) {
        waitsUs.push_back(secondsSince(openRequests.front().startedAt) * bench::kMicrosecondsPerSecond);
        const auto id = openRequests.front().entry;
        openRequests.pop_front();
        store->onAttemptSent(id, {"east", 1, now()});
        store->onAttemptSettled(id, true);
        store->finishRun(now(), id, Store::RunOutcome::responded, {200, "text/plain", std::string(100, 'x')});
      }
      if (journal->logFailed()) std::fprintf(stderr, "writing the log failed\n"), std::exit(1);
    }
    keysUsed_ += requests;
    std::sort(waitsUs.begin(), waitsUs.end());
    return waitsUs;
  }
  std::size_t keysUsed_ = 0;  // by the calls of runRequests() so far
};

// Measures requests with the sync policy `syncPolicy`.
void measurePolicy(const std::string& path, const char* name, SyncPolicy syncPolicy, std::size_t requests,
                   std::size_t concurrency) {
  std::filesystem::remove_all(path);
  LoggedStore loggedStore(path, syncPolicy);
  const auto begin = SteadyClock::now();
  const auto waitsUs = loggedStore.runRequests(requests, concurrency);
  const double elapsedSeconds = LoggedStore::secondsSince(begin);
  std::printf(
      "%-12s %4zu concurrent: %8.0f requests/s, %6.0f log bytes per request, %6llu syncs; "
      "wait p50 %.0f us, p99 %.0f us, max %.0f us\n",
      name, concurrency, static_cast<double>(requests) / elapsedSeconds,
      static_cast<double>(loggedStore.journal->bytes()) / static_cast<double>(requests),
      static_cast<unsigned long long>(loggedStore.journal->syncs()), waitsUs[waitsUs.size() / 2],
      waitsUs[waitsUs.size() * 99 / 100], waitsUs.back());
}

// Writes a log with `requests` requests and measures its recovery.
void measureRecovery(const std::string& path, std::size_t requests) {
  std::filesystem::remove_all(path);
  { LoggedStore(path, SyncPolicy::never).runRequests(requests, 1); }
  const LoggedStore loggedStore(path, SyncPolicy::never);
  std::printf("recovery of %7.1f MB: %8.1f ms for %zu records, %zu keys\n",
              static_cast<double>(loggedStore.journal->bytes()) / bench::kBytesPerMegabyte,
              loggedStore.recoverySeconds * bench::kMillisecondsPerSecond, loggedStore.recovery.log.records,
              loggedStore.recovery.replay.completed);
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) return std::fputs("usage: bench_idempotency_log FOLDER\n", stderr), 2;
  const std::string path = std::string(argv[1]) + "/measured";
  std::filesystem::create_directories(argv[1]);
  for (int run = 0; run < 3; ++run) {
    measurePolicy(path, "never", SyncPolicy::never, 200'000, 1);
    measurePolicy(path, "interval", SyncPolicy::interval, 200'000, 1);
    for (const std::size_t concurrency : {1, 16, 256})
      measurePolicy(path, "before_send", SyncPolicy::beforeSend,
                    concurrency == 1    ? 1000
                    : concurrency == 16 ? 10'000
                                        : 50'000,
                    concurrency);
  }
  for (const std::size_t requests : {10'000, 100'000, 1'000'000}) measureRecovery(path, requests);
  std::filesystem::remove_all(path);
}
