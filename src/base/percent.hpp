// Percent-encoding (RFC 3986, 2.1) of names with arbitrary bytes.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace finchstile {

// Visible ASCII except the percent sign is unchanged.
inline std::string percentEncoded(std::string_view text) {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string out;
  for (const unsigned char c : text) {
    if (c > ' ' && c < 0x7f && c != '%') out += static_cast<char>(c);
    else out.append({'%', kDigits[c >> 4], kDigits[c & 15]});
  }
  return out;
}

// Empty if a percent sign is not followed by two hex digits. Partial decoding must not succeed: the result
// could be the name of another object.
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
