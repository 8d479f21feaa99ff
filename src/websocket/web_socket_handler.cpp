#include "websocket/web_socket_handler.hpp"

#include <cstdio>
#include <utility>

#include "stream/sockets.hpp"

namespace finchstile::websocket {
namespace {

namespace http = boost::beast::http;
using stream::EndedBy;
using stream::Ending;
using stream::EndReason;
using stream::textOf;

constexpr const char* kName = "websocket";

Ending endingOf(RequestResult how) {
  switch (how) {
    case RequestResult::rejected:
    case RequestResult::rejectedByFilter: return {EndedBy::gateway, EndReason::rejected, false};
    case RequestResult::clientDisconnected: return {EndedBy::client, EndReason::clientDisconnected, false};
    default:
      return {EndedBy::host, EndReason::notEstablished, false};  // also when the response is not a valid 101
  }
}

}  // namespace

WebSocketHandler::WebSocketHandler(const Clock& clock, const WebSocketSettings& settings, std::string gateway,
                                   std::function<std::uint32_t()> draw, stream::StreamTable& table)
    : clock_(clock),
      settings_(settings),
      gateway_(std::move(gateway)),
      draw_(std::move(draw)),
      table_(table) {}

bool WebSocketHandler::isUpgradeRequest(const ClientRequest& message) const {
  return requestsWebSocket(message);
}

std::optional<Response> WebSocketHandler::checkRequest(ClientRequest& message) {
  const HandshakeVerdict v = websocket::checkRequest(message, settings_.rules);
  if (v.status != 0) {
    Response a;
    a.status = static_cast<http::status>(v.status);
    a.body = std::string(v.why) + "\n";
    a.contentType = "text/plain";
    a.close = true;
    if (v.status == 426) {  // RFC 6455, 4.4, and RFC 9110, 15.5.22
      a.headers.push_back({"Upgrade", "websocket"});
      a.headers.push_back({"Sec-WebSocket-Version", "13"});
    }
    return a;
  }
  // Browsers cannot set custom headers on a handshake, so missing ones get defaults.
  if (message.find("X-Correlation-Id") == message.end()) {
    char id[64];
    std::snprintf(id, sizeof id, "ws-%08x%08x-%llu", draw_(), draw_(),
                  static_cast<unsigned long long>(++lastGeneratedId_));
    message.set("X-Correlation-Id", gateway_ + "-" + id);
  }
  if (message.find("X-Time-Left-Ms") == message.end())
    message.set("X-Time-Left-Ms",
                std::to_string(std::chrono::ceil<std::chrono::milliseconds>(settings_.handshake).count()));
  return std::nullopt;
}

std::vector<HeaderLine> WebSocketHandler::upstreamHeaders(const ClientRequest& message) const {
  return headersForHost(message, settings_.rules);
}

std::optional<UpgradeHandler::AcceptedUpgrade> WebSocketHandler::acceptResponse(
    const ClientRequest& message, const http::fields& answer) const {
  AcceptVerdict v = checkAccept(message, answer, settings_.rules);
  if (!v.good) {
    std::fprintf(stderr, "websocket: 101 response of a host rejected, attempt failed: %s\n", v.why);
    return std::nullopt;
  }
  return AcceptedUpgrade{std::move(v.toClient), v.deflate};
}

void WebSocketHandler::onUpgradeRequested() { table_.statistics().onAccepted(kName); }

void WebSocketHandler::onUpgradeNotEstablished(const PendingUpgrade& pendingUpgrade, RequestResult how) {
  stream::StreamInfo b;
  b.name = kName;
  b.from = textOf(pendingUpgrade.from);
  b.since = pendingUpgrade.since;
  table_.onNotEstablished(b, endingOf(how));
}

void WebSocketHandler::takeOverConnection(UpgradedConnection&& u) {
  CodecRules rules;
  rules.checked = settings_.inspect;
  rules.deflate = u.extensionNegotiated;
  rules.maxFrameBytes = settings_.maxFrameBytes;
  rules.maxMessageBytes = settings_.maxMessageBytes;
  rules.pingInterval = settings_.pingInterval;
  rules.pingTimeout = settings_.pingTimeout;
  stream::RelayParts parts{std::move(u.client),
                           std::move(u.upstream),
                           std::move(u.fromClient),
                           std::move(u.fromHost),
                           std::move(u.head),
                           settings_.flow,
                           std::make_unique<WebSocketCodec>(rules, draw_)};
  table_.addEstablished({u.request, u.attempt, u.host, kName, std::move(u.hostName),
                         textOf(u.pendingUpgrade.from), u.pendingUpgrade.since},
                        std::move(parts));
}

}  // namespace finchstile::websocket
