#include "websocket/frames.hpp"

#include <algorithm>

namespace finchstile::websocket {
namespace {

constexpr unsigned kContinuation = 0, kText = 1, kBinary = 2, kClose = 8, kPing = 9, kPong = 10;
constexpr std::size_t kMaxControlPayload = 125;  // 5.5
constexpr unsigned kRsv1 = 4;                    // RSV1: compressed message (RFC 7692)

bool isControl(unsigned opcode) { return opcode >= 8; }

unsigned char byteAt(const char* bytes, std::size_t i) { return static_cast<unsigned char>(bytes[i]); }

}  // namespace

bool isSendableCloseCode(std::uint16_t code) {
  if (code >= 3000 && code <= 4999) return true;
  return (code >= 1000 && code <= 1003) || (code >= 1007 && code <= 1014);
}

FrameReader::Header FrameReader::readHeader(const char* b, std::size_t n) {
  Header h;
  if (n < 2) return h;
  h.fin = byteAt(b, 0) & 0x80;
  h.reserved = byteAt(b, 0) >> 4 & 7;
  h.opcode = byteAt(b, 0) & 0x0f;
  h.masked = byteAt(b, 1) & 0x80;
  h.length = byteAt(b, 1) & 0x7f;
  std::size_t at = 2;
  const std::size_t more = h.length == 126 ? 2 : h.length == 127 ? 8 : 0;
  if (n < at + more + (h.masked ? 4 : 0)) return h;
  if (more > 0) {
    h.length = 0;
    for (std::size_t i = 0; i < more; ++i) h.length = h.length << 8 | byteAt(b, at + i);
    h.minimalLength = more == 2 ? h.length > 125 : h.length > 0xffff;
    at += more;
  }
  if (h.masked) {
    for (std::size_t i = 0; i < 4; ++i) h.key[i] = byteAt(b, at + i);
    at += 4;
  }
  h.size = at;
  return h;
}

const char* FrameReader::checkOpcodeAndFlags(const Header& h) const {
  if (h.masked != rules_.masked)
    return rules_.masked ? "client frame is not masked" : "server frame is masked";
  const bool control = isControl(h.opcode);
  const bool first = h.opcode == kText || h.opcode == kBinary;
  // RFC 7692, 6: RSV1 is set on the first frame of a message only.
  if (h.reserved != 0 && !(h.reserved == kRsv1 && rules_.deflate && first)) return "reserved bit is set";
  if (!first && h.opcode != kContinuation && h.opcode != kClose && h.opcode != kPing && h.opcode != kPong)
    return "reserved opcode";
  if (control && !h.fin) return "fragmented control frame";
  if (control && h.length > kMaxControlPayload) return "control frame payload exceeds 125 bytes";
  if (h.opcode == kContinuation && !inMessage_) return "continuation frame outside a message";
  if (first && inMessage_) return "new message before the end of a fragmented one";
  return nullptr;
}

const char* FrameReader::checkLength(const Header& h, CloseCode& code) const {
  code = CloseCode::protocolError;
  if (!h.minimalLength) return "payload length is not in its shortest encoding";
  if (h.length >> 63) return "payload length is 2^63 or more";
  if (isControl(h.opcode)) return nullptr;
  code = CloseCode::tooBig;
  if (h.length > rules_.maxFrameBytes) return "frame exceeds the frame limit";
  if (h.length > rules_.maxMessageBytes - (h.opcode == kContinuation ? messageBytes_ : 0))
    return "message exceeds the message limit";
  return nullptr;
}

// 5.5.1 and 7.4. Requires the complete frame.
const char* FrameReader::checkCloseFrame(const Header& h, const char* payload, CloseCode& code) {
  code = CloseCode::protocolError;
  closeCode_ = 0;
  if (h.length == 0) return nullptr;
  if (h.length == 1) return "close payload of one byte";
  const auto plain = [&](std::size_t i) {
    return static_cast<unsigned char>(byteAt(payload, i) ^ (h.masked ? h.key[i & 3] : 0));
  };
  const auto receivedCode = static_cast<std::uint16_t>(plain(0) << 8 | plain(1));
  if (!isSendableCloseCode(receivedCode)) return "close code is not allowed on the wire";
  Utf8 reason;
  code = CloseCode::invalidData;
  for (std::size_t i = 2; i < h.length; ++i)
    if (!reason.accept(plain(i))) return "close reason is not valid UTF-8";
  if (!reason.isComplete()) return "close reason is not valid UTF-8";
  closeCode_ = receivedCode;
  return nullptr;
}

void FrameReader::beginData(const Header& h) {
  if (h.opcode != kContinuation) {
    messageIsText_ =
        h.opcode == kText && h.reserved == 0;  // compressed payload is not UTF-8 before decompression
    messageBytes_ = 0;
    utf8_.restart();
  }
  messageBytes_ += h.length;
  inMessage_ = !h.fin;
  finalFrame_ = h.fin;
  validatesText_ = messageIsText_;
}

bool FrameReader::validateText(const char* bytes, std::size_t n, std::size_t& good) {
  for (good = 0; good < n; ++good) {
    const unsigned char mask = isMasked_ ? key_[(maskOffset_ + good) & 3] : 0;
    if (!utf8_.accept(static_cast<unsigned char>(byteAt(bytes, good) ^ mask))) return false;
  }
  return true;
}

FrameReader::Step FrameReader::feed(const char* bytes, std::size_t n, bool stop) {
  Step s;
  const auto fault = [&s](CloseCode code, const char* why) {
    s.fault = code;
    s.why = why;
    return s;
  };
  while (s.pass < n) {
    const char* const at = bytes + s.pass;
    const std::size_t available = n - s.pass;
    if (payloadLeft_ > 0) {
      const auto part = static_cast<std::size_t>(std::min<std::uint64_t>(payloadLeft_, available));
      std::size_t good = part;
      const bool text = !validatesText_ || validateText(at, part, good);
      s.pass += good;
      payloadLeft_ -= good;
      maskOffset_ += good;
      if (!text || (payloadLeft_ == 0 && validatesText_ && finalFrame_ && !utf8_.isComplete()))
        return fault(CloseCode::invalidData, "text is not valid UTF-8");
      if (payloadLeft_ == 0 && stop) return s;
      continue;
    }
    if (closed_) return s;
    const Header h = readHeader(at, available);
    CloseCode code{};
    if (available < 2) return s;
    if (rules_.checked)
      if (const char* why = checkOpcodeAndFlags(h)) return fault(CloseCode::protocolError, why);
    if (h.size == 0) return s;
    if (rules_.checked)
      if (const char* why = checkLength(h, code)) return fault(code, why);
    const bool control = isControl(h.opcode);
    if (control && h.length <= kMaxControlPayload) {
      const std::size_t frameSize = h.size + static_cast<std::size_t>(h.length);
      if (available < frameSize) return s;  // control frames are forwarded complete only
      if (h.opcode == kClose) {
        if (rules_.checked)
          if (const char* why = checkCloseFrame(h, at + h.size, code)) return fault(code, why);
        closed_ = true;
      }
      s.pass += frameSize;
      if (stop || closed_) return s;
      continue;
    }
    s.pass += h.size;
    payloadLeft_ = h.length;
    isMasked_ = h.masked;
    key_ = h.key;
    maskOffset_ = 0;
    validatesText_ = false;
    if (rules_.checked) {
      beginData(h);
      if (payloadLeft_ == 0 && validatesText_ && finalFrame_ && !utf8_.isComplete())
        return fault(CloseCode::invalidData, "text is not valid UTF-8");
    }
    if (payloadLeft_ == 0 && stop) return s;
  }
  return s;
}

std::string writeFrame(unsigned opcode, std::string_view payload,
                       std::optional<std::array<unsigned char, 4>> key) {
  std::string out;
  out += static_cast<char>(0x80 | opcode);
  const unsigned mask = key ? 0x80 : 0;
  if (payload.size() <= 125) {
    out += static_cast<char>(mask | payload.size());
  } else if (payload.size() <= 0xffff) {
    out += static_cast<char>(mask | 126);
    out += static_cast<char>(payload.size() >> 8);
    out += static_cast<char>(payload.size() & 0xff);
  } else {
    out += static_cast<char>(mask | 127);
    for (int shift = 56; shift >= 0; shift -= 8)
      out += static_cast<char>(static_cast<std::uint64_t>(payload.size()) >> shift & 0xff);
  }
  if (!key) return out.append(payload);
  for (const unsigned char k : *key) out += static_cast<char>(k);
  for (std::size_t i = 0; i < payload.size(); ++i)
    out += static_cast<char>(static_cast<unsigned char>(payload[i]) ^ (*key)[i & 3]);
  return out;
}

std::string closePayload(CloseCode code, std::string_view reason) {
  const auto number = static_cast<std::uint16_t>(code);
  std::string out{static_cast<char>(number >> 8), static_cast<char>(number & 0xff)};
  return out.append(reason.substr(0, kMaxControlPayload - 2));
}

}  // namespace finchstile::websocket
