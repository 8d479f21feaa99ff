#include "membership/warm_start.hpp"

#include <algorithm>
#include <cmath>

#include "membership/facts.hpp"

namespace finchstile::membership {
namespace {

constexpr double kLeastWorth = 0.2;  // of all that peers say together; less is a guess too

Duration durationOf(double seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

// A mean of what several say, each with its weight.
class Mean {
 public:
  void add(double value, double weight) { sum_ += value * weight, weight_ += weight; }
  double weight() const { return weight_; }
  double value(double none) const { return weight_ > 0 ? sum_ / weight_ : none; }

 private:
  double sum_ = 0, weight_ = 0;
};

}  // namespace

WarmStart::WarmStart(const WarmStartSettings& settings, std::uint64_t seed, Time now)
    : settings_(settings), draw_(seed), until_(now + settings.within) {
  for (GatewayNumber n = 0; n < settings.gateways; ++n)
    if (n != settings.own) order_.push_back(n);
  for (std::size_t i = order_.size(); i > 1; --i) std::swap(order_[i - 1], order_[draw_() % i]);
  for (std::size_t i = 0; i < settings_.ask; ++i) askAnother(now);
  over_ = peers_.empty();
}

void WarmStart::askAnother(Time now) {
  if (next_ >= order_.size() || next_ >= settings_.tries) return;
  const GatewayNumber to = order_[next_++];
  Peer p;
  p.lastAt = now;
  p.nonce = draw_();  // of this question alone: nobody can answer who was not asked
  outgoing_.push_back({to, encodeAsk(p.nonce)});
  peers_.emplace(to, std::move(p));
  ++counts_.asked;
}

bool WarmStart::receive(GatewayNumber from, std::string_view payload, Time now) {
  if (payload.empty() || static_cast<std::uint8_t>(payload[0]) != kChunkForm) return false;
  const auto chunk = decodeChunk(payload);
  const auto it = peers_.find(from);
  if (!chunk || it == peers_.end() || it->second.nonce != chunk->nonce || over_) {
    if (!chunk) ++counts_.malformed;
    return false;
  }
  Peer& p = it->second;
  if (p.of == 0) p.of = chunk->of, p.toldAt = now;
  if (chunk->of != p.of) {
    ++counts_.malformed;
    return false;
  }
  if (!p.have.insert(chunk->number).second) {
    ++counts_.repeated;
    return true;
  }
  ++counts_.chunks;
  p.lastAt = now;
  p.silent = false;
  Snapshot& to = p.told;
  const Snapshot& part = chunk->part;
  if (part.self) to.self = part.self;
  to.classes.insert(to.classes.end(), part.classes.begin(), part.classes.end());
  to.kinds.insert(to.kinds.end(), part.kinds.begin(), part.kinds.end());
  to.levels.insert(to.levels.end(), part.levels.begin(), part.levels.end());
  for (const ToldHost& h : part.hosts) {
    if (kept_ >= settings_.hosts) break;
    if (!p.at.emplace(h.host, to.hosts.size()).second) continue;  // one word on each host
    to.hosts.push_back(h);
    ++kept_;
  }
  if (p.complete()) {
    ++counts_.complete;
    if (to.self && to.self->age < settings_.young) ++counts_.young;
  }
  over_ = std::all_of(peers_.begin(), peers_.end(), [](const auto& q) { return q.second.complete(); });
  return true;
}

void WarmStart::tick(Time now) {
  if (over_) return;
  std::size_t more = 0;
  for (auto& [number, p] : peers_) {
    if (p.complete() || p.silent || now - p.lastAt < settings_.patience) continue;
    p.silent = true;  // what it has said stands
    ++counts_.silent;
    ++more;
  }
  for (; more > 0; --more) askAnother(now);
  over_ = now >= until_ || std::all_of(peers_.begin(), peers_.end(),
                                       [](const auto& q) { return q.second.complete() || q.second.silent; });
}

std::optional<Time> WarmStart::wake() const {
  if (over_) return std::nullopt;
  Time at = until_;
  for (const auto& [number, p] : peers_)
    if (!p.complete() && !p.silent) at = std::min(at, p.lastAt + settings_.patience);
  return at;
}

// One that has just started itself knows next to nothing, and says how long it has run.
double WarmStart::worthOf(const Peer& p) const {
  if (!p.told.self || p.told.self->age < settings_.young) return 0;
  return std::min(1.0, inSeconds(p.told.self->age) / inSeconds(settings_.full));
}

std::vector<WarmStart::Said> WarmStart::said(HostKey host, Time now) const {
  std::vector<Said> out;
  for (const auto& [number, p] : peers_) {
    const auto it = p.at.find(host);
    if (it == p.at.end()) continue;
    const ToldHost& h = p.told.hosts[it->second];
    const Duration age = h.age + (now - p.toldAt);
    out.push_back({number, h, age, worthOf(p) * confidence(age, settings_.half)});
  }
  return out;
}

std::vector<std::pair<GatewayNumber, ToldHost>> WarmStart::phases() const {
  std::vector<std::pair<GatewayNumber, ToldHost>> out;
  for (const auto& [number, p] : peers_)
    for (const ToldHost& h : p.told.hosts)
      if (h.phase != HostPhase::active) out.emplace_back(number, h);
  return out;
}

std::optional<load_balancing::LearnedState> WarmStart::learned(const Names& names, Time now) const {
  load_balancing::LearnedState out;
  double worth = 0;
  Mean age;
  std::array<Mean, kSelfFigures.size()> figures;
  for (const auto& [number, p] : peers_) {
    const double w = worthOf(p);
    if (w <= 0) continue;
    worth += w;
    age.add(inSeconds(p.told.self->age), w);
    for (std::size_t i = 0; i < figures.size(); ++i) figures[i].add((*p.told.self).*kSelfFigures[i], w);
  }
  if (worth < kLeastWorth) return std::nullopt;
  out.age = durationOf(age.value(0));
  for (std::size_t i = 0; i < figures.size(); ++i) out.*kLearnedFigures[i] = figures[i].value(0);

  for (const auto& [key, name] : names.classes) {
    Mean norm, cost, late, left;
    for (const auto& [number, p] : peers_)
      for (const Snapshot::Class& c : p.told.classes) {
        const double w = worthOf(p);
        if (c.key != key || c.norm <= 0 || w <= 0) continue;  // nothing of it was answered there
        norm.add(c.norm, w), cost.add(c.meanCost, w), late.add(c.lateSeen, w),
            left.add(inSeconds(c.usualLeft), w);
      }
    if (norm.weight() <= 0) continue;
    out.classes.push_back({name, norm.value(0), cost.value(0), late.value(0), durationOf(left.value(0))});
  }
  for (const auto& [key, name] : names.kinds) {
    Mean proven, pace;
    for (const auto& [number, p] : peers_)
      for (const Snapshot::Kind& k : p.told.kinds)
        if (k.key == key && worthOf(p) > 0) proven.add(k.proven, worthOf(p)), pace.add(k.pace, worthOf(p));
    if (proven.weight() > 0) out.machineTypes.push_back({name, proven.value(0), pace.value(1)});
  }
  std::map<double, double> levels;
  for (const auto& [number, p] : peers_)
    for (const auto& l : p.told.levels)
      if (worthOf(p) > 0) levels[l.priorityWeight] += l.recentRequests * worthOf(p);
  for (const auto& [w, seen] : levels) out.priorityLevels.push_back({w, seen / worth});

  struct HostMean {
    Mean pace, fails, rate, ejected;
    Duration ejectedFor{};
    int ejections = 0;
    Duration up{};
  };
  std::map<HostKey, HostMean> hosts;
  for (const auto& [number, p] : peers_) {
    const double general = worthOf(p);
    if (general <= 0) continue;
    for (const ToldHost& h : p.told.hosts) {
      if (h.phase != HostPhase::active) continue;  // of those nothing was learned
      const auto up = names.up(h.host, h.started);
      if (!up) continue;  // another process, or none of ours
      const Duration passed = now - p.toldAt;
      const double w = general * confidence(h.age + passed, settings_.half);
      HostMean& m = hosts[h.host];
      m.up = *up;
      if (w > 0)
        m.pace.add(std::log(std::clamp(h.pace, 1e-3, 1e3)), w), m.fails.add(std::min(h.fails, 1.0), w);
      if (w > 0) m.rate.add(h.rate, w);
      // An ejected host answers nobody, so its silence does not age what is said of it.
      const Duration left = h.ejectedFor - passed;
      m.ejected.add(left > Duration{} ? 1 : 0, left > Duration{} ? general : w);
      if (left <= Duration{}) continue;
      m.ejectedFor = m.ejectedFor > Duration{} ? std::min(m.ejectedFor, left) : left;
      m.ejections = std::max(m.ejections, h.ejections);
    }
  }
  for (const auto& [key, m] : hosts) {
    const auto name = names.host(key);
    if (!name) continue;
    load_balancing::LearnedState::Host h;
    h.address = *name;
    h.uptime = m.up;
    // What is worth less than a whole word is drawn towards what is assumed of any host.
    const double sure = std::min(1.0, m.pace.weight());
    h.relativeLatency = std::exp(m.pace.value(0) * sure);
    h.failureRate = m.fails.value(0) * sure;
    h.answerRate = m.rate.value(0) * sure;
    if (m.ejected.value(0) > 0.5) h.ejectedFor = m.ejectedFor, h.ejections = m.ejections;
    out.hosts.push_back(std::move(h));
  }
  return out;
}

bool SnapshotServer::receive(GatewayNumber from, std::string_view payload, Time now,
                             const std::function<Snapshot()>& make) {
  const auto nonce = decodeAsk(payload);
  if (!nonce) return false;
  const auto last = answeredAt_.find(from);
  if (waiting_.size() >= settings_.most ||
      (last != answeredAt_.end() && now - last->second < settings_.again)) {
    ++refused_;
    return true;
  }
  answeredAt_[from] = now;  // one for each gateway: bounded by their number
  ++answered_;
  const auto chunks = encodeSnapshot(make(), *nonce);
  if (!chunks.empty()) waiting_.emplace_back(from, std::deque<std::string>(chunks.begin(), chunks.end()));
  return true;
}

// In turns, so that a long one does not hold up the others.
std::vector<WarmStart::Outgoing> SnapshotServer::tick() {
  std::vector<WarmStart::Outgoing> out;
  while (!waiting_.empty() && out.size() < settings_.perTick) {
    auto [to, chunks] = std::move(waiting_.front());
    waiting_.pop_front();
    out.push_back({to, std::move(chunks.front())});
    chunks.pop_front();
    if (!chunks.empty()) waiting_.emplace_back(to, std::move(chunks));
  }
  return out;
}

}  // namespace finchstile::membership
