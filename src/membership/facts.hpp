// What a gateway knows of a host: facts, each with where it comes from, when it was so, and when that was
// heard. Facts are merged by rules that do not depend on the order in which they come, nor on how often (a
// join of a semilattice): late, repeated and crossing news give the same view. No I/O; the clock is passed
// in.
//
// Only the list names hosts, and only a newer list brings one back that drains or has gone: what a peer tells
// can make us more careful, never less.
#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "membership/terms.hpp"

namespace finchstile::membership {

// A host that has started anew is another process: nothing of the old one holds for it.
using Incarnation = Time;  // when it last started; 0: long ago

struct PhaseFact {
  HostPhase phase = HostPhase::active;
  std::uint64_t version = 0;  // of the list that had it
};

struct LoadFact {
  load_balancing::LoadReport report;
  Time observed{};  // when it was so, by our clock
  Time heard{};     // when we came to know
};

// What another gateway said of a host's phase. It counts as long as no list of ours is newer than what it
// saw.
struct HeardPhase {
  HostPhase phase = HostPhase::active;
  std::uint64_t version = 0;  // of its list
  Time observed{};
};

struct HostFacts {
  Incarnation started{};
  PhaseFact listed;
  std::optional<HeardPhase> heard;
  std::optional<LoadFact> load;
};

// The one that stands of two; either order gives the same.
PhaseFact join(const PhaseFact& a, const PhaseFact& b);
LoadFact join(const LoadFact& a, const LoadFact& b);
HeardPhase join(const HeardPhase& a, const HeardPhase& b);
HostFacts join(const HostFacts& a, const HostFacts& b);

// How far a fact of some age is still to be gone by, from 1 down to 0. A report tells of a queue that lasts
// for a few answers: after `half` it counts half, and after four times that for nothing. The figure is one
// for all facts of load, so that there is one place to measure it against.
double confidence(Duration age, Duration half);

class View {
 public:
  struct Limits {
    std::size_t hosts = 4096;                            // kept at the most; the list may name more
    Duration forget = std::chrono::minutes(2);           // after which one that has gone is not kept
    Duration peerHolds = std::chrono::seconds(10);       // a peer's word on a phase, without a list of ours
    Duration loadHalf = std::chrono::milliseconds(500);  // see `confidence`
  };
  explicit View(const Limits& limits) : limits_(limits) {}

  // Of a list, whole or of changes. Names a host if it is new.
  void onListed(std::string_view host, Incarnation started, HostPhase phase, std::uint64_t version, Time now);
  // What a whole list leaves out is gone, as of that version.
  void onWhole(std::uint64_t version, Time now);
  // Versions begin anew: another discovery is asked, or it has lost its count. Phases stand as they are, and
  // any list is newer; what peers said of other versions means nothing any more.
  void renumber();
  // The three below are passed over for hosts that no list has named; false then, and for what is older than
  // what stands.
  bool onLoad(std::string_view host, Incarnation started, const LoadFact& fact);
  bool onPeerPhase(std::string_view host, Incarnation started, const HeardPhase& fact);
  // All that a peer knows of a host, as it was at `observed`.
  bool onPeer(std::string_view host, const HostFacts& facts, Time observed);

  // In force: the worse of what lists and peers say. `out` if it is not known.
  HostPhase phase(std::string_view host, Time now) const;
  struct Load {
    load_balancing::LoadReport report;
    double confidence = 0;  // 0: none, or too old
    Duration age{};
  };
  Load load(std::string_view host, Time now) const;
  const HostFacts* find(std::string_view host) const;
  std::size_t size() const { return hosts_.size(); }
  std::uint64_t dropped() const { return dropped_; }  // hosts that had no place
  void sweep(Time now);  // forgets what has gone; to be called about once a second

 private:
  struct Known {
    HostFacts facts;
    Time gone{};  // since when; 0: it is not
  };
  const Limits limits_;
  std::map<std::string, Known, std::less<>> hosts_;
  std::uint64_t dropped_ = 0;
};

}  // namespace finchstile::membership
