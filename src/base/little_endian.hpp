// Little-endian encoding of integers.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace finchstile {

template <class Int>
void putLittleEndian(std::string& to, Int value) {
  for (std::size_t i = 0; i < sizeof(Int); ++i)
    to += static_cast<char>(static_cast<std::uint64_t>(value) >> (8 * i) & 0xff);
}

// `from` must have at least sizeof(Int) bytes.
template <class Int>
Int getLittleEndian(std::string_view from) {
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < sizeof(Int); ++i)
    value |= static_cast<std::uint64_t>(static_cast<unsigned char>(from[i])) << (8 * i);
  return static_cast<Int>(value);
}

}  // namespace finchstile
