#include "membership/host_state_table.hpp"

#include <algorithm>

namespace finchstile::membership {

void HostStateTable::onListed(std::string_view host, Incarnation incarnation, HostPhase phase,
                              std::uint64_t version, Time now) {
  HostState listed;
  listed.incarnation = incarnation;
  listed.listed = {phase, version};
  auto it = hosts_.find(host);
  if (it == hosts_.end()) {
    if (hosts_.size() >= limits_.maxHosts) {
      ++droppedHosts_;
      return;
    }
    it = hosts_.emplace(std::string(host), Entry{listed, {}}).first;
  } else {
    it->second.state = join(it->second.state, listed);
  }
  updateRemovedAt(it->second, now);
}

void HostStateTable::updateRemovedAt(Entry& entry, Time now) const {
  if (entry.state.listed.phase != HostPhase::removed) entry.removedAt = Time{};
  else if (entry.removedAt == Time{}) entry.removedAt = now;
}

void HostStateTable::onCompleteList(std::uint64_t version, Time now) {
  for (auto& [name, entry] : hosts_) {
    if (entry.state.listed.version >= version) continue;
    entry.state.listed = {HostPhase::removed, version};
    updateRemovedAt(entry, now);
  }
}

void HostStateTable::resetVersions() {
  for (auto& [name, entry] : hosts_) {
    entry.state.listed.version = 0;
    entry.state.peerPhase.reset();
  }
}

bool HostStateTable::onLoadReport(std::string_view host, Incarnation incarnation,
                                  const LoadObservation& load) {
  const auto it = hosts_.find(host);
  if (it == hosts_.end() || it->second.state.incarnation != incarnation) return false;
  std::optional<LoadObservation>& known = it->second.state.load;
  if (!known) {
    known = load;
    return true;
  }
  const LoadObservation joined = join(*known, load);
  if (joined.observedAt != load.observedAt) return false;
  known = joined;
  return true;
}

bool HostStateTable::onPeerPhase(std::string_view host, Incarnation incarnation, const PeerPhase& phase) {
  const auto it = hosts_.find(host);
  // The phase of another incarnation is ignored: the own list will contain a new incarnation soon.
  if (it == hosts_.end() || it->second.state.incarnation != incarnation) return false;
  std::optional<PeerPhase>& known = it->second.state.peerPhase;
  known = known ? join(*known, phase) : phase;
  return true;
}

bool HostStateTable::onPeerState(std::string_view host, const HostState& state, Time observedAt) {
  const bool loadChanged = state.load && onLoadReport(host, state.incarnation, *state.load);
  const PeerPhase peerPhase{state.listed.phase, state.listed.version, observedAt};
  const bool phaseChanged = onPeerPhase(host, state.incarnation, peerPhase);
  return loadChanged || phaseChanged;
}

HostPhase HostStateTable::phase(std::string_view host, Time now) const {
  const HostState* state = find(host);
  if (!state) return HostPhase::removed;
  if (!state->peerPhase || state->peerPhase->version <= state->listed.version) return state->listed.phase;
  // The list of a peer is newer than the own one only for a short time. Without this limit a peer with a
  // wrong version could remove a host permanently.
  if (now - state->peerPhase->observedAt >= limits_.peerPhaseLifetime) return state->listed.phase;
  return worsePhase(state->listed.phase, state->peerPhase->phase);
}

HostStateTable::Load HostStateTable::load(std::string_view host, Time now) const {
  const HostState* state = find(host);
  if (!state || !state->load) return {};
  const Duration age = std::max(now - state->load->observedAt, Duration{});
  return {state->load->report, confidence(age, limits_.loadHalfLife), age};
}

const HostState* HostStateTable::find(std::string_view host) const {
  const auto it = hosts_.find(host);
  return it == hosts_.end() ? nullptr : &it->second.state;
}

void HostStateTable::removeExpired(Time now) {
  std::erase_if(hosts_, [&](const auto& item) {
    const Time removedAt = item.second.removedAt;
    return removedAt != Time{} && now - removedAt >= limits_.removedRetention;
  });
}

}  // namespace finchstile::membership
