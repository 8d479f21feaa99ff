// HostPicker: weights, key affinity, zones.
#include "policy/host_picker.hpp"

#include <set>

#include "support/driver.hpp"

namespace finchstile::load_balancing::testing {
namespace {

// Three hosts of the local zone, three of another.
Driver twoZones() {
  Driver d(makeSettings(), 0);
  std::vector<HostEntry> list;
  for (int i = 0; i < 6; ++i) list.push_back(makeHost(i, i < 3 ? "east" : "west"));
  d.balancer.onHostListUpdate(d.now, HostListUpdate::complete, list);
  d.collect();
  return d;
}

RequestId request(Driver& d, bool preferLocalZone) {
  Request q;
  q.id = ++d.last;
  q.classIndex = 0;
  q.timeLeft = milliseconds(1000);
  q.preferLocalZone = preferLocalZone;
  d.balancer.onRequest(d.now, q);
  d.collect();
  return q.id;
}

std::size_t sentToOtherZone(const Driver& d) {
  return d.sentTo(d.host(3)) + d.sentTo(d.host(4)) + d.sentTo(d.host(5));
}

TEST(HostPicker, PicksIdleHostsFirst) {
  Driver d(makeSettings(), 6);
  std::set<HostId> used;
  for (int i = 0; i < 6; ++i) {
    d.request(0);
    used.insert(d.lastSent().host);
  }
  EXPECT_EQ(used.size(), 6u) << "each host gets one before any gets a second";
}

TEST(HostPicker, SlowHostsGetFewerRequests) {
  Driver d(makeSettings(), 4);
  const HostId slow = d.host(0);
  for (int i = 0; i < 400; ++i) {
    d.request(0);
    d.advance(milliseconds(10));
    for (std::size_t k = 0; k < d.out.size();) {
      const SentAttempt s = d.out[k];
      if (d.now - s.at >= milliseconds(s.host == slow ? 90 : 30)) d.serve(s);
      else ++k;
    }
  }
  EXPECT_LT(d.sentTo(slow) * 3, d.sentTo(d.host(1)) * 2);
  EXPECT_GT(d.sentTo(slow), 5u);
}

TEST(HostPicker, AffinityKeysGoToOneHostAtEveryGateway) {
  Settings s = makeSettings();
  s.keyAffinity = true;
  Driver a(s, 8);
  s.seed = 99;
  Driver b(s, 8);
  std::set<HostId> all;
  for (std::uint64_t key = 1; key <= 60; ++key) {
    a.request(0, milliseconds(1000), key);
    b.request(0, milliseconds(1000), key);
    EXPECT_EQ(a.lastSent().host, b.lastSent().host);
    all.insert(a.lastSent().host);
    a.serve(a.lastSent());
    b.serve(b.lastSent());
  }
  EXPECT_EQ(all.size(), 8u);
}

TEST(HostPicker, PrefersLocalZoneAndSpillsOver) {
  Settings s = makeSettings();
  Driver d(s, 0);
  d.balancer.onHostListUpdate(d.now, HostListUpdate::complete,
                              {makeHost(0), makeHost(1), makeHost(2, "west"), makeHost(3, "west")});
  for (int i = 0; i < 200; ++i) {
    d.request(0);
    d.serve(d.lastSent());
  }
  const std::size_t own = d.sentTo(d.host(0)) + d.sentTo(d.host(1));
  EXPECT_GT(own, 115u);
  EXPECT_LT(own, 200u);
  d.clearHistory();
  for (int i = 0; i < 4; ++i) d.request(0);
  EXPECT_GT(d.sentTo(d.host(2)) + d.sentTo(d.host(3)), 0u);
}

// Where every host looks idle, the local zone must not be overrun while the other stands free.
TEST(HostPicker, SlowLocalZoneYields) {
  Driver d(makeSettings(), 0);
  d.balancer.onHostListUpdate(d.now, HostListUpdate::complete,
                              {makeHost(0), makeHost(1), makeHost(2, "west"), makeHost(3, "west")});
  const auto time = [&](HostId h) {
    return h == d.host(0) || h == d.host(1) ? milliseconds(120) : milliseconds(40);
  };
  for (int i = 0; i < 400; ++i) {
    if (i == 200) d.clearHistory();
    d.request(0);
    d.advance(milliseconds(40));
    serveDue(d, [&](HostId h) { return Duration(time(h)); });
  }
  EXPECT_GT(d.sentTo(d.host(2)) + d.sentTo(d.host(3)), 130u);
}

TEST(HostPicker, StaysInLocalZoneWhileItHasCapacity) {
  for (const bool homeFirst : {false, true}) {
    Driver d = twoZones();
    for (int i = 0; i < 200; ++i) {
      request(d, homeFirst);
      if (d.out.size() >= 2) d.serve(SentAttempt(d.out.front()));
      d.advance(milliseconds(10));
    }
    if (homeFirst) EXPECT_EQ(sentToOtherZone(d), 0u);
    else EXPECT_GT(sentToOtherZone(d), 20u);
  }
}

TEST(HostPicker, FastLocalHostsCarryAllRequests) {
  Driver d = twoZones();
  for (int i = 0; i < 3000; ++i) {
    request(d, true);
    if (d.out.size() > 6) d.serve(SentAttempt(d.out.front()));  // two held by each, for 12 ms
    d.advance(milliseconds(2), milliseconds(2));
    if (i == 300) d.clearHistory();  // learned by then
  }
  EXPECT_LT(sentToOtherZone(d), 30u);
}

TEST(HostPicker, CrossesZonesBeforeThePoolRejects) {
  Driver d = twoZones();
  std::vector<RequestId> asked;
  for (int i = 0; i < 18; ++i) asked.push_back(request(d, true));
  EXPECT_GT(sentToOtherZone(d), 0u);
  EXPECT_GE(d.sent.size() - sentToOtherZone(d), 6u);  // home came first
  for (const RequestId id : asked) EXPECT_FALSE(d.refused(id));
}

TEST(HostPicker, ServesElsewhereWithoutLocalHosts) {
  Driver d = twoZones();
  d.balancer.onHostListUpdate(d.now, HostListUpdate::complete, {makeHost(3, "west"), makeHost(4, "west")});
  d.collect();
  for (int i = 0; i < 20; ++i) {
    request(d, true);
    ASSERT_EQ(d.out.size(), 1u);
    d.serve(SentAttempt(d.out.front()));
  }
}

TEST(HostPicker, RetryStaysInLocalZone) {
  Driver d = twoZones();
  d.warmUp(0, 50);
  d.clearHistory();
  request(d, true);
  d.settle(d.lastSent(), Outcome::rejectedForCapacity, false);
  ASSERT_EQ(d.sent.size(), 2u);
  EXPECT_EQ(sentToOtherZone(d), 0u);
  EXPECT_NE(d.sent[0].host, d.sent[1].host);
}

// --- The class alone

class HostPickerTest : public ::testing::Test {
 protected:
  HostPickerTest() {
    hosts.apply(HostListUpdate::complete, {makeHost(0), makeHost(1), makeHost(2)}, [](Host&) {});
    picker.rebuildPreferenceOrder();
    request.classIndex = 0;
  }
  Host& host(int number) { return hosts[hosts.findByAddress(makeHost(number).address)]; }

  Settings settings = makeSettings();
  HostRegistry hosts{"east"};
  FleetShape shape{settings, hosts};
  InFlightTracker inFlight;
  ActionQueue actions;
  TrafficStatistics traffic{settings, {}};
  RetryPolicy retries{settings, hosts, shape, traffic};
  OutlierDetector outliers{hosts, shape, traffic, actions};
  OverloadEstimator overload{settings, hosts, shape, traffic, inFlight, retries, actions};
  SlowStart slowStart{settings, shape, traffic};
  StreamPlacement streams{settings};
  LoadReportModel loadReports;
  HostPicker picker{
      {settings, hosts, shape, traffic, overload, outliers, slowStart, retries, streams, loadReports}};
  RandomSource random{1};
  ActiveRequest request;
};

TEST_F(HostPickerTest, UsesHealthyHostsThatWereNotTried) {
  EXPECT_TRUE(picker.isUsable(request, host(0).id, seconds(1)));
  host(0).health.unresponsive = true;
  EXPECT_FALSE(picker.isUsable(request, host(0).id, seconds(1)));
  host(1).capacity.backoffUntil = seconds(2);
  EXPECT_FALSE(picker.isUsable(request, host(1).id, seconds(1)));
  EXPECT_TRUE(picker.isUsable(request, host(1).id, seconds(2)));
  request.attemptCount = 1;
  request.attempts[0].host = host(2).id;
  EXPECT_FALSE(picker.isUsable(request, host(2).id, seconds(1)));
}

TEST_F(HostPickerTest, FallsBackToUnhealthyHosts) {
  for (int i = 0; i < 3; ++i) host(i).health.state = HealthState::ejected;
  EXPECT_NE(picker.pick(request, seconds(1), random), kNone);
  host(1).health.state = HealthState::healthy;
  for (int i = 0; i < 20; ++i) EXPECT_EQ(picker.pick(request, seconds(1), random), host(1).id);
}

TEST_F(HostPickerTest, PicksNothingWithoutHosts) {
  hosts.apply(HostListUpdate::complete, {}, [](Host&) {});
  picker.rebuildPreferenceOrder();
  EXPECT_EQ(picker.pick(request, seconds(1), random), kNone);
}

}  // namespace
}  // namespace finchstile::load_balancing::testing
