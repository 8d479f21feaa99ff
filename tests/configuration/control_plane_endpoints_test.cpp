// Selection of the control machine to poll and the time of the poll, with a simulated clock.
#include "configuration/control_plane_endpoints.hpp"

#include <gtest/gtest.h>

#include <map>
#include <random>

namespace finchstile::configuration::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::vector<std::string> kAddresses = {"10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000",
                                             "10.0.0.4:7000"};

std::string gatewayName(int i) { return "gateway-" + std::to_string(i); }

TEST(EndpointSelection, SpreadsGatewaysEvenlyAndKeepsTheirPreference) {
  std::map<std::size_t, int> gatewaysByEndpoint;
  for (int i = 0; i < 520; ++i)
    ++gatewaysByEndpoint[ControlPlaneEndpoints(kAddresses, gatewayName(i), {}).preferenceOrder().front()];
  ASSERT_EQ(gatewaysByEndpoint.size(), 4u);
  for (const auto& [machine, count] : gatewaysByEndpoint) {
    EXPECT_GT(count, 95) << machine;  // the mean is 130
    EXPECT_LT(count, 165) << machine;
  }
  EXPECT_EQ(ControlPlaneEndpoints(kAddresses, gatewayName(7), {}).preferenceOrder(),
            ControlPlaneEndpoints(kAddresses, gatewayName(7), {}).preferenceOrder());
}

TEST(EndpointSelection, SpreadsGatewaysOfAFailedMachineOverAllOthers) {
  std::map<std::size_t, int> second;
  for (int i = 0; i < 520; ++i) {
    ControlPlaneEndpoints endpoints(kAddresses, gatewayName(i), {});
    if (endpoints.preferenceOrder().front() == 0) ++second[endpoints.preferenceOrder()[1]];
  }
  ASSERT_EQ(second.size(), 3u);
  for (const auto& [machine, count] : second) EXPECT_GT(count, 25) << machine;
}

TEST(EndpointSelection, DelaysFailoverToAnotherMachineButNotThePreferredOne) {
  ControlPlaneEndpoints endpoints(kAddresses, "n0", {milliseconds(250), seconds(1), seconds(30)});
  const std::size_t first = endpoints.preferenceOrder()[0], second = endpoints.preferenceOrder()[1];
  endpoints.onPolled(first);
  EXPECT_EQ(endpoints.choose(seconds(10), 0.9).endpoint, first);
  EXPECT_EQ(endpoints.choose(seconds(10), 0.9).notBefore, Time(seconds(10)));
  endpoints.onFailure(first, seconds(10), 0.5);
  const ControlPlaneEndpoints::Choice next = endpoints.choose(seconds(10), 0.4);
  EXPECT_EQ(next.endpoint, second);
  EXPECT_EQ(next.notBefore, Time(seconds(10) + milliseconds(100)));
}

TEST(EndpointSelection, BacksOffExponentiallyWithFullJitter) {
  ControlPlaneEndpoints endpoints({kAddresses[0]}, "n0", {milliseconds(250), seconds(1), seconds(30)});
  const auto waitAfterFailure = [&](double randomFraction) {
    endpoints.onFailure(0, seconds(100), randomFraction);
    return endpoints.choose(seconds(100), 0).notBefore - seconds(100);
  };
  EXPECT_EQ(waitAfterFailure(0), seconds(1));
  EXPECT_EQ(waitAfterFailure(0.5), seconds(1) + seconds(2));
  EXPECT_EQ(waitAfterFailure(0.5), seconds(1) + seconds(4));
  for (int i = 0; i < 100; ++i) EXPECT_LE(waitAfterFailure(0.999), seconds(31));
  endpoints.onSuccess(0);
  EXPECT_EQ(waitAfterFailure(0.5), seconds(1) + seconds(1));
}

TEST(EndpointSelection, ReturnsToThePreferredMachineAfterItsBackoff) {
  ControlPlaneEndpoints endpoints(kAddresses, "n0", {});
  endpoints.onFailure(endpoints.preferenceOrder()[0], seconds(10), 0.5);
  endpoints.onPolled(endpoints.preferenceOrder()[1]);
  EXPECT_EQ(endpoints.choose(seconds(10), 0.5).endpoint, endpoints.preferenceOrder()[1]);
  EXPECT_EQ(endpoints.choose(seconds(20), 0.5).endpoint, endpoints.preferenceOrder()[0]);
}

TEST(EndpointSelection, HonoursRetryAfterUpToTheMaximumBackoff) {
  ControlPlaneEndpoints endpoints({kAddresses[0]}, "n0", {milliseconds(250), seconds(1), seconds(30)});
  endpoints.onRetryAfter(0, seconds(10), seconds(4), 0.25);
  EXPECT_EQ(endpoints.choose(seconds(10), 0).notBefore, Time(seconds(15)));
  endpoints.onRetryAfter(0, seconds(10), std::chrono::hours(24), 0.999);  // limited by the maximum backoff
  EXPECT_LE(endpoints.choose(seconds(10), 0).notBefore, Time(seconds(70)));
}

// All machines are down for an hour: total number of polls of 520 gateways, and the highest number in one
// second.
TEST(EndpointSelection, LimitsAndSpreadsPollsWhileAllMachinesAreDown) {
  const BackoffSettings settings;
  std::map<std::int64_t, int> pollsPerSecond;
  std::mt19937_64 engine(11);
  const auto randomFraction = [&] { return static_cast<double>(engine() >> 11) * 0x1.0p-53; };
  for (int i = 0; i < 520; ++i) {
    ControlPlaneEndpoints endpoints(kAddresses, gatewayName(i), settings);
    for (Time now = seconds(1); now < seconds(3601);) {
      const ControlPlaneEndpoints::Choice choice = endpoints.choose(now, randomFraction());
      now = choice.notBefore;
      endpoints.onPolled(choice.endpoint);
      ++pollsPerSecond[std::chrono::duration_cast<seconds>(now).count()];
      now += milliseconds(500);  // the silence timeout
      endpoints.onFailure(choice.endpoint, now, randomFraction());
    }
  }
  int maxPollsPerSecond = 0, totalPolls = 0;
  for (const auto& [second, polls] : pollsPerSecond) {
    totalPolls += polls;
    if (second > 60) maxPollsPerSecond = std::max(maxPollsPerSecond, polls);
  }
  EXPECT_LT(totalPolls / 520, 3600);  // fewer than one per second and gateway
  EXPECT_LT(maxPollsPerSecond, 520);
}

}  // namespace
}  // namespace finchstile::configuration::testing
