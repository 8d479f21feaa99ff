// Reads one table of settings key by key and collects all errors instead of stopping at the first: unknown
// keys with the closest known one, values of the wrong type or out of range. Each subsystem reads its own
// settings with it, so that no file depends on the settings of all.
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

// Parses a number with its unit, such as "250ms", "1.5s", "20us", "10m" or "2h". Returns none for any other
// text and for durations above 10 years.
std::optional<load_balancing::Duration> parseDuration(std::string_view text);
std::string formatDuration(load_balancing::Duration d);  // the shortest form that parseDuration can read

// Resolves a path from a file in `folder`: relative paths are relative to that folder.
std::string resolvePath(const std::string& folder, const std::string& path);

// Returns the entry of `known` with the smallest edit distance to `key`, counting a swap of neighbouring
// characters as one edit; empty if none is close enough.
std::string nearestOf(std::string_view key, const std::vector<std::string>& known);

class SettingReader {
 public:
  // `path` is the name of the table in messages; empty for the document itself. Both references must outlive
  // the reader.
  SettingReader(const SettingNode& table, std::string path, std::vector<SettingProblem>& problems);
  // Reports every key of the table that was not read.
  ~SettingReader();
  SettingReader(const SettingReader&) = delete;
  SettingReader& operator=(const SettingReader&) = delete;

  // Each of these reads a value and returns true if the key exists and its value is valid. Otherwise `out` is
  // not changed, and an invalid value is reported.
  bool boolean(const char* key, bool& out);
  bool integer(const char* key, std::int64_t& out, std::int64_t minimum, std::int64_t maximum);
  bool size(const char* key, std::size_t& out, std::size_t minimum, std::size_t maximum);
  bool number(const char* key, double& out, double minimum, double maximum);
  bool duration(const char* key, load_balancing::Duration& out, load_balancing::Duration minimum,
                load_balancing::Duration maximum);
  bool text(const char* key, std::string& out, std::size_t maxBytes);  // at least 1 byte
  bool choice(const char* key, std::string& out, const std::vector<std::string>& of);
  bool texts(const char* key, std::vector<std::string>& out, std::size_t maxItems, std::size_t maxBytes);
  bool table(const char* key, const std::function<void(SettingReader&)>& read);
  // Reads a list of tables ([[key]]) and calls `read` for each.
  bool tables(const char* key, std::size_t maxItems, const std::function<void(SettingReader&)>& read);

  void require(const char* key, const char* what);  // reports an error if the key is missing
  // Reports an error at `key`, or at the table if the key is missing.
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
  std::vector<std::string> known_;
};

}  // namespace finchstile
