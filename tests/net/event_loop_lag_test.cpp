// Tests of EventLoopLag: which delays of the event loop it reports, and for how long.
#include "net/event_loop_lag.hpp"

#include <gtest/gtest.h>

namespace finchstile::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(EventLoopLagTest, IgnoresLagWithinSlackOfDeadlines) {
  EventLoopLag lag;
  lag.record(seconds(1), milliseconds(20));
  EXPECT_EQ(lag.at(seconds(1)), Duration{});
}

TEST(EventLoopLagTest, ReportsLagFor100Milliseconds) {
  EventLoopLag lag;
  lag.record(seconds(1), milliseconds(21));
  EXPECT_EQ(lag.at(seconds(1) + milliseconds(99)), milliseconds(21));
  EXPECT_EQ(lag.at(seconds(1) + milliseconds(100)), Duration{});
}

}  // namespace
}  // namespace finchstile::testing
