// EventLoopLag: which delays of the loop count, and for how long.
#include "net/event_loop_lag.hpp"

#include <gtest/gtest.h>

namespace finchstile::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(EventLoopLagTest, IgnoresLagWithinTheSlackOfDeadlines) {
  EventLoopLag lag;
  lag.record(seconds(1), milliseconds(20));
  EXPECT_EQ(lag.at(seconds(1)), Duration{});
}

TEST(EventLoopLagTest, ReportsLagForATenthOfASecond) {
  EventLoopLag lag;
  lag.record(seconds(1), milliseconds(21));
  EXPECT_EQ(lag.at(seconds(1) + milliseconds(99)), milliseconds(21));
  EXPECT_EQ(lag.at(seconds(1) + milliseconds(100)), Duration{});
}

}  // namespace
}  // namespace finchstile::testing
