// How much of the log is written.
#include "trace/budget.hpp"

#include <gtest/gtest.h>

#include <string>

namespace finchstile::trace {
namespace {

using namespace std::chrono_literals;

// All gateways keep the lines of the same requests, or a request's way could not be followed.
TEST(TraceBudget, IdsAreChosenAlikeEverywhereAndInTheirShare) {
  int tenth = 0, half = 0;
  for (int i = 0; i < 20000; ++i) {
    const std::string id = "id-" + std::to_string(i);
    EXPECT_TRUE(chosen(id, 1));
    EXPECT_FALSE(chosen(id, 0));
    tenth += chosen(id, 0.1);
    half += chosen(id, 0.5);
    if (chosen(id, 0.1)) EXPECT_TRUE(chosen(id, 0.5)) << id;
  }
  EXPECT_NEAR(tenth, 2000, 200);
  EXPECT_NEAR(half, 10000, 400);
}

// Gateways of different versions have to agree.
TEST(TraceBudget, TheseIdsAreChosen) {
  std::string all;
  for (int i = 0; i < 100; ++i)
    if (chosen("id-" + std::to_string(i), 0.1)) all += std::to_string(i) + " ";
  EXPECT_EQ(all, "11 13 30 31 42 57 84 88 ");
}

TEST(TraceBudget, WhatGoesBeyondTheRateIsCounted) {
  Budget b(10, load_balancing::Time(1s));
  int taken = 0;
  for (int i = 0; i < 25; ++i) taken += b.take(load_balancing::Time(1s));
  EXPECT_EQ(taken, 10);
  EXPECT_EQ(b.takeDropped(), 15u);
  EXPECT_EQ(b.takeDropped(), 0u);
  taken = 0;
  for (int i = 0; i < 5; ++i) taken += b.take(load_balancing::Time(1300ms));
  EXPECT_EQ(taken, 3);
  b.drop(4);
  EXPECT_EQ(b.takeDropped(), 6u);
}

TEST(TraceBudget, AClockThatGoesBackAddsNothing) {
  Budget b(1, load_balancing::Time(10s));
  EXPECT_TRUE(b.take(load_balancing::Time(10s)));
  EXPECT_FALSE(b.take(load_balancing::Time(5s)));
  EXPECT_FALSE(b.take(load_balancing::Time(10s)));
  EXPECT_TRUE(b.take(load_balancing::Time(11s)));
}

}  // namespace
}  // namespace finchstile::trace
