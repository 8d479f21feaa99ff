// Pending attempts and their deadlines.
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
  std::uint32_t number = 0;  ///< Position among the attempts of the request, from 0.
  load_balancing::HostId host = load_balancing::kNone;
  Time sentAt{};    ///< When it was passed to the pool; for an incomplete body, when the body was completed.
  Time deadline{};  ///< When the attempt times out.
  Time responseStartedAt{};  ///< When the head of the final response arrived; 0 if it has not.
  Time firstByteAt{};        ///< When the first byte was sent; 0 if none was.
  HostObservation hostObservation;
  Time sendDeadline = Time::max();  ///< Latest time at which a byte may be sent.
  ConnectionUse connection;
};

/// Owns the attempts and their deadlines.
class AttemptTable {
 public:
  AttemptId newId() { return ++lastId_; }
  Attempt& add(AttemptId id, const Attempt& attempt);
  /// Returns null if there is no such attempt or if its outcome is known.
  Attempt* find(AttemptId id);
  bool contains(AttemptId id) const { return attempts_.count(id) > 0; }
  void setDeadline(AttemptId id, Attempt& attempt, Time deadline);
  /// Removes the attempt and returns it; none if there is no such attempt.
  std::optional<Attempt> remove(AttemptId id);

  std::optional<Time> nextDeadline() const;
  /// Returns the attempt with the earliest deadline if that has passed.
  std::optional<AttemptId> firstExpired(Time now) const;

 private:
  std::unordered_map<AttemptId, Attempt> attempts_;
  std::set<std::pair<Time, AttemptId>> deadlines_;
  AttemptId lastId_ = 0;
};

}  // namespace finchstile
