// Settings of the [peers] table in the operator's configuration file: the gateways and their addresses.
#pragma once

#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "operator/reader.hpp"

namespace finchstile::peer {

using boost::asio::ip::udp;

struct PeerSettings {
  bool enabled = false;
  std::vector<udp::endpoint> endpoints;  // of all gateways; the list has to be the same on each gateway
  std::uint16_t ownNumber = 0;           // index of this gateway in `endpoints`
  udp::endpoint listenEndpoint;          // own endpoint in the list, unless `listen` is set
  std::string secretFile;
};

// Reads the table into `out` and reports errors to the reader. Relative paths are resolved
// against `folder`.
void readPeerSettings(SettingReader& root, const std::string& folder, PeerSettings& out);

// Parses "10.0.0.4:7946" or "[::1]:7946". Returns nothing for anything else, including port 0.
std::optional<udp::endpoint> parseEndpoint(const std::string& text);

}  // namespace finchstile::peer
