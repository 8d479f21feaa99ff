#include "membership/snapshot.hpp"

#include <algorithm>
#include <bit>
#include <cmath>

#include "base/little_endian.hpp"

namespace finchstile::membership {
namespace {

constexpr std::size_t kChunkHead = 1 + 8 + 2 + 2;
constexpr std::uint8_t kSelf = 1, kClass = 2, kKind = 3, kLevel = 4, kHost = 5;
constexpr Duration kHundredth = std::chrono::milliseconds(10);
constexpr std::size_t kChunksMost = 65'535;

void putFigure(std::string& to, double v) {
  putLittleEndian(to, std::bit_cast<std::uint32_t>(static_cast<float>(v)));
}

std::uint16_t hundredths(Duration d) {
  return static_cast<std::uint16_t>(std::clamp(d, Duration{}, kAgeMost) / kHundredth);
}

// Reads on as long as there is enough; afterwards `good` tells whether there was, and whether all figures
// were numbers.
class Reader {
 public:
  explicit Reader(std::string_view bytes) : rest_(bytes) {}
  template <class Int>
  Int integer() {
    if (rest_.size() < sizeof(Int)) {
      good_ = false;
      rest_ = {};
      return {};
    }
    const Int v = getLittleEndian<Int>(rest_);
    rest_.remove_prefix(sizeof(Int));
    return v;
  }
  double figure() {
    const double v = std::bit_cast<float>(integer<std::uint32_t>());
    if (!std::isfinite(v) || v < 0) good_ = false;
    return v;
  }
  bool end() const { return rest_.empty(); }
  bool good() const { return good_; }
  void spoil() { good_ = false; }

 private:
  std::string_view rest_;
  bool good_ = true;
};

std::string encodeHost(const ToldHost& h) {
  std::string r;
  putLittleEndian(r, kHost);
  putLittleEndian(r, h.host);
  putLittleEndian(r, static_cast<std::uint64_t>(h.started));
  putLittleEndian(r, static_cast<std::uint8_t>(h.phase));
  putLittleEndian(r, h.version);
  putLittleEndian(r, hundredths(h.age));
  putFigure(r, h.pace);
  putFigure(r, h.fails);
  putFigure(r, h.rate);
  putLittleEndian(r, hundredths(h.ejectedFor));
  putLittleEndian(r, static_cast<std::uint8_t>(std::clamp(h.ejections, 0, 255)));
  return r;
}

bool against(const ToldHost& h) { return h.phase != HostPhase::active || h.ejectedFor > Duration{}; }

}  // namespace

Snapshot snapshotOf(const load_balancing::LearnedState& l,
                    const std::function<NameKey(std::string_view)>& key,
                    const std::function<std::optional<ListedFact>(const std::string&)>& listed) {
  Snapshot s;
  s.self.emplace().age = l.age;
  for (std::size_t i = 0; i < kSelfFigures.size(); ++i) (*s.self).*kSelfFigures[i] = l.*kLearnedFigures[i];
  for (const auto& c : l.classes)
    s.classes.push_back(
        {key(c.name), c.typicalLatency, c.meanExpectedWork, c.lateRetryFraction, c.typicalTimeLeft});
  for (const auto& k : l.machineTypes) s.kinds.push_back({key(k.name), k.provenRate, k.relativeLatency});
  s.levels = l.priorityLevels;
  for (const auto& h : l.hosts) {
    const auto fact = listed(h.address);
    if (!fact) continue;
    s.hosts.push_back({key(h.address), fact->started, fact->phase, fact->version, fact->age,
                       h.relativeLatency, h.failureRate, h.answerRate, h.ejectedFor, h.ejections});
  }
  return s;
}

std::string encodeAsk(std::uint64_t nonce) {
  std::string p;
  putLittleEndian(p, kAskForm);
  putLittleEndian(p, nonce);
  return p;
}

std::optional<std::uint64_t> decodeAsk(std::string_view p) {
  if (p.size() != 9 || static_cast<std::uint8_t>(p[0]) != kAskForm) return std::nullopt;
  return getLittleEndian<std::uint64_t>(p.substr(1));
}

std::vector<std::string> encodeSnapshot(const Snapshot& s, std::uint64_t nonce) {
  std::vector<std::string> records;
  if (s.self) {
    std::string r;
    putLittleEndian(r, kSelf);
    const auto ms = std::clamp<std::int64_t>(s.self->age / std::chrono::milliseconds(1), 0, UINT32_MAX);
    putLittleEndian(r, static_cast<std::uint32_t>(ms));
    for (const auto figure : kSelfFigures) putFigure(r, (*s.self).*figure);
    records.push_back(std::move(r));
  }
  for (const auto& c : s.classes) {
    std::string r;
    putLittleEndian(r, kClass);
    putLittleEndian(r, c.key);
    for (const double v : {c.norm, c.meanCost, c.lateSeen}) putFigure(r, v);
    const auto us = std::clamp<std::int64_t>(c.usualLeft / std::chrono::microseconds(1), 0, UINT32_MAX);
    putLittleEndian(r, static_cast<std::uint32_t>(us));
    records.push_back(std::move(r));
  }
  for (const auto& k : s.kinds) {
    std::string r;
    putLittleEndian(r, kKind);
    putLittleEndian(r, k.key);
    putFigure(r, k.proven);
    putFigure(r, k.pace);
    records.push_back(std::move(r));
  }
  for (const auto& l : s.levels) {
    std::string r;
    putLittleEndian(r, kLevel);
    putFigure(r, l.priorityWeight);
    putFigure(r, l.recentRequests);
    records.push_back(std::move(r));
  }
  for (const ToldHost& h : s.hosts)
    if (against(h)) records.push_back(encodeHost(h));
  for (const ToldHost& h : s.hosts)
    if (!against(h)) records.push_back(encodeHost(h));

  std::vector<std::string> bodies;
  for (const std::string& r : records) {
    if (bodies.empty() || bodies.back().size() + r.size() > kChunkMost - kChunkHead) {
      if (bodies.size() == kChunksMost) break;
      bodies.emplace_back();
    }
    bodies.back() += r;
  }
  std::vector<std::string> chunks;
  for (std::size_t i = 0; i < bodies.size(); ++i) {
    std::string p;
    putLittleEndian(p, kChunkForm);
    putLittleEndian(p, nonce);
    putLittleEndian(p, static_cast<std::uint16_t>(i));
    putLittleEndian(p, static_cast<std::uint16_t>(bodies.size()));
    chunks.push_back(p + bodies[i]);
  }
  return chunks;
}

std::optional<Chunk> decodeChunk(std::string_view payload) {
  if (payload.size() > kChunkMost || payload.size() <= kChunkHead) return std::nullopt;
  Reader in(payload);
  if (in.integer<std::uint8_t>() != kChunkForm) return std::nullopt;
  Chunk c;
  c.nonce = in.integer<std::uint64_t>();
  c.number = in.integer<std::uint16_t>();
  c.of = in.integer<std::uint16_t>();
  if (c.number >= c.of) return std::nullopt;
  while (in.good() && !in.end()) switch (in.integer<std::uint8_t>()) {
      case kSelf: {
        Snapshot::Self s;
        s.age = std::chrono::milliseconds(in.integer<std::uint32_t>());
        for (const auto figure : kSelfFigures) s.*figure = in.figure();
        c.part.self = s;
        break;
      }
      case kClass: {
        Snapshot::Class s;
        s.key = in.integer<std::uint64_t>();
        for (double* v : {&s.norm, &s.meanCost, &s.lateSeen}) *v = in.figure();
        s.usualLeft = std::chrono::microseconds(in.integer<std::uint32_t>());
        c.part.classes.push_back(s);
        break;
      }
      case kKind: {
        Snapshot::Kind s;
        s.key = in.integer<std::uint64_t>();
        s.proven = in.figure();
        s.pace = in.figure();
        c.part.kinds.push_back(s);
        break;
      }
      case kLevel: {
        load_balancing::LearnedState::PriorityLevel l;
        l.priorityWeight = in.figure();
        l.recentRequests = in.figure();
        c.part.levels.push_back(l);
        break;
      }
      case kHost: {
        ToldHost h;
        h.host = in.integer<std::uint64_t>();
        h.started = static_cast<std::int64_t>(in.integer<std::uint64_t>());
        const auto phase = in.integer<std::uint8_t>();
        if (phase > 2 || h.started < 0) in.spoil();
        h.phase = static_cast<HostPhase>(phase);
        h.version = in.integer<std::uint64_t>();
        h.age = in.integer<std::uint16_t>() * kHundredth;
        h.pace = in.figure();
        h.fails = in.figure();
        h.rate = in.figure();
        h.ejectedFor = in.integer<std::uint16_t>() * kHundredth;
        h.ejections = in.integer<std::uint8_t>();
        c.part.hosts.push_back(h);
        break;
      }
      default: in.spoil();
    }
  if (!in.good()) return std::nullopt;
  return c;
}

}  // namespace finchstile::membership
