// The records that two processes of one gateway exchange about idempotency keys while one replaces the other.
// Records of runs have the encoding of the log (log_record.hpp); those below are added. All times are of the
// clock of the process that sends the record.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "idempotency/log_record.hpp"
#include "idempotency/store.hpp"

namespace finchstile::idempotency {

/// Kind 16: a key that is not running.
struct KeyRestored {
  Fingerprint fingerprint;
  std::string tenant, className, key;
  KeyState state = KeyState::uncertain;  ///< Or `completed`.
  CachedResponse response;               ///< For `completed`.
  EarlierAttempt earlierAttempt;
  Time expiresAt{};
};

/// Kind 17: all keys that were known when the exchange began have been sent.
struct KeysComplete {};

/// Kind 18: the run that the other process has started may be sent.
struct RunGranted {
  std::uint64_t run = 0;
  /// Set if an earlier run may have been executed; the key expires at `expiresAt`.
  std::optional<EarlierAttempt> earlierAttempt;
  Time expiresAt{};
};

/// Kind 19: the run that the other process has started is answered with this response.
struct RunAnswered {
  std::uint64_t run = 0;
  CachedResponse response;
  EarlierAttempt earlierAttempt;
  Time expiresAt{};
};

/// Kind 20: the run that the other process has started has the key of another request.
struct RunRefused {
  std::uint64_t run = 0;
};

using ReplicationRecord = std::variant<Session, RunStarted, AttemptSent, AttemptNotExecuted, RunFinished,
                                       KeyRestored, KeysComplete, RunGranted, RunAnswered, RunRefused>;

std::string encodeReplicationRecord(const ReplicationRecord& record);

/// Returns nothing unless `bytes` is exactly one valid record.
std::optional<ReplicationRecord> decodeReplicationRecord(std::string_view bytes);

}  // namespace finchstile::idempotency
