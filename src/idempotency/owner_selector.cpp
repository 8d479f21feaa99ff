#include "idempotency/owner_selector.hpp"

#include <algorithm>
#include <functional>
#include <string>
#include <utility>

namespace finchstile::idempotency {
namespace {

std::uint32_t hashMembership(GatewayNumber gateways, std::size_t ownersPerKey, const SipKey& secret) {
  const SipHash128 hash = SipHasher(secret)
                              .add("view")
                              .add(std::to_string(gateways))
                              .add(std::to_string(ownersPerKey))
                              .finalize();
  return static_cast<std::uint32_t>(hash.low);
}

}  // namespace

OwnerSelector::OwnerSelector(GatewayNumber gateways, std::size_t ownersPerKey, const SipKey& secret)
    : gateways_(gateways),
      ownersPerKey_(ownersPerKey),
      secret_(secret),
      membershipHash_(hashMembership(gateways, ownersPerKey, secret)) {}

SharedKey OwnerSelector::keyOf(std::string_view tenant, std::string_view className, std::string_view key,
                               std::string_view method, std::string_view target,
                               std::string_view body) const {
  SharedKey shared;
  shared.id = SipHasher(secret_).add("key").add(tenant).add(className).add(key).finalize();
  shared.fingerprint = SipHasher(secret_).add("request").add(method).add(target).add(body).finalize().low;
  return shared;
}

std::uint64_t OwnerSelector::weightOf(const SipHash128& id, GatewayNumber gateway) const {
  return SipHasher(secret_)
      .add("owner")
      .add(std::to_string(id.low))
      .add(std::to_string(id.high))
      .add(std::to_string(gateway))
      .finalize()
      .low;
}

std::vector<GatewayNumber> OwnerSelector::ownersOf(const SipHash128& id) const {
  std::vector<std::pair<std::uint64_t, GatewayNumber>> weights;
  for (GatewayNumber gateway = 0; gateway < gateways_; ++gateway)
    weights.emplace_back(weightOf(id, gateway), gateway);
  const std::size_t count = std::min<std::size_t>(ownersPerKey_, weights.size());
  const auto end = weights.begin() + static_cast<std::ptrdiff_t>(count);
  std::partial_sort(weights.begin(), end, weights.end(), std::greater<>());
  std::vector<GatewayNumber> owners;
  for (std::size_t i = 0; i < count; ++i) owners.push_back(weights[i].second);
  return owners;
}

}  // namespace finchstile::idempotency
