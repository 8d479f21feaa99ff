// TrafficStatistics: what is measured at the start, and relative latency.
#include "policy/traffic_statistics.hpp"

#include <algorithm>

#include "support/driver.hpp"

namespace finchstile::load_balancing::testing {
namespace {

// 16 clients in a closed loop before two idle hosts that answer in 50 us.
TEST(TrafficStatistics, FastHostsAreNotHeldToTheFirstGuess) {
  Driver d(makeSettings(), 2);
  for (int i = 0; i < 16; ++i) d.request(0);
  std::size_t refused = 0;
  for (int step = 0; step < 4000; ++step) {  // 200 ms
    d.advance(std::chrono::microseconds(50), std::chrono::microseconds(50));
    const std::vector<SentAttempt> due = d.out;
    for (const SentAttempt& s : due) d.serve(s);
    for (std::size_t i = due.size(); i < 16; ++i) ++refused;  // comes anew at once
    for (int i = 0; i < 16; ++i) d.request(0);
  }
  for (const auto& [id, kind] : d.answers) refused += kind == ActionKind::reject;
  EXPECT_LE(refused, 16u);
}

// Where nothing has been answered, nothing is learned: a slow fleet is not overloaded by it.
TEST(TrafficStatistics, SlowHostsAreHeldToTheFirstGuess) {
  Driver d(makeSettings(), 2);
  std::size_t most = 0;
  for (int i = 0; i < 900; ++i) {
    d.request(0);
    d.advance(milliseconds(1), milliseconds(1));
    if (i > 100 && i % 25 == 0 && !d.out.empty()) d.serve(SentAttempt(d.out.front()));  // 40 a second
    most = std::max(most, d.out.size());
  }
  EXPECT_LT(most, 30u);
}

// A host whose relative latency was learned in a fault gets few requests; without new ones it would never
// change.
TEST(TrafficStatistics, OldRelativeLatencyFadesWithoutRequests) {
  Driver d(makeSettings(), 4);
  const HostId slow = d.host(0);
  for (int i = 0; i < 600; ++i) {
    d.request(1);
    d.advance(milliseconds(10));
    serveDue(d, [&](HostId h) { return Duration(milliseconds(h == slow ? 350 : 20)); });
  }
  d.advance(seconds(1));
  serveDue(d, [&](HostId) { return Duration(milliseconds(20)); });
  d.advance(seconds(8));
  d.clearHistory();
  for (int i = 0; i < 100; ++i) {
    d.request(1);
    d.advance(milliseconds(20));
    serveDue(d, [&](HostId) { return Duration(milliseconds(20)); });
  }
  EXPECT_GT(d.sentTo(slow), 12u);
}

TEST(TrafficStatistics, RelativeLatencyComparesHostsAcrossClasses) {
  const Settings settings = makeSettings();
  TrafficStatistics traffic(settings, {});
  HostRegistry hosts("east");
  hosts.apply(HostListUpdate::complete, {makeHost(0)}, [](Host&) {});
  Host& host = hosts[hosts.findByAddress("host-100")];
  ActiveRequest request;
  request.classIndex = 0;
  request.relativeWork = 2;
  request.objectiveAt = seconds(1);
  EXPECT_EQ(traffic.onResult({}, host, request, Outcome::served, 0.2), 1) << "the first answer is typical";
  EXPECT_DOUBLE_EQ(traffic.classes()[0].typicalLatency, 0.1);
  request.relativeWork = 1;
  EXPECT_DOUBLE_EQ(traffic.onResult({}, host, request, Outcome::timeout, 0.3), 3);
  traffic.learnRelativeLatency(host, Outcome::timeout, 3, hosts);
  EXPECT_DOUBLE_EQ(host.traffic.relativeLatency, 1.2);
  traffic.learnRelativeLatency(host, Outcome::error, 20, hosts);
  EXPECT_DOUBLE_EQ(host.traffic.relativeLatency, 1.2) << "errors tell nothing of latency";
}

TEST(TrafficStatistics, UnknownClassHasAStandIn) {
  const Settings settings = makeSettings();
  const TrafficStatistics traffic(settings, {});
  Request request;
  request.classIndex = 57;
  const ClassSettings& standIn = traffic.classes()[traffic.classIndexOf(request)].settings;
  EXPECT_EQ(standIn.name, "unknown");
  EXPECT_EQ(standIn.idempotency, Idempotency::nonIdempotent);
  EXPECT_EQ(standIn.priorityWeight, 0);
}

}  // namespace
}  // namespace finchstile::load_balancing::testing
