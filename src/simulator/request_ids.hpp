// The simulator's names of requests and the decision module's numbers, of one gateway.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "finchstile/load_balancer.hpp"

namespace finchstile::load_balancing::simulator {

// Lets maps with keys of std::string be searched by a view, without an allocation.
struct TransparentTextHash {
  using is_transparent = void;
  std::size_t operator()(std::string_view text) const { return std::hash<std::string_view>{}(text); }
};
template <class Value>
using TextMap = std::unordered_map<std::string, Value, TransparentTextHash, std::equal_to<>>;

// A request that the simulator has opened: until it has ended, and all of its attempts have.
struct OpenRequest {
  std::string name;
  std::uint32_t generation = 0;  // of its slot; part of the number, so that no number is used again
  std::uint32_t attemptsInFlight = 0;
  bool ended = false;
};

// Slots are used again; the number of a request is its slot with the slot's generation above it.
class RequestIds {
 public:
  RequestId open(std::string_view name);
  // Null if no open request has that name. The pointer is valid until the next `open`.
  OpenRequest* find(std::string_view name);
  bool isOpen(std::string_view name) const { return slots_.find(name) != slots_.end(); }
  // The number of an open request.
  RequestId idOf(std::string_view name) const;
  // A request by its number; it may have been forgotten, its name is empty then.
  OpenRequest& byId(RequestId id) { return requests_[slotOf(id)]; }
  // Forgets a request that has ended, unless an attempt of it is in flight.
  void forgetIfOver(RequestId id);

 private:
  static std::uint32_t slotOf(RequestId id) { return static_cast<std::uint32_t>(id); }
  RequestId idOfSlot(std::uint32_t slot) const;

  TextMap<std::uint32_t> slots_;       // by name
  std::vector<OpenRequest> requests_;  // by slot
  std::vector<std::uint32_t> freeSlots_;
};

}  // namespace finchstile::load_balancing::simulator
