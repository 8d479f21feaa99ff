// A settings document as a plain tree with line numbers, independent of the meaning of the settings. Parsed
// from TOML (https://toml.io, v1.0); readers of settings depend on this tree only.
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
  int line = 0;  // 1-based; 0: unknown

  std::string_view kind() const;  // "a table", "a list", "text", "an integer", ...
};

struct SettingProblem {
  int line = 0;  // 0: concerns the whole file
  std::string what;
};

// Limits that bound the memory and stack used for a document of any size.
inline constexpr std::size_t kMaxDocumentBytes = std::size_t{1024} * 1024;  // bytes
inline constexpr int kMaxDocumentDepth = 16;                                // nesting of tables and lists

// On an error, adds it to `problems` and returns an empty table. A TOML parser stops at the first syntax
// error, so at most one is added for syntax.
SettingNode parseToml(std::string_view text, std::vector<SettingProblem>& problems);

// Formats as "FILE:LINE: WHAT", or "FILE: WHAT" without a line.
std::string describe(const std::string& file, const SettingProblem& problem);

}  // namespace finchstile
