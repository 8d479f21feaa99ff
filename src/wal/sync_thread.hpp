// Runs sync tasks on a thread of its own, since a sync may take seconds and must not block an event loop.
#pragma once

#include <condition_variable>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>

#include "wal/sync_runner.hpp"

namespace finchstile::wal {

class SyncThread : public SyncRunner {
 public:
  // `post` schedules a function on the owner's thread. It is called on the sync thread.
  explicit SyncThread(std::function<void(std::function<void()>)> post);
  // Waits for the task in progress. Its `done` may not be called any more.
  ~SyncThread() override;
  SyncThread(const SyncThread&) = delete;
  SyncThread& operator=(const SyncThread&) = delete;

  void run(const Log::SyncTask& task, std::function<void(bool succeeded)> done) override;

 private:
  struct Job {
    Log::SyncTask task;
    std::function<void(bool)> done;
  };
  void runJobs();

  const std::function<void(std::function<void()>)> post_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::optional<Job> nextJob_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace finchstile::wal
