// Votes of other gateways, and the time since which a quorum agrees.
#include "membership/observation_votes.hpp"

#include <gtest/gtest.h>

namespace finchstile::membership {
namespace {

using std::chrono::seconds;

TEST(ObservationVotes, QuorumExistsSinceTheOldestOfItsVotes) {
  ObservationVotes votes;
  votes.add(1, seconds(10), 5);
  EXPECT_EQ(votes.quorumSince(2), Time{});
  votes.add(2, seconds(12), 5);
  EXPECT_EQ(votes.quorumSince(2), Time(seconds(10)));
  votes.add(3, seconds(11), 5);
  EXPECT_EQ(votes.quorumSince(2), Time(seconds(11)));
}

TEST(ObservationVotes, RepeatedObservationsOfAGatewayAreOneVote) {
  ObservationVotes votes;
  votes.add(1, seconds(10), 5);
  votes.add(1, seconds(12), 5);
  votes.add(1, seconds(11), 5);
  EXPECT_EQ(votes.quorumSince(1), Time(seconds(12)));
  EXPECT_EQ(votes.quorumSince(2), Time{});
}

TEST(ObservationVotes, YoungerVoteReplacesTheOldestWhenFull) {
  ObservationVotes votes;
  votes.add(1, seconds(10), 2);
  votes.add(2, seconds(12), 2);
  votes.add(3, seconds(9), 2);
  EXPECT_EQ(votes.quorumSince(2), Time(seconds(10)));
  votes.add(3, seconds(11), 2);
  EXPECT_EQ(votes.quorumSince(2), Time(seconds(11)));
}

TEST(ObservationVotes, DiscardsVotesUpToATime) {
  ObservationVotes votes;
  votes.add(1, seconds(10), 5);
  votes.add(2, seconds(12), 5);
  votes.discardUntil(seconds(10));
  EXPECT_EQ(votes.quorumSince(1), Time(seconds(12)));
  EXPECT_EQ(votes.quorumSince(2), Time{});
}

}  // namespace
}  // namespace finchstile::membership
