// Interface for taking over client connections that are upgraded to another protocol (RFC 9110, 7.8),
// together with their connections to hosts. Until then an upgrade is processed like any other request: read,
// passed through the filters, sent to a chosen host.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/fields.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "finchstile/load_balancer.hpp"
#include "net/client_messages.hpp"
#include "net/clock.hpp"
#include "net/request_filter.hpp"

namespace finchstile {

using boost::asio::ip::tcp;

/// An upgrade request that is not established.
struct PendingUpgrade {
  tcp::endpoint from;  ///< Address of the client.
  Time since{};
};

/// An upgrade that the host has accepted. The 101 response has not been sent to the client yet.
struct UpgradedConnection {
  load_balancing::RequestId request = 0;
  std::uint32_t attempt = 0;
  load_balancing::HostId host = load_balancing::kNone;
  std::string hostName;
  PendingUpgrade pendingUpgrade;
  tcp::socket client, upstream;
  std::string fromClient, fromHost;  ///< Bytes that were read after the heads.
  std::string head;                  ///< Head of the 101 response; must be written to the client first.
  bool extensionNegotiated = false;  ///< See AcceptedUpgrade::extensionNegotiated.
};

/// Implemented by the handler of one upgrade protocol.
class UpgradeHandler {
 public:
  struct AcceptedUpgrade {
    std::vector<HeaderLine> toClient;  ///< Header lines of the 101 response.
    bool extensionNegotiated = false;  ///< Used only by the handler itself, in `takeOverConnection`.
  };

  virtual ~UpgradeHandler() = default;
  virtual bool isUpgradeRequest(const ClientRequest& message) const = 0;
  /// Returns a response if the request must not be upgraded. Otherwise it adds the headers that the gateway
  /// requires and that clients of the upgrade protocol don't send.
  virtual std::optional<Response> checkRequest(ClientRequest& message) = 0;
  /// Time limit for the handshake.
  virtual Duration handshakeTimeout() const = 0;
  /// Header lines to add to the request that is sent to the host.
  virtual std::vector<HeaderLine> upstreamHeaders(const ClientRequest& message) const = 0;
  /// Returns none if the host's 101 is not a valid response to this request.
  virtual std::optional<AcceptedUpgrade> acceptResponse(
      const ClientRequest& message, const boost::beast::http::fields& upstreamHead) const = 0;
  /// An upgrade request was accepted. Exactly one of the two functions below follows.
  virtual void onUpgradeRequested() = 0;
  virtual void onUpgradeNotEstablished(const PendingUpgrade& pendingUpgrade, RequestResult result) = 0;
  /// Passes both connections to the handler. From now on the handler reports to the load balancer, like a
  /// ProtocolHandler.
  virtual void takeOverConnection(UpgradedConnection&& upgraded) = 0;
};

}  // namespace finchstile
