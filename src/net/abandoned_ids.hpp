// Correlation ids of requests whose clients left while a host may have been executing them.
#pragma once

#include <chrono>
#include <cstddef>
#include <deque>
#include <string>
#include <string_view>
#include <unordered_set>
#include <utility>

#include "net/clock.hpp"

namespace finchstile {

/// A request that arrives with such an id again would be executed twice. Ids are forgotten after a time, and
/// the oldest ones if there are too many. No I/O.
class AbandonedIds {
 public:
  static constexpr Duration kKeepTime = std::chrono::minutes(1);
  static constexpr std::size_t kMaxIds = 16384;

  void add(std::string_view id, Time now) {
    if (ids_.count(id) > 0) return;
    ids_.insert(order_.emplace_back(now, id).second);
    if (order_.size() > kMaxIds) removeOldest();
  }

  bool contains(std::string_view id, Time now) {
    while (!order_.empty() && order_.front().first + kKeepTime <= now) removeOldest();
    return ids_.count(id) > 0;
  }

  std::size_t size() const { return ids_.size(); }
  /// The ids with the times at which they were added, the oldest first.
  const std::deque<std::pair<Time, std::string>>& all() const { return order_; }

 private:
  void removeOldest() {
    ids_.erase(order_.front().second);
    order_.pop_front();
  }

  std::deque<std::pair<Time, std::string>> order_;  // the oldest first; its elements don't move
  std::unordered_set<std::string_view> ids_;        // of `order_`
};

}  // namespace finchstile
