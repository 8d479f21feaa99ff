// Opening handshake (RFC 6455, sections 4.1 and 4.2) as validated by a gateway: which requests of clients are
// valid, which headers are sent to the host, and which responses are accepted. No I/O.
#pragma once

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "base/header_line.hpp"

namespace finchstile::websocket {

using Fields = boost::beast::http::fields;
using RequestHead = boost::beast::http::header<true, Fields>;

struct HandshakeRules {
  std::vector<std::string> origins;    // allowed values of Origin; empty: any, also none
  std::vector<std::string> protocols;  // subprotocols that are forwarded; empty: all
  bool deflate = true;  // permessage-deflate may be negotiated; other extensions are never forwarded
};

// Whether Upgrade names websocket, even if the request is invalid otherwise.
bool requestsWebSocket(const RequestHead& head);

struct HandshakeVerdict {
  unsigned status = 0;  // 0: valid; otherwise 400, 403 or 426
  const char* why = "";
};
HandshakeVerdict checkRequest(const RequestHead& head, const HandshakeRules& rules);

// Headers of an attempt in addition to those of every request to a host.
std::vector<HeaderLine> headersForHost(const RequestHead& head, const HandshakeRules& rules);

struct AcceptVerdict {
  bool good = false;
  const char* why = "";
  bool deflate = false;              // permessage-deflate was negotiated
  std::vector<HeaderLine> toClient;  // headers of the 101 response to the client
};
// Validates the 101 response of a host to a valid request.
AcceptVerdict checkAccept(const RequestHead& request, const Fields& answer, const HandshakeRules& rules);

std::string acceptOf(std::string_view key);  // Sec-WebSocket-Accept for a key (4.2.2, step 5.4)

}  // namespace finchstile::websocket
