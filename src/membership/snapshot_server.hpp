// Answers snapshot requests of starting gateways at a bounded rate. No I/O; the clock is passed in.
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
    std::size_t maxConcurrent = 4;                   // answers in transmission; other requests are refused
    Duration minInterval = std::chrono::seconds(1);  // between two answers to one gateway
  };
  explicit SnapshotServer(const Settings& settings) : settings_(settings) {}

  // True if the payload is a request. `makeSnapshot` is called only if it is answered.
  bool onMessage(GatewayNumber from, std::string_view payload, Time now,
                 const std::function<StateSnapshot()>& makeSnapshot);
  // The next chunks to send, of all answers in turn: a long answer does not delay the others.
  std::vector<OutgoingMessage> tick();
  bool hasPending() const { return !pending_.empty(); }
  std::uint64_t answeredCount() const { return answeredCount_; }
  std::uint64_t refusedCount() const { return refusedCount_; }

 private:
  struct Answer {
    GatewayNumber recipient = 0;
    std::deque<std::string> chunks;  // still to be sent; never empty
  };

  const Settings settings_;
  std::deque<Answer> pending_;
  std::map<GatewayNumber, Time> answeredAt_;  // bounded by the number of gateways
  std::uint64_t answeredCount_ = 0;
  std::uint64_t refusedCount_ = 0;
};

}  // namespace finchstile::membership
