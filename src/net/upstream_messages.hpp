// Messages that are exchanged with hosts.
#pragma once

#include <boost/beast/http.hpp>
#include <cstdint>
#include <string>

#include "net/clock.hpp"

namespace finchstile {

/// Identifies one attempt of a request at a host. Ids are never reused.
using AttemptId = std::uint64_t;

using UpstreamRequest = boost::beast::http::request<boost::beast::http::string_body>;

/// A response of a host.
struct UpstreamResponse {
  unsigned status = 0;
  std::string body, contentType;    ///< Only set if the outcome is served.
  boost::beast::http::fields head;  ///< Set for every complete response, regardless of its status.
};

/// The connection of an attempt.
struct ConnectionUse {
  std::uint16_t localPort = 0;  ///< Identifies the connection at its host; 0: the attempt got no connection.
  Time lastResponseAt{};        ///< When the previous response on it was complete; 0 on a new connection.
};

/// A request to a host, ready to be sent.
struct OutgoingRequest {
  UpstreamRequest message;
  /// If false, more of the body follows, framed by the message's Content-Length, or in chunks if it has none.
  bool bodyComplete = true;
  bool upgrade = false;  ///< The request is an upgrade, to which 101 is a valid response.
};

}  // namespace finchstile
