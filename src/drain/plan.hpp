// When a gateway that has received the signal to end stops accepting clients, serving them, and waiting for
// hosts. No I/O.
//
// The platform kills the process no sooner than 0.7 s after the longest deadline of a request, counted from
// the signal; of a longer deadline it counts 3 s. Requests that are unanswered then are lost, so every time
// is counted back from there:
//
//   signalledAt        the signal, as early as it may have come
//   acceptDeadline     load balancers in front connect until then; after it the process may end once no
//   client is left serveDeadline      connections stay open until then; from then on a response closes its
//   connection listenerCloseTime  the connections in the accept queue are accepted, and no others
//   finalResponseTime  every open request gets its final response at once, even if only a part of it has
//   arrived exitTime           the process ends killTime           the earliest time at which it is killed
//
// The time between exit and kill is a margin for an event loop that is late. It grows with the lag seen while
// draining, which moves all times from serveDeadline on forward.
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
