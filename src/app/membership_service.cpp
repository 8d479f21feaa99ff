#include "app/membership_service.hpp"

#include <algorithm>
#include <cstdio>
#include <unordered_set>

#include "base/address.hpp"

namespace finchstile {
namespace {

using load_balancing::HostPhase;
using membership::HostKey;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kMaxMachineTypes = 4096;             // whose names are kept to decode snapshots
constexpr Duration kRespondingTime = seconds(2);           // a host with a more recent response is responding
constexpr Duration kCleanupInterval = seconds(1);          // between removals of expired hosts
constexpr Duration kMinFilterInterval = milliseconds(50);  // between filter runs, each over all hosts
constexpr Duration kSnapshotPause = milliseconds(10);      // between chunks of a snapshot
constexpr std::uint64_t kWarmStartSeedMask = 0x57a27;  // separates its random sequence from that of gossip
constexpr std::uint64_t kGossipSlots = 100;            // offsets of gateways within a period

membership::EndpointList toEndpointList(const HostList& from) {
  membership::EndpointList list;
  list.version = from.version;
  list.isComplete = from.complete;
  for (const ListedHost& host : from.hosts) {
    list.hosts.push_back({host.entry, addressText(host.endpoint)});
  }
  return list;
}

}  // namespace

MembershipService::MembershipService(boost::asio::io_context& io, const Clock& clock,
                                     const membership::MembershipSettings& settings,
                                     const GatewayConfig& config, Gateway& gateway, PeerLink* link)
    : clock_(clock),
      settings_(settings),
      balancerSettings_(config.settings),
      gateway_(gateway),
      link_(link),
      nameKey_(link ? link->deriveKey("hosts") : SipKey{}),
      listPolicy_(settings.list),
      hostStates_(settings.hostStates),
      snapshotServer_(settings.warmStart.server),
      timer_(io) {
  const Time now = clock_.now();
  nextCleanupAt_ = now + kCleanupInterval;
  if (link_) startGossip(config.settings.seed, now);
  gateway_.setHostListInterceptor(*this);
  gateway_.addHostEntryFilter(*this);
  gateway_.setHostObserver(*this);
}

void MembershipService::startGossip(std::uint64_t seed, Time now) {
  membership::GossipSettings gossip = settings_.gossip.gossip;
  gossip.ownNumber = link_->ownNumber();
  gossip.gatewayCount = link_->gatewayCount();
  gossip_ = std::make_unique<membership::Gossip>(gossip, seed, now, [this](HostKey key) {
    const std::string* name = findName(key);
    return name ? gateway_.lastResponseAt(*name) : Time{};
  });
  // Spreads the first messages over a period: gateways that start together would otherwise send at the same
  // times.
  nextGossipAt_ =
      now + gossip.period * static_cast<int>(seed % kGossipSlots) / static_cast<int>(kGossipSlots);
  link_->channel().setHandler(peer::Topic::hosts,
                              [this](peer::GatewayNumber from, std::uint64_t /*epoch*/,
                                     std::string_view payload) { onPeerMessage(from, payload); });
}

HostKey MembershipService::keyOf(std::string_view name) const {
  return SipHasher(nameKey_).add(name).finalize().low;
}

std::int64_t MembershipService::unixMs(Time startedAt) const {
  return startedAt == Time{} ? 0 : clock_.unixAt(startedAt) / milliseconds(1);
}

const std::string* MembershipService::findName(HostKey key) const {
  const auto it = names_.find(key);
  return it == names_.end() ? nullptr : &it->second;
}

const membership::HostState* MembershipService::findState(HostKey key) const {
  const std::string* name = findName(key);
  return name ? hostStates_.find(*name) : nullptr;
}

// --- Endpoint lists

void MembershipService::onInitialList(const HostList& known) {
  const Time now = clock_.now();
  membership::EndpointList list = toEndpointList(known);
  listPolicy_.start(list, now);
  list.isComplete = true;
  recordList(std::move(list));
  if (gossip_ && settings_.warmStart.enabled) startWarmStart(now);
  scheduleTimer();
}

std::optional<HostList> MembershipService::onList(HostList&& list) {
  const Time now = clock_.now();
  const auto isResponding = [&](std::string_view host) {
    const Time lastResponse = gateway_.lastResponseAt(std::string(host));
    return lastResponse != Time{} && now - lastResponse < kRespondingTime;
  };
  membership::ListPolicy::Decision decision = listPolicy_.onList(toEndpointList(list), now, isResponding);
  if (listPolicy_.statistics().renumbered != knownRenumberings_) {
    knownRenumberings_ = listPolicy_.statistics().renumbered;
    hostStates_.resetVersions();
  }
  if (decision.requestCompleteList) {
    std::fprintf(stderr,
                 "finchstile: list not effective as a whole, requesting a complete list: version=%lld\n",
                 static_cast<long long>(listPolicy_.version()));
    gateway_.requestCompleteList();
  }
  scheduleTimer();
  if (!decision.list) return std::nullopt;
  return recordList(std::move(*decision.list));
}

// Records a list before the gateway receives it, since the gateway applies the filter to each of its entries.
HostList MembershipService::recordList(membership::EndpointList&& list) {
  const Time now = clock_.now();
  const auto version = static_cast<std::uint64_t>(std::max<std::int64_t>(list.version, 0));
  HostList effective;
  effective.version = list.version;
  effective.complete = list.isComplete;
  for (const membership::ListEntry& entry : list.hosts) {
    recordEntry(entry, version, now);
    effective.hosts.push_back({entry.host, readEndpoint(entry.endpoint)});
  }
  if (list.isComplete) recordOmissions(list, version, now);
  return effective;
}

void MembershipService::recordEntry(const membership::ListEntry& entry, std::uint64_t version, Time now) {
  const std::string& name = entry.host.address;
  hostStates_.onListed(name, entry.host.startedAt, entry.host.phase, version, now);
  const membership::HostState* state = hostStates_.find(name);
  if (state && gossip_) {
    const auto [it, isNew] = keys_.emplace(name, 0);
    if (isNew) {
      it->second = keyOf(name);
      names_[it->second] = name;
    }
    gossip_->onListed(it->second, unixMs(state->incarnation), entry.host.phase, version, now);
  }
  if (machineTypes_.size() < kMaxMachineTypes) machineTypes_.insert(entry.host.machineType);
}

void MembershipService::recordOmissions(const membership::EndpointList& list, std::uint64_t version,
                                        Time now) {
  hostStates_.onCompleteList(version, now);
  if (!gossip_) return;
  std::unordered_set<std::string_view> named;
  for (const membership::ListEntry& entry : list.hosts) named.insert(entry.host.address);
  for (const auto& [name, key] : keys_) {
    if (named.count(name) > 0) continue;
    if (const auto* state = hostStates_.find(name))
      gossip_->onListed(key, unixMs(state->incarnation), HostPhase::removed, version, now);
  }
}

void MembershipService::onWatchLost() { listPolicy_.onWatchLost(); }

void MembershipService::onDiscoveryMoved() {
  listPolicy_.onDiscoveryMoved();
  hostStates_.resetVersions();
}

void MembershipService::apply(load_balancing::HostEntry& entry) const {
  const Time now = clock_.now();
  // A host without a state did not fit into the table or is not listed yet; its phase stays as listed.
  if (!hostStates_.find(entry.address)) return;
  entry.phase = membership::worsePhase(entry.phase, hostStates_.phase(entry.address, now));
  if (!gossip_ || entry.phase != HostPhase::active) return;
  const auto key = keys_.find(entry.address);
  if (key != keys_.end() && gossip_->isUnresponsiveByQuorum(key->second, now))
    entry.phase = HostPhase::draining;
}

// --- First-hand observations

void MembershipService::onHostUnresponsive(const std::string& host) {
  const auto key = keys_.find(host);
  const auto* state = hostStates_.find(host);
  if (gossip_ && key != keys_.end() && state)
    gossip_->onUnresponsive(key->second, unixMs(state->incarnation), clock_.now());
}

void MembershipService::onLoadReport(const std::string& host, const load_balancing::LoadReport& report) {
  const auto* state = hostStates_.find(host);
  if (!state) return;
  const Time now = clock_.now();
  hostStates_.onLoadReport(host, state->incarnation, {report, now, now});
}

// --- Other gateways

void MembershipService::onPeerMessage(peer::GatewayNumber from, std::string_view payload) {
  const Time now = clock_.now();
  const auto type = payload.empty() ? std::uint8_t{0} : static_cast<std::uint8_t>(payload.front());
  switch (type) {
    case membership::kSnapshotRequestType:
      if (settings_.warmStart.enabled)
        snapshotServer_.onMessage(from, payload, now, [this] { return makeSnapshot(); });
      break;
    case membership::kSnapshotChunkType:
      if (warmStart_ && warmStart_->onMessage(from, payload, now) && warmStart_->isFinished())
        finishWarmStart();
      break;
    case membership::kGossipMessageType:
      if (!settings_.gossip.enabled) break;
      gossip_->onMessage(from, payload, now);
      applyGossip();
      break;
    default: break;
  }
  if (warmStart_) send(warmStart_->takeOutgoing());
  scheduleTimer();
}

void MembershipService::send(const std::vector<membership::OutgoingMessage>& messages) {
  for (const membership::OutgoingMessage& message : messages)
    link_->channel().send(peer::Topic::hosts, message.recipient, message.payload);
}

// Applies the unresponsive hosts and the phases that gossip has accepted.
void MembershipService::applyGossip() {
  for (const Time until : gossip_->takeUnresponsiveUntil()) {
    restrictionEnds_.insert(until);
    filterChanged_ = true;
  }
  for (const membership::Gossip::AcceptedPhase& accepted : gossip_->takeAcceptedPhases()) {
    const std::string* name = findName(accepted.host);
    const auto* state = findState(accepted.host);
    if (!state || unixMs(state->incarnation) != accepted.startedUnixMs) continue;
    hostStates_.onPeerPhase(*name, state->incarnation, {accepted.phase, accepted.version, accepted.since});
    restrictionEnds_.insert(accepted.since + settings_.hostStates.peerPhaseLifetime);
    filterChanged_ = true;
  }
}

membership::StateSnapshot MembershipService::makeSnapshot() const {
  membership::StateSnapshot snapshot = membership::makeSnapshot(
      gateway_.learnedState(), [this](std::string_view name) { return keyOf(name); },
      [this](const std::string& host) { return listedState(host); });
  // The learned state contains active hosts only. The other hosts are added for their phase, which the
  // receiving gateway applies.
  for (const Gateway::HostView& host : gateway_.hosts()) {
    const auto state = listedState(host.listed.address);
    if (!state || state->phase == HostPhase::active) continue;
    membership::HostRecord record;
    record.host = keyOf(host.listed.address);
    record.startedUnixMs = state->startedUnixMs;
    record.phase = state->phase;
    record.version = state->version;
    record.age = state->age;
    snapshot.hosts.push_back(record);
  }
  return snapshot;
}

std::optional<membership::ListedHostState> MembershipService::listedState(const std::string& host) const {
  const auto* state = hostStates_.find(host);
  if (!state) return std::nullopt;
  const Time lastResponse = gateway_.lastResponseAt(host);
  const Duration age = lastResponse == Time{} ? membership::kMaxAge : clock_.now() - lastResponse;
  return membership::ListedHostState{unixMs(state->incarnation), state->listed.phase, state->listed.version,
                                     age};
}

// --- Warm start

void MembershipService::startWarmStart(Time now) {
  membership::WarmStartSettings settings = settings_.warmStart.start;
  settings.ownNumber = link_->ownNumber();
  settings.gatewayCount = link_->gatewayCount();
  warmStart_ =
      std::make_unique<membership::WarmStart>(settings, balancerSettings_.seed ^ kWarmStartSeedMask, now);
  send(warmStart_->takeOutgoing());
}

membership::NameResolver MembershipService::nameResolver() const {
  membership::NameResolver resolver;
  for (const auto& cls : balancerSettings_.classes) resolver.classes.emplace_back(keyOf(cls.name), cls.name);
  for (const std::string& type : machineTypes_) resolver.machineTypes.emplace_back(keyOf(type), type);
  resolver.hostName = [this](HostKey key) -> std::optional<std::string> {
    const std::string* name = findName(key);
    return name ? std::optional(*name) : std::nullopt;
  };
  resolver.uptime = [this](HostKey key, std::int64_t startedUnixMs) -> std::optional<Duration> {
    const auto* state = findState(key);
    if (!state || unixMs(state->incarnation) != startedUnixMs) return std::nullopt;
    if (state->incarnation == Time{}) return Duration{};
    return std::max(clock_.now() - state->incarnation, Duration(1));
  };
  return resolver;
}

void MembershipService::finishWarmStart() {
  if (std::exchange(warmStartFinished_, true)) return;
  const Time now = clock_.now();
  const auto learned = warmStart_->learnedState(nameResolver(), now);
  for (const auto& [from, host] : warmStart_->nonActiveHosts()) {
    membership::GossipUpdate update;
    update.host = host.host;
    update.startedUnixMs = host.startedUnixMs;
    update.kind = host.phase == HostPhase::draining ? membership::GossipUpdate::Kind::draining
                                                    : membership::GossipUpdate::Kind::removed;
    update.version = host.version;
    gossip_->onUpdate(from, update, now);
  }
  const auto& statistics = warmStart_->statistics();
  std::fprintf(stderr, "finchstile: warm start finished, %s: asked=%llu complete=%llu young=%llu hosts=%zu\n",
               learned ? "restoring the state of peers" : "starting without the state of peers",
               static_cast<unsigned long long>(statistics.requested),
               static_cast<unsigned long long>(statistics.complete),
               static_cast<unsigned long long>(statistics.tooYoung), learned ? learned->hosts.size() : 0);
  if (learned) gateway_.restoreLearnedState(*learned);
  applyGossip();
}

// --- Timers

Time MembershipService::nextTimer() const {
  Time next = nextCleanupAt_;
  const auto include = [&](const std::optional<Time>& time) {
    if (time) next = std::min(next, *time);
  };
  include(listPolicy_.nextTimer());
  if (gossip_) include(nextGossipAt_);
  if (warmStart_) include(warmStart_->nextTimer());
  if (snapshotServer_.hasPending()) include(clock_.now() + kSnapshotPause);
  if (filterChanged_) include(filteredAt_ + kMinFilterInterval);
  if (!restrictionEnds_.empty()) include(*restrictionEnds_.begin());
  return next;
}

void MembershipService::scheduleTimer() {
  const Time next = nextTimer();
  if (next == timerAt_) return;
  timerAt_ = next;
  timer_.expires_at(clock_.steady(next));
  timer_.async_wait([this](const boost::system::error_code& cancelled) {
    if (!cancelled) onTimer();
  });
}

void MembershipService::onTimer() {
  timerAt_ = Time{};
  const Time now = clock_.now();
  onListPolicyTimer(now);
  onGossipTimer(now);
  onWarmStartTimer(now);
  send(snapshotServer_.tick());
  onFilterTimer(now);
  onCleanupTimer(now);
  scheduleTimer();
}

void MembershipService::onListPolicyTimer(Time now) {
  const auto due = listPolicy_.nextTimer();
  if (!due || *due > now) return;
  auto decision = listPolicy_.onTimer(now);
  if (decision.list) gateway_.applyHostList(recordList(std::move(*decision.list)));
}

void MembershipService::onGossipTimer(Time now) {
  if (!gossip_ || nextGossipAt_ > now) return;
  nextGossipAt_ = now + settings_.gossip.gossip.period;
  const std::vector<membership::OutgoingMessage> messages = gossip_->tick(now);
  if (settings_.gossip.enabled) send(messages);
  applyGossip();
}

void MembershipService::onWarmStartTimer(Time now) {
  if (!warmStart_ || warmStartFinished_) return;
  warmStart_->onTimer(now);
  if (warmStart_->isFinished()) finishWarmStart();
  send(warmStart_->takeOutgoing());
}

void MembershipService::onFilterTimer(Time now) {
  while (!restrictionEnds_.empty() && *restrictionEnds_.begin() <= now) {
    restrictionEnds_.erase(restrictionEnds_.begin());
    filterChanged_ = true;
  }
  if (!filterChanged_ || now < filteredAt_ + kMinFilterInterval) return;
  filterChanged_ = false;
  filteredAt_ = now;
  gateway_.reapplyHostFilters();
}

void MembershipService::onCleanupTimer(Time now) {
  if (now < nextCleanupAt_) return;
  nextCleanupAt_ = now + kCleanupInterval;
  hostStates_.removeExpired(clock_.now());
  if (!gossip_) return;
  for (auto it = keys_.begin(); it != keys_.end();) {
    if (hostStates_.find(it->first)) {
      ++it;
      continue;
    }
    gossip_->onHostErased(it->second);
    names_.erase(it->second);
    it = keys_.erase(it);
  }
}

}  // namespace finchstile
