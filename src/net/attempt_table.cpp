#include "net/attempt_table.hpp"

namespace finchstile {

Attempt& AttemptTable::add(AttemptId id, const Attempt& attempt) {
  deadlines_.emplace(attempt.deadline, id);
  return attempts_[id] = attempt;
}

Attempt* AttemptTable::find(AttemptId id) {
  const auto found = attempts_.find(id);
  return found == attempts_.end() ? nullptr : &found->second;
}

void AttemptTable::setDeadline(AttemptId id, Attempt& attempt, Time deadline) {
  deadlines_.erase({attempt.deadline, id});
  attempt.deadline = deadline;
  deadlines_.emplace(deadline, id);
}

std::optional<Attempt> AttemptTable::remove(AttemptId id) {
  const auto found = attempts_.find(id);
  if (found == attempts_.end()) return std::nullopt;
  const Attempt attempt = found->second;
  attempts_.erase(found);
  deadlines_.erase({attempt.deadline, id});
  return attempt;
}

std::optional<Time> AttemptTable::nextDeadline() const {
  if (deadlines_.empty()) return std::nullopt;
  return deadlines_.begin()->first;
}

std::optional<AttemptId> AttemptTable::firstExpired(Time now) const {
  if (deadlines_.empty() || deadlines_.begin()->first > now) return std::nullopt;
  return deadlines_.begin()->second;
}

}  // namespace finchstile
