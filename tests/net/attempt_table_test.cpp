// Tests of AttemptTable: records and deadlines of attempts.
#include "net/attempt_table.hpp"

#include <gtest/gtest.h>

#include <chrono>

namespace finchstile::testing {
namespace {

using std::chrono::seconds;

Attempt attemptUntil(Time deadline) {
  Attempt attempt;
  attempt.deadline = deadline;
  return attempt;
}

TEST(AttemptTableTest, ExpiresAttemptsInOrderOfDeadlines) {
  AttemptTable table;
  const AttemptId late = table.newId(), early = table.newId();
  EXPECT_FALSE(table.nextDeadline());
  table.add(late, attemptUntil(seconds(9)));
  table.add(early, attemptUntil(seconds(5)));
  EXPECT_EQ(table.nextDeadline(), Time(seconds(5)));
  EXPECT_FALSE(table.firstExpired(seconds(4)));
  EXPECT_EQ(table.firstExpired(seconds(5)), early);
  table.remove(early);
  EXPECT_FALSE(table.firstExpired(seconds(8)));
  EXPECT_EQ(table.firstExpired(seconds(9)), late);
}

TEST(AttemptTableTest, ExpiresAttemptOnlyAtItsNewDeadline) {
  AttemptTable table;
  const AttemptId id = table.newId();
  Attempt& attempt = table.add(id, attemptUntil(seconds(5)));
  table.setDeadline(id, attempt, seconds(7));
  EXPECT_FALSE(table.firstExpired(seconds(6)));
  EXPECT_EQ(table.firstExpired(seconds(7)), id);
}

TEST(AttemptTableTest, RemovesAttemptOnce) {
  AttemptTable table;
  const AttemptId id = table.newId();
  table.add(id, attemptUntil(seconds(5)));
  EXPECT_TRUE(table.contains(id));
  EXPECT_TRUE(table.remove(id));
  EXPECT_FALSE(table.remove(id));
  EXPECT_EQ(table.find(id), nullptr);
  EXPECT_FALSE(table.nextDeadline());
}

}  // namespace
}  // namespace finchstile::testing
