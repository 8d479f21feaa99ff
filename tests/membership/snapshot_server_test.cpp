// Limits on the rate of answered snapshot requests.
#include "membership/snapshot_server.hpp"

#include <gtest/gtest.h>

#include <map>

#include "membership/snapshot_fixtures.hpp"

namespace finchstile::membership {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

TEST(SnapshotServer, LimitsConcurrentResponsesAndTheRatePerGateway) {
  SnapshotServer::Settings settings;
  SnapshotServer server(settings);
  StateSnapshot snapshot = snapshotOf(minutes(3), {});
  for (HostKey key = 1; key <= 500; ++key) snapshot.hosts.push_back(hostRecord(key));
  int snapshotsMade = 0;
  const auto makeSnapshot = [&] {
    ++snapshotsMade;
    return snapshot;
  };
  const Time now = seconds(100);
  EXPECT_FALSE(server.onMessage(1, "noise", now, makeSnapshot));
  for (GatewayNumber from = 1; from <= 6; ++from)
    EXPECT_TRUE(server.onMessage(from, encodeSnapshotRequest(from), now, makeSnapshot));
  EXPECT_EQ(snapshotsMade, 4);  // the maximum at the same time
  EXPECT_TRUE(server.onMessage(1, encodeSnapshotRequest(1), now + milliseconds(500), makeSnapshot));
  EXPECT_EQ(snapshotsMade, 4);
  EXPECT_EQ(server.refusedCount(), 3u);
  std::map<GatewayNumber, std::size_t> sent;
  while (server.hasPending()) {
    const auto messages = server.tick();
    EXPECT_LE(messages.size(), settings.messagesPerTick);
    for (const auto& message : messages) ++sent[message.recipient];
  }
  EXPECT_EQ(sent.size(), 4u);
  for (const auto& [recipient, chunks] : sent) EXPECT_EQ(chunks, encodeSnapshot(snapshot, 1).size());
  EXPECT_TRUE(server.onMessage(1, encodeSnapshotRequest(1), now + seconds(2), makeSnapshot));
  EXPECT_EQ(snapshotsMade, 5);
}

}  // namespace
}  // namespace finchstile::membership
