// A header line of an HTTP message: name and value.
#pragma once

#include <string>

namespace finchstile {

struct HeaderLine {
  std::string name, value;
};

}  // namespace finchstile
