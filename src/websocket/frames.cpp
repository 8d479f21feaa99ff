#include "websocket/frames.hpp"

#include <algorithm>

namespace finchstile::websocket {
namespace {

constexpr unsigned kContinuation = 0, kText = 1, kBinary = 2, kClose = 8, kPing = 9, kPong = 10;
constexpr std::size_t kControlMost = 125;  // 5.5
constexpr unsigned kDeflated = 4;          // the first of the three reserved bits

bool isControl(unsigned opcode) { return opcode >= 8; }

unsigned char byteAt(const char* bytes, std::size_t i) { return static_cast<unsigned char>(bytes[i]); }

}  // namespace

bool mayBeSent(std::uint16_t code) {
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
    h.shortest = more == 2 ? h.length > 125 : h.length > 0xffff;
    at += more;
  }
  if (h.masked) {
    for (std::size_t i = 0; i < 4; ++i) h.key[i] = byteAt(b, at + i);
    at += 4;
  }
  h.size = at;
  return h;
}

const char* FrameReader::judgeKind(const Header& h) const {
  if (h.masked != rules_.masked)
    return rules_.masked ? "a client's frame without a mask" : "a server's frame with a mask";
  const bool control = isControl(h.opcode);
  const bool first = h.opcode == kText || h.opcode == kBinary;
  // RFC 7692, 6: set on the first frame of a message only.
  if (h.reserved != 0 && !(h.reserved == kDeflated && rules_.deflate && first)) return "a reserved bit";
  if (!first && h.opcode != kContinuation && h.opcode != kClose && h.opcode != kPing && h.opcode != kPong)
    return "an opcode that is none";
  if (control && !h.fin) return "a control frame in fragments";
  if (control && h.length > kControlMost) return "a control frame of more than 125 bytes";
  if (h.opcode == kContinuation && !open_) return "a continuation of nothing";
  if (first && open_) return "a message within another";
  return nullptr;
}

const char* FrameReader::judgeLength(const Header& h, CloseCode& code) const {
  code = CloseCode::protocolError;
  if (!h.shortest) return "a length in more bytes than it needs";
  if (h.length >> 63) return "a length of 2^63 or more";
  if (isControl(h.opcode)) return nullptr;
  code = CloseCode::tooBig;
  if (h.length > rules_.frameMost) return "a frame beyond the limit";
  if (h.length > rules_.messageMost - (h.opcode == kContinuation ? message_ : 0))
    return "a message beyond the limit";
  return nullptr;
}

// 5.5.1 and 7.4. The whole frame is here.
const char* FrameReader::judgeClose(const Header& h, const char* payload, CloseCode& code) {
  code = CloseCode::protocolError;
  closeCode_ = 0;
  if (h.length == 0) return nullptr;
  if (h.length == 1) return "a close code of one byte";
  const auto plain = [&](std::size_t i) {
    return static_cast<unsigned char>(byteAt(payload, i) ^ (h.masked ? h.key[i & 3] : 0));
  };
  const auto told = static_cast<std::uint16_t>(plain(0) << 8 | plain(1));
  if (!mayBeSent(told)) return "a close code that may not be sent";
  Utf8 reason;
  code = CloseCode::invalidData;
  for (std::size_t i = 2; i < h.length; ++i)
    if (!reason.take(plain(i))) return "a reason that is no UTF-8";
  if (!reason.whole()) return "a reason that is no UTF-8";
  closeCode_ = told;
  return nullptr;
}

void FrameReader::beginData(const Header& h) {
  if (h.opcode != kContinuation) {
    openText_ = h.opcode == kText && h.reserved == 0;  // deflated, it is no text yet
    message_ = 0;
    utf8_.restart();
  }
  message_ += h.length;
  open_ = !h.fin;
  last_ = h.fin;
  text_ = openText_;
}

bool FrameReader::lookAtText(const char* bytes, std::size_t n, std::size_t& good) {
  for (good = 0; good < n; ++good) {
    const unsigned char mask = isMasked_ ? key_[(keyAt_ + good) & 3] : 0;
    if (!utf8_.take(static_cast<unsigned char>(byteAt(bytes, good) ^ mask))) return false;
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
    const std::size_t here = n - s.pass;
    if (left_ > 0) {
      const auto part = static_cast<std::size_t>(std::min<std::uint64_t>(left_, here));
      std::size_t good = part;
      const bool text = !text_ || lookAtText(at, part, good);
      s.pass += good;
      left_ -= good;
      keyAt_ += good;
      if (!text || (left_ == 0 && text_ && last_ && !utf8_.whole()))
        return fault(CloseCode::invalidData, "text that is no UTF-8");
      if (left_ == 0 && stop) return s;
      continue;
    }
    if (closed_) return s;
    const Header h = readHeader(at, here);
    CloseCode code{};
    if (here < 2) return s;
    if (rules_.checked)
      if (const char* why = judgeKind(h)) return fault(CloseCode::protocolError, why);
    if (h.size == 0) return s;
    if (rules_.checked)
      if (const char* why = judgeLength(h, code)) return fault(code, why);
    const bool control = isControl(h.opcode);
    if (control && h.length <= kControlMost) {
      const std::size_t whole = h.size + static_cast<std::size_t>(h.length);
      if (here < whole) return s;  // in one piece or not at all
      if (h.opcode == kClose) {
        if (rules_.checked)
          if (const char* why = judgeClose(h, at + h.size, code)) return fault(code, why);
        closed_ = true;
      }
      s.pass += whole;
      if (stop || closed_) return s;
      continue;
    }
    s.pass += h.size;
    left_ = h.length;
    isMasked_ = h.masked;
    key_ = h.key;
    keyAt_ = 0;
    text_ = false;
    if (rules_.checked) {
      beginData(h);
      if (left_ == 0 && text_ && last_ && !utf8_.whole())
        return fault(CloseCode::invalidData, "text that is no UTF-8");
    }
    if (left_ == 0 && stop) return s;
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
  return out.append(reason.substr(0, kControlMost - 2));
}

}  // namespace finchstile::websocket
