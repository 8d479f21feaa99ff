// Messages between gateways about keys: each kind is read as it was written, and nothing else is accepted.
#include "idempotency/owner_message.hpp"

#include <gtest/gtest.h>

#include "support/bytes.hpp"

namespace finchstile::idempotency {
namespace {

using testing::fromHex;

TEST(OwnerMessage, EachKindComesBackAsItWasAndFitsIntoADatagram) {
  const SharedKey k{{1, 2}, 3};
  const std::string zone(kZoneMost, 'z');
  for (const OwnerMessage& m : std::vector<OwnerMessage>{
           Claim{7, k, 9, 11, true}, Ruling{7, Known::uncertain, 513, true, true, {zone, -4, 120}, 5000},
           Over{8, k, 9, State::answered, {zone, 1, 120}, 5000}, Noted{8}, Fetch{9, k, 190},
           Piece{9, 400, 190, std::string(kPieceMost, 'p')}}) {
    const std::string bytes = encode(m);
    EXPECT_LE(bytes.size(), 218u);
    const auto back = decodeOwnerMessage(bytes);
    ASSERT_TRUE(back) << m.index();
    EXPECT_EQ(back->index(), m.index());
    EXPECT_EQ(encode(*back), bytes);
    for (std::size_t n = 0; n < bytes.size(); ++n) EXPECT_FALSE(decodeOwnerMessage(bytes.substr(0, n)));
    EXPECT_FALSE(decodeOwnerMessage(bytes + "x"));
  }
  const auto ruling =
      decodeOwnerMessage(encode(Ruling{7, Known::running, 513, false, true, {"east", -4, 120}, 5}));
  const Ruling& r = std::get<Ruling>(*ruling);
  EXPECT_EQ(r.runner, 513);
  EXPECT_FALSE(r.mine);
  EXPECT_TRUE(r.young);
  EXPECT_EQ(r.where.zone, "east");
  EXPECT_EQ(r.where.cell, -4);
  EXPECT_EQ(r.where.agoMs, 120u);
}

// A zone whose name is too long is not said at all: cut short it could be another's.
TEST(OwnerMessage, AZoneThatIsTooLongIsNotSaid) {
  const auto m = decodeOwnerMessage(
      encode(Over{8, {}, 9, State::uncertain, {std::string(kZoneMost + 1, 'z'), 1, 120}, 5000}));
  ASSERT_TRUE(m);
  EXPECT_EQ(std::get<Over>(*m).where.zone, "");
  EXPECT_EQ(std::get<Over>(*m).where.agoMs, Whereabouts::kLongAgo);
}

TEST(OwnerMessage, AnAnswerIsPackedWhole) {
  const KeptAnswer a{201, "text/plain", std::string("b\0dy", 4)};
  const auto back = unpackAnswer(packAnswer(a));
  ASSERT_TRUE(back);
  EXPECT_EQ(back->status, 201u);
  EXPECT_EQ(back->contentType, "text/plain");
  EXPECT_EQ(back->body, a.body);
  EXPECT_FALSE(unpackAnswer(""));
  EXPECT_FALSE(unpackAnswer("ab"));
}

// Gateways of two versions talk to each other during a deploy: the form is pinned by literal bytes of each
// kind.
TEST(OwnerMessage, BytesOfEachKindAreFixed) {
  const SharedKey k{{1, 2}, 3};
  const std::vector<std::pair<OwnerMessage, const char*>> fixed = {
      {Claim{7, k, 9, 11, true},
       "01"
       "0700000000000000"
       "0100000000000000"
       "0200000000000000"
       "0300000000000000"
       "0900000000000000"
       "0b000000"
       "01"},
      {Ruling{7, Known::uncertain, 513, true, true, {"east", -4, 120}, 5000},
       "02"
       "0700000000000000"
       "03"
       "0102"
       "03"
       "0465617374"
       "fcffffffffffffff"
       "78000000"
       "88130000"},
      {Over{8, k, 9, State::answered, {"west", 1, 120}, 5000},
       "03"
       "0800000000000000"
       "0100000000000000"
       "0200000000000000"
       "0300000000000000"
       "0900000000000000"
       "02"
       "0477657374"
       "0100000000000000"
       "78000000"
       "88130000"},
      {Noted{8},
       "04"
       "0800000000000000"},
      {Fetch{9, k, 190},
       "05"
       "0900000000000000"
       "0100000000000000"
       "0200000000000000"
       "0300000000000000"
       "be00"},
      {Piece{9, 400, 190, "piece"},
       "06"
       "0900000000000000"
       "9001"
       "be00"
       "057069656365"}};
  for (const auto& [message, hex] : fixed) {
    EXPECT_EQ(encode(message), fromHex(hex)) << message.index();
    const auto back = decodeOwnerMessage(fromHex(hex));
    ASSERT_TRUE(back) << message.index();
    EXPECT_EQ(back->index(), message.index());
  }
  EXPECT_EQ(packAnswer({201, "text/plain", "body"}), fromHex("c900"
                                                             "0a746578742f706c61696e"
                                                             "626f6479"));
}

}  // namespace
}  // namespace finchstile::idempotency
