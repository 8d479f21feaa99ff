// Decodes any bytes as a message between gateways about key ownership, and passes them to an owner. A valid
// message has exactly one encoding. The size of outgoing messages and the number of owned keys are bounded.
#include <cstdlib>

#include "fuzz/target.hpp"
#include "idempotency/key_ownership.hpp"

using namespace finchstile;
using namespace finchstile::idempotency;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view bytes = asText(data, size);
  const auto m = decodeOwnerMessage(bytes);
  if (m && encode(*m) != bytes) std::abort();
  static OwnershipSettings settings;
  settings.gateways = 3;
  settings.maxEntries = 64;
  settings.retention = std::chrono::seconds(10);
  static KeyOwnership ownership(settings, SipKey{1, 2}, std::chrono::hours(24));
  static finchstile::load_balancing::Time now = std::chrono::hours(24);
  now += std::chrono::milliseconds(20);
  if (size % 5 == 0) ownership.claimKey(now, size, {{size, 1}, 2}, true);
  ownership.onMessage(now, static_cast<GatewayNumber>(size % 3), 1, bytes);
  ownership.onTimer(now);
  for (const auto& out : ownership.takeOutgoing())
    if (out.payload.size() > 218) std::abort();
  ownership.takeDecisions();
  if (ownership.ownedKeys() > 64) std::abort();
  return 0;
}
