// Reads the gateway's configuration and the endpoint lists of discovery from the platform's JSON.
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
#include "net/memory_account.hpp"

namespace finchstile {

using boost::asio::ip::tcp;

/// A configuration, endpoint list or address that can't be used. `what` gives the reason in one line.
class ConfigError : public std::runtime_error {
 public:
  enum class Code {
    unreadableFile,
    malformedDocument,  ///< Not JSON, or a key is missing or has a value of the wrong type.
    invalidValue        ///< A value outside the permitted range or set.
  };
  ConfigError(Code code, const std::string& what) : std::runtime_error(what), code_(code) {}
  Code code() const { return code_; }

 private:
  Code code_;
};

/// Unit of `limits.memory_mb`.
inline constexpr std::size_t kBytesPerMegabyte = 1'000'000;

/// One host of an endpoint list.
struct ListedHost {
  /// Its `address` holds the name of the host, which is the same at all gateways.
  load_balancing::HostEntry entry;
  tcp::endpoint endpoint;
};

/// An endpoint list of discovery, or the changes to one.
struct HostList {
  std::int64_t version = -1;  ///< Below 0 if the list has no version.
  bool complete = false;      ///< False if the list has only the hosts that changed.
  std::vector<ListedHost> hosts;
};

/// The configuration of a gateway process.
struct GatewayConfig {
  std::string name;
  tcp::endpoint listen, discovery;
  std::optional<tcp::endpoint> adminEndpoint;  ///< If not set, the gateway has no admin interface.
  std::size_t descriptorLimit = 1024;          ///< Maximum number of descriptors of the process.
  std::size_t memoryLimit = 0;                 ///< Of the process, in bytes; 0 if there is none.
  load_balancing::Settings settings;
  load_balancing::Duration connectTimeout{}, upstreamIdleTimeout{};
  HostList knownHosts;

  // The following are not part of the platform's configuration; the program sets them.
  /// Descriptor of a socket that already listens at `listen`; below 0 if there is none.
  int inheritedListenerDescriptor = -1;
  /// Part of `descriptorLimit` that is reserved for components beside the gateway.
  std::size_t reservedDescriptors = 0;
  /// Of the process, with `memoryLimit`; must outlive the gateway. Null if it is not measured.
  MemoryAccount* memory = nullptr;
  GatewayOptions options;  ///< From the operator's configuration file.
};

/// Parses an address and a port, such as "10.0.0.4:8443". Throws ConfigError.
tcp::endpoint readEndpoint(std::string_view text);

/// Returns the longest client timeout of all classes.
load_balancing::Duration longestClientTimeout(const load_balancing::Settings& settings);

/// Throws ConfigError.
HostList readHostList(const nlohmann::json& list, const Clock& clock);
/// As `readHostList`, from JSON text.
HostList parseHostList(std::string_view text, const Clock& clock);
/// The inverse of `parseHostList`.
std::string hostListText(const HostList& list, const Clock& clock);
/// Returns the complete list that results from applying `changes` to `base`. Removed hosts are left out.
HostList applyChanges(const HostList& base, HostList&& changes);

/// Throws ConfigError.
GatewayConfig readConfig(std::string_view text, const Clock& clock);
/// As `readConfig`, from a file.
GatewayConfig loadConfig(const std::string& path, const Clock& clock);

}  // namespace finchstile
