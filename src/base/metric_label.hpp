// Escapes a label value for the text exposition format of metrics: backslashes, quotes and line feeds.
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
