// Decodes any bytes as a gossip message, a snapshot chunk and a snapshot request. Valid input must have an
// encoding that decodes to the same message.
#include <cstdlib>

#include "fuzz/target.hpp"
#include "membership/gossip.hpp"
#include "membership/snapshot_message.hpp"

using namespace finchstile::membership;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view bytes = asText(data, size);
  if (const auto updates = decodeGossipMessage(bytes)) {
    const auto again = encodeGossipMessage(*updates);
    if (!again || decodeGossipMessage(*again) != updates) std::abort();
  }
  if (const auto chunk = decodeChunk(bytes)) {
    std::size_t hosts = 0;
    for (const std::string& c : encodeSnapshot(chunk->records, chunk->nonce)) {
      const auto again = decodeChunk(c);
      if (!again || again->nonce != chunk->nonce) std::abort();
      hosts += again->records.hosts.size();
    }
    if (hosts != chunk->records.hosts.size()) std::abort();
  }
  if (const auto nonce = decodeSnapshotRequest(bytes); nonce && encodeSnapshotRequest(*nonce) != bytes)
    std::abort();
  Gossip gossip({}, 1, std::chrono::seconds(1), [](HostKey) { return finchstile::load_balancing::Time{}; });
  gossip.onMessage(1, bytes, std::chrono::seconds(1));
  return 0;
}
