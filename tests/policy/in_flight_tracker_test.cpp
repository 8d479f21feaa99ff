// InFlightTracker: the list of busy hosts follows every begin and end, in any order.
#include "policy/in_flight_tracker.hpp"

#include <gtest/gtest.h>

#include <random>
#include <set>
#include <string>
#include <vector>

#include "support/driver.hpp"

namespace finchstile::load_balancing::testing {
namespace {

TEST(InFlightTracker, BusyHostsAreThoseWithAttemptsInFlight) {
  for (std::uint32_t seed = 1; seed <= 20; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    std::mt19937 engine(seed);
    HostRegistry hosts("east");
    InFlightTracker tracker;
    std::vector<HostEntry> entries(12);
    for (std::size_t i = 0; i < entries.size(); ++i) entries[i].address = "host-" + std::to_string(i);
    hosts.apply(HostListUpdate::complete, entries, [](Host&) {});
    std::vector<HostId> ids;
    for (const HostEntry& entry : entries) ids.push_back(hosts.findByAddress(entry.address));
    std::vector<Attempt> inFlight;
    for (int step = 0; step < 400; ++step) {
      if (inFlight.empty() || engine() % 2 == 0) {
        Attempt attempt;
        attempt.host = ids[engine() % ids.size()];
        tracker.begin(hosts, 1, attempt);
        inFlight.push_back(attempt);
      } else {
        const std::size_t at = engine() % inFlight.size();
        tracker.end(hosts, inFlight[at]);
        tracker.end(hosts, inFlight[at]);  // a second time does nothing
        inFlight.erase(inFlight.begin() + static_cast<std::ptrdiff_t>(at));
      }
      std::set<HostId> expected;
      for (const Attempt& attempt : inFlight) expected.insert(attempt.host);
      const std::vector<HostId>& busy = tracker.busyHosts();
      ASSERT_EQ(std::set<HostId>(busy.begin(), busy.end()), expected);
      ASSERT_EQ(busy.size(), expected.size());
    }
  }
}

// The count of attempts in flight follows hosts that drain and answer in any order: a full pool raises the
// cutoff, and one that has answered all does not.
TEST(InFlightTracker, FollowsDrainsAndAnswers) {
  Settings s = makeSettings();
  Driver d(s, 4);
  d.warmUp(0, 60);
  for (int i = 0; i < 400; ++i) {
    d.request(0, milliseconds(1000));
    if (i % 40 == 0) {
      HostEntry host = makeHost(i / 40 % 4, "east", 0);
      host.phase = i / 40 % 2 == 0 ? HostPhase::draining : HostPhase::active;
      d.balancer.onHostListUpdate(d.now, HostListUpdate::incremental, {host});
      d.collect();
    }
  }
  EXPECT_GT(d.balancer.admissionCutoff(), 50);
  while (!d.out.empty()) d.serve(SentAttempt(d.out.front()));
  d.advance(seconds(5));
  EXPECT_LT(d.balancer.admissionCutoff(), 1);
}

}  // namespace
}  // namespace finchstile::load_balancing::testing
