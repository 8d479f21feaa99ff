#include "app/peer_link.hpp"

namespace finchstile {
namespace {

SipKey derived(const SipKey& secret, std::string_view use) {
  const SipHash128 h = SipHasher(secret).add(use).end();
  return {h.low, h.high};
}

peer::Channel::Settings channelSettings(const Clock& clock, const peer::PeerSettings& peers,
                                        const SipKey& secret) {
  peer::Channel::Settings s;
  s.listen = peers.listen;
  s.peers = peers.addresses;
  s.own = peers.own;
  s.key = derived(secret, "datagrams");
  s.epoch = static_cast<std::uint64_t>(clock.unixAt(clock.now()) / std::chrono::milliseconds(1));
  return s;
}

}  // namespace

PeerLink::PeerLink(boost::asio::io_context& io, const Clock& clock, const peer::PeerSettings& settings)
    : secret_(peer::loadSecret(settings.secretFile)),
      own_(settings.own),
      gateways_(static_cast<peer::Number>(settings.addresses.size())),
      channel_(io, channelSettings(clock, settings, secret_)) {}

SipKey PeerLink::keyFor(std::string_view use) const { return derived(secret_, use); }

std::string PeerLink::summary() const {
  const peer::ChannelCounts& c = channel_.counts();
  const auto of = [&](const char* name, peer::Verdict v) {
    return std::string(" ") + name + "=" + std::to_string(c.byVerdict[static_cast<std::size_t>(v)]);
  };
  using V = peer::Verdict;
  return "peers sent=" + std::to_string(c.sent) + " unsent=" + std::to_string(c.unsent) +
         " taken=" + std::to_string(c.taken) + of("malformed", V::malformed) + of("version", V::version) +
         of("forged", V::forged) + of("stranger", V::stranger) + of("replayed", V::replayed);
}

}  // namespace finchstile
