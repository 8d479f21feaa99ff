// Reads one table of settings key by key, and collects every error instead of stopping at the first: unknown
// keys with the nearest known one, wrong types, values out of bounds. A subsystem reads its own part with it,
// so that no file has to know the settings of all.
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

// "250ms", "1.5s", "20us", "10m", "2h": a number and its unit. None for anything else, or beyond 10 years.
std::optional<load_balancing::Duration> parseDuration(std::string_view text);
std::string formatDuration(load_balancing::Duration d);  // the shortest form that parseDuration reads back

// A path that a file names, from that file's folder on.
std::string resolvePath(const std::string& folder, const std::string& path);

// The one of `known` that is nearest to `key` by single-letter edits, swaps of neighbours counted as one;
// empty if none is near enough to be meant.
std::string nearestOf(std::string_view key, const std::vector<std::string>& known);

class SettingReader {
 public:
  // `path` is the table's name in messages; empty for the document itself. Both references must outlive it.
  SettingReader(const SettingNode& table, std::string path, std::vector<SettingProblem>& problems);
  // Tells of every key that nobody has asked for.
  ~SettingReader();
  SettingReader(const SettingReader&) = delete;
  SettingReader& operator=(const SettingReader&) = delete;

  // Each leaves `out` as it is where the key is missing or wrong, and is true if it was there and good.
  bool boolean(const char* key, bool& out);
  bool integer(const char* key, std::int64_t& out, std::int64_t least, std::int64_t most);
  bool size(const char* key, std::size_t& out, std::size_t least, std::size_t most);
  bool number(const char* key, double& out, double least, double most);
  bool duration(const char* key, load_balancing::Duration& out, load_balancing::Duration least,
                load_balancing::Duration most);
  bool text(const char* key, std::string& out, std::size_t longest);  // of 1 byte at least
  bool choice(const char* key, std::string& out, const std::vector<std::string>& of);
  bool texts(const char* key, std::vector<std::string>& out, std::size_t most, std::size_t longest);
  bool table(const char* key, const std::function<void(SettingReader&)>& read);
  // A list of tables ([[key]]): calls `read` for each.
  bool tables(const char* key, std::size_t most, const std::function<void(SettingReader&)>& read);

  void require(const char* key, const char* what);  // an error if the key is missing
  // An error of the reader's own at `key`, or at the table where that is missing.
  void error(const char* key, const std::string& what);

 private:
  const SettingNode* find(const char* key);
  int lineOf(const char* key) const;
  std::string name(std::string_view key) const;
  void wrong(const char* key, const SettingNode& at, const std::string& wanted);

  const SettingNode& node_;
  const SettingNode::Table& table_;
  std::string path_;
  std::vector<SettingProblem>& problems_;
  std::vector<std::string> known_;
};

}  // namespace finchstile
