// The log of attempts: what a line says, and how it is written and read. One line for each attempt that has
// ended, one for each request that has, one for each change of a host's phase; and where the log of a process
// begins, ends, or lacks lines. Times are Unix time in microseconds, spans milliseconds. No I/O.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "finchstile/load_balancer.hpp"

namespace finchstile::trace {

using load_balancing::DeduplicationScope;
using load_balancing::HostPhase;
using load_balancing::Idempotency;
using load_balancing::Outcome;

inline constexpr std::int64_t kNever = -1;  // as an age: nothing was known

enum class Ran { no, maybe, yes };

// Why an attempt ended: the host's doing, or ours.
enum class Why {
  host,   // the outcome says it
  limit,  // its time was up
  over,   // its request had ended: answered, or its client gone
  again   // given up for another attempt, or before it began
};

enum class End { served, refused, failed, rejected, left };

struct About {  // one request at one gateway
  std::string gateway, id, className;
  Idempotency effect = Idempotency::nonIdempotent;
};

struct AttemptLine : About {
  std::string host, zone;
  std::int64_t sent = 0, ended = 0;
  std::int64_t begun = 0;  // when its first byte went out; 0: none did
  std::uint32_t number = 0;
  std::int64_t cell = 0;
  DeduplicationScope group = DeduplicationScope::all;  // of a keyed class: which hosts drop repeats together,
  std::int64_t window = 0;                             // and for how long
  Outcome outcome = Outcome::notSent;
  Why why = Why::host;
  Ran ran = Ran::no;
  // What was known of the host as it was chosen: the age of the list's last word, of its last sign of life to
  // this gateway, of its start (0: long ago), and whether the module avoided it.
  std::int64_t word = kNever, heard = kNever, up = 0;
  bool avoided = false;
};

struct RequestLine : About {
  std::int64_t came = 0, ended = 0;
  std::int64_t left = 0;  // that its client would wait, as it came
  End end = End::failed;
  std::uint32_t status = 0;  // 0: its client had gone
  std::uint32_t attempts = 0;
  std::uint32_t cut = 0;  // the cutoff as it ended, of 100
};

struct HostLine {
  std::string gateway, host;
  std::int64_t at = 0;
  HostPhase phase = HostPhase::active;
};

struct StartLine {
  std::string gateway;
  std::int64_t at = 0;
};

struct StopLine {  // an end in order
  std::string gateway;
  std::int64_t at = 0;
  std::uint64_t open = 0;  // requests that had no answer
};

struct GapLine {  // so many lines are not here
  std::string gateway;
  std::int64_t at = 0;
  std::uint64_t lines = 0;
};

using Line = std::variant<AttemptLine, RequestLine, HostLine, StartLine, StopLine, GapLine>;

const char* name(Outcome outcome);
const char* name(Why why);
const char* name(Ran ran);
const char* name(End end);
const char* name(Idempotency effect);
const char* name(HostPhase phase);

// Appends it to `to`, with its line feed. Names may hold any bytes: what is not visible ASCII is
// percent-encoded.
void append(std::string& to, const Line& line);

struct Parsed {
  enum class Kind { line, other, bad } kind = Kind::other;  // other: no line of this log
  Line line;
  std::string problem;  // of a bad one: the key, and what would be right
};

// `text` without its line feed. Keys that are not known are passed over: later versions may write more.
Parsed parse(std::string_view text);

std::int64_t timeOf(const Line& line);  // when it was written
const std::string& gatewayOf(const Line& line);

}  // namespace finchstile::trace
