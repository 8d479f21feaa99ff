// Counters of a gateway since its start, and gauges of its present state.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace finchstile {

/// Finished requests by response status: 200; 429 or 503; any other. A request whose client disconnected
/// before the response is not counted.
struct ClassMetrics {
  std::string name;
  std::uint64_t succeeded = 0, rejected = 0, failed = 0;
};

/// A snapshot of the counters and gauges.
struct GatewayMetrics {
  std::vector<ClassMetrics> classes;  ///< In the order of the settings.
  std::uint64_t attemptsSent = 0;     ///< Attempts whose last byte was written.
  std::uint64_t loadReports = 0;      ///< Valid load reports received from hosts.
  std::uint64_t malformedLoadReports = 0;
  std::uint64_t activeRequests = 0;  ///< Accepted requests that have not finished.
  std::uint64_t listedHosts = 0;     ///< Hosts of the endpoint list, including draining ones.
  std::uint64_t avoidedHosts = 0;    ///< Listed hosts that receive no new requests, for any reason.
};

}  // namespace finchstile
