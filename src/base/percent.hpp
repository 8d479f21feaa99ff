// Percent-encoding (RFC 3986, 2.1) of names of arbitrary bytes.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace finchstile {

// Encodes all bytes except visible ASCII characters other than the percent sign.
inline std::string percentEncoded(std::string_view text) {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string out;
  for (const unsigned char c : text) {
    if (c > ' ' && c < 0x7f && c != '%') out += static_cast<char>(c);
    else out.append({'%', kDigits[c >> 4], kDigits[c & 15]});
  }
  return out;
}

// Returns none if a percent sign is not followed by two hexadecimal digits. A name must be decoded exactly
// once and completely: decoded twice or in part, it would be a different name.
inline std::optional<std::string> percentDecoded(std::string_view text) {
  const auto digit = [](char c) {
    if (c >= '0' && c <= '9') return c - '0';
    if (c >= 'a' && c <= 'f') return c - 'a' + 10;
    if (c >= 'A' && c <= 'F') return c - 'A' + 10;
    return -1;
  };
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      out += text[i];
      continue;
    }
    const int high = i + 2 < text.size() ? digit(text[i + 1]) : -1;
    const int low = high >= 0 ? digit(text[i + 2]) : -1;
    if (low < 0) return std::nullopt;
    out += static_cast<char>(high * 16 + low);
    i += 2;
  }
  return out;
}

}  // namespace finchstile
