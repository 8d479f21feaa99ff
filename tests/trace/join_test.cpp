// Logs of many gateways put together: each rule has a story that keeps it and one that breaks it.
#include "trace/join.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

namespace finchstile::trace {
namespace {

using Kind = Finding::Kind;
constexpr std::int64_t kMs = 1000;

struct JoinTest : ::testing::Test {
  std::vector<Line> lines;
  AuditSettings settings;

  AttemptLine attempt(std::int64_t sentMs, std::int64_t endedMs, Outcome outcome, Ran ran) {
    AttemptLine a;
    a.gateway = "n1", a.id = "x", a.className = "read", a.host = "s-1", a.zone = "a";
    a.sent = (1000 + sentMs) * kMs;
    a.begun = a.sent + 300;
    a.ended = (1000 + endedMs) * kMs;
    a.effect = Idempotency::idempotent;
    a.outcome = outcome;
    a.ran = ran;
    a.word = 100;
    return a;
  }
  RequestLine request(std::int64_t cameMs, std::int64_t endedMs, End end) {
    RequestLine r;
    r.gateway = "n1", r.id = "x", r.className = "read";
    r.came = (1000 + cameMs) * kMs;
    r.ended = (1000 + endedMs) * kMs;
    r.left = 500;
    r.effect = Idempotency::idempotent;
    r.end = end;
    r.status = end == End::served ? 200 : end == End::refused ? 503 : 502;
    r.attempts = 1;
    return r;
  }
  void life(std::int64_t fromMs, std::int64_t toMs, std::uint64_t open = 0) {
    lines.push_back(StartLine{"n1", (1000 + fromMs) * kMs});
    if (toMs > 0) lines.push_back(StopLine{"n1", (1000 + toMs) * kMs, open});
  }
  Join joined() const {
    Join j;
    for (const Line& l : lines) j.add(l);
    return j;
  }
  std::vector<Kind> found() const {
    std::vector<Kind> kinds;
    for (const Finding& f : joined().audit(settings)) kinds.push_back(f.kind);
    return kinds;
  }
  using Kinds = std::vector<Kind>;
};

TEST_F(JoinTest, AnOrdinaryRequestHasNothingToFind) {
  life(-10, 900);
  lines.push_back(attempt(0, 90, Outcome::served, Ran::yes));
  lines.push_back(request(0, 90, End::served));
  EXPECT_EQ(found(), Kinds{});
}

TEST_F(JoinTest, OneThatWasTakenIsAnsweredOnce) {
  lines.push_back(request(0, 90, End::served));
  lines.push_back(request(100, 120, End::refused));  // taken anew: the front sent it once more
  EXPECT_EQ(found(), Kinds{});
  lines.push_back(request(0, 95, End::failed));
  EXPECT_EQ(found(), Kinds{Kind::answeredTwice});
}

TEST_F(JoinTest, AnAnswerAfterItsClientsTimeIsLate) {
  lines.push_back(request(0, 550, End::failed));  // within the slack
  EXPECT_EQ(found(), Kinds{});
  lines.back() = request(0, 551, End::failed);
  EXPECT_EQ(found(), Kinds{Kind::late});
  lines.back() = request(0, 900, End::left);  // nobody waits
  EXPECT_EQ(found(), Kinds{});
}

TEST_F(JoinTest, NothingGoesOutAfterTheAnswer) {
  lines.push_back(request(0, 100, End::refused));
  lines.push_back(attempt(99, 120, Outcome::cancelled, Ran::maybe));
  std::get<AttemptLine>(lines[1]).begun = 1100 * kMs;
  EXPECT_EQ(found(), Kinds{});
  std::get<AttemptLine>(lines[1]).begun = 1101 * kMs;
  EXPECT_EQ(found(), Kinds{Kind::sentAfterAnswer});
  std::get<AttemptLine>(lines[1]).begun = 0;  // it was called off in time
  EXPECT_EQ(found(), Kinds{});
}

// A process that ended in order owes each request an answer. One that was killed, or whose lines are missing,
// is accused of nothing.
TEST_F(JoinTest, AnAttemptWithoutAnAnswerAccusesOnlyAWholeLog) {
  lines.push_back(attempt(0, 90, Outcome::reset, Ran::maybe));
  EXPECT_EQ(found(), Kinds{});
  life(-10, 0);
  EXPECT_EQ(found(), Kinds{});
  lines.push_back(StopLine{"n1", 2000 * kMs, 0});
  EXPECT_EQ(found(), Kinds{Kind::noAnswer});
  lines.push_back(GapLine{"n1", 1500 * kMs, 3});
  EXPECT_EQ(found(), Kinds{});
  EXPECT_EQ(joined().missing(), 3u);
}

TEST_F(JoinTest, RequestsThatAreOpenAtTheEndAreFound) {
  life(-10, 900, 2);
  const auto all = joined().audit(settings);
  ASSERT_EQ(all.size(), 1u);
  EXPECT_EQ(all[0].kind, Kind::leftOpen);
  EXPECT_EQ(all[0].text, "2 requests");
}

TEST_F(JoinTest, TwoAttemptsAreNeverOutAtOnce) {
  lines.push_back(request(0, 200, End::served));
  lines.push_back(attempt(0, 90, Outcome::timeout, Ran::maybe));
  lines.push_back(attempt(90, 200, Outcome::served, Ran::yes));
  EXPECT_EQ(found(), Kinds{});
  std::get<AttemptLine>(lines[1]).ended += 1 * kMs;
  EXPECT_EQ(found(), Kinds{Kind::twoAtOnce});
  std::get<AttemptLine>(lines[1]).begun = 0;
  EXPECT_EQ(found(), Kinds{});
}

// Two gateways' clocks may differ by what the operator says, and no more.
TEST_F(JoinTest, AtTwoGatewaysTheirClocksCount) {
  lines.push_back(attempt(0, 90, Outcome::cancelled, Ran::maybe));
  lines.push_back(attempt(85, 200, Outcome::served, Ran::yes));
  std::get<AttemptLine>(lines[1]).gateway = "n2";
  EXPECT_EQ(found(), Kinds{Kind::twoAtOnce});
  settings.clocksUs = 10 * kMs;
  EXPECT_EQ(found(), Kinds{});
}

TEST_F(JoinTest, UnsafeIsNotSentAgainWhereItMayHaveRun) {
  lines.push_back(request(0, 200, End::served));
  lines.push_back(attempt(0, 50, Outcome::rejectedForCapacity, Ran::no));
  lines.push_back(attempt(60, 200, Outcome::served, Ran::yes));
  for (std::size_t i = 1; i < 3; ++i) std::get<AttemptLine>(lines[i]).effect = Idempotency::nonIdempotent;
  std::get<RequestLine>(lines[0]).effect = Idempotency::nonIdempotent;
  EXPECT_EQ(found(), Kinds{});
  std::get<AttemptLine>(lines[1]).outcome = Outcome::reset;
  std::get<AttemptLine>(lines[1]).ran = Ran::maybe;
  EXPECT_EQ(found(), Kinds{Kind::ranTwice});
}

TEST_F(JoinTest, KeyedIsSentAgainInsideItsGroupAndWindowOnly) {
  lines.push_back(request(0, 200, End::served));
  lines.push_back(attempt(0, 50, Outcome::timeout, Ran::maybe));
  lines.push_back(attempt(60, 200, Outcome::served, Ran::yes));
  for (std::size_t i = 1; i < 3; ++i) {
    auto& a = std::get<AttemptLine>(lines[i]);
    a.effect = Idempotency::idempotentWithKey, a.group = DeduplicationScope::zone, a.window = 100;
  }
  EXPECT_EQ(found(), Kinds{});
  std::get<AttemptLine>(lines[2]).zone = "b";
  EXPECT_EQ(found(), Kinds{Kind::ranTwice});
  std::get<AttemptLine>(lines[1]).group = std::get<AttemptLine>(lines[2]).group = DeduplicationScope::all;
  EXPECT_EQ(found(), Kinds{});
  std::get<AttemptLine>(lines[2]).begun = 1101 * kMs;
  EXPECT_EQ(found(), Kinds{Kind::ranTwice});
  std::get<AttemptLine>(lines[2]).begun = 1061 * kMs;
  for (std::size_t i = 1; i < 3; ++i) std::get<AttemptLine>(lines[i]).group = DeduplicationScope::cell;
  EXPECT_EQ(found(), Kinds{Kind::ranTwice});  // another zone
  std::get<AttemptLine>(lines[2]).zone = "a";
  EXPECT_EQ(found(), Kinds{});
  std::get<AttemptLine>(lines[2]).cell = 7;
  EXPECT_EQ(found(), Kinds{Kind::ranTwice});
}

// The same id at another gateway: both count.
TEST_F(JoinTest, ASecondGatewayIsSeenToo) {
  lines.push_back(attempt(0, 50, Outcome::reset, Ran::maybe));
  lines.push_back(attempt(300, 350, Outcome::served, Ran::yes));
  for (Line& l : lines) std::get<AttemptLine>(l).effect = Idempotency::nonIdempotent;
  std::get<AttemptLine>(lines[1]).gateway = "n2";
  EXPECT_EQ(found(), Kinds{Kind::ranTwice});
}

TEST_F(JoinTest, ARefusalSaysThatNothingRan) {
  lines.push_back(request(0, 200, End::refused));
  lines.push_back(attempt(0, 50, Outcome::error, Ran::maybe));
  auto& a = std::get<AttemptLine>(lines[1]);
  EXPECT_EQ(found(), Kinds{});  // safe to repeat
  a.effect = Idempotency::nonIdempotent;
  EXPECT_EQ(found(), Kinds{Kind::refusedAfterRun});
  a.effect = Idempotency::idempotentWithKey, a.group = DeduplicationScope::all;
  EXPECT_EQ(found(), Kinds{});
  a.group = DeduplicationScope::zone;  // its client's next try may meet another zone
  EXPECT_EQ(found(), Kinds{Kind::refusedAfterRun});
  a.ran = Ran::no;
  EXPECT_EQ(found(), Kinds{});
}

TEST_F(JoinTest, ADrainingHostIsSentNothingPastTheGrace) {
  lines.push_back(request(0, 90, End::served));
  lines.push_back(attempt(0, 90, Outcome::served, Ran::yes));
  lines.push_back(HostLine{"n1", "s-1", 400 * kMs, HostPhase::draining});
  std::get<AttemptLine>(lines[1]).begun = 950 * kMs;
  EXPECT_EQ(found(), Kinds{});
  std::get<AttemptLine>(lines[1]).begun = 951 * kMs;
  EXPECT_EQ(found(), Kinds{Kind::sentToDraining});
  std::get<HostLine>(lines[2]).gateway = "n2";  // another's list
  EXPECT_EQ(found(), Kinds{});
  std::get<HostLine>(lines[2]).gateway = "n1";
  lines.push_back(HostLine{"n1", "s-1", 900 * kMs, HostPhase::active});  // it is back
  EXPECT_EQ(found(), Kinds{});
}

TEST_F(JoinTest, TheOrderOfLinesDoesNotMatter) {
  life(-10, 900, 1);
  lines.push_back(attempt(0, 91, Outcome::reset, Ran::maybe));
  lines.push_back(attempt(90, 200, Outcome::served, Ran::yes));
  for (std::size_t i = 2; i < 4; ++i) std::get<AttemptLine>(lines[i]).effect = Idempotency::nonIdempotent;
  lines.push_back(request(0, 600, End::refused));
  lines.push_back(HostLine{"n1", "s-1", 100 * kMs, HostPhase::removed});
  const auto whole = [&] {
    std::string all;
    for (const Finding& f : joined().audit(settings)) all += std::string(name(f.kind)) + f.text + "\n";
    return all + tell(joined().story("x"));
  };
  const std::string first = whole();
  EXPECT_GE(std::count(first.begin(), first.end(), '\n'), 10);
  std::mt19937 dice(7);
  for (int i = 0; i < 50; ++i) {
    std::shuffle(lines.begin(), lines.end(), dice);
    EXPECT_EQ(whole(), first);
  }
}

TEST_F(JoinTest, SumsByHostAndSecond) {
  lines.push_back(attempt(0, 90, Outcome::served, Ran::yes));
  lines.push_back(attempt(1500, 1600, Outcome::rejectedForCapacity, Ran::no));
  lines.push_back(request(0, 90, End::served));
  auto unsent = request(1500, 1500, End::refused);
  unsent.attempts = 0;
  lines.push_back(unsent);
  const auto hosts = joined().sums(Join::By::host);
  ASSERT_EQ(hosts.count("s-1"), 1u);
  EXPECT_EQ(hosts.at("s-1").attempts, 2u);
  EXPECT_EQ(hosts.at("s-1").full, 1u);
  EXPECT_EQ(hosts.at("s-1").takenUs, 90'000u);
  const auto seconds = joined().sums(Join::By::second);
  ASSERT_EQ(seconds.size(), 2u);
  EXPECT_EQ(seconds.at("000000").answered, 1u);
  EXPECT_EQ(seconds.at("000001").unsent, 1u);
  EXPECT_EQ(joined().sums(Join::By::gateway).at("n1").requests, 2u);
  EXPECT_EQ(joined().sums(Join::By::className).at("read").refused, 1u);
}

TEST_F(JoinTest, AStoryIsToldInOrder) {
  lines.push_back(request(0, 200, End::served));
  lines.push_back(attempt(2, 50, Outcome::rejectedForCapacity, Ran::no));
  const std::string told = tell(joined().story("x"));
  EXPECT_EQ(told,
            "    +0.000 ms  n1 takes it, read (safe), its client waits 500 ms\n"
            "    +2.000 ms  n1 attempt 0 to s-1 (a): list's word 100 ms ago, sign of life never, up 0 ms\n"
            "   +50.000 ms  n1 attempt 0: full by host, ran: no, first byte 0.3 ms after its choice\n"
            "  +200.000 ms  n1: served, 200, after 1 attempts, cutoff 0\n");
  EXPECT_LT(told.find("takes it"), told.find("attempt 0 to s-1"));
  EXPECT_LT(told.find("full by host"), told.find("served, 200"));
  EXPECT_NE(told.find("list's word 100 ms ago, sign of life never"), std::string::npos) << told;
  EXPECT_EQ(tell(joined().story("y")), "");
}

TEST(FindingName, IsThatOfTheOperatorsPage) {
  std::string names;
  for (const Kind kind :
       {Kind::answeredTwice, Kind::late, Kind::sentAfterAnswer, Kind::noAnswer, Kind::leftOpen,
        Kind::twoAtOnce, Kind::ranTwice, Kind::refusedAfterRun, Kind::sentToDraining})
    names.append(name(kind)).append(" ");
  EXPECT_EQ(
      names,
      "answered_twice late sent_after_answer no_answer left_open two_at_once ran_twice refused_after_run "
      "sent_to_draining ");
}

}  // namespace
}  // namespace finchstile::trace
