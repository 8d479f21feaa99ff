// When a gateway that has received the signal to end stops accepting clients, serving them, and waiting for
// hosts. No I/O.
//
// The platform kills the process 0.7 s after the longest deadline of a request, counted from the signal, and
// no sooner. Deadlines above 3 s count as 3 s. Requests that are unanswered by then are lost.
//
//   signalledAt        the earliest time at which the signal may have been sent
//   acceptDeadline     until then clients may still connect; later the process may end once no client is left
//   serveDeadline      until then responses leave connections open; later each response closes its connection
//   listenerCloseTime  the accept queue is emptied, and the listener is closed
//   finalResponseTime  every open request gets its final response, also one that has arrived only in part
//   exitTime           the process ends
//   killTime           the earliest time at which the platform kills the process
//
// The time between exit and kill is a margin for a late event loop. It grows by the worst lag seen while
// draining, at most 0.2 s: exitTime and finalResponseTime become that much earlier, and the times before them
// as far as they depend on these. killTime stays.
#pragma once

#include "finchstile/load_balancer.hpp"

namespace finchstile::drain {

using load_balancing::Duration;
using load_balancing::Time;

struct DrainSettings {
  Duration longestDeadline{};  // of any request
  Duration
      maxServeTime{};  // for how long connections stay open at most; 0: each response closes its connection
  bool sharedListener = false;  // other processes accept from the listener, so no connection stays open
};

class DrainPlan {
 public:
  // `signalledAt`: the time of the signal, or the earliest time at which it may have come.
  DrainPlan(Time signalledAt, const DrainSettings& settings);

  // The event loop was so late. Negative lags are ignored.
  void onLag(Duration lag);

  Time acceptDeadline() const;
  Time serveDeadline() const;
  Time listenerCloseTime() const;
  Time finalResponseTime() const;
  Time exitTime() const;
  Time killTime() const { return killAt_; }

 private:
  Time signalledAt_, killAt_;
  Duration maxServeTime_;
  bool sharedListener_;
  Duration worstLag_{};
};

}  // namespace finchstile::drain
