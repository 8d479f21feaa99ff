// Encoding and decoding of gossip messages, and rejection of invalid payloads.
#include "membership/gossip_message.hpp"

#include <gtest/gtest.h>

namespace finchstile::membership {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

GossipUpdate unresponsive(HostKey host, Duration age = {}) {
  return {host, 0, GossipUpdate::Kind::unresponsive, 0, age};
}
std::string bytes(const std::vector<GossipUpdate>& updates) { return encodeGossipMessage(updates).value(); }

TEST(GossipMessage, DecodesEncodedUpdatesUpToTheMaximumNumber) {
  std::vector<GossipUpdate> updates;
  for (int i = 0; i < 8; ++i)
    updates.push_back({~HostKey{0} - static_cast<HostKey>(i), 1'700'000'000'000 + i,
                       static_cast<GossipUpdate::Kind>(i % 3 + 1), 1ull << (8 * i), milliseconds(10) * i});
  const std::string message = bytes(updates);
  EXPECT_EQ(message.size(), 218u);  // maximum payload of a peer datagram
  EXPECT_EQ(decodeGossipMessage(message), updates);
  EXPECT_FALSE(encodeGossipMessage({}));
  updates.push_back(updates[0]);
  EXPECT_FALSE(encodeGossipMessage(updates));
  // Ages are rounded up and limited, so forwarding does not make an update younger.
  EXPECT_EQ(decodeGossipMessage(bytes({unresponsive(1, Duration(1))}))->at(0).age,
            Duration(milliseconds(10)));
  EXPECT_EQ(decodeGossipMessage(bytes({unresponsive(1, std::chrono::hours(9))}))->at(0).age, kMaxAge);
  EXPECT_EQ(decodeGossipMessage(bytes({unresponsive(1, -seconds(5))}))->at(0).age, Duration{});
}

TEST(GossipMessage, RejectsTruncatedAndInvalidMessages) {
  const std::string message = bytes({unresponsive(1), unresponsive(2)});
  for (std::size_t n = 0; n < message.size(); ++n)
    EXPECT_FALSE(decodeGossipMessage(message.substr(0, n))) << n;
  EXPECT_FALSE(decodeGossipMessage(message + "x"));
  std::string invalid = message;
  invalid[2 + 16] = 9;
  EXPECT_FALSE(decodeGossipMessage(invalid));
  invalid = message;
  invalid[0] = 2;
  EXPECT_FALSE(decodeGossipMessage(invalid));
}

}  // namespace
}  // namespace finchstile::membership
