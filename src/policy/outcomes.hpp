// Classification of outcomes.
#pragma once

#include "finchstile/load_balancer.hpp"

namespace finchstile::load_balancing {

// Whether the outcome is evidence of the host's health. Attempts ended by the client, by the proxy or because
// of the request itself are not.
constexpr bool reflectsHostHealth(Outcome outcome) {
  return outcome != Outcome::cancelled && outcome != Outcome::notSent && outcome != Outcome::invalidRequest;
}

}  // namespace finchstile::load_balancing
