// Conformance cases of RFC 6455 by section: the bytes a side sends, and the expected verdict of the frame
// reader. Shared by the test and the table in docs/.
#pragma once

#include <array>
#include <optional>
#include <string>
#include <vector>

#include "websocket/frames.hpp"

namespace finchstile::websocket::testing {

inline constexpr std::array<unsigned char, 4> kKey{0x37, 0xfa, 0x21, 0x3d};

struct Case {
  std::string section, what;
  bool client = false;  // sent by the client, masked; otherwise by the host
  std::string bytes;
  std::optional<CloseCode> fault{};  // empty: all bytes are valid
  bool deflate = false;
  bool ends = false;  // contains a valid Close frame
};

// A frame with arbitrary header bits, valid or not.
struct Frame {
  unsigned opcode = 1;
  std::string payload;
  bool fin = true;
  unsigned reserved = 0;
  std::optional<bool> masked{};                 // default: masked if sent by the client
  int lengthBytes = -1;                         // size of the extended length: 0, 2 or 8; -1: shortest
  std::optional<std::uint64_t> statedLength{};  // length in the header; default: size of the payload
};

inline std::string bytesOf(bool client, const Frame& f) {
  std::string out;
  out += static_cast<char>((f.fin ? 0x80 : 0) | f.reserved << 4 | f.opcode);
  const bool masked = f.masked.value_or(client);
  const std::uint64_t length = f.statedLength.value_or(f.payload.size());
  const int more = f.lengthBytes >= 0 ? f.lengthBytes : length <= 125 ? 0 : length <= 0xffff ? 2 : 8;
  out += static_cast<char>((masked ? 0x80 : 0) | (more == 0 ? length : more == 2 ? 126 : 127));
  for (int i = more - 1; i >= 0; --i) out += static_cast<char>(length >> (8 * i) & 0xff);
  if (masked)
    for (const unsigned char k : kKey) out += static_cast<char>(k);
  for (std::size_t i = 0; i < f.payload.size(); ++i)
    out += static_cast<char>(masked ? static_cast<unsigned char>(f.payload[i]) ^ kKey[i & 3]
                                    : static_cast<unsigned char>(f.payload[i]));
  return out;
}

inline std::string code(unsigned number, const std::string& reason = "") {
  return std::string{static_cast<char>(number >> 8), static_cast<char>(number & 0xff)} + reason;
}

inline std::vector<Case> conformance() {
  constexpr auto kProtocol = CloseCode::protocolError;
  constexpr auto kInvalid = CloseCode::invalidData;
  constexpr auto kTooBig = CloseCode::tooBig;
  std::vector<Case> all;
  for (const bool client : {true, false}) {
    const auto add = [&](const char* section, const std::string& what, const std::vector<Frame>& frames,
                         std::optional<CloseCode> fault = {}, bool deflate = false, bool ends = false) {
      std::string bytes;
      for (const Frame& f : frames) bytes += bytesOf(client, f);
      all.push_back({section, what, client, bytes, fault, deflate, ends});
    };
    const std::string medium(200, 'm'), large(70'000, 'l');

    add("5.1", client ? "a frame without a mask" : "a frame with a mask", {{1, "hi", true, 0, !client}},
        kProtocol);
    add("5.1", client ? "a ping without a mask" : "a ping with a mask", {{9, "", true, 0, !client}},
        kProtocol);

    for (unsigned bit = 0; bit < 3; ++bit) {
      const std::string name = "RSV" + std::to_string(bit + 1);
      add("5.2", name + " on text, nothing agreed on", {{1, "hi", true, 4u >> bit}}, kProtocol);
      add("5.2", name + " on a ping", {{9, "", true, 4u >> bit}}, kProtocol);
      if (bit > 0)
        add("5.2", name + " with permessage-deflate", {{1, "hi", true, 4u >> bit}}, kProtocol, true);
    }
    for (const unsigned opcode : {3u, 4u, 5u, 6u, 7u, 11u, 12u, 13u, 14u, 15u})
      add("5.2", "opcode " + std::to_string(opcode) + ", reserved", {{opcode, "x"}}, kProtocol);
    for (const std::size_t n : {0u, 1u, 125u, 126u, 127u, 65535u, 65536u})
      add("5.2", "a payload of " + std::to_string(n) + " bytes", {{2, std::string(n, 'p')}});
    add("5.2", "a length of 125 in two bytes", {{2, std::string(125, 'p'), true, 0, {}, 2}}, kProtocol);
    add("5.2", "a length of 5 in two bytes", {{1, "hello", true, 0, {}, 2}}, kProtocol);
    add("5.2", "a length of 65535 in eight bytes", {{2, std::string(65535, 'p'), true, 0, {}, 8}}, kProtocol);
    add("5.2", "a length of 0 in eight bytes", {{2, "", true, 0, {}, 8}}, kProtocol);
    add("5.2", "a length of 2^63", {{2, "", true, 0, {}, 8, std::uint64_t{1} << 63}}, kProtocol);
    add("5.2", "a length of 2^64 - 1", {{2, "", true, 0, {}, 8, ~std::uint64_t{0}}}, kProtocol);
    add("5.2", "a length of 2^63 - 1", {{2, "", true, 0, {}, 8, (std::uint64_t{1} << 63) - 1}}, kTooBig);
    add("10.4", "a frame one byte beyond the limit", {{2, "", true, 0, {}, -1, (1u << 20) + 1}}, kTooBig);
    add(
        "10.4", "fragments that are a message beyond the limit",
        [&] {
          std::vector<Frame> f{{2, std::string(1 << 20, 'f'), false}};
          for (int i = 0; i < 3; ++i) f.push_back({0, std::string(1 << 20, 'f'), false});
          f.push_back({0, "x"});
          return f;
        }(),
        kTooBig);

    add("5.4", "text in two fragments", {{1, "he", false}, {0, "llo"}});
    add("5.4", "text in three fragments", {{1, "he", false}, {0, "l", false}, {0, "lo"}});
    add("5.4", "fragments of no bytes", {{1, "", false}, {0, "", false}, {0, ""}});
    add("5.4", "binary in fragments", {{2, "he", false}, {0, "llo"}});
    add("5.4", "a ping between fragments", {{1, "he", false}, {9, "p"}, {0, "llo"}});
    add("5.4", "a pong between fragments", {{1, "he", false}, {10, "p"}, {0, "llo"}});
    add("5.4", "a close between fragments", {{1, "he", false}, {8, code(1000)}}, {}, false, true);
    add("5.4", "ten pings between fragments",
        {{1, "he", false},
         {9, ""},
         {9, ""},
         {9, ""},
         {9, ""},
         {9, ""},
         {9, ""},
         {9, ""},
         {9, ""},
         {9, ""},
         {9, ""},
         {0, "llo"}});
    add("5.4", "a continuation of nothing", {{0, "x"}}, kProtocol);
    add("5.4", "a continuation of nothing, not the last", {{0, "x", false}}, kProtocol);
    add("5.4", "a continuation behind a whole message", {{1, "x"}, {0, "y"}}, kProtocol);
    add("5.4", "text within a message", {{1, "he", false}, {1, "llo"}}, kProtocol);
    add("5.4", "binary within text", {{1, "he", false}, {2, "llo"}}, kProtocol);
    add("5.4", "text within a message, not the last", {{1, "he", false}, {1, "llo", false}}, kProtocol);
    add("5.4", "two messages one after the other", {{1, "one"}, {2, "two"}, {1, "three"}});

    for (const unsigned opcode : {8u, 9u, 10u}) {
      const std::string name = opcode == 8 ? "a close" : opcode == 9 ? "a ping" : "a pong";
      add("5.5", name + " in fragments", {{opcode, "", false}}, kProtocol);
      add("5.5", name + " of 126 bytes",
          {{opcode, opcode == 8 ? code(1000, std::string(124, 'r')) : std::string(126, 'r')}}, kProtocol);
      add("5.5", name + " of 125 bytes",
          {{opcode, opcode == 8 ? code(1000, std::string(123, 'r')) : std::string(125, 'r')}}, {}, false,
          opcode == 8);
      add("5.5", name + " of no bytes", {{opcode, ""}}, {}, false, opcode == 8);
    }
    add("5.5.2", "a ping with bytes that are no UTF-8", {{9, "\xff\xfe"}});
    add("5.5.3", "a pong that nobody asked for", {{10, "unasked"}});

    add("5.5.1", "a close of one byte", {{8, "x"}}, kProtocol);
    add("5.5.1", "a close with code and reason", {{8, code(1000, "bye")}}, {}, false, true);
    add("5.5.1", "a reason that is no UTF-8", {{8, code(1000, "\xce\xba\xe1\xbd")}}, kInvalid);
    add("5.5.1", "a reason cut within a character", {{8, code(1000, "\xe2\x82")}}, kInvalid);
    add("5.5.1", "a reason in UTF-8", {{8, code(1000, "\xe2\x82\xac")}}, {}, false, true);
    for (const unsigned n : {1000u, 1001u, 1002u, 1003u, 1007u, 1008u, 1009u, 1010u, 1011u, 1012u, 1013u,
                             1014u, 3000u, 3999u, 4000u, 4999u})
      add("7.4", "close code " + std::to_string(n), {{8, code(n)}}, {}, false, true);
    for (const unsigned n :
         {0u, 1u, 999u, 1004u, 1005u, 1006u, 1015u, 1016u, 1100u, 2000u, 2999u, 5000u, 65535u})
      add("7.4", "close code " + std::to_string(n), {{8, code(n)}}, kProtocol);

    const std::pair<const char*, std::string> texts[] = {
        {"ASCII", "Hello"},
        {"two bytes, the least", "\xc2\x80"},
        {"two bytes, the most", "\xdf\xbf"},
        {"three bytes, the least", "\xe0\xa0\x80"},
        {"below the surrogates", "\xed\x9f\xbf"},
        {"above the surrogates", "\xee\x80\x80"},
        {"three bytes, the most", "\xef\xbf\xbf"},
        {"four bytes, the least", "\xf0\x90\x80\x80"},
        {"U+10FFFF", "\xf4\x8f\xbf\xbf"},
        {"a byte of zero", std::string("a\0b", 3)},
        {"Greek", "\xce\xba\xe1\xbd\xb9\xcf\x83\xce\xbc\xce\xb5"}};
    for (const auto& [name, bytes] : texts) add("8.1", std::string("text: ") + name, {{1, bytes}});
    const std::pair<const char*, std::string> wrong[] = {{"a byte that only goes on", "a\x80"},
                                                         {"C0 80, overlong", "\xc0\x80"},
                                                         {"C1 BF, overlong", "\xc1\xbf"},
                                                         {"E0 80 80, overlong", "\xe0\x80\x80"},
                                                         {"E0 9F BF, overlong", "\xe0\x9f\xbf"},
                                                         {"F0 80 80 80, overlong", "\xf0\x80\x80\x80"},
                                                         {"F0 8F BF BF, overlong", "\xf0\x8f\xbf\xbf"},
                                                         {"a surrogate, the first", "\xed\xa0\x80"},
                                                         {"a surrogate, the last", "\xed\xbf\xbf"},
                                                         {"beyond U+10FFFF", "\xf4\x90\x80\x80"},
                                                         {"F5", "\xf5\x80\x80\x80"},
                                                         {"FE", "\xfe"},
                                                         {"FF", "\xff"},
                                                         {"two bytes, the second none", "\xc2 "},
                                                         {"three bytes, the third none", "\xe2\x82 "},
                                                         {"four bytes, the fourth none", "\xf0\x9f\x98 "},
                                                         {"cut within two bytes", "\xc2"},
                                                         {"cut within three bytes", "\xe2\x82"},
                                                         {"cut within four bytes", "\xf0\x9f\x98"}};
    for (const auto& [name, bytes] : wrong)
      add("8.1", std::string("no text: ") + name, {{1, bytes}}, kInvalid);
    add("8.1", "a character over two fragments", {{1, "\xe2\x82", false}, {0, "\xac"}});
    add("8.1", "a character over three fragments with a ping",
        {{1, "\xf0", false}, {9, "\xff"}, {0, "\x9f", false}, {0, "\x98\x80"}});
    add("8.1", "no text in the second fragment", {{1, "\xe2\x82", false}, {0, "x"}}, kInvalid);
    add("8.1", "fragments that end within a character", {{1, "a", false}, {0, "\xe2\x82"}}, kInvalid);
    add("8.1", "binary of any bytes", {{2, "\xff\xfe\xc0"}});
    add("8.1", "a new text behind one that ended well", {{1, "\xe2\x82\xac"}, {1, "a"}});

    add("RFC 7692, 6", "deflated text", {{1, "\xff\xfe", true, 4}}, {}, true);
    add("RFC 7692, 6", "deflated text in fragments", {{1, "\xff", false, 4}, {0, "\xfe"}}, {}, true);
    add("RFC 7692, 6", "the bit on a continuation", {{1, "\xff", false, 4}, {0, "\xfe", true, 4}}, kProtocol,
        true);
    add("RFC 7692, 6", "the bit on a control frame", {{9, "", true, 4}}, kProtocol, true);
    add("RFC 7692, 6", "text that is not deflated", {{1, "\xff"}}, kInvalid, true);
    add("RFC 7692, 6", "plain text behind a deflated one", {{1, "\xff", true, 4}, {1, "a"}, {1, "\xff"}},
        kInvalid, true);

    add("5.5.1", "a close, and whatever follows", {{8, code(1000)}, {1, "late"}}, {}, false, true);
    add("5.3", "a long message", {{1, large}, {1, medium}});
  }
  return all;
}

}  // namespace finchstile::websocket::testing
