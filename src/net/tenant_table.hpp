// Names of tenants and their indices in the load balancer's settings, as they come and go.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "finchstile/load_balancer.hpp"

namespace finchstile {

class TenantTable {
 public:
  explicit TenantTable(const std::vector<load_balancing::TenantSettings>& tenants) {
    for (const auto& tenant : tenants) list(static_cast<std::uint32_t>(names_.size()), tenant.name);
  }

  /// From now on requests that name the tenant have this index. An index is never given to another name.
  void list(std::uint32_t index, std::string_view name) {
    if (names_.size() <= index) names_.resize(index + 1);
    if (names_[index].empty()) names_[index] = name;
    indices_.try_emplace(names_[index], index);
  }
  /// From now on the tenant is unknown. Its name stays valid for the requests that are active.
  void unlist(std::string_view name) { indices_.erase(name); }

  /// kNone: no such tenant is listed.
  std::uint32_t find(std::string_view name) const {
    const auto found = indices_.find(name);
    return found == indices_.end() ? load_balancing::kNone : found->second;
  }
  /// Empty: no tenant has had that index. The view stays valid as long as the table.
  std::string_view name(std::uint32_t index) const {
    return index < names_.size() ? std::string_view(names_[index]) : std::string_view();
  }

 private:
  std::deque<std::string> names_;  // by index; a deque, so that views of them stay valid
  std::unordered_map<std::string_view, std::uint32_t> indices_;
};

}  // namespace finchstile
