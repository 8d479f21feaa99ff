// Decodes any bytes as a datagram of another gateway. A valid datagram has exactly one encoding.
#include <cstdlib>

#include "fuzz/target.hpp"
#include "peer/datagram.hpp"

using namespace finchstile;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const SipKey key{1, 2};
  peer::Datagram d;
  const auto verdict = peer::decode(asText(data, size), key, d);
  if (verdict == peer::DatagramResult::valid && peer::encode(d, key) != asText(data, size)) std::abort();
  // Random input hardly ever has a valid signature, so a signed datagram with the input as payload is decoded
  // too.
  d.payload = asText(data, size).substr(0, peer::kMaxPayloadBytes);
  const auto whole = peer::encode(d, key);
  peer::Datagram back;
  if (!whole || peer::decode(*whole, key, back) != peer::DatagramResult::valid || back.payload != d.payload)
    std::abort();
  return 0;
}
