// Timers of active requests, ordered by time and then by request id.
#pragma once

#include <functional>
#include <queue>
#include <vector>

#include "finchstile/load_balancer.hpp"

namespace finchstile::load_balancing {

struct RequestTimer {
  Time dueAt{};
  RequestId request = 0;
  bool operator>(const RequestTimer& other) const {
    return dueAt != other.dueAt ? dueAt > other.dueAt : request > other.request;
  }
};

class RequestTimers {
 public:
  void add(Time dueAt, RequestId request) { timers_.push({dueAt, request}); }

  bool isEmpty() const { return timers_.empty(); }
  const RequestTimer& next() const { return timers_.top(); }  // must not be empty
  RequestTimer pop() {
    const RequestTimer timer = timers_.top();
    timers_.pop();
    return timer;
  }

 private:
  std::priority_queue<RequestTimer, std::vector<RequestTimer>, std::greater<>> timers_;
};

}  // namespace finchstile::load_balancing
