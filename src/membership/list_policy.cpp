#include "membership/list_policy.hpp"

#include <algorithm>
#include <iterator>
#include <set>

namespace finchstile::membership {
namespace {

// The state of a removed host is kept until its departure count has decayed below kNegligibleFlaps. The count
// is checked kRetentionHalfLives half-lives after the removal.
constexpr double kNegligibleFlaps = 0.2;
constexpr int kRetentionHalfLives = 4;
// With a single responding host its omission is no sign of a faulty list.
constexpr std::size_t kMinRespondingHosts = 2;

}  // namespace

void ListPolicy::start(const EndpointList& initial, Time now) {
  version_ = initial.version;
  for (const ListEntry& entry : initial.hosts) applyEntry(entry, now);
}

// --- Lists

ListPolicy::Decision ListPolicy::onList(EndpointList&& list, Time now, const IsResponding& isResponding) {
  Decision decision;
  switch (checkVersion(list, now)) {
    case VersionCheck::ignored: return decision;
    case VersionCheck::needsCompleteList: decision.requestCompleteList = true; return decision;
    case VersionCheck::accepted: break;
  }
  ++statistics_.accepted;
  lastAcceptedAt_ = now;
  version_ = std::max(version_, list.version);
  statistics_.duplicateHosts += mergeDuplicates(list.hosts);
  eraseExpired(now);

  EndpointList& effective = decision.list.emplace();
  effective.version = list.version;
  effective.isComplete = list.isComplete;
  if (list.isComplete) {
    for (const std::string& name : reviewOmissions(list.hosts, now, isResponding, decision))
      removeOmitted(name, now);
  } else {
    cancelHold(list.hosts);
  }

  std::vector<ListEntry> displaced;
  for (const ListEntry& entry : list.hosts) {
    applyEntry(entry, now);
    const auto it = hosts_.find(entry.host.address);
    if (it != hosts_.end() && it->second.listed.phase == HostPhase::active)
      claimEndpoint(it->first, it->second, displaced);
  }
  for (const ListEntry& entry : list.hosts) {
    const auto it = hosts_.find(entry.host.address);
    if (it != hosts_.end()) effective.hosts.push_back(effectiveEntry(it->second));
  }
  // A complete list contains the displaced hosts itself or removes them.
  if (!effective.isComplete)
    std::move(displaced.begin(), displaced.end(), std::back_inserter(effective.hosts));
  return decision;
}

ListPolicy::VersionCheck ListPolicy::checkVersion(const EndpointList& list, Time now) {
  const bool isOlder = list.version >= 0 && version_ >= 0 && list.version < version_;
  if (!isOlder) {
    olderSince_ = Time{};
    return VersionCheck::accepted;
  }
  if (olderSince_ == Time{}) olderSince_ = now;
  if (now - olderSince_ < settings_.olderVersionTolerance) {
    ++statistics_.older;
    return VersionCheck::ignored;
  }
  // Discovery has restarted with lower versions. Without this rule its lists would be ignored forever.
  ++statistics_.renumbered;
  version_ = -1;
  if (!list.isComplete) {
    // The complete list that these changes refer to was ignored.
    olderSince_ = now;
    return VersionCheck::needsCompleteList;
  }
  olderSince_ = Time{};
  return VersionCheck::accepted;
}

// Handles the hosts that a complete list omits and returns those to remove now. If the list is suspicious,
// all its omissions are held back; its entries become effective in any case.
std::vector<std::string> ListPolicy::reviewOmissions(const std::vector<ListEntry>& entries, Time now,
                                                     const IsResponding& isResponding, Decision& decision) {
  std::set<std::string_view> listedNames;
  for (const ListEntry& entry : entries) listedNames.insert(entry.host.address);
  std::vector<std::string> omitted;
  std::size_t responding = 0;
  std::size_t respondingOmitted = 0;
  for (const auto& [name, host] : hosts_) {
    if (host.listed.phase == HostPhase::removed) continue;
    const bool isOmitted = listedNames.count(name) == 0;
    if (isOmitted) omitted.push_back(name);
    if (host.listed.phase != HostPhase::active || !isResponding(name)) continue;
    ++responding;
    if (isOmitted) ++respondingOmitted;
  }
  const double maxOmitted = settings_.suspiciousFraction * static_cast<double>(responding);
  const bool isSuspicious =
      responding >= kMinRespondingHosts && static_cast<double>(respondingOmitted) > maxOmitted;
  if (isHolding()) {
    ++(isSuspicious ? statistics_.confirmed : statistics_.withdrawn);
    endHold();
    return omitted;
  }
  if (!isSuspicious || settings_.holdTime <= Duration{}) return omitted;
  ++statistics_.held;
  holdUntil_ = now + std::min(settings_.holdTime, kMaxHoldTime);
  heldOmissions_ = std::move(omitted);
  decision.list->isComplete = false;
  decision.requestCompleteList = true;
  return {};
}

void ListPolicy::applyEntry(const ListEntry& entry, Time now) {
  auto it = hosts_.find(entry.host.address);
  if (it == hosts_.end()) {
    if (hosts_.size() >= settings_.maxHosts) {
      ++statistics_.droppedHosts;
      return;
    }
    it = hosts_.emplace(entry.host.address, Host{}).first;
    it->second.listed.phase = HostPhase::removed;
  }
  const std::string& name = it->first;
  Host& host = it->second;
  const bool wasActive = host.listed.phase == HostPhase::active;
  const bool isActive = entry.host.phase == HostPhase::active;
  if (wasActive && (!isActive || entry.endpoint != host.endpoint)) releaseEndpoint(name, host);
  host.listed = entry.host;
  host.endpoint = entry.endpoint;
  if (wasActive && !isActive) onDeparture(name, host, now);
  if (entry.host.phase == HostPhase::removed) scheduleErasure(name, now);
  if (isActive) endpointOwners_.emplace(host.endpoint, name);
  else host.displaced = false;
}

void ListPolicy::removeOmitted(const std::string& name, Time now) {
  const auto it = hosts_.find(name);
  if (it == hosts_.end()) return;
  Host& host = it->second;
  if (host.listed.phase == HostPhase::active) {
    releaseEndpoint(name, host);
    onDeparture(name, host, now);
  }
  host.listed.phase = HostPhase::removed;
  host.displaced = false;
  scheduleErasure(name, now);
}

void ListPolicy::onDeparture(const std::string& name, Host& host, Time now) {
  if (flapDamper_.onDeparture(name, host.flaps, now)) ++statistics_.flappingHosts;
}

// An active host is draining in effect while it is suppressed or displaced.
ListEntry ListPolicy::effectiveEntry(const Host& host) {
  ListEntry entry{host.listed, host.endpoint};
  const bool restricted = host.flaps.suppressed || host.displaced;
  if (restricted && entry.host.phase == HostPhase::active) entry.host.phase = HostPhase::draining;
  return entry;
}

// --- Shared endpoints

// Only one process can listen at an endpoint, so of two active hosts with the same endpoint the one that
// started later owns it. The other one is displaced: it gets no new requests until a later
// entry of it no longer conflicts.
void ListPolicy::claimEndpoint(const std::string& name, Host& host, std::vector<ListEntry>& displaced) {
  std::string& owner = endpointOwners_[host.endpoint];
  const auto other = owner == name ? hosts_.end() : hosts_.find(owner);
  const bool isShared = other != hosts_.end() && other->second.listed.phase == HostPhase::active &&
                        other->second.endpoint == host.endpoint;
  if (isShared) {
    const bool startedLater = host.listed.startedAt >= other->second.listed.startedAt;
    Host& loser = startedLater ? other->second : host;
    if (!std::exchange(loser.displaced, true)) ++statistics_.sharedEndpoints;
    if (!startedLater) return;
    displaced.push_back(effectiveEntry(loser));
  }
  owner = name;
  host.displaced = false;
}

void ListPolicy::releaseEndpoint(const std::string& name, const Host& host) {
  const auto it = endpointOwners_.find(host.endpoint);
  if (it != endpointOwners_.end() && it->second == name) endpointOwners_.erase(it);
}

// --- Removed hosts

void ListPolicy::scheduleErasure(const std::string& name, Time now) {
  removals_.push_back({now + kRetentionHalfLives * settings_.flapHalfLife, name});
}

// Erases removed hosts whose departure count has decayed; only that count is still needed of them.
void ListPolicy::eraseExpired(Time now) {
  while (!removals_.empty()) {
    const bool isDue = removals_.front().eraseAt <= now;
    if (!isDue && removals_.size() <= 2 * settings_.maxHosts) return;
    const auto it = hosts_.find(removals_.front().host);
    removals_.pop_front();
    if (it == hosts_.end()) continue;
    const Host& host = it->second;
    const bool isErasable = host.listed.phase == HostPhase::removed && !host.flaps.suppressed &&
                            flapDamper_.currentCount(host.flaps, now) < kNegligibleFlaps;
    if (isErasable) hosts_.erase(it);
  }
}

// --- Held omissions

// An incremental list during a hold overrides the held omission of each host that it contains.
void ListPolicy::cancelHold(const std::vector<ListEntry>& entries) {
  if (!isHolding()) return;
  for (const ListEntry& entry : entries) std::erase(heldOmissions_, entry.host.address);
}

void ListPolicy::endHold() {
  holdUntil_ = Time{};
  heldOmissions_.clear();
}

// Makes the held omissions effective if no complete list has arrived in time.
void ListPolicy::expireHold(Time now, EndpointList& out) {
  if (!isHolding() || now < holdUntil_) return;
  ++statistics_.expired;
  for (const std::string& name : heldOmissions_) {
    const auto it = hosts_.find(name);
    if (it == hosts_.end() || it->second.listed.phase == HostPhase::removed) continue;
    ListEntry entry{it->second.listed, it->second.endpoint};
    entry.host.phase = HostPhase::removed;
    out.hosts.push_back(std::move(entry));
    removeOmitted(name, now);
  }
  endHold();
}

// --- Timer

ListPolicy::Decision ListPolicy::onTimer(Time now) {
  eraseExpired(now);
  EndpointList changes;
  changes.version = version_;
  expireHold(now, changes);
  releaseSuppressed(now, changes);
  Decision decision;
  if (!changes.hosts.empty()) decision.list = std::move(changes);
  return decision;
}

void ListPolicy::releaseSuppressed(Time now, EndpointList& out) {
  while (const auto name = flapDamper_.takeReleasable(now)) {
    const auto it = hosts_.find(*name);
    if (it == hosts_.end()) continue;
    Host& host = it->second;
    flapDamper_.release(host.flaps, now);
    if (host.listed.phase == HostPhase::removed) scheduleErasure(*name, now);
    else out.hosts.push_back(effectiveEntry(host));
  }
}

std::optional<Time> ListPolicy::nextTimer() const {
  const std::optional<Time> release = flapDamper_.nextRelease();
  if (!isHolding()) return release;
  return release ? std::min(*release, holdUntil_) : holdUntil_;
}

void ListPolicy::onDiscoveryMoved() {
  version_ = -1;
  olderSince_ = Time{};
}

std::string_view ListPolicy::restrictionReason(std::string_view host) const {
  const auto it = hosts_.find(host);
  if (it == hosts_.end()) return {};
  if (it->second.displaced) return "its address is another's";
  if (it->second.flaps.suppressed) return "flapping";
  const bool isHeld = std::find(heldOmissions_.begin(), heldOmissions_.end(), host) != heldOmissions_.end();
  return isHolding() && isHeld ? "left out, in doubt" : std::string_view{};
}

}  // namespace finchstile::membership
