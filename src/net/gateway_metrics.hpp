// What a gateway has counted since its start, and its present state.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace finchstile {

/// Requests that have finished, by the status of their responses: 200; 429 or 503; any other. A request whose
/// client had gone before is in none of them.
struct ClassMetrics {
  std::string name;
  std::uint64_t succeeded = 0, rejected = 0, failed = 0;
};

struct GatewayMetrics {
  std::vector<ClassMetrics> classes;  ///< In the order of the settings.
  std::uint64_t attemptsSent = 0;     ///< Attempts whose last byte was written.
  std::uint64_t loadReports = 0;      ///< Load reports of hosts that were read.
  std::uint64_t malformedLoadReports = 0;
  std::uint64_t activeRequests = 0;  ///< Requests that were accepted and have not finished.
  std::uint64_t listedHosts = 0;     ///< Hosts of the list, draining ones included.
  std::uint64_t avoidedHosts = 0;    ///< Listed hosts that get no new requests, for whatever reason.
};

}  // namespace finchstile
