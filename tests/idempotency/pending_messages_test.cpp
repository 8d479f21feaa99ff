// Retransmission of messages to other gateways.
#include "idempotency/pending_messages.hpp"

#include <gtest/gtest.h>

namespace finchstile::idempotency {
namespace {

using std::chrono::milliseconds;
using Kind = PendingMessage::Kind;

struct PendingMessagesTest : ::testing::Test {
  OwnershipSettings settings;
  PendingMessages pending{settings};
  Time now = std::chrono::hours(1);

  PendingMessagesTest() {
    settings.retransmitAfter = milliseconds(10);
    settings.maxAttempts = 3;
  }
  void add(RequestId id, Kind kind = Kind::claim) { pending.add(now, id, {kind, 5, 2, "bytes"}); }
};

TEST_F(PendingMessagesTest, RetransmitsUntilAttemptsAreUsedThenGivesUp) {
  add(1);
  EXPECT_EQ(pending.nextDue(), now + milliseconds(10));
  EXPECT_FALSE(pending.nextOverdue(now + milliseconds(9)));
  for (int attempt = 2; attempt <= 3; ++attempt) {
    now += milliseconds(10);
    const auto overdue = pending.nextOverdue(now);
    ASSERT_TRUE(overdue);
    EXPECT_FALSE(overdue->givenUp);
    EXPECT_EQ(overdue->message.payload, "bytes");
    EXPECT_FALSE(pending.nextOverdue(now));
  }
  now += milliseconds(10);
  const auto overdue = pending.nextOverdue(now);
  ASSERT_TRUE(overdue);
  EXPECT_TRUE(overdue->givenUp);
  EXPECT_EQ(overdue->message.run, 5u);
  EXPECT_EQ(pending.size(), 0u);
  EXPECT_FALSE(pending.nextDue());
}

TEST_F(PendingMessagesTest, TakesAnswerOnlyFromReceiverAndOfItsKindOnce) {
  add(1);
  EXPECT_FALSE(pending.takeAnswered(2, 2, Kind::claim));
  EXPECT_FALSE(pending.takeAnswered(1, 3, Kind::claim));
  EXPECT_FALSE(pending.takeAnswered(1, 2, Kind::responseRequest));
  ASSERT_TRUE(pending.takeAnswered(1, 2, Kind::claim));
  EXPECT_FALSE(pending.takeAnswered(1, 2, Kind::claim));
  EXPECT_FALSE(pending.nextDue());
}

TEST_F(PendingMessagesTest, ForgetsCancelledMessages) {
  add(1);
  add(2);
  pending.cancel(1);
  pending.cancel(7);
  EXPECT_EQ(pending.size(), 1u);
  now += milliseconds(10);
  ASSERT_TRUE(pending.nextOverdue(now));
  EXPECT_FALSE(pending.nextOverdue(now));
}

TEST_F(PendingMessagesTest, IsFullAtItsLimit) {
  settings.maxPendingMessages = 2;
  add(1);
  EXPECT_FALSE(pending.isFull());
  add(2);
  EXPECT_TRUE(pending.isFull());
}

}  // namespace
}  // namespace finchstile::idempotency
