// Messages between load balancers as bytes. Nothing is decided here.
//
// A message is 5 to 14 bytes: version and kind in one byte, the host's hash in 4 bytes little-endian, and by
// kind an 8-byte correlation id, an outcome in one byte, and a value in twelfths in one byte.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "finchstile/load_balancer.hpp"

namespace finchstile::load_balancing::peer {

// The numbers stand on the wire.
enum class MessageKind : std::uint8_t {
  recommendationRequest = 1,  // which host of this one's group is least loaded?
  recommendation = 2,         // this one
  attemptStarted = 3,         // an attempt went to the host without a recommendation
  attemptEnded = 4
};

struct Message {
  MessageKind kind = MessageKind::recommendationRequest;
  std::uint32_t hostHash = 0;         // Host::wireHash()
  std::uint64_t correlationId = 0;    // recommendationRequest; a recommendation returns it
  Outcome outcome = Outcome::served;  // attemptEnded
  double value = 0;  // recommendation: requests held; attemptEnded: relative latency. 0 to 21, in twelfths
};

std::string encode(const Message& message);

// Writes to `message`, in part even if it returns false: for bytes that no version of this code sends.
bool decode(std::string_view bytes, Message& message);

}  // namespace finchstile::load_balancing::peer
