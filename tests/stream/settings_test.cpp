// What an operator may set of streams, and what is said of what he may not.
#include "stream/settings.hpp"

#include <gtest/gtest.h>

#include "operator/document.hpp"

namespace finchstile::stream {
namespace {

std::vector<std::string> read(const std::string& text, StreamSettings& out) {
  std::vector<SettingProblem> problems;
  const SettingNode document = parseToml(text, problems);
  {
    SettingReader root(document, "", problems);
    readStreamSettings(root, out);
  }
  std::vector<std::string> lines;
  for (const SettingProblem& p : problems) lines.push_back(describe("f", p));
  return lines;
}

TEST(StreamSettings, AllOfThemAreRead) {
  StreamSettings s;
  const auto problems = read(R"([streams]
enabled = true
descriptor_share = 0.4
most = 500
buffer_bytes = 4194304
host_streams = 200
host_rate = 20
return_within = "30s"
drain_within = "1m"
drain_rate = 10
log = "failed"
[[streams.listen]]
name = "scanners"
address = "[::1]:9000"
class = "log-in"
connect = "1s"
idle = "1h"
half_idle = "30s"
stalled = "10s"
proxy_in = true
proxy_out = true
)",
                             s);
  EXPECT_EQ(problems, std::vector<std::string>{});
  EXPECT_TRUE(s.enabled);
  EXPECT_EQ(s.most, 500u);
  EXPECT_EQ(s.hostStreamLimit, 200u);
  EXPECT_EQ(s.hostStreamRateLimit, 20);
  EXPECT_EQ(s.log, LogEnds::failed);
  ASSERT_EQ(s.listen.size(), 1u);
  EXPECT_EQ(s.listen[0].className, "log-in");
  EXPECT_EQ(s.listen[0].at.port(), 9000);
  EXPECT_TRUE(s.listen[0].proxyIn && s.listen[0].proxyOut);
  EXPECT_EQ(s.listen[0].flow.idle, std::chrono::hours(1));
}

TEST(StreamSettings, NoneIsOff) {
  StreamSettings s;
  EXPECT_EQ(read("", s), std::vector<std::string>{});
  EXPECT_FALSE(s.enabled);
}

TEST(StreamSettings, WhatIsWrongIsNamed) {
  StreamSettings s;
  const auto problems = read(R"([streams]
most = 50000
buffer_bytes = 1048576
[[streams.listen]]
name = "a"
address = "localhost:9000"
clas = "x"
)",
                             s);
  ASSERT_EQ(problems.size(), 4u) << problems[0];
  std::string all;
  for (const auto& p : problems) all += p + "\n";
  EXPECT_NE(all.find("must be 102400000 at least for 50000 streams"), std::string::npos) << all;
  EXPECT_NE(all.find("must be an address and port, like \"10.0.0.4:9000\""), std::string::npos) << all;
  EXPECT_NE(all.find("did you mean"), std::string::npos) << all;
}

TEST(StreamSettings, TwoListenersOfOneNameOrAddressAreAnError) {
  StreamSettings s;
  const std::string one = "[[streams.listen]]\nname = \"a\"\naddress = \"127.0.0.1:9\"\nclass = \"x\"\n";
  EXPECT_EQ(read(one + one, s).size(), 1u);
}

TEST(StreamSettings, StreamsAreAsManyAsTheDescriptorsAllow) {
  StreamSettings s;
  s.most = 1000;
  s.descriptorShare = 0.5;
  EXPECT_EQ(maxStreamsFor(s, 1024), 248u);
  EXPECT_EQ(maxStreamsFor(s, 100'000), 1000u);
  EXPECT_GE(maxStreamsFor(s, 4), 1u);
}

}  // namespace
}  // namespace finchstile::stream
