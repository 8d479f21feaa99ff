// A load report as hosts give it in answers: "inflight=7,queue=2,latency_ms=41". Read strictly: a report of
// which a part can't be read is none, since what is left may be a part of something else. No I/O.
#pragma once

#include <optional>
#include <string_view>

#include "finchstile/load_balancer.hpp"

namespace finchstile::membership {

inline constexpr std::size_t kReportMost = 256;  // bytes of one

// None: malformed, too long, a figure twice, or one that is no number of 0 or more. Names that are not known
// are passed over.
std::optional<load_balancing::LoadReport> readReport(std::string_view text);

}  // namespace finchstile::membership
