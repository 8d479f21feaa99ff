// DiscoveryBackoff: when discovery is polled again.
#include "policy/discovery_backoff.hpp"

#include <algorithm>

#include "support/driver.hpp"

namespace finchstile::load_balancing::testing {
namespace {

TEST(DiscoveryBackoff, PollsAtOnceAndAgainWithinTheLimitAfterFailures) {
  Settings s = makeSettings();
  s.pollsDiscovery = true;
  s.maxDiscoverySilence = seconds(3);
  Driver d(s, 3);
  EXPECT_EQ(d.count(ActionKind::pollDiscovery), 1u);
  Time asked = d.now;
  for (int i = 0; i < 8; ++i) {
    d.balancer.onHostListUpdate(d.now, HostListUpdate::unavailable, {});
    d.collect();
    const std::size_t before = d.count(ActionKind::pollDiscovery);
    while (d.count(ActionKind::pollDiscovery) == before && d.now - asked < s.maxDiscoverySilence)
      d.advance(milliseconds(50));
    EXPECT_EQ(d.count(ActionKind::pollDiscovery), before + 1);
    EXPECT_GT(d.now, asked) << "no storm";
    EXPECT_LT(d.now - asked, s.maxDiscoverySilence);
    asked = d.now;
  }
  d.request(0);
  EXPECT_EQ(d.sent.size(), 1u) << "the last list stays in use";
}

// A whole fleet moves to a discovery that rejects calls while it is full. Its list counts as known 4 s later,
// so the pauses must not grow; and one that stays silent is not polled at that pace for ever.
TEST(DiscoveryBackoff, PollsMoreOftenAfterMoveUntilTheFirstAnswer) {
  Settings s = makeSettings();
  s.pollsDiscovery = true;
  s.maxDiscoverySilence = seconds(10);
  Driver d(s, 3);
  const auto failing = [&](Time until) {  // the times of calls that are turned away at once
    std::vector<Time> calls;
    while (d.now < until) {
      d.balancer.onHostListUpdate(d.now, HostListUpdate::unavailable, {});
      d.collect();
      const std::size_t before = d.count(ActionKind::pollDiscovery);
      while (d.count(ActionKind::pollDiscovery) == before && d.now < until) d.advance(milliseconds(5));
      calls.push_back(d.now);
    }
    return calls;
  };
  failing(d.now + seconds(6));  // it has failed for long
  const Time discoveryMoved = d.now;
  d.balancer.onHostListUpdate(d.now, HostListUpdate::discoveryMoved, {});
  d.collect();
  const std::vector<Time> calls = failing(discoveryMoved + seconds(4));
  EXPECT_GE(calls.size(), 15u);
  EXPECT_LE(calls.size(), 80u) << "a storm";
  Duration longest{};
  for (std::size_t i = 1; i < calls.size(); ++i) longest = std::max(longest, calls[i] - calls[i - 1]);
  EXPECT_LE(longest, milliseconds(260));
  // Who has waited longer asks more often: it is heard first.
  const auto in = [&](Time from, Time to) {
    return std::count_if(calls.begin(), calls.end(), [&](Time t) { return t >= from && t < to; });
  };
  EXPECT_GT(in(discoveryMoved + seconds(2), discoveryMoved + seconds(4)),
            in(discoveryMoved, discoveryMoved + seconds(2)));
  failing(discoveryMoved + seconds(9));
  // As ever once the hurry is over: no wait of over 2 s, and about one call in a second.
  const Time over = d.now;
  std::vector<Time> ever = failing(over + seconds(20));
  EXPECT_LE(ever.size(), 28u);
  ever.insert(ever.begin(), over);
  for (std::size_t i = 1; i < ever.size(); ++i) EXPECT_LE(ever[i] - ever[i - 1], milliseconds(2010));
  // A word ends it at once.
  d.balancer.onHostListUpdate(d.now, HostListUpdate::discoveryMoved, {});
  d.balancer.onHostListUpdate(d.now, HostListUpdate::incremental, {});
  d.collect();
  EXPECT_LE(failing(d.now + seconds(4)).size(), 9u);
}

// A list counts as known 6 s after discovery could be reached, whatever pause a failed call allows. A call
// that is out then may still fail (2 s), and the answer of the next may take 1.5 s.
TEST(DiscoveryBackoff, PollsWellWithinSixSecondsAfterAnyFailure) {
  for (const int within : {0, 3, 10, 120})
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      Settings s = makeSettings();
      s.pollsDiscovery = true;
      s.maxDiscoverySilence = seconds(within);
      s.seed = seed;
      Driver d(s, 3);
      for (int failures = 0; failures < 12; ++failures) {
        d.advance(milliseconds(1500), milliseconds(50));  // it was out for so long
        d.balancer.onHostListUpdate(d.now, HostListUpdate::unavailable, {});
        d.collect();
        const Time failed = d.now;
        const std::size_t before = d.count(ActionKind::pollDiscovery);
        while (d.count(ActionKind::pollDiscovery) == before && d.now < failed + seconds(6))
          d.advance(milliseconds(5));
        ASSERT_LE(d.now - failed, milliseconds(2010)) << within << " s, failure " << failures;
        if (failures == 0)
          ASSERT_LE(d.now - failed, milliseconds(510)) << "the first one: a watch fell silent";
        ASSERT_GE(d.now - failed, milliseconds(50)) << "a storm";
      }
    }
}

// Three hundred gateways lose discovery in one instant: no second of the next ten has more than twice its
// part of their calls.
TEST(DiscoveryBackoff, SpreadsPollsOfAFleetThatLosesDiscoveryTogether) {
  constexpr int kGateways = 300;
  std::vector<int> calls(10);
  for (int g = 0; g < kGateways; ++g) {
    Settings s = makeSettings();
    s.pollsDiscovery = true;
    s.maxDiscoverySilence = seconds(10);
    s.seed = static_cast<std::uint64_t>(g) + 1;
    Driver d(s, 3);
    const Time lost = d.now;
    while (d.now < lost + seconds(10)) {
      d.balancer.onHostListUpdate(d.now, HostListUpdate::unavailable, {});
      d.collect();
      const std::size_t before = d.count(ActionKind::pollDiscovery);
      while (d.count(ActionKind::pollDiscovery) == before) d.advance(milliseconds(5));
      const auto second = static_cast<std::size_t>((d.now - lost) / seconds(1));
      if (second < calls.size()) ++calls[second];
    }
  }
  for (std::size_t i = 2; i < calls.size(); ++i) {  // the first tries follow sooner
    EXPECT_LT(calls[i], 2 * kGateways) << "second " << i;
    EXPECT_GT(calls[i], kGateways / 2) << "second " << i;
  }
}

TEST(DiscoveryBackoff, PollsAgainAfterLostAnswerButNotAfterAnAnswer) {
  Settings s = makeSettings();
  s.pollsDiscovery = true;
  s.maxDiscoverySilence = seconds(3);
  Driver d(s, 3);
  d.advance(seconds(2), milliseconds(50));
  EXPECT_EQ(d.count(ActionKind::pollDiscovery), 2u);
  d.balancer.onHostListUpdate(d.now, HostListUpdate::incremental, {});
  d.advance(seconds(10), milliseconds(50));
  EXPECT_EQ(d.count(ActionKind::pollDiscovery), 2u);
}

TEST(DiscoveryBackoff, WaitsForAnAnswerUnlessItIsLost) {
  Settings settings = makeSettings();
  settings.pollsDiscovery = true;
  settings.maxDiscoverySilence = seconds(4);
  DiscoveryBackoff backoff(settings);
  EXPECT_TRUE(backoff.isDue(seconds(1)));
  backoff.onPoll(seconds(1));
  EXPECT_FALSE(backoff.isDue(seconds(3))) << "half of the silence has not passed";
  EXPECT_TRUE(backoff.isDue(seconds(3) + Duration(1)));
  backoff.onAnswer();
  EXPECT_FALSE(backoff.isDue(seconds(100))) << "an answer ends the wait";
}

TEST(DiscoveryBackoff, FirstPauseIsHalfASecondAtMost) {
  Settings settings = makeSettings();
  settings.pollsDiscovery = true;
  RandomSource random(1);
  for (int i = 0; i < 100; ++i) {
    DiscoveryBackoff backoff(settings);
    backoff.onPoll(seconds(1));
    backoff.onUnavailable(seconds(1), random);
    EXPECT_FALSE(backoff.isDue(seconds(1) + milliseconds(49)));
    EXPECT_TRUE(backoff.isDue(seconds(1) + milliseconds(500)));
  }
}

}  // namespace
}  // namespace finchstile::load_balancing::testing
