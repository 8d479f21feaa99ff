// Migration of a fleet to another discovery service at SIGHUP: the time until each gateway receives its first
// host list. The decision modules are real, including their retries; discovery is modelled as one service of
// fixed capacity that rejects polls while the queue would take longer than its timeout. Complete lists or
// changes, with the decision module notified of the migration or not.
//   build/bench_discovery_migration [SEEDS]
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <vector>

#include "support/driver.hpp"

namespace finchstile::load_balancing::testing {
namespace {

struct Parameters {
  int gateways = 200, hosts = 195;
  double linesPerSecond = 7000, linesPerPoll = 57, linesPerChange = 25;
  Duration spread = seconds(3);               // over which the gateways start the migration
  Duration timeout = seconds(1);              // polls that would wait longer are rejected
  Duration rejectionTime = milliseconds(12);  // time until a rejection
  Duration full{};                            // time from the first migrations for which other load fills it
};

struct Result {
  std::vector<double> firstListTimes;  // seconds after the migration, for each gateway
  double rejectedPolls = 0;
};

class MigrationModel {
 public:
  MigrationModel(const Parameters& t, bool whole, bool notified, std::uint64_t seed)
      : t_(t),
        lines_(t.linesPerPoll + (whole ? t.hosts : t.linesPerChange)),
        notified_(notified),
        engine_(seed) {
    std::vector<HostEntry> list;
    list.reserve(static_cast<std::size_t>(t_.hosts));
    for (int i = 0; i < t_.hosts; ++i) list.push_back(makeHost(i));
    gateways_.resize(static_cast<std::size_t>(t_.gateways));
    for (std::size_t g = 0; g < gateways_.size(); ++g) {
      Settings s = makeSettings();
      s.seed = seed * 1000 + g;
      s.gatewayCount = static_cast<std::uint32_t>(t_.gateways);
      s.gatewayIndex = static_cast<std::uint32_t>(g);
      s.pollsDiscovery = true;
      s.maxDiscoverySilence = seconds(10);
      gateways_[g].balancer = std::make_unique<LoadBalancer>(s, now_);
      gateways_[g].balancer->onHostListUpdate(now_, HostListUpdate::restored, list);
      gateways_[g].balancer->onHostListUpdate(now_, HostListUpdate::incremental,
                                              {});  // polls the old service successfully
      gateways_[g].balancer->actions().clear();
      const auto when = static_cast<std::int64_t>(unit() * static_cast<double>(t_.spread.count()));
      at(now_ + Duration(when), [this, g] { move(g); });
    }
  }

  Result run() {
    while (result_.firstListTimes.size() < gateways_.size() && !events_.empty()) {
      const Event e = events_.top();
      events_.pop();
      now_ = e.when;
      e.what();
    }
    std::sort(result_.firstListTimes.begin(), result_.firstListTimes.end());
    return result_;
  }

 private:
  struct Gateway {
    std::unique_ptr<LoadBalancer> balancer;
    Time migratedAt{};
    bool heard = false;
  };
  struct Event {
    Time when;
    std::uint64_t order;
    std::function<void()> what;
    bool operator<(const Event& o) const { return when != o.when ? when > o.when : order > o.order; }
  };

  double unit() { return static_cast<double>(engine_() >> 11) * 0x1.0p-53; }
  void at(Time when, std::function<void()> what) { events_.push({when, ++order_, std::move(what)}); }

  void move(std::size_t g) {
    gateways_[g].migratedAt = now_;
    if (notified_) gateways_[g].balancer->onHostListUpdate(now_, HostListUpdate::discoveryMoved, {});
    carryOut(g);
    call(g);
  }
  void call(std::size_t g) {
    const Time begin = std::max(now_, busyUntil_);
    if (begin - now_ > t_.timeout || now_ < start_ + t_.full) {
      ++result_.rejectedPolls;
      return at(now_ + t_.rejectionTime, [this, g] {
        gateways_[g].balancer->onHostListUpdate(now_, HostListUpdate::unavailable, {});
        carryOut(g);
      });
    }
    busyUntil_ = begin + Duration(static_cast<std::int64_t>(1e9 * lines_ / t_.linesPerSecond));
    at(busyUntil_, [this, g] {
      gateways_[g].heard = true;
      result_.firstListTimes.push_back(toSeconds(now_ - gateways_[g].migratedAt));
    });
  }
  void carryOut(std::size_t g) {
    std::vector<Action> actions;
    actions.swap(gateways_[g].balancer->actions());
    for (const Action& a : actions) {
      if (a.kind == ActionKind::pollDiscovery) call(g);
      if (a.kind == ActionKind::setTimer)
        at(a.duration, [this, g] {
          if (gateways_[g].heard) return;
          gateways_[g].balancer->onTimer(now_);
          carryOut(g);
        });
    }
  }
  static double toSeconds(Duration d) { return std::chrono::duration<double>(d).count(); }

  const Parameters t_;
  const double lines_;
  const bool notified_;
  std::mt19937_64 engine_;
  std::vector<Gateway> gateways_;
  std::priority_queue<Event> events_;
  std::uint64_t order_ = 0;
  const Time start_ = seconds(100);
  Time now_ = start_, busyUntil_{};
  Result result_;
};

void row(const Parameters& t, bool whole, bool notified, int seeds) {
  double median = 0, nine = 0, last = 0, late = 0, away = 0;
  for (int seed = 1; seed <= seeds; ++seed) {
    const Result r = MigrationModel(t, whole, notified, static_cast<std::uint64_t>(seed)).run();
    const std::size_t n = r.firstListTimes.size();
    median += r.firstListTimes[n / 2] / seeds;
    nine += r.firstListTimes[n * 9 / 10] / seeds;
    last = std::max(last, r.firstListTimes.back());
    late += 100.0 *
            static_cast<double>(std::count_if(r.firstListTimes.begin(), r.firstListTimes.end(),
                                              [](double s) { return s > 4; })) /
            static_cast<double>(n) / seeds;
    away += r.rejectedPolls / static_cast<double>(n) / seeds;
  }
  std::printf(
      "%4d gateways %4d hosts  full %.1f s  %-7s %-8s  median %5.2f s  nine in ten %5.2f  last %5.2f  "
      "over 4 s %4.1f%%  turned away %4.1f a gateway\n",
      t.gateways, t.hosts, std::chrono::duration<double>(t.full).count(), whole ? "whole" : "changes",
      notified ? "soon" : "back-off", median, nine, last, late, away);
}

}  // namespace
}  // namespace finchstile::load_balancing::testing

int main(int argc, char** argv) {
  using namespace finchstile::load_balancing::testing;
  const int seeds = std::max(1, argc > 1 ? std::atoi(argv[1]) : 3);
  const auto rows = [&](int gateways, int hosts, double lines, finchstile::load_balancing::Duration full) {
    Parameters t;
    t.gateways = gateways;
    t.hosts = hosts;
    t.linesPerSecond = lines;
    t.full = full;
    for (const bool whole : {true, false})
      for (const bool notified : {false, true}) row(t, whole, notified, seeds);
  };
  rows(200, 195, 7000, {});
  rows(200, 195, 7000, seconds(4));
  rows(350, 195, 7000, seconds(4));
  rows(350, 1024, 7000, {});
}
