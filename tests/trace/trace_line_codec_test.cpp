// The text form of the records of the attempt log: its bytes, reading of written lines, and parse errors.
#include "trace/trace_line_codec.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace finchstile::trace {
namespace {

AttemptLine attempt() {
  AttemptLine a;
  a.gateway = "n54";
  a.id = "574506fc";
  a.className = "log-in";
  a.host = "s-1";
  a.zone = "cluj";
  a.chosenAtUs = 1764621000000001;
  a.firstByteAtUs = 1764621000000400;
  a.endedAtUs = 1764621000084000;
  a.attemptNumber = 2;
  a.cell = 3;
  a.idempotency = Idempotency::idempotentWithKey;
  a.deduplicationScope = DeduplicationScope::zone;
  a.deduplicationWindowMs = 2000;
  a.outcome = Outcome::reset;
  a.endReason = EndReason::host;
  a.execution = Execution::maybe;
  a.listingAgeMs = 900;
  a.responseAgeMs = kNever;
  a.uptimeMs = 12;
  a.avoided = true;
  a.connectionPort = 41752;
  a.connectionRestUs = 26034;
  return a;
}

RequestLine request() {
  RequestLine r;
  r.gateway = "n54";
  r.id = "574506fc";
  r.className = "stock-out";
  r.arrivedAtUs = 5;
  r.endedAtUs = 1000;
  r.timeLeftMs = 480;
  r.idempotency = Idempotency::nonIdempotent;
  r.end = RequestEnd::rejected;
  r.status = 503;
  r.attempts = 1;
  r.admissionCutoff = 37;
  return r;
}

std::string text(const TraceLine& line) {
  std::string out;
  appendLine(out, line);
  EXPECT_EQ(out.back(), '\n');
  out.pop_back();
  return out;
}

ParseError errorOf(std::string_view line) {
  const ParseResult result = parseLine(line);
  EXPECT_EQ(result.status, ParseResult::Status::malformed) << line;
  return result.error;
}

void expectError(std::string_view line, ParseErrorCode code, const std::string& message) {
  const ParseError error = errorOf(line);
  EXPECT_EQ(error.code, code) << line;
  EXPECT_EQ(error.message, message) << line;
}

TEST(TraceLineCodec, ReadsBackEachKindOfRecord) {
  const std::vector<TraceLine> all{attempt(),
                                   request(),
                                   HostLine{"n54", "s-1", 7, HostPhase::draining},
                                   StartLine{"n54", 1},
                                   StopLine{"n54", 9, 3},
                                   GapLine{"n54", 8, 12}};
  for (const TraceLine& line : all) {
    const ParseResult read = parseLine(text(line));
    ASSERT_EQ(read.status, ParseResult::Status::ok) << text(line) << ": " << read.error.message;
    EXPECT_EQ(read.line.index(), line.index());
    EXPECT_EQ(text(read.line), text(line));
    EXPECT_EQ(gatewayOf(read.line), "n54");
    EXPECT_EQ(timeOf(read.line), timeOf(line));
  }
  const auto a = std::get<AttemptLine>(parseLine(text(attempt())).line);
  EXPECT_EQ(a.deduplicationWindowMs, 2000);
  EXPECT_EQ(a.responseAgeMs, kNever);
  EXPECT_TRUE(a.avoided);
  EXPECT_EQ(a.connectionPort, 41752u);
  EXPECT_EQ(a.connectionRestUs, 26034);
  EXPECT_EQ(a.deduplicationScope, DeduplicationScope::zone);
}

// Logs of earlier versions and tools of operators depend on these bytes.
TEST(TraceLineCodec, WritesTheBytesOfEachKindOfRecord) {
  EXPECT_EQ(text(attempt()),
            "trace attempt gw=n54 id=574506fc class=log-in effect=keyed try=2 host=s-1 zone=cluj cell=3 "
            "sent=1764621000000001 begun=1764621000000400 ended=1764621000084000 outcome=reset why=host "
            "ran=maybe word_ms=900 heard_ms=-1 up_ms=12 avoided=1 port=41752 rest_us=26034 group=zone "
            "window_ms=2000");
  EXPECT_EQ(text(request()),
            "trace request gw=n54 id=574506fc class=stock-out effect=unsafe came=5 ended=1000 left_ms=480 "
            "end=refused status=503 attempts=1 cut=37");
  EXPECT_EQ(text(HostLine{"n54", "s-1", 7, HostPhase::draining}),
            "trace host gw=n54 host=s-1 at=7 phase=draining");
  EXPECT_EQ(text(StartLine{"n54", 1}), "trace start gw=n54 at=1");
  EXPECT_EQ(text(StopLine{"n54", 9, 3}), "trace stop gw=n54 at=9 open=3");
  EXPECT_EQ(text(GapLine{"n54", 8, 12}), "trace gap gw=n54 at=8 lines=12");
  AttemptLine unkeyed = attempt();
  unkeyed.idempotency = Idempotency::idempotent;
  unkeyed.id = "a b=c%d\n\xff";
  EXPECT_EQ(text(unkeyed).substr(0, 61), "trace attempt gw=n54 id=a%20b=c%25d%0a%ff class=log-in effect");
  EXPECT_EQ(text(unkeyed).find(" group="), std::string::npos);
}

TEST(TraceLineCodec, WritesTheNameOfEachValue) {
  std::string names;
  for (int i = 0; i <= static_cast<int>(Outcome::invalidRequest); ++i)
    names.append(name(static_cast<Outcome>(i))).append(" ");
  EXPECT_EQ(names, "served error full timeout connect_failed reset cancelled moot rejected ");
  names.clear();
  for (const EndReason why :
       {EndReason::host, EndReason::timeLimit, EndReason::requestEnded, EndReason::abandoned})
    names.append(name(why)).append(" ");
  EXPECT_EQ(names, "host limit over again ");
  names.clear();
  for (const Execution ran : {Execution::no, Execution::maybe, Execution::yes})
    names.append(name(ran)).append(" ");
  EXPECT_EQ(names, "no maybe yes ");
  names.clear();
  for (const RequestEnd end : {RequestEnd::served, RequestEnd::rejected, RequestEnd::failed,
                               RequestEnd::rejectedByFilter, RequestEnd::clientDisconnected})
    names.append(name(end)).append(" ");
  EXPECT_EQ(names, "served refused failed rejected left ");
  EXPECT_STREQ(name(Idempotency::idempotent), "safe");
  EXPECT_STREQ(name(Idempotency::idempotentWithKey), "keyed");
  EXPECT_STREQ(name(Idempotency::nonIdempotent), "unsafe");
  EXPECT_STREQ(name(HostPhase::active), "in");
  EXPECT_STREQ(name(HostPhase::draining), "draining");
  EXPECT_STREQ(name(HostPhase::removed), "out");
}

// Clients choose the ids of their requests, so ids may have any bytes.
TEST(TraceLineCodec, EncodesAnyBytesInNames) {
  AttemptLine a = attempt();
  a.id = "a b=c%d\n\xff";
  const std::string line = text(a);
  EXPECT_EQ(line.find('\n'), std::string::npos);
  EXPECT_EQ(std::get<AttemptLine>(parseLine(line).line).id, a.id);
}

TEST(TraceLineCodec, ClassifiesLinesOutsideTheAttemptLogAsNotTrace) {
  for (const char* line : {"", "9.1 cutoff 100", "tracer x", "finchstile: drains"})
    EXPECT_EQ(parseLine(line).status, ParseResult::Status::notTrace) << line;
}

TEST(TraceLineCodec, IgnoresUnknownKeys) {
  EXPECT_EQ(parseLine(text(attempt()) + " colour=red").status, ParseResult::Status::ok);
}

TEST(TraceLineCodec, ReadsAttemptsOfVersionsWithoutTheConnection) {
  std::string line = text(attempt());
  const std::string keys = " port=41752 rest_us=26034";
  line.erase(line.find(keys), keys.size());
  const ParseResult result = parseLine(line);
  ASSERT_EQ(result.status, ParseResult::Status::ok);
  EXPECT_EQ(std::get<AttemptLine>(result.line).connectionPort, 0u);
  EXPECT_EQ(std::get<AttemptLine>(result.line).connectionRestUs, kNever);
}

TEST(TraceLineCodec, ReportsTheCodeAndTheKeyOfAnError) {
  expectError("trace colour gw=a", ParseErrorCode::unknownKind,
              "'colour' is none of attempt, request, host, start, stop, gap");
  expectError("trace start gw=a", ParseErrorCode::missingKey, "at is missing");
  expectError("trace start gw=a at=soon", ParseErrorCode::invalidNumber,
              "at must be a whole number of 0 or more");
  expectError("trace start gw=a at=-1", ParseErrorCode::invalidNumber,
              "at must be a whole number of 0 or more");
  expectError("trace start gw=a at=1 gw=b", ParseErrorCode::duplicateKey, "gw stands twice");
  expectError("trace start gw=%4 at=1", ParseErrorCode::invalidEncoding,
              "gw has a % with no two digits behind it");
  expectError("trace start gw=a at=1 what", ParseErrorCode::malformedField, "what is no key=value");
  expectError("trace host gw=a host=h at=1 phase=up", ParseErrorCode::unknownValue,
              "phase must be one of in, draining, out");
  expectError("trace start gw=" + std::string(20000, 'x') + " at=1", ParseErrorCode::lineTooLong,
              "longer than 16 KiB");
}

// A full disk may truncate a line.
TEST(TraceLineCodec, ReportsTruncatedLinesAsMalformed) {
  const std::string whole = text(attempt());
  for (std::size_t n = 20; n < whole.find(" window_ms"); ++n)
    EXPECT_EQ(parseLine(whole.substr(0, n)).status, ParseResult::Status::malformed) << n;
}

}  // namespace
}  // namespace finchstile::trace
