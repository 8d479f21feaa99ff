// Messages to other gateways that wait for an answer, and when each is retransmitted or given up. No I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

#include "idempotency/ownership_settings.hpp"

namespace finchstile::idempotency {

// Identifies a message to another gateway and its answer; not a load_balancing::RequestId.
using RequestId = std::uint64_t;

struct PendingMessage {
  enum class Kind : std::uint8_t { claim, runFinishedNotice, responseRequest };
  Kind kind = Kind::claim;
  std::uint64_t run = 0;  // 0 for a RunFinishedNotice
  GatewayNumber to = 0;
  std::string payload;
};

class PendingMessages {
 public:
  // A message whose answer has not arrived in time.
  struct Overdue {
    PendingMessage message;
    bool givenUp = false;  // no longer pending; otherwise the caller retransmits it
  };

  // `settings` must outlive this object.
  explicit PendingMessages(const OwnershipSettings& settings) : settings_(settings) {}

  std::size_t size() const { return messages_.size(); }
  bool isFull() const { return messages_.size() >= settings_.maxPendingMessages; }

  // Adds a message that has been sent for the first time. Must not be called while isFull().
  void add(Time now, RequestId id, PendingMessage&& message);

  // Removes and returns the message that is answered: the one with that id, if it is of that kind and was
  // sent to `from`. Returns nothing if there is none or it was answered before.
  std::optional<PendingMessage> takeAnswered(RequestId id, GatewayNumber from, PendingMessage::Kind kind);

  void cancel(RequestId id);

  // The next message that is overdue at `now`, the longest overdue first; nothing if there is none.
  std::optional<Overdue> nextOverdue(Time now);

  std::optional<Time> nextDue() const;

 private:
  struct Waiting {
    PendingMessage message;
    std::uint32_t attemptsLeft = 0;
    Time dueAt{};
  };

  const OwnershipSettings& settings_;
  std::unordered_map<RequestId, Waiting> messages_;
  std::set<std::pair<Time, RequestId>> dueTimes_;  // one for each message
};

}  // namespace finchstile::idempotency
