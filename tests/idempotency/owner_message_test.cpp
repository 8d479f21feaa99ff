// The encoding of the messages between gateways, and the rejection of invalid messages.
#include "idempotency/owner_message.hpp"

#include <gtest/gtest.h>

#include "support/bytes.hpp"

namespace finchstile::idempotency {
namespace {

using testing::fromHex;

TEST(OwnerMessage, RoundTripsEachKindWithinDatagramSize) {
  const SharedKey k{{1, 2}, 3};
  const std::string zone(kMaxZoneNameBytes, 'z');
  for (const OwnerMessage& m : std::vector<OwnerMessage>{
           Claim{7, k, 9, 11, true},
           ClaimResponse{7, ClaimResult::uncertain, 513, true, true, {zone, -4, 120}, 5000},
           RunFinishedNotice{8, k, 9, KeyState::completed, {zone, 1, 120}, 5000}, FinishedAcknowledgement{8},
           ResponseRequest{9, k, 190}, ResponseChunk{9, 400, 190, std::string(kMaxChunkBytes, 'p')}}) {
    const std::string bytes = encode(m);
    EXPECT_LE(bytes.size(), 218u);
    const auto back = decodeOwnerMessage(bytes);
    ASSERT_TRUE(back) << m.index();
    EXPECT_EQ(back->index(), m.index());
    EXPECT_EQ(encode(*back), bytes);
    for (std::size_t n = 0; n < bytes.size(); ++n) EXPECT_FALSE(decodeOwnerMessage(bytes.substr(0, n)));
    EXPECT_FALSE(decodeOwnerMessage(bytes + "x"));
  }
  const auto ruling = decodeOwnerMessage(
      encode(ClaimResponse{7, ClaimResult::running, 513, false, true, {"east", -4, 120}, 5}));
  const ClaimResponse& r = std::get<ClaimResponse>(*ruling);
  EXPECT_EQ(r.runner, 513);
  EXPECT_FALSE(r.senderIsOwner);
  EXPECT_TRUE(r.senderIsNew);
  EXPECT_EQ(r.attempt.zone, "east");
  EXPECT_EQ(r.attempt.cell, -4);
  EXPECT_EQ(r.attempt.ageMs, 120u);
}

// A truncated zone name could be that of another zone.
TEST(OwnerMessage, OmitsZoneNameThatIsTooLong) {
  const auto m = decodeOwnerMessage(encode(RunFinishedNotice{
      8, {}, 9, KeyState::uncertain, {std::string(kMaxZoneNameBytes + 1, 'z'), 1, 120}, 5000}));
  ASSERT_TRUE(m);
  EXPECT_EQ(std::get<RunFinishedNotice>(*m).attempt.zone, "");
  EXPECT_EQ(std::get<RunFinishedNotice>(*m).attempt.ageMs, AttemptLocation::kUnknownAge);
}

TEST(OwnerMessage, RoundTripsResponse) {
  const CachedResponse a{201, "text/plain", std::string("b\0dy", 4)};
  const auto back = parseResponse(serializeResponse(a));
  ASSERT_TRUE(back);
  EXPECT_EQ(back->status, 201u);
  EXPECT_EQ(back->contentType, "text/plain");
  EXPECT_EQ(back->body, a.body);
  EXPECT_FALSE(parseResponse(""));
  EXPECT_FALSE(parseResponse("ab"));
}

// Gateways of two versions exchange messages during a deployment, so the encoding of each kind must not
// change.
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
      {ClaimResponse{7, ClaimResult::uncertain, 513, true, true, {"east", -4, 120}, 5000},
       "02"
       "0700000000000000"
       "03"
       "0102"
       "03"
       "0465617374"
       "fcffffffffffffff"
       "78000000"
       "88130000"},
      {RunFinishedNotice{8, k, 9, KeyState::completed, {"west", 1, 120}, 5000},
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
      {FinishedAcknowledgement{8},
       "04"
       "0800000000000000"},
      {ResponseRequest{9, k, 190},
       "05"
       "0900000000000000"
       "0100000000000000"
       "0200000000000000"
       "0300000000000000"
       "be00"},
      {ResponseChunk{9, 400, 190, "piece"},
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
  EXPECT_EQ(serializeResponse({201, "text/plain", "body"}), fromHex("c900"
                                                                    "0a746578742f706c61696e"
                                                                    "626f6479"));
}

}  // namespace
}  // namespace finchstile::idempotency
