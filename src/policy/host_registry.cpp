#include "policy/host_registry.hpp"

#include <algorithm>

#include "policy/hashing.hpp"

namespace finchstile::load_balancing {

void HostRegistry::apply(HostListUpdate kind, const std::vector<HostEntry>& entries,
                         const std::function<void(Host&)>& onStarted) {
  if (kind != HostListUpdate::incremental)
    for (Host& host : hosts_) host.entry.phase = HostPhase::removed;
  for (const HostEntry& entry : entries) {
    bool isNew = false;
    Host* host = findOrAdd(entry.address, isNew);
    if (!host) continue;
    const bool hasStarted = isNew || entry.startedAt != host->entry.startedAt;
    host->entry = entry;
    host->isLocal = entry.zone == ownZone_;
    host->machineType = machineTypeIndex(entry.machineType);
    if (hasStarted) onStarted(*host);
  }
  rebuildPhaseLists();
  eraseUnreferenced();
  std::sort(active_.begin(), active_.end(),
            [this](HostId a, HostId b) { return hosts_[a].entry.address < hosts_[b].entry.address; });
}

Host* HostRegistry::findOrAdd(const std::string& address, bool& isNew) {
  const auto [it, inserted] = idsByAddress_.emplace(address, kNone);
  isNew = inserted;
  if (!inserted) return &hosts_[it->second];
  if (hosts_.isFull()) {
    idsByAddress_.erase(it);
    return nullptr;
  }
  it->second = hosts_.add();
  Host& host = hosts_[it->second];
  host.hash = hashText(address);
  idsByWireHash_.emplace(host.wireHash(), it->second);
  return &host;
}

std::size_t HostRegistry::machineTypeIndex(const std::string& name) {
  std::size_t index = 0;
  while (index < machineTypes_.size() && machineTypes_[index].name != name) ++index;
  if (index == machineTypes_.size()) machineTypes_.push_back({name, 0, 1});
  return index;
}

void HostRegistry::rebuildPhaseLists() {
  active_.clear();
  removed_.clear();
  for (const Host& host : hosts_) {
    if (host.id == kNone) continue;
    if (host.entry.phase == HostPhase::active) active_.push_back(host.id);
    if (host.entry.phase == HostPhase::removed) removed_.push_back(host.id);
  }
}

void HostRegistry::eraseUnreferenced() {
  const auto eraseIfUnreferenced = [this](HostId id) {
    const Host& host = hosts_[id];
    if (host.references > 0 || !host.probing.waitingRequests.empty()) return false;
    idsByAddress_.erase(host.entry.address);
    const auto it = idsByWireHash_.find(host.wireHash());
    if (it != idsByWireHash_.end() && it->second == id) idsByWireHash_.erase(it);
    hosts_.remove(id);
    return true;
  };
  removed_.erase(std::remove_if(removed_.begin(), removed_.end(), eraseIfUnreferenced), removed_.end());
}

HostId HostRegistry::findByAddress(std::string_view address) const {
  const auto it = idsByAddress_.find(std::string(address));
  return it == idsByAddress_.end() ? kNone : it->second;
}

HostId HostRegistry::findByWireHash(std::uint32_t hash) const {
  const auto it = idsByWireHash_.find(hash);
  return it == idsByWireHash_.end() ? kNone : it->second;
}

}  // namespace finchstile::load_balancing
