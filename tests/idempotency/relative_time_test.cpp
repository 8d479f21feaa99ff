// Conversion of times in messages between gateways, which share no clock.
#include "idempotency/relative_time.hpp"

#include <gtest/gtest.h>

namespace finchstile::idempotency {
namespace {

using std::chrono::hours;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time kNow = hours(24);

TEST(RelativeTime, AgeIncludesTheTimeOfADatagramAndIsRoundedUp) {
  const AttemptLocation location = toLocation(kNow, {"east", 3, kNow - seconds(2) - microseconds(1)});
  EXPECT_EQ(location.zone, "east");
  EXPECT_EQ(location.cell, 3);
  EXPECT_EQ(location.ageMs, 2101u);
  const EarlierAttempt attempt = toEarlierAttempt(kNow, location);
  EXPECT_EQ(attempt.zone, "east");
  EXPECT_EQ(attempt.cell, 3);
  EXPECT_EQ(attempt.sentAt, kNow - milliseconds(2101));
}

TEST(RelativeTime, UnknownAttemptsStayUnknown) {
  EXPECT_EQ(toLocation(kNow, {"east", 3, Time{}}).ageMs, AttemptLocation::kUnknownAge);
  EXPECT_EQ(toLocation(kNow, {"east", 3, kNow + hours(1)}).ageMs, AttemptLocation::kUnknownAge);
  EXPECT_EQ(toLocation(hours(2400), {"east", 3, hours(1)}).ageMs, AttemptLocation::kUnknownAge);
  EXPECT_EQ(toEarlierAttempt(kNow, {"east", 3, AttemptLocation::kUnknownAge}).sentAt, Time{});
  EXPECT_EQ(toEarlierAttempt(seconds(1), {"east", 3, 1000}).sentAt, Time{});
}

TEST(RelativeTime, RemainingTimesStayWithinTheRetention) {
  EXPECT_EQ(remainingMilliseconds(kNow, kNow + microseconds(1001), seconds(10)), 2u);
  EXPECT_EQ(remainingMilliseconds(kNow, kNow - seconds(1), seconds(10)), 0u);
  EXPECT_EQ(remainingMilliseconds(kNow, kNow + seconds(11), seconds(10)), 10'000u);
  EXPECT_EQ(deadlineAfter(kNow, 500, seconds(10)), kNow + milliseconds(500));
  EXPECT_EQ(deadlineAfter(kNow, 11'000, seconds(10)), kNow + seconds(10));
}

TEST(RelativeTime, MergesAttemptsOfOneCellToTheEarlierOne) {
  const EarlierAttempt first{"east", 3, seconds(1)}, second{"east", 3, seconds(2)};
  EXPECT_EQ(mergeEarlierAttempts(first, second).sentAt, seconds(1));
  EXPECT_EQ(mergeEarlierAttempts(second, first).sentAt, seconds(1));
  EXPECT_EQ(mergeEarlierAttempts(first, {"west", 3, seconds(1)}).sentAt, Time{});
  EXPECT_EQ(mergeEarlierAttempts(first, {"east", 4, seconds(1)}).sentAt, Time{});
}

}  // namespace
}  // namespace finchstile::idempotency
