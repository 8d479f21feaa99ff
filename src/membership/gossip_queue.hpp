// Queue of the updates that a gateway still has to send. Each update is sent a fixed number of times, the
// least transmitted updates first, as in the dissemination of SWIM (Das, Gupta, Motivala 2002, section 4.1).
// No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "membership/gossip_message.hpp"

namespace finchstile::membership {

class GossipQueue {
 public:
  // Each update is sent `transmissions` times. The queue holds at most `maxUpdates` updates, one for each
  // host.
  GossipQueue(std::size_t maxUpdates, std::uint32_t transmissions)
      : maxUpdates_(maxUpdates), transmissions_(transmissions) {}

  // Replaces an earlier update of the same host. Returns false if the queue is full.
  bool enqueue(const GossipUpdate& update);
  bool contains(HostKey host) const { return entries_.count(host) > 0; }
  bool empty() const { return entries_.empty(); }
  void erase(HostKey host) { entries_.erase(host); }
  // For a host whose state is dropped. An update about its draining or removal stays queued.
  void eraseIfUnresponsive(HostKey host);

  // Returns the updates of one message, those with the most remaining transmissions first.
  std::vector<GossipUpdate> nextBatch() const;
  // Counts a transmission of the host's update and drops the update after the last one.
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
