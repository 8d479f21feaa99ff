#include "net/gateway_limits.hpp"

#include <algorithm>
#include <chrono>
#include <string>

#include "net/buffer_budget.hpp"

namespace finchstile {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Discovery has 6 s to notify a gateway of a change, counted from when it has the change and is reachable. If
// a watch stalls right after a poll was sent, the poll is abandoned after kMaxWatchTime +
// kMaxDiscoverySilence, the load balancer polls again within 0.5 s, and that response may take
// kMaxDiscoverySilence: 5.5 s. While polls fail, they request to be held only for kMaxWatchTimeAfterFailure,
// and the load balancer waits for 2 s at most: 0.5 s + 1.5 s + 2 s + 1.5 s = 5.5 s.
constexpr Duration kMaxWatchTime = seconds(2);
constexpr Duration kMaxWatchTimeAfterFailure = milliseconds(500);
constexpr Duration kMaxDiscoverySilence = milliseconds(1500);
// The load balancer treats a first watch that is silent for half of the allowed time as lost.
constexpr int kWatchesInAllowedSilence = 4;

// Fraction of the host's own idle timeout, so that a close by the host never crosses a request.
constexpr double kIdleFractionOfHostTimeout = 0.5;

// Descriptors that are available to neither clients nor hosts: standard input, output and error, three of the
// event loop, two for signals, the listener, the inherited listener, two for discovery (while a watch is
// replaced), three for operators, and one for a connection that is to be refused.
constexpr std::size_t kOwnDescriptors = 16;
constexpr std::size_t kMinDescriptorsPerUse = 8;

// Fraction of the memory limit. The rest is for responses of hosts, keys, lists and the program itself.
constexpr double kClientBufferFraction = 0.25;

// Of the room that a connection may take, half is for clients and half for hosts.
constexpr std::size_t kMemoryPartsPerUse = 2;

// As many connections as there is memory for when the process starts.
std::size_t limitedByMemory(const GatewayConfig& config, std::size_t connections,
                            std::size_t bytesPerConnection) {
  if (!config.memory) return connections;
  const std::size_t room = config.memory->room(MemoryUse::connection) / kMemoryPartsPerUse;
  return std::max(kMinDescriptorsPerUse, std::min(connections, room / bytesPerConnection));
}

std::size_t descriptorShare(const GatewayConfig& config, double fraction) {
  const std::size_t own = kOwnDescriptors + config.reservedDescriptors;
  const auto available =
      static_cast<double>(config.descriptorLimit - std::min(config.descriptorLimit / 4, own));
  const double share = available * fraction * (1 - config.options.reservedDescriptorFraction);
  return std::max(kMinDescriptorsPerUse, static_cast<std::size_t>(share));
}

Duration scaled(Duration duration, double factor) {
  return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

}  // namespace

std::size_t maxClientConnections(const GatewayConfig& config) {
  return limitedByMemory(config, descriptorShare(config, config.options.clientDescriptorFraction),
                         kBytesPerClientConnection);
}

std::size_t maxClientBufferBytes(const GatewayConfig& config) {
  if (config.memoryLimit == 0) return BufferBudget::kUnlimited;
  return static_cast<std::size_t>(static_cast<double>(config.memoryLimit) * kClientBufferFraction);
}

UpstreamPool::Limits upstreamPoolLimits(const GatewayConfig& config) {
  return {config.connectTimeout,
          scaled(config.upstreamIdleTimeout, kIdleFractionOfHostTimeout),
          config.options.maxConnectingPerHost,
          limitedByMemory(config, descriptorShare(config, config.options.upstreamDescriptorFraction),
                          kBytesPerUpstreamConnection),
          config.options.minVerificationTime,
          config.options.minReuseDelay,
          config.memory};
}

void checkMemory(const GatewayConfig& config) {
  if (!config.memory) return;
  const std::size_t needed = kMinDescriptorsPerUse * kMemoryPartsPerUse *
                             std::max(kBytesPerClientConnection, kBytesPerUpstreamConnection);
  if (config.memory->room(MemoryUse::connection) >= needed) return;
  throw ConfigError(ConfigError::Code::invalidValue,
                    "limits.memory_mb: " + std::to_string(config.memory->limit() / kBytesPerMegabyte) +
                        " MB have no room for the program, which takes " +
                        std::to_string(config.memory->residentBytes() / kBytesPerMegabyte + 1) +
                        " MB when it starts, and " + std::to_string(kMinDescriptorsPerUse) +
                        " connections to clients and to hosts");
}

Discovery::Timeouts discoveryTimeouts(const load_balancing::Settings& settings) {
  const bool bounded = settings.maxDiscoverySilence > Duration{};
  const Duration watchTime =
      bounded ? std::min(settings.maxDiscoverySilence / kWatchesInAllowedSilence, kMaxWatchTime)
              : kMaxWatchTime;
  return {watchTime, kMaxWatchTimeAfterFailure, kMaxDiscoverySilence};
}

}  // namespace finchstile
