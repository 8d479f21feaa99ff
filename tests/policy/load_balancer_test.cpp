// LoadBalancer: each request ends once and in time, stray events do no harm, and the rules hold on random
// sequences of events.
#include <cmath>
#include <random>
#include <set>

#include "support/driver.hpp"

namespace finchstile::load_balancing::testing {
namespace {

struct Seen {
  std::uint32_t cls;
  Time deadline;
  bool over = false;
  std::vector<SentAttempt> tries;
  std::vector<int> state;  // 0 out, 1 proven unrun, 2 may have run
};

std::string play(std::uint64_t seed) {
  Settings s = makeSettings();
  s.seed = seed;
  s.keyAffinity = seed % 2 == 0;
  s.classes[2].deduplicationScope = static_cast<DeduplicationScope>(seed % 3);
  std::mt19937_64 engine(seed * 77 + 1);
  const auto below = [&](std::uint64_t n) { return engine() % n; };
  LoadBalancer b(s, seconds(50));
  Time now = seconds(50);
  std::map<RequestId, Seen> seen;
  std::map<HostId, HostEntry> entries;  // of all hosts ever known
  std::map<std::string, HostEntry> named;
  std::string trace;
  RequestId last = 0;
  std::vector<HostEntry> list;
  for (int i = 0; i < 6; ++i) list.push_back(makeHost(i, i % 3 ? "east" : "west", i % 3));
  b.onHostListUpdate(now, HostListUpdate::restored, list);
  for (const HostEntry& e : list) entries[b.findHost(e.address)] = named[e.address] = e;

  const auto check = [&] {
    for (const Action& a : b.actions()) {
      trace += std::to_string(static_cast<int>(a.kind)) + ":" + std::to_string(a.request) + ":" +
               std::to_string(a.host) + ":" + std::to_string(a.duration.count()) + " ";
      if (a.kind == ActionKind::setTimer || a.kind == ActionKind::log || a.kind == ActionKind::pollDiscovery)
        continue;
      EXPECT_TRUE(seen.count(a.request));
      Seen& r = seen[a.request];
      const ClassSettings& c = s.classes[r.cls];
      bool ran = false, outNow = false;
      for (std::size_t i = 0; i < r.tries.size(); ++i) {
        ran |= r.state[i] != 1;
        outNow |= r.state[i] == 0;
      }
      if (a.kind == ActionKind::sendAttempt) {
        EXPECT_FALSE(r.over);
        EXPECT_LT(now, r.deadline);
        EXPECT_LE(now + a.duration, r.deadline);
        EXPECT_EQ(entries.at(a.host).phase, HostPhase::active);
        EXPECT_EQ(a.attempt, r.tries.size());
        EXPECT_LT(a.attempt, s.maxAttempts);
        EXPECT_FALSE(outNow);
        if (c.idempotency == Idempotency::nonIdempotent) EXPECT_FALSE(ran);
        if (c.idempotency == Idempotency::idempotentWithKey)
          for (std::size_t i = 0; i < r.tries.size(); ++i) {
            if (r.state[i] == 1) continue;
            const HostEntry &was = entries.at(r.tries[i].host), &is = entries.at(a.host);
            if (c.deduplicationScope != DeduplicationScope::all) EXPECT_EQ(was.zone, is.zone);
            if (c.deduplicationScope == DeduplicationScope::cell) EXPECT_EQ(was.cell, is.cell);
            EXPECT_LE(now, r.tries[i].at + c.deduplicationWindow);
          }
        r.tries.push_back({a.request, a.attempt, a.host, now, a.duration});
        r.state.push_back(0);
      } else if (a.kind == ActionKind::reject || a.kind == ActionKind::fail) {
        EXPECT_FALSE(r.over);
        EXPECT_LE(now, r.deadline);
        r.over = true;
        if (a.kind == ActionKind::reject && ran) {
          EXPECT_NE(c.idempotency, Idempotency::nonIdempotent);
          if (c.idempotency == Idempotency::idempotentWithKey)
            EXPECT_EQ(c.deduplicationScope, DeduplicationScope::all);
        }
      }
    }
    b.actions().clear();
  };
  check();
  for (int i = 0; i < 4000; ++i) {
    now += milliseconds(5) * static_cast<int>(below(2));
    const std::uint64_t what = below(10);
    if (what < 4) {
      Request q;
      q.id = ++last;
      q.classIndex = static_cast<std::uint32_t>(below(3));
      q.timeLeft = milliseconds(static_cast<int>(below(1000)) + 1);
      q.hasAffinityKey = true;
      q.affinityKey = below(20);
      seen[q.id] = {q.classIndex, now + q.timeLeft, false, {}, {}};
      b.onRequest(now, q);
    } else if (what < 8 && !seen.empty()) {
      std::vector<std::pair<RequestId, std::size_t>> open;
      for (auto& [id, r] : seen)
        for (std::size_t k = 0; k < r.tries.size(); ++k)
          if (r.state[k] == 0) open.emplace_back(id, k);
      if (!open.empty()) {
        const auto [id, k] = open[below(open.size())];
        Seen& r = seen[id];
        const auto o = static_cast<Outcome>(below(8));
        r.state[k] =
            o == Outcome::rejectedForCapacity || o == Outcome::connectFailed || o == Outcome::notSent ? 1 : 2;
        const bool terminal = r.over || o == Outcome::served;
        if (terminal) r.over = true;
        b.onAttemptResult(
            now, {id, static_cast<std::uint32_t>(k), r.tries[k].host, o, now - r.tries[k].at, terminal});
      }
    } else if (what == 8 && below(10) == 0) {
      HostEntry e = makeHost(static_cast<int>(below(6)));
      e = named.at(e.address);
      e.phase = static_cast<HostPhase>(below(3));
      if (below(3) == 0) e.startedAt = now;
      named[e.address] = e;
      const HostId before = b.findHost(e.address);
      if (before != kNone) entries[before] = e;
      b.onHostListUpdate(now, HostListUpdate::incremental, {e});
      const HostId after = b.findHost(e.address);
      if (after != kNone && after != before) EXPECT_TRUE(entries.emplace(after, e).second);
    } else if (below(20) == 0 && last > 0) {
      const RequestId id = 1 + below(last);
      if (!seen[id].over) {
        seen[id].over = true;
        b.onClientDisconnected(now, id);
      }
    } else {
      b.onTimer(now);
    }
    check();
    for (auto it = seen.begin(); it != seen.end();) {
      if (!it->second.over)
        EXPECT_LT(now, it->second.deadline + milliseconds(20)) << "left without an answer";
      bool outNow = false;
      for (int st : it->second.state) outNow |= st == 0;
      if (it->second.over && !outNow) it = seen.erase(it);
      else ++it;
    }
    b.onTimer(now);  // it was asked for by now
    check();
    if (::testing::Test::HasFailure()) break;
  }
  return trace;
}

TEST(LoadBalancer, RejectsAtOnceWithoutHostsOrTime) {
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

TEST(LoadBalancer, AttemptsEndBeforeTheClientsDeadline) {
  Driver d(makeSettings());
  d.request(0, milliseconds(300));
  EXPECT_LE(d.lastSent().limit, milliseconds(300));
  EXPECT_GE(d.lastSent().limit, milliseconds(200));
}

TEST(LoadBalancer, DoesNothingAfterClientDisconnects) {
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

TEST(LoadBalancer, LeavesRequestAloneOnceItsResponseStarted) {
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

TEST(LoadBalancer, KeepsRulesAndIsDeterministicOnRandomEvents) {
  for (std::uint64_t seed = 1; seed <= 24 && !HasFailure(); ++seed) {
    SCOPED_TRACE(seed);
    const std::string trace = play(seed);
    EXPECT_GT(trace.size(), 1000u);
    if (seed <= 6) EXPECT_EQ(trace, play(seed)) << "the same events give the same actions";
  }
}

}  // namespace
}  // namespace finchstile::load_balancing::testing
