// Which hosts a gateway of a large bank keeps to: deterministic subsets. No I/O, and nothing is drawn: the
// same names and numbers give the same order at every start, so that a gateway that comes back finds the
// hosts of before. See docs/design/fleet.md for what else was weighed.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace finchstile::load_balancing {

// The order in which gateway `number` of `gateways` prefers the hosts, as places in `hashes`; a hash is the
// same at every gateway. Gateways come in rounds, each with an order of its own by rendezvous (Thaler and
// Ravishankar 1998), in which they begin evenly apart; so each host is among the first `width` of nearly as
// many gateways as any other, and those of a host that fails turn to many others. A host that comes or goes
// moves the beginnings by one place at most. `number` past `gateways` and a `width` of 0 do no harm.
std::vector<std::size_t> subsetOrder(const std::vector<std::uint64_t>& hashes, std::uint32_t number,
                                     std::uint32_t gateways, std::size_t width);

}  // namespace finchstile::load_balancing
