// The [peers] table of the operator's file: the other gateways, and how they are reached.
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
  std::vector<udp::endpoint> endpoints;  // of all gateways: each gateway has the same list in the same order
  std::uint16_t ownNumber = 0;           // this gateway's index in it
  udp::endpoint listenEndpoint;          // its own endpoint of the list unless `listen` is set
  std::string secretFile;
};

// Reads the table into `out` and reports errors to the reader. Relative paths begin at `folder`.
void readPeerSettings(SettingReader& root, const std::string& folder, PeerSettings& out);

// "10.0.0.4:7946" or "[::1]:7946", without port 0; empty for anything else.
std::optional<udp::endpoint> parseEndpoint(const std::string& text);

}  // namespace finchstile::peer
