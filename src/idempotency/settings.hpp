// The table [idempotency] of the operator's file.
#pragma once

#include <string>

#include "idempotency/journal.hpp"
#include "idempotency/ownership_settings.hpp"
#include "idempotency/store.hpp"
#include "operator/reader.hpp"

namespace finchstile::idempotency {

struct LogSettings {
  std::string directory;  // empty: there is no log, and no key outlives the process
  SyncPolicy sync = SyncPolicy::interval;
  Duration syncInterval = std::chrono::seconds(1);
  wal::LogOptions segments;
  bool rejectUnrecorded = false;  // whether requests that cannot be recorded are rejected, or run unrecorded
};

struct PeerOwnershipSettings {
  bool enabled = false;
  bool awaitOwnersForEveryKey =
      false;  // whether the owners are asked before every run, or only for marked repeats
  OwnershipSettings ownership;
};

struct IdempotencySettings {
  bool enabled = false;
  StoreLimits limits;
  bool rejectWhenFull = false;  // whether keys that find no room are rejected, or run unremembered
  LogSettings log;
  PeerOwnershipSettings peerOwnership;
};

// Reads the table into `out`; `root` collects the errors. Relative paths begin at `directory`, which is that
// of the operator's file.
void readIdempotencySettings(SettingReader& root, const std::string& directory, IdempotencySettings& out);

}  // namespace finchstile::idempotency
