// Encoding and decoding of the messages between two processes of a gateway.
#include "handover/message.hpp"

#include <gtest/gtest.h>

#include <string>

namespace finchstile::handover {
namespace {

TEST(HandoverMessage, DecodesEncodedMessagesOfEachKind) {
  for (const MessageKind kind :
       {MessageKind::hello, MessageKind::welcome, MessageKind::connection, MessageKind::finished}) {
    const bool hasName = kind == MessageKind::hello || kind == MessageKind::welcome;
    const auto message = decode(encode({kind, "n 3"}), kind == MessageKind::connection);
    ASSERT_TRUE(message);
    EXPECT_EQ(message->kind, kind);
    EXPECT_EQ(message->text, hasName ? "n 3" : "");
  }
  EXPECT_EQ(decode(encode({MessageKind::hello, std::string(900, 'x')}), 0)->text.size(), kMaxNameBytes);
  EXPECT_EQ(decode(encode({MessageKind::learnedState, std::string(60'000, 'x')}), 0)->text.size(), 60'000u);
  EXPECT_FALSE(decode(encode({MessageKind::learnedState, "x"}), 1));
}

TEST(HandoverMessage, RejectsInvalidMessages) {
  const std::string helloBytes = encode({MessageKind::hello, "n3"}),
                    connectionBytes = encode({MessageKind::connection, {}});
  for (std::size_t length = 0; length < 8; ++length)
    EXPECT_FALSE(decode(helloBytes.substr(0, length), 0)) << length;
  for (std::size_t offset = 0; offset < 8; ++offset)
    for (int bit = 0; bit < 8; ++bit) {
      std::string corrupted = connectionBytes;
      corrupted[offset] = static_cast<char>(corrupted[offset] ^ (1 << bit));
      EXPECT_FALSE(decode(corrupted, 1)) << offset << " " << bit;
    }
  EXPECT_FALSE(decode(connectionBytes + "x", 1));
  EXPECT_FALSE(decode(connectionBytes, 0));  // a connection without its descriptor
  EXPECT_FALSE(decode(connectionBytes, 2));
  EXPECT_FALSE(decode(helloBytes, 1));  // a descriptor with a message that has none
  EXPECT_FALSE(decode(helloBytes + std::string(kMaxNameBytes, 'x'), 0));
}

// The two processes may be of different releases, so each kind is compared with literal bytes.
TEST(HandoverMessage, EncodesLiteralBytesForEachKind) {
  using namespace std::string_literals;
  EXPECT_EQ(encode({MessageKind::hello, "n3"}), "fsho\x01\x01\0\0n3"s);
  EXPECT_EQ(encode({MessageKind::welcome, "n3"}), "fsho\x01\x02\0\0n3"s);
  EXPECT_EQ(encode({MessageKind::connection, ""}), "fsho\x01\x03\0\0"s);
  EXPECT_EQ(encode({MessageKind::finished, ""}), "fsho\x01\x04\0\0"s);
  EXPECT_EQ(encode({MessageKind::learnedState, "{}"}), "fsho\x01\x05\0\0{}"s);
}

}  // namespace
}  // namespace finchstile::handover
