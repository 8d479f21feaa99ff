// Counters of a gateway since its start, and gauges of its present state.
#pragma once

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "finchstile/load_balancer.hpp"
#include "net/memory_account.hpp"
#include "net/transfer_policy.hpp"

namespace finchstile {

/// Finished requests by response status: 200; 429 or 503; any other. A request whose client disconnected
/// before the response is not counted.
struct ClassMetrics {
  std::string name;
  std::uint64_t succeeded = 0, rejected = 0, failed = 0;
};

/// Bytes of hosts that belong to no request, by the time since the last response on their connection: a
/// response that was sent twice, or what a host sends before it closes an idle connection.
class UnsolicitedBytesMetrics {
 public:
  using Duration = load_balancing::Duration;
  /// Upper bounds of the buckets, inclusive; the last bucket has none.
  static constexpr std::array<std::chrono::milliseconds, 6> kBounds{
      {std::chrono::milliseconds(1), std::chrono::milliseconds(5), std::chrono::milliseconds(10),
       std::chrono::milliseconds(25), std::chrono::milliseconds(100), std::chrono::milliseconds(1000)}};

  void add(Duration delay) {
    ++counts_[static_cast<std::size_t>(std::lower_bound(kBounds.begin(), kBounds.end(), delay) -
                                       kBounds.begin())];
    sum_ += delay;
  }
  /// Number of events by bucket, not cumulative.
  const std::array<std::uint64_t, kBounds.size() + 1>& counts() const { return counts_; }
  Duration sum() const { return sum_; }

 private:
  std::array<std::uint64_t, kBounds.size() + 1> counts_{};
  Duration sum_{};
};

/// Memory of the process against its limit, in bytes; all 0 if it has none.
struct MemoryMetrics {
  std::size_t limit = 0, resident = 0;
  std::size_t promised = 0;                          ///< Kept for bytes that have yet to arrive.
  std::array<std::uint64_t, kMemoryUses> refused{};  ///< How often there was no room, by MemoryUse.
};

/// Transfers between the gateway and its hosts that did not simply complete, since the start.
struct TransferMetrics {
  std::uint64_t prolonged = 0;          ///< How often an attempt's timeout passed and its transfer went on.
  std::uint64_t relayedAtDeadline = 0;  ///< Responses that were begun because their client's time ended.
  std::array<std::uint64_t, kTransferEndReasons> ended{};  ///< Incomplete ones, by TransferEndReason.
};

/// A snapshot of the counters and gauges.
struct GatewayMetrics {
  std::vector<ClassMetrics> classes;  ///< In the order of the settings.
  std::uint64_t attemptsSent = 0;     ///< Attempts whose last byte was written.
  std::uint64_t loadReports = 0;      ///< Valid load reports received from hosts.
  std::uint64_t malformedLoadReports = 0;
  UnsolicitedBytesMetrics unsolicitedBytes;
  std::uint64_t activeRequests = 0;     ///< Accepted requests that have not finished.
  std::uint64_t clientBufferBytes = 0;  ///< Memory that the buffers of all clients take.
  /// How often a client was not read because others held too much, since the start.
  std::uint64_t pausedReads = 0;
  MemoryMetrics memory;
  TransferMetrics transfers;
  std::uint64_t listedHosts = 0;   ///< Hosts of the endpoint list, including draining ones.
  std::uint64_t avoidedHosts = 0;  ///< Listed hosts that receive no new requests, for any reason.
};

}  // namespace finchstile
