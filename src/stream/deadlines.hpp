// Deadline queue of streams without a timer for each. Activity only updates the time stored in the stream;
// the stream is examined when its deadline passes, and rescheduled if it was active since. The cost is one
// check per idle timeout, independent of the traffic. No I/O.
#pragma once

#include <cstdint>
#include <set>
#include <unordered_map>
#include <utility>

#include "net/clock.hpp"

namespace finchstile::stream {

class Deadlines {
 public:
  // Sets the deadline of `id`; `Time::max()` removes it.
  void set(std::uint64_t id, Time at) {
    const auto it = at_.find(id);
    if (it != at_.end()) {
      if (it->second == at) return;
      order_.erase({it->second, id});
      if (at == Time::max()) {
        at_.erase(it);
        return;
      }
      it->second = at;
    } else {
      if (at == Time::max()) return;
      at_.emplace(id, at);
    }
    order_.emplace(at, id);
  }
  // Moves the deadline earlier, never later.
  void setNoLaterThan(std::uint64_t id, Time at) {
    const auto it = at_.find(id);
    if (it == at_.end() || at < it->second) set(id, at);
  }
  void erase(std::uint64_t id) { set(id, Time::max()); }

  Time next() const { return order_.empty() ? Time::max() : order_.begin()->first; }
  // Removes and returns a stream whose deadline has passed; 0 if there is none.
  std::uint64_t pop(Time now) {
    if (order_.empty() || order_.begin()->first > now) return 0;
    const std::uint64_t id = order_.begin()->second;
    order_.erase(order_.begin());
    at_.erase(id);
    return id;
  }
  std::size_t size() const { return at_.size(); }

 private:
  std::set<std::pair<Time, std::uint64_t>> order_;
  std::unordered_map<std::uint64_t, Time> at_;
};

}  // namespace finchstile::stream
