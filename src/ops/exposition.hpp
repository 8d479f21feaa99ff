// The figures as text, in the exposition format that scrapers of time series read (version 0.0.4). No I/O.
#pragma once

#include <string>

#include "net/gateway_metrics.hpp"

namespace finchstile::ops {

struct ConfigMetrics {
  std::uint64_t loaded = 0, invalid = 0;  // configurations taken and turned down since the start
};

// "lb_transactions_total{group="log-in",state="answered"} 812" and so on; classes in their order, all of them
// from the start on.
std::string exposition(const GatewayMetrics& figures, const ConfigMetrics& config);

}  // namespace finchstile::ops
