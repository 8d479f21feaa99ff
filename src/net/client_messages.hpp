// What clients send and get: a request as it was read, and a response before it is written.
#pragma once

#include <boost/beast/http.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/header_line.hpp"
#include "net/clock.hpp"

namespace finchstile {

using ClientRequest = boost::beast::http::request<boost::beast::http::string_body>;

/// A response that is relayed piece by piece while the host still sends it. It has the id of its attempt.
using RelayId = std::uint64_t;

/// Marks a response whose `body` is only the beginning: the rest follows through the relay.
struct PartialResponse {
  std::optional<std::uint64_t> length;  ///< Bytes of the whole body, if the host announced them.
  RelayId relay = 0;
};

/// The one response to a client's request. The session adds framing and connection headers.
struct Response {
  boost::beast::http::status status = boost::beast::http::status::ok;
  std::string body;
  std::string contentType;
  std::vector<HeaderLine> headers;  ///< Written in addition to those that follow from the other fields.
  Duration retryAfter{};            ///< For `Retry-After`; 0: the header is left out.
  bool close = false;               ///< The connection is closed after this response.
  std::optional<PartialResponse> partial;  ///< None: `body` is complete.
};

/// A response with a status and nothing else.
inline Response plainResponse(boost::beast::http::status status) {
  Response response;
  response.status = status;
  return response;
}

}  // namespace finchstile
