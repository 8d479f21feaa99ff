#include "simulator/protocol_line.hpp"

#include <gtest/gtest.h>

namespace finchstile::load_balancing::simulator {
namespace {

TEST(ProtocolLine, ReadsFieldsInOrderAndSkipsSpaces) {
  std::string_view rest = "a=1  b=x=y";
  Field field;
  ASSERT_TRUE(nextField(rest, field));
  EXPECT_EQ(field.name, "a");
  EXPECT_EQ(field.number<int>(), 1);
  ASSERT_TRUE(nextField(rest, field));
  EXPECT_EQ(field.name, "b");
  EXPECT_EQ(field.value, "x=y");
  EXPECT_FALSE(nextField(rest, field));
}

TEST(ProtocolLine, RejectsTokenWithoutEqualsSign) {
  std::string_view rest = "a";
  Field field;
  EXPECT_THROW(nextField(rest, field), ProtocolError);
}

TEST(ProtocolLine, RejectsValuesOfOtherTypes) {
  EXPECT_THROW((Field{"a", "1x"}.number<int>()), ProtocolError);
  EXPECT_THROW((Field{"a", ""}.number<int>()), ProtocolError);
  EXPECT_THROW((Field{"a", "2"}.boolean()), ProtocolError);
  EXPECT_TRUE((Field{"a", "true"}.boolean()));
  EXPECT_FALSE((Field{"a", "0"}.boolean()));
}

TEST(ProtocolLine, HexRoundTrip) {
  std::string text;
  appendHex(text, std::string_view("\x00\xff\x1a", 3));
  EXPECT_EQ(text, "00ff1a");
  EXPECT_EQ(bytesFromHex(text), std::string("\x00\xff\x1a", 3));
  std::string none;
  appendHex(none, "");
  EXPECT_EQ(none, "-");
  EXPECT_THROW(bytesFromHex("abc"), ProtocolError);
  EXPECT_THROW(bytesFromHex("zz"), ProtocolError);
}

TEST(ProtocolLine, RejectsUnknownOutcome) {
  EXPECT_EQ(outcomeOf(30), Outcome::rejectedForCapacity);
  EXPECT_THROW(outcomeOf(90), ProtocolError);
}

}  // namespace
}  // namespace finchstile::load_balancing::simulator
