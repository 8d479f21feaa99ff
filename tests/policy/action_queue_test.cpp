// ActionQueue: order of actions, and rate limit of log lines.
#include "policy/action_queue.hpp"

#include "support/driver.hpp"

namespace finchstile::load_balancing::testing {
namespace {

TEST(ActionQueue, KeepsOrderOfActions) {
  ActionQueue queue;
  queue.push(ActionKind::sendAttempt, 7, 1, 3, seconds(2)).verifyConnection = true;
  queue.pushPeerMessage(5, "bytes");
  ASSERT_EQ(queue.actions().size(), 2U);
  const Action& sent = queue.actions()[0];
  EXPECT_EQ(sent.kind, ActionKind::sendAttempt);
  EXPECT_EQ(sent.request, 7U);
  EXPECT_EQ(sent.attempt, 1U);
  EXPECT_EQ(sent.host, 3U);
  EXPECT_EQ(sent.duration, seconds(2));
  EXPECT_TRUE(sent.verifyConnection);
  EXPECT_EQ(sent.sendDeadline, Time::max());
  EXPECT_EQ(queue.actions()[1].kind, ActionKind::sendPeerMessage);
  EXPECT_EQ(queue.actions()[1].attempt, 5U);
  EXPECT_EQ(queue.actions()[1].text, "bytes");
}

TEST(ActionQueue, AllowsOneLogLinePerSecond) {
  ActionQueue queue;
  EXPECT_TRUE(queue.mayLog(milliseconds(1)));
  queue.log(milliseconds(1), "line");
  EXPECT_FALSE(queue.mayLog(milliseconds(1000)));
  EXPECT_TRUE(queue.mayLog(milliseconds(1001)));
}

}  // namespace
}  // namespace finchstile::load_balancing::testing
