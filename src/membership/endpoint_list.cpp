#include "membership/endpoint_list.hpp"

#include <string_view>
#include <unordered_map>
#include <utility>

namespace finchstile::membership {
namespace {

void mergeInto(ListEntry& first, const ListEntry& other) {
  const HostPhase phase = worsePhase(first.host.phase, other.host.phase);
  if (other.host.startedAt > first.host.startedAt) {
    first.endpoint = other.endpoint;
    first.host.startedAt = other.host.startedAt;
    first.host.zone = other.host.zone;
    first.host.machineType = other.host.machineType;
    first.host.cell = other.host.cell;
  }
  first.host.phase = phase;
}

}  // namespace

std::size_t mergeDuplicates(std::vector<ListEntry>& entries) {
  std::unordered_map<std::string_view, std::size_t> firstByName;
  std::vector<std::size_t> duplicates;
  for (std::size_t i = 0; i < entries.size(); ++i) {
    const auto [it, isFirst] = firstByName.emplace(entries[i].host.address, i);
    if (isFirst) continue;
    mergeInto(entries[it->second], entries[i]);
    duplicates.push_back(i);
  }
  for (auto it = duplicates.rbegin(); it != duplicates.rend(); ++it)
    entries.erase(entries.begin() + static_cast<std::ptrdiff_t>(*it));
  return duplicates.size();
}

}  // namespace finchstile::membership
