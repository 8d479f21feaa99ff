// Lines of the log of attempts: each reads back as it was written, and what can't be read says why.
#include "trace/line.hpp"

#include <gtest/gtest.h>

namespace finchstile::trace {
namespace {

AttemptLine attempt() {
  AttemptLine a;
  a.gateway = "n54";
  a.id = "574506fc";
  a.className = "log-in";
  a.host = "s-1";
  a.zone = "cluj";
  a.sent = 1764621000000001;
  a.begun = 1764621000000400;
  a.ended = 1764621000084000;
  a.number = 2;
  a.cell = 3;
  a.effect = Idempotency::idempotentWithKey;
  a.group = DeduplicationScope::zone;
  a.window = 2000;
  a.outcome = Outcome::reset;
  a.why = Why::host;
  a.ran = Ran::maybe;
  a.word = 900;
  a.heard = kNever;
  a.up = 12;
  a.avoided = true;
  return a;
}

std::string text(const Line& line) {
  std::string out;
  append(out, line);
  EXPECT_EQ(out.back(), '\n');
  out.pop_back();
  return out;
}

std::string problem(std::string_view line) {
  const Parsed p = parse(line);
  EXPECT_EQ(p.kind, Parsed::Kind::bad) << line;
  return p.problem;
}

TEST(TraceLine, EachKindReadsBackAsItWasWritten) {
  RequestLine r;
  r.gateway = "n54", r.id = "574506fc", r.className = "stock-out";
  r.came = 5, r.ended = 1000, r.left = 480, r.effect = Idempotency::nonIdempotent, r.end = End::refused;
  r.status = 503, r.attempts = 1, r.cut = 37;
  const std::vector<Line> all{attempt(),
                              r,
                              HostLine{"n54", "s-1", 7, HostPhase::draining},
                              StartLine{"n54", 1},
                              StopLine{"n54", 9, 3},
                              GapLine{"n54", 8, 12}};
  for (const Line& line : all) {
    const Parsed read = parse(text(line));
    ASSERT_EQ(read.kind, Parsed::Kind::line) << text(line) << ": " << read.problem;
    EXPECT_EQ(read.line.index(), line.index());
    EXPECT_EQ(text(read.line), text(line));
    EXPECT_EQ(gatewayOf(read.line), "n54");
    EXPECT_EQ(timeOf(read.line), timeOf(line));
  }
  const auto a = std::get<AttemptLine>(parse(text(attempt())).line);
  EXPECT_EQ(a.window, 2000);
  EXPECT_EQ(a.heard, kNever);
  EXPECT_TRUE(a.avoided);
  EXPECT_EQ(a.group, DeduplicationScope::zone);
}

// The bytes of each kind. Logs of earlier versions and the operators' tools depend on them.
TEST(TraceLine, EachKindHasItsBytes) {
  RequestLine r;
  r.gateway = "n54", r.id = "574506fc", r.className = "stock-out";
  r.came = 5, r.ended = 1000, r.left = 480, r.effect = Idempotency::nonIdempotent, r.end = End::refused;
  r.status = 503, r.attempts = 1, r.cut = 37;
  EXPECT_EQ(text(attempt()),
            "trace attempt gw=n54 id=574506fc class=log-in effect=keyed try=2 host=s-1 zone=cluj cell=3 "
            "sent=1764621000000001 begun=1764621000000400 ended=1764621000084000 outcome=reset why=host "
            "ran=maybe word_ms=900 heard_ms=-1 up_ms=12 avoided=1 group=zone window_ms=2000");
  EXPECT_EQ(text(r),
            "trace request gw=n54 id=574506fc class=stock-out effect=unsafe came=5 ended=1000 left_ms=480 "
            "end=refused status=503 attempts=1 cut=37");
  EXPECT_EQ(text(HostLine{"n54", "s-1", 7, HostPhase::draining}),
            "trace host gw=n54 host=s-1 at=7 phase=draining");
  EXPECT_EQ(text(StartLine{"n54", 1}), "trace start gw=n54 at=1");
  EXPECT_EQ(text(StopLine{"n54", 9, 3}), "trace stop gw=n54 at=9 open=3");
  EXPECT_EQ(text(GapLine{"n54", 8, 12}), "trace gap gw=n54 at=8 lines=12");
  AttemptLine unkeyed = attempt();
  unkeyed.effect = Idempotency::idempotent;
  unkeyed.id = "a b=c%d\n\xff";
  EXPECT_EQ(text(unkeyed).substr(0, 61), "trace attempt gw=n54 id=a%20b=c%25d%0a%ff class=log-in effect");
  EXPECT_EQ(text(unkeyed).find(" group="), std::string::npos);
}

TEST(TraceLine, EachValueHasItsName) {
  std::string names;
  for (int i = 0; i <= static_cast<int>(Outcome::invalidRequest); ++i)
    names.append(name(static_cast<Outcome>(i))).append(" ");
  EXPECT_EQ(names, "served error full timeout connect_failed reset cancelled moot rejected ");
  names.clear();
  for (const Why why : {Why::host, Why::limit, Why::over, Why::again}) names.append(name(why)).append(" ");
  EXPECT_EQ(names, "host limit over again ");
  names.clear();
  for (const Ran ran : {Ran::no, Ran::maybe, Ran::yes}) names.append(name(ran)).append(" ");
  EXPECT_EQ(names, "no maybe yes ");
  names.clear();
  for (const End end : {End::served, End::refused, End::failed, End::rejected, End::left})
    names.append(name(end)).append(" ");
  EXPECT_EQ(names, "served refused failed rejected left ");
  EXPECT_STREQ(name(Idempotency::idempotent), "safe");
  EXPECT_STREQ(name(Idempotency::idempotentWithKey), "keyed");
  EXPECT_STREQ(name(Idempotency::nonIdempotent), "unsafe");
  EXPECT_STREQ(name(HostPhase::active), "in");
  EXPECT_STREQ(name(HostPhase::draining), "draining");
  EXPECT_STREQ(name(HostPhase::removed), "out");
}

// An id is the client's to choose.
TEST(TraceLine, NamesMayHoldAnyBytes) {
  AttemptLine a = attempt();
  a.id = "a b=c%d\n\xff";
  const std::string line = text(a);
  EXPECT_EQ(line.find('\n'), std::string::npos);
  EXPECT_EQ(std::get<AttemptLine>(parse(line).line).id, a.id);
}

TEST(TraceLine, LinesOfOthersArePassedOver) {
  for (const char* line : {"", "9.1 cutoff 100", "tracer x", "finchstile: drains"})
    EXPECT_EQ(parse(line).kind, Parsed::Kind::other) << line;
}

TEST(TraceLine, KeysOfLaterVersionsArePassedOver) {
  EXPECT_EQ(parse(text(attempt()) + " colour=red").kind, Parsed::Kind::line);
}

TEST(TraceLine, WhatIsWrongIsNamedWithItsKey) {
  EXPECT_EQ(problem("trace colour gw=a"), "'colour' is none of attempt, request, host, start, stop, gap");
  EXPECT_EQ(problem("trace start gw=a"), "at is missing");
  EXPECT_EQ(problem("trace start gw=a at=soon"), "at must be a whole number of 0 or more");
  EXPECT_EQ(problem("trace start gw=a at=-1"), "at must be a whole number of 0 or more");
  EXPECT_EQ(problem("trace start gw=a at=1 gw=b"), "gw stands twice");
  EXPECT_EQ(problem("trace start gw=%4 at=1"), "gw has a % with no two digits behind it");
  EXPECT_EQ(problem("trace start gw=a at=1 what"), "what is no key=value");
  EXPECT_EQ(problem("trace host gw=a host=h at=1 phase=up"), "phase must be one of in, draining, out");
  EXPECT_EQ(problem("trace start gw=" + std::string(20000, 'x') + " at=1"), "longer than 16 KiB");
  // A line that was cut off by a full disk.
  const std::string whole = text(attempt());
  for (std::size_t n = 20; n < whole.find(" window_ms"); ++n)
    EXPECT_EQ(parse(whole.substr(0, n)).kind, Parsed::Kind::bad) << n;
}

}  // namespace
}  // namespace finchstile::trace
