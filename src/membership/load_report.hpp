// The load report in the headers of hosts' responses: "inflight=7,queue=2,latency_ms=41". No I/O.
#pragma once

#include <optional>
#include <string_view>

#include "finchstile/load_balancer.hpp"

namespace finchstile::membership {

inline constexpr std::size_t kMaxLoadReportBytes = 256;

// Empty for a report that is malformed, too long, names a known value twice, or has a value that is no number
// from 0 to a million. A report with one unreadable part is dropped altogether: the rest may be part of
// something else. Unknown names are ignored.
std::optional<load_balancing::LoadReport> parseLoadReport(std::string_view text);

}  // namespace finchstile::membership
