// The lists of hosts that the simulator sends ahead of the events that refer to them by number.
#pragma once

#include <array>
#include <cstddef>
#include <string_view>
#include <vector>

#include "finchstile/load_balancer.hpp"

namespace finchstile::load_balancing::simulator {

class EndpointLists {
 public:
  // A LEDGER line: begins a list, of as many rows as it says. Throws ProtocolError on a number out of range.
  void begin(std::string_view fields);
  // A ROW line: adds a host to the list that was begun last. Throws ProtocolError if all of its rows are
  // there, or if the host makes no sense.
  void addRow(std::string_view fields);

  bool awaitsRows() const { return rowsDue_ > 0; }
  void stopAwaitingRows() { rowsDue_ = 0; }

  // Null if no list of that number has begun.
  const std::vector<HostEntry>* find(std::size_t number) const;
  static constexpr std::size_t kMaxLists = 16;

 private:
  struct List {
    bool known = false;
    std::vector<HostEntry> entries;
  };

  std::array<List, kMaxLists> lists_;
  std::size_t rowsDue_ = 0;
  List* current_ = nullptr;
};

}  // namespace finchstile::load_balancing::simulator
