#include "trace/request_history.hpp"

#include "trace/support.hpp"

namespace finchstile::trace {
namespace {

using RequestHistoryTest = testing::AttemptLogTest;

TEST_F(RequestHistoryTest, FormatsTheTimelineInOrderOfTime) {
  lines.push_back(request(0, 200, RequestEnd::served));
  lines.push_back(attempt(2, 50, Outcome::rejectedForCapacity, Execution::no));
  const std::string timeline = formatTimeline(merged().history("x"));
  EXPECT_EQ(timeline,
            "    +0.000 ms  n1 takes it, read (safe), its client waits 500 ms\n"
            "    +2.000 ms  n1 attempt 0 to s-1 (a): list's word 100 ms ago, sign of life never, up 0 ms\n"
            "   +50.000 ms  n1 attempt 0: full by host, ran: no, first byte 0.3 ms after its choice\n"
            "  +200.000 ms  n1: served, 200, after 1 attempts, cutoff 0\n");
  EXPECT_LT(timeline.find("takes it"), timeline.find("attempt 0 to s-1"));
  EXPECT_LT(timeline.find("full by host"), timeline.find("served, 200"));
  EXPECT_NE(timeline.find("list's word 100 ms ago, sign of life never"), std::string::npos) << timeline;
  EXPECT_EQ(formatTimeline(merged().history("y")), "");
}

TEST_F(RequestHistoryTest, FindsTheLatestArrivalBeforeAnAttemptAtItsGateway) {
  lines.push_back(request(100, 150, RequestEnd::served));
  lines.push_back(request(0, 50, RequestEnd::rejected));
  const RequestHistory history = merged().history("x");
  EXPECT_EQ(requestOf(history, attempt(99, 120, Outcome::served, Execution::yes)), &history.requests[0]);
  EXPECT_EQ(requestOf(history, attempt(100, 120, Outcome::served, Execution::yes)), &history.requests[1]);
  EXPECT_EQ(requestOf(history, attempt(-1, 120, Outcome::served, Execution::yes)), nullptr);
  AttemptLine elsewhere = attempt(100, 120, Outcome::served, Execution::yes);
  elsewhere.gateway = "n2";
  EXPECT_EQ(requestOf(history, elsewhere), nullptr);
}

}  // namespace
}  // namespace finchstile::trace
