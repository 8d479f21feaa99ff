#include "policy/settings.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <stdexcept>
#include <string>
#include <vector>

namespace finchstile::load_balancing {
namespace {

void require(bool good, const std::string& what) {
  if (!good) throw std::invalid_argument("load balancer settings: " + what);
}

struct Value {
  std::string_view path, text;

  template <class Number>
  Number number() const {
    Number n{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), n);
    require(error == std::errc{} && end == text.data() + text.size(),
            "'" + std::string(text) + "' is no number (" + std::string(path) + ")");
    return n;
  }
  Duration span() const { return Duration(number<std::int64_t>()); }
  bool boolean() const {
    const bool yes = text == "1" || text == "true";
    require(yes || text == "0" || text == "false",
            "'" + std::string(text) + "' is no bool (" + std::string(path) + ")");
    return yes;
  }
};

// Splits "<head>.<index>.<field>" and returns the item of that index, or null for any other path.
template <class T>
T* item(std::vector<T>& items, std::size_t most, std::string_view path, std::string_view head,
        std::string_view& field) {
  if (path.substr(0, head.size()) != head || path.size() <= head.size() || path[head.size()] != '.')
    return nullptr;
  path.remove_prefix(head.size() + 1);
  const std::size_t dot = path.find('.');
  if (dot == std::string_view::npos) return nullptr;
  std::size_t index = 0;
  const auto [end, error] = std::from_chars(path.data(), path.data() + dot, index);
  if (error != std::errc{} || end != path.data() + dot) return nullptr;
  // Danger: an item that is passed over in silence is a class or tenant whose requests are turned away later.
  // An absurd index must not fill the memory.
  require(index < most, std::string(head) + " has more than " + std::to_string(most) +
                            " items: there is one numbered " + std::to_string(index));
  field = path.substr(dot + 1);
  if (items.size() <= index) items.resize(index + 1);
  return &items[index];
}

void applyToClass(ClassSettings& c, std::string_view field, const Value& v) {
  if (field == "name") c.name = v.text;
  else if (field == "aimNs") c.latencyObjective = v.span();
  else if (field == "giveUpNs") c.clientTimeout = v.span();
  else if (field == "windowNs") c.deduplicationWindow = v.span();
  else if (field == "points") c.priorityWeight = v.number<double>();
  else if (field == "lateShare") c.lateValueFraction = v.number<double>();
  else if (field == "aimStretch") c.objectiveStretch = v.number<double>();
  else if (field == "effect")
    c.idempotency = v.text == "retryable" ? Idempotency::idempotent
                    : v.text == "dedup"   ? Idempotency::idempotentWithKey
                                          : Idempotency::nonIdempotent;
  else if (field == "group")
    c.deduplicationScope = v.text == "all"    ? DeduplicationScope::all
                           : v.text == "zone" ? DeduplicationScope::zone
                                              : DeduplicationScope::cell;
}

}  // namespace

void applySetting(Settings& s, std::string_view n, std::string_view text) {
  const Value v{n, text};
  std::string_view field;
  if (n == "rngSeed") s.seed = static_cast<std::uint64_t>(v.number<std::int64_t>());
  else if (n == "groupSize") s.gatewayCount = v.number<std::uint32_t>();
  else if (n == "zone") s.zone = text;
  else if (n == "overShareWorth") s.overQuotaWeightFactor = v.number<double>();
  else if (n == "registryMode") s.pollsDiscovery = text == "ask";
  else if (n == "stepNs") s.eventInterval = v.span();
  else if (n == "domain.warmKeys") s.keyAffinity = v.boolean();
  else if (n == "ceilings.retryAfter") s.retryAfterEnabled = v.boolean();
  else if (n == "ceilings.cancel") s.cancellationEnabled = v.boolean();
  else if (n == "ceilings.maxAttempts") s.maxAttempts = v.number<std::uint32_t>();
  else if (n == "ceilings.maxRetryAfterNs") s.maxRetryAfter = v.span();
  else if (n == "ceilings.probes") s.probingEnabled = v.boolean();
  else if (n == "ceilings.peers") s.peerMessagesEnabled = v.boolean();
  else if (n == "myNumber") s.gatewayIndex = v.number<std::uint32_t>();
  else if (n == "rules.askWithinNs") s.maxDiscoverySilence = v.span();
  else if (n == "rules.coldNs") s.warmUpTime = v.span();
  else if (n == "rules.coldShare") s.initialCapacityFraction = v.number<double>();
  else if (n == "rules.fallMultiple") s.collapseLoadFactor = v.number<double>();
  else if (n == "rules.fallNs") s.collapseWindow = v.span();
  else if (ClassSettings* c = item(s.classes, kMaxClasses, n, "grades", field)) applyToClass(*c, field, v);
  else if (TenantSettings* t = item(s.tenants, kMaxTenants, n, "tenants", field)) {
    if (field == "name") t->name = text;
    else if (field == "quotaRps") t->quotaPerSecond = v.number<double>();
  }
}

void completeSettings(Settings& s) {
  for (ClassSettings& c : s.classes) c.clientTimeout = std::max(c.clientTimeout, c.latencyObjective);
}

void validate(const Settings& s) {
  require(s.gatewayCount >= 1, "groupSize must be at least 1");
  require(s.gatewayIndex < s.gatewayCount, "myNumber is " + std::to_string(s.gatewayIndex) + ", not 0 to " +
                                               std::to_string(s.gatewayCount - 1) + ", as groupSize has it");
  require(!s.classes.empty(), "at least one class is needed");
  require(s.maxAttempts >= 1, "maxAttempts must be at least 1");
  require(s.initialCapacityFraction > 0 && s.initialCapacityFraction <= 1, "coldShare must lie in (0, 1]");
  require(s.collapseLoadFactor > 0, "fallMultiple must be above 0");
  require(s.overQuotaWeightFactor >= 0 && s.overQuotaWeightFactor <= 1, "overShareWorth must lie in [0, 1]");
  for (Duration d : {s.maxRetryAfter, s.maxDiscoverySilence, s.eventInterval, s.warmUpTime, s.collapseWindow})
    require(d >= Duration::zero(), "durations must not be negative");
  require(std::isfinite(s.hostStreamRate) && s.hostStreamRate >= 0, "streamRate must be 0 or more");
  require(s.streamRetrySpread >= Duration::zero(), "streamReturn must not be negative");
  for (const ClassSettings& c : s.classes) {
    require(!c.name.empty(), "a class has no name");
    require(c.latencyObjective > Duration::zero(), "class " + c.name + ": aim must be above 0");
    require(c.clientTimeout >= c.latencyObjective, "class " + c.name + ": giveUp must not be below aim");
    require(std::isfinite(c.priorityWeight) && c.priorityWeight >= 0,
            "class " + c.name + ": worth must be 0 or more");
    require(c.lateValueFraction >= 0 && c.lateValueFraction <= 1,
            "class " + c.name + ": lateShare must lie in [0, 1]");
    require(c.objectiveStretch >= 0, "class " + c.name + ": aimStretch must be 0 or more");
    require(c.deduplicationWindow >= Duration::zero(), "class " + c.name + ": window must not be negative");
  }
  for (const TenantSettings& t : s.tenants)
    require(std::isfinite(t.quotaPerSecond) && t.quotaPerSecond >= 0, "tenant " + t.name + ": bad quota");
}

}  // namespace finchstile::load_balancing
