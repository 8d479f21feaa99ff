// An endpoint list of discovery, as src/membership sees it. No I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "membership/host_phase.hpp"

namespace finchstile::membership {

struct ListEntry {
  load_balancing::HostEntry host;  // `host.address` is its name
  std::string endpoint;            // where it listens, "IP:PORT"
};

struct EndpointList {
  std::int64_t version = -1;  // below 0: the list has none
  bool isComplete = false;    // otherwise the entries are changes to the list before
  std::vector<ListEntry> hosts;
};

// Merges entries of one host into the first of them: the worse phase holds, and of the rest what the entry
// with the later start says. Returns how many entries were removed.
std::size_t mergeDuplicates(std::vector<ListEntry>& entries);

}  // namespace finchstile::membership
