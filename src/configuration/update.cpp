#include "configuration/update.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <initializer_list>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <unordered_set>

namespace finchstile::configuration {
namespace {

using nlohmann::json;

constexpr double kNanosecondsPerMs = 1e6;
constexpr double kAimLeastMs = 0.001, kAimMostMs = 24.0 * 3600 * 1000;
constexpr std::size_t kValueTold = 40;  // bytes of a value that is wrong
constexpr double kNumberMost = 1e12;

std::uint64_t readHash(const std::string& text) {
  std::uint64_t hash = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), hash, 16);
  if (text.size() != 16 || error != std::errc{} || end != text.data() + text.size())
    throw std::runtime_error("hash must be 16 hexadecimal digits, and is '" + text.substr(0, 32) + "'");
  return hash;
}

std::string placeOf(std::size_t number) { return "entry " + std::to_string(number); }

// Reads the fields of one entry and collects what is wrong with them. The references must outlive it.
class EntryReader {
 public:
  EntryReader(const json& entry, const std::string& key, std::vector<Problem>& problems)
      : entry_(entry), key_(key), problems_(problems) {}

  bool good() const { return good_; }
  void wrong(const std::string& field, const std::string& what) {
    problems_.push_back({key_, field, what});
    good_ = false;
  }
  double number(const char* field, double least, double most) {
    ++fields_;
    const auto at = entry_.find(field);
    if (at == entry_.end()) return wrong(field, "is missing"), least;
    const double value = at->is_number() ? at->get<double>() : NAN;
    if (std::isfinite(value) && value >= least && value <= most) return value;
    char bounds[80];
    std::snprintf(bounds, sizeof bounds, "must be a number from %g to %g, and is ", least, most);
    wrong(field, bounds + at->dump().substr(0, kValueTold));
    return least;
  }
  // Danger: a field that is passed over in silence is a term that somebody believes to be in force.
  void refuseOthers(std::initializer_list<std::string_view> known) {
    if (good_ && entry_.size() == fields_ + 1) return;  // those that were read, and the key
    for (const auto& [field, value] : entry_.items())
      if (field != "key" && std::find(known.begin(), known.end(), field) == known.end())
        wrong(field, "is no field of such an entry");
  }

 private:
  const json& entry_;
  const std::string& key_;
  std::vector<Problem>& problems_;
  std::size_t fields_ = 0;  // asked for
  bool good_ = true;
};

std::optional<Document> readTenant(EntryReader& reader, const std::string& name) {
  const TenantDocument tenant{name, reader.number("quota_per_second", 0, kNumberMost)};
  reader.refuseOthers({"quota_per_second"});
  return reader.good() ? std::optional<Document>(tenant) : std::nullopt;
}

std::optional<Document> readClass(EntryReader& reader, const std::string& name) {
  ClassDocument cls{name, reader.number("worth", 0, kNumberMost), {}, 0};
  const double aimMs = reader.number("aim_ms", kAimLeastMs, kAimMostMs);
  cls.aim = load_balancing::Duration(std::llround(aimMs * kNanosecondsPerMs));
  cls.lateShare = reader.number("late_share", 0, 1);
  reader.refuseOthers({"worth", "aim_ms", "late_share"});
  return reader.good() ? std::optional<Document>(cls) : std::nullopt;
}

std::optional<Document> readDocument(const json& entry, const std::string& key,
                                     std::vector<Problem>& problems) {
  EntryReader reader(entry, key, problems);
  const std::string name = key.substr(key.find('/') + 1);
  if (name.empty() || name.size() > kNameLongest)
    reader.wrong("key", "must have a name of 1 to " + std::to_string(kNameLongest) + " bytes");
  return key.starts_with(kTenantPrefix) ? readTenant(reader, name) : readClass(reader, name);
}

// The key of an entry; null if it has none that may be, which is noted.
const std::string* readKey(const json& entry, std::size_t number, std::vector<Problem>& problems) {
  const auto key = entry.is_object() ? entry.find("key") : entry.end();
  if (!entry.is_object() || key == entry.end() || !key->is_string()) {
    problems.push_back({placeOf(number), "key", "must be a text"});
    return nullptr;
  }
  const auto* name = key->get_ptr<const std::string*>();
  if (name->starts_with(kTenantPrefix) || name->starts_with(kClassPrefix)) return name;
  const std::string told = name->substr(0, kValueTold);
  problems.push_back({placeOf(number), "key", "must be tenant/NAME or class/NAME, and is '" + told + "'"});
  return nullptr;
}

// `seen`: the keys of the entries before, as they stand in the document.
void readEntry(const json& entry, std::size_t number, Update& update,
               std::unordered_set<std::string_view>& seen) {
  const std::string* key = readKey(entry, number, update.problems);
  if (!key) return;
  if (!seen.insert(*key).second) return update.problems.push_back({*key, "", "stands twice"});
  if (const auto removed = entry.find("removed"); removed != entry.end()) {
    if (removed->is_boolean() && removed->get<bool>() && entry.size() == 2 && !update.whole)
      return update.changes.push_back({*key, std::nullopt});
    return update.problems.push_back({*key, "removed", "must be true and alone, in changes"});
  }
  if (auto document = readDocument(entry, *key, update.problems))
    update.changes.push_back({*key, std::move(document)});
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
  std::unordered_set<std::string_view> seen;
  seen.reserve(entries.size());
  update.changes.reserve(entries.size());
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
