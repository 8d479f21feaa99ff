// DiscoveryBackoff: times of polls after failures, migrations and lost answers.
#include "policy/discovery_backoff.hpp"

#include <algorithm>

#include "support/driver.hpp"

namespace finchstile::load_balancing::testing {
namespace {

TEST(DiscoveryBackoff, PollsImmediatelyAndWithinTheLimitAfterFailures) {
  Settings s = makeSettings();
  s.pollsDiscovery = true;
  s.maxDiscoverySilence = seconds(3);
  Driver d(s, 3);
  EXPECT_EQ(d.count(ActionKind::pollDiscovery), 1u);
  Time lastPollAt = d.now;
  for (int i = 0; i < 8; ++i) {
    d.balancer.onHostListUpdate(d.now, HostListUpdate::unavailable, {});
    d.collect();
    const std::size_t before = d.count(ActionKind::pollDiscovery);
    while (d.count(ActionKind::pollDiscovery) == before && d.now - lastPollAt < s.maxDiscoverySilence)
      d.advance(milliseconds(50));
    EXPECT_EQ(d.count(ActionKind::pollDiscovery), before + 1);
    EXPECT_GT(d.now, lastPollAt) << "polls must not follow immediately";
    EXPECT_LT(d.now - lastPollAt, s.maxDiscoverySilence);
    lastPollAt = d.now;
  }
  d.request(0);
  EXPECT_EQ(d.sent.size(), 1u) << "the last list stays in use";
}

// A fleet migrates to a discovery service that rejects polls while it is full. Every gateway must have its
// list within 4 s, so the pauses must not grow; but a service that stays unavailable must not be polled at
// that rate forever.
TEST(DiscoveryBackoff, PollsMoreOftenAfterMigrationUntilFirstAnswer) {
  Settings s = makeSettings();
  s.pollsDiscovery = true;
  s.maxDiscoverySilence = seconds(10);
  Driver d(s, 3);
  const auto failPollsUntil = [&](Time until) {  // the times of polls that are rejected immediately
    std::vector<Time> polls;
    while (d.now < until) {
      d.balancer.onHostListUpdate(d.now, HostListUpdate::unavailable, {});
      d.collect();
      const std::size_t before = d.count(ActionKind::pollDiscovery);
      while (d.count(ActionKind::pollDiscovery) == before && d.now < until) d.advance(milliseconds(5));
      polls.push_back(d.now);
    }
    return polls;
  };
  failPollsUntil(d.now + seconds(6));  // the pauses have grown
  const Time discoveryMoved = d.now;
  d.balancer.onHostListUpdate(d.now, HostListUpdate::discoveryMoved, {});
  d.collect();
  const std::vector<Time> polls = failPollsUntil(discoveryMoved + seconds(4));
  EXPECT_GE(polls.size(), 15u);
  EXPECT_LE(polls.size(), 80u) << "polls follow too quickly";
  Duration longest{};
  for (std::size_t i = 1; i < polls.size(); ++i) longest = std::max(longest, polls[i] - polls[i - 1]);
  EXPECT_LE(longest, milliseconds(260));
  // Gateways that have waited longer poll more often, so that they are served first.
  const auto pollsBetween = [&](Time from, Time to) {
    return std::count_if(polls.begin(), polls.end(), [&](Time t) { return t >= from && t < to; });
  };
  EXPECT_GT(pollsBetween(discoveryMoved + seconds(2), discoveryMoved + seconds(4)),
            pollsBetween(discoveryMoved, discoveryMoved + seconds(2)));
  failPollsUntil(discoveryMoved + seconds(9));
  // After the migration window, the ordinary pauses apply: at most 2 s, and about one poll per second.
  const Time migrationEndedAt = d.now;
  std::vector<Time> ordinaryPolls = failPollsUntil(migrationEndedAt + seconds(20));
  EXPECT_LE(ordinaryPolls.size(), 28u);
  ordinaryPolls.insert(ordinaryPolls.begin(), migrationEndedAt);
  for (std::size_t i = 1; i < ordinaryPolls.size(); ++i)
    EXPECT_LE(ordinaryPolls[i] - ordinaryPolls[i - 1], milliseconds(2010));
  // A list ends the migration window immediately.
  d.balancer.onHostListUpdate(d.now, HostListUpdate::discoveryMoved, {});
  d.balancer.onHostListUpdate(d.now, HostListUpdate::incremental, {});
  d.collect();
  EXPECT_LE(failPollsUntil(d.now + seconds(4)).size(), 9u);
}

// A gateway must have the list within 6 s of discovery becoming reachable. A poll that is pending then
// may still fail (2 s), and the answer of the next one may take 1.5 s, which leaves 2 s for the pause.
TEST(DiscoveryBackoff, PollsWithinTwoSecondsAfterAnyFailure) {
  for (const int maxSilenceSeconds : {0, 3, 10, 120})
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      Settings s = makeSettings();
      s.pollsDiscovery = true;
      s.maxDiscoverySilence = seconds(maxSilenceSeconds);
      s.seed = seed;
      Driver d(s, 3);
      for (int failures = 0; failures < 12; ++failures) {
        d.advance(milliseconds(1500), milliseconds(50));  // time until the poll fails
        d.balancer.onHostListUpdate(d.now, HostListUpdate::unavailable, {});
        d.collect();
        const Time failed = d.now;
        const std::size_t before = d.count(ActionKind::pollDiscovery);
        while (d.count(ActionKind::pollDiscovery) == before && d.now < failed + seconds(6))
          d.advance(milliseconds(5));
        ASSERT_LE(d.now - failed, milliseconds(2010)) << maxSilenceSeconds << " s, failure " << failures;
        if (failures == 0) ASSERT_LE(d.now - failed, milliseconds(510)) << "the first failure";
        ASSERT_GE(d.now - failed, milliseconds(50)) << "polls follow too quickly";
      }
    }
}

// Three hundred gateways lose discovery at the same time: no second of the next ten has more than twice its
// share of their polls.
TEST(DiscoveryBackoff, PollsAreSpreadWhenFleetLosesDiscovery) {
  constexpr int kGateways = 300;
  std::vector<int> polls(10);
  for (int g = 0; g < kGateways; ++g) {
    Settings s = makeSettings();
    s.pollsDiscovery = true;
    s.maxDiscoverySilence = seconds(10);
    s.seed = static_cast<std::uint64_t>(g) + 1;
    Driver d(s, 3);
    const Time lostAt = d.now;
    while (d.now < lostAt + seconds(10)) {
      d.balancer.onHostListUpdate(d.now, HostListUpdate::unavailable, {});
      d.collect();
      const std::size_t before = d.count(ActionKind::pollDiscovery);
      while (d.count(ActionKind::pollDiscovery) == before) d.advance(milliseconds(5));
      const auto second = static_cast<std::size_t>((d.now - lostAt) / seconds(1));
      if (second < polls.size()) ++polls[second];
    }
  }
  for (std::size_t i = 2; i < polls.size(); ++i) {  // the first pauses are shorter
    EXPECT_LT(polls[i], 2 * kGateways) << "second " << i;
    EXPECT_GT(polls[i], kGateways / 2) << "second " << i;
  }
}

TEST(DiscoveryBackoff, PollsAgainAfterLostAnswerOnly) {
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
  EXPECT_FALSE(backoff.isDue(seconds(3))) << "half of the maximum silence has not passed";
  EXPECT_TRUE(backoff.isDue(seconds(3) + Duration(1)));
  backoff.onAnswer();
  EXPECT_FALSE(backoff.isDue(seconds(100))) << "answered polls are not repeated";
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
