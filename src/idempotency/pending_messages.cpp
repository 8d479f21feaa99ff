#include "idempotency/pending_messages.hpp"

namespace finchstile::idempotency {

void PendingMessages::add(Time now, RequestId id, PendingMessage&& message) {
  const Time dueAt = now + settings_.retransmitAfter;
  dueTimes_.emplace(dueAt, id);
  messages_[id] = {std::move(message), settings_.maxAttempts - 1, dueAt};
}

std::optional<PendingMessage> PendingMessages::takeAnswered(RequestId id, GatewayNumber from,
                                                            PendingMessage::Kind kind) {
  const auto it = messages_.find(id);
  if (it == messages_.end()) return std::nullopt;
  Waiting& waiting = it->second;
  if (waiting.message.to != from || waiting.message.kind != kind) return std::nullopt;
  PendingMessage message = std::move(waiting.message);
  dueTimes_.erase({waiting.dueAt, id});
  messages_.erase(it);
  return message;
}

void PendingMessages::cancel(RequestId id) {
  const auto it = messages_.find(id);
  if (it == messages_.end()) return;
  dueTimes_.erase({it->second.dueAt, id});
  messages_.erase(it);
}

std::optional<PendingMessages::Overdue> PendingMessages::nextOverdue(Time now) {
  if (dueTimes_.empty() || dueTimes_.begin()->first > now) return std::nullopt;
  const RequestId id = dueTimes_.begin()->second;
  dueTimes_.erase(dueTimes_.begin());
  Waiting& waiting = messages_.at(id);
  if (waiting.attemptsLeft == 0) {
    Overdue overdue{std::move(waiting.message), true};
    messages_.erase(id);
    return overdue;
  }
  --waiting.attemptsLeft;
  waiting.dueAt = now + settings_.retransmitAfter;
  dueTimes_.emplace(waiting.dueAt, id);
  return Overdue{waiting.message, false};
}

std::optional<Time> PendingMessages::nextDue() const {
  if (dueTimes_.empty()) return std::nullopt;
  return dueTimes_.begin()->first;
}

}  // namespace finchstile::idempotency
