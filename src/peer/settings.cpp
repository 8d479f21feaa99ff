#include "peer/settings.hpp"

#include <algorithm>
#include <unordered_map>

#include "base/address.hpp"

namespace finchstile::peer {
namespace {

constexpr std::size_t kMaxPeers = 4096;
constexpr std::size_t kMaxAddressBytes = 64;
constexpr std::size_t kMaxPathBytes = 1024;

// Returns the addresses as in the file. Invalid ones get an empty endpoint in `out`.
std::vector<std::string> readAddresses(SettingReader& reader, PeerSettings& out) {
  std::vector<std::string> addresses;
  if (!reader.texts("addresses", addresses, kMaxPeers, kMaxAddressBytes)) return addresses;
  std::unordered_map<std::string, int> occurrences;
  for (const std::string& address : addresses) {
    const auto endpoint = parseEndpoint(address);
    if (!endpoint) reader.error("addresses", "must be IP:PORT, and one is \"" + address + "\"");
    if (++occurrences[address] == 2)
      reader.error("addresses", "must differ, and \"" + address + "\" stands there twice");
    out.endpoints.push_back(endpoint.value_or(udp::endpoint{}));
  }
  return addresses;
}

void readOwn(SettingReader& reader, const std::vector<std::string>& addresses, PeerSettings& out) {
  std::string own;
  if (!reader.text("own", own, kMaxAddressBytes)) return;
  const auto at = std::find(addresses.begin(), addresses.end(), own);
  if (at == addresses.end()) {
    reader.error("own", "must be one of addresses, and is \"" + own + "\"");
    return;
  }
  out.ownNumber = static_cast<std::uint16_t>(at - addresses.begin());
  out.listenEndpoint = out.endpoints[out.ownNumber];
}

void readListen(SettingReader& reader, PeerSettings& out) {
  std::string listen;
  if (!reader.text("listen", listen, kMaxAddressBytes)) return;
  if (const auto endpoint = parseEndpoint(listen)) out.listenEndpoint = *endpoint;
  else reader.error("listen", "must be IP:PORT, and is \"" + listen + "\"");
}

}  // namespace

std::optional<udp::endpoint> parseEndpoint(const std::string& text) {
  const auto address = parseListenAddress(text);
  if (!address) return std::nullopt;
  return udp::endpoint(address->first, address->second);
}

void readPeerSettings(SettingReader& root, const std::string& folder, PeerSettings& out) {
  root.table("peers", [&](SettingReader& reader) {
    reader.boolean("enabled", out.enabled);
    reader.require("addresses",
                   "where each gateway hears the others, as in [\"10.0.0.4:7946\", \"10.0.0.5:7946\"]");
    reader.require("own", "the one of addresses that is this gateway's");
    reader.require("secret_file",
                   "32 hexadecimal digits that all gateways share, readable by their user alone");
    const std::vector<std::string> addresses = readAddresses(reader, out);
    readOwn(reader, addresses, out);
    readListen(reader, out);
    if (reader.text("secret_file", out.secretFile, kMaxPathBytes))
      out.secretFile = resolvePath(folder, out.secretFile);
  });
}

}  // namespace finchstile::peer
