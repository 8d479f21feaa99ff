// A SyncRunner that keeps a sync task until the test runs it.
#pragma once

#include <gtest/gtest.h>

#include <functional>
#include <optional>
#include <utility>

#include "wal/sync_runner.hpp"

namespace finchstile::testing {

struct ManualSyncRunner : wal::SyncRunner {
  struct Job {
    wal::Log::SyncTask task;
    std::function<void(bool)> done;
  };
  std::optional<Job> job;

  void run(const wal::Log::SyncTask& task, std::function<void(bool)> done) override {
    ASSERT_FALSE(job) << "a second sync task while one runs";
    job = Job{task, std::move(done)};
  }

  // Runs the pending task and reports its result. Returns false if there is none.
  bool runJob() {
    if (!job) return false;
    const Job current = std::move(*job);
    job.reset();
    current.done(current.task.run());
    return true;
  }
};

}  // namespace finchstile::testing
