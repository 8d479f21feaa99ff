// The updates that a gateway still has to pass on: each one is sent a fixed number of times, those sent least
// first, as in the dissemination of SWIM (Das, Gupta, Motivala 2002, section 4.1). No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "membership/gossip_message.hpp"

namespace finchstile::membership {

class GossipQueue {
 public:
  // `transmissions`: how often each update is sent. At most `maxUpdates` hosts have an update at a time.
  GossipQueue(std::size_t maxUpdates, std::uint32_t transmissions)
      : maxUpdates_(maxUpdates), transmissions_(transmissions) {}

  // Replaces an earlier update of this host. False: there is no room.
  bool enqueue(const GossipUpdate& update);
  bool contains(HostKey host) const { return entries_.count(host) > 0; }
  bool empty() const { return entries_.empty(); }
  void erase(HostKey host) { entries_.erase(host); }
  // For a host that is forgotten: that it was removed is still passed on.
  void eraseIfUnresponsive(HostKey host);

  // Up to one message of updates, those with the most transmissions left first.
  std::vector<GossipUpdate> nextBatch() const;
  // After a transmission: the update is dropped after its last one.
  void onTransmitted(HostKey host);

 private:
  struct Entry {
    GossipUpdate update;
    std::uint32_t remaining = 0;
  };
  std::size_t maxUpdates_;
  std::uint32_t transmissions_;
  std::map<HostKey, Entry> entries_;
};

}  // namespace finchstile::membership
