// When a gateway that was told to end stops taking clients, serving them on, and waiting for hosts. No I/O.
//
// The platform ends the process by force at the earliest 0.7 s after the longest deadline, counted from the
// signal; of a longer deadline it counts 3 s. What is unanswered then is lost. So every instant is counted
// back from there:
//
//   told            the signal, as early as it may have come
//   acceptUntil     fronts go on connecting until then; behind it the process may end once nobody is left
//   serveUntil      connections are served on and stay open; from here on answers close them
//   closeListener   what waits in the accept queue is taken, then nobody comes any more
//   lastCall        whatever is open gets its final answer at once, also a request that is half here
//   exit            the process ends
//   kill            the earliest end by force
//
// The time between exit and kill is the margin: for a loop that comes late. It grows with the lag that is
// seen while draining, and everything from serveUntil on moves ahead with it.
#pragma once

#include "finchstile/load_balancer.hpp"

namespace finchstile::drain {

using load_balancing::Duration;
using load_balancing::Time;

struct Terms {
  Duration longest{};   // the longest deadline of any request; 0 or more
  Duration serveFor{};  // connections are served on for so long at the most; 0: answers close them at once
  bool sharedListener = false;  // other processes take what comes to the listener: nobody is served on
};

class Plan {
 public:
  // `told`: when the signal came, or the earliest time at which it may have.
  Plan(Time told, const Terms& terms);

  // The loop came so late to something since. What makes no sense (below 0) counts as 0.
  void onLag(Duration lag);

  Time acceptUntil() const;
  Time serveUntil() const;
  Time closeListener() const;
  Time lastCall() const;
  Time exit() const;
  Time kill() const { return kill_; }

 private:
  Time told_, kill_;
  Duration serveFor_;
  bool sharedListener_;
  Duration lag_{};  // the worst
};

}  // namespace finchstile::drain
