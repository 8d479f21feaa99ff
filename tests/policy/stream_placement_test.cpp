// StreamPlacement: hosts are chosen by the streams that they hold; bounds, rates, and no load in flight once
// a stream is established.
#include "policy/stream_placement.hpp"

#include <algorithm>

#include "support/driver.hpp"

namespace finchstile::load_balancing::testing {
namespace {

RequestId requestStream(Driver& d, std::uint32_t cls = 1, Duration left = milliseconds(1000)) {
  Request q;
  q.id = ++d.last;
  q.classIndex = cls;
  q.timeLeft = left;
  q.isStream = true;
  d.balancer.onRequest(d.now, q);
  d.collect();
  return q.id;
}

void begin(Driver& d, const SentAttempt& s) {
  d.balancer.onResponseStarted(d.now, s.request, s.attempt);
  d.collect();
}

// Establishes the streams sent since `from`, and returns them.
std::vector<SentAttempt> beginAll(Driver& d, std::size_t from) {
  const std::vector<SentAttempt> begun(d.sent.begin() + static_cast<std::ptrdiff_t>(from), d.sent.end());
  for (const SentAttempt& s : begun) begin(d, s);
  return begun;
}

TEST(StreamPlacement, PrefersHostsWithFewStreams) {
  Driver d(makeSettings());
  for (int i = 0; i < 600; ++i) {
    const std::size_t before = d.sent.size();
    requestStream(d);
    beginAll(d, before);
    d.advance(milliseconds(5));
  }
  ASSERT_EQ(d.sent.size(), 600u);
  for (int h = 0; h < 6; ++h)
    EXPECT_NEAR(static_cast<double>(d.balancer.streamCount(d.host(h))), 100, 5) << h;
  EXPECT_EQ(d.balancer.streamCount(), 600u);
}

// All streams that come at once must not go to the one empty host.
TEST(StreamPlacement, EmptyHostFillsUpWithoutTakingAllStreams) {
  Driver d(makeSettings(), 5);
  for (int i = 0; i < 500; ++i) {
    const std::size_t before = d.sent.size();
    requestStream(d);
    beginAll(d, before);
  }
  HostEntry fresh = makeHost(5);  // long up: the cold start is another matter
  d.balancer.onHostListUpdate(d.now, HostListUpdate::incremental, {fresh});
  d.collect();
  d.clearHistory();
  for (int i = 0; i < 40; ++i) {
    const std::size_t before = d.sent.size();
    requestStream(d);
    beginAll(d, before);
  }
  EXPECT_GT(d.sentTo(d.host(5)), 20u);
  for (int i = 0; i < 60; ++i) {
    const std::size_t before = d.sent.size();
    requestStream(d);
    beginAll(d, before);
  }
  EXPECT_LT(d.sentTo(d.host(5)), 100u);
  EXPECT_GT(d.sentTo(d.host(5)), 55u);
}

TEST(StreamPlacement, EstablishedStreamsAreNoLoadInFlight) {
  Driver d(makeSettings());
  d.warmUp(0, 100);
  for (int i = 0; i < 2000; ++i) {
    const std::size_t before = d.sent.size();
    requestStream(d);
    beginAll(d, before);
  }
  d.advance(seconds(1));
  EXPECT_LT(d.balancer.admissionCutoff(), 1);
  // Requests find idle hosts, as if no stream were held.
  d.out.clear();
  d.clearHistory();
  for (int i = 0; i < 6; ++i) d.request(0);
  std::vector<HostId> to;
  for (const SentAttempt& s : d.sent) to.push_back(s.host);
  std::sort(to.begin(), to.end());
  EXPECT_EQ(std::unique(to.begin(), to.end()), to.end());
}

TEST(StreamPlacement, PendingStreamsAreLoadInFlight) {
  Driver d(makeSettings());
  d.warmUp(0, 100);
  for (int i = 0; i < 300; ++i) requestStream(d);
  d.advance(milliseconds(200));
  std::size_t refused = 0;
  for (int i = 0; i < 100; ++i) refused += d.refused(requestStream(d));
  EXPECT_GT(refused, 90u);
}

// A flood of upgrades is rejected by priority, below the cutoff of requests.
TEST(StreamPlacement, LowPriorityIsRejectedFirst) {
  Driver d(makeSettings());
  d.warmUp(0, 100);
  std::size_t cheap = 0, dear = 0;
  for (int i = 0; i < 400; ++i) {
    cheap += d.refused(requestStream(d, 1));
    dear += d.refused(requestStream(d, 0));
    d.advance(milliseconds(5));
    while (d.out.size() > 12) {  // as many as begin, of those that wait to
      begin(d, d.out.front());
      d.out.erase(d.out.begin());
    }
  }
  EXPECT_GT(cheap, 2 * dear);
  EXPECT_GT(cheap, 50u);
}

TEST(StreamPlacement, HostHoldsNoMoreThanItsMaximum) {
  Settings s = makeSettings();
  s.maxStreamsPerHost = 20;
  s.gatewayCount = 2;  // half of it is ours
  Driver d(s, 4);
  for (int i = 0; i < 100; ++i) {
    const std::size_t before = d.sent.size();
    requestStream(d);
    beginAll(d, before);
  }
  for (int h = 0; h < 4; ++h) EXPECT_EQ(d.balancer.streamCount(d.host(h)), 10u);
  EXPECT_EQ(d.sent.size(), 40u);
  EXPECT_EQ(d.answers.size(), 60u);
  d.serve(SentAttempt(d.sent[0]));  // one ends: there is room for one
  const std::size_t before = d.sent.size();
  requestStream(d);
  requestStream(d);
  EXPECT_EQ(d.sent.size(), before + 1);
}

TEST(StreamPlacement, GatewayHoldsNoMoreThanItsMaximum) {
  Settings s = makeSettings();
  s.maxStreams = 7;
  Driver d(s);
  for (int i = 0; i < 20; ++i) requestStream(d);
  EXPECT_EQ(d.sent.size(), 7u);
  for (const SentAttempt& one : std::vector<SentAttempt>(d.out)) d.settle(one, Outcome::connectFailed, false);
  EXPECT_LE(d.balancer.streamCount(), 7u);
}

// 2,000 clients come back in one second after a deploy: each host is given its rate, and the other clients
// are told to come back at times that differ.
TEST(StreamPlacement, RateOfHostsSpreadsReconnectSurge) {
  Settings s = makeSettings();
  s.hostStreamRate = 10;
  s.streamRetrySpread = seconds(10);
  Driver d(s, 6);
  std::vector<RequestId> asked;
  for (int i = 0; i < 2000; ++i) {
    const std::size_t before = d.sent.size();
    asked.push_back(requestStream(d));
    beginAll(d, before);
    if (i % 10 == 9) d.advance(milliseconds(5));
  }
  for (int h = 0; h < 6; ++h) {
    EXPECT_GE(d.sentTo(d.host(h)), 8u);
    EXPECT_LE(d.sentTo(d.host(h)), 14u);  // of one second, and what may come at once
  }
  Duration least = seconds(100), most{};
  std::size_t early = 0, refused = 0;
  for (const RequestId id : asked) {
    if (!d.refused(id)) continue;
    ++refused;
    least = std::min(least, d.retryAfter[id]);
    most = std::max(most, d.retryAfter[id]);
    early += d.retryAfter[id] < seconds(5) + milliseconds(500);
  }
  EXPECT_EQ(refused + d.sent.size(), 2000u);
  EXPECT_GE(least, seconds(1));
  EXPECT_LE(most, seconds(10));
  EXPECT_NEAR(static_cast<double>(early) / static_cast<double>(refused), 0.5, 0.06);
}

// All gateways together keep a warming host to its part; streams count too.
TEST(StreamPlacement, WarmingHostGetsItsPartOnly) {
  Settings s = makeSettings();
  s.hostStreamRate = 20;
  Driver d(s, 5);
  d.warmUp(0, 200);
  HostEntry cold = makeHost(5);
  cold.startedAt = d.now;
  d.balancer.onHostListUpdate(d.now, HostListUpdate::incremental, {cold});
  d.collect();
  d.clearHistory();
  for (int i = 0; i < 400; ++i) {  // two seconds
    for (int k = 0; k < 5; ++k) {
      const std::size_t before = d.sent.size();
      requestStream(d);
      beginAll(d, before);
    }
    d.advance(milliseconds(5));
  }
  // Warmth is 0.2 to 0.36 by then: at the most that part of 20 a second for two seconds, and one burst.
  EXPECT_LE(d.sentTo(d.host(5)), 14u);
  EXPECT_GE(d.sentTo(d.host(5)), 3u);
  EXPECT_GE(d.sentTo(d.host(0)), 38u);
}

TEST(StreamPlacement, UnestablishedStreamGoesToAnotherHost) {
  Driver d(makeSettings());
  const RequestId id = requestStream(d);
  const HostId first = d.lastSent().host;
  d.settle(d.lastSent(), Outcome::connectFailed, false);
  ASSERT_EQ(d.sent.size(), 2u);
  EXPECT_NE(d.lastSent().host, first);
  EXPECT_EQ(d.balancer.streamCount(first), 0u);
  EXPECT_EQ(d.balancer.streamCount(d.lastSent().host), 1u);
  begin(d, d.lastSent());
  d.advance(seconds(3600), seconds(1));  // neither time-out nor deadline applies any more
  EXPECT_FALSE(d.refused(id) || d.failed(id));
  EXPECT_EQ(d.balancer.streamCount(), 1u);
  d.settle(d.lastSent(), Outcome::reset, true);
  EXPECT_FALSE(d.refused(id) || d.failed(id));  // it has ended, and nothing is sent again
  EXPECT_EQ(d.sent.size(), 2u);
  EXPECT_EQ(d.balancer.streamCount(), 0u);
  EXPECT_EQ(d.balancer.openRequests(), 0u);
}

TEST(StreamPlacement, StreamThatMayHaveRunFails) {
  Driver d(makeSettings());
  const RequestId id = requestStream(d);  // of a class that may not run twice
  d.settle(d.lastSent(), Outcome::reset, false);
  EXPECT_TRUE(d.failed(id));
  EXPECT_EQ(d.sent.size(), 1u);
}

TEST(StreamPlacement, StreamOfRemovedHostStaysUntilItsEnd) {
  Driver d(makeSettings());
  requestStream(d);
  const SentAttempt s = d.lastSent();
  begin(d, s);
  HostEntry entry = makeHost(0);
  for (int h = 0; h < 6; ++h)
    if (d.host(h) == s.host) entry = makeHost(h, "east", h % 2);
  entry.phase = HostPhase::removed;
  d.balancer.onHostListUpdate(d.now, HostListUpdate::incremental, {entry});
  d.collect();
  d.advance(seconds(2));
  EXPECT_TRUE(d.balancer.isKnown(s.host));
  EXPECT_EQ(d.balancer.streamCount(s.host), 1u);
  d.serve(s);
  d.advance(seconds(1));
  EXPECT_FALSE(d.balancer.isKnown(s.host));
}

TEST(StreamPlacement, RejectsInvalidSettings) {
  Settings s = makeSettings();
  s.hostStreamRate = -1;
  EXPECT_THROW(Driver d(s), std::invalid_argument);
  s = makeSettings();
  s.streamRetrySpread = -seconds(1);
  EXPECT_THROW(Driver d(s), std::invalid_argument);
}

// --- The class alone

TEST(StreamPlacement, TokensFollowTheRateOfTheGatewaysPart) {
  Settings settings = makeSettings();
  settings.gatewayCount = 2;
  settings.hostStreamRate = 40;  // 20 a second are this gateway's, 5 of them at once
  HostRegistry hosts("east");
  hosts.apply(HostListUpdate::complete, {makeHost(0)}, [](Host&) {});
  Host& host = hosts[hosts.active()[0]];
  StreamPlacement streams(settings);
  Attempt attempt;
  attempt.host = host.id;
  int begun = 0;
  for (; streams.hasCapacity(host, 1, seconds(1), seconds(2)); ++begun) streams.begin(hosts, attempt);
  EXPECT_EQ(begun, 5);
  EXPECT_EQ(streams.streamCount(), 5U);
  EXPECT_TRUE(streams.hasCapacity(host, 1, seconds(1), seconds(2) + milliseconds(50)));
}

TEST(StreamPlacement, EndsEachStreamOnce) {
  const Settings settings = makeSettings();
  HostRegistry hosts("east");
  hosts.apply(HostListUpdate::complete, {makeHost(0)}, [](Host&) {});
  Host& host = hosts[hosts.active()[0]];
  StreamPlacement streams(settings);
  Attempt attempt;
  attempt.host = host.id;
  streams.end(hosts, attempt);  // it is no stream
  EXPECT_EQ(streams.streamCount(), 0U);
  streams.begin(hosts, attempt);
  EXPECT_EQ(host.streams.count, 1U);
  streams.end(hosts, attempt);
  streams.end(hosts, attempt);
  EXPECT_EQ(host.streams.count, 0U);
  EXPECT_EQ(streams.streamCount(), 0U);
}

}  // namespace
}  // namespace finchstile::load_balancing::testing
