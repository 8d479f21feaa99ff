// Limits of the gateway's sockets that follow from its configuration.
#pragma once

#include "net/config.hpp"
#include "net/discovery.hpp"
#include "net/upstream_pool.hpp"

namespace finchstile {

/// Descriptors that clients' connections may take.
std::size_t maxClientConnections(const GatewayConfig& config);
UpstreamPool::Limits upstreamPoolLimits(const GatewayConfig& config);
Discovery::Timeouts discoveryTimeouts(const load_balancing::Settings& settings);

}  // namespace finchstile
