// The gateway's configuration and the lists of discovery, from JSON to the module's types.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "net/clock.hpp"
#include "ridgeshift/ridgeshift.hpp"

namespace finchstile {

using boost::asio::ip::tcp;

struct ListedHost {
  ridgeshift::HostEntry entry;  // `address` holds the name: the same at every gateway
  tcp::endpoint endpoint;
};

struct HostList {
  std::int64_t index = -1;  // below 0: none was given
  bool whole = false;
  std::vector<ListedHost> hosts;
};

struct Config {
  std::string name;
  tcp::endpoint listen, discovery;
  std::size_t sockets = 1024;  // descriptors that the process may hold
  ridgeshift::Settings settings;
  ridgeshift::Duration connectTimeout{}, idleClose{};
  // The least time for a connection's end to show before a last byte: what a busy machine needs to run the
  // other side, where the network needs none.
  ridgeshift::Duration proofLeast = std::chrono::milliseconds(1);
  HostList known;
};

tcp::endpoint readEndpoint(std::string_view text);  // "10.0.0.4:8443"

// These throw std::runtime_error with one line that says what is wrong.
HostList readHostList(const nlohmann::json& list, const Clock& clock);
HostList parseHostList(std::string_view text, const Clock& clock);
Config readConfig(std::string_view text, const Clock& clock);
Config loadConfig(const std::string& path, const Clock& clock);

}  // namespace finchstile
