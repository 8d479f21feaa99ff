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

void day(const char* name, int seeds, FleetSettings set, const std::function<void(Fleet&)>& plan,
         Time until) {
  double worth = 0, handshakes = 0, pairs = 0, full = 0, unconnected = 0, cold = 0;
  int open = 0;
  for (int seed = 1; seed <= seeds; ++seed) {
    set.seed = static_cast<std::uint64_t>(seed);
    Fleet f(set);
    f.run(seconds(5));
    f.counts = {};
    plan(f);
    f.run(until);
    const double asked = static_cast<double>(f.counts.requests) * seeds;
    worth += f.counts.valueServed / f.counts.valueRequested / seeds;
    handshakes += static_cast<double>(f.counts.handshakes) / asked;
    full += static_cast<double>(f.counts.capacityRejections) / asked;
    unconnected += static_cast<double>(f.counts.refusedConnections) / asked;
    pairs += static_cast<double>(f.counts.pairs.size()) / seeds;
    cold = std::max(cold, f.counts.maxWarmingLoad);
    open = std::max(open, f.counts.maxConnectionsPerHost);
  }
  std::printf(
      "%-22s worth %.3f  a request: handshakes %.3f, turned away %.3f, unconnected %.3f  "
      "open at a host %d  pairs %.0f  cold %.2f\n",
      name, worth, handshakes, full, unconnected, open, pairs, cold);
}

FleetSettings sized(std::uint32_t gateways, int hosts, double requestsPerSecond) {
  FleetSettings s;
  s.gateways = gateways;
  s.hosts = hosts;
  s.requestsPerSecond = requestsPerSecond;
  return s;
}

void lists(int hosts, std::uint32_t gateways) {
  Settings s = makeSettings();
  s.gatewayCount = gateways;
  s.gatewayIndex = gateways / 2;
  LoadBalancer b(s, seconds(1));
  std::vector<HostEntry> all;
  all.reserve(static_cast<std::size_t>(hosts));
  for (int i = 0; i < hosts; ++i) all.push_back(makeHost(i));
  const auto took = [](const std::function<void()>& what) {
    const auto begun = std::chrono::steady_clock::now();
    what();
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - begun).count();
  };
  const double whole = took([&] { b.onHostListUpdate(seconds(1), HostListUpdate::complete, all); });
  all[0].phase = HostPhase::draining;
  const double change = took([&] { b.onHostListUpdate(seconds(1), HostListUpdate::incremental, {all[0]}); });
  const double none = took([&] { b.onHostListUpdate(seconds(1), HostListUpdate::complete, {}); });
  std::printf("%6d hosts, %5u gateways: whole list %.1f ms, one change %.1f ms, an empty list %.1f ms\n",
              hosts, gateways, whole, change, none);
}

}  // namespace
}  // namespace finchstile::load_balancing::testing

int main(int argc, char** argv) {
  using namespace finchstile::load_balancing;
  using namespace finchstile::load_balancing::testing;
  const int seeds = argc > 1 ? std::max(1, std::atoi(argv[1])) : 4;
  const auto calm = [](Fleet&) {};
  day("calm 3x12", seeds, sized(3, 12, 460), calm, seconds(15));
  day("calm 40x60", seeds, sized(40, 60, 2300), calm, seconds(15));
  day("calm 100x60", seeds, sized(100, 60, 2300), calm, seconds(15));
  day("calm 100x120", seeds, sized(100, 120, 4600), calm, seconds(15));
  day("calm 100x600", seeds, sized(100, 600, 18000), calm, seconds(10));
  day("calm 1000x20", seeds, sized(1000, 20, 800), calm, seconds(15));
  const auto from = [](void (*plan)(Fleet&, Time)) { return [plan](Fleet& f) { plan(f, seconds(5)); }; };
  day("restart 100x60", seeds, sized(100, 60, 2300), from(restartAllGateways), seconds(11));
  day("zone 100x60", seeds, sized(100, 60, 2300), from(failOneZone), seconds(20));
  day("replaced 100x60", seeds, sized(100, 60, 2600), from(replaceSixtyPercentOfHosts), seconds(18));
  lists(60, 100);
  lists(10000, 100);
  lists(10000, 20000);
}
