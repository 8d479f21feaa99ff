// Mapping between the simulator's request names and the decision module's request ids, for one gateway.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "finchstile/load_balancer.hpp"

namespace finchstile::load_balancing::simulator {

// Allows lookups by std::string_view in maps with std::string keys, without an allocation.
struct TransparentTextHash {
  using is_transparent = void;
  std::size_t operator()(std::string_view text) const { return std::hash<std::string_view>{}(text); }
};
template <class Value>
using TextMap = std::unordered_map<std::string, Value, TransparentTextHash, std::equal_to<>>;

// An open request. It stays open until it and all of its attempts have ended.
struct OpenRequest {
  std::string name;
  std::uint32_t generation = 0;  // of its slot; part of the id, so that ids are never reused
  std::uint32_t attemptsInFlight = 0;
  bool ended = false;
};

// Slots are reused. The lower half of an id is the slot, the upper half the slot's generation.
class RequestIds {
 public:
  RequestId open(std::string_view name);
  // Null if no open request has that name. The pointer is valid until the next call of `open`.
  OpenRequest* find(std::string_view name);
  bool isOpen(std::string_view name) const { return slots_.find(name) != slots_.end(); }
  // The id of a request, which must be open.
  RequestId idOf(std::string_view name) const;
  // A request by its id. Its name is empty if the request has been released.
  OpenRequest& byId(RequestId id) { return requests_[slotOf(id)]; }
  // Releases a request that has ended, unless an attempt of it is in flight.
  void releaseIfEnded(RequestId id);

 private:
  static std::uint32_t slotOf(RequestId id) { return static_cast<std::uint32_t>(id); }
  RequestId idOfSlot(std::uint32_t slot) const;

  TextMap<std::uint32_t> slots_;       // by name
  std::vector<OpenRequest> requests_;  // by slot
  std::vector<std::uint32_t> freeSlots_;
};

}  // namespace finchstile::load_balancing::simulator
