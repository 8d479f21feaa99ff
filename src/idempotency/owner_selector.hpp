// Selects the gateways that own an idempotency key by rendezvous hashing (Thaler and Ravishankar, 1998):
// every gateway computes the same owners without communication, and an additional gateway takes over few
// keys. No I/O.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

#include "idempotency/owner_message.hpp"

namespace finchstile::idempotency {

using GatewayNumber = std::uint16_t;

// Hashes the identifier of a SharedKey for unordered containers. The identifier is a keyed hash already.
struct SharedKeyIdHash {
  std::size_t operator()(const SipHash128& id) const { return static_cast<std::size_t>(id.low); }
};

class OwnerSelector {
 public:
  // All arguments must be the same in all gateways.
  OwnerSelector(GatewayNumber gateways, std::size_t ownersPerKey, const SipKey& secret);

  SharedKey keyOf(std::string_view tenant, std::string_view className, std::string_view key,
                  std::string_view method, std::string_view target, std::string_view body) const;

  // The owners of a key in descending order of their weights.
  std::vector<GatewayNumber> ownersOf(const SipHash128& id) const;

  // A hash of the constructor's arguments. Differs between gateways that are configured differently.
  std::uint32_t membershipHash() const { return membershipHash_; }

 private:
  std::uint64_t weightOf(const SipHash128& id, GatewayNumber gateway) const;

  const GatewayNumber gateways_;
  const std::size_t ownersPerKey_;
  const SipKey secret_;
  const std::uint32_t membershipHash_;
};

}  // namespace finchstile::idempotency
