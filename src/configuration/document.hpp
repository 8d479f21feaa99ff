// The documents of a configuration: the settings of one tenant or of one class, addressed by key. No I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "finchstile/load_balancer.hpp"

namespace finchstile::configuration {

inline constexpr std::string_view kTenantPrefix = "tenant/";
inline constexpr std::string_view kClassPrefix = "class/";
inline constexpr std::size_t kMaxNameBytes = 256;  // of a tenant's or class's name

// Stored under "tenant/NAME".
struct TenantDocument {
  std::string name;
  double quotaPerSecond = 0;  // requests per second over all gateways; 0: no quota
};

// Stored under "class/NAME". Overrides the settings that the gateway started with for this class.
struct ClassDocument {
  std::string name;
  double priorityWeight = 1;  // "worth" on the wire
  load_balancing::Duration latencyObjective{};
  double lateValueFraction = 0;  // "late_share" on the wire; 0 to 1
};

using Document = std::variant<TenantDocument, ClassDocument>;

// Sets the document under a key, or removes it.
struct DocumentChange {
  std::string key;
  std::optional<Document> document;  // empty: removes the key
};

bool isTenantKey(std::string_view key);
// The part of a key after its prefix; the whole key if it has no prefix.
std::string nameInKey(std::string_view key);

// The hash of one document. The hash of a set is the sum of its documents' hashes modulo 2^64, so updating it
// costs no more than the change itself. It detects replicas that differ; it does not protect against forgery.
std::uint64_t documentHash(const TenantDocument& tenant);
std::uint64_t documentHash(const ClassDocument& cls);
std::uint64_t documentHash(const Document& document);

}  // namespace finchstile::configuration
