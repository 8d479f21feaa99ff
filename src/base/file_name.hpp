// Conversion of names with arbitrary bytes to file name components.
#pragma once

#include <algorithm>
#include <string>

namespace finchstile {

inline std::string fileNameOf(std::string name) {
  std::replace(name.begin(), name.end(), '/', '_');
  return name;
}

}  // namespace finchstile
