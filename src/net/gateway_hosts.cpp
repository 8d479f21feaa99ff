// The gateway's part for the list of hosts.
#include <algorithm>
#include <cstdio>

#include "net/gateway.hpp"

namespace finchstile {
namespace {

using ridgeshift::HostId;
using ridgeshift::kNone;
using ridgeshift::ListKind;
using ridgeshift::Phase;

}  // namespace

void Gateway::learnHosts(const HostList& list, ListKind kind) {
  std::vector<ridgeshift::HostEntry> entries;
  for (const ListedHost& h : list.hosts) entries.push_back(inForce(h.entry));
  const Time now = clock_.now();
  balancer_.onHosts(now, kind, entries);
  std::vector<HostId> named;
  std::vector<std::pair<HostId, Phase>> changed;
  std::size_t noRoom = 0;
  for (std::size_t i = 0; i < list.hosts.size(); ++i) {
    const ListedHost& h = list.hosts[i];
    const Phase phase = entries[i].phase;
    const HostId id = balancer_.findHost(h.entry.address);
    if (id == kNone) {  // one that has gone may never have been known
      noRoom += phase != Phase::out;
      continue;
    }
    HostRecord& record = hosts_[id];
    const bool fresh = record.endpoint == tcp::endpoint{};
    if (fresh || record.phase != phase) changed.emplace_back(id, phase);
    // Danger: connections to an old address would be taken for ones to the new.
    if (record.endpoint != h.endpoint) pool_.setOpen(id, false);
    // Another process at this name has shown no life yet.
    const Time heard = !fresh && record.listed.upSince == h.entry.upSince ? record.heard : Time{};
    record = {h.endpoint, phase, h.entry, h.entry.zone, h.entry.cell, heard, now};
    named.push_back(id);
  }
  if (noRoom > 0)
    std::fprintf(stderr, "finchstile: %zu of %zu hosts of a list have no room; 65535 are held\n", noRoom,
                 list.hosts.size());
  std::sort(named.begin(), named.end());
  for (auto& [id, record] : hosts_) {
    // What a whole list leaves out is gone, and so is what the module has forgotten.
    if (!balancer_.knows(id) ||
        (kind != ListKind::update && !std::binary_search(named.begin(), named.end(), id))) {
      if (record.phase != Phase::out) changed.emplace_back(id, Phase::out);
      record.phase = record.listed.phase = Phase::out;
    }
    pool_.setOpen(id, record.phase == Phase::in);
  }
  if (log_)
    for (const auto& [id, phase] : changed) log_->onPhase(hosts_.at(id).listed.address, phase);
  for (Front* front : fronts_)
    for (const auto& [id, phase] : changed) front->onHost(id, phase);
  carryOut();
}

ridgeshift::HostEntry Gateway::inForce(const ridgeshift::HostEntry& listed) const {
  ridgeshift::HostEntry entry = listed;
  for (const HostFilter* filter : filters_) filter->apply(entry);
  return entry;
}

// The list as it stands, told again: what the filter has changed since shows as a change of the list.
void Gateway::refilter() {
  HostList list;
  for (const auto& [id, h] : hosts_)
    if (h.listed.phase != Phase::out) list.hosts.push_back({h.listed, h.endpoint});
  learnHosts(list, ListKind::update);
}

bool Gateway::lists(const std::string& host) const {
  const HostId id = balancer_.findHost(host);
  const auto it = id == kNone ? hosts_.end() : hosts_.find(id);
  return it != hosts_.end() && it->second.listed.phase != Phase::out;
}

void Gateway::onHostList(HostList&& list) {
  if (!gate_) return takeList(list);
  if (const auto told = gate_->onList(std::move(list))) return takeList(*told);
  // Danger: a watch that brings what is passed over is a watch all the same; else the module asks again.
  takeList({});
}

void Gateway::takeList(const HostList& list) {
  learnHosts(list, list.whole ? ListKind::replace : ListKind::update);
}

void Gateway::askWholeList() { discovery_.renew(); }

Time Gateway::answeredAt(const std::string& host) const {
  const HostId id = balancer_.findHost(host);
  const auto it = id == kNone ? hosts_.end() : hosts_.find(id);
  return it == hosts_.end() ? Time{} : it->second.heard;
}

std::vector<Gateway::HostView> Gateway::hosts() const {
  std::vector<HostView> out;
  for (const auto& [id, h] : hosts_)
    if (h.listed.phase != Phase::out)
      out.push_back({h.listed, h.endpoint, h.phase, h.heard, balancer_.avoids(id), balancer_.streams(id)});
  std::sort(out.begin(), out.end(),
            [](const HostView& a, const HostView& b) { return a.listed.address < b.listed.address; });
  return out;
}

void Gateway::onDiscoveryLost() {
  if (gate_) gate_->onLost();
  balancer_.onHosts(clock_.now(), ListKind::unavailable, {});
  carryOut();
}

}  // namespace finchstile
