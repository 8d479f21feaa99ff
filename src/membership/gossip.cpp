#include "membership/gossip.hpp"

#include <algorithm>
#include <cmath>

#include "base/little_endian.hpp"

namespace finchstile::membership {
namespace {

constexpr Duration kAgeUnit = std::chrono::milliseconds(10);
constexpr std::size_t kVotesOver = 3;  // kept beyond the quorum, so that one that ages leaves it standing

HostPhase phaseOf(Rumour::What w) {
  return w == Rumour::What::draining ? HostPhase::draining : HostPhase::removed;
}

}  // namespace

std::optional<std::string> encodeRumours(const std::vector<Rumour>& rumours) {
  if (rumours.empty() || rumours.size() > kRumoursMost) return std::nullopt;
  std::string out;
  out.reserve(2 + rumours.size() * kRumourBytes);
  putLittleEndian(out, kRumoursForm);
  putLittleEndian(out, static_cast<std::uint8_t>(rumours.size()));
  for (const Rumour& r : rumours) {
    putLittleEndian(out, r.host);
    putLittleEndian(out, static_cast<std::uint64_t>(r.started));
    putLittleEndian(out, static_cast<std::uint8_t>(r.what));
    putLittleEndian(out, r.version);
    // Rounded up: what is told on and on gets no younger by it.
    const Duration age = std::clamp(r.age, Duration{}, kAgeMost);
    putLittleEndian(out, static_cast<std::uint16_t>((age + kAgeUnit - Duration(1)) / kAgeUnit));
  }
  return out;
}

std::optional<std::vector<Rumour>> decodeRumours(std::string_view p) {
  if (p.size() < 2 || static_cast<std::uint8_t>(p[0]) != kRumoursForm) return std::nullopt;
  const std::size_t n = static_cast<std::uint8_t>(p[1]);
  if (n == 0 || n > kRumoursMost || p.size() != 2 + n * kRumourBytes) return std::nullopt;
  std::vector<Rumour> out(n);
  for (std::size_t i = 0; i < n; ++i) {
    const std::string_view at = p.substr(2 + i * kRumourBytes);
    const auto what = static_cast<std::uint8_t>(at[16]);
    Rumour& r = out[i];
    r.host = getLittleEndian<std::uint64_t>(at);
    r.started = static_cast<std::int64_t>(getLittleEndian<std::uint64_t>(at.substr(8)));
    if (what < 1 || what > 3 || r.started < 0) return std::nullopt;
    r.what = static_cast<Rumour::What>(what);
    r.version = getLittleEndian<std::uint64_t>(at.substr(17));
    r.age = getLittleEndian<std::uint16_t>(at.substr(25)) * kAgeUnit;
  }
  return out;
}

Gossip::Gossip(const GossipSettings& settings, std::uint64_t seed, Time now, AnsweredAt answeredAt)
    : settings_(settings),
      draw_(seed),
      answeredAt_(std::move(answeredAt)),
      credit_(settings.gateways, Credit{settings.credit, now, 0}),
      times_(static_cast<std::uint32_t>(std::ceil(settings.repeat * std::log2(settings.gateways + 1.0)))) {}

std::size_t Gossip::quorum() const {
  const std::size_t others = settings_.gateways > 0 ? settings_.gateways - 1u : 0;
  return std::max<std::size_t>(1, std::min(settings_.quorum, others));
}

// Since when it is known to be silent, as the youngest of what makes up the conviction was seen. Danger: by
// the youngest of all votes a single liar could keep a conviction young that others have given up.
Time Gossip::convincedSince(const Host& h, Time now) const {
  Time since{};  // 0: it is not
  if (h.seenSilent != Time{} && now - h.seenSilent < settings_.holds) since = h.seenSilent;
  if (h.votes.size() >= quorum()) {
    std::vector<Time> seen;
    for (const Vote& v : h.votes) seen.push_back(v.seen);
    std::nth_element(seen.begin(), seen.begin() + static_cast<std::ptrdiff_t>(quorum() - 1), seen.end(),
                     std::greater<>());
    const Time by = seen[quorum() - 1];
    if (now - by < settings_.holds && by > since) since = by;
  }
  return since;
}

void Gossip::tell(HostKey key, const Host& h, Rumour::What what) {
  if (settings_.gateways < 2) return;
  const auto it = telling_.find(key);
  if (it == telling_.end() && telling_.size() >= settings_.rumours) {
    ++counts_.dropped;
    return;
  }
  telling_[key] = {{key, h.started, what, what == Rumour::What::silent ? 0 : h.version, {}}, times_};
}

void Gossip::onSilent(HostKey key, std::int64_t started, Time now) {
  const auto it = hosts_.find(key);
  if (it == hosts_.end() || !it->second.known || it->second.started != started) return;
  const bool before = convincedSince(it->second, now) != Time{};
  it->second.seenSilent = now;
  // What is known already is told again only as far as the last telling has run out.
  if (!before || telling_.find(key) == telling_.end()) tell(key, it->second, Rumour::What::silent);
}

void Gossip::onListed(HostKey key, std::int64_t started, HostPhase phase, std::uint64_t version, Time now) {
  auto it = hosts_.find(key);
  if (it == hosts_.end()) {
    if (phase == HostPhase::removed) return;
    it = hosts_.emplace(key, Host{}).first;
  }
  Host& h = it->second;
  if (h.known && h.started != started) {  // another process: nothing of the old one holds
    dropClaim(h, true, now);
    h.votes.clear();
    h.seenSilent = {};
    telling_.erase(key);
  }
  const HostPhase before = h.known ? h.phase : HostPhase::active;
  listed_ += !h.known;
  h.known = true;
  h.started = started;
  h.phase = phase;
  h.version = version;
  // Danger: a list that has not come as far says nothing of a claim.
  if (h.claim && version >= h.claim->version) dropClaim(h, rank(phase) >= rank(h.claim->phase), now);
  else if (h.claim && rank(phase) >= rank(h.claim->phase)) dropClaim(h, true, now);
  if (phase != HostPhase::active && phase != before)
    tell(key, h, phase == HostPhase::draining ? Rumour::What::draining : Rumour::What::out);
  else if (phase == HostPhase::active && before != HostPhase::active) telling_.erase(key);
}

void Gossip::onForgotten(HostKey key) {
  const auto it = hosts_.find(key);
  if (it == hosts_.end()) return;
  if (it->second.claim) --credit_[it->second.claim->from].keepsOut;
  listed_ -= it->second.known;
  hosts_.erase(it);
  held_.erase(key);
  if (const auto t = telling_.find(key); t != telling_.end() && t->second.rumour.what == Rumour::What::silent)
    telling_.erase(t);  // that it has gone is still told
}

void Gossip::renew(Credit& c, Time now) const {
  const double back = inSeconds(now - c.at) / std::max(inSeconds(settings_.creditEach), 1e-3);
  c.left = std::min(settings_.credit, c.left + back);
  c.at = now;
}

void Gossip::receive(GatewayNumber from, std::string_view payload, Time now) {
  const auto rumours = decodeRumours(payload);
  if (!rumours || from >= settings_.gateways || from == settings_.own) {
    ++counts_.malformed;
    return;
  }
  ++counts_.received;
  for (const Rumour& r : *rumours) hear(from, r, now);
}

void Gossip::hear(GatewayNumber from, const Rumour& r, Time now) {
  if (from >= settings_.gateways || from == settings_.own) return;
  renew(credit_[from], now);
  const auto it = hosts_.find(r.host);
  // Only our list names hosts; what is said of another process of one says nothing of this one.
  if (it == hosts_.end() || !it->second.known || it->second.started != r.started) return;
  if (r.what == Rumour::What::silent) vote(r.host, it->second, from, now - r.age, now);
  else claimed(r.host, it->second, from, r, now);
}

void Gossip::vote(HostKey key, Host& h, GatewayNumber from, Time seen, Time now) {
  if (now - seen >= settings_.holds) return;
  const Time answered = answeredAt_(key);
  if (answered >= seen && answered != Time{}) {
    ++counts_.contradicted;
    return;
  }
  const bool before = convincedSince(h, now) != Time{};
  std::erase_if(h.votes,
                [&](const Vote& v) { return now - v.seen >= settings_.holds || v.seen <= answered; });
  const auto mine =
      std::find_if(h.votes.begin(), h.votes.end(), [&](const Vote& v) { return v.from == from; });
  if (mine != h.votes.end()) {
    mine->seen = std::max(mine->seen, seen);
  } else if (h.votes.size() < quorum() + kVotesOver) {
    h.votes.push_back({from, seen});
  } else {
    const auto oldest = std::min_element(h.votes.begin(), h.votes.end(),
                                         [](const Vote& a, const Vote& b) { return a.seen < b.seen; });
    if (oldest->seen < seen) *oldest = {from, seen};
  }
  const Time since = convincedSince(h, now);
  if (since == Time{}) return;
  // Danger: in an overload every gateway may find any host silent, and a pool that is held out altogether
  // serves nobody.
  if (const auto held = held_.find(key); held != held_.end()) {
    held->second = since + settings_.holds;
  } else if (static_cast<double>(held_.size() + 1) > settings_.silentShare * static_cast<double>(listed_)) {
    ++counts_.overShare;
    return;
  } else {
    held_.emplace(key, since + settings_.holds);
  }
  silent_.push_back(held_[key]);
  if (before) return;
  ++counts_.convinced;
  tell(key, h, Rumour::What::silent);
}

void Gossip::claimed(HostKey key, Host& h, GatewayNumber from, const Rumour& r, Time now) {
  const HostPhase phase = phaseOf(r.what);
  if (r.version <= h.version || rank(phase) <= rank(h.phase)) return;  // ours is as new, or as bad
  if (h.claim) {
    // Said again, or by another: it gets no younger, and whoever said it first answers for it.
    if (rank(phase) > rank(h.claim->phase)) {
      h.claim->phase = phase;
      h.claim->version = std::max(h.claim->version, r.version);
      accepted_.push_back({key, h.started, phase, h.claim->version, h.claim->since});
    }
    return;
  }
  Credit& c = credit_[from];
  if (c.left < static_cast<double>(c.keepsOut) + 1) {
    ++counts_.unheard;
    return;
  }
  // Of a small fleet one host at least, as long as there is another.
  const double most = settings_.phaseShare > 0 && listed_ > 1
                          ? std::max(1.0, settings_.phaseShare * static_cast<double>(listed_))
                          : 0;
  if (static_cast<double>(c.keepsOut + 1) > most) {
    ++counts_.overShare;
    return;
  }
  ++c.keepsOut;
  ++counts_.claims;
  h.claim = Claim{from, phase, r.version, now};
  due_.emplace_back(now + settings_.phaseHolds, key);
  accepted_.push_back({key, h.started, phase, r.version, now});
}

void Gossip::dropClaim(Host& h, bool borne, Time now) {
  if (!h.claim) return;
  Credit& c = credit_[h.claim->from];
  --c.keepsOut;
  ++(borne ? counts_.borne : counts_.lapsed);
  if (!borne) {
    renew(c, now);
    c.left = std::max(0.0, c.left - 1);
  }
  h.claim.reset();
}

std::vector<Gossip::Outgoing> Gossip::tick(Time now) {
  while (!due_.empty() && due_.front().first <= now) {
    const HostKey key = due_.front().second;
    due_.pop_front();
    const auto it = hosts_.find(key);
    if (it != hosts_.end() && it->second.claim && now - it->second.claim->since >= settings_.phaseHolds)
      dropClaim(it->second, false, now);
  }
  std::erase_if(held_, [&](const auto& h) { return h.second <= now || !silentByOthers(h.first, now); });
  std::vector<Outgoing> out;
  if (telling_.empty() || settings_.gateways < 2) return out;

  // Those told least so far first.
  std::vector<std::pair<std::uint32_t, HostKey>> order;
  for (const auto& [key, t] : telling_) order.emplace_back(t.left, key);
  const std::size_t n = std::min(order.size(), kRumoursMost);
  std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(n), order.end(),
                    [](const auto& a, const auto& b) {
                      return a.first != b.first ? a.first > b.first : a.second < b.second;
                    });
  std::vector<Rumour> rumours;
  std::vector<HostKey> over;
  for (std::size_t i = 0; i < order.size() && rumours.size() < kRumoursMost; ++i) {
    if (i >= n) break;
    const HostKey key = order[i].second;
    Rumour r = telling_[key].rumour;
    if (r.what == Rumour::What::silent) {
      const auto it = hosts_.find(key);
      const Time since = it == hosts_.end() ? Time{} : convincedSince(it->second, now);
      const Time answered = answeredAt_(key);
      if (since == Time{} || (answered != Time{} && answered >= since)) {
        over.push_back(key);
        continue;
      }
      r.age = now - since;
    }
    rumours.push_back(r);
  }
  for (const HostKey key : over) telling_.erase(key);
  const auto payload = encodeRumours(rumours);
  if (!payload) return out;

  std::vector<GatewayNumber> to;
  const std::size_t others = settings_.gateways - 1u, want = std::min(settings_.fanout, others);
  while (to.size() < want) {
    auto other = static_cast<GatewayNumber>(draw_() % others);
    if (other >= settings_.own) ++other;
    if (std::find(to.begin(), to.end(), other) == to.end()) to.push_back(other);
  }
  for (const GatewayNumber t : to) out.push_back({t, *payload});
  counts_.sent += out.size();
  counts_.bytes += out.size() * payload->size();
  for (const Rumour& r : rumours) {
    Telling& t = telling_[r.host];
    if (--t.left == 0) telling_.erase(r.host);
  }
  return out;
}

bool Gossip::silentByOthers(HostKey key, Time now) const {
  const auto it = held_.find(key);
  if (it == held_.end() || it->second <= now) return false;
  const Time answered = answeredAt_(key);
  return answered == Time{} || answered < it->second - settings_.holds;
}

}  // namespace finchstile::membership
