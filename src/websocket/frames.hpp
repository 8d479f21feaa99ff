// Incremental reader of WebSocket frames (RFC 6455, section 5) of one direction: finds frame boundaries and
// protocol violations. Buffers no payload; only the state of the frame being read is kept. No I/O.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "websocket/utf8.hpp"

namespace finchstile::websocket {

// Close codes of section 7.4.1 and its IANA registry.
enum class CloseCode : std::uint16_t {
  normal = 1000,
  goingAway = 1001,
  protocolError = 1002,
  invalidData = 1007,
  tooBig = 1009,
  badGateway = 1014
};

struct FrameRules {
  bool checked = true;   // false: only frame lengths are followed, with no validation
  bool masked = false;   // frames of a client are masked, frames of a server are not (5.1)
  bool deflate = false;  // permessage-deflate was negotiated (RFC 7692): RSV1 may be set
  std::uint64_t maxFrameBytes = 1 << 20, maxMessageBytes = 16 << 20;  // payload bytes as transmitted
};

class FrameReader {
 public:
  explicit FrameReader(const FrameRules& rules) : rules_(rules) {}

  struct Step {
    // Bytes to forward. If fewer than given, the reader stopped at a frame boundary, or the rest is an
    // incomplete header or control frame and must be passed in again with more bytes appended.
    std::size_t pass = 0;
    std::optional<CloseCode> fault;  // the bytes after `pass` violate the protocol
    const char* why = "";
  };
  // Reads the next bytes. With `stop` it stops after the frame in progress, or after the first one if none
  // is.
  Step feed(const char* bytes, std::size_t n, bool stop);

  bool atBoundary() const { return payloadLeft_ == 0; }   // the bytes forwarded end with a complete frame
  bool closed() const { return closed_; }                 // a Close frame was forwarded; no frames may follow
  std::uint16_t closeCode() const { return closeCode_; }  // code of the Close frame; 0: it had none

 private:
  struct Header {
    std::size_t size = 0;  // bytes of the header; 0: incomplete
    bool fin = false, masked = false;
    unsigned reserved = 0, opcode = 0;
    std::uint64_t length = 0;
    bool minimalLength = true;  // the length uses the shortest encoding
    std::array<unsigned char, 4> key{};
  };
  static Header readHeader(const char* bytes, std::size_t n);
  // Error text, or null if valid: checkOpcodeAndFlags needs the first two bytes of the header, checkLength
  // all of it.
  const char* checkOpcodeAndFlags(const Header& h) const;
  const char* checkLength(const Header& h, CloseCode& code) const;
  const char* checkCloseFrame(const Header& h, const char* payload, CloseCode& code);
  void beginData(const Header& h);
  // Validates UTF-8 of the payload; `good` is the number of bytes before the first invalid one. True if all
  // are valid.
  bool validateText(const char* bytes, std::size_t n, std::size_t& good);

  const FrameRules rules_;
  std::uint64_t payloadLeft_ = 0;  // payload bytes of the current frame not yet read
  std::array<unsigned char, 4> key_{};
  std::size_t maskOffset_ = 0;
  bool isMasked_ = false,
       finalFrame_ = false;  // whether the current frame is masked, and whether it is the last of its message
  bool validatesText_ = false;      // the current payload is validated as UTF-8
  bool inMessage_ = false;          // a fragmented message is in progress
  bool messageIsText_ = false;      // its payload is text that can be validated
  std::uint64_t messageBytes_ = 0;  // payload bytes of the message so far
  Utf8 utf8_;
  bool closed_ = false;
  std::uint16_t closeCode_ = 0;
};

// Serializes an unfragmented frame, unmasked (server) or masked with `key` (client).
std::string writeFrame(unsigned opcode, std::string_view payload,
                       std::optional<std::array<unsigned char, 4>> key = {});
std::string closePayload(CloseCode code, std::string_view reason);

// Whether an endpoint may send this code in a Close frame (7.4.2).
bool isSendableCloseCode(std::uint16_t code);

}  // namespace finchstile::websocket
