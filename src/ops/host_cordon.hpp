// The hosts that operators have cordoned. Decides what of an entry of the endpoint list is in force. No I/O.
//
//   listed as   cordoned   in force
//   active      no         active; a host that was uncordoned counts as started no earlier than that
//   active      yes        draining: finishes what it has, gets nothing new
//   draining    either     draining
//   gone        either     gone
//
// A host that is cordoned twice is uncordoned by one call. It stays cordoned whatever the list says, also
// while the list does not name it, and for the next process of the gateway (encode()).
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
  static constexpr std::size_t kMaxHosts = 4096;  // remembered, cordoned or not

  // Returns false if too many hosts are remembered. A host that is cordoned stays so.
  bool cordon(const std::string& host);

  // `now`: of the gateway's clock. The host counts as started no earlier, since nobody can tell what was done
  // to it meanwhile, and the list may report its restart late.
  void uncordon(const std::string& host, Time now);

  bool isCordoned(const std::string& host) const;
  std::size_t count() const { return cordonedHosts_; }
  bool isTracked(const std::string& host) const { return hosts_.count(host) > 0; }

  // Changes an entry of the list to what is in force.
  void apply(load_balancing::HostEntry& entry) const;

  // Forgets hosts that were uncordoned longer than `keep` ago. The list has reported their restart by then.
  void expire(Time now, Duration keep);

  // The cordoned hosts as text for other processes: the line "finchstile-out 1", a line "out NAME" for each
  // host with its name percent-encoded, and the line "end N" with their number.
  std::string encode() const;

  // Takes over such a text: hosts that it does not name are uncordoned at `now`. Returns false and changes
  // nothing unless the text is complete and valid.
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
