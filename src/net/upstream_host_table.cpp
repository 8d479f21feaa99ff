#include "net/upstream_host_table.hpp"

#include <algorithm>
#include <cstdio>

namespace finchstile {

using load_balancing::HostEntry;
using load_balancing::HostId;
using load_balancing::HostListUpdate;
using load_balancing::HostPhase;
using load_balancing::kNone;

std::vector<HostPhaseChange> UpstreamHostTable::apply(const HostList& list, HostListUpdate kind) {
  std::vector<HostEntry> entries;
  for (const ListedHost& host : list.hosts) entries.push_back(filtered(host.entry));
  const Time now = clock_.now();
  balancer_.onHostListUpdate(now, kind, entries);
  std::vector<HostId> named;
  std::vector<HostPhaseChange> changes;
  std::size_t rejected = 0;
  for (std::size_t i = 0; i < list.hosts.size(); ++i) {
    const ListedHost& listed = list.hosts[i];
    const HostPhase phase = entries[i].phase;
    const HostId id = balancer_.findHost(listed.entry.address);
    if (id == kNone) {  // a removed host may never have been known
      rejected += phase != HostPhase::removed;
      continue;
    }
    UpstreamHost& host = hosts_[id];
    const bool isNew = host.endpoint == tcp::endpoint{};
    if (isNew || host.effectivePhase != phase) changes.push_back({id, phase});
    // Connections to the old address must not be used for the new one.
    if (host.endpoint != listed.endpoint) pool_.setOpen(id, false);
    // Signs of life count only for the process that showed them.
    const bool sameProcess = !isNew && host.listed.startedAt == listed.entry.startedAt;
    host = {listed.endpoint, phase, listed.entry, sameProcess ? host.lastResponseAt : Time{}, now};
    named.push_back(id);
  }
  if (rejected > 0)
    std::fprintf(stderr, "finchstile: %zu of %zu hosts of a list have no room; 65535 are held\n", rejected,
                 list.hosts.size());
  std::sort(named.begin(), named.end());
  const bool listIsComplete = kind != HostListUpdate::incremental;
  for (auto& [id, host] : hosts_) {
    const bool leftOut = listIsComplete && !std::binary_search(named.begin(), named.end(), id);
    if (leftOut || !balancer_.isKnown(id)) {
      if (host.effectivePhase != HostPhase::removed) changes.push_back({id, HostPhase::removed});
      host.effectivePhase = host.listed.phase = HostPhase::removed;
    }
    pool_.setOpen(id, host.effectivePhase == HostPhase::active);
  }
  return changes;
}

void UpstreamHostTable::forgetRemoved() {
  for (auto it = hosts_.begin(); it != hosts_.end();) {
    const auto& [id, host] = *it;
    if (host.effectivePhase == HostPhase::removed && !balancer_.isKnown(id) && pool_.forget(id))
      it = hosts_.erase(it);
    else ++it;
  }
}

UpstreamHost* UpstreamHostTable::find(HostId host) {
  const auto found = hosts_.find(host);
  return found == hosts_.end() ? nullptr : &found->second;
}

const UpstreamHost* UpstreamHostTable::find(HostId host) const {
  const auto found = hosts_.find(host);
  return found == hosts_.end() ? nullptr : &found->second;
}

const UpstreamHost* UpstreamHostTable::findByName(const std::string& name) const {
  const HostId id = balancer_.findHost(name);
  return id == kNone ? nullptr : find(id);
}

bool UpstreamHostTable::isListed(const std::string& name) const {
  const UpstreamHost* const host = findByName(name);
  return host && host->listed.phase != HostPhase::removed;
}

HostList UpstreamHostTable::listedHosts() const {
  HostList list;
  for (const auto& [id, host] : hosts_)
    if (host.listed.phase != HostPhase::removed) list.hosts.push_back({host.listed, host.endpoint});
  return list;
}

std::vector<UpstreamHostView> UpstreamHostTable::views() const {
  std::vector<UpstreamHostView> out;
  for (const auto& [id, host] : hosts_)
    if (host.listed.phase != HostPhase::removed)
      out.push_back({host.listed, host.endpoint, host.effectivePhase, host.lastResponseAt,
                     balancer_.isAvoided(id), balancer_.streamCount(id)});
  std::sort(out.begin(), out.end(), [](const UpstreamHostView& a, const UpstreamHostView& b) {
    return a.listed.address < b.listed.address;
  });
  return out;
}

std::size_t UpstreamHostTable::listedCount() const {
  std::size_t count = 0;
  for (const auto& [id, host] : hosts_) count += host.listed.phase != HostPhase::removed;
  return count;
}

std::size_t UpstreamHostTable::avoidedCount() const {
  std::size_t count = 0;
  for (const auto& [id, host] : hosts_) {
    if (host.listed.phase == HostPhase::removed) continue;
    count += host.effectivePhase != HostPhase::active || balancer_.isAvoided(id);
  }
  return count;
}

HostEntry UpstreamHostTable::filtered(const HostEntry& listed) const {
  HostEntry entry = listed;
  for (const HostEntryFilter* filter : filters_) filter->apply(entry);
  return entry;
}

}  // namespace finchstile
