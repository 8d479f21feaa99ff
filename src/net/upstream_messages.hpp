// What is sent to hosts and what they answer.
#pragma once

#include <boost/beast/http.hpp>
#include <cstdint>
#include <string>

namespace finchstile {

/// Names one attempt of one request at one host. Ids are never used again.
using AttemptId = std::uint64_t;

using UpstreamRequest = boost::beast::http::request<boost::beast::http::string_body>;

struct UpstreamResponse {
  unsigned status = 0;
  std::string body, contentType;    ///< Of a served response only.
  boost::beast::http::fields head;  ///< Of every complete response, whatever its status.
};

struct OutgoingRequest {
  UpstreamRequest message;
  /// False: more of the body follows, framed by the message's Content-Length, or in chunks if it has none.
  bool bodyComplete = true;
  bool upgrade = false;  ///< The request asks to leave HTTP, so that 101 is a response to it.
};

}  // namespace finchstile
