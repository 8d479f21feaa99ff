// When to look at which stream again, without a timer for each: a stream that moves only notes the time; it
// is looked at when it could have become due, and put back if it moved since. So a look costs once for each
// idle time, however much goes on. No I/O.
#pragma once

#include <cstdint>
#include <set>
#include <unordered_map>
#include <utility>

#include "net/clock.hpp"

namespace finchstile::stream {

class Deadlines {
 public:
  // Brings forward, or puts off, the look at `id`; `Time::max()`: none.
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
  // Brings it forward only.
  void atLatest(std::uint64_t id, Time at) {
    const auto it = at_.find(id);
    if (it == at_.end() || at < it->second) set(id, at);
  }
  void erase(std::uint64_t id) { set(id, Time::max()); }

  Time next() const { return order_.empty() ? Time::max() : order_.begin()->first; }
  // One that is due, taken out; 0: none.
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
