// LoadBalancer: each request ends exactly once and in time, unexpected events are harmless, and the rules
// hold on random sequences of events.
#include <cmath>
#include <random>
#include <set>

#include "support/driver.hpp"

namespace finchstile::load_balancing::testing {
namespace {

struct TrackedRequest {
  std::uint32_t cls;
  Time deadline;
  bool hasEnded = false;
  std::vector<SentAttempt> attempts;
  std::vector<int> state;  // by attempt: 0 pending, 1 never ran, 2 may have run
};

std::string playRandomEvents(std::uint64_t seed) {
  Settings s = makeSettings();
  s.seed = seed;
  s.keyAffinity = seed % 2 == 0;
  s.classes[2].deduplicationScope = static_cast<DeduplicationScope>(seed % 3);
  std::mt19937_64 engine(seed * 77 + 1);
  const auto below = [&](std::uint64_t n) { return engine() % n; };
  LoadBalancer loadBalancer(s, seconds(50));
  Time now = seconds(50);
  std::map<RequestId, TrackedRequest> trackedRequests;
  std::map<HostId, HostEntry> entriesById;  // by id, of all hosts ever listed
  std::map<std::string, HostEntry> entriesByAddress;
  std::string trace;
  RequestId lastId = 0;
  std::vector<HostEntry> list;
  for (int i = 0; i < 6; ++i) list.push_back(makeHost(i, i % 3 ? "east" : "west", i % 3));
  loadBalancer.onHostListUpdate(now, HostListUpdate::restored, list);
  for (const HostEntry& e : list)
    entriesById[loadBalancer.findHost(e.address)] = entriesByAddress[e.address] = e;

  const auto check = [&] {
    for (const Action& a : loadBalancer.actions()) {
      trace += std::to_string(static_cast<int>(a.kind)) + ":" + std::to_string(a.request) + ":" +
               std::to_string(a.host) + ":" + std::to_string(a.duration.count()) + " ";
      if (a.kind == ActionKind::setTimer || a.kind == ActionKind::log || a.kind == ActionKind::pollDiscovery)
        continue;
      EXPECT_TRUE(trackedRequests.count(a.request));
      TrackedRequest& tracked = trackedRequests[a.request];
      const ClassSettings& c = s.classes[tracked.cls];
      bool anyMayHaveRun = false, isPending = false;
      for (std::size_t i = 0; i < tracked.attempts.size(); ++i) {
        anyMayHaveRun |= tracked.state[i] != 1;
        isPending |= tracked.state[i] == 0;
      }
      if (a.kind == ActionKind::sendAttempt) {
        EXPECT_FALSE(tracked.hasEnded);
        EXPECT_LT(now, tracked.deadline);
        EXPECT_LE(now + a.duration, tracked.deadline);
        EXPECT_EQ(entriesById.at(a.host).phase, HostPhase::active);
        EXPECT_EQ(a.attempt, tracked.attempts.size());
        EXPECT_LT(a.attempt, s.maxAttempts);
        EXPECT_FALSE(isPending);
        if (c.idempotency == Idempotency::nonIdempotent) EXPECT_FALSE(anyMayHaveRun);
        if (c.idempotency == Idempotency::idempotentWithKey)
          for (std::size_t i = 0; i < tracked.attempts.size(); ++i) {
            if (tracked.state[i] == 1) continue;
            const HostEntry &was = entriesById.at(tracked.attempts[i].host), &is = entriesById.at(a.host);
            if (c.deduplicationScope != DeduplicationScope::all) EXPECT_EQ(was.zone, is.zone);
            if (c.deduplicationScope == DeduplicationScope::cell) EXPECT_EQ(was.cell, is.cell);
            EXPECT_LE(now, tracked.attempts[i].at + c.deduplicationWindow);
          }
        tracked.attempts.push_back({a.request, a.attempt, a.host, now, a.duration});
        tracked.state.push_back(0);
      } else if (a.kind == ActionKind::reject || a.kind == ActionKind::fail) {
        EXPECT_FALSE(tracked.hasEnded);
        EXPECT_LE(now, tracked.deadline);
        tracked.hasEnded = true;
        if (a.kind == ActionKind::reject && anyMayHaveRun) {
          EXPECT_NE(c.idempotency, Idempotency::nonIdempotent);
          if (c.idempotency == Idempotency::idempotentWithKey)
            EXPECT_EQ(c.deduplicationScope, DeduplicationScope::all);
        }
      }
    }
    loadBalancer.actions().clear();
  };
  check();
  for (int i = 0; i < 4000; ++i) {
    now += milliseconds(5) * static_cast<int>(below(2));
    const std::uint64_t what = below(10);
    if (what < 4) {
      Request q;
      q.id = ++lastId;
      q.classIndex = static_cast<std::uint32_t>(below(3));
      q.timeLeft = milliseconds(static_cast<int>(below(1000)) + 1);
      q.hasAffinityKey = true;
      q.affinityKey = below(20);
      trackedRequests[q.id] = {q.classIndex, now + q.timeLeft, false, {}, {}};
      loadBalancer.onRequest(now, q);
    } else if (what < 8 && !trackedRequests.empty()) {
      std::vector<std::pair<RequestId, std::size_t>> open;
      for (auto& [id, tracked] : trackedRequests)
        for (std::size_t k = 0; k < tracked.attempts.size(); ++k)
          if (tracked.state[k] == 0) open.emplace_back(id, k);
      if (!open.empty()) {
        const auto [id, k] = open[below(open.size())];
        TrackedRequest& tracked = trackedRequests[id];
        const auto o = static_cast<Outcome>(below(8));
        tracked.state[k] =
            o == Outcome::rejectedForCapacity || o == Outcome::connectFailed || o == Outcome::notSent ? 1 : 2;
        const bool terminal = tracked.hasEnded || o == Outcome::served;
        if (terminal) tracked.hasEnded = true;
        loadBalancer.onAttemptResult(now, {id, static_cast<std::uint32_t>(k), tracked.attempts[k].host, o,
                                           now - tracked.attempts[k].at, terminal});
      }
    } else if (what == 8 && below(10) == 0) {
      HostEntry e = makeHost(static_cast<int>(below(6)));
      e = entriesByAddress.at(e.address);
      e.phase = static_cast<HostPhase>(below(3));
      if (below(3) == 0) e.startedAt = now;
      entriesByAddress[e.address] = e;
      const HostId before = loadBalancer.findHost(e.address);
      if (before != kNone) entriesById[before] = e;
      loadBalancer.onHostListUpdate(now, HostListUpdate::incremental, {e});
      const HostId after = loadBalancer.findHost(e.address);
      if (after != kNone && after != before) EXPECT_TRUE(entriesById.emplace(after, e).second);
    } else if (below(20) == 0 && lastId > 0) {
      const RequestId id = 1 + below(lastId);
      if (!trackedRequests[id].hasEnded) {
        trackedRequests[id].hasEnded = true;
        loadBalancer.onClientDisconnected(now, id);
      }
    } else {
      loadBalancer.onTimer(now);
    }
    check();
    for (auto it = trackedRequests.begin(); it != trackedRequests.end();) {
      if (!it->second.hasEnded)
        EXPECT_LT(now, it->second.deadline + milliseconds(20)) << "no answer by the deadline";
      bool isPending = false;
      for (int st : it->second.state) isPending |= st == 0;
      if (it->second.hasEnded && !isPending) it = trackedRequests.erase(it);
      else ++it;
    }
    loadBalancer.onTimer(now);  // a timer may be due
    check();
    if (::testing::Test::HasFailure()) break;
  }
  return trace;
}

TEST(LoadBalancer, RejectsImmediatelyWithoutHostsOrTime) {
  Driver none(makeSettings(), 0);
  EXPECT_TRUE(none.refused(none.request(1)));
  Driver d(makeSettings());
  EXPECT_TRUE(d.refused(d.request(1, Duration{})));
  EXPECT_TRUE(d.refused(d.request(1, milliseconds(-3))));
  EXPECT_EQ(d.sent.size(), 0u);
}

TEST(LoadBalancer, FailsRequestAtDeadlineWhenNoResultComes) {
  Driver d(makeSettings());
  const RequestId id = d.request(1);
  d.advance(milliseconds(1000));
  EXPECT_TRUE(d.failed(id));
  EXPECT_EQ(d.count(ActionKind::cancelAttempt), 1u);
}

TEST(LoadBalancer, AttemptTimeoutEndsBeforeClientDeadline) {
  Driver d(makeSettings());
  d.request(0, milliseconds(300));
  EXPECT_LE(d.lastSent().limit, milliseconds(300));
  EXPECT_GE(d.lastSent().limit, milliseconds(200));
}

TEST(LoadBalancer, CancelsAndDoesNotRetryAfterClientDisconnects) {
  Driver d(makeSettings());
  const RequestId id = d.request(0);
  const SentAttempt first = d.lastSent();
  d.balancer.onClientDisconnected(d.now, id);
  d.collect();
  EXPECT_EQ(d.count(ActionKind::cancelAttempt), 1u);
  d.settle(first, Outcome::connectFailed, false);
  EXPECT_EQ(d.sent.size(), 1u);
  EXPECT_EQ(d.answers.count(id), 0u);
  EXPECT_EQ(d.balancer.openRequests(), 0u);
}

TEST(LoadBalancer, TreatsUnknownClassAsNonIdempotent) {
  Driver d(makeSettings());
  const RequestId id = d.request(57);
  d.settle(d.lastSent(), Outcome::error, false);
  EXPECT_TRUE(d.failed(id));
  EXPECT_EQ(d.sent.size(), 1u);
}

TEST(LoadBalancer, IgnoresStrayEvents) {
  Driver d(makeSettings());
  const RequestId id = d.request(0);
  const SentAttempt s = d.lastSent();
  d.balancer.onAttemptResult(d.now, {id + 50, 0, s.host, Outcome::error, {}, false});
  d.balancer.onAttemptResult(d.now, {id, 3, s.host, Outcome::error, {}, false});
  d.balancer.onClientDisconnected(d.now, 999);
  d.balancer.onResponseStarted(d.now, 999, 0);
  d.request(0);
  d.collect();
  EXPECT_EQ(d.answers.size(), 0u);
  d.serve(s);
  d.balancer.onAttemptResult(d.now, {id, 0, s.host, Outcome::served, {}, true});
  EXPECT_EQ(d.balancer.openRequests(), 1u);
}

TEST(LoadBalancer, DoesNotRetryOrEndRequestOnceResponseStarted) {
  Settings s = makeSettings();
  Driver d(s);
  const RequestId id = d.request(0);
  d.balancer.onResponseStarted(d.now, id, 0);
  d.advance(seconds(3));
  EXPECT_EQ(d.answers.count(id), 0u);
  d.settle(d.lastSent(), Outcome::reset, true);
  EXPECT_EQ(d.sent.size(), 1u);
  EXPECT_EQ(d.balancer.openRequests(), 0u);
}

TEST(LoadBalancer, RulesHoldAndActionsAreDeterministicOnRandomEvents) {
  for (std::uint64_t seed = 1; seed <= 24 && !HasFailure(); ++seed) {
    SCOPED_TRACE(seed);
    const std::string trace = playRandomEvents(seed);
    EXPECT_GT(trace.size(), 1000u);
    if (seed <= 6) EXPECT_EQ(trace, playRandomEvents(seed)) << "the same events give the same actions";
  }
}

}  // namespace
}  // namespace finchstile::load_balancing::testing
