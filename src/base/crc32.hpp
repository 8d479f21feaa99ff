// CRC-32 of IEEE 802.3 (reflected polynomial 0xedb88320). Detects accidental corruption such as disk errors
// and torn writes, not deliberate changes.
#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace finchstile {

namespace detail {
constexpr std::array<std::uint32_t, 256> makeCrcTable() {
  std::array<std::uint32_t, 256> table{};
  for (std::uint32_t i = 0; i < 256; ++i) {
    std::uint32_t crc = i;
    for (int k = 0; k < 8; ++k) crc = (crc >> 1) ^ (0xedb88320U & (0U - (crc & 1U)));
    table[i] = crc;
  }
  return table;
}
inline constexpr std::array<std::uint32_t, 256> kCrcTable = makeCrcTable();
}  // namespace detail

// Returns the checksum of the bytes. `previousCrc` is the checksum of the bytes before them, if any.
inline std::uint32_t crc32(std::string_view bytes, std::uint32_t previousCrc = 0) {
  std::uint32_t crc = ~previousCrc;
  for (const char b : bytes)
    crc = detail::kCrcTable[(crc ^ static_cast<unsigned char>(b)) & 0xff] ^ (crc >> 8);
  return ~crc;
}

}  // namespace finchstile
