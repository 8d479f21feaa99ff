#include "membership/gossip.hpp"

#include <algorithm>
#include <cmath>

namespace finchstile::membership {
namespace {

using Kind = GossipUpdate::Kind;

// Votes kept beyond the quorum, so that it survives the expiry of one.
constexpr std::size_t kSpareVotes = 3;

HostPhase phaseOf(Kind kind) { return kind == Kind::draining ? HostPhase::draining : HostPhase::removed; }

Kind kindOf(HostPhase phase) { return phase == HostPhase::draining ? Kind::draining : Kind::removed; }

std::uint32_t transmissions(const GossipSettings& settings) {
  return static_cast<std::uint32_t>(
      std::ceil(settings.retransmitMultiplier * std::log2(settings.gatewayCount + 1.0)));
}

}  // namespace

Gossip::Gossip(const GossipSettings& settings, std::uint64_t seed, Time now, LastResponseLookup lastResponse)
    : settings_(settings),
      random_(seed),
      lastResponse_(std::move(lastResponse)),
      queue_(settings.maxQueuedUpdates, transmissions(settings)),
      reputations_(settings.gatewayCount,
                   PeerReputation(settings.maxReputation, settings.reputationInterval, now)) {}

std::size_t Gossip::quorum() const {
  const std::size_t others = settings_.gatewayCount > 0 ? settings_.gatewayCount - 1u : 0;
  return std::max<std::size_t>(1, std::min(settings_.quorum, others));
}

// The host if our list names this process of it.
Gossip::Host* Gossip::findProcess(HostKey key, std::int64_t startedUnixMs) {
  const auto it = hosts_.find(key);
  if (it == hosts_.end()) return nullptr;
  Host& host = it->second;
  return host.listed && host.startedUnixMs == startedUnixMs ? &host : nullptr;
}

// --- First-hand knowledge

void Gossip::onUnresponsive(HostKey key, std::int64_t startedUnixMs, Time now) {
  Host* host = findProcess(key, startedUnixMs);
  if (!host) return;
  const bool wasUnresponsive = unresponsiveSince(*host, now) != Time{};
  host->observedUnresponsiveAt = now;
  // A known unresponsiveness is passed on again only after its earlier transmissions are over.
  if (!wasUnresponsive || !queue_.contains(key)) enqueue(key, *host, Kind::unresponsive);
}

void Gossip::onListed(HostKey key, std::int64_t startedUnixMs, HostPhase phase, std::uint64_t version,
                      Time now) {
  auto it = hosts_.find(key);
  if (it == hosts_.end()) {
    if (phase == HostPhase::removed) return;
    it = hosts_.emplace(key, Host{}).first;
  }
  Host& host = it->second;
  if (host.listed && host.startedUnixMs != startedUnixMs) {
    // Another process: no earlier observation applies to it.
    closeAssertion(host, true, now);
    host.votes.clear();
    host.observedUnresponsiveAt = {};
    queue_.erase(key);
  }
  const HostPhase before = host.listed ? host.phase : HostPhase::active;
  if (!host.listed) ++listedHosts_;
  host.listed = true;
  host.startedUnixMs = startedUnixMs;
  host.phase = phase;
  host.version = version;
  reviewAssertion(host, now);
  if (phase != HostPhase::active && phase != before) enqueue(key, host, kindOf(phase));
  if (phase == HostPhase::active && before != HostPhase::active) queue_.erase(key);
}

// Closes an assertion that our list decides. An older list than the asserted one can confirm, but not refute
// it.
void Gossip::reviewAssertion(Host& host, Time now) {
  if (!host.assertion) return;
  const bool confirmed = phaseSeverity(host.phase) >= phaseSeverity(host.assertion->phase);
  if (host.version >= host.assertion->version || confirmed) closeAssertion(host, confirmed, now);
}

void Gossip::onHostErased(HostKey key) {
  const auto it = hosts_.find(key);
  if (it == hosts_.end()) return;
  const Host& host = it->second;
  if (host.assertion) reputations_[host.assertion->from].closeAssertion();
  if (host.listed) --listedHosts_;
  hosts_.erase(it);
  unresponsiveUntil_.erase(key);
  queue_.eraseIfUnresponsive(key);
}

// --- Messages of other gateways

void Gossip::onMessage(GatewayNumber from, std::string_view payload, Time now) {
  const auto updates = decodeGossipMessage(payload);
  if (!updates || from >= settings_.gatewayCount || from == settings_.ownNumber) {
    ++statistics_.malformed;
    return;
  }
  ++statistics_.received;
  for (const GossipUpdate& update : *updates) onUpdate(from, update, now);
}

void Gossip::onUpdate(GatewayNumber from, const GossipUpdate& update, Time now) {
  if (from >= settings_.gatewayCount || from == settings_.ownNumber) return;
  reputations_[from].recover(now);
  Host* host = findProcess(update.host, update.startedUnixMs);
  if (!host) return;
  if (update.kind == Kind::unresponsive)
    onUnresponsiveUpdate(update.host, *host, from, now - update.age, now);
  else onPhaseUpdate(update.host, *host, from, update, now);
}

// Since when the host is held to be unresponsive, by our own attempts or by a quorum; 0: it is not.
Time Gossip::unresponsiveSince(const Host& host, Time now) const {
  const auto isCurrent = [&](Time time) {
    return time != Time{} && now - time < settings_.observationLifetime;
  };
  Time since{};
  if (isCurrent(host.observedUnresponsiveAt)) since = host.observedUnresponsiveAt;
  const Time byQuorum = host.votes.quorumSince(quorum());
  if (isCurrent(byQuorum)) since = std::max(since, byQuorum);
  return since;
}

void Gossip::onUnresponsiveUpdate(HostKey key, Host& host, GatewayNumber from, Time observedAt, Time now) {
  if (now - observedAt >= settings_.observationLifetime) return;
  const Time lastResponse = lastResponse_(key);
  if (lastResponse != Time{} && lastResponse >= observedAt) {
    ++statistics_.contradicted;
    return;
  }
  const bool wasUnresponsive = unresponsiveSince(host, now) != Time{};
  host.votes.discardUntil(std::max(now - settings_.observationLifetime, lastResponse));
  host.votes.add(from, observedAt, quorum() + kSpareVotes);
  const Time since = unresponsiveSince(host, now);
  if (since == Time{} || !restrictUnresponsive(key, since)) return;
  if (wasUnresponsive) return;
  ++statistics_.unresponsiveByQuorum;
  enqueue(key, host, Kind::unresponsive);
}

// False if too many hosts are restricted already. In an overload every gateway may find any host
// unresponsive, and a pool without hosts serves nobody.
bool Gossip::restrictUnresponsive(HostKey key, Time since) {
  const Time until = since + settings_.observationLifetime;
  const auto restricted = unresponsiveUntil_.find(key);
  if (restricted != unresponsiveUntil_.end()) {
    restricted->second = until;
  } else {
    const double maxHosts = settings_.maxUnresponsiveFraction * static_cast<double>(listedHosts_);
    if (static_cast<double>(unresponsiveUntil_.size() + 1) > maxHosts) {
      ++statistics_.overFraction;
      return false;
    }
    unresponsiveUntil_.emplace(key, until);
  }
  newUnresponsiveUntil_.push_back(until);
  return true;
}

void Gossip::onPhaseUpdate(HostKey key, Host& host, GatewayNumber from, const GossipUpdate& update,
                           Time now) {
  const HostPhase phase = phaseOf(update.kind);
  const bool addsToOurList =
      update.version > host.version && phaseSeverity(phase) > phaseSeverity(host.phase);
  if (!addsToOurList) return;
  if (host.assertion) {
    // A repeated assertion gets no younger, and the gateway that made it first answers for it.
    Assertion& assertion = *host.assertion;
    if (phaseSeverity(phase) <= phaseSeverity(assertion.phase)) return;
    assertion.phase = phase;
    assertion.version = std::max(assertion.version, update.version);
    acceptedPhases_.push_back({key, host.startedUnixMs, phase, assertion.version, assertion.since});
    return;
  }
  PeerReputation& reputation = reputations_[from];
  if (!mayAssert(reputation)) return;
  reputation.openAssertion();
  ++statistics_.assertions;
  host.assertion = Assertion{from, phase, update.version, now};
  assertionExpiries_.push_back({now + settings_.phaseLifetime, key});
  acceptedPhases_.push_back({key, host.startedUnixMs, phase, update.version, now});
}

// Whether one more host may be restricted by this gateway's assertions.
bool Gossip::mayAssert(const PeerReputation& reputation) {
  if (!reputation.coversAnotherAssertion()) {
    ++statistics_.withoutReputation;
    return false;
  }
  // In a small fleet one host at least, as long as there is another.
  const bool enabled = settings_.maxPhaseFraction > 0 && listedHosts_ > 1;
  const double maxHosts =
      enabled ? std::max(1.0, settings_.maxPhaseFraction * static_cast<double>(listedHosts_)) : 0;
  if (static_cast<double>(reputation.openAssertions() + 1) > maxHosts) {
    ++statistics_.overFraction;
    return false;
  }
  return true;
}

void Gossip::closeAssertion(Host& host, bool confirmed, Time now) {
  if (!host.assertion) return;
  PeerReputation& reputation = reputations_[host.assertion->from];
  reputation.closeAssertion();
  ++(confirmed ? statistics_.confirmed : statistics_.expired);
  if (!confirmed) reputation.penalize(now);
  host.assertion.reset();
}

void Gossip::expireAssertions(Time now) {
  while (!assertionExpiries_.empty() && assertionExpiries_.front().at <= now) {
    const auto it = hosts_.find(assertionExpiries_.front().host);
    assertionExpiries_.pop_front();
    if (it == hosts_.end() || !it->second.assertion) continue;
    if (now - it->second.assertion->since >= settings_.phaseLifetime) closeAssertion(it->second, false, now);
  }
}

bool Gossip::isUnresponsiveByQuorum(HostKey key, Time now) const {
  const auto it = unresponsiveUntil_.find(key);
  if (it == unresponsiveUntil_.end() || it->second <= now) return false;
  const Time since = it->second - settings_.observationLifetime;
  const Time lastResponse = lastResponse_(key);
  return lastResponse == Time{} || lastResponse < since;
}

// --- Messages to other gateways

void Gossip::enqueue(HostKey key, const Host& host, Kind kind) {
  if (settings_.gatewayCount < 2) return;
  const std::uint64_t version = kind == Kind::unresponsive ? 0 : host.version;
  if (!queue_.enqueue({key, host.startedUnixMs, kind, version, {}})) ++statistics_.dropped;
}

std::vector<OutgoingMessage> Gossip::tick(Time now) {
  expireAssertions(now);
  std::erase_if(unresponsiveUntil_, [&](const auto& item) {
    return item.second <= now || !isUnresponsiveByQuorum(item.first, now);
  });
  if (queue_.empty() || settings_.gatewayCount < 2) return {};
  const std::vector<GossipUpdate> batch = nextBatch(now);
  const auto payload = encodeGossipMessage(batch);
  if (!payload) return {};
  std::vector<OutgoingMessage> messages;
  for (const GatewayNumber recipient : drawRecipients()) messages.push_back({recipient, *payload});
  statistics_.sent += messages.size();
  statistics_.bytes += messages.size() * payload->size();
  for (const GossipUpdate& update : batch) queue_.onTransmitted(update.host);
  return messages;
}

// The updates of the next message, with their ages. Drops unresponsive hosts that have recovered.
std::vector<GossipUpdate> Gossip::nextBatch(Time now) {
  std::vector<GossipUpdate> batch;
  for (GossipUpdate& update : queue_.nextBatch()) {
    if (update.kind == Kind::unresponsive) {
      const auto it = hosts_.find(update.host);
      const Time since = it == hosts_.end() ? Time{} : unresponsiveSince(it->second, now);
      const Time lastResponse = lastResponse_(update.host);
      const bool hasResponded = lastResponse != Time{} && lastResponse >= since;
      if (since == Time{} || hasResponded) {
        queue_.erase(update.host);
        continue;
      }
      update.age = now - since;
    }
    batch.push_back(update);
  }
  return batch;
}

std::vector<GatewayNumber> Gossip::drawRecipients() {
  const std::size_t others = settings_.gatewayCount - 1u;
  const std::size_t count = std::min(settings_.fanout, others);
  std::vector<GatewayNumber> recipients;
  while (recipients.size() < count) {
    auto drawn = static_cast<GatewayNumber>(random_() % others);
    if (drawn >= settings_.ownNumber) ++drawn;
    if (std::find(recipients.begin(), recipients.end(), drawn) == recipients.end())
      recipients.push_back(drawn);
  }
  return recipients;
}

}  // namespace finchstile::membership
