// Rumours and snapshots of other gateways: whatever comes, what is read can be written and reads the same
// again.
#include <cstdlib>

#include "fuzz/target.hpp"
#include "membership/gossip.hpp"
#include "membership/snapshot.hpp"

using namespace finchstile::membership;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view bytes = asText(data, size);
  if (const auto rumours = decodeRumours(bytes)) {
    const auto again = encodeRumours(*rumours);
    if (!again || decodeRumours(*again) != rumours) std::abort();
  }
  if (const auto chunk = decodeChunk(bytes)) {
    std::size_t hosts = 0;
    for (const std::string& c : encodeSnapshot(chunk->part, chunk->nonce)) {
      const auto again = decodeChunk(c);
      if (!again || again->nonce != chunk->nonce) std::abort();
      hosts += again->part.hosts.size();
    }
    if (hosts != chunk->part.hosts.size()) std::abort();
  }
  if (const auto nonce = decodeAsk(bytes); nonce && encodeAsk(*nonce) != bytes) std::abort();
  Gossip gossip({}, 1, std::chrono::seconds(1), [](HostKey) { return finchstile::load_balancing::Time{}; });
  gossip.receive(1, bytes, std::chrono::seconds(1));
  return 0;
}
