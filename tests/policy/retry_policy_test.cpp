// RetryPolicy: which requests are sent again, where, until when, and out of which budget.
#include "policy/retry_policy.hpp"

#include <map>
#include <random>
#include <utility>

#include "support/driver.hpp"

namespace finchstile::load_balancing::testing {
namespace {

TEST(RetryPolicy, RepeatsNonIdempotentOnlyWhenItCannotHaveRun) {
  for (Outcome o : {Outcome::error, Outcome::timeout, Outcome::reset, Outcome::cancelled}) {
    Driver d(makeSettings());
    const RequestId id = d.request(1);
    d.settle(d.lastSent(), o, false);
    EXPECT_EQ(d.sent.size(), 1u);
    EXPECT_TRUE(d.failed(id)) << "a refusal would claim that a retry is harmless";
  }
  for (Outcome o : {Outcome::rejectedForCapacity, Outcome::connectFailed}) {
    Driver d(makeSettings());
    d.request(1);
    const HostId first = d.lastSent().host;
    d.settle(d.lastSent(), o, false);
    ASSERT_EQ(d.sent.size(), 2u);
    EXPECT_NE(d.lastSent().host, first);
  }
}

TEST(RetryPolicy, AsksForLiveConnectionUnlessIdempotent) {
  Driver d(makeSettings());
  for (std::uint32_t cls = 0; cls < makeSettings().classes.size(); ++cls) {
    d.clearHistory();
    d.request(cls);
    ASSERT_EQ(d.count(ActionKind::sendAttempt), 1u);
    for (const Action& a : d.all)
      if (a.kind == ActionKind::sendAttempt)
        EXPECT_EQ(a.verifyConnection, makeSettings().classes[cls].idempotency != Idempotency::idempotent)
            << cls;
  }
}

TEST(RetryPolicy, RejectsNonIdempotentWhenNoAttemptCanHaveRun) {
  Driver d(makeSettings());
  const RequestId id = d.request(1);
  for (int i = 0; i < 4; ++i) d.settle(d.lastSent(), Outcome::rejectedForCapacity, false);
  EXPECT_EQ(d.sent.size(), 4u) << "maxAttempts";
  EXPECT_TRUE(d.refused(id));
}

TEST(RetryPolicy, KeyedRequestStaysInItsScopeAndWindow) {
  for (DeduplicationScope g : {DeduplicationScope::cell, DeduplicationScope::zone}) {
    Settings s = makeSettings();
    s.classes[2].deduplicationScope = g;
    for (std::uint64_t seed = 1; seed < 20; ++seed) {
      s.seed = seed;
      Driver d(s, 0);
      std::vector<HostEntry> list;
      for (int i = 0; i < 8; ++i) list.push_back(makeHost(i, i < 4 ? "east" : "west", i / 2));
      d.balancer.onHostListUpdate(d.now, HostListUpdate::complete, list);
      const RequestId id = d.request(2);
      const int first = std::stoi(d.balancer.hostAddress(d.lastSent().host).substr(5)) - 100;
      d.settle(d.lastSent(), Outcome::reset, false);
      ASSERT_EQ(d.sent.size(), 2u);
      const int second = std::stoi(d.balancer.hostAddress(d.lastSent().host).substr(5)) - 100;
      EXPECT_EQ(first / (g == DeduplicationScope::cell ? 2 : 4),
                second / (g == DeduplicationScope::cell ? 2 : 4));
      while (!d.out.empty()) {
        const int next = std::stoi(d.balancer.hostAddress(d.lastSent().host).substr(5)) - 100;
        EXPECT_EQ(first / (g == DeduplicationScope::cell ? 2 : 4),
                  next / (g == DeduplicationScope::cell ? 2 : 4));
        d.settle(d.lastSent(), Outcome::timeout, false);
      }
      EXPECT_TRUE(d.failed(id)) << "never refused: the group is not all";
    }
  }
  Settings late = makeSettings();
  late.classes[2].deduplicationWindow = milliseconds(100);
  Driver d(late);
  const RequestId id = d.request(2);
  d.advance(milliseconds(150));
  d.settle(d.lastSent(), Outcome::reset, false);
  EXPECT_EQ(d.sent.size(), 1u);
  EXPECT_TRUE(d.failed(id));
}

TEST(RetryPolicy, KeyedRequestOfScopeAllMayBeRejected) {
  Settings s = makeSettings();
  s.classes[2].deduplicationScope = DeduplicationScope::all;
  s.maxAttempts = 1;
  Driver d(s);
  const RequestId id = d.request(2);
  d.settle(d.lastSent(), Outcome::error, false);
  EXPECT_TRUE(d.refused(id));
}

// An attempt of an earlier request may have run: the rule on repeats holds as for an own attempt.
TEST(RetryPolicy, EarlierAttemptBindsToItsScopeWithinTheWindow) {
  Driver d(makeSettings(), 8);  // cells 0 and 1 in turn; `put` is dropped by cell for 800 ms
  for (int i = 0; i < 40; ++i) {
    const EarlierAttempt earlier{"east", 1, d.now - milliseconds(100)};
    const RequestId id = d.request(2, milliseconds(1000), 0, &earlier);
    ASSERT_FALSE(d.refused(id));
    ASSERT_EQ(d.lastSent().request, id);
    for (int h = 0; h < 8; h += 2) EXPECT_NE(d.lastSent().host, d.host(h));
    d.advance(milliseconds(5));
    d.serve(d.lastSent());
  }
}

TEST(RetryPolicy, FailsWhereNoHostDropsRepeatsOfEarlierAttempt) {
  Driver d(makeSettings(), 8);
  const auto sent = d.sent.size();
  const auto failsAfter = [&d](std::uint32_t cls, const EarlierAttempt& earlier) {
    return d.failed(d.request(cls, milliseconds(1000), 0, &earlier));
  };
  EXPECT_TRUE(failsAfter(2, {"east", 1, d.now - milliseconds(795)}));
  EXPECT_TRUE(failsAfter(2, {"west", 1, d.now}));
  EXPECT_TRUE(failsAfter(2, {"east", 7, d.now}));
  EXPECT_TRUE(failsAfter(1, {"east", 1, d.now}));  // unsafe: nowhere
  EXPECT_EQ(d.sent.size(), sent);
}

TEST(RetryPolicy, FailsBelowCutoffAfterEarlierAttempt) {
  Driver d(makeSettings(), 10);
  std::mt19937 engine(3);
  int failed = 0, refused = 0;
  for (int i = 0; i < 2000; ++i) {
    const bool bound = i % 2 == 0;
    const EarlierAttempt earlier{"east", 1, d.now - milliseconds(10)};
    const RequestId id = d.request(2, milliseconds(1000), 0, bound ? &earlier : nullptr);
    if (bound) EXPECT_FALSE(d.refused(id));
    failed += bound && d.failed(id);
    refused += !bound && d.refused(id);
    if (d.out.size() > 44) d.serve(SentAttempt(d.out[engine() % d.out.size()]));
  }
  EXPECT_GT(refused, 50);
  EXPECT_GT(failed, 50);
}

TEST(RetryPolicy, AbandonsRepeatableAttemptsEarlyWhileManyAreLost) {
  Driver d(makeSettings());
  LossyPool pool(d);
  const auto limitOf = [&](std::uint32_t cls) {
    d.request(cls);
    return d.lastSent().limit;
  };
  pool.play(100, 0);
  EXPECT_GT(limitOf(0), milliseconds(350));  // all of its aim
  pool.play(100, 4);
  EXPECT_LE(limitOf(0), milliseconds(200));
  EXPECT_LE(limitOf(2), milliseconds(200));
  EXPECT_GT(limitOf(1), milliseconds(350));  // may not be repeated: nothing is gained by giving it up
  pool.play(100, 0);
  EXPECT_GT(limitOf(0), milliseconds(350));
}

// Where much is rejected, the retry budget runs out. What is left of it goes to the highest priority, not to
// whoever comes first.
TEST(RetryPolicy, LastRetriesAreKeptForTheHighestPriority) {
  Settings many = makeSettings();
  many.gatewayCount = 100;
  Driver d(many, 12);
  std::map<std::uint32_t, int> asked, resent;  // by class; the first is worth ten times the second
  for (int i = 0; i < 400; ++i) {
    const std::uint32_t cls = i % 4 == 0 ? 0 : 1;
    const std::size_t before = d.sent.size();
    d.request(cls);
    bool first = i % 2 == 0 || cls == 1;
    while (!d.out.empty())
      d.settle(SentAttempt(d.out.front()),
               std::exchange(first, false) ? Outcome::connectFailed : Outcome::served, false);
    if (i < 150 || d.sent.size() == before) continue;  // until what was saved up is used
    ++asked[cls];
    resent[cls] += d.sent.size() > before + 1;
    d.advance(milliseconds(20));
  }
  EXPECT_GT(resent[0], asked[0] * 9 / 10);
  EXPECT_LT(resent[1], asked[1] / 2);
}

TEST(RetryPolicy, BudgetIsSpentAndRefilled) {
  const Settings settings = makeSettings();
  const HostRegistry hosts("east");
  const FleetShape shape(settings, hosts);
  const TrafficStatistics traffic(settings, {});
  RetryPolicy retries(settings, hosts, shape, traffic);
  ActiveRequest request;
  request.classIndex = 0;
  request.deadline = request.objectiveAt = seconds(10);
  request.priorityWeight = 1;
  for (int i = 0; i < 30; ++i) {
    EXPECT_TRUE(retries.mayRetry(request, 0, {})) << i;
    retries.onRetry();
  }
  EXPECT_FALSE(retries.mayRetry(request, 0, {}));
  for (int i = 0; i < 4; ++i) retries.onArrival();
  EXPECT_TRUE(retries.mayRetry(request, 0, {})) << "0.3 retries a request";
  EXPECT_FALSE(retries.mayRetry(request, 0, seconds(10))) << "too late";
}

TEST(RetryPolicy, RepeatDeadlineFollowsTheFirstAttemptThatMayHaveRun) {
  const Settings settings = makeSettings();  // class 2 has a key; its window is 800 ms, events 5 ms apart
  const HostRegistry hosts("east");
  const FleetShape shape(settings, hosts);
  const TrafficStatistics traffic(settings, {});
  const RetryPolicy retries(settings, hosts, shape, traffic);
  ActiveRequest request;
  request.classIndex = 2;
  EXPECT_EQ(retries.repeatDeadline(request), Time::max());
  EXPECT_TRUE(retries.mayReject(request));
  request.attemptCount = 1;
  request.attempts[0].sentAt = seconds(1);
  request.attempts[0].mayHaveRun = true;
  EXPECT_EQ(retries.repeatDeadline(request), milliseconds(1790));
  EXPECT_FALSE(retries.mayReject(request));
  request.classIndex = 0;
  EXPECT_EQ(retries.repeatDeadline(request), Time::max()) << "idempotent";
}

}  // namespace
}  // namespace finchstile::load_balancing::testing
