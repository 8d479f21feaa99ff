// Encodes and decodes the messages between two processes of one gateway.
#include "handover/message.hpp"

#include <gtest/gtest.h>

#include <string>

namespace finchstile::handover {
namespace {

TEST(HandoverMessage, RoundTripsEachKind) {
  for (const MessageKind kind :
       {MessageKind::hello, MessageKind::welcome, MessageKind::connection, MessageKind::finished}) {
    const bool named = kind == MessageKind::hello || kind == MessageKind::welcome;
    const auto m = decode(encode({kind, "n 3"}), kind == MessageKind::connection);
    ASSERT_TRUE(m);
    EXPECT_EQ(m->kind, kind);
    EXPECT_EQ(m->text, named ? "n 3" : "");
  }
  EXPECT_EQ(decode(encode({MessageKind::hello, std::string(900, 'x')}), 0)->text.size(), kMaxNameBytes);
  EXPECT_EQ(decode(encode({MessageKind::learnedState, std::string(60'000, 'x')}), 0)->text.size(), 60'000u);
  EXPECT_FALSE(decode(encode({MessageKind::learnedState, "x"}), 1));
}

TEST(HandoverMessage, RejectsInvalidMessages) {
  const std::string good = encode({MessageKind::hello, "n3"}), client = encode({MessageKind::connection, {}});
  for (std::size_t cut = 0; cut < 8; ++cut) EXPECT_FALSE(decode(good.substr(0, cut), 0)) << cut;
  for (std::size_t at = 0; at < 8; ++at)
    for (int bit = 0; bit < 8; ++bit) {
      std::string bad = client;
      bad[at] = static_cast<char>(bad[at] ^ (1 << bit));
      EXPECT_FALSE(decode(bad, 1)) << at << " " << bit;
    }
  EXPECT_FALSE(decode(client + "x", 1));
  EXPECT_FALSE(decode(client, 0));  // a connection without its descriptor
  EXPECT_FALSE(decode(client, 2));
  EXPECT_FALSE(decode(good, 1));  // a descriptor with a message that has none
  EXPECT_FALSE(decode(good + std::string(kMaxNameBytes, 'x'), 0));
}

// The two processes may be of different versions, so the format is fixed by literal bytes of each kind.
TEST(HandoverMessage, BytesOfEachKindAreFixed) {
  using namespace std::string_literals;
  EXPECT_EQ(encode({MessageKind::hello, "n3"}), "fsho\x01\x01\0\0n3"s);
  EXPECT_EQ(encode({MessageKind::welcome, "n3"}), "fsho\x01\x02\0\0n3"s);
  EXPECT_EQ(encode({MessageKind::connection, ""}), "fsho\x01\x03\0\0"s);
  EXPECT_EQ(encode({MessageKind::finished, ""}), "fsho\x01\x04\0\0"s);
  EXPECT_EQ(encode({MessageKind::learnedState, "{}"}), "fsho\x01\x05\0\0{}"s);
}

}  // namespace
}  // namespace finchstile::handover
