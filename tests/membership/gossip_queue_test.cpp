// Order and number of transmissions of queued updates.
#include "membership/gossip_queue.hpp"

#include <gtest/gtest.h>

namespace finchstile::membership {
namespace {

using Kind = GossipUpdate::Kind;

GossipUpdate update(HostKey host, Kind kind = Kind::draining) { return {host, 0, kind, 1, {}}; }

std::vector<HostKey> hostsOf(const std::vector<GossipUpdate>& batch) {
  std::vector<HostKey> hosts;
  for (const GossipUpdate& item : batch) hosts.push_back(item.host);
  return hosts;
}

TEST(GossipQueue, DropsAnUpdateAfterItsLastTransmission) {
  GossipQueue queue(10, 2);
  EXPECT_TRUE(queue.enqueue(update(1)));
  queue.onTransmitted(1);
  EXPECT_TRUE(queue.contains(1));
  queue.onTransmitted(1);
  EXPECT_TRUE(queue.empty());
}

TEST(GossipQueue, SendsLeastTransmittedUpdatesFirst) {
  GossipQueue queue(20, 3);
  for (HostKey host = 1; host <= 10; ++host) queue.enqueue(update(host));
  EXPECT_EQ(hostsOf(queue.nextBatch()), (std::vector<HostKey>{1, 2, 3, 4, 5, 6, 7, 8}));
  for (HostKey host = 1; host <= 8; ++host) queue.onTransmitted(host);
  EXPECT_EQ(hostsOf(queue.nextBatch()), (std::vector<HostKey>{9, 10, 1, 2, 3, 4, 5, 6}));
}

TEST(GossipQueue, ReplacesTheUpdateOfAHostAndRejectsOthersWhenFull) {
  GossipQueue queue(1, 2);
  EXPECT_TRUE(queue.enqueue(update(1)));
  EXPECT_TRUE(queue.enqueue(update(1, Kind::removed)));
  EXPECT_EQ(queue.nextBatch().at(0).kind, Kind::removed);
  EXPECT_FALSE(queue.enqueue(update(2)));
}

TEST(GossipQueue, EraseIfUnresponsiveKeepsRemovals) {
  GossipQueue queue(10, 2);
  queue.enqueue(update(1, Kind::removed));
  queue.enqueue(update(2, Kind::unresponsive));
  queue.eraseIfUnresponsive(1);
  queue.eraseIfUnresponsive(2);
  EXPECT_TRUE(queue.contains(1));
  EXPECT_FALSE(queue.contains(2));
}

}  // namespace
}  // namespace finchstile::membership
