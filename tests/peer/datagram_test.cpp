// Encoding, decoding and validation of the datagrams between gateways.
#include "peer/datagram.hpp"

#include <gtest/gtest.h>

#include <cstdio>

namespace finchstile::peer {
namespace {

const SipKey kKey{0x0706050403020100, 0x0f0e0d0c0b0a0908};

Datagram exampleDatagram(std::size_t payloadSize = 10) {
  Datagram datagram;
  datagram.topic = Topic::keys;
  datagram.sender = 513;
  datagram.epoch = 1'700'000'000'000;
  datagram.sequenceNumber = 42;
  datagram.payload = std::string(payloadSize, 'p');
  return datagram;
}

TEST(PeerDatagram, DecodesEncodedDatagramsUpToTheMaximumPayload) {
  for (const std::size_t length : {std::size_t{0}, std::size_t{1}, kMaxPayloadBytes}) {
    const auto bytes = encode(exampleDatagram(length), kKey);
    ASSERT_TRUE(bytes);
    EXPECT_LE(bytes->size(), 256u);
    Datagram decoded;
    ASSERT_EQ(decode(*bytes, kKey, decoded), DatagramResult::valid);
    EXPECT_EQ(decoded.sender, 513u);
    EXPECT_EQ(decoded.epoch, 1'700'000'000'000u);
    EXPECT_EQ(decoded.sequenceNumber, 42u);
    EXPECT_EQ(decoded.payload.size(), length);
  }
  EXPECT_FALSE(encode(exampleDatagram(kMaxPayloadBytes + 1), kKey));
}

std::string hex(std::string_view bytes) {
  std::string out;
  for (const char c : bytes) {
    char digits[3];
    std::snprintf(digits, sizeof digits, "%02x", static_cast<unsigned char>(c));
    out += digits;
  }
  return out;
}

// Gateways of other releases read these bytes.
TEST(PeerDatagram, EncodesLiteralBytes) {
  EXPECT_EQ(hex(encode(exampleDatagram(3), kKey).value()),
            "5046010101020068e5cf8b0100002a000000000000007070700975b60487c9e327e714ff6942abd0"
            "78");
}

TEST(PeerDatagram, DetectsEveryChangedBitAndTruncation) {
  const std::string bytes = *encode(exampleDatagram(), kKey);
  Datagram decoded;
  for (std::size_t i = 0; i < bytes.size() * 8; ++i) {
    std::string corrupted = bytes;
    corrupted[i / 8] = static_cast<char>(corrupted[i / 8] ^ (1 << i % 8));
    EXPECT_NE(decode(corrupted, kKey, decoded), DatagramResult::valid) << i;
  }
  for (std::size_t length = 0; length < bytes.size(); ++length)
    EXPECT_NE(decode(bytes.substr(0, length), kKey, decoded), DatagramResult::valid);
  EXPECT_EQ(decode(bytes + "x", kKey, decoded), DatagramResult::invalidSignature);
  EXPECT_EQ(decode(bytes, SipKey{1, 2}, decoded), DatagramResult::invalidSignature);
  EXPECT_EQ(decode(std::string(300, 'x'), kKey, decoded), DatagramResult::malformed);
  std::string laterVersion = bytes;
  laterVersion[2] = 2;
  EXPECT_EQ(decode(laterVersion, kKey, decoded), DatagramResult::unsupportedVersion);
}

}  // namespace
}  // namespace finchstile::peer
