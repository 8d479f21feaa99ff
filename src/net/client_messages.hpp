// Messages of clients: requests as they were read, and responses before they are serialized.
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

/// Id of a response that is relayed piece by piece while the host still sends it; equal to the id of its
/// attempt.
using RelayId = std::uint64_t;

/// Describes a response whose `body` holds only the beginning; the rest follows through the relay.
struct PartialResponse {
  std::optional<std::uint64_t> length;  ///< Length of the complete body in bytes, if the host announced it.
  RelayId relay = 0;
};

/// Response to a client's request. The session adds framing and connection headers.
struct Response {
  boost::beast::http::status status = boost::beast::http::status::ok;
  std::string body;
  std::string contentType;
  std::vector<HeaderLine> headers;  ///< Sent in addition to the headers that follow from the other fields.
  Duration retryAfter{};            ///< Value of `Retry-After`; 0 omits the header.
  bool close = false;               ///< Close the connection after this response.
  std::optional<PartialResponse> partial;  ///< Not set if `body` is complete.
};

/// Returns a response with the given status and no body.
inline Response plainResponse(boost::beast::http::status status) {
  Response response;
  response.status = status;
  return response;
}

}  // namespace finchstile
