#include "net/config.hpp"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <unordered_set>

#include "base/address.hpp"
#include "policy/settings.hpp"

namespace finchstile {
namespace {

using load_balancing::HostEntry;
using load_balancing::HostPhase;
using nlohmann::json;
using Code = ConfigError::Code;

constexpr int kSeedBase = 16;

// Calls `visit(path, text)` for each value of the settings. Paths have the form of the simulator's first
// message: keys joined by dots, list items by index.
template <class Visitor>
void forEachLeaf(const json& value, const std::string& path, const Visitor& visit) {
  if (value.is_structured()) {
    std::size_t index = 0;
    for (const auto& [key, item] : value.items()) {
      std::string itemPath = path;
      if (!itemPath.empty()) itemPath += '.';
      itemPath += value.is_array() ? std::to_string(index++) : key;
      forEachLeaf(item, itemPath, visit);
    }
  } else if (value.is_string()) {
    visit(path, value.get_ref<const std::string&>());
  } else if (!value.is_null()) {
    visit(path, value.dump());
  }
}

// Parses the platform's name of a host phase.
HostPhase readPhase(const std::string& status) {
  if (status == "active") return HostPhase::active;
  if (status == "leaving") return HostPhase::draining;
  if (status == "left") return HostPhase::removed;
  throw ConfigError(Code::invalidValue, "unknown status '" + status + "' of a host");
}

const char* phaseName(HostPhase phase) {
  switch (phase) {
    case HostPhase::draining: return "leaving";
    case HostPhase::removed: return "left";
    default: return "active";
  }
}

std::uint64_t readSeed(const std::string& text) {
  std::uint64_t seed = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seed, kSeedBase);
  if (text.empty() || error != std::errc{} || end != text.data() + text.size())
    throw ConfigError(Code::invalidValue, "seed '" + text + "' is not hexadecimal");
  return seed;
}

Duration readPositiveNanoseconds(const json& settings, const char* name) {
  const auto nanoseconds = settings.at("ceilings").at(name).get<std::int64_t>();
  if (nanoseconds <= 0)
    throw ConfigError(Code::invalidValue, std::string("settings.ceilings.") + name + " must be above 0");
  return Duration(nanoseconds);
}

ListedHost readHost(const json& item, const Clock& clock) {
  ListedHost host;
  HostEntry& entry = host.entry;
  entry.address = item.at("name").get<std::string>();
  entry.phase = readPhase(item.at("status").get<std::string>());
  entry.zone = item.value("zone", "");
  entry.machineType = item.value("type", "");
  entry.cell = item.value("group", std::int64_t{0});
  entry.startedAt = clock.fromUnix(std::chrono::milliseconds(item.value("since_ms", std::int64_t{0})));
  host.endpoint = readEndpoint(item.at("address").get<std::string>());
  if (entry.address.empty()) throw ConfigError(Code::invalidValue, "a host has no name");
  return host;
}

load_balancing::Settings readSettings(const json& document) {
  load_balancing::Settings settings;
  forEachLeaf(document.at("settings"), "", [&](const std::string& path, const std::string& value) {
    load_balancing::applySetting(settings, path, value);
  });
  load_balancing::completeSettings(settings);
  settings.seed = readSeed(document.at("seed").get<std::string>());
  load_balancing::validate(settings);
  return settings;
}

}  // namespace

tcp::endpoint readEndpoint(std::string_view text) {
  const auto address = parseAddress(text);
  if (!address) throw ConfigError(Code::invalidValue, "'" + std::string(text) + "' is no address and port");
  return {address->first, address->second};
}

Duration longestClientTimeout(const load_balancing::Settings& settings) {
  Duration longest{};
  for (const auto& c : settings.classes) longest = std::max(longest, c.clientTimeout);
  return longest;
}

HostList readHostList(const json& list, const Clock& clock) try {
  HostList out;
  out.version = list.at("index").get<std::int64_t>();
  out.complete = list.at("snapshot").get<bool>();
  const json& endpoints = list.at("endpoints");
  // An empty object would be read as an empty list and remove all hosts.
  if (!endpoints.is_array())
    throw ConfigError(Code::malformedDocument, "bad host list: endpoints is no list");
  for (const json& item : endpoints) out.hosts.push_back(readHost(item, clock));
  return out;
} catch (const json::exception& bad) {
  throw ConfigError(Code::malformedDocument, std::string("bad host list: ") + bad.what());
}

HostList parseHostList(std::string_view text, const Clock& clock) {
  const json list = json::parse(text, nullptr, false);
  if (list.is_discarded()) throw ConfigError(Code::malformedDocument, "bad host list: not JSON");
  return readHostList(list, clock);
}

std::string hostListText(const HostList& list, const Clock& clock) {
  json endpoints = json::array();
  for (const auto& [entry, endpoint] : list.hosts) {
    std::chrono::milliseconds startedAt{};  // 0: long ago
    if (entry.startedAt != load_balancing::Time{})
      startedAt = std::chrono::duration_cast<std::chrono::milliseconds>(clock.unixAt(entry.startedAt));
    endpoints.push_back({{"name", entry.address},
                         {"address", addressText(endpoint)},
                         {"zone", entry.zone},
                         {"type", entry.machineType},
                         {"group", entry.cell},
                         {"status", phaseName(entry.phase)},
                         {"since_ms", startedAt.count()}});
  }
  const json document = {{"index", list.version}, {"snapshot", list.complete}, {"endpoints", endpoints}};
  return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

HostList applyChanges(const HostList& base, HostList&& changes) {
  std::unordered_set<std::string> changed;
  for (const ListedHost& host : changes.hosts) changed.insert(host.entry.address);
  HostList complete{changes.version, true, {}};
  const auto addUnlessRemoved = [&](const ListedHost& host) {
    if (host.entry.phase != HostPhase::removed) complete.hosts.push_back(host);
  };
  for (const ListedHost& host : base.hosts)
    if (changed.count(host.entry.address) == 0) addUnlessRemoved(host);
  for (const ListedHost& host : changes.hosts) addUnlessRemoved(host);
  return complete;
}

GatewayConfig readConfig(std::string_view text, const Clock& clock) try {
  const json document = json::parse(text);
  const json& settings = document.at("settings");
  GatewayConfig config;
  config.name = document.value("name", "gateway");
  config.listen = readEndpoint(document.at("listen").get<std::string>());
  config.discovery = readEndpoint(document.at("discovery").get<std::string>());
  if (const auto admin = document.find("ops"); admin != document.end() && !admin->is_null())
    config.adminEndpoint = readEndpoint(admin->get<std::string>());
  if (const auto limits = document.find("limits"); limits != document.end()) {
    config.descriptorLimit = limits->value("sockets", config.descriptorLimit);
    config.memoryLimit = limits->value("memory_mb", std::size_t{0}) * kBytesPerMegabyte;
  }
  config.settings = readSettings(document);
  config.connectTimeout = readPositiveNanoseconds(settings, "connectTimeoutNs");
  config.upstreamIdleTimeout = readPositiveNanoseconds(settings, "idleCloseNs");
  if (const auto known = document.find("known"); known != document.end() && !known->is_null())
    config.knownHosts = readHostList(*known, clock);
  return config;
} catch (const json::exception& bad) {
  throw ConfigError(Code::malformedDocument, std::string("bad configuration: ") + bad.what());
} catch (const std::invalid_argument& bad) {
  throw ConfigError(Code::invalidValue, std::string("bad configuration: ") + bad.what());
}

GatewayConfig loadConfig(const std::string& path, const Clock& clock) {
  std::ifstream file(path, std::ios::binary);
  if (!file) throw ConfigError(Code::unreadableFile, "cannot read the configuration '" + path + "'");
  const std::string text{std::istreambuf_iterator<char>(file), {}};
  return readConfig(text, clock);
}

}  // namespace finchstile
