// The processor time of a request must not grow with the number of hosts and tenants. Compares two sizes
// within one process and takes the lowest time of several runs. The bound is far above the noise of the
// measurement and far below the growth that it guards against (30 and 60 times).
#include <gtest/gtest.h>
#include <time.h>

#include <algorithm>

#include "support/driver.hpp"

namespace finchstile::load_balancing::testing {
namespace {

constexpr double kMaxCostRatio = 8;  // cost at the large size / cost at the small one
constexpr int kRuns = 7;
constexpr int kRequests = 500;
constexpr std::uint32_t kGateways = 520;

double processorSeconds() {
  timespec t{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
  return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_nsec) * 1e-9;
}

// Returns the lowest mean processor time of a request with one attempt, in seconds, over kRuns runs.
double costOfRequest(int hosts, int tenants) {
  Settings s = makeSettings();
  s.gatewayCount = kGateways;
  for (int i = 0; i < tenants; ++i) s.tenants.push_back({"tenant-" + std::to_string(i), 50});
  LoadBalancer balancer(s, seconds(100));
  std::vector<HostEntry> list;
  for (int i = 0; i < hosts; ++i) list.push_back(makeHost(i));
  Time now = seconds(100);
  balancer.onHostListUpdate(now, HostListUpdate::complete, list);
  RequestId lastId = 0;
  double lowest = 1e9;
  for (int run = 0; run < kRuns; ++run) {
    const double startedAt = processorSeconds();
    for (int i = 0; i < kRequests; ++i) {
      now += milliseconds(4);
      Request q;
      q.id = ++lastId;
      q.classIndex = 0;
      if (tenants > 0)
        q.tenantIndex = static_cast<std::uint32_t>(lastId * 7919 % static_cast<RequestId>(tenants));
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

TEST(RequestCost, DoesNotGrowWithNumberOfHosts) {
  EXPECT_LT(costOfRequest(6400, 0), kMaxCostRatio * costOfRequest(46, 0));
}

TEST(RequestCost, DoesNotGrowWithNumberOfTenants) {
  EXPECT_LT(costOfRequest(46, 27000), kMaxCostRatio * costOfRequest(46, 100));
}

}  // namespace
}  // namespace finchstile::load_balancing::testing
