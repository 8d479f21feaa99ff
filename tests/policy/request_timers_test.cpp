// RequestTimers: order by time, then by request.
#include "policy/request_timers.hpp"

#include "support/driver.hpp"

namespace finchstile::load_balancing::testing {
namespace {

TEST(RequestTimers, AreOrderedByTimeThenByRequest) {
  RequestTimers timers;
  timers.add(seconds(2), 1);
  timers.add(seconds(1), 9);
  timers.add(seconds(1), 3);
  EXPECT_EQ(timers.next().dueAt, seconds(1));
  EXPECT_EQ(timers.pop().request, 3U);
  EXPECT_EQ(timers.pop().request, 9U);
  EXPECT_EQ(timers.pop().request, 1U);
  EXPECT_TRUE(timers.isEmpty());
}

}  // namespace
}  // namespace finchstile::load_balancing::testing
