// Takes over connections of clients that leave HTTP (RFC 9110, 7.8), and the hosts' connections with them.
// Until then an upgrade is a request like any other: read, passed through the filters, sent to a chosen host.
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

/// A request that asks to leave HTTP, and has not left it yet.
struct PendingUpgrade {
  tcp::endpoint from;  ///< The client.
  Time since{};
};

/// Both sides have left HTTP; the client has not been answered yet.
struct UpgradedConnection {
  load_balancing::RequestId request = 0;
  std::uint32_t attempt = 0;
  load_balancing::HostId host = load_balancing::kNone;
  std::string hostName;
  PendingUpgrade pendingUpgrade;
  tcp::socket client, upstream;
  std::string fromClient, fromHost;  ///< Bytes that were read behind the heads.
  std::string head;                  ///< Of the 101, to be written to the client first.
  bool extensionNegotiated = false;  ///< AcceptedUpgrade::extensionNegotiated.
};

class UpgradeHandler {
 public:
  struct AcceptedUpgrade {
    std::vector<HeaderLine> toClient;  ///< Header lines of the 101.
    bool extensionNegotiated = false;  ///< For the handler's own use in `takeOverConnection`.
  };

  virtual ~UpgradeHandler() = default;
  virtual bool isUpgradeRequest(const ClientRequest& message) const = 0;
  /// Returns the response to a request that may not be upgraded. To others it adds the headers that a request
  /// needs and such clients do not send.
  virtual std::optional<Response> checkRequest(ClientRequest& message) = 0;
  /// How long the handshake may take.
  virtual Duration handshakeTimeout() const = 0;
  virtual std::vector<HeaderLine> upstreamHeaders(const ClientRequest& message) const = 0;
  /// None: the host's 101 is no response to this request.
  virtual std::optional<AcceptedUpgrade> acceptResponse(const ClientRequest& message,
                                                        const boost::beast::http::fields& answer) const = 0;
  /// Each request that may be upgraded is followed by one of the two calls below.
  virtual void onUpgradeRequested() = 0;
  virtual void onUpgradeNotEstablished(const PendingUpgrade& pendingUpgrade, RequestResult how) = 0;
  /// From here on the handler reports to the load balancer, as a ProtocolHandler does.
  virtual void takeOverConnection(UpgradedConnection&& upgraded) = 0;
};

}  // namespace finchstile
