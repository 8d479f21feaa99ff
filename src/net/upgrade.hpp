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
#include "net/stage.hpp"

namespace finchstile {

struct UpgradeAsked {  // one that is under way
  tcp::endpoint from;
  Time since{};
};

struct Upgraded {  // both sides have left HTTP, and nobody has told the client yet
  ridgeshift::RequestId request = 0;
  std::uint32_t attempt = 0;
  ridgeshift::HostId host = ridgeshift::kNone;
  std::string hostName;
  UpgradeAsked asked;
  tcp::socket client, upstream;
  std::string fromClient, fromHost;  // read behind the heads
  std::string head;                  // of the 101, to be written first
  bool agreed = false;               // as `accepted` had it
};

class Upgrades {
 public:
  struct Accepted {
    std::vector<HeaderLine> toClient;
    bool agreed = false;  // a word of its own for `take`
  };

  virtual ~Upgrades() = default;
  virtual bool asks(const ClientRequest& message) const = 0;
  // The answer to one that may not be; what such clients do not send of a request is added to one that may.
  virtual std::optional<Answer> check(ClientRequest& message) = 0;
  virtual Duration longest() const = 0;  // that the handshake may take
  virtual std::vector<HeaderLine> toHost(const ClientRequest& message) const = 0;
  // None: the host's 101 is no answer to this request.
  virtual std::optional<Accepted> accepted(const ClientRequest& message,
                                           const boost::beast::http::fields& answer) const = 0;
  virtual void onAsked() = 0;
  virtual void onNotBegun(const UpgradeAsked& asked, RequestEnd how) = 0;
  // From here on it tells the module, as a front does.
  virtual void take(Upgraded&& upgraded) = 0;
};

}  // namespace finchstile
