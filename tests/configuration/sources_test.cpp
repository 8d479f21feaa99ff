// Which control machine is asked and when, on a simulated clock.
#include "configuration/sources.hpp"

#include <gtest/gtest.h>

#include <map>
#include <random>

namespace finchstile::configuration::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::vector<std::string> kFour = {"10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000", "10.0.0.4:7000"};

std::string gateway(int i) { return "gateway-" + std::to_string(i); }

TEST(Sources, GatewaysSpreadOverTheMachinesAndKeepToTheirs) {
  std::map<std::size_t, int> first;
  for (int i = 0; i < 520; ++i) ++first[Sources(kFour, gateway(i), {}).order().front()];
  ASSERT_EQ(first.size(), 4u);
  for (const auto& [source, count] : first) {
    EXPECT_GT(count, 95) << source;  // 130 each, on the mean
    EXPECT_LT(count, 165) << source;
  }
  EXPECT_EQ(Sources(kFour, gateway(7), {}).order(), Sources(kFour, gateway(7), {}).order());
}

TEST(Sources, WhoseMachineFailsSpreadOverAllOthers) {
  std::map<std::size_t, int> second;
  for (int i = 0; i < 520; ++i) {
    Sources sources(kFour, gateway(i), {});
    if (sources.order().front() == 0) ++second[sources.order()[1]];
  }
  ASSERT_EQ(second.size(), 3u);
  for (const auto& [source, count] : second) EXPECT_GT(count, 25) << source;
}

TEST(Sources, AnotherMachineIsAskedWithinTheFailoverTimeAndItsOwnAtOnce) {
  Sources sources(kFour, "n0", {milliseconds(250), seconds(1), seconds(30)});
  const std::size_t first = sources.order()[0], second = sources.order()[1];
  sources.asked(first);
  EXPECT_EQ(sources.choose(seconds(10), 0.9).source, first);
  EXPECT_EQ(sources.choose(seconds(10), 0.9).at, Time(seconds(10)));
  sources.failed(first, seconds(10), 0.5);
  const Sources::Choice next = sources.choose(seconds(10), 0.4);
  EXPECT_EQ(next.source, second);
  EXPECT_EQ(next.at, Time(seconds(10) + milliseconds(100)));
}

TEST(Sources, AFailedMachineIsLeftAloneForLongerEachTimeWithFullJitter) {
  Sources sources({kFour[0]}, "n0", {milliseconds(250), seconds(1), seconds(30)});
  const auto waitAfterFailure = [&](double unit) {
    sources.failed(0, seconds(100), unit);
    return sources.choose(seconds(100), 0).at - seconds(100);
  };
  EXPECT_EQ(waitAfterFailure(0), seconds(1));
  EXPECT_EQ(waitAfterFailure(0.5), seconds(1) + seconds(2));
  EXPECT_EQ(waitAfterFailure(0.5), seconds(1) + seconds(4));
  for (int i = 0; i < 100; ++i) EXPECT_LE(waitAfterFailure(0.999), seconds(31));
  sources.answered(0);
  EXPECT_EQ(waitAfterFailure(0.5), seconds(1) + seconds(1));
}

TEST(Sources, AMachineThatIsBackIsAskedAgain) {
  Sources sources(kFour, "n0", {});
  sources.failed(sources.order()[0], seconds(10), 0.5);
  sources.asked(sources.order()[1]);
  EXPECT_EQ(sources.choose(seconds(10), 0.5).source, sources.order()[1]);
  EXPECT_EQ(sources.choose(seconds(20), 0.5).source, sources.order()[0]);
}

TEST(Sources, OneThatAsksForPatienceIsGivenIt) {
  Sources sources({kFour[0]}, "n0", {milliseconds(250), seconds(1), seconds(30)});
  sources.busy(0, seconds(10), seconds(4), 0.25);
  EXPECT_EQ(sources.choose(seconds(10), 0).at, Time(seconds(15)));
  sources.busy(0, seconds(10), std::chrono::hours(24), 0.999);  // an absurd one is cut
  EXPECT_LE(sources.choose(seconds(10), 0).at, Time(seconds(70)));
}

// Hard case: all machines are gone for an hour, and back. Calls of 520 gateways in the hour, and in its worst
// second.
TEST(Sources, AnHourWithNoMachineCostsFewCallsAndTheReturnIsSpread) {
  const SourceSettings settings;
  std::map<std::int64_t, int> callsIn;  // by second
  std::mt19937_64 engine(11);
  const auto unit = [&] { return static_cast<double>(engine() >> 11) * 0x1.0p-53; };
  for (int i = 0; i < 520; ++i) {
    Sources sources(kFour, gateway(i), settings);
    for (Time now = seconds(1); now < seconds(3601);) {
      const Sources::Choice choice = sources.choose(now, unit());
      now = choice.at;
      sources.asked(choice.source);
      ++callsIn[std::chrono::duration_cast<seconds>(now).count()];
      now += milliseconds(500);  // silence
      sources.failed(choice.source, now, unit());
    }
  }
  int worst = 0, all = 0;
  for (const auto& [second, calls] : callsIn) {
    all += calls;
    if (second > 60) worst = std::max(worst, calls);
  }
  EXPECT_LT(all / 520, 3600);  // less than one a second each
  EXPECT_LT(worst, 520);
}

}  // namespace
}  // namespace finchstile::configuration::testing
