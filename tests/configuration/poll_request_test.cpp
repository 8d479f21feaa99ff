// Targets of polls: written, read back, and distinguished from other targets.
#include "configuration/poll_request.hpp"

#include <gtest/gtest.h>

namespace finchstile::configuration::testing {
namespace {

TEST(PollRequest, FormattedTargetIsParsedBack) {
  PollRequest request;
  request.gatewayName = "n 1&x=%+";
  request.state = {{3, 41}, 0xabc, false, RejectedVersion{{3, 42}, 7, "tenant/a&b: bad = 100%"}};
  request.maxWait = std::chrono::seconds(1);
  const auto parsed = parsePollTarget(formatPollTarget(request));
  ASSERT_TRUE(parsed);
  EXPECT_EQ(parsed->gatewayName, request.gatewayName);
  EXPECT_EQ(parsed->state.version, request.state.version);
  EXPECT_EQ(parsed->state.hash, request.state.hash);
  EXPECT_FALSE(parsed->state.needsSnapshot);
  EXPECT_EQ(parsed->maxWait, request.maxWait);
  ASSERT_TRUE(parsed->state.rejected);
  EXPECT_EQ(parsed->state.rejected->version, (Version{3, 42}));
  EXPECT_EQ(parsed->state.rejected->reason, "tenant/a&b: bad = 100%");
  request.state.needsSnapshot = true;
  EXPECT_TRUE(parsePollTarget(formatPollTarget(request))->state.needsSnapshot);
}

TEST(PollRequest, RejectsOtherTargets) {
  for (const char* target : {"/configuration", "/other?gateway=a", "/configuration?gateway=a&epoch=1",
                             "/configuration?gateway=a&epoch=x&hash=0&timeout_ms=1&since=1",
                             "/configuration?gateway=a&epoch=1&hash=0&timeout_ms=1&since=1&in_force=1",
                             "/configuration?gateway=a&epoch=1&hash=0&timeout_ms=1&since=1&refused=1.2",
                             "/configuration?gateway=%&epoch=1&hash=0&timeout_ms=1&since=1"})
    EXPECT_FALSE(parsePollTarget(target)) << target;
}

}  // namespace
}  // namespace finchstile::configuration::testing
