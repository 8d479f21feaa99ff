// Storage of hosts by id.
#pragma once

#include <deque>
#include <vector>

#include "policy/host.hpp"

namespace finchstile::load_balancing {

// Slots are reused; an id is reused only after 65,535 other hosts have used its slot, so an id that is still
// referred to is never reassigned to another host.
class HostTable {
 public:
  Host& operator[](HostId id) { return slots_[id & kSlotMask]; }
  const Host& operator[](HostId id) const { return slots_[id & kSlotMask]; }

  bool contains(HostId id) const {
    return (id & kSlotMask) < slots_.size() && slots_[id & kSlotMask].id == id;
  }
  bool isFull() const { return freeIds_.empty() && slots_.size() >= kSlotMask; }

  // Must not be called on a full table.
  HostId add() {
    HostId id = static_cast<HostId>(slots_.size());
    if (freeIds_.empty()) {
      slots_.emplace_back();
    } else {
      id = freeIds_.front();
      freeIds_.pop_front();
    }
    (*this)[id].id = id;
    return id;
  }

  void remove(HostId id) {
    (*this)[id] = Host{};
    freeIds_.push_back(id + kSlotMask + 1);
  }

  // Iterates over all slots, including unused ones (id kNone).
  auto begin() { return slots_.begin(); }
  auto end() { return slots_.end(); }

 private:
  static constexpr HostId kSlotMask = 0xffff;
  std::vector<Host> slots_;
  std::deque<HostId> freeIds_;  // the next id of each unused slot
};

}  // namespace finchstile::load_balancing
