// Exchanges datagrams with the other gateways over one UDP socket, without queueing or retransmission.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <functional>
#include <string_view>
#include <vector>

#include "peer/datagram.hpp"
#include "peer/replay_window.hpp"

namespace finchstile::peer {

using boost::asio::ip::udp;

struct ChannelStatistics {
  std::uint64_t sent = 0;
  std::uint64_t sendFailures = 0;  // payload too long, unknown recipient, or system error
  std::uint64_t delivered = 0;     // passed to a handler
  std::array<std::uint64_t, kDatagramResultCount>
      byResult{};  // received datagrams, indexed by DatagramResult
};

class Channel {
 public:
  struct Settings {
    udp::endpoint listenEndpoint;
    std::vector<udp::endpoint>
        peerEndpoints;  // by gateway number, including the own endpoint as seen by others
    GatewayNumber ownNumber = 0;
    SipKey key;
    std::uint64_t epoch = 0;  // of this start, see Datagram::epoch
  };
  using Handler = std::function<void(GatewayNumber sender, std::uint64_t epoch, std::string_view payload)>;

  // Opens the socket and starts receiving. Throws boost::system::system_error if the endpoint is not
  // available. `io` must outlive the channel.
  Channel(boost::asio::io_context& io, const Settings& settings);
  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;

  // Sets the handler, which is called on the loop for each valid datagram of the topic. Replaces an earlier
  // one.
  void setHandler(Topic topic, Handler handler);

  // Sends a datagram without a delivery guarantee: if the system's send buffer is full, it is dropped and
  // counted as a failure.
  void send(Topic topic, GatewayNumber recipient, std::string_view payload);

  udp::endpoint endpoint() const { return socket_.local_endpoint(); }
  void setPeerEndpoint(GatewayNumber peer, const udp::endpoint& endpoint) {
    settings_.peerEndpoints.at(peer) = endpoint;
  }
  const ChannelStatistics& statistics() const { return statistics_; }

 private:
  static constexpr std::size_t kTopicSlots = 4;  // handlers are indexed by Topic

  void receiveNext();
  void onReceived(std::string_view bytes);
  DatagramResult check(std::string_view bytes, Datagram& out);

  Settings settings_;
  udp::socket socket_;
  std::vector<ReplayWindow> replayWindows_;  // by sender
  std::array<Handler, kTopicSlots> handlers_;
  // One byte longer than the longest valid datagram, to recognize longer ones.
  std::array<char, kMaxDatagramBytes + 1> buffer_{};
  udp::endpoint senderEndpoint_;  // of the datagram in `buffer_`
  std::uint64_t lastSequenceNumber_ = 0;
  ChannelStatistics statistics_;
};

}  // namespace finchstile::peer
