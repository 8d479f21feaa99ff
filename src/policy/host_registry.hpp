// Decides which hosts there are: from endpoint lists it keeps each host's phase, incarnation and machine
// type. A removed host is forgotten when nothing refers to it any more, so that fleets that are replaced for
// days do not fill the memory; a host that is listed again after that is a new one.
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

  // Takes over a list. One that is not incremental removes the hosts that it leaves out. `onStarted` is
  // called for each host that is new or runs as a new process, with its entry in place. Hosts beyond the
  // table's capacity are ignored.
  void apply(HostListUpdate kind, const std::vector<HostEntry>& entries,
             const std::function<void(Host&)>& onStarted);

  // Forgets removed hosts that no attempt and no probe refers to.
  void forgetUnreferenced();

  Host& operator[](HostId id) { return hosts_[id]; }
  const Host& operator[](HostId id) const { return hosts_[id]; }
  bool contains(HostId id) const { return hosts_.contains(id); }
  HostId findByAddress(std::string_view address) const;  // kNone if there is none
  HostId findByWireHash(std::uint32_t hash) const;       // kNone if there is none

  // Hosts of phase `active` in the order of their addresses: one order at every start.
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
  std::vector<HostId> removed_;  // and not yet forgotten
  std::vector<MachineType> machineTypes_;
};

}  // namespace finchstile::load_balancing
