// The one channel to the other gateways, for all who talk over it.
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
  // Throws if the secret or the address can't be had.
  PeerLink(boost::asio::io_context& io, const Clock& clock, const peer::PeerSettings& settings);

  peer::Channel& channel() { return channel_; }
  // Another key for each use: what one tells of the secret says nothing of the others.
  SipKey keyFor(std::string_view use) const;
  peer::Number own() const { return own_; }
  peer::Number gateways() const { return gateways_; }
  std::string summary() const;

 private:
  const SipKey secret_;
  const peer::Number own_, gateways_;
  peer::Channel channel_;
};

}  // namespace finchstile
