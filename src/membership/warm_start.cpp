#include "membership/warm_start.hpp"

#include <algorithm>
#include <array>
#include <cmath>

#include "membership/host_state.hpp"

namespace finchstile::membership {
namespace {

// Total over all peers; records with less weight are no better than default values.
constexpr double kMinTotalWeight = 0.2;
// Bounds for the logarithm of a relative latency.
constexpr double kMinRelativeLatency = 1e-3;
constexpr double kMaxRelativeLatency = 1e3;
// A host starts as ejected if peers with more than this fraction of the weight have ejected it.
constexpr double kEjectionMajority = 0.5;

Duration durationOf(double seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

class WeightedMean {
 public:
  void add(double value, double weight) {
    sum_ += value * weight;
    weight_ += weight;
  }
  double weight() const { return weight_; }
  double valueOr(double fallback) const { return weight_ > 0 ? sum_ / weight_ : fallback; }

 private:
  double sum_ = 0;
  double weight_ = 0;
};

}  // namespace

struct WarmStart::HostAverage {
  WeightedMean logRelativeLatency;
  WeightedMean failureRate;
  WeightedMean answerRate;
  WeightedMean ejected;  // 1 for each peer that has ejected the host, 0 for others
  Duration ejectedFor{};
  int ejections = 0;
  Duration uptime{};
};

WarmStart::WarmStart(const WarmStartSettings& settings, std::uint64_t seed, Time now)
    : settings_(settings), random_(seed), deadline_(now + settings.deadline) {
  for (GatewayNumber number = 0; number < settings.gatewayCount; ++number)
    if (number != settings.ownNumber) requestOrder_.push_back(number);
  for (std::size_t i = requestOrder_.size(); i > 1; --i)
    std::swap(requestOrder_[i - 1], requestOrder_[random_() % i]);
  for (std::size_t i = 0; i < settings_.parallelRequests; ++i) requestNext(now);
  finished_ = peers_.empty();
}

// --- Requests and chunks

void WarmStart::requestNext(Time now) {
  if (nextRequest_ >= requestOrder_.size() || nextRequest_ >= settings_.maxRequests) return;
  const GatewayNumber recipient = requestOrder_[nextRequest_++];
  Peer peer;
  peer.lastActivity = now;
  peer.nonce = random_();
  outgoing_.push_back({recipient, encodeSnapshotRequest(peer.nonce)});
  peers_.emplace(recipient, std::move(peer));
  ++statistics_.requested;
}

bool WarmStart::onMessage(GatewayNumber from, std::string_view payload, Time now) {
  if (payload.empty() || static_cast<std::uint8_t>(payload[0]) != kSnapshotChunkType) return false;
  const auto chunk = decodeChunk(payload);
  if (!chunk) {
    ++statistics_.malformed;
    return false;
  }
  const auto it = peers_.find(from);
  if (it == peers_.end() || it->second.nonce != chunk->nonce || finished_) return false;
  Peer& peer = it->second;
  if (peer.totalChunks == 0) {
    peer.totalChunks = chunk->total;
    peer.snapshotAt = now;
  }
  if (chunk->total != peer.totalChunks) {
    ++statistics_.malformed;
    return false;
  }
  if (!peer.receivedChunks.insert(chunk->number).second) {
    ++statistics_.repeated;
    return true;
  }
  ++statistics_.chunks;
  peer.lastActivity = now;
  peer.timedOut = false;
  addRecords(peer, chunk->records);
  if (peer.isComplete()) {
    ++statistics_.complete;
    const auto& gateway = peer.snapshot.gateway;
    if (gateway && gateway->age < settings_.minUptime) ++statistics_.tooYoung;
  }
  finished_ =
      std::all_of(peers_.begin(), peers_.end(), [](const auto& item) { return item.second.isComplete(); });
  return true;
}

// Keeps the first record of each host.
void WarmStart::addRecords(Peer& peer, const StateSnapshot& records) {
  StateSnapshot& snapshot = peer.snapshot;
  if (records.gateway) snapshot.gateway = records.gateway;
  const auto append = [](auto& to, const auto& from) { to.insert(to.end(), from.begin(), from.end()); };
  append(snapshot.classes, records.classes);
  append(snapshot.machineTypes, records.machineTypes);
  append(snapshot.priorityLevels, records.priorityLevels);
  for (const HostRecord& host : records.hosts) {
    if (hostRecords_ >= settings_.maxHostRecords) return;
    const bool isFirst = peer.hostIndex.emplace(host.host, snapshot.hosts.size()).second;
    if (!isFirst) continue;
    snapshot.hosts.push_back(host);
    ++hostRecords_;
  }
}

void WarmStart::onTimer(Time now) {
  if (finished_) return;
  std::size_t timedOut = 0;
  for (auto& [number, peer] : peers_) {
    if (peer.isComplete() || peer.timedOut || now - peer.lastActivity < settings_.peerTimeout) continue;
    peer.timedOut = true;  // the chunks received so far are still used
    ++timedOut;
  }
  statistics_.timedOut += timedOut;
  for (std::size_t i = 0; i < timedOut; ++i) requestNext(now);
  const bool allDone = std::all_of(peers_.begin(), peers_.end(), [](const auto& item) {
    return item.second.isComplete() || item.second.timedOut;
  });
  finished_ = now >= deadline_ || allDone;
}

std::optional<Time> WarmStart::nextTimer() const {
  if (finished_) return std::nullopt;
  Time next = deadline_;
  for (const auto& [number, peer] : peers_)
    if (!peer.isComplete() && !peer.timedOut)
      next = std::min(next, peer.lastActivity + settings_.peerTimeout);
  return next;
}

// --- Records

// The weight grows with the uptime of the sending gateway: a gateway that has just started has learned
// little.
double WarmStart::weightOf(const Peer& peer) const {
  const auto& gateway = peer.snapshot.gateway;
  if (!gateway || gateway->age < settings_.minUptime) return 0;
  return std::min(1.0, toSeconds(gateway->age) / toSeconds(settings_.fullTrustUptime));
}

std::vector<WarmStart::PeerObservation> WarmStart::observationsOf(HostKey host, Time now) const {
  std::vector<PeerObservation> observations;
  for (const auto& [number, peer] : peers_) {
    const auto it = peer.hostIndex.find(host);
    if (it == peer.hostIndex.end()) continue;
    const HostRecord& record = peer.snapshot.hosts[it->second];
    const Duration age = record.age + (now - peer.snapshotAt);
    const double weight = weightOf(peer) * confidence(age, settings_.hostRecordHalfLife);
    observations.push_back({number, record, age, weight});
  }
  return observations;
}

std::vector<std::pair<GatewayNumber, HostRecord>> WarmStart::nonActiveHosts() const {
  std::vector<std::pair<GatewayNumber, HostRecord>> hosts;
  for (const auto& [number, peer] : peers_)
    for (const HostRecord& host : peer.snapshot.hosts)
      if (host.phase != HostPhase::active) hosts.emplace_back(number, host);
  return hosts;
}

// --- Merging

std::optional<load_balancing::LearnedState> WarmStart::learnedState(const NameResolver& names,
                                                                    Time now) const {
  load_balancing::LearnedState state;
  const double totalWeight = mergeGatewayRecords(state);
  if (totalWeight < kMinTotalWeight) return std::nullopt;
  mergeClasses(names, state);
  mergeMachineTypes(names, state);
  mergePriorityLevels(totalWeight, state);
  mergeHosts(names, now, state);
  return state;
}

// Returns the total weight of all peers.
double WarmStart::mergeGatewayRecords(load_balancing::LearnedState& out) const {
  double totalWeight = 0;
  WeightedMean age;
  std::array<WeightedMean, kGatewayRecordFields.size()> fields;
  for (const auto& [number, peer] : peers_) {
    const double weight = weightOf(peer);
    if (weight <= 0) continue;
    totalWeight += weight;
    const StateSnapshot::GatewayRecord& gateway = *peer.snapshot.gateway;
    age.add(toSeconds(gateway.age), weight);
    for (std::size_t i = 0; i < fields.size(); ++i) fields[i].add(gateway.*kGatewayRecordFields[i], weight);
  }
  out.age = durationOf(age.valueOr(0));
  for (std::size_t i = 0; i < fields.size(); ++i) out.*kLearnedStateFields[i] = fields[i].valueOr(0);
  return totalWeight;
}

void WarmStart::mergeClasses(const NameResolver& names, load_balancing::LearnedState& out) const {
  for (const auto& [key, name] : names.classes) {
    WeightedMean typicalLatency;
    WeightedMean meanExpectedWork;
    WeightedMean lateRetryFraction;
    WeightedMean typicalSecondsLeft;
    for (const auto& [number, peer] : peers_) {
      const double weight = weightOf(peer);
      for (const StateSnapshot::ClassRecord& cls : peer.snapshot.classes) {
        const bool hasResponses = cls.typicalLatency > 0;
        if (cls.key != key || !hasResponses || weight <= 0) continue;
        typicalLatency.add(cls.typicalLatency, weight);
        meanExpectedWork.add(cls.meanExpectedWork, weight);
        lateRetryFraction.add(cls.lateRetryFraction, weight);
        typicalSecondsLeft.add(toSeconds(cls.typicalTimeLeft), weight);
      }
    }
    if (typicalLatency.weight() <= 0) continue;
    out.classes.push_back({name, typicalLatency.valueOr(0), meanExpectedWork.valueOr(0),
                           lateRetryFraction.valueOr(0), durationOf(typicalSecondsLeft.valueOr(0))});
  }
}

void WarmStart::mergeMachineTypes(const NameResolver& names, load_balancing::LearnedState& out) const {
  for (const auto& [key, name] : names.machineTypes) {
    WeightedMean provenRate;
    WeightedMean relativeLatency;
    for (const auto& [number, peer] : peers_) {
      const double weight = weightOf(peer);
      for (const StateSnapshot::MachineTypeRecord& type : peer.snapshot.machineTypes) {
        if (type.key != key || weight <= 0) continue;
        provenRate.add(type.provenRate, weight);
        relativeLatency.add(type.relativeLatency, weight);
      }
    }
    if (provenRate.weight() > 0)
      out.machineTypes.push_back({name, provenRate.valueOr(0), relativeLatency.valueOr(1)});
  }
}

void WarmStart::mergePriorityLevels(double totalWeight, load_balancing::LearnedState& out) const {
  std::map<double, double> weightedRequests;  // by priority weight
  for (const auto& [number, peer] : peers_) {
    const double weight = weightOf(peer);
    if (weight <= 0) continue;
    for (const auto& level : peer.snapshot.priorityLevels)
      weightedRequests[level.priorityWeight] += level.recentRequests * weight;
  }
  for (const auto& [priorityWeight, requests] : weightedRequests)
    out.priorityLevels.push_back({priorityWeight, requests / totalWeight});
}

void WarmStart::mergeHosts(const NameResolver& names, Time now, load_balancing::LearnedState& out) const {
  std::map<HostKey, HostAverage> averages;
  for (const auto& [number, peer] : peers_) {
    if (weightOf(peer) <= 0) continue;
    for (const HostRecord& record : peer.snapshot.hosts) {
      if (record.phase != HostPhase::active) continue;  // the record contains no learned values
      const auto uptime = names.uptime(record.host, record.startedUnixMs);
      if (!uptime) continue;
      HostAverage& average = averages[record.host];
      average.uptime = *uptime;
      addHostRecord(peer, record, now, average);
    }
  }
  for (const auto& [key, average] : averages) {
    const auto name = names.hostName(key);
    if (!name) continue;
    // With less than full weight the values move towards the defaults of an unknown host.
    const double trust = std::min(1.0, average.logRelativeLatency.weight());
    load_balancing::LearnedState::Host host;
    host.address = *name;
    host.uptime = average.uptime;
    host.relativeLatency = std::exp(average.logRelativeLatency.valueOr(0) * trust);
    host.failureRate = average.failureRate.valueOr(0) * trust;
    host.answerRate = average.answerRate.valueOr(0) * trust;
    if (average.ejected.valueOr(0) > kEjectionMajority) {
      host.ejectedFor = average.ejectedFor;
      host.ejections = average.ejections;
    }
    out.hosts.push_back(std::move(host));
  }
}

void WarmStart::addHostRecord(const Peer& peer, const HostRecord& record, Time now,
                              HostAverage& average) const {
  const double peerWeight = weightOf(peer);
  const Duration sinceSnapshot = now - peer.snapshotAt;
  const double weight = peerWeight * confidence(record.age + sinceSnapshot, settings_.hostRecordHalfLife);
  if (weight > 0) {
    const double latency = std::clamp(record.relativeLatency, kMinRelativeLatency, kMaxRelativeLatency);
    average.logRelativeLatency.add(std::log(latency), weight);
    average.failureRate.add(std::min(record.failureRate, 1.0), weight);
    average.answerRate.add(record.answerRate, weight);
  }
  const Duration ejectionLeft = record.ejectedFor - sinceSnapshot;
  if (ejectionLeft <= Duration{}) {
    average.ejected.add(0, weight);
    return;
  }
  // An ejected host gets no requests, so the age of its last response does not reduce the weight of the
  // ejection.
  average.ejected.add(1, peerWeight);
  const bool isFirst = average.ejectedFor <= Duration{};
  average.ejectedFor = isFirst ? ejectionLeft : std::min(average.ejectedFor, ejectionLeft);
  average.ejections = std::max(average.ejections, record.ejections);
}

}  // namespace finchstile::membership
