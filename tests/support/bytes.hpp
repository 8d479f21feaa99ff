// Converts hexadecimal digits to bytes, for test vectors of external formats.
#pragma once

#include <stdexcept>
#include <string>
#include <string_view>

namespace finchstile::testing {

// Decodes `hex`, two digits per byte. Throws std::invalid_argument if the number of digits is odd or a pair
// does not begin with a hexadecimal digit.
inline std::string fromHex(std::string_view hex) {
  if (hex.size() % 2 != 0) throw std::invalid_argument("odd number of hexadecimal digits");
  std::string bytes;
  for (std::size_t i = 0; i < hex.size(); i += 2)
    bytes += static_cast<char>(std::stoi(std::string(hex.substr(i, 2)), nullptr, 16));
  return bytes;
}

}  // namespace finchstile::testing
