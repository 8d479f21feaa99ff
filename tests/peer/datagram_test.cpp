// Datagrams between gateways: what is taken, what is not, and the same over loopback sockets.
#include "peer/datagram.hpp"

#include <gtest/gtest.h>

#include <boost/asio/buffer.hpp>
#include <chrono>

#include "operator/document.hpp"
#include "peer/channel.hpp"
#include "peer/settings.hpp"
#include "support/process.hpp"
#include "support/run_until.hpp"

namespace finchstile::peer {
namespace {

const SipKey kKey{0x0706050403020100, 0x0f0e0d0c0b0a0908};

Datagram example(std::size_t payload = 10) {
  Datagram d;
  d.topic = Topic::keys;
  d.sender = 513;
  d.epoch = 1'700'000'000'000;
  d.number = 42;
  d.payload = std::string(payload, 'p');
  return d;
}

TEST(PeerDatagram, ComesBackAsItWasAndIsBounded) {
  for (const std::size_t n : {std::size_t{0}, std::size_t{1}, kPayloadMost}) {
    const auto bytes = encode(example(n), kKey);
    ASSERT_TRUE(bytes);
    EXPECT_LE(bytes->size(), 256u);
    Datagram back;
    ASSERT_EQ(decode(*bytes, kKey, back), Verdict::good);
    EXPECT_EQ(back.sender, 513u);
    EXPECT_EQ(back.epoch, 1'700'000'000'000u);
    EXPECT_EQ(back.number, 42u);
    EXPECT_EQ(back.payload.size(), n);
  }
  EXPECT_FALSE(encode(example(kPayloadMost + 1), kKey));
}

std::string hex(std::string_view bytes) {
  std::string out;
  for (const char c : bytes) {
    char digits[3];
    std::snprintf(digits, sizeof digits, "%02x", static_cast<unsigned char>(c));
    out += digits;
  }
  return out;
}

// Gateways of other versions read these bytes.
TEST(PeerDatagram, DatagramHasTheseBytes) {
  EXPECT_EQ(hex(encode(example(3), kKey).value()),
            "5046010101020068e5cf8b0100002a000000000000007070700975b60487c9e327e714ff6942abd0"
            "78");
}

TEST(PeerDatagram, EveryChangedBitIsTold) {
  const std::string bytes = *encode(example(), kKey);
  Datagram back;
  for (std::size_t i = 0; i < bytes.size() * 8; ++i) {
    std::string changed = bytes;
    changed[i / 8] = static_cast<char>(changed[i / 8] ^ (1 << i % 8));
    EXPECT_NE(decode(changed, kKey, back), Verdict::good) << i;
  }
  for (std::size_t n = 0; n < bytes.size(); ++n)
    EXPECT_NE(decode(bytes.substr(0, n), kKey, back), Verdict::good);
  EXPECT_EQ(decode(bytes + "x", kKey, back), Verdict::forged);
  EXPECT_EQ(decode(bytes, SipKey{1, 2}, back), Verdict::forged);
  EXPECT_EQ(decode(std::string(300, 'x'), kKey, back), Verdict::malformed);
  std::string later = bytes;
  later[2] = 2;
  EXPECT_EQ(decode(later, kKey, back), Verdict::version);
}

TEST(PeerDatagram, ANumberIsTakenOnce) {
  ReplayWindow w;
  EXPECT_TRUE(w.take(5, 100));
  EXPECT_FALSE(w.take(5, 100));
  EXPECT_TRUE(w.take(5, 99));  // late
  EXPECT_FALSE(w.take(5, 99));
  EXPECT_TRUE(w.take(5, 163));
  EXPECT_FALSE(w.take(5, 100));
  EXPECT_TRUE(w.take(5, 101));
  EXPECT_FALSE(w.take(5, 98));  // too old to tell
  EXPECT_TRUE(w.take(5, 1'000'000));
  EXPECT_FALSE(w.take(5, 163));
  EXPECT_FALSE(w.take(4, 2'000'000));  // from before it started anew
  EXPECT_TRUE(w.take(6, 1));
  EXPECT_FALSE(w.take(5, 1'000'001));
}

struct ChannelTest : ::testing::Test {
  boost::asio::io_context io;
  std::vector<std::unique_ptr<Channel>> all;
  std::vector<std::vector<std::string>> heard;
  static udp::endpoint loopback() { return {boost::asio::ip::make_address("127.0.0.1"), 0}; }
  void start(std::size_t n) {
    heard.resize(n);
    for (std::size_t i = 0; i < n; ++i) {
      Channel::Settings s;
      s.listen = loopback();
      s.peers.assign(n, loopback());
      s.own = static_cast<Number>(i);
      s.key = kKey;
      s.epoch = 7;
      all.push_back(std::make_unique<Channel>(io, s));
      all.back()->take(Topic::keys, [this, i](Number from, std::uint64_t epoch, std::string_view payload) {
        heard[i].push_back(std::to_string(from) + "/" + std::to_string(epoch) + ":" + std::string(payload));
      });
    }
    for (auto& c : all)
      for (std::size_t i = 0; i < n; ++i) c->peerMoved(static_cast<Number>(i), all[i]->endpoint());
  }
  bool until(const std::function<bool()>& reached) { return finchstile::testing::runUntil(io, reached); }
  std::uint64_t verdicts(std::size_t at, Verdict v) const {
    return all[at]->counts().byVerdict[static_cast<std::size_t>(v)];
  }
};

TEST_F(ChannelTest, WhatOneSendsTheOtherHears) {
  start(3);
  all[0]->send(Topic::keys, 1, "one");
  all[2]->send(Topic::keys, 1, "two");
  ASSERT_TRUE(until([&] { return heard[1].size() == 2; }));
  EXPECT_NE(std::find(heard[1].begin(), heard[1].end(), "0/7:one"), heard[1].end());
  EXPECT_NE(std::find(heard[1].begin(), heard[1].end(), "2/7:two"), heard[1].end());
  all[0]->send(Topic::keys, 9, "nobody");
  all[0]->send(Topic::keys, 1, std::string(300, 'x'));
  EXPECT_EQ(all[0]->counts().unsent, 2u);
}

TEST_F(ChannelTest, StrangersForgersAndRepeatsAreCountedAndNotHeard) {
  start(2);
  udp::socket stranger(io, loopback());
  const auto send = [&](const std::string& bytes) {
    stranger.send_to(boost::asio::buffer(bytes), all[1]->endpoint());
  };
  Datagram d = example();
  d.sender = 0;
  send(*encode(d, kKey));  // the sum is good, the address is not that gateway's
  send(*encode(d, SipKey{1, 2}));
  send("noise");
  send(std::string(1000, 'x'));
  ASSERT_TRUE(until([&] {
    return verdicts(1, Verdict::stranger) == 1 && verdicts(1, Verdict::forged) == 1 &&
           verdicts(1, Verdict::malformed) == 2;
  }));
  all[1]->peerMoved(0, stranger.local_endpoint());
  send(*encode(d, kKey));
  send(*encode(d, kKey));
  ASSERT_TRUE(until([&] { return verdicts(1, Verdict::replayed) == 1; }));
  EXPECT_EQ(heard[1].size(), 1u);
  d.sender = 1;  // itself
  send(*encode(d, kKey));
  ASSERT_TRUE(until([&] { return verdicts(1, Verdict::stranger) == 2; }));
}

// A peer that is not there: errors come back for what was sent before, and nothing ends by them.
TEST_F(ChannelTest, APeerThatIsGoneChangesNothingForTheOthers) {
  start(3);
  all[2].reset();
  for (int i = 0; i < 5; ++i) all[0]->send(Topic::keys, 2, "gone");
  all[1]->send(Topic::keys, 0, "here");
  ASSERT_TRUE(until([&] { return heard[0].size() == 1; }));
  all[0]->send(Topic::keys, 1, "still");
  ASSERT_TRUE(until([&] { return heard[1].size() == 1; }));
}

TEST(PeerSettings, AddressesAndSecretsAreReadExactly) {
  EXPECT_EQ(parseEndpoint("10.0.0.4:7946")->port(), 7946);
  EXPECT_EQ(parseEndpoint("[::1]:7946")->address().to_string(), "::1");
  for (const char* bad : {"", "10.0.0.4", "10.0.0.4:", "10.0.0.4:0", "10.0.0.4:65536", "host:1", "::1:7946",
                          "10.0.0.4:7946x", "[10.0.0.4]:1", "10.0.0:1"})
    EXPECT_FALSE(parseEndpoint(bad)) << bad;
  finchstile::testing::Folder folder;
  const auto secret = [&](const std::string& text, int mode = 0600) {
    const std::string path = folder.write("secret", text);
    std::filesystem::permissions(path, static_cast<std::filesystem::perms>(mode));
    return path;
  };
  const SipKey k = loadSecret(secret("0706050403020100f0e0d0c0b0a09080\n"));
  EXPECT_EQ(k.a, 0x0706050403020100u);
  EXPECT_EQ(k.b, 0xf0e0d0c0b0a09080u);
  EXPECT_THROW(loadSecret(secret("0706050403020100f0e0d0c0b0a09080", 0644)), std::runtime_error);
  for (const char* bad :
       {"", "0706", "0706050403020100f0e0d0c0b0a0908g", "0706050403020100f0e0d0c0b0a09080aa",
        "0706050403020100f0e0d0c0b0a09080\n\n", " 706050403020100f0e0d0c0b0a09080"})
    EXPECT_THROW(loadSecret(secret(bad)), std::runtime_error) << bad;
  EXPECT_THROW(loadSecret(folder / "none"), std::runtime_error);
}

// Hard case: a tier of a thousand gateways, and a list of more than are held.
TEST(PeerSettings, AThousandAddressesAreReadAndOneBeyondTheBoundIsNamed) {
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
    for (const SettingProblem& p : problems) lines += describe("f", p) + "\n";
    return lines;
  };
  PeerSettings some, most, more;
  EXPECT_EQ(read(1100, some), "");
  EXPECT_EQ(some.addresses.size(), 1100u);
  EXPECT_EQ(read(4096, most), "");
  EXPECT_EQ(most.addresses.size(), 4096u);
  EXPECT_NE(read(4097, more)
                .find("peers.addresses must be a list of at most 4096 texts of 1 to 64 bytes, and has 4097"),
            std::string::npos)
      << read(4097, more);
}

}  // namespace
}  // namespace finchstile::peer
