// The state of one host at one gateway: observations with their source and age, and the rules for merging
// them. A merge is the join of a semilattice, so delayed, repeated and reordered observations lead to the
// same state. No I/O.
#pragma once

#include <cstdint>
#include <optional>

#include "membership/host_phase.hpp"

namespace finchstile::membership {

// Start time of the host's process; 0: long ago. After a restart earlier observations of the host no longer
// apply.
using Incarnation = Time;

// The phase according to the endpoint lists.
struct ListedPhase {
  HostPhase phase = HostPhase::active;
  std::uint64_t version = 0;  // of the list that contains the phase
};

struct LoadObservation {
  load_balancing::LoadReport report;
  Time observedAt{};  // time at which the reported load applied
  Time receivedAt{};  // by this gateway
};

// The phase in the endpoint list of another gateway. It applies until this gateway has a list of the same or
// a newer version.
struct PeerPhase {
  HostPhase phase = HostPhase::active;
  std::uint64_t version = 0;  // of the other gateway's list
  Time observedAt{};
};

struct HostState {
  Incarnation incarnation{};
  ListedPhase listed;
  std::optional<PeerPhase> peerPhase;
  std::optional<LoadObservation> load;
};

// The phase of the newer version. Of two phases with the same version the worse one: discovery published
// both, and one of them was obsolete.
ListedPhase join(const ListedPhase& a, const ListedPhase& b);
// The later observation; at equal times the one with the higher load, then the one received first.
LoadObservation join(const LoadObservation& a, const LoadObservation& b);
// The newer version, then the worse phase, then the earlier observation, so that a repetition does not renew
// an observation.
PeerPhase join(const PeerPhase& a, const PeerPhase& b);
// The later incarnation; within the same incarnation the join of all observations.
HostState join(const HostState& a, const HostState& b);

// Weight of an observation of this age, from 1 to 0. It halves every `halfLife` and is 0 after four of them,
// because a load report describes a queue that exists only for the duration of a few responses.
double confidence(Duration age, Duration halfLife);

}  // namespace finchstile::membership
