// The responses that other gateways may fetch.
#include "idempotency/shared_responses.hpp"

#include <gtest/gtest.h>

namespace finchstile::idempotency {
namespace {

using std::chrono::seconds;

struct SharedResponsesTest : ::testing::Test {
  OwnershipSettings settings;
  SharedResponses responses{settings};
  Time now = std::chrono::hours(1);

  SharedResponsesTest() { settings.retention = seconds(10); }
  static SipHash128 id(std::uint64_t number) { return {number, number}; }
  ResponseChunk chunk(std::uint64_t number, std::uint16_t offset = 0) const {
    return responses.chunkFor(now, {7, {id(number), 0}, offset});
  }
};

TEST_F(SharedResponsesTest, ReturnsResponseInChunks) {
  const CachedResponse response{201, "text/x", std::string(400, 'b')};
  responses.add(now, id(1), response);
  std::string bytes;
  for (;;) {
    const ResponseChunk part = chunk(1, static_cast<std::uint16_t>(bytes.size()));
    EXPECT_EQ(part.requestId, 7u);
    EXPECT_EQ(part.offset, bytes.size());
    EXPECT_LE(part.bytes.size(), kMaxChunkBytes);
    bytes += part.bytes;
    if (bytes.size() == part.totalBytes) break;
    ASSERT_FALSE(part.bytes.empty());
  }
  const auto back = parseResponse(bytes);
  ASSERT_TRUE(back);
  EXPECT_EQ(back->status, 201u);
  EXPECT_EQ(back->body, response.body);
  EXPECT_EQ(chunk(1, static_cast<std::uint16_t>(bytes.size())).totalBytes, 0);
  EXPECT_EQ(chunk(2).totalBytes, 0);
}

TEST_F(SharedResponsesTest, ForgetsResponseAfterRetention) {
  responses.add(now, id(1), {200, "", "b"});
  now += seconds(5);
  responses.add(now, id(1), {200, "", "bb"});
  now += seconds(5);
  EXPECT_EQ(chunk(1).totalBytes, 5);
  responses.add(now, id(2), {200, "", "b"});
  EXPECT_EQ(chunk(1).totalBytes, 5);
  now += seconds(5);
  EXPECT_EQ(chunk(1).totalBytes, 0);
}

TEST_F(SharedResponsesTest, OmitsLargeResponsesAndDropsOldestForNewOnes) {
  settings.maxResponseBytes = 100;
  settings.maxCacheBytes = 200;
  responses.add(now, id(1), {200, "", std::string(98, 'b')});
  EXPECT_EQ(chunk(1).totalBytes, 0);
  for (const std::uint64_t number : {2, 3, 4})
    responses.add(now, id(number), {200, "", std::string(77, 'b')});
  EXPECT_EQ(chunk(2).totalBytes, 0);
  EXPECT_EQ(chunk(3).totalBytes, 80);
  EXPECT_EQ(chunk(4).totalBytes, 80);
}

}  // namespace
}  // namespace finchstile::idempotency
