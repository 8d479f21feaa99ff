#include "membership/facts.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace finchstile::membership {
namespace {

// Not numbers are below all numbers, so that an order stands in any case.
double orderOf(double v) { return std::isnan(v) ? -std::numeric_limits<double>::infinity() : v; }

template <class T>
std::optional<T> joined(const std::optional<T>& a, const std::optional<T>& b) {
  if (!a || !b) return a ? a : b;
  return join(*a, *b);
}

}  // namespace

// Of two lists of one version that differ the worse holds: discovery had both, and one was on its way out.
PhaseFact join(const PhaseFact& a, const PhaseFact& b) {
  if (a.version != b.version) return a.version > b.version ? a : b;
  return {worse(a.phase, b.phase), a.version};
}

// Of two that were observed at the same moment the higher one holds, and the one that was heard first.
LoadFact join(const LoadFact& a, const LoadFact& b) {
  const auto key = [](const LoadFact& f) {
    return std::tuple(f.observed, orderOf(f.report.inflight), orderOf(f.report.queue), -f.heard);
  };
  return key(a) >= key(b) ? a : b;
}

// Of the same word twice the earlier holds: said again it gets no younger.
HeardPhase join(const HeardPhase& a, const HeardPhase& b) {
  const auto key = [](const HeardPhase& f) { return std::tuple(f.version, rank(f.phase), -f.observed); };
  return key(a) >= key(b) ? a : b;
}

HostFacts join(const HostFacts& a, const HostFacts& b) {
  if (a.started != b.started) return a.started > b.started ? a : b;
  return {a.started, join(a.listed, b.listed), joined(a.heard, b.heard), joined(a.load, b.load)};
}

double confidence(Duration age, Duration half) {
  if (age <= Duration{}) return 1;
  if (half <= Duration{} || age >= 4 * half) return 0;
  return std::exp2(-inSeconds(age) / inSeconds(half));
}

void View::onListed(std::string_view host, Incarnation started, HostPhase phase, std::uint64_t version,
                    Time now) {
  auto it = hosts_.find(host);
  if (it == hosts_.end()) {
    if (hosts_.size() >= limits_.hosts) {
      ++dropped_;
      return;
    }
    it = hosts_.emplace(std::string(host), Known{{started, {phase, version}, {}, {}}, {}}).first;
  } else {
    it->second.facts = join(it->second.facts, {started, {phase, version}, {}, {}});
  }
  Known& k = it->second;
  if (k.facts.listed.phase != HostPhase::removed) k.gone = Time{};
  else if (k.gone == Time{}) k.gone = now;
}

void View::onWhole(std::uint64_t version, Time now) {
  for (auto& [name, k] : hosts_) {
    if (k.facts.listed.version >= version) continue;
    k.facts.listed = {HostPhase::removed, version};
    if (k.gone == Time{}) k.gone = now;
  }
}

void View::renumber() {
  for (auto& [name, k] : hosts_) {
    k.facts.listed.version = 0;
    k.facts.heard.reset();
  }
}

bool View::onLoad(std::string_view host, Incarnation started, const LoadFact& fact) {
  const auto it = hosts_.find(host);
  if (it == hosts_.end() || it->second.facts.started != started) return false;
  std::optional<LoadFact>& stands = it->second.facts.load;
  if (stands && join(*stands, fact).observed != fact.observed) return false;
  stands = joined(stands, std::optional(fact));
  return true;
}

bool View::onPeerPhase(std::string_view host, Incarnation started, const HeardPhase& fact) {
  const auto it = hosts_.find(host);
  // Neither of an older process, nor of one that our list does not name yet: it will tell.
  if (it == hosts_.end() || started != it->second.facts.started) return false;
  it->second.facts.heard = joined(it->second.facts.heard, std::optional(fact));
  return true;
}

bool View::onPeer(std::string_view host, const HostFacts& facts, Time observed) {
  bool any = false;
  if (facts.load) any |= onLoad(host, facts.started, *facts.load);
  any |= onPeerPhase(host, facts.started, {facts.listed.phase, facts.listed.version, observed});
  return any;
}

HostPhase View::phase(std::string_view host, Time now) const {
  const auto it = hosts_.find(host);
  if (it == hosts_.end()) return HostPhase::removed;
  const HostFacts& f = it->second.facts;
  if (!f.heard || f.heard->version <= f.listed.version) return f.listed.phase;
  // A peer that has a newer list than ours, for as long as ours may lag. Danger: kept for ever, a peer that
  // lies or is mistaken on a version could take a host out for good.
  if (now - f.heard->observed >= limits_.peerHolds) return f.listed.phase;
  return worse(f.listed.phase, f.heard->phase);
}

View::Load View::load(std::string_view host, Time now) const {
  const auto it = hosts_.find(host);
  if (it == hosts_.end() || !it->second.facts.load) return {};
  const LoadFact& f = *it->second.facts.load;
  const Duration age = std::max(now - f.observed, Duration{});
  return {f.report, membership::confidence(age, limits_.loadHalf), age};
}

const HostFacts* View::find(std::string_view host) const {
  const auto it = hosts_.find(host);
  return it == hosts_.end() ? nullptr : &it->second.facts;
}

void View::sweep(Time now) {
  for (auto it = hosts_.begin(); it != hosts_.end();)
    if (it->second.gone != Time{} && now - it->second.gone >= limits_.forget) it = hosts_.erase(it);
    else ++it;
}

}  // namespace finchstile::membership
