// Host lists, which the simulator sends before the events that refer to them by number.
#pragma once

#include <array>
#include <cstddef>
#include <string_view>
#include <vector>

#include "finchstile/load_balancer.hpp"

namespace finchstile::load_balancing::simulator {

class EndpointLists {
 public:
  // Handles a LEDGER line, which begins a list and gives its number of rows. Throws ProtocolError if the
  // number of the list is out of range.
  void begin(std::string_view fields);
  // Handles a ROW line, which adds a host to the list begun last. Throws ProtocolError if the list is already
  // complete or the host is invalid.
  void addRow(std::string_view fields);

  bool expectsRows() const { return remainingRows_ > 0; }
  void discardMissingRows() { remainingRows_ = 0; }

  // Null if no list with that number has begun.
  const std::vector<HostEntry>* find(std::size_t number) const;
  static constexpr std::size_t kMaxLists = 16;

 private:
  struct List {
    bool hasBegun = false;
    std::vector<HostEntry> entries;
  };

  std::array<List, kMaxLists> lists_;
  std::size_t remainingRows_ = 0;
  List* current_ = nullptr;
};

}  // namespace finchstile::load_balancing::simulator
