// Deterministic subsetting: selects the hosts that a gateway of a large cluster uses, from the hashes of the
// hosts and the gateway's index in the cluster. No randomness is involved, so a restarted gateway uses the
// same hosts as before. docs/design/fleet.md compares alternatives.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace finchstile::load_balancing {

// Returns the order in which a gateway prefers the hosts, as indices into `hashes`, which must be the same at
// every gateway. The first `subsetSize` hosts are its subset.
//
// Gateways are divided into rounds. Each round has its own order of the hosts by rendezvous hashing (Thaler
// and Ravishankar 1998), in which its gateways start at evenly spaced positions. So every host is in almost
// the same number of subsets, and the gateways that used a failed host spread over many others. Adding or
// removing a host moves the start positions by at most one place. A `gatewayIndex` beyond `gatewayCount` and
// a `subsetSize` of 0 are harmless.
std::vector<std::size_t> subsetOrder(const std::vector<std::uint64_t>& hashes, std::uint32_t gatewayIndex,
                                     std::uint32_t gatewayCount, std::size_t subsetSize);

}  // namespace finchstile::load_balancing
