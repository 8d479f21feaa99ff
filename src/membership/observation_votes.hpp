// Observations of other gateways that a host is unresponsive. No I/O.
#pragma once

#include <cstddef>
#include <vector>

#include "membership/gossip_message.hpp"

namespace finchstile::membership {

// Keeps the latest observation of each gateway as its vote on one host.
class ObservationVotes {
 public:
  // Drops the votes observed at or before `time`.
  void discardUntil(Time time);
  // Adds the vote or updates the gateway's earlier one. If `maxVotes` gateways have a vote already, a new
  // vote replaces the oldest one if it is younger than that one.
  void add(GatewayNumber from, Time observedAt, std::size_t maxVotes);
  void clear() { votes_.clear(); }
  // The time since which `quorum` gateways agree: the oldest of the `quorum` youngest votes; 0 if there are
  // fewer votes. If the youngest vote decided alone, a single faulty gateway could extend an observation that
  // the others no longer make.
  Time quorumSince(std::size_t quorum) const;

 private:
  struct Vote {
    GatewayNumber from = 0;
    Time observedAt{};
  };
  std::vector<Vote> votes_;
};

}  // namespace finchstile::membership
