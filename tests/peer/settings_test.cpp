// Settings of the [peers] table.
#include "peer/settings.hpp"

#include <gtest/gtest.h>

#include "operator/document.hpp"

namespace finchstile::peer {
namespace {

TEST(PeerSettings, ParsesOnlyCompleteEndpoints) {
  EXPECT_EQ(parseEndpoint("10.0.0.4:7946")->port(), 7946);
  EXPECT_EQ(parseEndpoint("[::1]:7946")->address().to_string(), "::1");
  for (const char* invalidText : {"", "10.0.0.4", "10.0.0.4:", "10.0.0.4:0", "10.0.0.4:65536", "host:1",
                                  "::1:7946", "10.0.0.4:7946x", "[10.0.0.4]:1", "10.0.0:1"})
    EXPECT_FALSE(parseEndpoint(invalidText)) << invalidText;
}

TEST(PeerSettings, ReadsAddressesUpToTheMaximumNumber) {
  const auto read = [](int addresses, PeerSettings& out) {
    std::string text = "[peers]\nenabled = true\nsecret_file = 's'\nown = '10.0.0.1:7946'\naddresses = [";
    for (int i = 0; i < addresses; ++i)
      text += "'10.0." + std::to_string(i / 250) + "." + std::to_string(1 + i % 250) + ":7946',";
    std::vector<SettingProblem> problems;
    const SettingNode document = parseToml(text + "]\n", problems);
    {
      SettingReader root(document, "", problems);
      readPeerSettings(root, "", out);
    }
    std::string lines;
    for (const SettingProblem& problem : problems) lines += describe("f", problem) + "\n";
    return lines;
  };
  PeerSettings some, most, more;
  EXPECT_EQ(read(1100, some), "");
  EXPECT_EQ(some.endpoints.size(), 1100u);
  EXPECT_EQ(read(4096, most), "");
  EXPECT_EQ(most.endpoints.size(), 4096u);
  EXPECT_NE(read(4097, more)
                .find("peers.addresses must be a list of at most 4096 texts of 1 to 64 bytes, and has 4097"),
            std::string::npos)
      << read(4097, more);
}

}  // namespace
}  // namespace finchstile::peer
