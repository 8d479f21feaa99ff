// SlowStart: attempts of all gateways together at warming hosts. The settings give a warming host a budget of
// attempts per window for the whole fleet; an excess of twice its square root plus two attempts is attributed
// to chance. The decision modules send the attempts, and a separate checker counts those of the window that
// ends at each of them.
#include <gtest/gtest.h>

#include <cstdio>
#include <string>

#include "support/fleet.hpp"

namespace finchstile::load_balancing::testing {
namespace {

struct BudgetCase {
  std::uint32_t gateways;
  int hosts;
  int slots;
  int workMs;
  double load;  // of the capacity of all hosts when warm
};

std::string caseName(const ::testing::TestParamInfo<BudgetCase>& info) {
  const BudgetCase& c = info.param;
  return std::to_string(c.gateways) + "Gateways" + std::to_string(c.hosts) + "HostsOf" +
         std::to_string(c.slots) + "Slots" + std::to_string(c.workMs) + "MsAt" +
         std::to_string(static_cast<int>(c.load * 100)) + "Percent";
}

class SlowStartBudget : public ::testing::TestWithParam<BudgetCase> {
 protected:
  FleetSettings settings(std::uint64_t seed) const {
    const BudgetCase& c = GetParam();
    FleetSettings s;
    s.gateways = c.gateways;
    s.hosts = c.hosts;
    s.slots = c.slots;
    s.work = milliseconds(c.workMs);
    s.handshake = milliseconds(c.workMs / 8);
    s.requestsPerSecond = c.load * c.hosts * c.slots * 1000.0 / c.workMs;
    s.connections = 10000;
    s.initialCapacityFraction = 0.32;
    s.listDelay = milliseconds(200);  // a start is listed while the host still has its lowest capacity
    s.seed = seed;
    return s;
  }
  void expectBudget(const Fleet& f, const std::string& scenario) const {
    std::printf("%s: %.2f of the budget in the worst window, %.0f attempts to spare, value %.3f\n",
                scenario.c_str(), f.audit.worstBudgetFraction, -f.audit.worstBudgetExcess,
                f.counts.valueServed / f.counts.valueRequested);
    EXPECT_LE(f.audit.worstBudgetExcess, 0) << scenario;
    EXPECT_GT(f.audit.worstBudgetFraction, 0) << scenario << ": nothing was sent to a warming host";
  }
};

// Six in ten hosts are replaced within four seconds.
TEST_P(SlowStartBudget, HoldsDuringDeploy) {
  for (const std::uint64_t seed : {1, 2}) {
    Fleet f(settings(seed));
    f.run(seconds(3));
    const int n = f.settings.hosts * 6 / 10;
    for (int h = 0; h < n; ++h) {
      const Time when = seconds(3) + Duration(seconds(4)) * h / n;
      f.at(when, [&f, h] { f.addHost(h % 2 ? "west" : "east"); });
      f.at(when + milliseconds(200), [&f, h] { f.drainHost(h); });
      f.at(when + seconds(3), [&f, h] { f.killHost(h); });
    }
    f.run(seconds(12));
    expectBudget(f, "deploy, seed " + std::to_string(seed));
  }
}

// Two hosts and all gateways restart: the initial burst of each new gateway counts against the budget.
TEST_P(SlowStartBudget, HoldsWhileTheGatewaysRestart) {
  Fleet f(settings(3));
  f.run(seconds(3));
  f.killHost(0);
  f.killHost(1);
  f.at(seconds(6), [&f] { f.restartHost(0); });
  f.at(seconds(6), [&f] { f.restartHost(1); });
  for (int round = 0; round < 3; ++round)
    for (std::uint32_t g = 0; g < f.settings.gateways; ++g) {
      const Time when = milliseconds(6500) + milliseconds(700) * round;
      f.at(when, [&f, g] { f.stopGateway(g); });
      f.at(when + milliseconds(100), [&f, g] { f.startGateway(g); });
    }
  f.run(seconds(11));
  expectBudget(f, "restarts");
}

// Traffic is 1.5 times the usual, and one gateway has five times the mean.
TEST_P(SlowStartBudget, HoldsDuringBurstOnUnevenGateways) {
  FleetSettings s = settings(4);
  s.heavyGatewayFactor = 5;
  s.requestsPerSecond *= 1.5;
  Fleet f(s);
  f.run(seconds(3));
  for (int h = 0; h < f.settings.hosts; h += 3) {
    f.killHost(h);
    f.at(seconds(6), [&f, h] { f.restartHost(h); });
  }
  f.run(seconds(11));
  expectBudget(f, "burst");
}

// Nine in ten hosts become unreachable and some of the others are warming up, so most requests could only go
// there.
TEST_P(SlowStartBudget, HoldsWhenFewOtherHostsAreLeft) {
  Fleet f(settings(5));
  f.run(seconds(3));
  const int warmingHostCount = std::max(1, f.settings.hosts / 20);
  for (int h = 0; h < warmingHostCount; ++h) {
    f.killHost(h);
    f.at(seconds(6), [&f, h] { f.restartHost(h); });
  }
  for (int h = f.settings.hosts / 10; h < f.settings.hosts; ++h)
    f.at(seconds(5), [&f, h] { f.setUnreachable(h, true); });
  f.run(seconds(12));
  expectBudget(f, "few left");
}

INSTANTIATE_TEST_SUITE_P(Fleets, SlowStartBudget,
                         ::testing::Values(BudgetCase{1, 12, 4, 80, 0.6}, BudgetCase{2, 12, 4, 80, 0.6},
                                           BudgetCase{8, 16, 4, 80, 0.6}, BudgetCase{8, 16, 2, 200, 0.6},
                                           BudgetCase{20, 40, 4, 80, 0.6}, BudgetCase{20, 30, 2, 200, 0.6},
                                           BudgetCase{30, 60, 4, 80, 0.6}, BudgetCase{30, 32, 2, 200, 0.6},
                                           BudgetCase{30, 60, 2, 200, 0.7}, BudgetCase{20, 10, 4, 80, 0.7},
                                           BudgetCase{30, 15, 4, 80, 0.7}, BudgetCase{30, 30, 2, 200, 0.7},
                                           BudgetCase{32, 33, 1, 200, 0.7}, BudgetCase{30, 60, 1, 400, 0.8},
                                           BudgetCase{20, 40, 1, 400, 0.9}, BudgetCase{30, 90, 1, 800, 0.9},
                                           BudgetCase{8, 16, 1, 800, 0.8}, BudgetCase{32, 60, 2, 200, 0.7},
                                           BudgetCase{33, 60, 2, 200, 0.7}, BudgetCase{64, 60, 2, 200, 0.7},
                                           BudgetCase{300, 100, 2, 200, 0.6},
                                           BudgetCase{1024, 100, 2, 200, 0.6}),
                         caseName);

}  // namespace
}  // namespace finchstile::load_balancing::testing
