#include "net/config.hpp"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <unordered_set>

#include "base/address.hpp"
#include "policy/settings.hpp"

namespace finchstile {
namespace {

using load_balancing::HostEntry;
using load_balancing::HostPhase;
using nlohmann::json;

[[noreturn]] void fail(const std::string& what) { throw std::runtime_error(what); }

// Walks the settings as the simulator's first message would list them: path by path, list items by number.
template <class F>
void eachLeaf(const json& value, const std::string& path, const F& f) {
  if (value.is_structured()) {
    std::size_t index = 0;
    for (const auto& [key, item] : value.items()) {
      const std::string part = value.is_array() ? std::to_string(index++) : key;
      eachLeaf(item, path.empty() ? part : path + "." + part, f);
    }
  } else if (value.is_string()) {
    f(path, value.get_ref<const std::string&>());
  } else if (!value.is_null()) {
    f(path, value.dump());
  }
}

HostPhase readPhase(const std::string& status) {
  if (status == "active") return HostPhase::active;
  if (status == "leaving") return HostPhase::draining;
  if (status == "left") return HostPhase::removed;
  fail("unknown status '" + status + "' of a host");
}

std::uint64_t readSeed(const std::string& text) {
  std::uint64_t seed = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seed, 16);
  if (text.empty() || error != std::errc{} || end != text.data() + text.size())
    fail("seed '" + text + "' is not hexadecimal");
  return seed;
}

Duration positive(const json& settings, const char* name) {
  const auto ns = settings.at("ceilings").at(name).get<std::int64_t>();
  if (ns <= 0) fail(std::string("settings.ceilings.") + name + " must be above 0");
  return Duration(ns);
}

}  // namespace

tcp::endpoint readEndpoint(std::string_view text) {
  const auto at = parseAddress(text);
  if (!at) fail("'" + std::string(text) + "' is no address and port");
  return {at->first, at->second};
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
  if (!endpoints.is_array()) fail("bad host list: endpoints is no list");  // else {} would empty the fleet
  for (const json& item : endpoints) {
    ListedHost h;
    HostEntry& e = h.entry;
    e.address = item.at("name").get<std::string>();
    e.phase = readPhase(item.at("status").get<std::string>());
    e.zone = item.value("zone", "");
    e.machineType = item.value("type", "");
    e.cell = item.value("group", std::int64_t{0});
    e.startedAt = clock.fromUnix(std::chrono::milliseconds(item.value("since_ms", std::int64_t{0})));
    h.endpoint = readEndpoint(item.at("address").get<std::string>());
    if (e.address.empty()) fail("a host has no name");
    out.hosts.push_back(std::move(h));
  }
  return out;
} catch (const json::exception& bad) {
  fail(std::string("bad host list: ") + bad.what());
}

HostList applyChanges(const HostList& base, HostList&& changes) {
  std::unordered_set<std::string> changed;
  for (const ListedHost& h : changes.hosts) changed.insert(h.entry.address);
  HostList whole{changes.version, true, {}};
  const auto take = [&](const ListedHost& h) {
    if (h.entry.phase != HostPhase::removed) whole.hosts.push_back(h);
  };
  for (const ListedHost& h : base.hosts)
    if (changed.count(h.entry.address) == 0) take(h);
  for (const ListedHost& h : changes.hosts) take(h);
  return whole;
}

HostList parseHostList(std::string_view text, const Clock& clock) {
  const json list = json::parse(text, nullptr, false);
  if (list.is_discarded()) fail("bad host list: not JSON");
  return readHostList(list, clock);
}

GatewayConfig readConfig(std::string_view text, const Clock& clock) try {
  const json all = json::parse(text);
  const json& settings = all.at("settings");
  GatewayConfig c;
  c.name = all.value("name", "gateway");
  c.listen = readEndpoint(all.at("listen").get<std::string>());
  c.discovery = readEndpoint(all.at("discovery").get<std::string>());
  if (const auto ops = all.find("ops"); ops != all.end() && !ops->is_null())
    c.adminEndpoint = readEndpoint(ops->get<std::string>());
  if (const auto limits = all.find("limits"); limits != all.end())
    c.descriptorLimit = limits->value("sockets", c.descriptorLimit);
  eachLeaf(settings, "", [&](const std::string& path, const std::string& value) {
    load_balancing::applySetting(c.settings, path, value);
  });
  load_balancing::completeSettings(c.settings);
  c.settings.seed = readSeed(all.at("seed").get<std::string>());
  load_balancing::validate(c.settings);
  c.connectTimeout = positive(settings, "connectTimeoutNs");
  c.upstreamIdleTimeout = positive(settings, "idleCloseNs");
  if (const auto known = all.find("known"); known != all.end() && !known->is_null())
    c.knownHosts = readHostList(*known, clock);
  return c;
} catch (const json::exception& bad) {
  fail(std::string("bad configuration: ") + bad.what());
} catch (const std::invalid_argument& bad) {
  fail(std::string("bad configuration: ") + bad.what());
}

GatewayConfig loadConfig(const std::string& path, const Clock& clock) {
  std::ifstream file(path, std::ios::binary);
  if (!file) fail("cannot read the configuration '" + path + "'");
  const std::string text{std::istreambuf_iterator<char>(file), {}};
  return readConfig(text, clock);
}

}  // namespace finchstile
