// WebSocket support of the gateway: the handshake as a request, then the established stream in the stream
// table.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "net/upgrade_handler.hpp"
#include "stream/table.hpp"
#include "websocket/settings.hpp"

namespace finchstile::websocket {

class WebSocketHandler : public UpgradeHandler {
 public:
  // `draw` returns unpredictable numbers for masking keys and correlation ids. `table` must outlive this
  // object.
  WebSocketHandler(const Clock& clock, const WebSocketSettings& settings, std::string gateway,
                   std::function<std::uint32_t()> draw, stream::StreamTable& table);

  bool isUpgradeRequest(const ClientRequest& message) const override;
  std::optional<Response> checkRequest(ClientRequest& message) override;
  Duration handshakeTimeout() const override { return settings_.handshake; }
  std::vector<HeaderLine> upstreamHeaders(const ClientRequest& message) const override;
  std::optional<AcceptedUpgrade> acceptResponse(const ClientRequest& message,
                                                const boost::beast::http::fields& answer) const override;
  void onUpgradeRequested() override;
  void onUpgradeNotEstablished(const PendingUpgrade& pendingUpgrade, RequestResult how) override;
  void takeOverConnection(UpgradedConnection&& upgraded) override;

 private:
  const Clock& clock_;
  const WebSocketSettings settings_;
  const std::string gateway_;
  const std::function<std::uint32_t()> draw_;
  stream::StreamTable& table_;
  std::uint64_t lastGeneratedId_ = 0;
};

}  // namespace finchstile::websocket
