// Tests of HeldRequests: deadlines of held requests, and the queue of actions.
#include "net/held_requests.hpp"

#include <gtest/gtest.h>

#include <chrono>

namespace finchstile::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

load_balancing::Request requestWithTimeLeft(load_balancing::RequestId id, Duration timeLeft) {
  load_balancing::Request request;
  request.id = id;
  request.timeLeft = timeLeft;
  return request;
}

TEST(HeldRequestsTest, HoldsUntilTwoEventIntervalsBeforeClientDeadline) {
  HeldRequests held;
  EXPECT_EQ(held.hold(seconds(10), requestWithTimeLeft(1, seconds(2)), milliseconds(5)),
            seconds(12) - milliseconds(10));
}

TEST(HeldRequestsTest, HoldsForThreeQuartersOfAShortTimeLeft) {
  HeldRequests held;
  EXPECT_EQ(held.hold(seconds(10), requestWithTimeLeft(1, milliseconds(8)), milliseconds(5)),
            seconds(10) + milliseconds(6));
}

TEST(HeldRequestsTest, DropsReleasedRequest) {
  HeldRequests held;
  const Time until = held.hold(seconds(10), requestWithTimeLeft(7, seconds(2)), milliseconds(5));
  ASSERT_NE(held.find(until, 7), nullptr);
  EXPECT_EQ(held.find(until, 7)->id, 7u);
  EXPECT_EQ(held.nextDeadline(), until);
  EXPECT_FALSE(held.firstExpired(until - milliseconds(1)));
  EXPECT_EQ(held.firstExpired(until), 7u);
  held.release(until, 7);
  EXPECT_EQ(held.find(until, 7), nullptr);
  EXPECT_FALSE(held.firstExpired(until));
  EXPECT_FALSE(held.nextDeadline());
}

TEST(HeldRequestsTest, ReturnsActionsOnceInOrderOfQueueing) {
  HeldRequests held;
  held.queue({HeldRequestAction::Kind::admit, 1, {}});
  held.queue({HeldRequestAction::Kind::abandon, 2, {}});
  EXPECT_TRUE(held.hasActions());
  const std::vector<HeldRequestAction> actions = held.takeActions();
  ASSERT_EQ(actions.size(), 2u);
  EXPECT_EQ(actions[0].request, 1u);
  EXPECT_EQ(actions[1].request, 2u);
  EXPECT_FALSE(held.hasActions());
}

}  // namespace
}  // namespace finchstile::testing
