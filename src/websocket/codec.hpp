// Codec of WebSocket: frames in both directions, close frames, pings. No I/O; random numbers are passed in.
#pragma once

#include <cstdint>
#include <functional>

#include "stream/codec.hpp"
#include "websocket/frames.hpp"

namespace finchstile::websocket {

struct CodecRules {
  bool checked = true, deflate = false;
  std::uint64_t maxFrameBytes = 1 << 20, maxMessageBytes = 16 << 20;
  Duration pingInterval{}, pingTimeout{};
};

class WebSocketCodec : public stream::Codec {
 public:
  // `draw` returns unpredictable masking keys for frames the gateway sends to the host (RFC 6455, 5.3).
  WebSocketCodec(const CodecRules& rules, std::function<std::uint32_t()> draw);

  DecodeResult decode(stream::Side from, const char* bytes, std::size_t n, bool stop) override;
  bool atBoundary(stream::Side from) const override { return reader(from).atBoundary(); }
  bool closeReceived(stream::Side from) const override { return reader(from).closed(); }
  std::string closeMessage(stream::Side to, const stream::Ending& ending) override;
  std::string ping(stream::Side to) override { return frame(to, 9, {}); }
  Duration pingInterval() const override { return rules_.pingInterval; }
  Duration pingTimeout() const override { return rules_.pingTimeout; }

 private:
  FrameReader& reader(stream::Side s) { return s == stream::Side::client ? client_ : host_; }
  const FrameReader& reader(stream::Side s) const { return s == stream::Side::client ? client_ : host_; }
  std::string frame(stream::Side to, unsigned opcode, std::string_view payload);

  const CodecRules rules_;
  const std::function<std::uint32_t()> draw_;
  FrameReader client_, host_;
  CloseCode fault_ = CloseCode::protocolError;  // close code for the side that violated the protocol
};

// Close code sent to `to` for an ending. `fault`: the code for the side at fault.
CloseCode closeCodeFor(stream::Side to, const stream::Ending& ending, CloseCode fault);

}  // namespace finchstile::websocket
