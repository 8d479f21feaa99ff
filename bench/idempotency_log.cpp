// Cost of the log of keyed requests: requests per second and the time that each waits for its record, by sync
// policy; recovery time at start-up, by the size of the log.
//
//   cmake -B build-bench -DFINCHSTILE_BENCH=ON && cmake --build build-bench -j4 --target
//   bench_idempotency_log build-bench/bench_idempotency_log FOLDER      (empty or missing, on the disk to be
//   measured; emptied at the end)
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
#include "wal/sync_thread.hpp"

namespace {

using namespace finchstile;
using namespace finchstile::idempotency;
using SteadyClock = std::chrono::steady_clock;

// Stands in for the event loop: runs posted functions in order.
class Calls {
 public:
  void post(std::function<void()> call) {
    {
      const std::lock_guard lock(mutex_);
      calls_.push_back(std::move(call));
    }
    came_.notify_one();
  }
  void takeAll(bool wait) {
    std::deque<std::function<void()>> now;
    {
      std::unique_lock lock(mutex_);
      if (wait) came_.wait(lock, [this] { return !calls_.empty(); });
      now.swap(calls_);
    }
    for (const auto& call : now) call();
  }

 private:
  std::mutex mutex_;
  std::condition_variable came_;
  std::deque<std::function<void()>> calls_;
};

struct Bench {
  Calls calls;
  TenantAndClassNames names{{"acme"}, {"put"}};
  std::unique_ptr<wal::LogDirectory> folder;
  std::unique_ptr<wal::Log> log;
  std::unique_ptr<wal::SyncThread> thread;
  std::unique_ptr<Store> store;
  std::unique_ptr<Journal> journal;
  JournalRecovery recovery;
  double recovered = 0;  // s

  Bench(const std::string& path, SyncPolicy policy) {
    try {
      folder = wal::openLogDirectory(path);
    } catch (const wal::LogDirectoryError& error) {
      std::fprintf(stderr, "%s\n", error.what());
      std::exit(1);
    }
    wal::LogOptions files;
    files.maxTotalBytes = std::size_t{8} << 30;
    log = std::make_unique<wal::Log>(*folder, files);
    thread = std::make_unique<wal::SyncThread>([this](auto call) { calls.post(std::move(call)); });
    StoreLimits limits;
    limits.maxEntries = 5'000'000;
    limits.maxBytes = std::size_t{8} << 30;
    limits.maxTenantFraction = 1;
    limits.retention = std::chrono::hours(1);
    store = std::make_unique<Store>(limits, 2, Seed{1, 2});
    JournalSettings settings;
    settings.sync = policy;
    settings.retention = limits.retention;
    settings.maxRequestDuration = std::chrono::seconds(3);
    journal = std::make_unique<Journal>(*log, settings, names, TimeBase{"boot", 0, 0}, *thread);
    const auto begin = SteadyClock::now();
    recovery = journal->recover(now(), *store);
    recovered = seconds(begin);
  }
  ~Bench() { thread.reset(); }
  static Time now() { return SteadyClock::now().time_since_epoch(); }
  static double seconds(SteadyClock::time_point begin) {
    return std::chrono::duration<double>(SteadyClock::now() - begin).count();
  }

  // Runs keyed requests with answers of 100 bytes, `atOnce` of them concurrently, and measures the wait of
  // each.
  std::vector<double> serve(std::size_t requests, std::size_t atOnce) {
    struct Open {
      Store::EntryId entry;
      std::uint64_t position;
      SteadyClock::time_point began;
    };
    std::deque<Open> open;
    std::vector<double> waited;
    Time tickAt = now();
    for (std::size_t begun = 0; begun < requests || !open.empty();) {
      if (now() >= tickAt) journal->tick(now()), tickAt = now() + std::chrono::milliseconds(100);
      const bool more = begun < requests && open.size() < atOnce;
      if (more) {
        const std::string key = "5c0f6e1a2b3d4c59a8b7c6d5e4f" + std::to_string(10'000'000 + first_ + begun++);
        Store::KeyedRequest a;
        a.key = key;
        a.fingerprint = {1, 2};
        a.waiter = begun;
        const auto began = SteadyClock::now();
        const auto r = store->admit(now(), a);
        open.push_back({r.entry, journal->appendedRecords(), began});
        if (journal->requiresSyncBeforeSend()) journal->awaitSync(now());
      }
      calls.takeAll(!more && journal->requiresSyncBeforeSend() &&
                    journal->syncedRecords() < open.front().position);
      while (!open.empty() &&
             (!journal->requiresSyncBeforeSend() || journal->syncedRecords() >= open.front().position)) {
        waited.push_back(seconds(open.front().began) * 1e6);
        const auto id = open.front().entry;
        open.pop_front();
        store->onAttemptSent(id, {"east", 1, now()});
        store->onAttemptSettled(id, true);
        store->finishRun(now(), id, Store::RunOutcome::responded, {200, "text/plain", std::string(100, 'x')});
      }
      if (journal->logFailed()) std::fprintf(stderr, "the log is broken\n"), std::exit(1);
    }
    first_ += requests;
    std::sort(waited.begin(), waited.end());
    return waited;
  }
  std::size_t first_ = 0;
};

void policy(const std::string& path, const char* name, SyncPolicy p, std::size_t requests,
            std::size_t atOnce) {
  std::filesystem::remove_all(path);
  Bench b(path, p);
  const auto begin = SteadyClock::now();
  const auto waited = b.serve(requests, atOnce);
  const double s = Bench::seconds(begin);
  std::printf(
      "%-12s %4zu at once: %8.0f requests a second, %6.0f bytes each in the log, %6llu syncs; "
      "waited p50 %.0f us, p99 %.0f us, most %.0f us\n",
      name, atOnce, static_cast<double>(requests) / s,
      static_cast<double>(b.journal->bytes()) / static_cast<double>(requests),
      static_cast<unsigned long long>(b.journal->syncs()), waited[waited.size() / 2],
      waited[waited.size() * 99 / 100], waited.back());
}

void recovery(const std::string& path, std::size_t requests) {
  std::filesystem::remove_all(path);
  { Bench(path, SyncPolicy::never).serve(requests, 1); }
  const Bench b(path, SyncPolicy::never);
  std::printf("start with %7.1f MB: %8.1f ms for %zu records, %zu keys\n",
              static_cast<double>(b.journal->bytes()) / 1e6, b.recovered * 1e3, b.recovery.log.records,
              b.recovery.replay.completed);
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) return std::fputs("usage: bench_idempotency_log FOLDER\n", stderr), 2;
  const std::string path = std::string(argv[1]) + "/measured";
  std::filesystem::create_directories(argv[1]);
  for (int run = 0; run < 3; ++run) {
    policy(path, "never", SyncPolicy::never, 200'000, 1);
    policy(path, "interval", SyncPolicy::interval, 200'000, 1);
    for (const std::size_t atOnce : {1, 16, 256})
      policy(path, "before_send", SyncPolicy::beforeSend,
             atOnce == 1    ? 1000
             : atOnce == 16 ? 10'000
                            : 50'000,
             atOnce);
  }
  for (const std::size_t requests : {10'000, 100'000, 1'000'000}) recovery(path, requests);
  std::filesystem::remove_all(path);
}
