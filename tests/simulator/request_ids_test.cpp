#include "simulator/request_ids.hpp"

#include <gtest/gtest.h>

namespace finchstile::load_balancing::simulator {
namespace {

TEST(RequestIds, KeepsEndedRequestWhileAttemptIsInFlight) {
  RequestIds ids;
  const RequestId id = ids.open("a");
  OpenRequest* const request = ids.find("a");
  ASSERT_NE(request, nullptr);
  request->ended = true;
  request->attemptsInFlight = 1;
  ids.releaseIfEnded(id);
  EXPECT_TRUE(ids.isOpen("a"));
  request->attemptsInFlight = 0;
  ids.releaseIfEnded(id);
  EXPECT_FALSE(ids.isOpen("a"));
}

TEST(RequestIds, IdsAreUniqueAlthoughSlotsAreReused) {
  RequestIds ids;
  const RequestId first = ids.open("a");
  ids.find("a")->ended = true;
  ids.releaseIfEnded(first);
  const RequestId second = ids.open("a");
  EXPECT_NE(first, second);
  EXPECT_EQ(ids.idOf("a"), second);
}

}  // namespace
}  // namespace finchstile::load_balancing::simulator
