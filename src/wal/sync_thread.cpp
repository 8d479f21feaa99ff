#include "wal/sync_thread.hpp"

namespace finchstile::wal {

SyncThread::SyncThread(std::function<void(std::function<void()>)> post)
    : post_(std::move(post)), thread_([this] { runJobs(); }) {}

SyncThread::~SyncThread() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_one();
  thread_.join();
}

void SyncThread::run(const Log::SyncTask& task, std::function<void(bool)> done) {
  {
    const std::lock_guard lock(mutex_);
    nextJob_ = Job{task, std::move(done)};
  }
  changed_.notify_one();
}

void SyncThread::runJobs() {
  for (;;) {
    std::optional<Job> job;
    {
      std::unique_lock lock(mutex_);
      changed_.wait(lock, [this] { return stopping_ || nextJob_; });
      if (stopping_) return;
      job = std::exchange(nextJob_, std::nullopt);
    }
    const bool succeeded = job->task.run();
    // The files are closed on the owner's thread unless this is the last reference to them.
    job->task = {};
    post_([done = std::move(job->done), succeeded] { done(succeeded); });
  }
}

}  // namespace finchstile::wal
