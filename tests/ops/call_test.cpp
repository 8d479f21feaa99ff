#include "ops/call.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace finchstile::ops {
namespace {

TEST(Call, EachCallIsReadFromItsMethodAndPath) {
  EXPECT_EQ(readCall("GET", "/api/ready").call->kind, CallKind::ready);
  EXPECT_EQ(readCall("GET", "/api/telemetry?x=1").call->kind, CallKind::telemetry);
  EXPECT_EQ(readCall("PUT", "/api/evacuate").call->kind, CallKind::evacuate);
  EXPECT_EQ(readCall("PUT", "/api/rejoin").call->kind, CallKind::rejoin);
  const auto out = readCall("PUT", "/api/exclude/s-5be2a07c"),
             back = readCall("PUT", "/api/include/a%2Fb%20c");
  EXPECT_EQ(out.call->kind, CallKind::exclude);
  EXPECT_EQ(out.call->host, "s-5be2a07c");
  EXPECT_EQ(back.call->kind, CallKind::include);
  EXPECT_EQ(back.call->host, "a/b c");
}

TEST(Call, WhatIsNoCallIsTurnedDownWithTheReason) {
  for (const char* target : {"/", "", "/api", "/api/", "/apis/ready", "/api/ready/", "/api/exclude",
                             "/api/nothing", "/api/ready/x", "/health/ready"}) {
    const CallResult r = readCall("GET", target);
    EXPECT_FALSE(r.call) << target;
    EXPECT_EQ(r.status, 404u) << target;
  }
  EXPECT_EQ(readCall("PUT", "/api/ready").status, 405u);
  EXPECT_EQ(readCall("PUT", "/api/ready").allow, "GET");
  EXPECT_EQ(readCall("GET", "/api/exclude/s-1").status, 405u);
  EXPECT_EQ(readCall("GET", "/api/exclude/s-1").allow, "PUT");
  for (const std::string& id : std::vector<std::string>{"", "%", "%4", "%zz", std::string(257, 'x')})
    EXPECT_EQ(readCall("PUT", "/api/exclude/" + id).status, 400u) << id;
}

}  // namespace
}  // namespace finchstile::ops
