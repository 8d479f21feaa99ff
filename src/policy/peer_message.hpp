// Encoding of the messages between load balancers.
//
// A message has 5 to 14 bytes: version and kind in one byte, the host's hash in 4 bytes (little-endian) and,
// depending on the kind, a correlation id in 8 bytes (little-endian), an outcome in one byte, and a value in
// units of 1/12 in one byte.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "finchstile/load_balancer.hpp"

namespace finchstile::load_balancing::peer {

// The numeric values are used on the wire.
enum class MessageKind : std::uint8_t {
  recommendationRequest = 1,  // requests the least loaded host of the given host's group
  recommendation = 2,         // names that host
  attemptStarted = 3,         // an attempt was sent to the host without a recommendation
  attemptEnded = 4
};

struct Message {
  MessageKind kind = MessageKind::recommendationRequest;
  std::uint32_t hostHash = 0;         // Host::wireHash()
  std::uint64_t correlationId = 0;    // recommendationRequest; copied to the recommendation
  Outcome outcome = Outcome::served;  // attemptEnded
  double value = 0;  // recommendation: requests held; attemptEnded: relative latency. 0 to 21.25
};

std::string encode(const Message& message);

// Returns false for bytes that are not a message of this version. `message` may be partly written then.
bool decode(std::string_view bytes, Message& message);

}  // namespace finchstile::load_balancing::peer
