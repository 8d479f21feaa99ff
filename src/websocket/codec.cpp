#include "websocket/codec.hpp"

namespace finchstile::websocket {

using stream::EndedBy;
using stream::Ending;
using stream::EndReason;
using stream::Side;

namespace {

FrameRules rulesOf(const CodecRules& r, bool masked) {
  return {r.checked, masked, r.deflate, r.maxFrameBytes, r.maxMessageBytes};
}

}  // namespace

WebSocketCodec::WebSocketCodec(const CodecRules& rules, std::function<std::uint32_t()> draw)
    : rules_(rules), draw_(std::move(draw)), client_(rulesOf(rules, true)), host_(rulesOf(rules, false)) {}

stream::Codec::DecodeResult WebSocketCodec::decode(Side from, const char* bytes, std::size_t n, bool stop) {
  const FrameReader::Step s = reader(from).feed(bytes, n, stop);
  DecodeResult out{s.pass, {}};
  if (s.fault) {
    fault_ = *s.fault;
    out.fault = *s.fault == CloseCode::tooBig ? EndReason::tooBig : EndReason::protocol;
  }
  return out;
}

CloseCode closeCodeFor(Side to, const Ending& e, CloseCode fault) {
  if (e.who == EndedBy::gateway) return CloseCode::goingAway;
  const Side culprit = e.who == EndedBy::client ? Side::client : Side::host;
  if (to == culprit && (e.why == EndReason::protocol || e.why == EndReason::tooBig)) return fault;
  // The host receives "going away" for a lost client; the client receives "bad gateway" for a failed host.
  return to == Side::host ? CloseCode::goingAway : CloseCode::badGateway;
}

std::string WebSocketCodec::closeMessage(Side to, const Ending& e) {
  return frame(to, 8, closePayload(closeCodeFor(to, e, fault_), stream::nameOf(e.why)));
}

// Frames to the host are client frames and therefore masked (5.1).
std::string WebSocketCodec::frame(Side to, unsigned opcode, std::string_view payload) {
  if (to == Side::client) return writeFrame(opcode, payload);
  const std::uint32_t key = draw_();
  return writeFrame(opcode, payload,
                    std::array<unsigned char, 4>{
                        static_cast<unsigned char>(key >> 24), static_cast<unsigned char>(key >> 16),
                        static_cast<unsigned char>(key >> 8), static_cast<unsigned char>(key)});
}

}  // namespace finchstile::websocket
