// Parses the load report in the response headers of hosts, as in "inflight=7,queue=2,latency_ms=41". No I/O.
#pragma once

#include <optional>
#include <string_view>

#include "finchstile/load_balancer.hpp"

namespace finchstile::membership {

inline constexpr std::size_t kMaxLoadReportBytes = 256;

// Returns nothing if the report is malformed or too long, contains a known name twice, or contains a value
// that is not a number from 0 to 1,000,000. One invalid part invalidates the whole report, because the other
// parts may be corrupted as well. Unknown names are ignored.
std::optional<load_balancing::LoadReport> parseLoadReport(std::string_view text);

}  // namespace finchstile::membership
