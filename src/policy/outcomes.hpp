// What an outcome says of the host. Nothing is decided here.
#pragma once

#include "finchstile/load_balancer.hpp"

namespace finchstile::load_balancing {

// Whether the outcome tells anything of how well the host works. What a client, the proxy or the request
// itself ended does not.
constexpr bool saysSomethingOfHost(Outcome outcome) {
  return outcome != Outcome::cancelled && outcome != Outcome::notSent && outcome != Outcome::invalidRequest;
}

}  // namespace finchstile::load_balancing
