// Feeds a load balancer by hand and keeps its actions. No model of a server: each test says what happens.
#pragma once

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "finchstile/load_balancer.hpp"

namespace finchstile::load_balancing::testing {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline ClassSettings makeClass(const std::string& name, Idempotency effect, double worth,
                               DeduplicationScope group = DeduplicationScope::all) {
  ClassSettings c;
  c.name = name;
  c.latencyObjective = milliseconds(400);
  c.clientTimeout = milliseconds(1000);
  c.deduplicationWindow = milliseconds(800);
  c.idempotency = effect;
  c.deduplicationScope = group;
  c.priorityWeight = worth;
  return c;
}

inline Settings makeSettings() {
  Settings s;
  s.seed = 7;
  s.zone = "east";
  s.classes = {makeClass("read", Idempotency::idempotent, 10),
               makeClass("write", Idempotency::nonIdempotent, 1),
               makeClass("put", Idempotency::idempotentWithKey, 1, DeduplicationScope::cell)};
  s.cancellationEnabled = true;
  s.maxAttempts = 4;
  s.eventInterval = milliseconds(5);
  s.initialCapacityFraction = 0.2;
  s.warmUpTime = seconds(10);
  s.collapseWindow = seconds(2);
  return s;
}

inline HostEntry makeHost(int number, const std::string& zone = "east", std::int64_t cell = 0) {
  HostEntry e;
  e.address = "host-" + std::to_string(100 + number);
  e.zone = zone;
  e.machineType = "std";
  e.cell = cell;
  return e;
}

struct SentAttempt {
  RequestId request;
  std::uint32_t attempt;
  HostId host;
  Time at;
  Duration limit;
};

class Driver {
 public:
  explicit Driver(const Settings& s, int hosts = 6) : now(seconds(100)), balancer(s, now) {
    std::vector<HostEntry> list;
    for (int i = 0; i < hosts; ++i) list.push_back(makeHost(i, "east", i % 2));
    balancer.onHostListUpdate(now, HostListUpdate::restored, list);
    collect();
  }

  RequestId request(std::uint32_t cls, Duration left = milliseconds(1000), std::uint64_t key = 0,
                    const EarlierAttempt* earlier = nullptr) {
    Request q;
    q.id = ++last;
    q.classIndex = cls;
    q.timeLeft = left;
    q.affinityKey = key;
    q.hasAffinityKey = key != 0;
    if (earlier) q.earlierAttempt = *earlier;
    classOf[q.id] = cls;
    balancer.onRequest(now, q);
    collect();
    return q.id;
  }
  void settle(const SentAttempt& s, Outcome outcome, bool terminal, Duration taken = Duration(-1)) {
    balancer.onAttemptResult(
        now, {s.request, s.attempt, s.host, outcome, taken < Duration{} ? now - s.at : taken, terminal});
    for (std::size_t i = 0; i < out.size(); ++i)
      if (out[i].request == s.request && out[i].attempt == s.attempt) {
        out.erase(out.begin() + static_cast<std::ptrdiff_t>(i));
        break;
      }
    collect();
  }
  void serve(const SentAttempt& s) { settle(s, Outcome::served, true); }
  void advance(Duration by, Duration step = milliseconds(5)) {
    for (const Time end = now + by; now < end;) {
      now += step;
      balancer.onTimer(now);
      collect();
    }
  }
  // Serves everything that is out, `count` requests of class `cls` one after another.
  void warmUp(std::uint32_t cls, int count, Duration time = milliseconds(50)) {
    for (int i = 0; i < count; ++i) {
      request(cls);
      advance(time, time);
      while (!out.empty()) serve(SentAttempt(out.front()));
    }
  }
  SentAttempt lastSent() const { return sent.back(); }
  bool refused(RequestId id) const { return answers.count(id) && answers.at(id) == ActionKind::reject; }
  bool failed(RequestId id) const { return answers.count(id) && answers.at(id) == ActionKind::fail; }
  HostId host(int number) const { return balancer.findHost(makeHost(number).address); }
  std::size_t sentTo(HostId id) const {
    std::size_t n = 0;
    for (const SentAttempt& s : sent) n += s.host == id;
    return n;
  }
  std::size_t count(ActionKind kind) const {
    std::size_t n = 0;
    for (const Action& a : all) n += a.kind == kind;
    return n;
  }
  void clearHistory() {
    sent.clear();
    all.clear();
  }

  void collect() {
    for (Action& a : balancer.actions()) {
      if (a.kind == ActionKind::sendAttempt) {
        sent.push_back({a.request, a.attempt, a.host, now, a.duration});
        out.push_back(sent.back());
      } else if (a.kind == ActionKind::reject || a.kind == ActionKind::fail) {
        EXPECT_EQ(answers.count(a.request), 0u) << "answered twice";
        answers[a.request] = a.kind;
        retryAfter[a.request] = a.duration;
      }
      all.push_back(std::move(a));
    }
    balancer.actions().clear();
  }

  Time now;
  LoadBalancer balancer;
  RequestId last = 0;
  std::vector<SentAttempt> sent, out;
  std::vector<Action> all;
  std::map<RequestId, std::uint32_t> classOf;
  std::map<RequestId, ActionKind> answers;
  std::map<RequestId, Duration> retryAfter;
};

// Serves what is due: `latencyOf(host)` says how long a host takes, zero for never. What is not served within
// its time limit ends in a time-out.
template <class LatencyOf>
void serveDue(Driver& d, LatencyOf latencyOf) {
  for (std::size_t k = 0; k < d.out.size();) {
    const SentAttempt s = d.out[k];
    const Duration latency = latencyOf(s.host);
    if (latency > Duration{} && d.now - s.at >= latency) d.serve(s);
    else if (d.now - s.at >= s.limit) d.settle(s, Outcome::timeout, false);
    else ++k;
  }
}

// A part of the attempts is never answered, on any host; the rest is as quick as ever.
struct LossyPool {
  explicit LossyPool(Driver& driver) : d(driver) {}
  void play(int rounds, int everyLost) {
    for (int i = 0; i < rounds; ++i) {
      for (int n = 0; n < 3; ++n) d.request(static_cast<std::uint32_t>(n));
      d.advance(milliseconds(20));
      for (const SentAttempt& s : std::vector<SentAttempt>(d.out)) {
        if (everyLost > 0 && (s.request * 7 + s.attempt) % static_cast<unsigned>(everyLost) == 0) {
          if (d.now >= s.at + s.limit) d.settle(s, Outcome::timeout, false);
        } else {
          d.settle(s, Outcome::served, true);
        }
      }
    }
  }
  Driver& d;
};

}  // namespace finchstile::load_balancing::testing
