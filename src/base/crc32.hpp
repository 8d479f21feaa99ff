// CRC-32 of IEEE 802.3 (reflected, 0xedb88320). Detects disk errors and torn writes, not deliberate changes.
#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace finchstile {

namespace detail {
constexpr std::array<std::uint32_t, 256> makeCrcTable() {
  std::array<std::uint32_t, 256> table{};
  for (std::uint32_t i = 0; i < 256; ++i) {
    std::uint32_t c = i;
    for (int k = 0; k < 8; ++k) c = (c >> 1) ^ (0xedb88320U & (0U - (c & 1U)));
    table[i] = c;
  }
  return table;
}
inline constexpr std::array<std::uint32_t, 256> kCrcTable = makeCrcTable();
}  // namespace detail

// `before`: checksum of the preceding bytes.
inline std::uint32_t crc32(std::string_view bytes, std::uint32_t before = 0) {
  std::uint32_t c = ~before;
  for (const char b : bytes) c = detail::kCrcTable[(c ^ static_cast<unsigned char>(b)) & 0xff] ^ (c >> 8);
  return ~c;
}

}  // namespace finchstile
