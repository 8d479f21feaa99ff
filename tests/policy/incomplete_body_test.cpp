// Requests whose bodies are incomplete, and answers that have begun: neither is load on a host.
#include "support/driver.hpp"

namespace finchstile::load_balancing::testing {
namespace {

RequestId sendIncomplete(Driver& d, std::uint32_t cls, Duration left = milliseconds(1000)) {
  Request q;
  q.id = ++d.last;
  q.classIndex = cls;
  q.timeLeft = left;
  q.bodyIncomplete = true;
  d.balancer.onRequest(d.now, q);
  d.collect();
  return q.id;
}

TEST(IncompleteBody, IsSentOnceOnly) {
  Driver d(makeSettings());
  const RequestId id = sendIncomplete(d, 1);
  ASSERT_EQ(d.sent.size(), 1u);
  d.settle(d.lastSent(), Outcome::connectFailed, false);
  EXPECT_EQ(d.sent.size(), 1u);
  EXPECT_TRUE(d.refused(id));  // it never ran
  const RequestId ran = sendIncomplete(d, 1);
  d.balancer.onRequestBodyComplete(d.now, ran);
  d.settle(d.lastSent(), Outcome::reset, false);
  EXPECT_TRUE(d.failed(ran));
  EXPECT_EQ(d.sent.size(), 2u);
}

TEST(IncompleteBody, TimeCountsFromTheLastByte) {
  Driver d(makeSettings());
  const RequestId id = sendIncomplete(d, 0);
  d.advance(seconds(5));  // many times what its client would wait
  EXPECT_FALSE(d.refused(id) || d.failed(id));
  const Duration span = d.balancer.onRequestBodyComplete(d.now, id);
  d.collect();
  EXPECT_GT(span, Duration{});
  EXPECT_LE(span, milliseconds(400));                                  // within the aim, from now on
  EXPECT_EQ(d.balancer.onRequestBodyComplete(d.now, id), Duration{});  // once
  d.advance(milliseconds(1100));
  EXPECT_TRUE(d.refused(id));  // safe to repeat
  EXPECT_EQ(d.balancer.onRequestBodyComplete(d.now, 999), Duration{});
}

TEST(IncompleteBody, SlowBodiesLookNeitherLikeLoadNorLikeSilentHosts) {
  Driver d(makeSettings());
  d.warmUp(0, 100);
  for (int i = 0; i < 300; ++i) sendIncomplete(d, 1, milliseconds(1000));
  d.advance(seconds(3));
  EXPECT_EQ(d.balancer.admissionCutoff(), 0);
  for (int i = 0; i < 6; ++i) EXPECT_FALSE(d.balancer.isAvoided(d.host(i))) << i;
  for (RequestId id = d.last - 299; id <= d.last; ++id) d.balancer.onRequestBodyComplete(d.now, id);
  d.collect();
  d.advance(milliseconds(200));
  EXPECT_GT(d.balancer.admissionCutoff(), 90);  // now it is
}

// A host that has begun to answer is done with the request, however long the answer takes on its way.
TEST(ResponseHeaders, EndTheAttemptsTimeInFlight) {
  for (const bool begun : {false, true}) {
    Driver d(makeSettings());
    d.warmUp(0, 100);
    for (int i = 0; i < 60; ++i) {
      d.request(0);
      if (begun && !d.out.empty())
        d.balancer.onResponseHeaders(d.now, d.lastSent().request, d.lastSent().attempt);
    }
    d.advance(milliseconds(200));
    if (begun) EXPECT_EQ(d.balancer.admissionCutoff(), 0);
    else EXPECT_GT(d.balancer.admissionCutoff(), 90);
    while (!d.out.empty()) d.serve(SentAttempt(d.out.front()));
    d.advance(seconds(2));
    EXPECT_EQ(d.balancer.admissionCutoff(), 0);
    EXPECT_EQ(d.balancer.openRequests(), 0u);
  }
}

}  // namespace
}  // namespace finchstile::load_balancing::testing
