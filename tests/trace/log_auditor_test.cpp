// The audit of merged logs: each rule with records that satisfy it and records that violate it.
#include "trace/log_auditor.hpp"

#include <algorithm>
#include <random>
#include <string>

#include "trace/request_history.hpp"
#include "trace/support.hpp"

namespace finchstile::trace {
namespace {

using testing::kMs;
using Kind = Finding::Kind;
using Kinds = std::vector<Kind>;

struct LogAuditorTest : testing::AttemptLogTest {
  AuditSettings settings;

  Kinds found() const {
    Kinds kinds;
    for (const Finding& finding : audit(merged(), settings)) kinds.push_back(finding.kind);
    return kinds;
  }
};

TEST_F(LogAuditorTest, FindsNothingInAnOrdinaryRequest) {
  addProcess(-10, 900);
  lines.push_back(attempt(0, 90, Outcome::served, Execution::yes));
  lines.push_back(request(0, 90, RequestEnd::served));
  EXPECT_EQ(found(), Kinds{});
}

TEST_F(LogAuditorTest, ReportsASecondAnswerToOneArrival) {
  lines.push_back(request(0, 90, RequestEnd::served));
  lines.push_back(request(100, 120, RequestEnd::rejected));  // the client sent it again
  EXPECT_EQ(found(), Kinds{});
  lines.push_back(request(0, 95, RequestEnd::failed));
  EXPECT_EQ(found(), Kinds{Kind::answeredTwice});
}

TEST_F(LogAuditorTest, ReportsAnswersAfterTheClientsDeadline) {
  lines.push_back(request(0, 550, RequestEnd::failed));  // within the slack
  EXPECT_EQ(found(), Kinds{});
  lines.back() = request(0, 551, RequestEnd::failed);
  EXPECT_EQ(found(), Kinds{Kind::answeredAfterDeadline});
  lines.back() = request(0, 900, RequestEnd::clientDisconnected);  // no client waits for the answer
  EXPECT_EQ(found(), Kinds{});
}

TEST_F(LogAuditorTest, ReportsAttemptsSentAfterTheAnswer) {
  lines.push_back(request(0, 100, RequestEnd::rejected));
  lines.push_back(attempt(99, 120, Outcome::cancelled, Execution::maybe));
  std::get<AttemptLine>(lines[1]).firstByteAtUs = 1100 * kMs;
  EXPECT_EQ(found(), Kinds{});
  std::get<AttemptLine>(lines[1]).firstByteAtUs = 1101 * kMs;
  EXPECT_EQ(found(), Kinds{Kind::sentAfterAnswer});
  std::get<AttemptLine>(lines[1]).firstByteAtUs = 0;  // it was cancelled before it was sent
  EXPECT_EQ(found(), Kinds{});
}

// Only a process that shut down in order must have answered each request. A killed process or a log with
// gaps leads to no finding.
TEST_F(LogAuditorTest, ReportsMissingAnswersOnlyInCompleteLogs) {
  lines.push_back(attempt(0, 90, Outcome::reset, Execution::maybe));
  EXPECT_EQ(found(), Kinds{});
  addProcess(-10, 0);
  EXPECT_EQ(found(), Kinds{});
  lines.push_back(StopLine{"n1", 2000 * kMs, 0});
  EXPECT_EQ(found(), Kinds{Kind::noAnswer});
  lines.push_back(GapLine{"n1", 1500 * kMs, 3});
  EXPECT_EQ(found(), Kinds{});
  EXPECT_EQ(merged().missingLines(), 3u);
}

TEST_F(LogAuditorTest, ReportsRequestsOpenAtShutdown) {
  addProcess(-10, 900, 2);
  const auto all = audit(merged(), settings);
  ASSERT_EQ(all.size(), 1u);
  EXPECT_EQ(all[0].kind, Kind::openAtShutdown);
  EXPECT_EQ(all[0].text, "2 requests");
}

TEST_F(LogAuditorTest, ReportsConcurrentAttempts) {
  lines.push_back(request(0, 200, RequestEnd::served));
  lines.push_back(attempt(0, 90, Outcome::timeout, Execution::maybe));
  lines.push_back(attempt(90, 200, Outcome::served, Execution::yes));
  EXPECT_EQ(found(), Kinds{});
  std::get<AttemptLine>(lines[1]).endedAtUs += 1 * kMs;
  EXPECT_EQ(found(), Kinds{Kind::concurrentAttempts});
  std::get<AttemptLine>(lines[1]).firstByteAtUs = 0;
  EXPECT_EQ(found(), Kinds{});
}

// The clocks of two gateways may differ by the configured skew, and no more.
TEST_F(LogAuditorTest, ToleratesClockSkewBetweenGateways) {
  lines.push_back(attempt(0, 90, Outcome::cancelled, Execution::maybe));
  lines.push_back(attempt(85, 200, Outcome::served, Execution::yes));
  std::get<AttemptLine>(lines[1]).gateway = "n2";
  EXPECT_EQ(found(), Kinds{Kind::concurrentAttempts});
  settings.clockSkewUs = 10 * kMs;
  EXPECT_EQ(found(), Kinds{});
}

TEST_F(LogAuditorTest, ReportsRetriesOfNonIdempotentRequestsThatMayHaveRun) {
  lines.push_back(request(0, 200, RequestEnd::served));
  lines.push_back(attempt(0, 50, Outcome::rejectedForCapacity, Execution::no));
  lines.push_back(attempt(60, 200, Outcome::served, Execution::yes));
  for (std::size_t i = 1; i < 3; ++i)
    std::get<AttemptLine>(lines[i]).idempotency = Idempotency::nonIdempotent;
  std::get<RequestLine>(lines[0]).idempotency = Idempotency::nonIdempotent;
  EXPECT_EQ(found(), Kinds{});
  std::get<AttemptLine>(lines[1]).outcome = Outcome::reset;
  std::get<AttemptLine>(lines[1]).execution = Execution::maybe;
  EXPECT_EQ(found(), Kinds{Kind::unsafeRetry});
}

TEST_F(LogAuditorTest, ReportsKeyedRetriesOutsideTheDeduplicationScopeOrWindow) {
  lines.push_back(request(0, 200, RequestEnd::served));
  lines.push_back(attempt(0, 50, Outcome::timeout, Execution::maybe));
  lines.push_back(attempt(60, 200, Outcome::served, Execution::yes));
  for (std::size_t i = 1; i < 3; ++i) {
    auto& a = std::get<AttemptLine>(lines[i]);
    a.idempotency = Idempotency::idempotentWithKey;
    a.deduplicationScope = DeduplicationScope::zone;
    a.deduplicationWindowMs = 100;
  }
  EXPECT_EQ(found(), Kinds{});
  std::get<AttemptLine>(lines[2]).zone = "b";
  EXPECT_EQ(found(), Kinds{Kind::unsafeRetry});
  std::get<AttemptLine>(lines[1]).deduplicationScope = std::get<AttemptLine>(lines[2]).deduplicationScope =
      DeduplicationScope::all;
  EXPECT_EQ(found(), Kinds{});
  std::get<AttemptLine>(lines[2]).firstByteAtUs = 1101 * kMs;
  EXPECT_EQ(found(), Kinds{Kind::unsafeRetry});
  std::get<AttemptLine>(lines[2]).firstByteAtUs = 1061 * kMs;
  for (std::size_t i = 1; i < 3; ++i)
    std::get<AttemptLine>(lines[i]).deduplicationScope = DeduplicationScope::cell;
  EXPECT_EQ(found(), Kinds{Kind::unsafeRetry});  // another zone
  std::get<AttemptLine>(lines[2]).zone = "a";
  EXPECT_EQ(found(), Kinds{});
  std::get<AttemptLine>(lines[2]).cell = 7;
  EXPECT_EQ(found(), Kinds{Kind::unsafeRetry});
}

// Attempts of one request id at two gateways are checked together.
TEST_F(LogAuditorTest, ReportsUnsafeRetriesAcrossGateways) {
  lines.push_back(attempt(0, 50, Outcome::reset, Execution::maybe));
  lines.push_back(attempt(300, 350, Outcome::served, Execution::yes));
  for (TraceLine& l : lines) std::get<AttemptLine>(l).idempotency = Idempotency::nonIdempotent;
  std::get<AttemptLine>(lines[1]).gateway = "n2";
  EXPECT_EQ(found(), Kinds{Kind::unsafeRetry});
}

TEST_F(LogAuditorTest, ReportsRejectionsOfRequestsThatMayHaveRun) {
  lines.push_back(request(0, 200, RequestEnd::rejected));
  lines.push_back(attempt(0, 50, Outcome::error, Execution::maybe));
  auto& a = std::get<AttemptLine>(lines[1]);
  EXPECT_EQ(found(), Kinds{});  // idempotent
  a.idempotency = Idempotency::nonIdempotent;
  EXPECT_EQ(found(), Kinds{Kind::rejectedAfterExecution});
  a.idempotency = Idempotency::idempotentWithKey;
  a.deduplicationScope = DeduplicationScope::all;
  EXPECT_EQ(found(), Kinds{});
  a.deduplicationScope = DeduplicationScope::zone;  // the client's retry may reach another zone
  EXPECT_EQ(found(), Kinds{Kind::rejectedAfterExecution});
  a.execution = Execution::no;
  EXPECT_EQ(found(), Kinds{});
}

TEST_F(LogAuditorTest, ReportsAttemptsAtDrainingHostsAfterTheGrace) {
  lines.push_back(request(0, 90, RequestEnd::served));
  lines.push_back(attempt(0, 90, Outcome::served, Execution::yes));
  lines.push_back(HostLine{"n1", "s-1", 400 * kMs, HostPhase::draining});
  std::get<AttemptLine>(lines[1]).firstByteAtUs = 950 * kMs;
  EXPECT_EQ(found(), Kinds{});
  std::get<AttemptLine>(lines[1]).firstByteAtUs = 951 * kMs;
  EXPECT_EQ(found(), Kinds{Kind::sentToDrainingHost});
  std::get<HostLine>(lines[2]).gateway = "n2";  // recorded by another gateway
  EXPECT_EQ(found(), Kinds{});
  std::get<HostLine>(lines[2]).gateway = "n1";
  lines.push_back(HostLine{"n1", "s-1", 900 * kMs, HostPhase::active});  // the host is active again
  EXPECT_EQ(found(), Kinds{});
}

TEST_F(LogAuditorTest, GivesTheSameResultForAnyOrderOfLines) {
  addProcess(-10, 900, 1);
  lines.push_back(attempt(0, 91, Outcome::reset, Execution::maybe));
  lines.push_back(attempt(90, 200, Outcome::served, Execution::yes));
  for (std::size_t i = 2; i < 4; ++i)
    std::get<AttemptLine>(lines[i]).idempotency = Idempotency::nonIdempotent;
  lines.push_back(request(0, 600, RequestEnd::rejected));
  lines.push_back(HostLine{"n1", "s-1", 100 * kMs, HostPhase::removed});
  const auto auditAndTimeline = [&] {
    std::string text;
    for (const Finding& finding : audit(merged(), settings))
      text += std::string(name(finding.kind)) + finding.text + "\n";
    return text + formatTimeline(merged().history("x"));
  };
  const std::string first = auditAndTimeline();
  EXPECT_GE(std::count(first.begin(), first.end(), '\n'), 10);
  std::mt19937 random(7);
  for (int i = 0; i < 50; ++i) {
    std::shuffle(lines.begin(), lines.end(), random);
    EXPECT_EQ(auditAndTimeline(), first);
  }
}

TEST(FindingName, MatchesOperatorDocumentation) {
  using Kind = Finding::Kind;
  std::string names;
  for (const Kind kind : {Kind::answeredTwice, Kind::answeredAfterDeadline, Kind::sentAfterAnswer,
                          Kind::noAnswer, Kind::openAtShutdown, Kind::concurrentAttempts, Kind::unsafeRetry,
                          Kind::rejectedAfterExecution, Kind::sentToDrainingHost})
    names.append(name(kind)).append(" ");
  EXPECT_EQ(
      names,
      "answered_twice late sent_after_answer no_answer left_open two_at_once ran_twice refused_after_run "
      "sent_to_draining ");
}

}  // namespace
}  // namespace finchstile::trace
