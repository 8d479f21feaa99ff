#include "policy/subset.hpp"

#include <algorithm>
#include <numeric>

#include "policy/hashing.hpp"

namespace finchstile::load_balancing {

namespace {

// Minimum number of gateways per round. The size follows the number of hosts only in powers of two; otherwise
// adding or removing a host could move every gateway to another round, and with it all connections.
constexpr std::size_t kMinRoundSize = 16;

}  // namespace

std::vector<std::size_t> subsetOrder(const std::vector<std::uint64_t>& hashes, std::uint32_t gatewayIndex,
                                     std::uint32_t gatewayCount, std::size_t subsetSize) {
  std::size_t roundSize = kMinRoundSize;
  while (roundSize * 2 * std::max<std::size_t>(subsetSize, 1) <= hashes.size()) roundSize *= 2;
  // Gateways are spread evenly over the rounds, since a partly filled last round would use its hosts
  // unevenly.
  const std::size_t rounds = std::max<std::size_t>(gatewayCount / roundSize, 1);
  roundSize = std::max<std::size_t>((gatewayCount + rounds - 1) / rounds, 1);
  const std::uint64_t roundHash = mixBits(gatewayIndex / roundSize);
  std::vector<std::size_t> order(hashes.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
    return mixBits(hashes[a] ^ roundHash) < mixBits(hashes[b] ^ roundHash);
  });
  const auto start = static_cast<std::ptrdiff_t>(gatewayIndex % roundSize * order.size() / roundSize);
  std::rotate(order.begin(), order.begin() + start, order.end());
  return order;
}

}  // namespace finchstile::load_balancing
