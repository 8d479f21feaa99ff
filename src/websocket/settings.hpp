// Operator settings of WebSocket: table [streams.websocket].
#pragma once

#include <string>
#include <vector>

#include "operator/reader.hpp"
#include "stream/flow.hpp"
#include "websocket/codec.hpp"
#include "websocket/handshake.hpp"

namespace finchstile::websocket {

struct WebSocketSettings {
  bool enabled = false;
  bool inspect = true;                           // false: frames are forwarded by length, without validation
  Duration handshake = std::chrono::seconds(2);  // from the request to the 101 of the host, over all attempts
  stream::FlowLimits flow{std::chrono::hours(1), std::chrono::minutes(1), std::chrono::seconds(30)};
  Duration pingInterval = std::chrono::seconds(30), pingTimeout = std::chrono::seconds(10);
  std::size_t maxFrameBytes = 1 << 20, maxMessageBytes = 16 << 20;
  HandshakeRules rules;
};

void readWebSocketSettings(SettingReader& streams, WebSocketSettings& out);

}  // namespace finchstile::websocket
