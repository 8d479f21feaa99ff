#include "membership/list_policy.hpp"

#include <algorithm>
#include <cmath>

namespace finchstile::membership {
namespace {

constexpr int kFlapHalves = 4;  // after which a host that has gone once is forgotten

}  // namespace

void ListPolicy::start(const List& known, Time now) {
  version_ = known.index;
  for (const Named& n : known.hosts) take(n, now);
}

// A host that is named twice: the worse phase and the later start hold, and the address that goes with it.
std::vector<Named> ListPolicy::once(std::vector<Named>&& hosts) {
  std::unordered_map<std::string_view, std::size_t> seen;
  std::vector<std::size_t> again;
  for (std::size_t i = 0; i < hosts.size(); ++i) {
    const auto [it, fresh] = seen.emplace(hosts[i].entry.address, i);
    if (fresh) continue;
    Named& first = hosts[it->second];
    const Named& other = hosts[i];
    const HostPhase phase = worse(first.entry.phase, other.entry.phase);
    if (other.entry.startedAt > first.entry.startedAt) {
      first.at = other.at;
      first.entry.startedAt = other.entry.startedAt;
      first.entry.zone = other.entry.zone;
      first.entry.machineType = other.entry.machineType;
      first.entry.cell = other.entry.cell;
    }
    first.entry.phase = phase;
    again.push_back(i);
    ++counts_.twice;
  }
  for (auto it = again.rbegin(); it != again.rend(); ++it)
    hosts.erase(hosts.begin() + static_cast<std::ptrdiff_t>(*it));
  return std::move(hosts);
}

ListPolicy::Told ListPolicy::onList(List&& list, Time now, const Answers& answers) {
  if (list.index >= 0 && version_ >= 0 && list.index < version_) {
    if (olderSince_ == Time{}) olderSince_ = now;
    if (now - olderSince_ < settings_.older) {
      ++counts_.older;
      return {};
    }
    // Danger: a discovery that has lost its count would be passed over for ever.
    ++counts_.renumbered;
    version_ = -1;
    if (!list.whole) {
      olderSince_ = now;
      return {std::nullopt, true};
    }
  }
  olderSince_ = Time{};
  ++counts_.lists;
  listAt_ = now;
  version_ = std::max(version_, list.index);
  List out;
  out.index = list.index;
  out.whole = list.whole;
  std::vector<Named> named = once(std::move(list.hosts));

  forget(now);

  bool ask = false;
  std::vector<std::string> omitted;
  if (!list.whole && doubting()) {  // what a change names is spoken for
    for (const Named& n : named)
      left_.erase(std::remove(left_.begin(), left_.end(), n.entry.address), left_.end());
  } else if (list.whole) {
    std::set<std::string_view> names;
    for (const Named& n : named) names.insert(n.entry.address);
    std::size_t alive = 0, lost = 0;
    for (const auto& [name, h] : hosts_) {
      if (h.listed.phase == HostPhase::removed) continue;
      const bool left = names.count(name) == 0;
      if (left) omitted.push_back(name);
      if (h.listed.phase != HostPhase::active || !answers(name)) continue;
      ++alive;
      lost += left;
    }
    const bool doubtful =
        alive >= 2 && static_cast<double>(lost) > settings_.doubtShare * static_cast<double>(alive);
    if (doubting()) {
      ++(doubtful ? counts_.confirmed : counts_.withdrawn);
      endDoubt();
    } else if (doubtful && settings_.doubt > Duration{}) {
      // What it names holds at once, whatever that is; what it leaves out may be a mistake.
      ++counts_.doubted;
      doubtUntil_ = now + std::min(settings_.doubt, kDoubtMost);
      left_ = std::move(omitted);
      omitted.clear();
      out.whole = false;
      ask = true;
    }
  }
  for (const std::string& name : omitted) leave(name, now);
  std::vector<Named> changed;  // others whose standing this list has changed
  for (const Named& n : named) {
    take(n, now);
    const auto it = hosts_.find(n.entry.address);
    if (it == hosts_.end()) continue;
    if (it->second.listed.phase == HostPhase::active) claim(it->first, it->second, changed);
  }
  for (const Named& n : named)
    if (const auto it = hosts_.find(n.entry.address); it != hosts_.end())
      out.hosts.push_back(told(it->second));
  if (!out.whole) {  // else they are named themselves, or left out
    for (Named& n : changed) out.hosts.push_back(std::move(n));
  }
  return {std::move(out), ask};
}

// Named by a list.
void ListPolicy::take(const Named& n, Time now) {
  auto it = hosts_.find(n.entry.address);
  if (it == hosts_.end()) {
    if (hosts_.size() >= settings_.hosts) {
      ++counts_.dropped;
      return;
    }
    it = hosts_.emplace(n.entry.address, Host{}).first;
    it->second.listed.phase = HostPhase::removed;
  }
  Host& h = it->second;
  const bool wasIn = h.listed.phase == HostPhase::active;
  if (wasIn && (n.entry.phase != HostPhase::active || n.at != h.at)) release(it->first, h);
  h.listed = n.entry;
  h.at = n.at;
  if (wasIn && n.entry.phase != HostPhase::active) flapped(it->first, h, now);
  if (n.entry.phase == HostPhase::removed)
    gone_.emplace_back(now + kFlapHalves * settings_.flapHalf, it->first);
  if (n.entry.phase != HostPhase::active) h.displaced = false;
  else byAddress_.emplace(h.at, it->first);
}

// Left out of a whole list.
void ListPolicy::leave(const std::string& name, Time now) {
  const auto it = hosts_.find(name);
  if (it == hosts_.end()) return;
  Host& h = it->second;
  if (h.listed.phase == HostPhase::active) {
    release(name, h);
    flapped(name, h, now);
  }
  h.listed.phase = HostPhase::removed;
  h.displaced = false;
  gone_.emplace_back(now + kFlapHalves * settings_.flapHalf, name);
}

// Of one that has gone nothing is kept but how often it did, until that is as good as forgotten.
void ListPolicy::forget(Time now) {
  while (!gone_.empty() && (gone_.front().first <= now || gone_.size() > 2 * settings_.hosts)) {
    const auto it = hosts_.find(gone_.front().second);
    if (it != hosts_.end() && it->second.listed.phase == HostPhase::removed && !it->second.held &&
        flapsNow(it->second, now) < 0.2)
      hosts_.erase(it);
    gone_.pop_front();
  }
}

void ListPolicy::flapped(const std::string& name, Host& h, Time now) {
  h.flaps = flapsNow(h, now) + 1;
  if (h.held) heldUntil_.erase({freeAt(h), name});
  h.flapsAt = now;
  if (h.flaps < settings_.flapMost && !h.held) return;
  if (!std::exchange(h.held, true)) ++counts_.flapping;
  heldUntil_.emplace(freeAt(h), name);
}

double ListPolicy::flapsNow(const Host& h, Time now) const {
  return h.flaps * std::exp2(-inSeconds(now - h.flapsAt) / std::max(inSeconds(settings_.flapHalf), 1e-3));
}

Time ListPolicy::freeAt(const Host& h) const {
  const double halves = std::max(0.0, std::log2(h.flaps / (settings_.flapMost / 2)));
  return h.flapsAt +
         std::chrono::duration_cast<Duration>(halves * std::chrono::duration<double>(settings_.flapHalf));
}

// Of two that are to listen at one address there is one process. The one that started later is it; the other
// gets nothing new until a list says something else of it.
void ListPolicy::claim(const std::string& name, Host& h, std::vector<Named>& changed) {
  std::string& owner = byAddress_[h.at];
  const auto other = owner == name ? hosts_.end() : hosts_.find(owner);
  if (other != hosts_.end() && other->second.listed.phase == HostPhase::active && other->second.at == h.at) {
    const bool later = h.listed.startedAt >= other->second.listed.startedAt;
    Host& loser = later ? other->second : h;
    if (!std::exchange(loser.displaced, true)) ++counts_.shared;
    if (!later) return;
    changed.push_back(told(loser));
  }
  owner = name;
  h.displaced = false;
}

void ListPolicy::release(const std::string& name, const Host& h) {
  const auto it = byAddress_.find(h.at);
  if (it != byAddress_.end() && it->second == name) byAddress_.erase(it);
}

Named ListPolicy::told(const Host& h) const {
  Named n{h.listed, h.at};
  if ((h.held || h.displaced) && n.entry.phase == HostPhase::active) n.entry.phase = HostPhase::draining;
  return n;
}

void ListPolicy::endDoubt() {
  doubtUntil_ = Time{};
  left_.clear();
}

ListPolicy::Told ListPolicy::onWake(Time now) {
  forget(now);
  List out;
  out.index = version_;
  // Nobody has spoken against it in time: it holds.
  if (doubting() && now >= doubtUntil_) {
    ++counts_.lapsed;
    for (const std::string& name : left_) {
      const auto it = hosts_.find(name);
      if (it == hosts_.end() || it->second.listed.phase == HostPhase::removed) continue;
      Named n{it->second.listed, it->second.at};
      n.entry.phase = HostPhase::removed;
      out.hosts.push_back(std::move(n));
      leave(name, now);
    }
    endDoubt();
  }
  while (!heldUntil_.empty() && heldUntil_.begin()->first <= now) {
    const std::string name = heldUntil_.begin()->second;
    heldUntil_.erase(heldUntil_.begin());
    const auto it = hosts_.find(name);
    if (it == hosts_.end()) continue;
    it->second.held = false;
    it->second.flaps = flapsNow(it->second, now);
    it->second.flapsAt = now;
    if (it->second.listed.phase == HostPhase::removed)
      gone_.emplace_back(now + kFlapHalves * settings_.flapHalf, name);
    else out.hosts.push_back(told(it->second));
  }
  if (out.hosts.empty()) return {};
  return {std::move(out), false};
}

std::optional<Time> ListPolicy::wake() const {
  std::optional<Time> at;
  if (doubting()) at = doubtUntil_;
  if (!heldUntil_.empty() && (!at || heldUntil_.begin()->first < *at)) at = heldUntil_.begin()->first;
  return at;
}

void ListPolicy::onMoved() {
  version_ = -1;
  olderSince_ = Time{};
}

std::string_view ListPolicy::reason(std::string_view host) const {
  const auto it = hosts_.find(host);
  if (it == hosts_.end()) return {};
  if (it->second.displaced) return "its address is another's";
  if (it->second.held) return "flapping";
  if (doubting() && std::find(left_.begin(), left_.end(), host) != left_.end()) return "left out, in doubt";
  return {};
}

}  // namespace finchstile::membership
