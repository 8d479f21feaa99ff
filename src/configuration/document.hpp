// Documents of the configuration: each holds the settings of one tenant or class and is addressed by a key.
// No I/O.
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
inline constexpr std::size_t kMaxNameBytes = 256;  // of the name of a tenant or class

// Stored under "tenant/NAME".
struct TenantDocument {
  std::string name;
  double quotaPerSecond = 0;  // requests per second over all gateways; 0: no quota
};

// Stored under "class/NAME". Overrides the initial settings of this class.
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
// Returns the part of the key after its prefix; the whole key if it has no prefix.
std::string nameInKey(std::string_view key);

// Hash of one document. The hash of a configuration is the sum of the hashes of its documents modulo 2^64, so
// the cost of updating it depends only on the size of the change. It detects diverged replicas; it does not
// protect against forgery.
std::uint64_t documentHash(const TenantDocument& tenant);
std::uint64_t documentHash(const ClassDocument& cls);
std::uint64_t documentHash(const Document& document);

}  // namespace finchstile::configuration
