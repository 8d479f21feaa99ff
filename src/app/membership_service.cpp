#include "app/membership_service.hpp"

#include <algorithm>
#include <cstdio>

namespace finchstile {
namespace {

// Names of machine kinds that are kept for snapshots: one for each of as many hosts, were it so.
constexpr std::size_t kKindsMost = 4096;

using load_balancing::HostPhase;
using membership::HostKey;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kAnswering = seconds(2);  // a host that has answered within this answers
constexpr Duration kSweep = seconds(1);
constexpr Duration kRefilterLeast = milliseconds(50);  // between looks at all hosts anew
constexpr Duration kSnapshotPause = milliseconds(10);

membership::List listOf(const HostList& from) {
  membership::List out;
  out.index = from.version;
  out.whole = from.complete;
  for (const ListedHost& h : from.hosts)
    out.hosts.push_back(
        {h.entry, h.endpoint.address().to_string() + ":" + std::to_string(h.endpoint.port())});
  return out;
}

}  // namespace

MembershipService::MembershipService(boost::asio::io_context& io, const Clock& clock,
                                     const membership::MembershipSettings& settings,
                                     const GatewayConfig& config, Gateway& gateway, PeerLink* link)
    : clock_(clock),
      settings_(settings),
      known_(config.settings),
      gateway_(gateway),
      link_(link),
      nameKey_(link ? link->keyFor("hosts") : SipKey{}),
      policy_(settings.list),
      view_(settings.view),
      server_(settings.warmStart.server),
      timer_(io) {
  const Time now = clock_.now();
  sweepAt_ = now + kSweep;
  if (link_) {
    membership::GossipSettings g = settings_.gossip.gossip;
    g.own = link_->own();
    g.gateways = link_->gateways();
    gossip_ = std::make_unique<membership::Gossip>(g, config.settings.seed, now, [this](HostKey key) {
      const auto it = names_.find(key);
      return it == names_.end() ? Time{} : gateway_.lastResponseAt(it->second);
    });
    // Spread, or gateways that start together would speak together.
    gossipAt_ = now + g.period * static_cast<int>(config.settings.seed % 100) / 100;
    link_->channel().take(peer::Topic::hosts, [this](peer::Number from, std::uint64_t,
                                                     std::string_view payload) { fromPeer(from, payload); });
  }
  gateway_.setHostListInterceptor(*this);
  gateway_.addHostEntryFilter(*this);
  gateway_.setHostObserver(*this);
}

HostKey MembershipService::keyOf(std::string_view name) const {
  return SipHasher(nameKey_).add(name).end().low;
}

std::int64_t MembershipService::unixMs(Time upSince) const {
  return upSince == Time{} ? 0 : clock_.unixAt(upSince) / milliseconds(1);
}

// --- Lists

void MembershipService::onInitialList(const HostList& known) {
  const Time now = clock_.now();
  membership::List list = listOf(known);
  policy_.start(list, now);
  list.whole = true;
  told(std::move(list));
  if (gossip_ && settings_.warmStart.enabled) {
    membership::WarmStartSettings s = settings_.warmStart.start;
    s.own = link_->own();
    s.gateways = link_->gateways();
    warm_ = std::make_unique<membership::WarmStart>(s, known_.seed ^ 0x57a27, now);
    sendOut();
  }
  arm();
}

std::optional<HostList> MembershipService::onList(HostList&& list) {
  const Time now = clock_.now();
  membership::ListPolicy::Told t = policy_.onList(listOf(list), now, [&](std::string_view host) {
    const Time at = gateway_.lastResponseAt(std::string(host));
    return at != Time{} && now - at < kAnswering;
  });
  if (policy_.counts().renumbered != renumbered_) {
    renumbered_ = policy_.counts().renumbered;
    view_.renumber();
  }
  if (t.askWhole) {
    std::fprintf(stderr, "membership: list %lld leaves out too many hosts that answer; asked for again\n",
                 static_cast<long long>(policy_.version()));
    gateway_.requestCompleteList();
  }
  arm();
  if (!t.list) return std::nullopt;
  return told(std::move(*t.list));
}

// What goes to the gateway is noted first: its filter is asked about each entry.
HostList MembershipService::told(membership::List&& list) {
  const Time now = clock_.now();
  const auto version = static_cast<std::uint64_t>(std::max<std::int64_t>(list.index, 0));
  HostList out;
  out.version = list.index;
  out.complete = list.whole;
  std::unordered_set<std::string_view> named;
  for (const membership::Named& n : list.hosts) {
    const std::string& name = n.entry.address;
    view_.onListed(name, n.entry.startedAt, n.entry.phase, version, now);
    if (const auto* facts = view_.find(name); facts && gossip_) {
      const auto [it, fresh] = keys_.emplace(name, 0);
      if (fresh) {
        it->second = keyOf(name);
        names_[it->second] = name;
      }
      gossip_->onListed(it->second, unixMs(facts->started), n.entry.phase, version, now);
    }
    if (kinds_.size() < kKindsMost) kinds_.insert(n.entry.machineType);
    out.hosts.push_back({n.entry, readEndpoint(n.at)});
    named.insert(name);
  }
  if (list.whole) {
    view_.onWhole(version, now);
    if (gossip_)
      for (const auto& [name, key] : keys_)
        if (named.count(name) == 0)
          if (const auto* facts = view_.find(name))
            gossip_->onListed(key, unixMs(facts->started), HostPhase::removed, version, now);
  }
  return out;
}

void MembershipService::onWatchLost() { policy_.onLost(); }

void MembershipService::onDiscoveryMoved() {
  policy_.onMoved();
  view_.renumber();
}

void MembershipService::apply(load_balancing::HostEntry& entry) const {
  const Time now = clock_.now();
  if (!view_.find(entry.address)) return;  // no place, or not named yet: nothing is known against it
  entry.phase = membership::worse(entry.phase, view_.phase(entry.address, now));
  if (!gossip_ || entry.phase != HostPhase::active) return;
  const auto key = keys_.find(entry.address);
  if (key != keys_.end() && gossip_->silentByOthers(key->second, now)) entry.phase = HostPhase::draining;
}

// --- First hand

void MembershipService::onHostSilent(const std::string& host) {
  const auto key = keys_.find(host);
  const auto* facts = view_.find(host);
  if (gossip_ && key != keys_.end() && facts)
    gossip_->onSilent(key->second, unixMs(facts->started), clock_.now());
}

void MembershipService::onLoadReport(const std::string& host, const load_balancing::LoadReport& report) {
  const auto* facts = view_.find(host);
  if (!facts) return;
  const Time now = clock_.now();
  view_.onLoad(host, facts->started, {report, now, now});
}

// --- Other gateways

void MembershipService::fromPeer(peer::Number from, std::string_view payload) {
  const Time now = clock_.now();
  switch (payload.empty() ? 0 : payload.front()) {
    case membership::kAskForm:
      if (settings_.warmStart.enabled) server_.receive(from, payload, now, [this] { return snapshot(); });
      break;
    case membership::kChunkForm:
      if (warm_ && warm_->receive(from, payload, now) && warm_->over()) endWarmStart();
      break;
    case membership::kRumoursForm:
      if (!settings_.gossip.enabled) break;
      gossip_->receive(from, payload, now);
      settle();
      break;
  }
  sendOut();
  arm();
}

membership::Snapshot MembershipService::snapshot() const {
  membership::Snapshot s = membership::snapshotOf(
      gateway_.learnedState(), [this](std::string_view name) { return keyOf(name); },
      [this](const std::string& host) { return factOf(host); });
  // Of those that drain nothing is learned, but that they do is to be known.
  for (const Gateway::HostView& h : gateway_.hosts()) {
    const auto fact = factOf(h.listed.address);
    if (!fact || fact->phase == HostPhase::active) continue;
    membership::ToldHost told;
    told.host = keyOf(h.listed.address);
    told.started = fact->started;
    told.phase = fact->phase;
    told.version = fact->version;
    told.age = fact->age;
    s.hosts.push_back(told);
  }
  return s;
}

std::optional<membership::ListedFact> MembershipService::factOf(const std::string& host) const {
  const auto* facts = view_.find(host);
  if (!facts) return std::nullopt;
  const Time at = gateway_.lastResponseAt(host);
  return membership::ListedFact{unixMs(facts->started), facts->listed.phase, facts->listed.version,
                                at == Time{} ? membership::kAgeMost : clock_.now() - at};
}

membership::Names MembershipService::names() const {
  membership::Names n;
  for (const auto& c : known_.classes) n.classes.emplace_back(keyOf(c.name), c.name);
  for (const std::string& k : kinds_) n.kinds.emplace_back(keyOf(k), k);
  n.host = [this](HostKey key) -> std::optional<std::string> {
    const auto it = names_.find(key);
    return it == names_.end() ? std::nullopt : std::optional(it->second);
  };
  n.up = [this](HostKey key, std::int64_t started) -> std::optional<Duration> {
    const auto it = names_.find(key);
    const auto* facts = it == names_.end() ? nullptr : view_.find(it->second);
    if (!facts || unixMs(facts->started) != started) return std::nullopt;
    return facts->started == Time{} ? Duration{} : std::max(clock_.now() - facts->started, Duration(1));
  };
  return n;
}

void MembershipService::endWarmStart() {
  if (std::exchange(warmed_, true)) return;
  const Time now = clock_.now();
  const auto learned = warm_->learned(names(), now);
  for (const auto& [from, host] : warm_->phases()) {
    const auto what = host.phase == HostPhase::draining ? membership::Rumour::What::draining
                                                        : membership::Rumour::What::out;
    gossip_->hear(from, {host.host, host.started, what, host.version, {}}, now);
  }
  const auto& c = warm_->counts();
  std::fprintf(stderr, "membership: warm start asked=%llu complete=%llu young=%llu hosts=%zu%s\n",
               static_cast<unsigned long long>(c.asked), static_cast<unsigned long long>(c.complete),
               static_cast<unsigned long long>(c.young), learned ? learned->hosts.size() : 0,
               learned ? "" : " nothing to go by");
  if (learned) gateway_.restoreLearnedState(*learned);
  settle();
}

void MembershipService::settle() {
  for (const Time until : gossip_->takeSilent()) {
    until_.insert(until);
    changed_ = true;
  }
  for (const membership::Gossip::Accepted& a : gossip_->takeAccepted()) {
    const auto name = names_.find(a.host);
    const auto* facts = name == names_.end() ? nullptr : view_.find(name->second);
    if (!facts || unixMs(facts->started) != a.started) continue;
    view_.onPeerPhase(name->second, facts->started, {a.phase, a.version, a.since});
    until_.insert(a.since + settings_.view.peerHolds);
    changed_ = true;
  }
}

void MembershipService::sendOut() {
  if (!link_) return;
  if (warm_)
    for (const auto& o : warm_->takeOutgoing()) link_->channel().send(peer::Topic::hosts, o.to, o.payload);
}

// --- Time

void MembershipService::forget() {
  view_.sweep(clock_.now());
  if (!gossip_) return;
  for (auto it = keys_.begin(); it != keys_.end();) {
    if (view_.find(it->first)) {
      ++it;
      continue;
    }
    gossip_->onForgotten(it->second);
    names_.erase(it->second);
    it = keys_.erase(it);
  }
}

void MembershipService::arm() {
  Time want = sweepAt_;
  if (const auto at = policy_.wake()) want = std::min(want, *at);
  if (gossip_) want = std::min(want, gossipAt_);
  if (warm_ && !warm_->over())
    if (const auto at = warm_->wake()) want = std::min(want, *at);
  if (server_.busy()) want = std::min(want, clock_.now() + kSnapshotPause);
  if (changed_) want = std::min(want, refilteredAt_ + kRefilterLeast);
  if (!until_.empty()) want = std::min(want, *until_.begin());
  if (want == armed_) return;
  armed_ = want;
  timer_.expires_at(clock_.steady(want));
  timer_.async_wait([this](const boost::system::error_code& stopped) {
    if (!stopped) onTimer();
  });
}

void MembershipService::onTimer() {
  armed_ = Time{};
  const Time now = clock_.now();
  if (const auto at = policy_.wake(); at && *at <= now) {
    auto t = policy_.onWake(now);
    if (t.list) gateway_.applyHostList(told(std::move(*t.list)));
  }
  if (gossip_ && gossipAt_ <= now) {
    gossipAt_ = now + settings_.gossip.gossip.period;
    for (const auto& o : gossip_->tick(now))
      if (settings_.gossip.enabled) link_->channel().send(peer::Topic::hosts, o.to, o.payload);
    settle();
  }
  if (warm_ && !warmed_) {
    warm_->tick(now);
    if (warm_->over()) endWarmStart();
    sendOut();
  }
  for (const auto& o : server_.tick()) link_->channel().send(peer::Topic::hosts, o.to, o.payload);
  while (!until_.empty() && *until_.begin() <= now) {
    until_.erase(until_.begin());
    changed_ = true;
  }
  if (changed_ && now >= refilteredAt_ + kRefilterLeast) {
    changed_ = false;
    refilteredAt_ = now;
    gateway_.reapplyHostFilters();
  }
  if (now >= sweepAt_) {
    sweepAt_ = now + kSweep;
    forget();
  }
  arm();
}

}  // namespace finchstile
