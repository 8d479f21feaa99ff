#include "trace/log_totals.hpp"

#include "trace/support.hpp"

namespace finchstile::trace {
namespace {

using LogTotalsTest = testing::AttemptLogTest;

TEST_F(LogTotalsTest, AddsUpByHostSecondGatewayAndClass) {
  lines.push_back(attempt(0, 90, Outcome::served, Execution::yes));
  lines.push_back(attempt(1500, 1600, Outcome::rejectedForCapacity, Execution::no));
  lines.push_back(request(0, 90, RequestEnd::served));
  auto unsent = request(1500, 1500, RequestEnd::rejected);
  unsent.attempts = 0;
  lines.push_back(unsent);
  const auto hosts = totalsBy(merged(), GroupBy::host);
  ASSERT_EQ(hosts.count("s-1"), 1u);
  EXPECT_EQ(hosts.at("s-1").attempts, 2u);
  EXPECT_EQ(hosts.at("s-1").rejectedForCapacity, 1u);
  EXPECT_EQ(hosts.at("s-1").servedTimeUs, 90'000u);
  const auto seconds = totalsBy(merged(), GroupBy::second);
  ASSERT_EQ(seconds.size(), 2u);
  EXPECT_EQ(seconds.at("000000").answered, 1u);
  EXPECT_EQ(seconds.at("000001").rejectedWithoutAttempt, 1u);
  EXPECT_EQ(totalsBy(merged(), GroupBy::gateway).at("n1").requests, 2u);
  EXPECT_EQ(totalsBy(merged(), GroupBy::className).at("read").rejected, 1u);
}

}  // namespace
}  // namespace finchstile::trace
