// Parsing of administration calls from request lines.
#include "ops/admin_call.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace finchstile::ops {
namespace {

TEST(AdminCall, ParsesEachCallFromMethodAndPath) {
  EXPECT_EQ(parseAdminCall("GET", "/api/ready").call->kind, AdminCallKind::ready);
  EXPECT_EQ(parseAdminCall("GET", "/api/telemetry?x=1").call->kind, AdminCallKind::telemetry);
  EXPECT_EQ(parseAdminCall("PUT", "/api/evacuate").call->kind, AdminCallKind::evacuate);
  EXPECT_EQ(parseAdminCall("PUT", "/api/rejoin").call->kind, AdminCallKind::rejoin);
  const auto excludeCall = parseAdminCall("PUT", "/api/exclude/s-5be2a07c"),
             includeCall = parseAdminCall("PUT", "/api/include/a%2Fb%20c");
  EXPECT_EQ(excludeCall.call->kind, AdminCallKind::exclude);
  EXPECT_EQ(excludeCall.call->host, "s-5be2a07c");
  EXPECT_EQ(includeCall.call->kind, AdminCallKind::include);
  EXPECT_EQ(includeCall.call->host, "a/b c");
}

TEST(AdminCall, RejectsOtherRequestsWithTheirStatus) {
  for (const char* target : {"/", "", "/api", "/api/", "/apis/ready", "/api/ready/", "/api/exclude",
                             "/api/nothing", "/api/ready/x", "/health/ready"}) {
    const AdminCallResult result = parseAdminCall("GET", target);
    EXPECT_FALSE(result.call) << target;
    EXPECT_EQ(result.status, 404u) << target;
  }
  EXPECT_EQ(parseAdminCall("PUT", "/api/ready").status, 405u);
  EXPECT_EQ(parseAdminCall("PUT", "/api/ready").allow, "GET");
  EXPECT_EQ(parseAdminCall("GET", "/api/exclude/s-1").status, 405u);
  EXPECT_EQ(parseAdminCall("GET", "/api/exclude/s-1").allow, "PUT");
  for (const std::string& id : std::vector<std::string>{"", "%", "%4", "%zz", std::string(257, 'x')})
    EXPECT_EQ(parseAdminCall("PUT", "/api/exclude/" + id).status, 400u) << id;
}

}  // namespace
}  // namespace finchstile::ops
