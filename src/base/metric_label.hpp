// The value of a label in the exposition format of scrapers: a backslash, a quote and a line's end are
// escaped.
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
