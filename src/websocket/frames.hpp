// Frames of RFC 6455, section 5, in one direction, as they come: where each ends, and what may not be. Looks
// at bytes and keeps none but the header at hand. No I/O.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "websocket/utf8.hpp"

namespace finchstile::websocket {

// Section 7.4.1, and the registry that it opens.
enum class CloseCode : std::uint16_t {
  normal = 1000,
  goingAway = 1001,
  protocolError = 1002,
  invalidData = 1007,
  tooBig = 1009,
  badGateway = 1014
};

struct FrameRules {
  bool checked = true;   // else only the lengths are followed, whatever they belong to
  bool masked = false;   // what a client sends is, what a server sends is not (5.1)
  bool deflate = false;  // permessage-deflate was agreed on (RFC 7692): the first bit of three may be set
  std::uint64_t frameMost = 1 << 20, messageMost = 16 << 20;  // bytes of payload, as they are sent
};

class FrameReader {
 public:
  explicit FrameReader(const FrameRules& rules) : rules_(rules) {}

  struct Step {
    // Bytes that may go on. Fewer than given: it stopped at a boundary, or what is left is the beginning of a
    // header, or of a control frame, and is to be given again with more behind it.
    std::size_t pass = 0;
    std::optional<CloseCode> fault;  // what comes behind `pass` breaks the rules
    const char* why = "";
  };
  // With `stop` it stops behind the frame that the bytes begin in or with.
  Step feed(const char* bytes, std::size_t n, bool stop);

  bool atBoundary() const { return left_ == 0; }          // what has passed ends with a frame
  bool closed() const { return closed_; }                 // a Close has passed: no more may follow
  std::uint16_t closeCode() const { return closeCode_; }  // of it; 0: it gave none

 private:
  struct Header {
    std::size_t size = 0;  // bytes of it; 0: not all of it is there
    bool fin = false, masked = false;
    unsigned reserved = 0, opcode = 0;
    std::uint64_t length = 0;
    bool shortest = true;  // the length is told in as few bytes as it could be
    std::array<unsigned char, 4> key{};
  };
  static Header readHeader(const char* bytes, std::size_t n);
  // What is wrong with it, null if nothing is: with its first two bytes, and with all of it.
  const char* judgeKind(const Header& h) const;
  const char* judgeLength(const Header& h, CloseCode& code) const;
  const char* judgeClose(const Header& h, const char* payload, CloseCode& code);
  void beginData(const Header& h);
  // Text up to the first byte that is none; true if all is.
  bool lookAtText(const char* bytes, std::size_t n, std::size_t& good);

  const FrameRules rules_;
  std::uint64_t left_ = 0;  // of the payload under way
  std::array<unsigned char, 4> key_{};
  std::size_t keyAt_ = 0;
  bool isMasked_ = false, last_ = false;  // of the frame under way: its key counts; the last of its message
  bool text_ = false;                     // it is text that is looked at
  bool open_ = false;                     // a message has begun, and more of it is to come,
  bool openText_ = false;                 // of text
  std::uint64_t message_ = 0;             // bytes of it
  Utf8 utf8_;
  bool closed_ = false;
  std::uint16_t closeCode_ = 0;
};

// One whole frame without a mask (a server's), or with `key` (a client's).
std::string writeFrame(unsigned opcode, std::string_view payload,
                       std::optional<std::array<unsigned char, 4>> key = {});
std::string closePayload(CloseCode code, std::string_view reason);

// Whether an endpoint may send it in a Close (7.4.2).
bool mayBeSent(std::uint16_t code);

}  // namespace finchstile::websocket
