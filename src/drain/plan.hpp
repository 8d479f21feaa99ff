// Schedule of a drain: when a gateway that has received the termination signal stops accepting clients,
// serving requests and waiting for hosts. No I/O.
//
// The platform kills the process 0.7 s after the longest deadline of a request, counted from the signal, and
// not earlier. Deadlines above 3 s count as 3 s. Requests without a response by then are lost.
//
//   signalledAt        the earliest time at which the signal may have been sent
//   acceptDeadline     until then clients can connect; later the process may exit once no client is left
//   serveDeadline      until then responses keep connections open; later each response closes its connection
//   listenerCloseTime  the accept queue is emptied, and the listener is closed
//   finalResponseTime  every open request gets its final response, also one that was received only in part
//   exitTime           the process exits
//   killTime           the earliest time at which the platform kills the process
//
// The time between exitTime and killTime is a margin for a delayed event loop. It grows by the largest lag
// observed during the drain, at most 0.2 s: exitTime and finalResponseTime become earlier by this lag, and
// the times before them as far as they depend on these. killTime does not change.
#pragma once

#include "finchstile/load_balancer.hpp"

namespace finchstile::drain {

using load_balancing::Duration;
using load_balancing::Time;

struct DrainSettings {
  Duration longestDeadline{};  // of all requests
  // How long connections are kept open at most; 0: each response closes its connection.
  Duration maxServeTime{};
  // Whether other processes accept from the same listener; if so, connections are not kept open.
  bool sharedListener = false;
};

class DrainPlan {
 public:
  // `signalledAt` is the time of the signal, or the earliest time at which it may have been sent.
  DrainPlan(Time signalledAt, const DrainSettings& settings);

  // Reports how late the event loop was. Negative lags are ignored.
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
