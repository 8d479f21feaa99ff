#include "configuration/update.hpp"

#include <charconv>
#include <cmath>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <unordered_set>

namespace finchstile::configuration {
namespace {

using nlohmann::json;

constexpr double kAimMostMs = 24.0 * 3600 * 1000;
constexpr double kNumberMost = 1e12;

std::uint64_t readHash(const std::string& text) {
  std::uint64_t hash = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), hash, 16);
  if (text.size() != 16 || error != std::errc{} || end != text.data() + text.size())
    throw std::runtime_error("hash must be 16 hexadecimal digits, and is '" + text.substr(0, 32) + "'");
  return hash;
}

// Reads one entry and collects what is wrong with it.
class EntryReader {
 public:
  EntryReader(const json& entry, std::string key, std::vector<Problem>& problems)
      : entry_(entry), key_(std::move(key)), problems_(problems) {}

  bool good() const { return good_; }
  void wrong(const std::string& field, const std::string& what) {
    problems_.push_back({key_, field, what});
    good_ = false;
  }
  double number(const char* field, double least, double most) {
    known_.insert(field);
    const auto at = entry_.find(field);
    if (at == entry_.end()) return wrong(field, "is missing"), least;
    const double value = at->is_number() ? at->get<double>() : NAN;
    if (std::isfinite(value) && value >= least && value <= most) return value;
    char bounds[80];
    std::snprintf(bounds, sizeof bounds, "must be a number from %g to %g, and is ", least, most);
    wrong(field, bounds + at->dump().substr(0, 40));
    return least;
  }
  // Danger: a field that is passed over in silence is a term that somebody believes to be in force.
  void refuseUnknown() {
    for (const auto& [field, value] : entry_.items())
      if (known_.count(field) == 0) wrong(field, "is no field of such an entry");
  }

 private:
  const json& entry_;
  const std::string key_;
  std::vector<Problem>& problems_;
  std::unordered_set<std::string> known_{"key"};
  bool good_ = true;
};

std::optional<Document> readDocument(const json& entry, const std::string& key,
                                     std::vector<Problem>& problems) {
  EntryReader reader(entry, key, problems);
  const std::string name = key.substr(key.find('/') + 1);
  if (name.empty() || name.size() > kNameLongest)
    reader.wrong("key", "must have a name of 1 to " + std::to_string(kNameLongest) + " bytes");
  Document document;
  if (key.starts_with(kTenantPrefix)) {
    document = TenantDocument{name, reader.number("quota_per_second", 0, kNumberMost)};
  } else {
    ClassDocument cls{name, reader.number("worth", 0, kNumberMost), {}, 0};
    const double aimMs = reader.number("aim_ms", 0.001, kAimMostMs);
    cls.aim = ridgeshift::Duration(std::llround(aimMs * 1e6));
    cls.lateShare = reader.number("late_share", 0, 1);
    document = cls;
  }
  reader.refuseUnknown();
  return reader.good() ? std::optional(document) : std::nullopt;
}

void readEntry(const json& entry, std::size_t number, Update& update, std::unordered_set<std::string>& seen) {
  const auto key = entry.is_object() ? entry.find("key") : entry.end();
  const std::string place = "entry " + std::to_string(number);
  if (!entry.is_object() || key == entry.end() || !key->is_string())
    return update.problems.push_back({place, "key", "must be a text"});
  const std::string& name = key->get_ref<const std::string&>();
  if (!name.starts_with(kTenantPrefix) && !name.starts_with(kClassPrefix))
    return update.problems.push_back(
        {place, "key", "must be tenant/NAME or class/NAME, and is '" + name.substr(0, 40) + "'"});
  if (!seen.insert(name).second) return update.problems.push_back({name, "", "stands twice"});
  if (const auto removed = entry.find("removed"); removed != entry.end()) {
    if (removed->is_boolean() && removed->get<bool>() && entry.size() == 2 && !update.whole)
      return update.changes.push_back({name, std::nullopt});
    return update.problems.push_back({name, "removed", "must be true and alone, in changes"});
  }
  if (auto document = readDocument(entry, name, update.problems))
    update.changes.push_back({name, std::move(document)});
}

}  // namespace

std::string describe(const Version& version) {
  return std::to_string(version.epoch) + "." + std::to_string(version.revision);
}

std::string hashText(std::uint64_t hash) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(hash));
  return text;
}

Update parseUpdate(std::string_view text) try {
  const json all = json::parse(text);
  Update update;
  update.version = {all.at("epoch").get<std::uint64_t>(), all.at("index").get<std::uint64_t>()};
  update.whole = all.at("snapshot").get<bool>();
  update.hash = readHash(all.at("hash").get<std::string>());
  const json& entries = all.at("entries");
  if (!entries.is_array()) throw std::runtime_error("entries is no list");
  std::unordered_set<std::string> seen;
  std::size_t number = 0;
  for (const json& entry : entries) readEntry(entry, number++, update, seen);
  return update;
} catch (const json::exception& bad) {
  throw std::runtime_error(std::string("no update: ") + bad.what());
}

std::string entryText(const Change& change) {
  json entry = {{"key", change.key}};
  if (!change.document) {
    entry["removed"] = true;
  } else if (const auto* tenant = std::get_if<TenantDocument>(&*change.document)) {
    entry["quota_per_second"] = tenant->quotaPerSecond;
  } else {
    const auto& cls = std::get<ClassDocument>(*change.document);
    entry["worth"] = cls.worth;
    entry["aim_ms"] = std::chrono::duration<double, std::milli>(cls.aim).count();
    entry["late_share"] = cls.lateShare;
  }
  return entry.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string updateText(const Version& version, std::uint64_t hash, bool whole,
                       const std::vector<std::string>& entries) {
  std::string text =
      "{\"epoch\":" + std::to_string(version.epoch) + ",\"index\":" + std::to_string(version.revision) +
      ",\"snapshot\":" + (whole ? "true" : "false") + ",\"hash\":\"" + hashText(hash) + "\",\"entries\":[";
  for (std::size_t i = 0; i < entries.size(); ++i) text += (i > 0 ? "," : "") + entries[i];
  return text + "]}";
}

}  // namespace finchstile::configuration
