// Decides which hosts a gateway of a large bank keeps to (deterministic subsetting), from the hashes of the
// hosts and the gateway's place in the bank. Nothing is drawn: the names and numbers give one order at every
// start, so a gateway that comes back finds the hosts of before. Alternatives are weighed in
// docs/design/fleet.md.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace finchstile::load_balancing {

// The order in which a gateway prefers the hosts, as indices into `hashes`; a hash is equal at every gateway.
// The first `subsetSize` hosts are its subset.
//
// Gateways come in rounds. Each round has an order of its own by rendezvous hashing (Thaler and Ravishankar
// 1998), in which its gateways start evenly apart. So each host is in nearly as many subsets as any other,
// and the gateways of a host that fails turn to many others. A host that comes or goes moves the starts by
// one place at most. A `gatewayIndex` beyond `gatewayCount` and a `subsetSize` of 0 do no harm.
std::vector<std::size_t> subsetOrder(const std::vector<std::uint64_t>& hashes, std::uint32_t gatewayIndex,
                                     std::uint32_t gatewayCount, std::size_t subsetSize);

}  // namespace finchstile::load_balancing
