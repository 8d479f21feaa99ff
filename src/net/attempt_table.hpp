// The attempts that are under way, and when each is given up.
#pragma once

#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

#include "finchstile/load_balancer.hpp"
#include "net/attempt_log.hpp"
#include "net/clock.hpp"
#include "net/upstream_messages.hpp"

namespace finchstile {

/// One attempt of a request at a host, until its outcome is known.
struct Attempt {
  load_balancing::RequestId request = 0;
  std::uint32_t number = 0;  ///< Counts the attempts of the request, from 0.
  load_balancing::HostId host = load_balancing::kNone;
  Time sentAt{};             ///< When it was handed to the pool; once its body is complete, when that was.
  Time deadline{};           ///< When it is given up.
  Time responseStartedAt{};  ///< 0: no head of a final response has come.
  Time firstByteAt{};        ///< When its first byte went out; 0: none has.
  HostObservation hostObservation;
  Time sendDeadline = Time::max();  ///< No byte may go out later.
};

/// Owns the attempts and their deadlines.
class AttemptTable {
 public:
  AttemptId newId() { return ++lastId_; }
  Attempt& add(AttemptId id, const Attempt& attempt);
  /// Null: there is no such attempt, or its outcome is known.
  Attempt* find(AttemptId id);
  bool contains(AttemptId id) const { return attempts_.count(id) > 0; }
  void setDeadline(AttemptId id, Attempt& attempt, Time deadline);
  /// Removes the attempt and returns it.
  std::optional<Attempt> remove(AttemptId id);

  std::optional<Time> nextDeadline() const;
  /// The attempt whose deadline passed first, if one has.
  std::optional<AttemptId> firstExpired(Time now) const;

 private:
  std::unordered_map<AttemptId, Attempt> attempts_;
  std::set<std::pair<Time, AttemptId>> deadlines_;
  AttemptId lastId_ = 0;
};

}  // namespace finchstile
