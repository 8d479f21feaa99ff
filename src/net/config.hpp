// The gateway's configuration and the endpoint lists of discovery, read from the platform's JSON.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "finchstile/load_balancer.hpp"
#include "net/clock.hpp"
#include "net/gateway_options.hpp"

namespace finchstile {

using boost::asio::ip::tcp;

/// A configuration, an endpoint list or an address that can't be used. `what` says why in one line.
class ConfigError : public std::runtime_error {
 public:
  enum class Code {
    unreadableFile,
    malformedDocument,  ///< Not JSON, or a key is missing or has a value of the wrong type.
    invalidValue        ///< A value that makes no sense.
  };
  ConfigError(Code code, const std::string& what) : std::runtime_error(what), code_(code) {}
  Code code() const { return code_; }

 private:
  Code code_;
};

struct ListedHost {
  load_balancing::HostEntry
      entry;  ///< Its `address` holds the host's name, which all gateways have in common.
  tcp::endpoint endpoint;
};

struct HostList {
  std::int64_t version = -1;  ///< Below 0: none was given.
  bool complete = false;      ///< Else only the hosts that have changed.
  std::vector<ListedHost> hosts;
};

struct GatewayConfig {
  std::string name;
  tcp::endpoint listen, discovery;
  std::optional<tcp::endpoint> adminEndpoint;  ///< None: operators can't call this gateway.
  std::size_t descriptorLimit = 1024;          ///< Descriptors that the process may hold.
  load_balancing::Settings settings;
  load_balancing::Duration connectTimeout{}, upstreamIdleTimeout{};
  HostList knownHosts;

  // Not in the platform's configuration; the program fills these in.
  /// A descriptor that listens at `listen` already; below 0: none.
  int inheritedListenerDescriptor = -1;
  /// Of `descriptorLimit`, for what runs beside the gateway.
  std::size_t reservedDescriptors = 0;
  GatewayOptions options;  ///< From the operator's file.
};

/// Reads an address and a port, as "10.0.0.4:8443". Throws ConfigError.
tcp::endpoint readEndpoint(std::string_view text);

/// The longest time for which a client of any class waits.
load_balancing::Duration longestClientTimeout(const load_balancing::Settings& settings);

/// Throws ConfigError.
HostList readHostList(const nlohmann::json& list, const Clock& clock);
/// As `readHostList`, from JSON text.
HostList parseHostList(std::string_view text, const Clock& clock);
/// The complete list that `changes` make of `base`. Removed hosts are in neither.
HostList applyChanges(const HostList& base, HostList&& changes);

/// Throws ConfigError.
GatewayConfig readConfig(std::string_view text, const Clock& clock);
/// As `readConfig`, from a file.
GatewayConfig loadConfig(const std::string& path, const Clock& clock);

}  // namespace finchstile
