// Maps names of tenants to their indices in the load balancer's settings. Tenants may be added and removed at
// run time.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "finchstile/load_balancer.hpp"

namespace finchstile {

/// Owns the names of all tenants that were ever added.
class TenantTable {
 public:
  explicit TenantTable(const std::vector<load_balancing::TenantSettings>& tenants) {
    for (const auto& tenant : tenants) add(static_cast<std::uint32_t>(names_.size()), tenant.name);
  }

  /// Adds a tenant: requests that name it have this index from now on. An index is never reused for another
  /// name.
  void add(std::uint32_t index, std::string_view name) {
    if (names_.size() <= index) names_.resize(index + 1);
    if (names_[index].empty()) names_[index] = name;
    indices_.try_emplace(names_[index], index);
  }
  /// Removes a tenant: requests that name it are treated as having an unknown tenant from now on. The name
  /// stays valid for active requests.
  void remove(std::string_view name) { indices_.erase(name); }

  /// Returns the index of the tenant; kNone if the table does not have it.
  std::uint32_t find(std::string_view name) const {
    const auto found = indices_.find(name);
    return found == indices_.end() ? load_balancing::kNone : found->second;
  }
  /// Returns the name of the tenant; empty if the index was never used. The view stays valid as long as the
  /// table.
  std::string_view name(std::uint32_t index) const {
    return index < names_.size() ? std::string_view(names_[index]) : std::string_view();
  }

 private:
  std::deque<std::string> names_;  // by index; a deque keeps views of its elements valid
  std::unordered_map<std::string_view, std::uint32_t> indices_;
};

}  // namespace finchstile
