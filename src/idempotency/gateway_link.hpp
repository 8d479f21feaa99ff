// How the idempotency filter reaches other gateways.
#pragma once

#include <optional>
#include <string_view>

#include "idempotency/ownership_ring.hpp"

namespace finchstile::idempotency {

class GatewayLink {
 public:
  virtual ~GatewayLink() = default;

  // Sends a datagram, which may be lost.
  virtual void send(GatewayNumber to, std::string_view payload) = 0;

  // Has IdempotencyFilter::onTimer() called at that time, in place of any earlier request; not at all without
  // a time.
  virtual void scheduleTimer(std::optional<Time> at) = 0;
};

}  // namespace finchstile::idempotency
