// What a gateway has counted since its start, and how it stands.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace finchstile {

// Requests that have ended, by the answer that their client was given: 200; 429 or 503; any other. One whose
// client had left before is in none.
struct ClassMetrics {
  std::string name;
  std::uint64_t succeeded = 0, rejected = 0, failed = 0;
};

struct GatewayMetrics {
  std::vector<ClassMetrics> classes;  // in the order of the settings
  std::uint64_t attemptsSent = 0;     // attempts whose last byte was written
  std::uint64_t loadReports = 0,
                malformedLoadReports = 0;  // load reports of hosts that were read; that could not be
  std::uint64_t activeRequests = 0;        // requests taken and not yet ended
  std::uint64_t listedHosts = 0;           // hosts of the list, those that drain among them
  std::uint64_t avoidedHosts = 0;  // of these: what gets nothing new now, by the list, by hand or by choice
};

}  // namespace finchstile
