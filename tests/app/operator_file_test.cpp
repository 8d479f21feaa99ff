#include "app/operator_file.hpp"

#include <gtest/gtest.h>

namespace finchstile {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::vector<std::string> problemsOf(const char* text) {
  try {
    readOperatorFile(text, "o.toml");
  } catch (const OperatorFileError& bad) {
    return bad.lines();
  }
  return {};
}

TEST(OperatorFile, EmptyFileLeavesDefaults) {
  const GatewayOptions is = readOperatorFile("", "o.toml").gatewayOptions, was;
  EXPECT_EQ(is.clients.idleTimeout, was.clients.idleTimeout);
  EXPECT_EQ(is.clients.requestTimeout, was.clients.requestTimeout);
  EXPECT_EQ(is.maxConnectingPerHost, was.maxConnectingPerHost);
  EXPECT_EQ(is.minVerificationTime, was.minVerificationTime);
  EXPECT_EQ(is.clientDescriptorFraction, was.clientDescriptorFraction);
}

TEST(OperatorFile, SetsGatewayOptions) {
  const auto t =
      readOperatorFile("[clients]\nidle = '30s'\nrequest = '900ms'\n[upstream]\nconnecting = 8\n", "o.toml")
          .gatewayOptions;
  EXPECT_EQ(t.clients.idleTimeout, seconds(30));
  EXPECT_EQ(t.clients.requestTimeout, milliseconds(900));
  EXPECT_EQ(t.maxConnectingPerHost, 8u);
}

TEST(OperatorFile, ReportsErrorsInTheOrderOfLines) {
  const auto lines = problemsOf("[upstream]\nconecting = 8\n[clients]\nidle = 30\nwrite = '1h'\n[hoks]\n");
  ASSERT_EQ(lines.size(), 4u);
  EXPECT_EQ(lines[0], "o.toml:2: unknown key upstream.conecting; did you mean upstream.connecting?");
  EXPECT_EQ(lines[1].substr(0, 29), "o.toml:4: clients.idle must b");
  EXPECT_EQ(lines[2].substr(0, 30), "o.toml:5: clients.write must b");
  EXPECT_EQ(lines[3].substr(0, 26), "o.toml:6: unknown key hoks");
}

TEST(OperatorFile, RejectsDescriptorSharesAboveTheirCommonLimit) {
  EXPECT_EQ(problemsOf("[clients]\ndescriptor_share = 0.6\n[upstream]\ndescriptor_share = 0.4\n").size(), 1u);
  EXPECT_TRUE(problemsOf("[clients]\ndescriptor_share = 0.3\n[upstream]\ndescriptor_share = 0.6\n").empty());
}

TEST(OperatorFile, MissingFileIsReportedWithItsPath) {
  try {
    loadOperatorFile("/nowhere/at/all.toml");
    FAIL();
  } catch (const OperatorFileError& bad) {
    EXPECT_STREQ(bad.what(), "/nowhere/at/all.toml: cannot be read");
  }
}

TEST(OperatorFile, ReportsMissingAndInvalidMembershipSettings) {
  const auto problems = [](const std::string& text) {
    try {
      readOperatorFile(text, "o.toml");
    } catch (const OperatorFileError& bad) {
      return bad.lines();
    }
    return std::vector<std::string>{};
  };
  EXPECT_TRUE(problems("[membership]\nenabled = true\ndoubt = '0s'\nflap_most = 8\n").empty());
  const auto peers = problems("[membership]\nenabled = true\n[membership.gossip]\nenabled = true\n");
  ASSERT_EQ(peers.size(), 1u);
  EXPECT_NE(peers[0].find("gossip and warm_start need [peers]"), std::string::npos) << peers[0];
  const auto late = problems("[membership]\nenabled = true\ndoubt = '500ms'\n");
  ASSERT_EQ(late.size(), 1u);  // beyond the drain grace period
  EXPECT_NE(late[0].find("o.toml:3: membership.doubt must be"), std::string::npos) << late[0];
  const auto shortHold = problems("[membership.gossip]\nperiod = '1s'\nholds = '1s'\n");
  ASSERT_EQ(shortHold.size(), 1u);
  EXPECT_NE(shortHold[0].find("two periods at least"), std::string::npos) << shortHold[0];
  EXPECT_EQ(problems("[membership.warm_start]\nask = 8\n").size(), 1u);  // at most four requests are allowed
  EXPECT_EQ(problems("[membership.warm_start]\nenabled = true\n").size(), 1u);
}

TEST(OperatorFile, RejectsInvalidAttemptLogSettings) {
  EXPECT_FALSE(readOperatorFile("", "o.toml").trace.enabled);
  const auto good =
      readOperatorFile("[trace]\nenabled = true\nfile = 'a-{name}'\nshare = 0.1\n", "etc/o.toml");
  EXPECT_TRUE(good.trace.enabled);
  EXPECT_EQ(good.trace.file, "etc/a-{name}");
  for (const char* bad : {"share = 1.5", "lines_per_second = 0", "file_most = 1", "file = ''", "shar = 1"})
    EXPECT_THROW(readOperatorFile(std::string("[trace]\n") + bad + "\n", "o.toml"), OperatorFileError) << bad;
}

}  // namespace
}  // namespace finchstile
