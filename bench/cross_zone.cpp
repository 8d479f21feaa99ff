// Effect of a budget for traffic between zones, in a simulation: hosts of two zones with cores and a queue,
// Poisson arrivals, the real decision module and budget, and simulated time. The results are deterministic.
//
//   build-bench/bench_cross_zone [SECONDS] [REQUESTS_PER_SECOND]
//
// During the second third of the time, three quarters of the hosts in the local zone are down.
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "cross_zone/cross_zone_budget.hpp"
#include "cross_zone/cross_zone_statistics.hpp"
#include "finchstile/load_balancer.hpp"

using namespace finchstile::load_balancing;
namespace cross_zone = finchstile::cross_zone;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct Kind {
  const char* name;
  Idempotency effect;
  double share, valueWeight, workMs;
  Duration objective, timeout;
  double out, in;  // bytes
};
constexpr Kind kKinds[] = {
    {"cut-plan", Idempotency::idempotent, 0.16, 12, 60, milliseconds(600), milliseconds(1200), 300, 24000},
    {"stock-out", Idempotency::nonIdempotent, 0.53, 1, 25, milliseconds(400), milliseconds(2000), 400, 300},
    {"log-in", Idempotency::idempotentWithKey, 0.31, 1, 25, milliseconds(400), milliseconds(1000), 2000, 300},
};
constexpr int kHosts = 12, kCores = 4;  // the first half of the hosts is in the local zone

struct Work {
  RequestId request;
  std::uint32_t attempt;
  Duration serviceTime;
};
struct Host {
  int busy = 0;
  std::deque<Work> waiting;
};
struct Event {
  Time at;
  int kind;  // 0: arrival, 1: completion
  RequestId request = 0;
  std::uint32_t attempt = 0;
  int host = 0;
  bool operator>(const Event& o) const { return at > o.at; }
};
struct PhaseResults {  // results of a third of the time
  double offered = 0, inTime = 0, refused = 0, crossed = 0, bytes = 0, forced = 0;
};

struct Model {
  Settings settings;
  std::mt19937_64 engine{42};
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
  std::vector<Host> hosts = std::vector<Host>(kHosts);
  struct Open {
    std::size_t kind;
    Time at;
    bool homeFirst, over = false;
    std::map<std::uint32_t, std::pair<int, Time>> sent;
  };
  std::map<RequestId, Open> open;
  PhaseResults phases[3];
  Time now = seconds(1000);
  Duration length;

  double unit() { return static_cast<double>(engine() >> 11) * 0x1.0p-53; }
  PhaseResults& phase(Time at) {
    return phases[std::min<std::size_t>(2, static_cast<std::size_t>((at - seconds(1000)) * 3 / length))];
  }

  std::vector<HostEntry> list(int localHosts) {
    std::vector<HostEntry> out;
    for (int i = 0; i < kHosts; ++i) {
      HostEntry e;
      e.address = "h" + std::to_string(100 + i);
      e.zone = i < kHosts / 2 ? "brasov" : "cluj";
      e.machineType = "std";
      if (i < kHosts / 2 && i >= localHosts) e.phase = finchstile::load_balancing::HostPhase::removed;
      out.push_back(e);
    }
    return out;
  }

  void start(LoadBalancer& b, int host, const Work& w) {
    ++hosts[static_cast<std::size_t>(host)].busy;
    events.push({now + w.serviceTime, 1, w.request, w.attempt, host});
    (void)b;
  }

  void carryOut(LoadBalancer& b, cross_zone::CrossZoneBudget* budget) {
    while (!b.actions().empty()) {
      const std::vector<Action> actions = std::exchange(b.actions(), {});
      for (const Action& a : actions) {
        const auto o = open.find(a.request);
        if (a.kind == ActionKind::reject && o != open.end() && !o->second.over) {
          phase(o->second.at).refused += 1;
          o->second.over = true;
        }
        if (a.kind != ActionKind::sendAttempt || o == open.end()) continue;
        const int host = std::atoi(b.hostAddress(a.host).c_str() + 1) - 100;
        const Kind& k = kKinds[o->second.kind];
        o->second.sent[a.attempt] = {host, now};
        if (host >= kHosts / 2) {
          PhaseResults& p = phase(now);
          p.crossed += 1;
          p.bytes += k.out + k.in;
          p.forced += o->second.homeFirst;
          if (budget) budget->charge(now, k.out + k.in);
        }
        const double work = k.workMs * (0.7 + 0.6 * unit());
        const Work w{a.request, a.attempt, Duration(static_cast<std::int64_t>(work * 1e6))};
        Host& h = hosts[static_cast<std::size_t>(host)];
        if (h.busy < kCores) start(b, host, w);
        else h.waiting.push_back(w);
      }
    }
  }

  void run(double perSecond, cross_zone::CrossZoneBudget* budget) {
    for (const Kind& k : kKinds) {
      ClassSettings c;
      c.name = k.name;
      c.idempotency = k.effect;
      c.priorityWeight = k.valueWeight;
      c.latencyObjective = k.objective;
      c.clientTimeout = k.timeout;
      c.deduplicationWindow = seconds(2);
      c.deduplicationScope = DeduplicationScope::zone;
      settings.classes.push_back(c);
    }
    settings.zone = "brasov";
    settings.cancellationEnabled = true;
    settings.maxAttempts = 3;
    settings.eventInterval = milliseconds(1);
    LoadBalancer b(settings, now);
    b.onHostListUpdate(now, HostListUpdate::complete, list(kHosts / 2));
    carryOut(b, budget);
    RequestId last = 0;
    const Time end = now + length;
    int localHosts = kHosts / 2;
    Time wake = now + milliseconds(20);
    events.push({now, 0});
    while (!events.empty() && events.top().at < end) {
      const Event e = events.top();
      while (wake < e.at) {
        now = wake;
        wake += milliseconds(20);
        const bool lost = (now - seconds(1000)) * 3 / length == 1;
        const int want = lost ? kHosts / 8 : kHosts / 2;
        if (want != localHosts) b.onHostListUpdate(now, HostListUpdate::complete, list(localHosts = want));
        b.onTimer(now);
        carryOut(b, budget);
      }
      events.pop();
      now = e.at;
      if (e.kind == 0) {
        const double draw = unit();
        const std::size_t kind = draw < kKinds[0].share                     ? 0
                                 : draw < kKinds[0].share + kKinds[1].share ? 1
                                                                            : 2;
        Request q;
        q.id = ++last;
        q.classIndex = static_cast<std::uint32_t>(kind);
        q.timeLeft = kKinds[kind].timeout;
        q.preferLocalZone = budget && !budget->allows(now, kKinds[kind].valueWeight);
        open[q.id] = {kind, now, q.preferLocalZone, false, {}};
        phase(now).offered += kKinds[kind].valueWeight;
        b.onRequest(now, q);
        events.push({now + Duration(static_cast<std::int64_t>(-std::log(1 - unit()) / perSecond * 1e9)), 0});
      } else {
        Host& h = hosts[static_cast<std::size_t>(e.host)];
        --h.busy;
        if (!h.waiting.empty()) {
          const Work next = h.waiting.front();
          h.waiting.pop_front();
          start(b, e.host, next);
        }
        Open& o = open[e.request];
        const Kind& k = kKinds[o.kind];
        if (!o.over && now - o.at <= k.objective) phase(o.at).inTime += k.valueWeight;
        const auto [host, at] = o.sent[e.attempt];
        AttemptResult r;
        r.request = e.request;
        r.attempt = e.attempt;
        r.host = b.findHost("h" + std::to_string(100 + host));
        r.elapsed = now - at;
        r.requestEnded = true;
        o.over = true;
        b.onAttemptResult(now, r);
      }
      carryOut(b, budget);
    }
  }
};

}  // namespace

int main(int argc, char** argv) {
  const int length = argc > 1 ? std::atoi(argv[1]) : 90;
  const double rate = argc > 2 ? std::atof(argv[2]) : 400;
  std::printf("%-18s %-9s %8s %9s %10s %8s %8s\n", "budget, bytes/s", "third", "in time", "crossed/s",
              "bytes/s", "forced", "refused");
  for (const double bytes : {-1.0, 200000.0, 50000.0, 0.0}) {
    Model m;
    m.length = seconds(length);
    cross_zone::CrossZoneSettings s;
    s.bytesPerSecond = bytes;
    cross_zone::CrossZoneBudget budget(s, 12, m.now);
    m.run(rate, bytes < 0 ? nullptr : &budget);
    for (int i = 0; i < 3; ++i) {
      const PhaseResults& p = m.phases[i];
      static const char* const kNames[] = {"calm", "own lost", "calm"};
      const std::string name = bytes < 0 ? "none" : std::to_string(static_cast<long>(bytes));
      std::printf("%-18s %-9s %7.1f%% %9.1f %10.0f %7.1f%% %8.0f\n", name.c_str(), kNames[i],
                  100 * p.inTime / p.offered, p.crossed * 3 / length, p.bytes * 3 / length,
                  p.crossed > 0 ? 100 * p.forced / p.crossed : 0, p.refused);
    }
  }
}
