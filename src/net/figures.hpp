// What a gateway has counted since its start, and how it stands.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace finchstile {

// Requests that have ended, by the answer that their client was given: 200; 429 or 503; any other. One whose
// client had left before is in none.
struct ClassFigures {
  std::string name;
  std::uint64_t answered = 0, deferred = 0, errored = 0;
};

struct GatewayFigures {
  std::vector<ClassFigures> classes;             // in the order of the settings
  std::uint64_t sends = 0;                       // attempts whose last byte was written
  std::uint64_t reports = 0, spoiltReports = 0;  // load reports of hosts that were read; that could not be
  std::uint64_t current = 0;                     // requests taken and not yet ended
  std::uint64_t listed = 0;                      // hosts of the list, those that drain among them
  std::uint64_t avoided = 0;  // of these: what gets nothing new now, by the list, by hand or by choice
};

}  // namespace finchstile
