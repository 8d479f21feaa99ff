// Simulates fleets with tests/support/fleet.hpp and measures the cost of long host lists for one gateway.
//   build/bench_fleet [SEEDS]
#include "support/fleet.hpp"

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <string>

namespace finchstile::load_balancing::testing {
namespace {

constexpr Time kSettlingTime = seconds(5);

// Runs one scenario with each seed from 1 to `seeds` and prints the means over the seeds, or the maxima.
// Counting starts after kSettlingTime, at which `disruption` schedules the events of the scenario.
void runScenario(const char* name, int seeds, FleetSettings settings,
                 const std::function<void(Fleet&)>& disruption, Time until) {
  double valueServed = 0, handshakes = 0, pairs = 0, capacityRejections = 0, refusedConnections = 0,
         warmingLoad = 0;
  int connectionsPerHost = 0;
  for (int seed = 1; seed <= seeds; ++seed) {
    settings.seed = static_cast<std::uint64_t>(seed);
    Fleet fleet(settings);
    fleet.run(kSettlingTime);
    fleet.counts = {};
    disruption(fleet);
    fleet.run(until);
    const double totalRequests = static_cast<double>(fleet.counts.requests) * seeds;
    valueServed += fleet.counts.valueServed / fleet.counts.valueRequested / seeds;
    handshakes += static_cast<double>(fleet.counts.handshakes) / totalRequests;
    capacityRejections += static_cast<double>(fleet.counts.capacityRejections) / totalRequests;
    refusedConnections += static_cast<double>(fleet.counts.refusedConnections) / totalRequests;
    pairs += static_cast<double>(fleet.counts.pairs.size()) / seeds;
    warmingLoad = std::max(warmingLoad, fleet.counts.maxWarmingLoad);
    connectionsPerHost = std::max(connectionsPerHost, fleet.counts.maxConnectionsPerHost);
  }
  std::printf(
      "%-22s value served %.3f  per request: handshakes %.3f, capacity rejections %.3f, refused connections "
      "%.3f  max connections per host %d  gateway-host pairs %.0f  max warming load %.2f\n",
      name, valueServed, handshakes, capacityRejections, refusedConnections, connectionsPerHost, pairs,
      warmingLoad);
}

FleetSettings fleetOf(std::uint32_t gateways, int hosts, double requestsPerSecond) {
  FleetSettings settings;
  settings.gateways = gateways;
  settings.hosts = hosts;
  settings.requestsPerSecond = requestsPerSecond;
  return settings;
}

// Measures the time that one gateway takes to apply host lists.
void measureHostLists(int hosts, std::uint32_t gateways) {
  Settings settings = makeSettings();
  settings.gatewayCount = gateways;
  settings.gatewayIndex = gateways / 2;
  LoadBalancer balancer(settings, seconds(1));
  std::vector<HostEntry> entries;
  entries.reserve(static_cast<std::size_t>(hosts));
  for (int i = 0; i < hosts; ++i) entries.push_back(makeHost(i));
  const auto millisecondsOf = [](const std::function<void()>& work) {
    const auto start = std::chrono::steady_clock::now();
    work();
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start).count();
  };
  const double completeMs =
      millisecondsOf([&] { balancer.onHostListUpdate(seconds(1), HostListUpdate::complete, entries); });
  entries[0].phase = HostPhase::draining;
  const double changeMs = millisecondsOf(
      [&] { balancer.onHostListUpdate(seconds(1), HostListUpdate::incremental, {entries[0]}); });
  const double emptyMs =
      millisecondsOf([&] { balancer.onHostListUpdate(seconds(1), HostListUpdate::complete, {}); });
  std::printf("%6d hosts, %5u gateways: complete list %.1f ms, one change %.1f ms, empty list %.1f ms\n",
              hosts, gateways, completeMs, changeMs, emptyMs);
}

}  // namespace
}  // namespace finchstile::load_balancing::testing

int main(int argc, char** argv) {
  using namespace finchstile::load_balancing;
  using namespace finchstile::load_balancing::testing;
  const int seeds = argc > 1 ? std::max(1, std::atoi(argv[1])) : 4;
  const auto steady = [](Fleet&) {};
  runScenario("steady 3x12", seeds, fleetOf(3, 12, 460), steady, seconds(15));
  runScenario("steady 40x60", seeds, fleetOf(40, 60, 2300), steady, seconds(15));
  runScenario("steady 100x60", seeds, fleetOf(100, 60, 2300), steady, seconds(15));
  runScenario("steady 100x120", seeds, fleetOf(100, 120, 4600), steady, seconds(15));
  runScenario("steady 100x600", seeds, fleetOf(100, 600, 18000), steady, seconds(10));
  runScenario("steady 1000x20", seeds, fleetOf(1000, 20, 800), steady, seconds(15));
  const auto whenSettled = [](void (*disrupt)(Fleet&, Time)) {
    return [disrupt](Fleet& fleet) { disrupt(fleet, kSettlingTime); };
  };
  runScenario("restart 100x60", seeds, fleetOf(100, 60, 2300), whenSettled(restartAllGateways), seconds(11));
  runScenario("zone failure 100x60", seeds, fleetOf(100, 60, 2300), whenSettled(failOneZone), seconds(20));
  runScenario("60% replaced 100x60", seeds, fleetOf(100, 60, 2600), whenSettled(replaceSixtyPercentOfHosts),
              seconds(18));
  measureHostLists(60, 100);
  measureHostLists(10000, 100);
  measureHostLists(10000, 20000);
}
