// Which control machine is polled and when, on a simulated clock.
#include "configuration/control_plane_endpoints.hpp"

#include <gtest/gtest.h>

#include <map>
#include <random>

namespace finchstile::configuration::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::vector<std::string> kFour = {"10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000", "10.0.0.4:7000"};

std::string gateway(int i) { return "gateway-" + std::to_string(i); }

TEST(Sources, SpreadsGatewaysEvenlyAndKeepsTheirPreference) {
  std::map<std::size_t, int> gatewaysByEndpoint;
  for (int i = 0; i < 520; ++i)
    ++gatewaysByEndpoint[ControlPlaneEndpoints(kFour, gateway(i), {}).preferenceOrder().front()];
  ASSERT_EQ(gatewaysByEndpoint.size(), 4u);
  for (const auto& [source, count] : gatewaysByEndpoint) {
    EXPECT_GT(count, 95) << source;  // the mean is 130
    EXPECT_LT(count, 165) << source;
  }
  EXPECT_EQ(ControlPlaneEndpoints(kFour, gateway(7), {}).preferenceOrder(),
            ControlPlaneEndpoints(kFour, gateway(7), {}).preferenceOrder());
}

TEST(Sources, SpreadsGatewaysOfAFailedMachineOverAllOthers) {
  std::map<std::size_t, int> second;
  for (int i = 0; i < 520; ++i) {
    ControlPlaneEndpoints sources(kFour, gateway(i), {});
    if (sources.preferenceOrder().front() == 0) ++second[sources.preferenceOrder()[1]];
  }
  ASSERT_EQ(second.size(), 3u);
  for (const auto& [source, count] : second) EXPECT_GT(count, 25) << source;
}

TEST(Sources, DelaysFailoverToAnotherMachineButNotThePreferredOne) {
  ControlPlaneEndpoints sources(kFour, "n0", {milliseconds(250), seconds(1), seconds(30)});
  const std::size_t first = sources.preferenceOrder()[0], second = sources.preferenceOrder()[1];
  sources.onPolled(first);
  EXPECT_EQ(sources.choose(seconds(10), 0.9).endpoint, first);
  EXPECT_EQ(sources.choose(seconds(10), 0.9).notBefore, Time(seconds(10)));
  sources.onFailure(first, seconds(10), 0.5);
  const ControlPlaneEndpoints::Choice next = sources.choose(seconds(10), 0.4);
  EXPECT_EQ(next.endpoint, second);
  EXPECT_EQ(next.notBefore, Time(seconds(10) + milliseconds(100)));
}

TEST(Sources, BacksOffExponentiallyWithFullJitter) {
  ControlPlaneEndpoints sources({kFour[0]}, "n0", {milliseconds(250), seconds(1), seconds(30)});
  const auto waitAfterFailure = [&](double unit) {
    sources.onFailure(0, seconds(100), unit);
    return sources.choose(seconds(100), 0).notBefore - seconds(100);
  };
  EXPECT_EQ(waitAfterFailure(0), seconds(1));
  EXPECT_EQ(waitAfterFailure(0.5), seconds(1) + seconds(2));
  EXPECT_EQ(waitAfterFailure(0.5), seconds(1) + seconds(4));
  for (int i = 0; i < 100; ++i) EXPECT_LE(waitAfterFailure(0.999), seconds(31));
  sources.onSuccess(0);
  EXPECT_EQ(waitAfterFailure(0.5), seconds(1) + seconds(1));
}

TEST(Sources, ReturnsToThePreferredMachineAfterItsBackoff) {
  ControlPlaneEndpoints sources(kFour, "n0", {});
  sources.onFailure(sources.preferenceOrder()[0], seconds(10), 0.5);
  sources.onPolled(sources.preferenceOrder()[1]);
  EXPECT_EQ(sources.choose(seconds(10), 0.5).endpoint, sources.preferenceOrder()[1]);
  EXPECT_EQ(sources.choose(seconds(20), 0.5).endpoint, sources.preferenceOrder()[0]);
}

TEST(Sources, HonoursRetryAfterUpToTheMaximumBackoff) {
  ControlPlaneEndpoints sources({kFour[0]}, "n0", {milliseconds(250), seconds(1), seconds(30)});
  sources.onRetryAfter(0, seconds(10), seconds(4), 0.25);
  EXPECT_EQ(sources.choose(seconds(10), 0).notBefore, Time(seconds(15)));
  sources.onRetryAfter(0, seconds(10), std::chrono::hours(24), 0.999);  // bounded by the maximum backoff
  EXPECT_LE(sources.choose(seconds(10), 0).notBefore, Time(seconds(70)));
}

// All machines are down for an hour: polls of 520 gateways in the hour, and in its worst second.
TEST(Sources, BoundsAndSpreadsPollsWhileAllMachinesAreDown) {
  const BackoffSettings settings;
  std::map<std::int64_t, int> pollsPerSecond;
  std::mt19937_64 engine(11);
  const auto unit = [&] { return static_cast<double>(engine() >> 11) * 0x1.0p-53; };
  for (int i = 0; i < 520; ++i) {
    ControlPlaneEndpoints sources(kFour, gateway(i), settings);
    for (Time now = seconds(1); now < seconds(3601);) {
      const ControlPlaneEndpoints::Choice choice = sources.choose(now, unit());
      now = choice.notBefore;
      sources.onPolled(choice.endpoint);
      ++pollsPerSecond[std::chrono::duration_cast<seconds>(now).count()];
      now += milliseconds(500);  // the silence timeout
      sources.onFailure(choice.endpoint, now, unit());
    }
  }
  int worst = 0, all = 0;
  for (const auto& [second, calls] : pollsPerSecond) {
    all += calls;
    if (second > 60) worst = std::max(worst, calls);
  }
  EXPECT_LT(all / 520, 3600);  // fewer than one per second and gateway
  EXPECT_LT(worst, 520);
}

}  // namespace
}  // namespace finchstile::configuration::testing
