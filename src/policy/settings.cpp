#include "policy/settings.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <stdexcept>
#include <string>
#include <vector>

namespace finchstile::load_balancing {
namespace {

void require(bool isValid, const std::string& problem) {
  if (!isValid) throw std::invalid_argument("load balancer settings: " + problem);
}

// The text of a setting, with its path for error messages.
struct SettingText {
  std::string_view path;
  std::string_view text;

  template <class Number>
  Number number() const {
    Number value{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    require(error == std::errc{} && end == text.data() + text.size(),
            "'" + std::string(text) + "' is no number (" + std::string(path) + ")");
    return value;
  }
  Duration nanoseconds() const { return Duration(number<std::int64_t>()); }
  bool boolean() const {
    const bool isTrue = text == "1" || text == "true";
    require(isTrue || text == "0" || text == "false",
            "'" + std::string(text) + "' is no bool (" + std::string(path) + ")");
    return isTrue;
  }
};

// Splits a path of the form "<head>.<index>.<field>" and returns the item of that index, which is added if
// missing. Returns null for any other path.
template <class T>
T* findItem(std::vector<T>& items, std::size_t maxItems, std::string_view path, std::string_view head,
            std::string_view& field) {
  if (path.substr(0, head.size()) != head || path.size() <= head.size() || path[head.size()] != '.')
    return nullptr;
  path.remove_prefix(head.size() + 1);
  const std::size_t dot = path.find('.');
  if (dot == std::string_view::npos) return nullptr;
  std::size_t index = 0;
  const auto [end, error] = std::from_chars(path.data(), path.data() + dot, index);
  if (error != std::errc{} || end != path.data() + dot) return nullptr;
  // An index out of range is an error: ignoring the item would reject the requests of that class or tenant
  // later, and adding it could exhaust memory.
  require(index < maxItems, std::string(head) + " has more than " + std::to_string(maxItems) +
                                " items: there is one numbered " + std::to_string(index));
  field = path.substr(dot + 1);
  if (items.size() <= index) items.resize(index + 1);
  return &items[index];
}

void applyToClass(ClassSettings& classSettings, std::string_view field, const SettingText& value) {
  if (field == "name") classSettings.name = value.text;
  else if (field == "aimNs") classSettings.latencyObjective = value.nanoseconds();
  else if (field == "giveUpNs") classSettings.clientTimeout = value.nanoseconds();
  else if (field == "windowNs") classSettings.deduplicationWindow = value.nanoseconds();
  else if (field == "points") classSettings.priorityWeight = value.number<double>();
  else if (field == "lateShare") classSettings.lateValueFraction = value.number<double>();
  else if (field == "aimStretch") classSettings.objectiveStretch = value.number<double>();
  else if (field == "effect")
    classSettings.idempotency = value.text == "retryable" ? Idempotency::idempotent
                                : value.text == "dedup"   ? Idempotency::idempotentWithKey
                                                          : Idempotency::nonIdempotent;
  else if (field == "group")
    classSettings.deduplicationScope = value.text == "all"    ? DeduplicationScope::all
                                       : value.text == "zone" ? DeduplicationScope::zone
                                                              : DeduplicationScope::cell;
}

}  // namespace

void applySetting(Settings& settings, std::string_view path, std::string_view text) {
  const SettingText value{path, text};
  std::string_view field;
  if (path == "rngSeed") settings.seed = static_cast<std::uint64_t>(value.number<std::int64_t>());
  else if (path == "groupSize") settings.gatewayCount = value.number<std::uint32_t>();
  else if (path == "zone") settings.zone = text;
  else if (path == "overShareWorth") settings.overQuotaWeightFactor = value.number<double>();
  else if (path == "registryMode") settings.pollsDiscovery = text == "ask";
  else if (path == "stepNs") settings.eventInterval = value.nanoseconds();
  else if (path == "domain.warmKeys") settings.keyAffinity = value.boolean();
  else if (path == "ceilings.retryAfter") settings.retryAfterEnabled = value.boolean();
  else if (path == "ceilings.cancel") settings.cancellationEnabled = value.boolean();
  else if (path == "ceilings.maxAttempts") settings.maxAttempts = value.number<std::uint32_t>();
  else if (path == "ceilings.maxRetryAfterNs") settings.maxRetryAfter = value.nanoseconds();
  else if (path == "ceilings.probes") settings.probingEnabled = value.boolean();
  else if (path == "ceilings.peers") settings.peerMessagesEnabled = value.boolean();
  else if (path == "myNumber") settings.gatewayIndex = value.number<std::uint32_t>();
  else if (path == "rules.askWithinNs") settings.maxDiscoverySilence = value.nanoseconds();
  else if (path == "rules.coldNs") settings.warmUpTime = value.nanoseconds();
  else if (path == "rules.coldShare") settings.initialCapacityFraction = value.number<double>();
  else if (path == "rules.fallMultiple") settings.collapseLoadFactor = value.number<double>();
  else if (path == "rules.fallNs") settings.collapseWindow = value.nanoseconds();
  else if (ClassSettings* classSettings = findItem(settings.classes, kMaxClasses, path, "grades", field))
    applyToClass(*classSettings, field, value);
  else if (TenantSettings* tenant = findItem(settings.tenants, kMaxTenants, path, "tenants", field)) {
    if (field == "name") tenant->name = text;
    else if (field == "quotaRps") tenant->quotaPerSecond = value.number<double>();
  }
}

void completeSettings(Settings& settings) {
  for (ClassSettings& classSettings : settings.classes)
    classSettings.clientTimeout = std::max(classSettings.clientTimeout, classSettings.latencyObjective);
}

// Error messages use the setting names of the configuration file and the simulator.
void validate(const Settings& settings) {
  require(settings.gatewayCount >= 1, "groupSize must be at least 1");
  require(settings.gatewayIndex < settings.gatewayCount,
          "myNumber is " + std::to_string(settings.gatewayIndex) + ", not 0 to " +
              std::to_string(settings.gatewayCount - 1) + ", as groupSize has it");
  require(!settings.classes.empty(), "at least one class is needed");
  require(settings.maxAttempts >= 1, "maxAttempts must be at least 1");
  require(settings.initialCapacityFraction > 0 && settings.initialCapacityFraction <= 1,
          "coldShare must lie in (0, 1]");
  require(settings.collapseLoadFactor > 0, "fallMultiple must be above 0");
  require(settings.overQuotaWeightFactor >= 0 && settings.overQuotaWeightFactor <= 1,
          "overShareWorth must lie in [0, 1]");
  for (const Duration duration : {settings.maxRetryAfter, settings.maxDiscoverySilence,
                                  settings.eventInterval, settings.warmUpTime, settings.collapseWindow})
    require(duration >= Duration::zero(), "durations must not be negative");
  require(std::isfinite(settings.hostStreamRate) && settings.hostStreamRate >= 0,
          "streamRate must be 0 or more");
  require(settings.streamRetrySpread >= Duration::zero(), "streamReturn must not be negative");
  for (const ClassSettings& classSettings : settings.classes) {
    require(!classSettings.name.empty(), "a class has no name");
    require(classSettings.latencyObjective > Duration::zero(),
            "class " + classSettings.name + ": aim must be above 0");
    require(classSettings.clientTimeout >= classSettings.latencyObjective,
            "class " + classSettings.name + ": giveUp must not be below aim");
    require(std::isfinite(classSettings.priorityWeight) && classSettings.priorityWeight >= 0,
            "class " + classSettings.name + ": worth must be 0 or more");
    require(classSettings.lateValueFraction >= 0 && classSettings.lateValueFraction <= 1,
            "class " + classSettings.name + ": lateShare must lie in [0, 1]");
    require(classSettings.objectiveStretch >= 0,
            "class " + classSettings.name + ": aimStretch must be 0 or more");
    require(classSettings.deduplicationWindow >= Duration::zero(),
            "class " + classSettings.name + ": window must not be negative");
  }
  for (const TenantSettings& tenant : settings.tenants)
    require(std::isfinite(tenant.quotaPerSecond) && tenant.quotaPerSecond >= 0,
            "tenant " + tenant.name + ": bad quota");
}

}  // namespace finchstile::load_balancing
