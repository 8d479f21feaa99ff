// Bytes of the poll call, of update texts and of the kept file, against literals: control machines and files
// of other versions depend on them.
#include <gtest/gtest.h>

#include "configuration/configuration_store.hpp"
#include "configuration/documents.hpp"
#include "configuration/poll_request.hpp"

namespace finchstile::configuration::testing {
namespace {

using std::chrono::milliseconds;

// Written by a gateway of the first version that kept the file.
constexpr const char* kKeptFile = R"({"epoch":1,"index":41,"snapshot":true,"hash":"da8fb2eca89d4013",)"
                                  R"("entries":[{"key":"tenant/acme","quota_per_second":10.0},)"
                                  R"({"aim_ms":500.0,"key":"class/read","late_share":0.25,"worth":3.0}]})";

TEST(ConfigurationWireFormat, PollTargetHasTheseBytes) {
  PollRequest poll{"gateway 1&x=%+#", {{3, 41}, 0xabc, false, std::nullopt}, milliseconds(1000)};
  EXPECT_EQ(formatPollTarget(poll),
            "/configuration?gateway=gateway%201%26x%3d%25%2b%23&epoch=3&hash=0000000000000abc&timeout_ms="
            "1000&since=41");
  poll.state.needsSnapshot = true;
  poll.state.rejected = {{3, 42}, 7, "tenant/a&b: bad = 100%"};
  EXPECT_EQ(formatPollTarget(poll),
            "/configuration?gateway=gateway%201%26x%3d%25%2b%23&epoch=3&hash=0000000000000abc&timeout_ms="
            "1000&in_force=41"
            "&refused=3.42.0000000000000007&reason=tenant/a%26b:%20bad%20%3d%20100%25");
}

TEST(ConfigurationWireFormat, PollReasonIsCutAt200Bytes) {
  PollRequest poll{"n0", {}, {}};
  poll.state.rejected = {{1, 2}, 7, std::string(201, 'r')};
  EXPECT_EQ(formatPollTarget(poll),
            "/configuration?gateway=n0&epoch=0&hash=0000000000000000&timeout_ms=0&in_force=0"
            "&refused=1.2.0000000000000007&reason=" +
                std::string(200, 'r'));
}

TEST(ConfigurationWireFormat, EntriesHaveTheseBytes) {
  EXPECT_EQ(serializeEntry(tenant("a b/c\"\\", 0.1)), R"({"key":"tenant/a b/c\"\\","quota_per_second":0.1})");
  EXPECT_EQ(serializeEntry(classOf("read", 3, 500, 0.25)),
            R"({"aim_ms":500.0,"key":"class/read","late_share":0.25,"worth":3.0})");
  EXPECT_EQ(serializeEntry(noTenant("a")), R"({"key":"tenant/a","removed":true})");
}

TEST(ConfigurationWireFormat, UpdateHasTheseBytes) {
  EXPECT_EQ(serializeUpdate({2, 41}, 0xabc, false, {"{\"key\":\"tenant/a\",\"removed\":true}", "{}"}),
            R"({"epoch":2,"index":41,"snapshot":false,"hash":"0000000000000abc",)"
            R"("entries":[{"key":"tenant/a","removed":true},{}]})");
  EXPECT_EQ(serializeUpdate({2, 41}, 0xabc, true, {}),
            R"({"epoch":2,"index":41,"snapshot":true,"hash":"0000000000000abc","entries":[]})");
}

TEST(ConfigurationWireFormat, DocumentHashesAreTheseNumbers) {
  EXPECT_EQ(formatHash(documentHash(TenantDocument{"acme", 10})), "0f15532830c116a4");
  EXPECT_EQ(formatHash(documentHash(ClassDocument{"read", 3, milliseconds(500), 0.25})), "cb7a5fc477dc296f");
}

TEST(ConfigurationWireFormat, KeptFileOfTheFirstVersionIsReadAndWrittenAgain) {
  ConfigurationStore store(startSettings());
  ASSERT_EQ(store.apply(parseUpdate(kKeptFile)).result, ApplyResult::accepted);
  EXPECT_EQ(store.versionState().version, (Version{1, 41}));
  EXPECT_EQ(store.tenantCount(), 1u);
  EXPECT_EQ(store.serialize(), kKeptFile);
}

}  // namespace
}  // namespace finchstile::configuration::testing
