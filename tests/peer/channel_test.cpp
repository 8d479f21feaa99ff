// Exchange of datagrams over loopback sockets.
#include "peer/channel.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <memory>
#include <string>

#include "support/run_until.hpp"

namespace finchstile::peer {
namespace {

const SipKey kKey{0x0706050403020100, 0x0f0e0d0c0b0a0908};

struct ChannelTest : ::testing::Test {
  boost::asio::io_context io;
  std::vector<std::unique_ptr<Channel>> channels;
  std::vector<std::vector<std::string>> received;
  static udp::endpoint loopback() { return {boost::asio::ip::make_address("127.0.0.1"), 0}; }
  void start(std::size_t gatewayCount) {
    received.resize(gatewayCount);
    for (std::size_t i = 0; i < gatewayCount; ++i) {
      Channel::Settings settings;
      settings.listenEndpoint = loopback();
      settings.peerEndpoints.assign(gatewayCount, loopback());
      settings.ownNumber = static_cast<GatewayNumber>(i);
      settings.key = kKey;
      settings.epoch = 7;
      channels.push_back(std::make_unique<Channel>(io, settings));
      channels.back()->setHandler(
          Topic::keys, [this, i](GatewayNumber from, std::uint64_t epoch, std::string_view payload) {
            received[i].push_back(std::to_string(from) + "/" + std::to_string(epoch) + ":" +
                                  std::string(payload));
          });
    }
    for (auto& gatewayChannel : channels)
      for (std::size_t i = 0; i < gatewayCount; ++i)
        gatewayChannel->setPeerEndpoint(static_cast<GatewayNumber>(i), channels[i]->endpoint());
  }
  bool waitUntil(const std::function<bool()>& reached) { return finchstile::testing::runUntil(io, reached); }
  std::uint64_t countOf(std::size_t channel, DatagramResult result) const {
    return channels[channel]->statistics().byResult[static_cast<std::size_t>(result)];
  }
};

TEST_F(ChannelTest, DeliversDatagramsToTheirRecipient) {
  start(3);
  channels[0]->send(Topic::keys, 1, "one");
  channels[2]->send(Topic::keys, 1, "two");
  ASSERT_TRUE(waitUntil([&] { return received[1].size() == 2; }));
  EXPECT_NE(std::find(received[1].begin(), received[1].end(), "0/7:one"), received[1].end());
  EXPECT_NE(std::find(received[1].begin(), received[1].end(), "2/7:two"), received[1].end());
  channels[0]->send(Topic::keys, 9, "nobody");
  channels[0]->send(Topic::keys, 1, std::string(300, 'x'));
  EXPECT_EQ(channels[0]->statistics().sendFailures, 2u);
}

TEST_F(ChannelTest, CountsAndDropsUnknownInvalidAndReplayedDatagrams) {
  start(2);
  udp::socket unknown(io, loopback());
  const auto send = [&](const std::string& bytes) {
    unknown.send_to(boost::asio::buffer(bytes), channels[1]->endpoint());
  };
  Datagram datagram;
  datagram.topic = Topic::keys;
  datagram.epoch = 1'700'000'000'000;
  datagram.sequenceNumber = 42;
  datagram.payload = std::string(10, 'p');
  datagram.sender = 0;
  send(*encode(datagram, kKey));  // a valid signature from another address
  send(*encode(datagram, SipKey{1, 2}));
  send("noise");
  send(std::string(1000, 'x'));
  ASSERT_TRUE(waitUntil([&] {
    return countOf(1, DatagramResult::unknownSender) == 1 &&
           countOf(1, DatagramResult::invalidSignature) == 1 && countOf(1, DatagramResult::malformed) == 2;
  }));
  channels[1]->setPeerEndpoint(0, unknown.local_endpoint());
  send(*encode(datagram, kKey));
  send(*encode(datagram, kKey));
  ASSERT_TRUE(waitUntil([&] { return countOf(1, DatagramResult::replayed) == 1; }));
  EXPECT_EQ(received[1].size(), 1u);
  datagram.sender = 1;  // the own number of the receiver
  send(*encode(datagram, kKey));
  ASSERT_TRUE(waitUntil([&] { return countOf(1, DatagramResult::unknownSender) == 2; }));
}

// The system reports an undeliverable datagram as the error of a later operation, which the channel has to
// ignore.
TEST_F(ChannelTest, UnreachablePeerDoesNotAffectOthers) {
  start(3);
  channels[2].reset();
  for (int i = 0; i < 5; ++i) channels[0]->send(Topic::keys, 2, "gone");
  channels[1]->send(Topic::keys, 0, "here");
  ASSERT_TRUE(waitUntil([&] { return received[0].size() == 1; }));
  channels[0]->send(Topic::keys, 1, "still");
  ASSERT_TRUE(waitUntil([&] { return received[1].size() == 1; }));
}

}  // namespace
}  // namespace finchstile::peer
