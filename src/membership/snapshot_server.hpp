// Answers snapshot requests of starting gateways at a limited rate. No I/O; the caller passes the current
// time.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "membership/snapshot_message.hpp"

namespace finchstile::membership {

class SnapshotServer {
 public:
  struct Settings {
    std::size_t messagesPerTick = 20;
    std::size_t maxConcurrent = 4;                   // responses being sent; further requests are refused
    Duration minInterval = std::chrono::seconds(1);  // between two responses to the same gateway
  };
  explicit SnapshotServer(const Settings& settings) : settings_(settings) {}

  // Returns whether the payload is a snapshot request, answered or refused. `makeSnapshot` is called only if
  // the request is answered.
  bool onMessage(GatewayNumber from, std::string_view payload, Time now,
                 const std::function<StateSnapshot()>& makeSnapshot);
  // Returns the next chunks to send, at most `messagesPerTick`. Pending responses take turns, so a long one
  // does not delay the others.
  std::vector<OutgoingMessage> tick();
  bool hasPending() const { return !pending_.empty(); }
  std::uint64_t answeredCount() const { return answeredCount_; }
  std::uint64_t refusedCount() const { return refusedCount_; }

 private:
  struct PendingResponse {
    GatewayNumber recipient = 0;
    std::deque<std::string> chunks;  // remaining chunks; never empty
  };

  const Settings settings_;
  std::deque<PendingResponse> pending_;
  std::map<GatewayNumber, Time> answeredAt_;  // bounded by the number of gateways
  std::uint64_t answeredCount_ = 0;
  std::uint64_t refusedCount_ = 0;
};

}  // namespace finchstile::membership
