// The records of the idempotency log and their encoding. The encoding is stable, since a log outlives the
// program version that wrote it: a changed encoding gets a new `Session::kVersion`, and both versions are
// read.
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

// Relates the clock of a process, which starts with it, to clocks that a later process can read. Within one
// boot of the machine the steady clock is used, which calendar steps do not change. Across boots only the
// calendar is available.
struct TimeBase {
  std::string bootId;  // differs for each boot; empty: unknown, and no two processes count as in one boot
  std::int64_t steadyEpochNs = 0;  // the machine's steady clock at the zero of the process' clock
  std::int64_t unixEpochNs = 0;    // ns since 1970 at that zero, by the calendar as of the process' start
};

// Kind 1, the first record of each segment: the data needed to read the records after it.
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
  std::optional<EarlierAttempt> earlierAttempt;  // preceded by a u8: 1 if present, else 0
};

// Kind 3: an attempt of the run is about to be sent, or another gateway has reported one. Repeats are bound
// to it unless an AttemptNotExecuted follows.
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
// have at most 8 KiB in this gateway and bodies at most StoreLimits::maxResponseBytes.
std::string encode(const LogRecord& record);

// Returns nothing unless `bytes` is exactly one valid record.
std::optional<LogRecord> decode(std::string_view bytes);

}  // namespace finchstile::idempotency
