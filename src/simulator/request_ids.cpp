#include "simulator/request_ids.hpp"

namespace finchstile::load_balancing::simulator {

RequestId RequestIds::idOfSlot(std::uint32_t slot) const {
  return (static_cast<RequestId>(requests_[slot].generation) << 32) | slot;
}

RequestId RequestIds::open(std::string_view name) {
  std::uint32_t slot = 0;
  if (freeSlots_.empty()) {
    slot = static_cast<std::uint32_t>(requests_.size());
    requests_.emplace_back();
  } else {
    slot = freeSlots_.back();
    freeSlots_.pop_back();
  }
  OpenRequest& request = requests_[slot];
  request.name.assign(name);
  ++request.generation;
  request.attemptsInFlight = 0;
  request.ended = false;
  slots_.emplace(request.name, slot);
  return idOfSlot(slot);
}

OpenRequest* RequestIds::find(std::string_view name) {
  const auto it = slots_.find(name);
  return it == slots_.end() ? nullptr : &requests_[it->second];
}

RequestId RequestIds::idOf(std::string_view name) const { return idOfSlot(slots_.find(name)->second); }

void RequestIds::releaseIfEnded(RequestId id) {
  const std::uint32_t slot = slotOf(id);
  OpenRequest& request = requests_[slot];
  if (!request.ended || request.attemptsInFlight > 0) return;
  slots_.erase(request.name);
  request.name.clear();
  freeSlots_.push_back(slot);
}

}  // namespace finchstile::load_balancing::simulator
