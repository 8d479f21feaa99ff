// Any bytes as a message about keys, and as what comes to an owner: one form for each, bounded answers.
#include <cstdlib>

#include "fuzz/target.hpp"
#include "idempotency/owners.hpp"

using namespace finchstile;
using namespace finchstile::idempotency;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view bytes = asText(data, size);
  const auto m = decodeOwnerMessage(bytes);
  if (m && encode(*m) != bytes) std::abort();
  static OwnerSettings settings;
  settings.gateways = 3;
  settings.entries = 64;
  settings.keep = std::chrono::seconds(10);
  static Owners owners(settings, SipKey{1, 2}, std::chrono::hours(24));
  static finchstile::load_balancing::Time now = std::chrono::hours(24);
  now += std::chrono::milliseconds(20);
  if (size % 5 == 0) owners.claim(now, size, {{size, 1}, 2}, true);
  owners.receive(now, static_cast<GatewayNumber>(size % 3), 1, bytes);
  owners.tick(now);
  for (const auto& out : owners.takeOutgoing())
    if (out.payload.size() > 218) std::abort();
  owners.takeDecisions();
  if (owners.held() > 64) std::abort();
  return 0;
}
