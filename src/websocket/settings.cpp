#include "websocket/settings.hpp"

namespace finchstile::websocket {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;

void readWebSocketSettings(SettingReader& streams, WebSocketSettings& out) {
  streams.table("websocket", [&](SettingReader& r) {
    r.boolean("enabled", out.enabled);
    std::string mode = "inspect";
    if (r.choice("mode", mode, {"inspect", "relay"})) out.inspect = mode == "inspect";
    r.duration("handshake", out.handshake, milliseconds(10), minutes(1));
    r.duration("idle", out.flow.idle, milliseconds(100), hours(24 * 7));
    r.duration("stalled", out.flow.stalled, milliseconds(100), hours(1));
    r.duration("ping_after", out.pingInterval, milliseconds(0), hours(1));
    r.duration("ping_answer", out.pingTimeout, milliseconds(50), minutes(10));
    constexpr std::size_t kMost = std::size_t{1} << 40;
    r.size("frame_most", out.maxFrameBytes, 125, kMost);
    r.size("message_most", out.maxMessageBytes, 125, kMost);
    if (out.maxMessageBytes < out.maxFrameBytes) r.error("message_most", "must not be below frame_most");
    std::string deflate = "pass";
    if (r.choice("deflate", deflate, {"pass", "refuse"})) out.rules.deflate = deflate == "pass";
    r.texts("origins", out.rules.origins, 256, 256);
    r.texts("protocols", out.rules.protocols, 64, 64);
  });
}

}  // namespace finchstile::websocket
