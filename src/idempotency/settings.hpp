// The table [idempotency] of the operator's file.
#pragma once

#include <string>

#include "idempotency/journal.hpp"
#include "idempotency/ownership_settings.hpp"
#include "idempotency/store.hpp"
#include "operator/reader.hpp"

namespace finchstile::idempotency {

struct LogSettings {
  std::string directory;  // empty: there is no log, and no key survives the process
  SyncPolicy sync = SyncPolicy::interval;
  Duration syncInterval = std::chrono::seconds(1);
  wal::LogOptions segments;
  bool rejectUnrecorded = false;  // reject requests that cannot be recorded; otherwise they run
};

struct PeerOwnershipSettings {
  bool enabled = false;
  bool awaitOwnersForEveryKey = false;  // before every run; otherwise only before marked repeats
  OwnershipSettings ownership;
};

struct IdempotencySettings {
  bool enabled = false;
  StoreLimits limits;
  bool rejectWhenFull = false;  // reject keys that do not fit into the store; otherwise they run without it
  LogSettings log;
  PeerOwnershipSettings peerOwnership;
};

// Reads the table into `out`; `root` collects the errors. Relative paths are relative to `directory`, that
// of the operator's file.
void readIdempotencySettings(SettingReader& root, const std::string& directory, IdempotencySettings& out);

}  // namespace finchstile::idempotency
