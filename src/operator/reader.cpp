#include "operator/reader.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdio>

namespace finchstile {
namespace {

using load_balancing::Duration;

const SettingNode::Table kNoTable;

struct Unit {
  std::string_view name;
  std::int64_t nanoseconds;
};
constexpr Unit kUnits[] = {{"ns", 1},
                           {"us", 1'000},
                           {"ms", 1'000'000},
                           {"s", 1'000'000'000},
                           {"m", 60'000'000'000},
                           {"h", 3'600'000'000'000}};
constexpr double kDurationMost = 10.0 * 365 * 24 * 3600 * 1e9;

template <class T>
std::string range(T least, T most) {
  return "from " + std::to_string(least) + " to " + std::to_string(most);
}

std::string formatNumber(double d) {
  char text[32];
  std::snprintf(text, sizeof text, "%g", d);
  return text;
}

// Optimal string alignment distance (Levenshtein with adjacent swaps); key lengths are bounded by the caller.
std::size_t editDistance(std::string_view a, std::string_view b) {
  std::vector<std::vector<std::size_t>> d(a.size() + 1, std::vector<std::size_t>(b.size() + 1));
  for (std::size_t i = 0; i <= a.size(); ++i) d[i][0] = i;
  for (std::size_t j = 0; j <= b.size(); ++j) d[0][j] = j;
  for (std::size_t i = 1; i <= a.size(); ++i)
    for (std::size_t j = 1; j <= b.size(); ++j) {
      d[i][j] = std::min({d[i - 1][j] + 1, d[i][j - 1] + 1, d[i - 1][j - 1] + (a[i - 1] != b[j - 1])});
      if (i > 1 && j > 1 && a[i - 1] == b[j - 2] && a[i - 2] == b[j - 1])
        d[i][j] = std::min(d[i][j], d[i - 2][j - 2] + 1);
    }
  return d[a.size()][b.size()];
}

}  // namespace

std::optional<Duration> parseDuration(std::string_view text) {
  double number = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), number, std::chars_format::fixed);
  if (error != std::errc{} || !std::isfinite(number) || number < 0) return std::nullopt;
  const std::string_view unit = text.substr(static_cast<std::size_t>(end - text.data()));
  for (const Unit& u : kUnits) {
    if (u.name != unit) continue;
    const double ns = number * static_cast<double>(u.nanoseconds);
    if (ns > kDurationMost) return std::nullopt;
    return Duration(std::llround(ns));
  }
  return std::nullopt;
}

std::string formatDuration(Duration d) {
  const std::int64_t ns = d.count();
  const Unit* best = &kUnits[0];
  for (const Unit& u : kUnits)
    if (ns != 0 && ns % u.nanoseconds == 0) best = &u;
  if (ns == 0) best = &kUnits[3];
  return std::to_string(ns / best->nanoseconds) + std::string(best->name);
}

std::string resolvePath(const std::string& folder, const std::string& path) {
  return path.empty() || path.front() == '/' || folder.empty() ? path : folder + "/" + path;
}

std::string nearestOf(std::string_view key, const std::vector<std::string>& known) {
  constexpr std::size_t kLongest = 64;
  if (key.size() > kLongest) return {};
  std::string_view best;
  // A short key is within a few edits of almost any other, so it needs a closer match.
  std::size_t least = (key.size() <= 2   ? 0
                       : key.size() <= 4 ? 1
                                         : std::max<std::size_t>(2, key.size() / 3)) +
                      1;
  for (const std::string& k : known) {
    if (k.size() > kLongest) continue;
    if (const std::size_t d = editDistance(key, k); d < least) least = d, best = k;
  }
  return std::string(best);
}

SettingReader::SettingReader(const SettingNode& table, std::string path,
                             std::vector<SettingProblem>& problems)
    : node_(table),
      table_(std::holds_alternative<SettingNode::Table>(table.value)
                 ? std::get<SettingNode::Table>(table.value)
                 : kNoTable),
      path_(std::move(path)),
      problems_(problems) {}

SettingReader::~SettingReader() {
  for (const auto& [key, value] : table_) {
    if (std::find(readKeys_.begin(), readKeys_.end(), key) != readKeys_.end()) continue;
    std::string what = "unknown key " + name(key);
    if (const auto near = nearestOf(key, readKeys_); !near.empty()) {
      what += "; did you mean " + name(near) + "?";
    } else {
      what += "; known here:";
      for (const std::string& k : readKeys_) what += " " + k;
    }
    problems_.push_back({value.line, std::move(what)});
  }
}

std::string SettingReader::name(std::string_view key) const {
  return path_.empty() ? std::string(key) : path_ + "." + std::string(key);
}

int SettingReader::lineOf(const char* key) const {
  const auto it = table_.find(std::string_view(key));
  return it == table_.end() ? node_.line : it->second.line;
}

const SettingNode* SettingReader::find(const char* key) {
  if (std::find(readKeys_.begin(), readKeys_.end(), key) == readKeys_.end()) readKeys_.emplace_back(key);
  const auto it = table_.find(std::string_view(key));
  return it == table_.end() ? nullptr : &it->second;
}

void SettingReader::addTypeError(const char* key, const SettingNode& at, const std::string& expected) {
  problems_.push_back({at.line, name(key) + " must be " + expected + ", and is " + std::string(at.kind())});
}

void SettingReader::error(const char* key, const std::string& what) {
  problems_.push_back({lineOf(key), name(key) + " " + what});
}

void SettingReader::require(const char* key, const char* what) {
  if (!find(key)) problems_.push_back({node_.line, name(key) + " is missing: " + what});
}

bool SettingReader::boolean(const char* key, bool& out) {
  const SettingNode* node = find(key);
  if (!node) return false;
  const bool* value = std::get_if<bool>(&node->value);
  if (!value) return addTypeError(key, *node, "true or false"), false;
  out = *value;
  return true;
}

bool SettingReader::integer(const char* key, std::int64_t& out, std::int64_t least, std::int64_t most) {
  const SettingNode* node = find(key);
  if (!node) return false;
  const auto* value = std::get_if<std::int64_t>(&node->value);
  if (!value) return addTypeError(key, *node, "an integer " + range(least, most)), false;
  if (*value < least || *value > most)
    return error(key, "must be " + range(least, most) + ", and is " + std::to_string(*value)), false;
  out = *value;
  return true;
}

bool SettingReader::size(const char* key, std::size_t& out, std::size_t least, std::size_t most) {
  std::int64_t value = 0;
  if (!integer(key, value, static_cast<std::int64_t>(least), static_cast<std::int64_t>(most))) return false;
  out = static_cast<std::size_t>(value);
  return true;
}

bool SettingReader::number(const char* key, double& out, double least, double most) {
  const SettingNode* node = find(key);
  if (!node) return false;
  const std::string expected = "from " + formatNumber(least) + " to " + formatNumber(most);
  double value = 0;
  if (const auto* d = std::get_if<double>(&node->value)) value = *d;
  else if (const auto* i = std::get_if<std::int64_t>(&node->value)) value = static_cast<double>(*i);
  else return addTypeError(key, *node, "a number " + expected), false;
  if (!(value >= least && value <= most))  // also rejects NaN
    return error(key, "must be " + expected + ", and is " + formatNumber(value)), false;
  out = value;
  return true;
}

bool SettingReader::duration(const char* key, Duration& out, Duration least, Duration most) {
  const SettingNode* node = find(key);
  if (!node) return false;
  const std::string expected =
      "a time from " + formatDuration(least) + " to " + formatDuration(most) + ", as in \"250ms\"";
  const auto* text = std::get_if<std::string>(&node->value);
  if (!text) return addTypeError(key, *node, expected), false;
  const auto value = parseDuration(*text);
  if (!value || *value < least || *value > most)
    return error(key, "must be " + expected + ", and is \"" + text->substr(0, 40) + "\""), false;
  out = *value;
  return true;
}

bool SettingReader::text(const char* key, std::string& out, std::size_t longest) {
  const SettingNode* node = find(key);
  if (!node) return false;
  const std::string expected = "text of 1 to " + std::to_string(longest) + " bytes";
  const auto* value = std::get_if<std::string>(&node->value);
  if (!value) return addTypeError(key, *node, expected), false;
  if (value->empty() || value->size() > longest)
    return error(key, "must be " + expected + ", and has " + std::to_string(value->size())), false;
  out = *value;
  return true;
}

bool SettingReader::choice(const char* key, std::string& out, const std::vector<std::string>& of) {
  const SettingNode* node = find(key);
  if (!node) return false;
  std::string expected = "one of";
  for (const std::string& o : of) expected += " \"" + o + "\"";
  const auto* value = std::get_if<std::string>(&node->value);
  if (!value) return addTypeError(key, *node, expected), false;
  if (std::find(of.begin(), of.end(), *value) == of.end()) {
    std::string what = "must be " + expected + ", and is \"" + value->substr(0, 40) + "\"";
    if (const auto near = nearestOf(*value, of); !near.empty())
      what += "; did you mean \"" + std::string(near) + "\"?";
    return error(key, what), false;
  }
  out = *value;
  return true;
}

bool SettingReader::texts(const char* key, std::vector<std::string>& out, std::size_t most,
                          std::size_t longest) {
  const SettingNode* node = find(key);
  if (!node) return false;
  const std::string expected =
      "a list of at most " + std::to_string(most) + " texts of 1 to " + std::to_string(longest) + " bytes";
  const auto* list = std::get_if<SettingNode::Array>(&node->value);
  if (!list) return addTypeError(key, *node, expected), false;
  if (list->size() > most)
    return error(key, "must be " + expected + ", and has " + std::to_string(list->size())), false;
  std::vector<std::string> read;
  for (const SettingNode& item : *list) {
    const auto* value = std::get_if<std::string>(&item.value);
    if (!value || value->empty() || value->size() > longest) {
      problems_.push_back({item.line, name(key) + " must be " + expected + ", and item " +
                                          std::to_string(read.size() + 1) + " is not such a text"});
      return false;
    }
    read.push_back(*value);
  }
  out = std::move(read);
  return true;
}

bool SettingReader::table(const char* key, const std::function<void(SettingReader&)>& read) {
  const SettingNode* node = find(key);
  if (!node) return false;
  if (!std::holds_alternative<SettingNode::Table>(node->value))
    return addTypeError(key, *node, "a table"), false;
  SettingReader reader(*node, name(key), problems_);
  read(reader);
  return true;
}

bool SettingReader::tables(const char* key, std::size_t most,
                           const std::function<void(SettingReader&)>& read) {
  const SettingNode* node = find(key);
  if (!node) return false;
  const std::string expected = "a list of at most " + std::to_string(most) + " tables";
  const auto* list = std::get_if<SettingNode::Array>(&node->value);
  if (!list) return addTypeError(key, *node, expected), false;
  if (list->size() > most)
    return error(key, "must be " + expected + ", and has " + std::to_string(list->size())), false;
  std::size_t number = 0;
  for (const SettingNode& item : *list) {
    const std::string path = name(key) + "[" + std::to_string(++number) + "]";
    if (!std::holds_alternative<SettingNode::Table>(item.value)) {
      problems_.push_back({item.line, path + " must be a table, and is " + std::string(item.kind())});
      continue;
    }
    SettingReader reader(item, path, problems_);
    read(reader);
  }
  return true;
}

}  // namespace finchstile
