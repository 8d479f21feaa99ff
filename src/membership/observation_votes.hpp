// The observations of other gateways that one host is unresponsive. No I/O.
#pragma once

#include <cstddef>
#include <vector>

#include "membership/gossip_message.hpp"

namespace finchstile::membership {

// Keeps one vote of each gateway, the latest.
class ObservationVotes {
 public:
  // Drops the votes that were observed at or before this time.
  void discardUntil(Time time);
  // With `maxVotes` of other gateways the vote replaces the oldest one, if it is younger than that.
  void add(GatewayNumber from, Time observedAt, std::size_t maxVotes);
  void clear() { votes_.clear(); }
  // Since when `quorum` gateways agree: the observation time of the youngest `quorum` votes' oldest one; 0 if
  // there are fewer. By the youngest vote alone a single liar could prolong what the others have given up.
  Time quorumSince(std::size_t quorum) const;

 private:
  struct Vote {
    GatewayNumber from = 0;
    Time observedAt{};
  };
  std::vector<Vote> votes_;
};

}  // namespace finchstile::membership
