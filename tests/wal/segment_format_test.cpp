// Names and headers of segments.
#include "wal/segment_format.hpp"

#include <gtest/gtest.h>

#include "support/bytes.hpp"

namespace finchstile::wal {
namespace {

using testing::fromHex;

// Logs outlive the version that wrote them, so the header's encoding must not change.
TEST(SegmentFormat, HeaderBytesAreFixed) {
  EXPECT_EQ(encodeSegmentHeader({true, kAllBytes}), fromHex("4657414c3101ffffffffffffffff"));
  EXPECT_EQ(encodeSegmentHeader({false, kUnknownBytes}), fromHex("4657414c3100feffffffffffffff"));
  EXPECT_EQ(encodeSegmentHeader({false, 513}), fromHex("4657414c31000102000000000000"));
}

TEST(SegmentFormat, RoundTripsHeaderAndRejectsOtherRecords) {
  const std::string bytes = encodeSegmentHeader({true, 513});
  SegmentHeader header;
  ASSERT_TRUE(decodeSegmentHeader(bytes, header));
  EXPECT_TRUE(header.snapshot);
  EXPECT_EQ(header.previousValidBytes, 513u);
  for (std::size_t size = 0; size < bytes.size(); ++size)
    EXPECT_FALSE(decodeSegmentHeader(bytes.substr(0, size), header)) << size;
  EXPECT_FALSE(decodeSegmentHeader(bytes + "x", header));
  EXPECT_FALSE(decodeSegmentHeader("x" + bytes.substr(1), header));
}

TEST(SegmentFormat, NumbersAndNamesOfSegmentsMatch) {
  EXPECT_EQ(segmentName(1), "log-00000001");
  EXPECT_EQ(segmentName(123456789), "log-123456789");
  for (const std::uint64_t number : {std::uint64_t{1}, std::uint64_t{99'999'999}, ~std::uint64_t{0}})
    EXPECT_EQ(segmentNumber(segmentName(number)), number);
  for (const char* name : {"", "log-", "log-x", "log-1x", "Log-1", "partial", "log-99999999999999999999"})
    EXPECT_EQ(segmentNumber(name), 0u) << name;
}

}  // namespace
}  // namespace finchstile::wal
