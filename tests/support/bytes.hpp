// Literal bytes of an outside format, written as hexadecimal digits.
#pragma once

#include <stdexcept>
#include <string>
#include <string_view>

namespace finchstile::testing {

// Returns the bytes that `hex` spells, two digits a byte. Throws std::invalid_argument for anything else.
inline std::string fromHex(std::string_view hex) {
  if (hex.size() % 2 != 0) throw std::invalid_argument("odd number of hexadecimal digits");
  std::string bytes;
  for (std::size_t i = 0; i < hex.size(); i += 2)
    bytes += static_cast<char>(std::stoi(std::string(hex.substr(i, 2)), nullptr, 16));
  return bytes;
}

}  // namespace finchstile::testing
