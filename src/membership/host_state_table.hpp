// The state of all hosts that the endpoint lists name. Only a list adds a host, and only a newer list
// reactivates one that drains or was removed: what peers report can make the phase in force worse, never
// better. No I/O; the clock is passed in.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "membership/host_state.hpp"

namespace finchstile::membership {

class HostStateTable {
 public:
  struct Limits {
    std::size_t maxHosts = 4096;                            // the lists may name more; those are dropped
    Duration removedRetention = std::chrono::minutes(2);    // how long a removed host is remembered
    Duration peerPhaseLifetime = std::chrono::seconds(10);  // of a peer's phase that no list of ours confirms
    Duration loadHalfLife = std::chrono::milliseconds(500);  // see `confidence`
  };
  explicit HostStateTable(const Limits& limits) : limits_(limits) {}

  // An entry of a complete list or of a change. Adds the host if it is new.
  void onListed(std::string_view host, Incarnation incarnation, HostPhase phase, std::uint64_t version,
                Time now);
  // After all entries of a complete list: the hosts that it left out are removed as of this version.
  void onCompleteList(std::uint64_t version, Time now);
  // Versions start over: another discovery is used, or it lost its count. Phases stay, any list is newer than
  // them, and peer phases are dropped because their versions are no longer comparable.
  void resetVersions();

  // These return false if the observation has no effect: the host is not listed with this incarnation, or a
  // newer observation is known.
  bool onLoadReport(std::string_view host, Incarnation incarnation, const LoadObservation& load);
  bool onPeerPhase(std::string_view host, Incarnation incarnation, const PeerPhase& phase);
  // All that a peer knows of a host, as of `observedAt`.
  bool onPeerState(std::string_view host, const HostState& state, Time observedAt);

  // The phase in force: the worse one of the lists' and the peers'. `removed` for an unknown host.
  HostPhase phase(std::string_view host, Time now) const;
  struct Load {
    load_balancing::LoadReport report;
    double confidence = 0;  // 0: there is no report, or it is too old
    Duration age{};
  };
  Load load(std::string_view host, Time now) const;
  const HostState* find(std::string_view host) const;  // null: unknown; valid until the next change
  std::size_t size() const { return hosts_.size(); }
  std::uint64_t droppedHosts() const { return droppedHosts_; }  // entries for which there was no room
  // Forgets hosts that were removed long ago. To be called about once per second.
  void removeExpired(Time now);

 private:
  struct Entry {
    HostState state;
    Time removedAt{};  // 0: it is not removed
  };
  void updateRemovedAt(Entry& entry, Time now) const;

  const Limits limits_;
  std::map<std::string, Entry, std::less<>> hosts_;
  std::uint64_t droppedHosts_ = 0;
};

}  // namespace finchstile::membership
