// Loss and recovery of a gateway's reputation.
#include "membership/peer_reputation.hpp"

#include <gtest/gtest.h>

namespace finchstile::membership {
namespace {

using std::chrono::seconds;

TEST(PeerReputation, UnconfirmedAssertionsCostAPointEach) {
  PeerReputation reputation(2, seconds(60), seconds(100));
  EXPECT_TRUE(reputation.isTrusted());
  reputation.penalize(seconds(100));
  EXPECT_TRUE(reputation.isTrusted());
  reputation.penalize(seconds(100));
  EXPECT_FALSE(reputation.isTrusted());
}

TEST(PeerReputation, PointsAreRegainedUpToTheMaximum) {
  PeerReputation reputation(2, seconds(60), seconds(100));
  reputation.penalize(seconds(100));
  reputation.penalize(seconds(100));
  reputation.recover(seconds(159));
  EXPECT_FALSE(reputation.isTrusted());
  reputation.recover(seconds(161));
  EXPECT_TRUE(reputation.isTrusted());
  reputation.recover(seconds(10'000));
  reputation.openAssertion();
  EXPECT_TRUE(reputation.coversAnotherAssertion());
  reputation.openAssertion();
  EXPECT_FALSE(reputation.coversAnotherAssertion());
}

TEST(PeerReputation, EachOpenAssertionReservesAPointUntilItIsClosed) {
  PeerReputation reputation(1, seconds(60), seconds(100));
  EXPECT_TRUE(reputation.coversAnotherAssertion());
  reputation.openAssertion();
  EXPECT_EQ(reputation.openAssertions(), 1u);
  EXPECT_FALSE(reputation.coversAnotherAssertion());
  reputation.closeAssertion();
  EXPECT_TRUE(reputation.coversAnotherAssertion());
}

}  // namespace
}  // namespace finchstile::membership
