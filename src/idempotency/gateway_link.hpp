// The interface through which the idempotency filter sends messages to other gateways and schedules its
// timer.
#pragma once

#include <optional>
#include <string_view>

#include "idempotency/owner_selector.hpp"

namespace finchstile::idempotency {

class GatewayLink {
 public:
  virtual ~GatewayLink() = default;

  // Sends a datagram, which may be lost.
  virtual void send(GatewayNumber to, std::string_view payload) = 0;

  // Schedules IdempotencyFilter::onTimer() for that time, replacing any earlier schedule; cancels it without
  // a time.
  virtual void scheduleTimer(std::optional<Time> at) = 0;
};

}  // namespace finchstile::idempotency
