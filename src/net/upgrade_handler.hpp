// What takes over a client's connection that leaves HTTP (RFC 9110, 7.8), and the host's with it. Until then
// it is a request like any other: read, passed through the stages, sent where the module says.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/fields.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "net/client.hpp"
#include "net/request_filter.hpp"

namespace finchstile {

struct PendingUpgrade {  // one that is under way
  tcp::endpoint from;
  Time since{};
};

struct UpgradedConnection {  // both sides have left HTTP, and nobody has told the client yet
  load_balancing::RequestId request = 0;
  std::uint32_t attempt = 0;
  load_balancing::HostId host = load_balancing::kNone;
  std::string hostName;
  PendingUpgrade asked;
  tcp::socket client, upstream;
  std::string fromClient, fromHost;  // read behind the heads
  std::string head;                  // of the 101, to be written first
  bool agreed = false;               // as `accepted` had it
};

class UpgradeHandler {
 public:
  struct AcceptedUpgrade {
    std::vector<HeaderLine> toClient;
    bool agreed = false;  // a word of its own for `take`
  };

  virtual ~UpgradeHandler() = default;
  virtual bool isUpgradeRequest(const ClientRequest& message) const = 0;
  // The answer to one that may not be; what such clients do not send of a request is added to one that may.
  virtual std::optional<Response> checkRequest(ClientRequest& message) = 0;
  virtual Duration handshakeTimeout() const = 0;  // that the handshake may take
  virtual std::vector<HeaderLine> upstreamHeaders(const ClientRequest& message) const = 0;
  // None: the host's 101 is no answer to this request.
  virtual std::optional<AcceptedUpgrade> acceptResponse(const ClientRequest& message,
                                                        const boost::beast::http::fields& answer) const = 0;
  virtual void onUpgradeRequested() = 0;
  virtual void onUpgradeNotEstablished(const PendingUpgrade& asked, RequestResult how) = 0;
  // From here on it tells the module, as a front does.
  virtual void takeOverConnection(UpgradedConnection&& upgraded) = 0;
};

}  // namespace finchstile
