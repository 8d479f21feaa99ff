// The documents that a configuration is made of: the terms of one tenant or of one class, by key. No I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "finchstile/load_balancer.hpp"

namespace finchstile::configuration {

// "tenant/NAME".
struct TenantDocument {
  std::string name;
  double quotaPerSecond = 0;  // over all gateways; 0 = no quota
};

// "class/NAME": a class that the platform's configuration names.
struct ClassDocument {
  std::string name;
  double worth = 1;
  load_balancing::Duration aim{};
  double lateShare = 0;
};

using Document = std::variant<TenantDocument, ClassDocument>;

// A document that is set, or removed, under its key.
struct Change {
  std::string key;
  std::optional<Document> document;  // none: removed
};

// What is wrong with one key of an update.
struct Problem {
  std::string key, field;  // field: empty if the whole entry is meant
  std::string what;        // with what is right
};
std::string describe(const Problem& problem);                // one line
std::string describe(const std::vector<Problem>& problems);  // one line, the first few of them

inline constexpr std::string_view kTenantPrefix = "tenant/";
inline constexpr std::string_view kClassPrefix = "class/";
inline constexpr std::size_t kNameLongest = 256;  // bytes of a tenant's or class's name

// Hash of one document. The hash of a set is the sum of those of its documents, modulo 2^64, so that a change
// costs as much as what it changes. It tells replicas that differ; it is no protection against forgery.
std::uint64_t hashOf(const TenantDocument& tenant);
std::uint64_t hashOf(const ClassDocument& cls);

}  // namespace finchstile::configuration
