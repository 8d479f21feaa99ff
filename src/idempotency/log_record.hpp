// The records of the idempotency log and their encoding. The encoding is fixed by this file: a later one gets
// a new version in `Session` and is read beside this one.
//
// A record is a u8 kind followed by its fields in the order in which they are declared. Integers are
// little-endian, a string is a u16 length and its bytes (a body: u32). Times are nanoseconds of the clock of
// the session that wrote the record.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "idempotency/store.hpp"

namespace finchstile::idempotency {

// Relates a clock that begins with its process to clocks that a later process can read. Within one boot of
// the machine the steady clock is used, which calendar steps do not change. Across boots only the calendar is
// left.
struct TimeBase {
  std::string bootId;  // differs for each boot; empty: not known, so no two processes share a boot
  std::int64_t steadyEpochNs = 0;  // the machine's steady clock at the zero of the process' clock
  std::int64_t unixEpochNs = 0;    // ns since 1970 at that zero, by the calendar as of the process' start
};

// Kind 1, the first record of each segment: what the records after it need to be read.
struct Session {
  static constexpr std::uint8_t kVersion = 1;  // a u8 before the fields
  Seed seed;                                   // of the fingerprints
  TimeBase timeBase;
};

// Kind 2: a run begins, either the first of its key or one that follows an uncertain run.
struct RunStarted {
  std::uint64_t run = 0;  // unique within the log
  Time startedAt{};
  Fingerprint fingerprint;
  // Tenant and class by name, since indexes change with the settings.
  std::string tenant, className, key;
  std::optional<EarlierAttempt> earlierAttempt;  // a u8, 0 or 1, says whether it follows
};

// Kind 3: the first attempt of the run that may execute is about to be sent.
struct AttemptSent {
  std::uint64_t run = 0;
  EarlierAttempt attempt;
};

// Kind 4: the attempt of the last `AttemptSent` was not executed.
struct AttemptNotExecuted {
  std::uint64_t run = 0;
};

// Kind 5: the run has finished.
struct RunFinished {
  std::uint64_t run = 0;
  Time finishedAt{};
  KeyState state = KeyState::unused;  // as u8; never `running`
  CachedResponse response;            // encoded for `completed` only
};

using LogRecord = std::variant<Session, RunStarted, AttemptSent, AttemptNotExecuted, RunFinished>;

// Strings longer than their length field can express are truncated. Callers stay within it: HTTP/1.1 fields
// have at most 8 KiB here and bodies at most StoreLimits::maxResponseBytes.
std::string encode(const LogRecord& record);

// Returns nothing unless `bytes` is exactly one valid record.
std::optional<LogRecord> decode(std::string_view bytes);

}  // namespace finchstile::idempotency
