#include "policy/settings.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <stdexcept>
#include <string>
#include <vector>

namespace ridgeshift {
namespace {

void require(bool good, const std::string& what) {
  if (!good) throw std::invalid_argument("ridgeshift settings: " + what);
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
  else if (field == "aimNs") c.aim = v.span();
  else if (field == "giveUpNs") c.giveUp = v.span();
  else if (field == "windowNs") c.window = v.span();
  else if (field == "points") c.worth = v.number<double>();
  else if (field == "lateShare") c.lateShare = v.number<double>();
  else if (field == "aimStretch") c.aimStretch = v.number<double>();
  else if (field == "effect")
    c.effect = v.text == "retryable" ? Effect::retryable
               : v.text == "dedup"   ? Effect::dedup
                                     : Effect::fragile;
  else if (field == "group")
    c.group = v.text == "all" ? Group::all : v.text == "zone" ? Group::zone : Group::cell;
}

}  // namespace

void applySetting(Settings& s, std::string_view n, std::string_view text) {
  const Value v{n, text};
  std::string_view field;
  if (n == "rngSeed") s.seed = static_cast<std::uint64_t>(v.number<std::int64_t>());
  else if (n == "groupSize") s.groupSize = v.number<std::uint32_t>();
  else if (n == "zone") s.zone = text;
  else if (n == "overShareWorth") s.overShareWorth = v.number<double>();
  else if (n == "registryMode") s.askDiscovery = text == "ask";
  else if (n == "stepNs") s.step = v.span();
  else if (n == "domain.warmKeys") s.warmKeys = v.boolean();
  else if (n == "ceilings.retryAfter") s.retryAfter = v.boolean();
  else if (n == "ceilings.cancel") s.cancel = v.boolean();
  else if (n == "ceilings.maxAttempts") s.maxAttempts = v.number<std::uint32_t>();
  else if (n == "ceilings.maxRetryAfterNs") s.maxRetryAfter = v.span();
  else if (n == "ceilings.probes") s.probes = v.boolean();
  else if (n == "ceilings.peers") s.peers = v.boolean();
  else if (n == "myNumber") s.myNumber = v.number<std::uint32_t>();
  else if (n == "rules.askWithinNs") s.askWithin = v.span();
  else if (n == "rules.coldNs") s.coldTime = v.span();
  else if (n == "rules.coldShare") s.coldShare = v.number<double>();
  else if (n == "rules.fallMultiple") s.fallMultiple = v.number<double>();
  else if (n == "rules.fallNs") s.fallWindow = v.span();
  else if (ClassSettings* c = item(s.classes, kClassesMost, n, "grades", field)) applyToClass(*c, field, v);
  else if (TenantSettings* t = item(s.tenants, kTenantsMost, n, "tenants", field)) {
    if (field == "name") t->name = text;
    else if (field == "quotaRps") t->quotaPerSecond = v.number<double>();
  }
}

void completeSettings(Settings& s) {
  for (ClassSettings& c : s.classes) c.giveUp = std::max(c.giveUp, c.aim);
}

void validate(const Settings& s) {
  require(s.groupSize >= 1, "groupSize must be at least 1");
  require(s.myNumber < s.groupSize, "myNumber is " + std::to_string(s.myNumber) + ", not 0 to " +
                                        std::to_string(s.groupSize - 1) + ", as groupSize has it");
  require(!s.classes.empty(), "at least one class is needed");
  require(s.maxAttempts >= 1, "maxAttempts must be at least 1");
  require(s.coldShare > 0 && s.coldShare <= 1, "coldShare must lie in (0, 1]");
  require(s.fallMultiple > 0, "fallMultiple must be above 0");
  require(s.overShareWorth >= 0 && s.overShareWorth <= 1, "overShareWorth must lie in [0, 1]");
  for (Duration d : {s.maxRetryAfter, s.askWithin, s.step, s.coldTime, s.fallWindow})
    require(d >= Duration::zero(), "durations must not be negative");
  require(std::isfinite(s.streamRate) && s.streamRate >= 0, "streamRate must be 0 or more");
  require(s.streamReturn >= Duration::zero(), "streamReturn must not be negative");
  for (const ClassSettings& c : s.classes) {
    require(!c.name.empty(), "a class has no name");
    require(c.aim > Duration::zero(), "class " + c.name + ": aim must be above 0");
    require(c.giveUp >= c.aim, "class " + c.name + ": giveUp must not be below aim");
    require(std::isfinite(c.worth) && c.worth >= 0, "class " + c.name + ": worth must be 0 or more");
    require(c.lateShare >= 0 && c.lateShare <= 1, "class " + c.name + ": lateShare must lie in [0, 1]");
    require(c.aimStretch >= 0, "class " + c.name + ": aimStretch must be 0 or more");
    require(c.window >= Duration::zero(), "class " + c.name + ": window must not be negative");
  }
  for (const TenantSettings& t : s.tenants)
    require(std::isfinite(t.quotaPerSecond) && t.quotaPerSecond >= 0, "tenant " + t.name + ": bad quota");
}

}  // namespace ridgeshift
