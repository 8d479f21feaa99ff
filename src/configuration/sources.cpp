#include "configuration/sources.hpp"

#include <algorithm>
#include <numeric>

#include "base/siphash.hpp"

namespace finchstile::configuration {
namespace {

constexpr int kDoublingsMost = 16;

Duration scaled(Duration d, double by) {
  return Duration(static_cast<Duration::rep>(static_cast<double>(d.count()) * by));
}

std::uint64_t rank(const std::string& address, const std::string& gateway) {
  SipHasher hasher(SipKey{});
  hasher.add(address).add(gateway);
  return hasher.end().low;
}

}  // namespace

Sources::Sources(const std::vector<std::string>& addresses, const std::string& gateway,
                 const SourceSettings& settings)
    : settings_(settings), order_(addresses.size()), machines_(addresses.size()) {
  std::iota(order_.begin(), order_.end(), std::size_t{0});
  std::stable_sort(order_.begin(), order_.end(), [&](std::size_t a, std::size_t b) {
    return rank(addresses[a], gateway) > rank(addresses[b], gateway);
  });
  last_ = order_.front();
}

Sources::Choice Sources::choose(Time now, double unit) const {
  const auto free = std::find_if(order_.begin(), order_.end(),
                                 [&](std::size_t source) { return machines_[source].notBefore <= now; });
  if (free != order_.end()) {
    const Duration spread = *free == last_ ? Duration{} : scaled(settings_.failover, unit);
    return {*free, now + spread};
  }
  const auto soonest = std::min_element(order_.begin(), order_.end(), [&](std::size_t a, std::size_t b) {
    return machines_[a].notBefore < machines_[b].notBefore;
  });
  return {*soonest, machines_[*soonest].notBefore};
}

void Sources::failed(std::size_t source, Time now, double unit) {
  Machine& machine = machines_[source];
  machine.failures = std::min(machine.failures + 1, kDoublingsMost);
  ++failures_;
  const Duration most = std::min(settings_.retryLeast * (1 << machine.failures), settings_.retryMost);
  machine.notBefore = now + settings_.retryLeast + scaled(most, unit);
}

void Sources::busy(std::size_t source, Time now, Duration patience, double unit) {
  const Duration least = std::clamp(patience, Duration{}, settings_.retryMost);
  machines_[source].notBefore = now + scaled(least, 1 + unit);
}

}  // namespace finchstile::configuration
