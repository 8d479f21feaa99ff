// Writes and reads the text form of the attempt log, which docs/operators/trace.md defines: `trace`, the
// kind of the record and its fields as key=value, separated by one space. Logs outlive the version that
// wrote them, so keys and values must not change. Only this module maps the names of the code to them. No
// I/O.
#pragma once

#include <string>
#include <string_view>

#include "trace/trace_line.hpp"

namespace finchstile::trace {

// The values as they are written in a log.
const char* name(Outcome outcome);
const char* name(EndReason reason);
const char* name(Execution execution);
const char* name(RequestEnd end);
const char* name(Idempotency idempotency);
const char* name(HostPhase phase);

// Appends the line and its line feed to `text`. Names may have any bytes: all but visible ASCII is
// percent-encoded.
void appendLine(std::string& text, const TraceLine& line);

enum class ParseErrorCode {
  none,
  lineTooLong,
  unknownKind,     // of the record
  malformedField,  // not key=value
  duplicateKey,
  missingKey,
  invalidEncoding,  // an incomplete percent escape
  invalidNumber,    // not a whole number, or below its minimum
  unknownValue      // not one of the key's names
};

struct ParseError {
  ParseErrorCode code = ParseErrorCode::none;
  std::string message;  // the key and the reason
};

struct ParseResult {
  enum class Status {
    ok,        // `line` is set
    notTrace,  // not a line of the attempt log
    malformed  // `error` is set
  };
  Status status = Status::notTrace;
  TraceLine line;
  ParseError error;
};

// Reads one line, given without its line feed. Ignores unknown keys, which later versions may write. Of
// several errors the first is returned.
ParseResult parseLine(std::string_view text);

}  // namespace finchstile::trace
