// Renders the metrics in the Prometheus text exposition format, version 0.0.4. No I/O.
#pragma once

#include <cstdint>
#include <string>

#include "net/gateway_metrics.hpp"

namespace finchstile::ops {

struct ConfigMetrics {
  std::uint64_t loaded = 0, invalid = 0;  // configurations applied and rejected since the start
};

// Returns lines such as "lb_transactions_total{group="log-in",state="answered"} 812". Each class has its
// lines from the start, in the order of `metrics.classes`.
std::string renderMetrics(const GatewayMetrics& metrics, const ConfigMetrics& config);

}  // namespace finchstile::ops
