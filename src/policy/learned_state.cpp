// What a balancer has learned, out of its state and into another's. Nothing is decided here.
#include <cmath>

#include "policy/state.hpp"

namespace finchstile::load_balancing {
namespace {

constexpr Duration kSameStart =
    std::chrono::seconds(1);  // clocks of two processes, tied to the calendar apart

double sane(double value, double least, double most, double otherwise) {
  return std::isfinite(value) && value >= least && value <= most ? value : otherwise;
}
Duration ageOf(Time at, Time now) { return at > Time{} ? std::max(now - at, Duration(1)) : Duration{}; }

}  // namespace

LearnedState captureLearnedState(const State& s) {
  LearnedState out;
  out.age = s.now - s.started;
  out.arrivalRate = s.arrivalRate;
  out.arrivalSamples = s.arrivalSweeps;
  out.answers = s.answers;
  out.inTimeRate = s.fastRate;
  out.meanLatencyObjective = s.meanAim;
  out.meanTypicalLatency = s.meanWork;
  out.unloadedConcurrency = s.calmHeld;
  out.servedFraction = s.servedShare;
  for (const ClassState& c : s.classes)
    out.classes.push_back({c.set.name, c.norm, c.meanCost, c.lateSeen, c.usualLeft});
  for (const Kind& k : s.kinds) out.machineTypes.push_back({k.name, k.proven, k.pace});
  for (const Level& l : s.levels) out.priorityLevels.push_back({l.worth, l.seen});
  for (const HostId id : s.listed) {
    const Host& h = s.hosts[id];
    const Duration ejected =
        h.health == Health::ejected ? std::max(h.until - s.now, Duration(1)) : Duration{};
    out.hosts.push_back(
        {h.entry.address, ageOf(h.entry.startedAt, s.now), h.pace, h.fails, h.rate, ejected, h.ejections});
  }
  return out;
}

void restoreLearnedState(State& s, const LearnedState& l) {
  if (l.age <= Duration{} || s.answers >= l.answers) return;  // it knows more itself by now
  s.started = std::max(std::min(s.started, s.now - l.age), Time{});
  s.arrivalRate = sane(l.arrivalRate, 0, 1e9, s.arrivalRate);
  s.arrivalSweeps = sane(l.arrivalSamples, 0, 1e9, s.arrivalSweeps);
  s.answers = sane(l.answers, 0, 1e15, s.answers);
  s.fastRate = sane(l.inTimeRate, 0, 1e9, s.fastRate);
  s.meanAim = sane(l.meanLatencyObjective, 1e-6, 1e6, s.meanAim);
  s.meanWork = sane(l.meanTypicalLatency, 0, 1e6, s.meanWork);
  s.calmHeld = sane(l.unloadedConcurrency, 0, 1e6, s.calmHeld);
  s.servedShare = sane(l.servedFraction, 0, 1, s.servedShare);
  for (const LearnedState::Class& from : l.classes)
    for (ClassState& c : s.classes) {
      if (c.set.name != from.name) continue;
      c.norm = sane(from.typicalLatency, 0, 1e6, c.norm);
      c.meanCost = sane(from.meanExpectedWork, 0, 1e6, c.meanCost);
      c.lateSeen = sane(from.lateRetryFraction, 0, 1, c.lateSeen);
      if (from.typicalTimeLeft > Duration{} && from.typicalTimeLeft <= c.set.clientTimeout)
        c.usualLeft = from.typicalTimeLeft;
    }
  for (const LearnedState::MachineType& from : l.machineTypes)
    for (Kind& k : s.kinds) {
      if (k.name != from.name) continue;
      k.proven = sane(from.provenRate, 0, 1e9, k.proven);
      k.pace = sane(from.relativeLatency, 1e-6, 1e6, k.pace);
    }
  std::vector<Level> levels;
  for (const LearnedState::PriorityLevel& from : l.priorityLevels) {
    const double seen = sane(from.recentRequests, 0, 1e12, -1);
    if (seen < 0 || !std::isfinite(from.priorityWeight) ||
        (!levels.empty() && from.priorityWeight <= levels.back().worth)) {
      levels.clear();  // in order of worth, or not at all
      break;
    }
    levels.push_back({from.priorityWeight, seen});
  }
  if (!levels.empty()) s.levels = std::move(levels);
  for (const LearnedState::Host& from : l.hosts) {
    const auto it = s.hostIds.find(from.address);
    if (it == s.hostIds.end()) continue;
    Host& h = s.hosts[it->second];
    // Danger: what was learned of another start of it is void, its warmth above all.
    const Duration up = ageOf(h.entry.startedAt, s.now);
    const bool same = (up == Duration{}) == (from.uptime == Duration{}) && up - from.uptime <= kSameStart &&
                      from.uptime - up <= kSameStart;
    if (!same || h.served > 0 || h.inflight > 0) continue;
    h.pace = sane(from.relativeLatency, 1e-6, 1e6, h.pace);
    h.fails = sane(from.failureRate, 0, 1, h.fails);
    h.rate = sane(from.answerRate, 0, 1e9, h.rate);
    if (from.ejectedFor > Duration{} && from.ejectedFor < std::chrono::minutes(5)) {
      h.health = Health::ejected;
      h.until = s.now + from.ejectedFor;
      h.ejections = std::clamp(from.ejections, 0, 3);
    }
  }
}

}  // namespace finchstile::load_balancing
