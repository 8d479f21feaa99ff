// Escapes a label value for the Prometheus exposition format: backslash, double quote and newline.
#pragma once

#include <string>
#include <string_view>

namespace finchstile {

inline std::string metricLabel(std::string_view value) {
  std::string out;
  for (const char c : value) {
    if (c == '\\' || c == '"') out += '\\';
    if (c == '\n') out += "\\n";
    else out += c;
  }
  return out;
}

}  // namespace finchstile
