// Names of tenants and their places in the decision module, as they come and go.
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
  explicit TenantTable(const std::vector<load_balancing::TenantSettings>& start) {
    for (const auto& tenant : start) list(static_cast<std::uint32_t>(names_.size()), tenant.name);
  }

  // Requests that name it are of the place `index` from now on. A place is never given to another name.
  void list(std::uint32_t index, std::string_view name) {
    if (names_.size() <= index) names_.resize(index + 1);
    if (names_[index].empty()) names_[index] = name;
    places_.try_emplace(names_[index], index);
  }
  // It is not named any more. Its name stays good for the requests that are open.
  void unlist(std::string_view name) { places_.erase(name); }

  // kNone: no such tenant is listed.
  std::uint32_t find(std::string_view name) const {
    const auto at = places_.find(name);
    return at == places_.end() ? load_balancing::kNone : at->second;
  }
  // Empty: no tenant has had that place. The view stays good as long as the table.
  std::string_view name(std::uint32_t index) const {
    return index < names_.size() ? std::string_view(names_[index]) : std::string_view();
  }

 private:
  std::deque<std::string> names_;  // by place; a deque: views of them stay good
  std::unordered_map<std::string_view, std::uint32_t> places_;
};

}  // namespace finchstile
