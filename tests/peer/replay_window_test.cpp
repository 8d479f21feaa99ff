// Rejection of replayed datagrams.
#include "peer/replay_window.hpp"

#include <gtest/gtest.h>

namespace finchstile::peer {
namespace {

TEST(ReplayWindow, AcceptsEachNumberOfAnEpochOnce) {
  ReplayWindow window;
  EXPECT_TRUE(window.accept(5, 100));
  EXPECT_FALSE(window.accept(5, 100));
  EXPECT_TRUE(window.accept(5, 99));  // reordered
  EXPECT_FALSE(window.accept(5, 99));
  EXPECT_TRUE(window.accept(5, 163));
  EXPECT_FALSE(window.accept(5, 100));
  EXPECT_TRUE(window.accept(5, 101));
  EXPECT_FALSE(window.accept(5, 98));  // below the window
  EXPECT_TRUE(window.accept(5, 1'000'000));
  EXPECT_FALSE(window.accept(5, 163));
  EXPECT_FALSE(window.accept(4, 2'000'000));  // earlier epoch
  EXPECT_TRUE(window.accept(6, 1));
  EXPECT_FALSE(window.accept(5, 1'000'001));
}

}  // namespace
}  // namespace finchstile::peer
