// Effect of a budget for traffic between zones, in a simulation with the real decision module and budget.
// Each host of the two zones has cores and a queue; requests arrive as a Poisson process. The results are
// deterministic.
//
//   build-bench/bench_cross_zone [SECONDS] [REQUESTS_PER_SECOND]
//
// During the second third of the time, all but kLocalHostsWhileLost of the kLocalHosts hosts in the local
// zone are down.
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
#include "units.hpp"

using namespace finchstile::load_balancing;
namespace cross_zone = finchstile::cross_zone;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct ClassModel {
  const char* name;
  Idempotency idempotency;
  double arrivalFraction, valueWeight, workMs;
  Duration latencyObjective, clientTimeout;
  double requestBytes, responseBytes;
};
constexpr ClassModel kClasses[] = {
    {"cut-plan", Idempotency::idempotent, 0.16, 12, 60, milliseconds(600), milliseconds(1200), 300, 24000},
    {"stock-out", Idempotency::nonIdempotent, 0.53, 1, 25, milliseconds(400), milliseconds(2000), 400, 300},
    {"log-in", Idempotency::idempotentWithKey, 0.31, 1, 25, milliseconds(400), milliseconds(1000), 2000, 300},
};
constexpr double kMaxPriorityWeight = 12;  // the highest value weight of kClasses
constexpr int kHosts = 12, kCores = 4;     // cores per host
constexpr int kLocalHosts = kHosts / 2;    // the hosts with the lowest numbers
constexpr int kLocalHostsWhileLost = kHosts / 8;
constexpr int kFirstHostNumber = 100;  // in host addresses, which are "h" and this number plus the host index
constexpr Time kStartTime = seconds(1000);
constexpr Duration kTimerInterval = milliseconds(20);
constexpr double kMinWorkFactor = 0.7, kWorkFactorRange = 0.6;  // work of an attempt / mean work of its class
enum class EventKind { arrival, completion };

struct AttemptWork {
  RequestId request;
  std::uint32_t attempt;
  Duration serviceTime;
};
struct Host {
  int busyCores = 0;
  std::deque<AttemptWork> queue;
};
struct Event {
  Time at;
  EventKind kind;
  RequestId request = 0;
  std::uint32_t attempt = 0;
  int host = 0;
  bool operator>(const Event& other) const { return at > other.at; }
};
struct PhaseResults {       // results of a third of the simulated time
  double offeredValue = 0;  // sum of the value weights of all requests
  double timelyValue = 0;   // of the requests answered within their latency objective
  double rejectedRequests = 0;
  double crossZoneAttempts = 0, crossZoneBytes = 0;
  double forcedAttempts = 0;  // to the other zone although the budget asked for the local one
};

struct Model {
  Settings settings;
  std::mt19937_64 engine{42};
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
  std::vector<Host> hosts = std::vector<Host>(kHosts);
  struct OpenRequest {
    std::size_t classIndex;
    Time arrivedAt;
    bool preferLocalZone, ended = false;
    std::map<std::uint32_t, std::pair<int, Time>> attempts;  // by attempt number: host index, time of sending
  };
  std::map<RequestId, OpenRequest> openRequests;
  PhaseResults phases[3];
  Time now = kStartTime;
  Duration length;  // simulated time

  double uniform() { return static_cast<double>(engine() >> 11) * 0x1.0p-53; }
  // The results of the third of the simulated time that contains `at`.
  PhaseResults& phase(Time at) {
    return phases[std::min<std::size_t>(2, static_cast<std::size_t>((at - kStartTime) * 3 / length))];
  }

  // All hosts; of those in the local zone, the ones after the first `localHosts` are removed.
  std::vector<HostEntry> hostList(int localHosts) {
    std::vector<HostEntry> entries;
    for (int i = 0; i < kHosts; ++i) {
      HostEntry e;
      e.address = "h" + std::to_string(kFirstHostNumber + i);
      e.zone = i < kLocalHosts ? "brasov" : "cluj";
      e.machineType = "std";
      if (i < kLocalHosts && i >= localHosts) e.phase = HostPhase::removed;
      entries.push_back(e);
    }
    return entries;
  }

  void start(int host, const AttemptWork& work) {
    ++hosts[static_cast<std::size_t>(host)].busyCores;
    events.push({now + work.serviceTime, EventKind::completion, work.request, work.attempt, host});
  }

  // Performs the actions that the decision module has requested, including those that follow from them.
  void performActions(LoadBalancer& balancer, cross_zone::CrossZoneBudget* budget) {
    while (!balancer.actions().empty()) {
      const std::vector<Action> actions = std::exchange(balancer.actions(), {});
      for (const Action& action : actions) {
        const auto entry = openRequests.find(action.request);
        if (action.kind == ActionKind::reject && entry != openRequests.end() && !entry->second.ended) {
          phase(entry->second.arrivedAt).rejectedRequests += 1;
          entry->second.ended = true;
        }
        if (action.kind != ActionKind::sendAttempt || entry == openRequests.end()) continue;
        const int host = std::atoi(balancer.hostAddress(action.host).c_str() + 1) - kFirstHostNumber;
        const ClassModel& requestClass = kClasses[entry->second.classIndex];
        entry->second.attempts[action.attempt] = {host, now};
        if (host >= kLocalHosts) {
          PhaseResults& results = phase(now);
          results.crossZoneAttempts += 1;
          results.crossZoneBytes += requestClass.requestBytes + requestClass.responseBytes;
          results.forcedAttempts += entry->second.preferLocalZone;
          if (budget) budget->charge(now, requestClass.requestBytes + requestClass.responseBytes);
        }
        const double workMs = requestClass.workMs * (kMinWorkFactor + kWorkFactorRange * uniform());
        const AttemptWork work{
            action.request, action.attempt,
            Duration(static_cast<std::int64_t>(workMs * finchstile::bench::kNanosecondsPerMillisecond))};
        Host& target = hosts[static_cast<std::size_t>(host)];
        if (target.busyCores < kCores) start(host, work);
        else target.queue.push_back(work);
      }
    }
  }

  void run(double requestsPerSecond, cross_zone::CrossZoneBudget* budget) {
    for (const ClassModel& requestClass : kClasses) {
      ClassSettings classSettings;
      classSettings.name = requestClass.name;
      classSettings.idempotency = requestClass.idempotency;
      classSettings.priorityWeight = requestClass.valueWeight;
      classSettings.latencyObjective = requestClass.latencyObjective;
      classSettings.clientTimeout = requestClass.clientTimeout;
      classSettings.deduplicationWindow = seconds(2);
      classSettings.deduplicationScope = DeduplicationScope::zone;
      settings.classes.push_back(classSettings);
    }
    settings.zone = "brasov";
    settings.cancellationEnabled = true;
    settings.maxAttempts = 3;
    settings.eventInterval = milliseconds(1);
    LoadBalancer balancer(settings, now);
    balancer.onHostListUpdate(now, HostListUpdate::complete, hostList(kLocalHosts));
    performActions(balancer, budget);
    RequestId lastRequestId = 0;
    const Time end = now + length;
    int localHosts = kLocalHosts;
    Time nextTimerAt = now + kTimerInterval;
    events.push({now, EventKind::arrival});
    while (!events.empty() && events.top().at < end) {
      const Event event = events.top();
      while (nextTimerAt < event.at) {
        now = nextTimerAt;
        nextTimerAt += kTimerInterval;
        const bool localHostsLost = (now - kStartTime) * 3 / length == 1;
        const int localHostsListed = localHostsLost ? kLocalHostsWhileLost : kLocalHosts;
        if (localHostsListed != localHosts)
          balancer.onHostListUpdate(now, HostListUpdate::complete, hostList(localHosts = localHostsListed));
        balancer.onTimer(now);
        performActions(balancer, budget);
      }
      events.pop();
      now = event.at;
      if (event.kind == EventKind::arrival) {
        const double draw = uniform();
        const double first = kClasses[0].arrivalFraction, second = kClasses[1].arrivalFraction;
        const std::size_t classIndex = draw < first ? 0 : draw < first + second ? 1 : 2;
        Request request;
        request.id = ++lastRequestId;
        request.classIndex = static_cast<std::uint32_t>(classIndex);
        request.timeLeft = kClasses[classIndex].clientTimeout;
        request.preferLocalZone = budget && !budget->allows(now, kClasses[classIndex].valueWeight);
        openRequests[request.id] = {classIndex, now, request.preferLocalZone, false, {}};
        phase(now).offeredValue += kClasses[classIndex].valueWeight;
        balancer.onRequest(now, request);
        events.push({now + Duration(static_cast<std::int64_t>(-std::log(1 - uniform()) / requestsPerSecond *
                                                              finchstile::bench::kNanosecondsPerSecond)),
                     EventKind::arrival});
      } else {
        Host& target = hosts[static_cast<std::size_t>(event.host)];
        --target.busyCores;
        if (!target.queue.empty()) {
          const AttemptWork next = target.queue.front();
          target.queue.pop_front();
          start(event.host, next);
        }
        OpenRequest& openRequest = openRequests[event.request];
        const ClassModel& requestClass = kClasses[openRequest.classIndex];
        if (!openRequest.ended && now - openRequest.arrivedAt <= requestClass.latencyObjective)
          phase(openRequest.arrivedAt).timelyValue += requestClass.valueWeight;
        const auto [host, sentAt] = openRequest.attempts[event.attempt];
        AttemptResult result;
        result.request = event.request;
        result.attempt = event.attempt;
        result.host = balancer.findHost("h" + std::to_string(kFirstHostNumber + host));
        result.elapsed = now - sentAt;
        result.requestEnded = true;
        openRequest.ended = true;
        balancer.onAttemptResult(now, result);
      }
      performActions(balancer, budget);
    }
  }
};

}  // namespace

int main(int argc, char** argv) {
  const int lengthSeconds = argc > 1 ? std::atoi(argv[1]) : 90;
  const double requestsPerSecond = argc > 2 ? std::atof(argv[2]) : 400;
  std::printf("%-18s %-9s %8s %9s %10s %8s %8s\n", "budget, bytes/s", "third", "in time", "crossed/s",
              "bytes/s", "forced", "refused");
  for (const double bytesPerSecond : {-1.0, 200000.0, 50000.0, 0.0}) {  // negative: no budget
    Model model;
    model.length = seconds(lengthSeconds);
    cross_zone::CrossZoneSettings budgetSettings;
    budgetSettings.bytesPerSecond = bytesPerSecond;
    cross_zone::CrossZoneBudget budget(budgetSettings, kMaxPriorityWeight, model.now);
    model.run(requestsPerSecond, bytesPerSecond < 0 ? nullptr : &budget);
    for (int i = 0; i < 3; ++i) {
      const PhaseResults& results = model.phases[i];
      static const char* const kPhaseNames[] = {"normal", "zone loss", "normal"};
      const std::string name =
          bytesPerSecond < 0 ? "none" : std::to_string(static_cast<long>(bytesPerSecond));
      std::printf(
          "%-18s %-9s %7.1f%% %9.1f %10.0f %7.1f%% %8.0f\n", name.c_str(), kPhaseNames[i],
          100 * results.timelyValue / results.offeredValue, results.crossZoneAttempts * 3 / lengthSeconds,
          results.crossZoneBytes * 3 / lengthSeconds,
          results.crossZoneAttempts > 0 ? 100 * results.forcedAttempts / results.crossZoneAttempts : 0,
          results.rejectedRequests);
    }
  }
}
