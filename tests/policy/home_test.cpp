// Requests whose own zone comes first, as long as service there does not fall.
#include "support/driver.hpp"

namespace finchstile::load_balancing::testing {
namespace {

// Three hosts of the own zone, three of another.
Driver zones() {
  Driver d(makeSettings(), 0);
  std::vector<HostEntry> list;
  for (int i = 0; i < 6; ++i) list.push_back(makeHost(i, i < 3 ? "east" : "west"));
  d.balancer.onHostListUpdate(d.now, HostListUpdate::complete, list);
  d.collect();
  return d;
}

RequestId ask(Driver& d, bool homeFirst) {
  Request q;
  q.id = ++d.last;
  q.classIndex = 0;
  q.timeLeft = milliseconds(1000);
  q.preferLocalZone = homeFirst;
  d.balancer.onRequest(d.now, q);
  d.collect();
  return q.id;
}

std::size_t away(const Driver& d) { return d.sentTo(d.host(3)) + d.sentTo(d.host(4)) + d.sentTo(d.host(5)); }

TEST(Home, NothingCrossesWhileTheOwnZoneHasRoom) {
  for (const bool homeFirst : {false, true}) {
    Driver d = zones();
    for (int i = 0; i < 200; ++i) {
      ask(d, homeFirst);
      if (d.out.size() >= 2) d.serve(Sent(d.out.front()));
      d.advance(milliseconds(10));
    }
    if (homeFirst) EXPECT_EQ(away(d), 0u);
    else EXPECT_GT(away(d), 20u);
  }
}

// Hosts that carry all the traffic in a small part of the aim have room, however much the pool holds
// elsewhere.
TEST(Home, HostsThatAnswerFastCarryAllOfIt) {
  Driver d = zones();
  for (int i = 0; i < 3000; ++i) {
    ask(d, true);
    if (d.out.size() > 6) d.serve(Sent(d.out.front()));  // two held by each, for 12 ms
    d.advance(milliseconds(2), milliseconds(2));
    if (i == 300) d.forget();  // learned by then
  }
  EXPECT_LT(away(d), 30u);
}

TEST(Home, BeforeThePoolRefusesRequestsCross) {
  Driver d = zones();
  std::vector<RequestId> asked;
  for (int i = 0; i < 18; ++i) asked.push_back(ask(d, true));
  EXPECT_GT(away(d), 0u);
  EXPECT_GE(d.sent.size() - away(d), 6u);  // home came first
  for (const RequestId id : asked) EXPECT_FALSE(d.refused(id));
}

TEST(Home, WithoutHostsAtHomeAllIsServedElsewhere) {
  Driver d = zones();
  d.balancer.onHostListUpdate(d.now, HostListUpdate::complete, {makeHost(3, "west"), makeHost(4, "west")});
  d.collect();
  for (int i = 0; i < 20; ++i) {
    ask(d, true);
    ASSERT_EQ(d.out.size(), 1u);
    d.serve(Sent(d.out.front()));
  }
}

// A resend goes by the leave that the request was given, and to no host that it has been at.
TEST(Home, AResendStaysAtHomeToo) {
  Driver d = zones();
  d.warmUp(0, 50);
  d.forget();
  ask(d, true);
  d.settle(d.lastSent(), Outcome::rejectedForCapacity, false);
  ASSERT_EQ(d.sent.size(), 2u);
  EXPECT_EQ(away(d), 0u);
  EXPECT_NE(d.sent[0].host, d.sent[1].host);
}

}  // namespace
}  // namespace finchstile::load_balancing::testing
