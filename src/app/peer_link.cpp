#include "app/peer_link.hpp"

#include "peer/secret.hpp"

namespace finchstile {
namespace {

SipKey derive(const SipKey& secret, std::string_view purpose) {
  const SipHash128 hash = SipHasher(secret).add(purpose).finalize();
  return {hash.low, hash.high};
}

peer::Channel::Settings channelSettings(const Clock& clock, const peer::PeerSettings& peers,
                                        const SipKey& secret) {
  peer::Channel::Settings settings;
  settings.listenEndpoint = peers.listenEndpoint;
  settings.peerEndpoints = peers.endpoints;
  settings.ownNumber = peers.ownNumber;
  settings.key = derive(secret, "datagrams");
  settings.epoch = static_cast<std::uint64_t>(clock.unixAt(clock.now()) / std::chrono::milliseconds(1));
  return settings;
}

}  // namespace

PeerLink::PeerLink(boost::asio::io_context& io, const Clock& clock, const peer::PeerSettings& settings)
    : secret_(peer::loadSecret(settings.secretFile)),
      ownNumber_(settings.ownNumber),
      gatewayCount_(static_cast<peer::GatewayNumber>(settings.endpoints.size())),
      channel_(io, channelSettings(clock, settings, secret_)) {}

SipKey PeerLink::deriveKey(std::string_view purpose) const { return derive(secret_, purpose); }

// The field names are part of the operators' documentation.
std::string PeerLink::summary() const {
  using peer::DatagramResult;
  const peer::ChannelStatistics& statistics = channel_.statistics();
  std::string line = "peers sent=" + std::to_string(statistics.sent) +
                     " unsent=" + std::to_string(statistics.sendFailures) +
                     " taken=" + std::to_string(statistics.delivered);
  const auto addResult = [&](const char* name, DatagramResult result) {
    const std::uint64_t count = statistics.byResult[static_cast<std::size_t>(result)];
    line += std::string(" ") + name + "=" + std::to_string(count);
  };
  addResult("malformed", DatagramResult::malformed);
  addResult("version", DatagramResult::unsupportedVersion);
  addResult("forged", DatagramResult::invalidSignature);
  addResult("stranger", DatagramResult::unknownSender);
  addResult("replayed", DatagramResult::replayed);
  return line;
}

}  // namespace finchstile
