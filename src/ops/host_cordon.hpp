// Hosts that operators have taken out by hand. No I/O: what the list says goes in, what the gateway and the
// module go by comes out.
//
//   list says   out by hand   in force
//   active      no            active; for one that came back by hand, started at the call back at the
//   earliest active      yes           draining: finishes what it has, gets nothing new leaving     either
//   draining left        either        gone
//
// A call out that comes twice is one; a single call back undoes both. What is out stays out whatever the list
// says, also while the list does not name the host, and over a change of the process (`encode`).
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "finchstile/load_balancer.hpp"

namespace finchstile::ops {

using load_balancing::Duration;
using load_balancing::Time;

class HostCordon {
 public:
  static constexpr std::size_t kMaxHosts = 4096;  // hosts remembered; one more is turned down

  // False: there is no room. Out already: true, and nothing changes.
  bool cordon(const std::string& host);
  // True also if it was in. `now` by the gateway's clock: it counts as started no earlier, since nobody can
  // tell what was done to it meanwhile and the list may tell late.
  void uncordon(const std::string& host, Time now);

  bool isCordoned(const std::string& host) const;
  std::size_t count() const { return out_; }
  bool knows(const std::string& host) const { return marks_.count(host) > 0; }

  // What stands of an entry of the list.
  void apply(load_balancing::HostEntry& entry) const;
  // Forgets who came back by hand longer than `keep` ago: the list knows by then, and nobody is cold for
  // longer.
  void expire(Time now, Duration keep);

  // As text for the next process: "finchstile-out 1", then a line for each host that is out, its name
  // percent-encoded; last "end N". Unix time is not needed: who came back counts as just come back.
  std::string encode() const;
  // False, and nothing changed: the text is cut short or none of ours.
  bool decode(std::string_view text, Time now);

 private:
  struct Mark {
    bool out = false;
    Time back{};  // came back by hand
  };
  std::map<std::string, Mark> marks_;
  std::size_t out_ = 0;
};

}  // namespace finchstile::ops
