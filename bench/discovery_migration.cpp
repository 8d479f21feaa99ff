// Migration of a fleet to another discovery service at SIGHUP: the time until each gateway receives its first
// host list. The decision modules are real, including their retries; discovery is modelled as one service of
// fixed capacity that rejects a poll if it would wait in the queue for longer than a timeout. The variants:
// the service sends complete lists or changes; the decision module is notified of the migration or has to
// notice it.
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
#include "units.hpp"

namespace finchstile::load_balancing::testing {
namespace {

struct Parameters {
  int gateways = 200, hosts = 195;
  // Work of the discovery service, in lines of a host list: its capacity, the fixed work of a poll, and the
  // lines of an answer that contains changes only.
  double linesPerSecond = 7000, linesPerPoll = 57, linesPerChange = 25;
  Duration migrationSpread = seconds(3);      // period in which the gateways start the migration
  Duration timeout = seconds(1);              // polls that would wait longer are rejected
  Duration rejectionTime = milliseconds(12);  // from a poll to its rejection
  Duration saturation{};  // while other load fills the new service, from the start of the migration
};

constexpr double kLateSeconds = 4;            // a first list after this time counts as late
constexpr std::uint64_t kMaxGateways = 1000;  // of a run; keeps the seeds of different runs apart

struct Result {
  std::vector<double> firstListTimes;  // seconds after the migration, for each gateway
  double rejectedPolls = 0;
};

class MigrationModel {
 public:
  MigrationModel(const Parameters& parameters, bool completeLists, bool notified, std::uint64_t seed)
      : parameters_(parameters),
        linesPerAnswer_(parameters.linesPerPoll +
                        (completeLists ? parameters.hosts : parameters.linesPerChange)),
        notified_(notified),
        engine_(seed) {
    std::vector<HostEntry> hosts;
    hosts.reserve(static_cast<std::size_t>(parameters_.hosts));
    for (int i = 0; i < parameters_.hosts; ++i) hosts.push_back(makeHost(i));
    gateways_.resize(static_cast<std::size_t>(parameters_.gateways));
    for (std::size_t index = 0; index < gateways_.size(); ++index) {
      Settings settings = makeSettings();
      settings.seed = seed * kMaxGateways + index;
      settings.gatewayCount = static_cast<std::uint32_t>(parameters_.gateways);
      settings.gatewayIndex = static_cast<std::uint32_t>(index);
      settings.pollsDiscovery = true;
      settings.maxDiscoverySilence = seconds(10);
      gateways_[index].balancer = std::make_unique<LoadBalancer>(settings, now_);
      gateways_[index].balancer->onHostListUpdate(now_, HostListUpdate::restored, hosts);
      gateways_[index].balancer->onHostListUpdate(now_, HostListUpdate::incremental,
                                                  {});  // polls the old service successfully
      gateways_[index].balancer->actions().clear();
      const auto when =
          static_cast<std::int64_t>(uniform() * static_cast<double>(parameters_.migrationSpread.count()));
      schedule(now_ + Duration(when), [this, index] { migrate(index); });
    }
  }

  Result run() {
    while (result_.firstListTimes.size() < gateways_.size() && !events_.empty()) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.when;
      event.callback();
    }
    std::sort(result_.firstListTimes.begin(), result_.firstListTimes.end());
    return result_;
  }

 private:
  struct Gateway {
    std::unique_ptr<LoadBalancer> balancer;
    Time migratedAt{};
    bool listReceived = false;
  };
  struct Event {
    Time when;
    std::uint64_t sequence;
    std::function<void()> callback;
    bool operator<(const Event& other) const {
      return when != other.when ? when > other.when : sequence > other.sequence;
    }
  };

  double uniform() { return static_cast<double>(engine_() >> 11) * 0x1.0p-53; }
  void schedule(Time when, std::function<void()> callback) {
    events_.push({when, ++lastSequence_, std::move(callback)});
  }

  // Switches gateway `index` to the new service and sends its first poll.
  void migrate(std::size_t index) {
    gateways_[index].migratedAt = now_;
    if (notified_) gateways_[index].balancer->onHostListUpdate(now_, HostListUpdate::discoveryMoved, {});
    performActions(index);
    poll(index);
  }
  // Sends a poll of gateway `index`: the service answers it in turn or rejects it.
  void poll(std::size_t index) {
    const Time begin = std::max(now_, busyUntil_);
    if (begin - now_ > parameters_.timeout || now_ < start_ + parameters_.saturation) {
      ++result_.rejectedPolls;
      return schedule(now_ + parameters_.rejectionTime, [this, index] {
        gateways_[index].balancer->onHostListUpdate(now_, HostListUpdate::unavailable, {});
        performActions(index);
      });
    }
    busyUntil_ = begin + Duration(static_cast<std::int64_t>(bench::kNanosecondsPerSecond * linesPerAnswer_ /
                                                            parameters_.linesPerSecond));
    schedule(busyUntil_, [this, index] {
      gateways_[index].listReceived = true;
      result_.firstListTimes.push_back(toSeconds(now_ - gateways_[index].migratedAt));
    });
  }
  // Performs the actions that the decision module of gateway `index` has requested.
  void performActions(std::size_t index) {
    std::vector<Action> actions;
    actions.swap(gateways_[index].balancer->actions());
    for (const Action& action : actions) {
      if (action.kind == ActionKind::pollDiscovery) poll(index);
      if (action.kind == ActionKind::setTimer)
        schedule(action.duration, [this, index] {
          if (gateways_[index].listReceived) return;
          gateways_[index].balancer->onTimer(now_);
          performActions(index);
        });
    }
  }
  static double toSeconds(Duration d) { return std::chrono::duration<double>(d).count(); }

  const Parameters parameters_;
  const double linesPerAnswer_;
  const bool notified_;
  std::mt19937_64 engine_;
  std::vector<Gateway> gateways_;
  std::priority_queue<Event> events_;
  std::uint64_t lastSequence_ = 0;
  const Time start_ = seconds(100);
  Time now_ = start_, busyUntil_{};
  Result result_;
};

void printRow(const Parameters& parameters, bool completeLists, bool notified, int seeds) {
  double median = 0, p90 = 0, maxTime = 0, latePercent = 0, rejectedPerGateway = 0;
  for (int seed = 1; seed <= seeds; ++seed) {
    const Result result =
        MigrationModel(parameters, completeLists, notified, static_cast<std::uint64_t>(seed)).run();
    const std::size_t n = result.firstListTimes.size();
    median += result.firstListTimes[n / 2] / seeds;
    p90 += result.firstListTimes[n * 9 / 10] / seeds;
    maxTime = std::max(maxTime, result.firstListTimes.back());
    latePercent +=
        100.0 *
        static_cast<double>(std::count_if(result.firstListTimes.begin(), result.firstListTimes.end(),
                                          [](double s) { return s > kLateSeconds; })) /
        static_cast<double>(n) / seeds;
    rejectedPerGateway += result.rejectedPolls / static_cast<double>(n) / seeds;
  }
  std::printf(
      "%4d gateways %4d hosts  service saturated %.1f s  %-8s %-8s  median %5.2f s  p90 %5.2f s  max %5.2f s"
      "  over %.0f s %4.1f%%  rejected polls per gateway %4.1f\n",
      parameters.gateways, parameters.hosts, std::chrono::duration<double>(parameters.saturation).count(),
      completeLists ? "complete" : "changes", notified ? "notified" : "back-off", median, p90, maxTime,
      kLateSeconds, latePercent, rejectedPerGateway);
}

}  // namespace
}  // namespace finchstile::load_balancing::testing

int main(int argc, char** argv) {
  using namespace finchstile::load_balancing::testing;
  const int seeds = std::max(1, argc > 1 ? std::atoi(argv[1]) : 3);
  const auto rows = [&](int gateways, int hosts, double linesPerSecond,
                        finchstile::load_balancing::Duration saturation) {
    Parameters parameters;
    parameters.gateways = gateways;
    parameters.hosts = hosts;
    parameters.linesPerSecond = linesPerSecond;
    parameters.saturation = saturation;
    for (const bool completeLists : {true, false})
      for (const bool notified : {false, true}) printRow(parameters, completeLists, notified, seeds);
  };
  rows(200, 195, 7000, {});
  rows(200, 195, 7000, seconds(4));
  rows(350, 195, 7000, seconds(4));
  rows(350, 1024, 7000, {});
}
