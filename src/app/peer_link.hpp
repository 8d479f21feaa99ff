// The program's one channel to the other gateways, shared by everything that exchanges datagrams with them.
#pragma once

#include <boost/asio/io_context.hpp>
#include <string>
#include <string_view>

#include "base/siphash.hpp"
#include "net/clock.hpp"
#include "peer/channel.hpp"
#include "peer/settings.hpp"

namespace finchstile {

class PeerLink {
 public:
  // Throws peer::SecretError if the secret is not usable, boost::system::system_error if the address is not
  // available. `io` must outlive the link.
  PeerLink(boost::asio::io_context& io, const Clock& clock, const peer::PeerSettings& settings);

  peer::Channel& channel() { return channel_; }
  // A key of its own for each purpose: what the use of one key reveals says nothing about the others.
  SipKey deriveKey(std::string_view purpose) const;
  peer::GatewayNumber ownNumber() const { return ownNumber_; }
  peer::GatewayNumber gatewayCount() const { return gatewayCount_; }
  std::string summary() const;  // the channel's statistics in one line for the log

 private:
  const SipKey secret_;
  const peer::GatewayNumber ownNumber_;
  const peer::GatewayNumber gatewayCount_;
  peer::Channel channel_;
};

}  // namespace finchstile
