// Registry of hosts: keeps the phase, process incarnation and machine type of each host, from endpoint lists.
// A removed host is erased once nothing refers to it, so that memory use stays bounded while fleets are
// replaced for days. A host that is listed again after that is a new one.
#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "policy/host_table.hpp"
#include "policy/machine_type.hpp"

namespace finchstile::load_balancing {

class HostRegistry {
 public:
  explicit HostRegistry(std::string ownZone) : ownZone_(std::move(ownZone)) {}

  // Applies a list. Unless it is incremental, hosts that are not in it are removed. Calls `onStarted` for
  // each host that is new or whose process has restarted, after its entry is set. Hosts beyond the capacity
  // of the table are ignored.
  void apply(HostListUpdate kind, const std::vector<HostEntry>& entries,
             const std::function<void(Host&)>& onStarted);

  // Erases removed hosts that no attempt and no probe refers to.
  void eraseUnreferenced();

  Host& operator[](HostId id) { return hosts_[id]; }
  const Host& operator[](HostId id) const { return hosts_[id]; }
  bool contains(HostId id) const { return hosts_.contains(id); }
  HostId findByAddress(std::string_view address) const;  // kNone if there is none
  HostId findByWireHash(std::uint32_t hash) const;       // kNone if there is none

  // Hosts of phase `active`, ordered by address, which gives the same order after every start.
  const std::vector<HostId>& active() const { return active_; }

  std::vector<MachineType>& machineTypes() { return machineTypes_; }
  const std::vector<MachineType>& machineTypes() const { return machineTypes_; }

 private:
  Host* findOrAdd(const std::string& address, bool& isNew);
  std::size_t machineTypeIndex(const std::string& name);
  void rebuildPhaseLists();

  std::string ownZone_;
  HostTable hosts_;
  std::unordered_map<std::string, HostId> idsByAddress_;
  std::unordered_map<std::uint32_t, HostId> idsByWireHash_;
  std::vector<HostId> active_;
  std::vector<HostId> removed_;  // and not yet erased
  std::vector<MachineType> machineTypes_;
};

}  // namespace finchstile::load_balancing
