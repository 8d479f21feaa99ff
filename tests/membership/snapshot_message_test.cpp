// Encoding and decoding of snapshot requests and chunks, and rejection of invalid ones.
#include "membership/snapshot_message.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>

#include "membership/snapshot_fixtures.hpp"

namespace finchstile::membership {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

TEST(SnapshotMessage, DecodesEncodedSnapshots) {
  StateSnapshot snapshot = snapshotOf(minutes(3), {});
  for (HostKey key = 1; key <= 50; ++key)
    snapshot.hosts.push_back(hostRecord(key, 0.5 + 0.01 * static_cast<double>(key)));
  snapshot.hosts[49].phase = HostPhase::draining;
  snapshot.hosts[48].ejectedFor = seconds(2);
  snapshot.hosts[48].ejections = 3;
  snapshot.hosts[47].startedUnixMs = 1'700'000'000'000;
  snapshot.hosts[47].version = 77;
  const auto chunks = encodeSnapshot(snapshot, 99);
  std::vector<HostRecord> hosts;
  for (std::size_t i = 0; i < chunks.size(); ++i) {
    ASSERT_LE(chunks[i].size(), kMaxMessageBytes);
    const auto chunk = decodeChunk(chunks[i]);
    ASSERT_TRUE(chunk);
    EXPECT_EQ(chunk->nonce, 99u);
    EXPECT_EQ(chunk->number, i);
    EXPECT_EQ(chunk->total, chunks.size());
    hosts.insert(hosts.end(), chunk->records.hosts.begin(), chunk->records.hosts.end());
    if (i == 0) {
      ASSERT_TRUE(chunk->records.gateway);
      EXPECT_EQ(chunk->records.gateway->age, Duration(minutes(3)));
      EXPECT_FLOAT_EQ(static_cast<float>(chunk->records.gateway->servedFraction), 0.98f);
      EXPECT_EQ(chunk->records.classes.at(0).typicalTimeLeft, Duration(milliseconds(900)));
      EXPECT_EQ(chunk->records.priorityLevels.size(), 2u);
    }
  }
  ASSERT_EQ(hosts.size(), 50u);
  EXPECT_EQ(hosts[0].host, 49u);  // restricted hosts come first
  EXPECT_EQ(hosts[0].ejectedFor, Duration(seconds(2)));
  EXPECT_EQ(hosts[0].ejections, 3);
  EXPECT_EQ(hosts[1].host, 50u);
  EXPECT_EQ(hosts[1].phase, HostPhase::draining);
  const auto host48 =
      std::find_if(hosts.begin(), hosts.end(), [](const HostRecord& record) { return record.host == 48; });
  EXPECT_EQ(host48->startedUnixMs, 1'700'000'000'000);
  EXPECT_EQ(host48->version, 77u);
}

TEST(SnapshotMessage, RejectsTruncatedAndInvalidChunks) {
  const auto chunk = encodeSnapshot(snapshotOf(seconds(30), {hostRecord(1)}), 5).at(0);
  // A chunk that is truncated between two records is still valid; any other truncation makes it
  // invalid.
  std::size_t validPrefixes = 0;
  for (std::size_t length = 0; length < chunk.size(); ++length)
    validPrefixes += decodeChunk(chunk.substr(0, length)).has_value();
  EXPECT_EQ(validPrefixes, 5u);
  EXPECT_FALSE(decodeChunk(chunk + '\x09'));
  EXPECT_FALSE(decodeChunk(std::string(kMaxMessageBytes + 1, '\x03')));
  StateSnapshot invalid = snapshotOf(seconds(30), {hostRecord(1)});
  invalid.hosts[0].relativeLatency = std::nan("");
  EXPECT_FALSE(decodeChunk(encodeSnapshot(invalid, 5).at(0)));
  invalid.hosts[0].relativeLatency = -1;
  EXPECT_FALSE(decodeChunk(encodeSnapshot(invalid, 5).at(0)));
  EXPECT_FALSE(decodeSnapshotRequest("noise"));
  EXPECT_EQ(decodeSnapshotRequest(encodeSnapshotRequest(7)), 7u);
}

}  // namespace
}  // namespace finchstile::membership
