// What a request costs must not grow with the hosts and tenants of a deployment: processor time at two sizes,
// in one process, the least of several runs. The bound is far above the noise and far below the growth that
// it guards against (30 and 60 times).
#include <gtest/gtest.h>
#include <time.h>

#include <algorithm>

#include "support/driver.hpp"

namespace finchstile::load_balancing::testing {
namespace {

constexpr double kMaxCostRatio = 8;  // of the large size to the small one
constexpr int kRuns = 7;
constexpr int kRequests = 500;
constexpr std::uint32_t kGateways = 520;

double processorSeconds() {
  timespec t{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
  return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_nsec) * 1e-9;
}

// The least processor time of an answered request, in seconds.
double costOfRequest(int hosts, int tenants) {
  Settings s = makeSettings();
  s.gatewayCount = kGateways;
  for (int i = 0; i < tenants; ++i) s.tenants.push_back({"tenant-" + std::to_string(i), 50});
  LoadBalancer balancer(s, seconds(100));
  std::vector<HostEntry> list;
  for (int i = 0; i < hosts; ++i) list.push_back(makeHost(i));
  Time now = seconds(100);
  balancer.onHostListUpdate(now, HostListUpdate::complete, list);
  RequestId last = 0;
  double lowest = 1e9;
  for (int run = 0; run < kRuns; ++run) {
    const double startedAt = processorSeconds();
    for (int i = 0; i < kRequests; ++i) {
      now += milliseconds(4);
      Request q;
      q.id = ++last;
      q.classIndex = 0;
      if (tenants > 0)
        q.tenantIndex = static_cast<std::uint32_t>(last * 7919 % static_cast<RequestId>(tenants));
      q.timeLeft = seconds(1);
      balancer.actions().clear();
      balancer.onRequest(now, q);
      const auto actions = balancer.actions();
      for (const Action& a : actions)
        if (a.kind == ActionKind::sendAttempt)
          balancer.onAttemptResult(now,
                                   {a.request, a.attempt, a.host, Outcome::served, milliseconds(20), true});
    }
    lowest = std::min(lowest, (processorSeconds() - startedAt) / kRequests);
  }
  return lowest;
}

TEST(RequestCost, DoesNotGrowWithTheHosts) {
  EXPECT_LT(costOfRequest(6400, 0), kMaxCostRatio * costOfRequest(46, 0));
}

TEST(RequestCost, DoesNotGrowWithTheTenants) {
  EXPECT_LT(costOfRequest(46, 27000), kMaxCostRatio * costOfRequest(46, 100));
}

}  // namespace
}  // namespace finchstile::load_balancing::testing
