// The input, budget, result and fault of one run of a hook's handler. No I/O.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace finchstile::hook {

// The header lines of a message.
class HeaderSource {
 public:
  virtual ~HeaderSource() = default;
  // The value of the first line with that name, compared case-insensitively; none if there is none.
  virtual std::optional<std::string_view> header(std::string_view name) const = 0;
};

struct Tag {
  std::string name;
  std::string value;
};

// The data that the handler may read. Views and pointers must stay valid until the run ends.
struct RunInput {
  std::string_view className;
  std::string_view method;
  std::string_view path;
  std::string_view query;
  std::string_view tenant;
  std::string_view body;                          // the part that hooks may read
  std::int64_t bodyLength = 0;                    // of the complete body, bytes
  std::int64_t timeLeftNs = 0;                    // until the client's deadline
  std::int64_t attempt = 0;                       // from 1
  std::int64_t responseStatus = 0;                // handler `answer` only, as is responseFromHost
  bool responseFromHost = false;                  // false: the gateway generated the response
  bool mayReject = true;                          // false once an attempt may have run on a host
  const HeaderSource* requestHeaders = nullptr;   // null: none
  const HeaderSource* responseHeaders = nullptr;  // null: none
  const std::vector<Tag>* tags = nullptr;         // of earlier hooks and handlers; null: none
};

// The limits of one run.
struct RunBudget {
  std::uint64_t instructions = 10'000;
  std::uint64_t bytes = std::uint64_t{256} * 1024;  // compared, copied, matched or hashed
};

// Why a run ended early.
enum class Fault : std::uint8_t {
  none,
  instructions,  // the instruction budget is exhausted, usually by an endless loop
  bytes,         // the byte budget is exhausted
  arena,         // the texts that the run created do not fit into the arena
  overflow,      // a number does not fit into 64 bits
  divideByZero,
  headerName,      // not a token, or too long
  headerValue,     // contains a byte that could end the line, or is too long
  headerReserved,  // only the gateway sets this header
  rejectStatus,    // not 400 to 499 or 503
  rejectTooLate,   // an attempt may have run: a retry by the client could run the request twice
  results          // more headers, tags, counts or log lines than RunResult holds
};
inline constexpr std::size_t kFaults = static_cast<std::size_t>(Fault::results) + 1;

// The fault as a phrase, for messages.
std::string_view describe(Fault fault);

// The effects and costs of a run. Views point into the program, the input and the interpreter's arena, and
// are valid until the next run of the same interpreter. A run that faults has no effects.
struct RunResult {
  struct Pair {
    std::string_view name;
    std::string_view value;
  };
  static constexpr std::size_t kMaxHeaders = 16;
  static constexpr std::size_t kMaxTags = 16;
  static constexpr std::size_t kMaxCounts = 32;
  static constexpr std::size_t kMaxLogs = 4;

  std::array<Pair, kMaxHeaders> headers;
  std::array<Pair, kMaxTags> tags;
  std::array<std::uint32_t, kMaxCounts> counts;  // indexes of Program::counters
  std::array<std::string_view, kMaxLogs> logs;
  std::uint8_t headerCount = 0;
  std::uint8_t tagCount = 0;
  std::uint8_t countCount = 0;
  std::uint8_t logCount = 0;
  std::int64_t rejectStatus = 0;  // 0: the request passes
  std::string_view rejectReason;

  Fault fault = Fault::none;
  std::uint32_t faultLine = 0;     // in the source
  std::uint64_t instructions = 0;  // spent
  std::uint64_t bytes = 0;         // spent
};

// Whether two runs have the same effects on the request. Counts, log lines and costs are not compared.
bool sameEffect(const RunResult& a, const RunResult& b);

}  // namespace finchstile::hook
