#include "configuration/update.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <initializer_list>
#include <nlohmann/json.hpp>
#include <unordered_set>

namespace finchstile::configuration {
namespace {

using nlohmann::json;

constexpr double kNanosecondsPerMs = 1e6;
constexpr double kMinLatencyObjectiveMs = 0.001;
constexpr double kMaxLatencyObjectiveMs = 24.0 * 3600 * 1000;
constexpr double kMaxNumber = 1e12;
constexpr std::size_t kMaxQuotedBytes = 40;  // of an invalid value that a message quotes
constexpr std::size_t kMaxQuotedHashBytes = 32;
constexpr std::size_t kHashDigits = 16;

std::uint64_t parseHash(const std::string& text) {
  std::uint64_t hash = 0;
  const char* const last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, hash, 16);
  if (text.size() == kHashDigits && error == std::errc{} && end == last) return hash;
  throw UpdateParseError(UpdateParseError::Code::invalidHash, "hash must be 16 hexadecimal digits, and is '" +
                                                                  text.substr(0, kMaxQuotedHashBytes) + "'");
}

// Reads the fields of one entry and collects their errors. The constructor arguments must outlive the reader.
class EntryReader {
 public:
  EntryReader(const json& entry, const std::string& key, std::vector<ValidationError>& errors)
      : entry_(entry), key_(key), errors_(errors) {}

  bool isValid() const { return valid_; }

  void addError(const std::string& field, const std::string& message) {
    errors_.push_back({key_, field, message});
    valid_ = false;
  }

  // Reads a required number. If it is missing or out of range, adds an error and returns `min`.
  double number(const char* field, double min, double max) {
    ++fieldsRead_;
    const auto at = entry_.find(field);
    if (at == entry_.end()) {
      addError(field, "is missing");
      return min;
    }
    const double value = at->is_number() ? at->get<double>() : NAN;
    if (std::isfinite(value) && value >= min && value <= max) return value;
    char bounds[80];
    std::snprintf(bounds, sizeof bounds, "must be a number from %g to %g, and is ", min, max);
    addError(field, bounds + at->dump().substr(0, kMaxQuotedBytes));
    return min;
  }

  // Unknown fields are errors: the author of a field that is ignored would assume that it takes effect.
  void rejectUnknownFields(std::initializer_list<std::string_view> known) {
    const std::size_t expectedFields = fieldsRead_ + 1;  // the fields read, and the key
    if (valid_ && entry_.size() == expectedFields) return;
    for (const auto& [field, value] : entry_.items()) {
      const bool isKnown = field == "key" || std::find(known.begin(), known.end(), field) != known.end();
      if (!isKnown) addError(field, "is no field of such an entry");
    }
  }

 private:
  const json& entry_;
  const std::string& key_;
  std::vector<ValidationError>& errors_;
  std::size_t fieldsRead_ = 0;
  bool valid_ = true;
};

std::optional<Document> readTenant(EntryReader& reader, const std::string& name) {
  const TenantDocument tenant{name, reader.number("quota_per_second", 0, kMaxNumber)};
  reader.rejectUnknownFields({"quota_per_second"});
  return reader.isValid() ? std::optional<Document>(tenant) : std::nullopt;
}

std::optional<Document> readClass(EntryReader& reader, const std::string& name) {
  ClassDocument cls;
  cls.name = name;
  cls.priorityWeight = reader.number("worth", 0, kMaxNumber);
  const double objectiveMs = reader.number("aim_ms", kMinLatencyObjectiveMs, kMaxLatencyObjectiveMs);
  cls.latencyObjective = load_balancing::Duration(std::llround(objectiveMs * kNanosecondsPerMs));
  cls.lateValueFraction = reader.number("late_share", 0, 1);
  reader.rejectUnknownFields({"worth", "aim_ms", "late_share"});
  return reader.isValid() ? std::optional<Document>(cls) : std::nullopt;
}

std::optional<Document> readDocument(const json& entry, const std::string& key,
                                     std::vector<ValidationError>& errors) {
  EntryReader reader(entry, key, errors);
  const std::string name = nameInKey(key);
  if (name.empty() || name.size() > kMaxNameBytes)
    reader.addError("key", "must have a name of 1 to " + std::to_string(kMaxNameBytes) + " bytes");
  return isTenantKey(key) ? readTenant(reader, name) : readClass(reader, name);
}

// Returns the key of the entry. If it has no valid key, adds an error and returns null.
const std::string* readKey(const json& entry, std::size_t number, std::vector<ValidationError>& errors) {
  const std::string place = "entry " + std::to_string(number);
  const auto field = entry.is_object() ? entry.find("key") : entry.end();
  if (!entry.is_object() || field == entry.end() || !field->is_string()) {
    errors.push_back({place, "key", "must be a text"});
    return nullptr;
  }
  const auto* key = field->get_ptr<const std::string*>();
  if (key->starts_with(kTenantPrefix) || key->starts_with(kClassPrefix)) return key;
  const std::string quoted = key->substr(0, kMaxQuotedBytes);
  errors.push_back({place, "key", "must be tenant/NAME or class/NAME, and is '" + quoted + "'"});
  return nullptr;
}

// `seenKeys` contains the keys of the earlier entries and refers to the JSON document.
void readEntry(const json& entry, std::size_t number, Update& update,
               std::unordered_set<std::string_view>& seenKeys) {
  const std::string* key = readKey(entry, number, update.errors);
  if (!key) return;
  if (!seenKeys.insert(*key).second) {
    update.errors.push_back({*key, "", "stands twice"});
    return;
  }
  if (const auto removed = entry.find("removed"); removed != entry.end()) {
    const bool isRemoval = removed->is_boolean() && removed->get<bool>();
    if (isRemoval && entry.size() == 2 && !update.isSnapshot) update.changes.push_back({*key, std::nullopt});
    else update.errors.push_back({*key, "removed", "must be true and alone, in changes"});
    return;
  }
  if (auto document = readDocument(entry, *key, update.errors))
    update.changes.push_back({*key, std::move(document)});
}

}  // namespace

Update parseUpdate(std::string_view text) try {
  const json root = json::parse(text);
  Update update;
  update.version = {root.at("epoch").get<std::uint64_t>(), root.at("index").get<std::uint64_t>()};
  update.isSnapshot = root.at("snapshot").get<bool>();
  update.hash = parseHash(root.at("hash").get<std::string>());
  const json& entries = root.at("entries");
  if (!entries.is_array())
    throw UpdateParseError(UpdateParseError::Code::invalidEntries, "entries must be an array");
  std::unordered_set<std::string_view> seenKeys;
  seenKeys.reserve(entries.size());
  update.changes.reserve(entries.size());
  std::size_t number = 0;
  for (const json& entry : entries) readEntry(entry, number++, update, seenKeys);
  return update;
} catch (const json::exception& error) {
  throw UpdateParseError(UpdateParseError::Code::invalidJson,
                         std::string("malformed JSON or field: ") + error.what());
}

std::string serializeEntry(const DocumentChange& change) {
  json entry = {{"key", change.key}};
  if (!change.document) {
    entry["removed"] = true;
  } else if (const auto* tenant = std::get_if<TenantDocument>(&*change.document)) {
    entry["quota_per_second"] = tenant->quotaPerSecond;
  } else {
    const auto& cls = std::get<ClassDocument>(*change.document);
    entry["worth"] = cls.priorityWeight;
    entry["aim_ms"] = std::chrono::duration<double, std::milli>(cls.latencyObjective).count();
    entry["late_share"] = cls.lateValueFraction;
  }
  return entry.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string serializeUpdate(const Version& version, std::uint64_t hash, bool isSnapshot,
                            const std::vector<std::string>& entries) {
  std::string text = "{\"epoch\":" + std::to_string(version.epoch) +
                     ",\"index\":" + std::to_string(version.revision) +
                     ",\"snapshot\":" + (isSnapshot ? "true" : "false") + ",\"hash\":\"" + formatHash(hash) +
                     "\",\"entries\":[";
  for (std::size_t i = 0; i < entries.size(); ++i) {
    if (i > 0) text += ",";
    text += entries[i];
  }
  return text + "]}";
}

}  // namespace finchstile::configuration
