// A settings document as a tree of values with line numbers, independent of the meaning of the settings.
// Documents are read from TOML (https://toml.io, v1.0); readers of settings only depend on this tree.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace finchstile {

struct SettingNode {
  using Array = std::vector<SettingNode>;
  using Table = std::map<std::string, SettingNode, std::less<>>;
  struct Other {  // TOML types that no setting uses: dates and times
    std::string kind;
  };

  std::variant<Table, Array, std::string, std::int64_t, double, bool, Other> value;
  int line = 0;  // from 1; 0 if unknown

  std::string_view kind() const;  // "a table", "a list", "text", "an integer", ...
};

struct SettingProblem {
  int line = 0;  // 0 if the problem concerns the whole file
  std::string what;
};

// Limits of a document, so that a file of any size needs a bounded amount of memory and stack.
inline constexpr std::size_t kMaxDocumentBytes = std::size_t{1024} * 1024;  // bytes
inline constexpr int kMaxDocumentDepth = 16;                                // nested tables and lists

// Parses a TOML document. On an error it appends to `problems` and returns an empty table. Parsing of TOML
// stops at the first error.
SettingNode parseToml(std::string_view text, std::vector<SettingProblem>& problems);

// Returns "FILE:LINE: WHAT", or "FILE: WHAT" if the line is unknown.
std::string describe(const std::string& file, const SettingProblem& problem);

}  // namespace finchstile
