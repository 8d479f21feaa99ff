// The gateway's configuration and the lists of discovery, from JSON to the module's types.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "finchstile/load_balancer.hpp"
#include "net/clock.hpp"
#include "net/gateway_options.hpp"

namespace finchstile {

using boost::asio::ip::tcp;

struct ListedHost {
  load_balancing::HostEntry entry;  // `address` holds the name: the same at every gateway
  tcp::endpoint endpoint;
};

struct HostList {
  std::int64_t version = -1;  // below 0: none was given
  bool complete = false;
  std::vector<ListedHost> hosts;
};

struct GatewayConfig {
  std::string name;
  tcp::endpoint listen, discovery;
  std::optional<tcp::endpoint> adminEndpoint;  // where operators call; none: nowhere
  int inheritedListenerDescriptor =
      -1;  // descriptor that listens at `listen` already; below 0: none. Not in the file
  std::size_t descriptorLimit = 1024;  // descriptors that the process may hold
  // Of these, so many are for what runs beside the gateway. Not in the file.
  std::size_t reservedDescriptors = 0;
  load_balancing::Settings settings;
  load_balancing::Duration connectTimeout{}, upstreamIdleTimeout{};
  GatewayOptions options;  // from the operator's file; the configuration has none of it
  HostList knownHosts;
};

tcp::endpoint readEndpoint(std::string_view text);  // "10.0.0.4:8443"
load_balancing::Duration longestClientTimeout(
    const load_balancing::Settings& settings);  // no client waits for longer

// These throw std::runtime_error with one line that says what is wrong.
HostList readHostList(const nlohmann::json& list, const Clock& clock);
// The whole list that `changes` make of `base`. Hosts that have left are in neither.
HostList applyChanges(const HostList& base, HostList&& changes);
HostList parseHostList(std::string_view text, const Clock& clock);
GatewayConfig readConfig(std::string_view text, const Clock& clock);
GatewayConfig loadConfig(const std::string& path, const Clock& clock);

}  // namespace finchstile
