// Socket limits and timeouts of the gateway that follow from its configuration.
#pragma once

#include "net/config.hpp"
#include "net/discovery.hpp"
#include "net/upstream_pool.hpp"

namespace finchstile {

/// Maximum number of client connections.
std::size_t maxClientConnections(const GatewayConfig& config);
/// Limit of the memory that the buffers of all clients take.
std::size_t maxClientBufferBytes(const GatewayConfig& config);
/// Throws ConfigError if the process's memory has no room for the fewest connections.
void checkMemory(const GatewayConfig& config);
UpstreamPool::Limits upstreamPoolLimits(const GatewayConfig& config);
Discovery::Timeouts discoveryTimeouts(const load_balancing::Settings& settings);

}  // namespace finchstile
