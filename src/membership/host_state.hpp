// What a gateway knows of one host: observations, each with its source and age, and the rules that merge
// them. A merge is the join of a semilattice: late, repeated and reordered observations lead to the same
// state. No I/O.
#pragma once

#include <cstdint>
#include <optional>

#include "membership/host_phase.hpp"

namespace finchstile::membership {

// When the host's process started; 0: long ago. A host that restarts is another process, to which no earlier
// observation applies.
using Incarnation = Time;

// The phase in an endpoint list.
struct ListedPhase {
  HostPhase phase = HostPhase::active;
  std::uint64_t version = 0;  // of that list
};

struct LoadObservation {
  load_balancing::LoadReport report;
  Time observedAt{};  // when the report was true
  Time receivedAt{};  // when it reached this gateway
};

// The phase in another gateway's list. It counts as long as none of our lists is as new.
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

// The newer version; of two phases in one version the worse one: discovery had both, and one was obsolete.
ListedPhase join(const ListedPhase& a, const ListedPhase& b);
// The later observation. If both were made at the same time: the higher load, then the one received first.
LoadObservation join(const LoadObservation& a, const LoadObservation& b);
// The newer version, then the worse phase, then the earlier observation: repeating one does not make it
// younger.
PeerPhase join(const PeerPhase& a, const PeerPhase& b);
// The later incarnation; of one incarnation the join of all observations.
HostState join(const HostState& a, const HostState& b);

// The weight of an observation, from 1 down to 0. It halves with each `halfLife` and ends after four of them:
// a load report describes a queue that lasts for a few responses only.
double confidence(Duration age, Duration halfLife);

}  // namespace finchstile::membership
