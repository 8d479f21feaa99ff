// The states of all hosts in the endpoint lists. Only a list adds a host, and only a newer list reactivates a
// draining or removed host: reports of peers can make the effective phase worse but never better. No I/O; the
// caller passes the current time.
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
    std::size_t maxHosts = 4096;                             // further hosts of the lists are dropped
    Duration removedRetention = std::chrono::minutes(2);     // how long the state of a removed host is kept
    Duration peerPhaseLifetime = std::chrono::seconds(10);   // of a peer's phase that no own list confirms
    Duration loadHalfLife = std::chrono::milliseconds(500);  // see `confidence`
  };
  explicit HostStateTable(const Limits& limits) : limits_(limits) {}

  // To be called for each entry of a complete or incremental list. Adds the host if it is new.
  void onListed(std::string_view host, Incarnation incarnation, HostPhase phase, std::uint64_t version,
                Time now);
  // To be called after the entries of a complete list. Marks hosts that the list omits as removed in this
  // version.
  void onCompleteList(std::uint64_t version, Time now);
  // To be called when list versions start over, because discovery was replaced or has lost its version
  // counter. Keeps the phases, but any later list is newer. Drops peer phases, whose versions are no longer
  // comparable.
  void resetVersions();

  // Return false if the host is not listed with this incarnation. `onLoadReport` also returns false if a
  // newer report is known.
  bool onLoadReport(std::string_view host, Incarnation incarnation, const LoadObservation& load);
  bool onPeerPhase(std::string_view host, Incarnation incarnation, const PeerPhase& phase);
  // Merges the state of the host at a peer as of `observedAt`.
  bool onPeerState(std::string_view host, const HostState& state, Time observedAt);

  // The effective phase: the worse one of the phases in the lists and of peers. `removed` for an unknown
  // host.
  HostPhase phase(std::string_view host, Time now) const;
  struct Load {
    load_balancing::LoadReport report;
    double confidence = 0;  // 0: no report, or it is too old
    Duration age{};
  };
  Load load(std::string_view host, Time now) const;
  const HostState* find(std::string_view host) const;  // null if unknown; valid until the next change
  std::size_t size() const { return hosts_.size(); }
  std::uint64_t droppedHosts() const { return droppedHosts_; }  // entries dropped because the table was full
  // Erases hosts that were removed more than `removedRetention` ago. To be called about once per second.
  void removeExpired(Time now);

 private:
  struct Entry {
    HostState state;
    Time removedAt{};  // 0: not removed
  };
  void updateRemovedAt(Entry& entry, Time now) const;

  const Limits limits_;
  std::map<std::string, Entry, std::less<>> hosts_;
  std::uint64_t droppedHosts_ = 0;
};

}  // namespace finchstile::membership
