#include "policy/subset.hpp"

#include <algorithm>
#include <numeric>

#include "policy/hashing.hpp"

namespace finchstile::load_balancing {

// Gateways of a round. It hardly ever follows the number of hosts: where it did, each host that came or went
// could move every gateway to another round, and all connections with it.
constexpr std::size_t kSlots = 16;

std::vector<std::size_t> subsetOrder(const std::vector<std::uint64_t>& hashes, std::uint32_t number,
                                     std::uint32_t gateways, std::size_t width) {
  std::size_t slots = kSlots;
  while (slots * 2 * std::max<std::size_t>(width, 1) <= hashes.size()) slots *= 2;
  // The last round is to be as full as the others, or its hosts are met more often.
  const std::size_t rounds = std::max<std::size_t>(gateways / slots, 1);
  slots = std::max<std::size_t>((gateways + rounds - 1) / rounds, 1);
  const std::uint64_t round = mixBits(number / slots);
  std::vector<std::size_t> order(hashes.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
    return mixBits(hashes[a] ^ round) < mixBits(hashes[b] ^ round);
  });
  const auto start = static_cast<std::ptrdiff_t>(number % slots * order.size() / slots);
  std::rotate(order.begin(), order.begin() + start, order.end());
  return order;
}

}  // namespace finchstile::load_balancing
