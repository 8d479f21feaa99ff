// The encoded messages between gateways, compared with literal bytes: gateways of other releases read them.
#include <gtest/gtest.h>

#include <cstdio>
#include <string>

#include "membership/gossip.hpp"
#include "membership/snapshot_message.hpp"

namespace finchstile::membership {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::string hex(std::string_view bytes) {
  std::string out;
  for (const char c : bytes) {
    char digits[3];
    std::snprintf(digits, sizeof digits, "%02x", static_cast<unsigned char>(c));
    out += digits;
  }
  return out;
}

TEST(MembershipWireFormat, GossipMessageHasTheseBytes) {
  const std::vector<GossipUpdate> updates = {
      {0x0102030405060708, 0, GossipUpdate::Kind::unresponsive, 0, milliseconds(125)},
      {0x1112131415161718, 1'700'000'000'000, GossipUpdate::Kind::draining, 77, {}},
      {0x2122232425262728, 1'700'000'000'001, GossipUpdate::Kind::removed, 0x0102030405060708,
       std::chrono::hours(1)}};
  EXPECT_EQ(hex(encodeGossipMessage(updates).value()),
            "0103080706050403020100000000000000000100000000000000000d0018171615141312110068e5"
            "cf8b010000024d00000000000000000028272625242322210168e5cf8b0100000308070605040302"
            "01ffff");
}

TEST(MembershipWireFormat, SnapshotRequestHasTheseBytes) {
  EXPECT_EQ(hex(encodeSnapshotRequest(0x0102030405060708)), "020807060504030201");
}

TEST(MembershipWireFormat, SnapshotChunkHasTheseBytes) {
  StateSnapshot snapshot;
  StateSnapshot::GatewayRecord& gatewayRecord = snapshot.gateway.emplace();
  gatewayRecord.age = seconds(90);
  gatewayRecord.arrivalRate = 1;
  gatewayRecord.arrivalSamples = 2;
  gatewayRecord.answers = 3;
  gatewayRecord.inTimeRate = 4;
  gatewayRecord.meanLatencyObjective = 5;
  gatewayRecord.meanTypicalLatency = 6;
  gatewayRecord.unloadedConcurrency = 7;
  gatewayRecord.servedFraction = 8;
  snapshot.classes = {{0x0102030405060708, 1.5, 2.5, 0.25, milliseconds(900)}};
  snapshot.machineTypes = {{0x1112131415161718, 70, 1.25}};
  snapshot.priorityLevels = {{12, 5}};
  HostRecord active;
  active.host = 0x2122232425262728;
  active.startedUnixMs = 1'700'000'000'000;
  active.version = 77;
  active.age = milliseconds(1500);
  active.relativeLatency = 0.5;
  active.failureRate = 0.125;
  active.answerRate = 40;
  HostRecord ejected = active;
  ejected.host = 0x3132333435363738;
  ejected.phase = HostPhase::draining;
  ejected.ejectedFor = seconds(2);
  ejected.ejections = 3;
  snapshot.hosts = {active, ejected};
  const auto chunks = encodeSnapshot(snapshot, 0x0102030405060708);
  ASSERT_EQ(chunks.size(), 1u);
  EXPECT_EQ(hex(chunks[0]),
            "0308070605040302010000010001905f01000000803f0000004000004040000080400000a0400000"
            "c0400000e040000000410208070605040302010000c03f000020400000803ea0bb0d000318171615"
            "1413121100008c420000a03f04000040410000a0400538373635343332310068e5cf8b010000014d"
            "0000000000000096000000003f0000003e00002042c800030528272625242322210068e5cf8b0100"
            "00004d0000000000000096000000003f0000003e00002042000000");
}

}  // namespace
}  // namespace finchstile::membership
