#include "peer/channel.hpp"

#include <utility>

namespace finchstile::peer {

Channel::Channel(boost::asio::io_context& io, const Settings& settings)
    : settings_(settings),
      socket_(io, settings.listenEndpoint),
      replayWindows_(settings.peerEndpoints.size()) {
  socket_.non_blocking(true);
  receiveNext();
}

void Channel::setHandler(Topic topic, Handler handler) {
  handlers_.at(static_cast<std::size_t>(topic)) = std::move(handler);
}

void Channel::send(Topic topic, GatewayNumber recipient, std::string_view payload) {
  Datagram datagram;
  datagram.topic = topic;
  datagram.sender = settings_.ownNumber;
  datagram.epoch = settings_.epoch;
  datagram.sequenceNumber = ++lastSequenceNumber_;
  datagram.payload = payload;
  const auto bytes = encode(datagram, settings_.key);
  boost::system::error_code error = boost::asio::error::invalid_argument;
  if (bytes && recipient < settings_.peerEndpoints.size())
    socket_.send_to(boost::asio::buffer(*bytes), settings_.peerEndpoints[recipient], 0, error);
  ++(error ? statistics_.sendFailures : statistics_.sent);
}

void Channel::receiveNext() {
  const auto onReceive = [this](const boost::system::error_code& error, std::size_t size) {
    if (error == boost::asio::error::operation_aborted) return;
    // Any other error reports that a datagram sent earlier was not delivered; nothing was received.
    if (!error) onReceived({buffer_.data(), size});
    receiveNext();
  };
  socket_.async_receive_from(boost::asio::buffer(buffer_), senderEndpoint_, onReceive);
}

void Channel::onReceived(std::string_view bytes) {
  Datagram datagram;
  const DatagramResult result = check(bytes, datagram);
  ++statistics_.byResult[static_cast<std::size_t>(result)];
  if (result != DatagramResult::valid) return;
  const auto slot = static_cast<std::size_t>(datagram.topic);
  if (slot >= handlers_.size() || !handlers_[slot]) return;
  ++statistics_.delivered;
  handlers_[slot](datagram.sender, datagram.epoch, datagram.payload);
}

DatagramResult Channel::check(std::string_view bytes, Datagram& out) {
  const DatagramResult result = decode(bytes, settings_.key, out);
  if (result != DatagramResult::valid) return result;
  const GatewayNumber sender = out.sender;
  if (sender >= settings_.peerEndpoints.size() || sender == settings_.ownNumber ||
      settings_.peerEndpoints[sender] != senderEndpoint_)
    return DatagramResult::unknownSender;
  if (!replayWindows_[sender].accept(out.epoch, out.sequenceNumber)) return DatagramResult::replayed;
  return DatagramResult::valid;
}

}  // namespace finchstile::peer
