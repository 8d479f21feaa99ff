// The gateway's part for the list of hosts.
#include <algorithm>
#include <cstdio>

#include "net/gateway.hpp"

namespace finchstile {
namespace {

using load_balancing::HostId;
using load_balancing::HostListUpdate;
using load_balancing::HostPhase;
using load_balancing::kNone;

}  // namespace

void Gateway::learnHosts(const HostList& list, HostListUpdate kind) {
  std::vector<load_balancing::HostEntry> entries;
  for (const ListedHost& h : list.hosts) entries.push_back(inForce(h.entry));
  const Time now = clock_.now();
  balancer_.onHostListUpdate(now, kind, entries);
  std::vector<HostId> named;
  std::vector<std::pair<HostId, HostPhase>> changed;
  std::size_t noRoom = 0;
  for (std::size_t i = 0; i < list.hosts.size(); ++i) {
    const ListedHost& h = list.hosts[i];
    const HostPhase phase = entries[i].phase;
    const HostId id = balancer_.findHost(h.entry.address);
    if (id == kNone) {  // one that has gone may never have been known
      noRoom += phase != HostPhase::removed;
      continue;
    }
    HostRecord& record = hosts_[id];
    const bool fresh = record.endpoint == tcp::endpoint{};
    if (fresh || record.phase != phase) changed.emplace_back(id, phase);
    // Danger: connections to an old address would be taken for ones to the new.
    if (record.endpoint != h.endpoint) pool_.setOpen(id, false);
    // Another process at this name has shown no life yet.
    const Time heard = !fresh && record.listed.startedAt == h.entry.startedAt ? record.heard : Time{};
    record = {h.endpoint, phase, h.entry, h.entry.zone, h.entry.cell, heard, now};
    named.push_back(id);
  }
  if (noRoom > 0)
    std::fprintf(stderr, "finchstile: %zu of %zu hosts of a list have no room; 65535 are held\n", noRoom,
                 list.hosts.size());
  std::sort(named.begin(), named.end());
  for (auto& [id, record] : hosts_) {
    // What a whole list leaves out is gone, and so is what the module has forgotten.
    if (!balancer_.isKnown(id) ||
        (kind != HostListUpdate::incremental && !std::binary_search(named.begin(), named.end(), id))) {
      if (record.phase != HostPhase::removed) changed.emplace_back(id, HostPhase::removed);
      record.phase = record.listed.phase = HostPhase::removed;
    }
    pool_.setOpen(id, record.phase == HostPhase::active);
  }
  if (log_)
    for (const auto& [id, phase] : changed) log_->onHostPhase(hosts_.at(id).listed.address, phase);
  for (ProtocolHandler* front : fronts_)
    for (const auto& [id, phase] : changed) front->onHostPhaseChanged(id, phase);
  carryOut();
}

load_balancing::HostEntry Gateway::inForce(const load_balancing::HostEntry& listed) const {
  load_balancing::HostEntry entry = listed;
  for (const HostEntryFilter* filter : filters_) filter->apply(entry);
  return entry;
}

// The list as it stands, told again: what the filter has changed since shows as a change of the list.
void Gateway::reapplyHostFilters() {
  HostList list;
  for (const auto& [id, h] : hosts_)
    if (h.listed.phase != HostPhase::removed) list.hosts.push_back({h.listed, h.endpoint});
  learnHosts(list, HostListUpdate::incremental);
}

bool Gateway::isListed(const std::string& host) const {
  const HostId id = balancer_.findHost(host);
  const auto it = id == kNone ? hosts_.end() : hosts_.find(id);
  return it != hosts_.end() && it->second.listed.phase != HostPhase::removed;
}

void Gateway::onHostList(HostList&& list) {
  if (!gate_) return applyHostList(list);
  if (const auto told = gate_->onList(std::move(list))) return applyHostList(*told);
  // Danger: a watch that brings what is passed over is a watch all the same; else the module asks again.
  applyHostList({});
}

void Gateway::applyHostList(const HostList& list) {
  learnHosts(list, list.complete ? HostListUpdate::complete : HostListUpdate::incremental);
}

void Gateway::requestCompleteList() { discovery_.renew(); }

Time Gateway::lastResponseAt(const std::string& host) const {
  const HostId id = balancer_.findHost(host);
  const auto it = id == kNone ? hosts_.end() : hosts_.find(id);
  return it == hosts_.end() ? Time{} : it->second.heard;
}

std::vector<Gateway::HostView> Gateway::hosts() const {
  std::vector<HostView> out;
  for (const auto& [id, h] : hosts_)
    if (h.listed.phase != HostPhase::removed)
      out.push_back(
          {h.listed, h.endpoint, h.phase, h.heard, balancer_.isAvoided(id), balancer_.streamCount(id)});
  std::sort(out.begin(), out.end(),
            [](const HostView& a, const HostView& b) { return a.listed.address < b.listed.address; });
  return out;
}

void Gateway::onDiscoveryLost() {
  if (gate_) gate_->onWatchLost();
  balancer_.onHostListUpdate(clock_.now(), HostListUpdate::unavailable, {});
  carryOut();
}

}  // namespace finchstile
