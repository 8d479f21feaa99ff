// The opening handshake of RFC 6455, sections 4.1 and 4.2, as a gateway between both sides has to hold it:
// what a client may ask, what goes on to the host, what its answer has to be. No I/O.
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
  std::vector<std::string> origins;    // that may ask, as browsers name them; empty: any, and none at all
  std::vector<std::string> protocols;  // that are passed on; empty: all
  bool deflate = true;                 // permessage-deflate may be agreed on; other extensions never
};

// The request speaks of WebSocket: its Upgrade names it, whatever else is wrong.
bool requestsWebSocket(const RequestHead& head);

struct HandshakeVerdict {
  unsigned status = 0;  // 0: good; else 400, 403 or 426
  const char* why = "";
};
HandshakeVerdict checkRequest(const RequestHead& head, const HandshakeRules& rules);

// What an attempt says beside what every request says to a host.
std::vector<HeaderLine> headersForHost(const RequestHead& head, const HandshakeRules& rules);

struct AcceptVerdict {
  bool good = false;
  const char* why = "";
  bool deflate = false;              // was agreed on
  std::vector<HeaderLine> toClient;  // the head of the 101 for it
};
// Of a host's 101, to a request that was good.
AcceptVerdict checkAccept(const RequestHead& asked, const Fields& answer, const HandshakeRules& rules);

std::string acceptOf(std::string_view key);  // 4.2.2, 5.4

}  // namespace finchstile::websocket
