// The hosts that operators have cordoned. Determines the effective phase of an entry in the endpoint list. No
// I/O.
//
//   listed as   cordoned   effective phase
//   active      no         active; after an uncordon the host counts as started at that time or later
//   active      yes        draining: finishes its requests, gets no new ones
//   draining    either     draining
//   removed     either     removed
//
// One uncordon ends any number of cordons of a host. A cordon does not depend on the endpoint list: it lasts
// while the host is not listed, and it is passed to the next process of the gateway (encode()).
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
  static constexpr std::size_t kMaxHosts = 4096;  // cordoned hosts and recently uncordoned ones

  // Returns false if the host is new and the table is full. No effect on a host that is cordoned already.
  bool cordon(const std::string& host);

  // `now` is the time of the gateway's clock. The host counts as started no earlier than this, because it may
  // have been restarted while it was cordoned, and the list may report a restart late.
  void uncordon(const std::string& host, Time now);

  bool isCordoned(const std::string& host) const;
  std::size_t count() const { return cordonedHosts_; }
  bool isTracked(const std::string& host) const { return hosts_.count(host) > 0; }

  // Changes an entry of the endpoint list to its effective phase and start time.
  void apply(load_balancing::HostEntry& entry) const;

  // Erases hosts that were uncordoned more than `retention` ago. The list has reported any restart by then.
  void expire(Time now, Duration retention);

  // Returns the cordoned hosts as text for other processes: the line "finchstile-out 1", a line "out NAME"
  // for each host with its name percent-encoded, and the line "end N" with their number.
  std::string encode() const;

  // Replaces the cordoned hosts by those in the text; hosts not contained in it are uncordoned at `now`.
  // Returns false and changes nothing unless the text is complete and valid.
  bool decode(std::string_view text, Time now);

 private:
  struct HostState {
    bool cordoned = false;
    Time uncordonedAt{};
  };
  std::map<std::string, HostState> hosts_;
  std::size_t cordonedHosts_ = 0;
};

}  // namespace finchstile::ops
