// Peer messages: encoding, decoding and rejection of other bytes.
#include "policy/peer_message.hpp"

#include <gtest/gtest.h>

#include <string>
#include <string_view>
#include <vector>

#include "policy/hashing.hpp"

namespace finchstile::load_balancing::testing {
namespace {

using peer::encode;
using peer::MessageKind;

TEST(PeerMessage, DecodesOnlyEncodedMessages) {
  for (const peer::MessageKind kind :
       {peer::MessageKind::recommendationRequest, peer::MessageKind::recommendation,
        peer::MessageKind::attemptStarted, peer::MessageKind::attemptEnded}) {
    const peer::Message sent = {kind, 0x89abcdef, 0x1122334455667788, Outcome::reset, 2.5};
    peer::Message got;
    const std::string bytes = peer::encode(sent);
    ASSERT_TRUE(peer::decode(bytes, got));
    EXPECT_EQ(got.kind, kind);
    EXPECT_EQ(got.hostHash, sent.hostHash);
    if (kind <= peer::MessageKind::recommendation) EXPECT_EQ(got.correlationId, sent.correlationId);
    if (kind == peer::MessageKind::attemptEnded) EXPECT_EQ(got.outcome, Outcome::reset);
    if (kind == peer::MessageKind::attemptEnded || kind == peer::MessageKind::recommendation)
      EXPECT_NEAR(got.value, 2.5, 0.05);
    EXPECT_FALSE(peer::decode(bytes + "x", got));
    EXPECT_FALSE(peer::decode(std::string_view(bytes).substr(0, bytes.size() - 1), got));
  }
}

// Gateways of different versions exchange messages, so the encoding must not change.
TEST(PeerMessage, BytesOnTheWire) {
  const auto bytesOf = [](MessageKind kind) {
    return encode({kind, 0x89abcdef, 0x1122334455667788, Outcome::reset, 2.5});
  };
  using namespace std::string_view_literals;
  EXPECT_EQ(bytesOf(MessageKind::recommendationRequest),
            "\x11\xef\xcd\xab\x89\x88\x77\x66\x55\x44\x33\x22\x11"sv);
  EXPECT_EQ(bytesOf(MessageKind::recommendation),
            "\x12\xef\xcd\xab\x89\x88\x77\x66\x55\x44\x33\x22\x11\x1e"sv);
  EXPECT_EQ(bytesOf(MessageKind::attemptStarted), "\x13\xef\xcd\xab\x89"sv);
  EXPECT_EQ(bytesOf(MessageKind::attemptEnded), "\x14\xef\xcd\xab\x89\x05\x1e"sv);
}

// Hosts and the trackers of groups are identified by these hashes at all gateways.
TEST(PeerMessage, HashesOnTheWire) {
  EXPECT_EQ(hashText("10.0.0.1:8080"), 0x617fb5c94294a1fdULL);
  EXPECT_EQ(hashText(""), 0xc3817c016ba4ff30ULL);
  EXPECT_EQ(mixBits(1), 0x910a2dec89025cc1ULL);
}

}  // namespace
}  // namespace finchstile::load_balancing::testing
