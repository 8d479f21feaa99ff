// Endpoint lists received from service discovery. No I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "membership/host_phase.hpp"

namespace finchstile::membership {

struct ListEntry {
  load_balancing::HostEntry host;  // `host.address` holds the name of the host
  std::string endpoint;            // address that the host listens on, "IP:PORT"
};

struct EndpointList {
  std::int64_t version = -1;  // negative: the list is unversioned
  bool isComplete = false;    // false: only entries that changed since the previous list
  std::vector<ListEntry> hosts;
};

// Merges all entries of the same host into the first one. The merged entry gets the worst phase of them; the
// other fields come from the entry with the latest start. Returns the number of removed entries.
std::size_t mergeDuplicates(std::vector<ListEntry>& entries);

}  // namespace finchstile::membership
