#include "trace/trace_line_codec.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>
#include <map>
#include <optional>
#include <utility>

#include "base/percent.hpp"

namespace finchstile::trace {
namespace {

constexpr std::string_view kLinePrefix = "trace ";
constexpr std::size_t kMaxLineBytes = std::size_t{16} * 1024;  // the writer's lines are much shorter

template <class Enum>
struct EnumName {
  Enum value;
  const char* text;
};

template <class Enum, std::size_t Count>
using EnumNames = std::array<EnumName<Enum>, Count>;

constexpr EnumNames<Outcome, 9> kOutcomeNames{{{Outcome::served, "served"},
                                               {Outcome::error, "error"},
                                               {Outcome::rejectedForCapacity, "full"},
                                               {Outcome::timeout, "timeout"},
                                               {Outcome::connectFailed, "connect_failed"},
                                               {Outcome::reset, "reset"},
                                               {Outcome::cancelled, "cancelled"},
                                               {Outcome::notSent, "moot"},
                                               {Outcome::invalidRequest, "rejected"}}};
constexpr EnumNames<EndReason, 4> kEndReasonNames{{{EndReason::host, "host"},
                                                   {EndReason::timeLimit, "limit"},
                                                   {EndReason::requestEnded, "over"},
                                                   {EndReason::abandoned, "again"}}};
constexpr EnumNames<Execution, 3> kExecutionNames{
    {{Execution::no, "no"}, {Execution::maybe, "maybe"}, {Execution::yes, "yes"}}};
constexpr EnumNames<RequestEnd, 5> kRequestEndNames{{{RequestEnd::served, "served"},
                                                     {RequestEnd::rejected, "refused"},
                                                     {RequestEnd::failed, "failed"},
                                                     {RequestEnd::rejectedByFilter, "rejected"},
                                                     {RequestEnd::clientDisconnected, "left"}}};
constexpr EnumNames<Idempotency, 3> kIdempotencyNames{{{Idempotency::idempotent, "safe"},
                                                       {Idempotency::idempotentWithKey, "keyed"},
                                                       {Idempotency::nonIdempotent, "unsafe"}}};
constexpr EnumNames<DeduplicationScope, 3> kDeduplicationScopeNames{{{DeduplicationScope::all, "all"},
                                                                     {DeduplicationScope::zone, "zone"},
                                                                     {DeduplicationScope::cell, "cell"}}};
constexpr EnumNames<HostPhase, 3> kHostPhaseNames{
    {{HostPhase::active, "in"}, {HostPhase::draining, "draining"}, {HostPhase::removed, "out"}}};

template <class Enum, std::size_t Count>
const char* nameIn(const EnumNames<Enum, Count>& names, Enum value) {
  for (const EnumName<Enum>& entry : names)
    if (entry.value == value) return entry.text;
  return "unknown";
}

// Appends the fields of one line.
class LineWriter {
 public:
  LineWriter(std::string& text, std::string_view kind) : text_(text) {
    text_.append(kLinePrefix).append(kind);
  }

  // `value` must need no encoding.
  LineWriter& raw(std::string_view key, std::string_view value) {
    text_.append(" ").append(key).append("=").append(value);
    return *this;
  }

  LineWriter& text(std::string_view key, std::string_view value) { return raw(key, percentEncoded(value)); }

  template <class Integer>
  LineWriter& number(std::string_view key, Integer value) {
    std::array<char, 24> digits;
    const char* const end = std::to_chars(digits.data(), digits.data() + digits.size(), value).ptr;
    return raw(key, std::string_view(digits.data(), static_cast<std::size_t>(end - digits.data())));
  }

 private:
  std::string& text_;
};

// The fields of a line by key. Keeps the first error; later ones are ignored, and so are their fields.
class FieldReader {
 public:
  explicit FieldReader(std::string_view fields) {
    while (!fields.empty()) {
      const std::size_t fieldEnd = std::min(fields.find(' '), fields.size());
      add(fields.substr(0, fieldEnd));
      fields.remove_prefix(std::min(fieldEnd + 1, fields.size()));
    }
  }

  void text(std::string_view key, std::string& out) {
    const auto value = find(key);
    if (!value) return;
    std::optional<std::string> decoded = percentDecoded(*value);
    if (decoded) out = std::move(*decoded);
    else fail(ParseErrorCode::invalidEncoding, key, "has a % with no two digits behind it");
  }

  template <class Integer>
  void number(std::string_view key, Integer& out, Integer minimum) {
    const auto value = find(key);
    if (!value) return;
    const char* const valueEnd = value->data() + value->size();
    Integer parsed{};
    const auto [end, error] = std::from_chars(value->data(), valueEnd, parsed);
    if (error == std::errc{} && end == valueEnd && parsed >= minimum) out = parsed;
    else
      fail(ParseErrorCode::invalidNumber, key,
           "must be a whole number of " + std::to_string(minimum) + " or more");
  }

  // For keys that lines of earlier versions lack.
  template <class Integer>
  void optionalNumber(std::string_view key, Integer& out, Integer minimum) {
    if (fields_.count(key) > 0) number(key, out, minimum);
  }

  template <class Enum, std::size_t Count>
  void name(std::string_view key, const EnumNames<Enum, Count>& names, Enum& out) {
    const auto value = find(key);
    if (!value) return;
    std::string known;
    for (const EnumName<Enum>& entry : names) {
      if (entry.text == *value) {
        out = entry.value;
        return;
      }
      known.append(known.empty() ? "" : ", ").append(entry.text);
    }
    fail(ParseErrorCode::unknownValue, key, "must be one of " + known);
  }

  const ParseError& error() const { return error_; }

 private:
  void add(std::string_view field) {
    if (field.empty()) return;
    const std::size_t equals = field.find('=');
    if (equals == std::string_view::npos) {
      fail(ParseErrorCode::malformedField, field, "is no key=value");
      return;
    }
    const std::string_view key = field.substr(0, equals);
    if (!fields_.emplace(key, field.substr(equals + 1)).second)
      fail(ParseErrorCode::duplicateKey, key, "stands twice");
  }

  std::optional<std::string_view> find(std::string_view key) {
    const auto field = fields_.find(key);
    if (field != fields_.end()) return field->second;
    fail(ParseErrorCode::missingKey, key, "is missing");
    return std::nullopt;
  }

  void fail(ParseErrorCode code, std::string_view key, const std::string& reason) {
    if (error_.code != ParseErrorCode::none) return;
    error_.code = code;
    error_.message.append(key).append(" ").append(reason);
  }

  std::map<std::string_view, std::string_view> fields_;
  ParseError error_;
};

LineWriter writeIdentity(std::string& text, std::string_view kind, const RequestIdentity& identity) {
  LineWriter writer(text, kind);
  writer.text("gw", identity.gateway);
  writer.text("id", identity.id);
  writer.text("class", identity.className);
  writer.raw("effect", name(identity.idempotency));
  return writer;
}

void write(std::string& text, const AttemptLine& attempt) {
  LineWriter writer = writeIdentity(text, "attempt", attempt);
  writer.number("try", attempt.attemptNumber);
  writer.text("host", attempt.host);
  writer.text("zone", attempt.zone);
  writer.number("cell", attempt.cell);
  writer.number("sent", attempt.chosenAtUs);
  writer.number("begun", attempt.firstByteAtUs);
  writer.number("ended", attempt.endedAtUs);
  writer.raw("outcome", name(attempt.outcome));
  writer.raw("why", name(attempt.endReason));
  writer.raw("ran", name(attempt.execution));
  writer.number("word_ms", attempt.listingAgeMs);
  writer.number("heard_ms", attempt.responseAgeMs);
  writer.number("up_ms", attempt.uptimeMs);
  writer.number("avoided", attempt.avoided ? 1 : 0);
  writer.number("port", attempt.connectionPort);
  writer.number("rest_us", attempt.connectionRestUs);
  if (attempt.idempotency != Idempotency::idempotentWithKey) return;
  writer.raw("group", nameIn(kDeduplicationScopeNames, attempt.deduplicationScope));
  writer.number("window_ms", attempt.deduplicationWindowMs);
}

void write(std::string& text, const RequestLine& request) {
  LineWriter writer = writeIdentity(text, "request", request);
  writer.number("came", request.arrivedAtUs);
  writer.number("ended", request.endedAtUs);
  writer.number("left_ms", request.timeLeftMs);
  writer.raw("end", name(request.end));
  writer.number("status", request.status);
  writer.number("attempts", request.attempts);
  writer.number("cut", request.admissionCutoff);
}

void write(std::string& text, const HostLine& host) {
  LineWriter writer(text, "host");
  writer.text("gw", host.gateway);
  writer.text("host", host.host);
  writer.number("at", host.atUs);
  writer.raw("phase", name(host.phase));
}

void write(std::string& text, const StartLine& start) {
  LineWriter writer(text, "start");
  writer.text("gw", start.gateway);
  writer.number("at", start.atUs);
}

void write(std::string& text, const StopLine& stop) {
  LineWriter writer(text, "stop");
  writer.text("gw", stop.gateway);
  writer.number("at", stop.atUs);
  writer.number("open", stop.openRequests);
}

void write(std::string& text, const GapLine& gap) {
  LineWriter writer(text, "gap");
  writer.text("gw", gap.gateway);
  writer.number("at", gap.atUs);
  writer.number("lines", gap.lines);
}

constexpr std::int64_t kMinTime = 0;
constexpr std::int64_t kMinDurationMs = 0;

void readIdentity(FieldReader& fields, RequestIdentity& identity) {
  fields.text("gw", identity.gateway);
  fields.text("id", identity.id);
  fields.text("class", identity.className);
  fields.name("effect", kIdempotencyNames, identity.idempotency);
}

AttemptLine readAttempt(FieldReader& fields) {
  AttemptLine attempt;
  readIdentity(fields, attempt);
  fields.number("try", attempt.attemptNumber, std::uint32_t{0});
  fields.text("host", attempt.host);
  fields.text("zone", attempt.zone);
  fields.number("cell", attempt.cell, std::numeric_limits<std::int64_t>::min());
  fields.number("sent", attempt.chosenAtUs, kMinTime);
  fields.number("begun", attempt.firstByteAtUs, kMinTime);
  fields.number("ended", attempt.endedAtUs, kMinTime);
  fields.name("outcome", kOutcomeNames, attempt.outcome);
  fields.name("why", kEndReasonNames, attempt.endReason);
  fields.name("ran", kExecutionNames, attempt.execution);
  fields.number("word_ms", attempt.listingAgeMs, kNever);
  fields.number("heard_ms", attempt.responseAgeMs, kNever);
  fields.number("up_ms", attempt.uptimeMs, kMinDurationMs);
  int avoided = 0;
  fields.number("avoided", avoided, 0);
  attempt.avoided = avoided != 0;
  fields.optionalNumber("port", attempt.connectionPort, std::uint32_t{0});
  fields.optionalNumber("rest_us", attempt.connectionRestUs, kNever);
  if (attempt.idempotency != Idempotency::idempotentWithKey) return attempt;
  fields.name("group", kDeduplicationScopeNames, attempt.deduplicationScope);
  fields.number("window_ms", attempt.deduplicationWindowMs, kMinDurationMs);
  return attempt;
}

RequestLine readRequest(FieldReader& fields) {
  RequestLine request;
  readIdentity(fields, request);
  fields.number("came", request.arrivedAtUs, kMinTime);
  fields.number("ended", request.endedAtUs, kMinTime);
  fields.number("left_ms", request.timeLeftMs, kMinDurationMs);
  fields.name("end", kRequestEndNames, request.end);
  fields.number("status", request.status, std::uint32_t{0});
  fields.number("attempts", request.attempts, std::uint32_t{0});
  fields.number("cut", request.admissionCutoff, std::uint32_t{0});
  return request;
}

HostLine readHost(FieldReader& fields) {
  HostLine host;
  fields.text("gw", host.gateway);
  fields.text("host", host.host);
  fields.number("at", host.atUs, kMinTime);
  fields.name("phase", kHostPhaseNames, host.phase);
  return host;
}

// The fields that start, stop and gap records share.
template <class ProcessLine>
ProcessLine readProcessLine(FieldReader& fields) {
  ProcessLine line;
  fields.text("gw", line.gateway);
  fields.number("at", line.atUs, kMinTime);
  return line;
}

StopLine readStop(FieldReader& fields) {
  auto stop = readProcessLine<StopLine>(fields);
  fields.number("open", stop.openRequests, std::uint64_t{0});
  return stop;
}

GapLine readGap(FieldReader& fields) {
  auto gap = readProcessLine<GapLine>(fields);
  fields.number("lines", gap.lines, std::uint64_t{0});
  return gap;
}

std::optional<TraceLine> readRecord(std::string_view kind, FieldReader& fields) {
  if (kind == "attempt") return readAttempt(fields);
  if (kind == "request") return readRequest(fields);
  if (kind == "host") return readHost(fields);
  if (kind == "start") return readProcessLine<StartLine>(fields);
  if (kind == "stop") return readStop(fields);
  if (kind == "gap") return readGap(fields);
  return std::nullopt;
}

ParseResult malformed(ParseErrorCode code, std::string message) {
  ParseResult result;
  result.status = ParseResult::Status::malformed;
  result.error = {code, std::move(message)};
  return result;
}

}  // namespace

const char* name(Outcome outcome) { return nameIn(kOutcomeNames, outcome); }
const char* name(EndReason reason) { return nameIn(kEndReasonNames, reason); }
const char* name(Execution execution) { return nameIn(kExecutionNames, execution); }
const char* name(RequestEnd end) { return nameIn(kRequestEndNames, end); }
const char* name(Idempotency idempotency) { return nameIn(kIdempotencyNames, idempotency); }
const char* name(HostPhase phase) { return nameIn(kHostPhaseNames, phase); }

void appendLine(std::string& text, const TraceLine& line) {
  std::visit([&](const auto& record) { write(text, record); }, line);
  text += '\n';
}

ParseResult parseLine(std::string_view text) {
  if (text.substr(0, kLinePrefix.size()) != kLinePrefix) return {};
  if (text.size() > kMaxLineBytes) return malformed(ParseErrorCode::lineTooLong, "longer than 16 KiB");
  text.remove_prefix(kLinePrefix.size());
  const std::size_t kindEnd = std::min(text.find(' '), text.size());
  const std::string_view kind = text.substr(0, kindEnd);
  FieldReader fields(text.substr(std::min(kindEnd + 1, text.size())));
  std::optional<TraceLine> line = readRecord(kind, fields);
  if (!line)
    return malformed(ParseErrorCode::unknownKind,
                     "'" + std::string(kind) + "' is none of attempt, request, host, start, stop, gap");
  if (fields.error().code != ParseErrorCode::none)
    return malformed(fields.error().code, fields.error().message);
  ParseResult result;
  result.status = ParseResult::Status::ok;
  result.line = std::move(*line);
  return result;
}

}  // namespace finchstile::trace
