// Names that may hold any byte, as part of a file's name.
#pragma once

#include <algorithm>
#include <string>

namespace finchstile {

inline std::string fileNameOf(std::string name) {
  std::replace(name.begin(), name.end(), '/', '_');
  return name;
}

}  // namespace finchstile
