// The program's only channel to the other gateways, shared by all subsystems that exchange datagrams with
// them.
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
  // Throws peer::SecretError if the secret is invalid, boost::system::system_error if the address is not
  // available. `io` must outlive the link.
  PeerLink(boost::asio::io_context& io, const Clock& clock, const peer::PeerSettings& settings);

  peer::Channel& channel() { return channel_; }
  // Derives a separate key for each purpose, so that the use of one key reveals nothing about the others.
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
