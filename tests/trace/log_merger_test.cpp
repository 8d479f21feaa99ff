#include "trace/log_merger.hpp"

#include "trace/support.hpp"

namespace finchstile::trace {
namespace {

using testing::kMs;
using LogMergerTest = testing::AttemptLogTest;

TEST_F(LogMergerTest, CountsLinesRequestsAndMissingLines) {
  addProcess(-10, 900);
  lines.push_back(attempt(0, 90, Outcome::served, Execution::yes));
  lines.push_back(request(0, 90, RequestEnd::served));
  lines.push_back(GapLine{"n1", 1500 * kMs, 3});
  const LogMerger log = merged();
  EXPECT_EQ(log.lineCount(), 5u);
  EXPECT_EQ(log.requestCount(), 1u);
  EXPECT_EQ(log.missingLines(), 3u);
  EXPECT_EQ(log.firstLineAtUs(), 990 * kMs);
}

TEST_F(LogMergerTest, AssignsStopsAndGapsToTheProcessThatRanThen) {
  lines.push_back(GapLine{"n1", 1500 * kMs, 3});
  lines.push_back(StopLine{"n1", 1100 * kMs, 2});
  addProcess(200, 0);
  addProcess(0, 0);
  lines.push_back(StopLine{"n2", 1100 * kMs, 7});  // a gateway without a start
  const GatewayProcesses processes = merged().processes();
  ASSERT_EQ(processes.size(), 1u);
  const GatewayProcess* const first = processAt(processes, "n1", 1199 * kMs);
  const GatewayProcess* const second = processAt(processes, "n1", 1200 * kMs);
  ASSERT_NE(first, nullptr);
  ASSERT_NE(second, nullptr);
  EXPECT_EQ(first->stoppedAtUs, 1100 * kMs);
  EXPECT_EQ(first->openRequests, 2u);
  EXPECT_FALSE(first->hasGap);
  EXPECT_EQ(second->stoppedAtUs, 0);
  EXPECT_TRUE(second->hasGap);
  EXPECT_EQ(processAt(processes, "n1", 999 * kMs), nullptr);
  EXPECT_EQ(processAt(processes, "n2", 1200 * kMs), nullptr);
}

TEST_F(LogMergerTest, ReturnsLatestPhaseOfHostAtGateway) {
  lines.push_back(HostLine{"n1", "s-1", 300 * kMs, HostPhase::removed});
  lines.push_back(HostLine{"n1", "s-1", 100 * kMs, HostPhase::draining});
  const LogMerger log = merged();
  EXPECT_EQ(log.hostPhaseAt("n1", "s-1", 99 * kMs), nullptr);
  EXPECT_EQ(log.hostPhaseAt("n1", "s-1", 299 * kMs)->phase, HostPhase::draining);
  EXPECT_EQ(log.hostPhaseAt("n1", "s-1", 300 * kMs)->phase, HostPhase::removed);
  EXPECT_EQ(log.hostPhaseAt("n2", "s-1", 300 * kMs), nullptr);
  EXPECT_EQ(log.hostPhaseAt("n1", "s-2", 300 * kMs), nullptr);
}

}  // namespace
}  // namespace finchstile::trace
