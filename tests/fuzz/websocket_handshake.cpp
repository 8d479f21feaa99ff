// Parses any bytes as the request of an opening handshake. The matching answer must be accepted for a valid
// request, and the header lines for the host must be well-formed.
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <cstdlib>

#include "fuzz/target.hpp"
#include "websocket/handshake.hpp"

using namespace finchstile::websocket;
namespace http = boost::beast::http;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view bytes = asText(data, size);
  boost::system::error_code error;
  http::request_parser<http::empty_body> request;
  request.put(boost::asio::buffer(bytes.data(), bytes.size()), error);
  if (!request.is_header_done()) return 0;
  const RequestHead& head = request.get().base();
  HandshakeRules rules;
  requestsWebSocket(head);
  if (checkRequest(head, rules).status != 0) return 0;
  Fields response;
  response.set("Connection", "Upgrade");
  response.set("Upgrade", "websocket");
  response.set("Sec-WebSocket-Accept",
               acceptOf({head["Sec-WebSocket-Key"].data(), head["Sec-WebSocket-Key"].size()}));
  if (!checkAccept(head, response, rules).good) std::abort();
  // Whatever other lines the request has, those forwarded to the host are not empty and have no line breaks.
  for (const auto& line : headersForHost(head, rules))
    if (line.value.empty() || line.value.find_first_of("\r\n") != std::string::npos) std::abort();
  return 0;
}
