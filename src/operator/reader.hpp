// Reads a settings table key by key and collects all errors instead of stopping at the first: unknown keys
// with the most similar known key, wrong types, values out of range. Each subsystem reads its own table with
// it.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "finchstile/load_balancer.hpp"
#include "operator/document.hpp"

namespace finchstile {

// Parses "250ms", "1.5s", "20us", "10m", "2h": a number and a unit. Empty for other text and for more than 10
// years.
std::optional<load_balancing::Duration> parseDuration(std::string_view text);
std::string formatDuration(
    load_balancing::Duration d);  // inverse of parseDuration, in the largest unit without a fraction

// Resolves a path relative to `folder`, the directory of the file that names it.
std::string resolvePath(const std::string& folder, const std::string& path);

// The element of `known` with the smallest edit distance to `key` (adjacent swaps count as one edit); empty
// if none is similar.
std::string nearestOf(std::string_view key, const std::vector<std::string>& known);

class SettingReader {
 public:
  // `path` is the table's name in messages; empty for the root table. `table` and `problems` must outlive the
  // reader.
  SettingReader(const SettingNode& table, std::string path, std::vector<SettingProblem>& problems);
  // Adds an error for each key of the table that was never read.
  ~SettingReader();
  SettingReader(const SettingReader&) = delete;
  SettingReader& operator=(const SettingReader&) = delete;

  // Each function returns true if the key is present and valid; otherwise it leaves `out` unchanged.
  bool boolean(const char* key, bool& out);
  bool integer(const char* key, std::int64_t& out, std::int64_t least, std::int64_t most);
  bool size(const char* key, std::size_t& out, std::size_t least, std::size_t most);
  bool number(const char* key, double& out, double least, double most);
  bool duration(const char* key, load_balancing::Duration& out, load_balancing::Duration least,
                load_balancing::Duration most);
  bool text(const char* key, std::string& out, std::size_t longest);  // non-empty
  bool choice(const char* key, std::string& out, const std::vector<std::string>& of);
  bool texts(const char* key, std::vector<std::string>& out, std::size_t most, std::size_t longest);
  bool table(const char* key, const std::function<void(SettingReader&)>& read);
  // An array of tables ([[key]]): calls `read` for each.
  bool tables(const char* key, std::size_t most, const std::function<void(SettingReader&)>& read);

  void require(const char* key, const char* what);  // adds an error if the key is missing
  // Adds an error at the line of `key`, or of the table if the key is missing.
  void error(const char* key, const std::string& what);

 private:
  const SettingNode* find(const char* key);
  int lineOf(const char* key) const;
  std::string name(std::string_view key) const;
  void addTypeError(const char* key, const SettingNode& at, const std::string& expected);

  const SettingNode& node_;
  const SettingNode::Table& table_;
  std::string path_;
  std::vector<SettingProblem>& problems_;
  std::vector<std::string> readKeys_;
};

}  // namespace finchstile
