// CapacityBackoff: pauses of hosts that reject attempts for lack of capacity.
#include "policy/capacity_backoff.hpp"

#include "support/driver.hpp"

namespace finchstile::load_balancing::testing {
namespace {

// A host that rejects at once holds nothing and looks idle: it must not draw all retries.
TEST(CapacityBackoff, HostThatRejectsAllBacksOff) {
  Driver d(makeSettings(), 4);
  d.warmUp(0, 40);
  const HostId full = d.host(3);
  d.clearHistory();
  for (int i = 0; i < 400; ++i) {
    d.request(0);
    d.advance(milliseconds(5));
    for (std::size_t k = 0; k < d.out.size();) {
      const SentAttempt s = d.out[k];
      if (s.host == full) d.settle(s, Outcome::rejectedForCapacity, false);
      else if (d.now - s.at >= milliseconds(20)) d.serve(s);
      else ++k;
    }
  }
  EXPECT_LT(d.sentTo(full), 25u);
}

TEST(CapacityBackoff, BeginsAtTheThirdRejectionAndDoubles) {
  RandomSource random(1);
  Host host;
  for (int i = 0; i < 2; ++i) CapacityBackoff::onRejected(host, seconds(1), random);
  EXPECT_FALSE(CapacityBackoff::isBackingOff(host, seconds(1)));
  CapacityBackoff::onRejected(host, seconds(1), random);
  EXPECT_TRUE(CapacityBackoff::isBackingOff(host, seconds(1) + milliseconds(9)));
  EXPECT_FALSE(CapacityBackoff::isBackingOff(host, seconds(1) + milliseconds(30)));
  CapacityBackoff::onRejected(host, seconds(2), random);
  EXPECT_TRUE(CapacityBackoff::isBackingOff(host, seconds(2) + milliseconds(19)));
  CapacityBackoff::onServed(host);
  CapacityBackoff::onRejected(host, seconds(3), random);
  EXPECT_FALSE(CapacityBackoff::isBackingOff(host, seconds(3))) << "an answer ends the row";
}

TEST(CapacityBackoff, UnreachableHostBacksOffAtOnce) {
  RandomSource random(1);
  Host host;
  CapacityBackoff::onUnreachable(host, seconds(1), random);
  EXPECT_TRUE(CapacityBackoff::isBackingOff(host, seconds(1) + milliseconds(9)));
}

}  // namespace
}  // namespace finchstile::load_balancing::testing
