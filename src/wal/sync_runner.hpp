// Runs the sync tasks of a log.
#pragma once

#include <functional>

#include "wal/log.hpp"

namespace finchstile::wal {

class SyncRunner {
 public:
  virtual ~SyncRunner() = default;

  // Called for one task at a time. `done` is called on the thread of the log's owner, during this call or
  // later, with the result of the task.
  virtual void run(const Log::SyncTask& task, std::function<void(bool succeeded)> done) = 0;
};

}  // namespace finchstile::wal
