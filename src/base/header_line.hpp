// Name and value of an HTTP header field.
#pragma once

#include <string>

namespace finchstile {

struct HeaderLine {
  std::string name, value;
};

}  // namespace finchstile
