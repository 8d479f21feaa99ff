// The texts of MembershipService for operators and scrapers. Their wording, field names and metric names are
// part of the operators' documentation; the code's terms are mapped to them here.
#include <cmath>
#include <cstdio>
#include <initializer_list>

#include "app/membership_service.hpp"
#include "base/address.hpp"

namespace finchstile {
namespace {

using load_balancing::HostPhase;

const char* phaseText(HostPhase phase) {
  switch (phase) {
    case HostPhase::active: return "in";
    case HostPhase::draining: return "draining";
    default: return "out";
  }
}

std::string formatAge(Duration age) {
  constexpr double kMsPerSecond = 1000;
  constexpr double kMsPerMinute = 60'000;
  const double ms = std::chrono::duration<double, std::milli>(age).count();
  char text[32];
  if (ms < kMsPerSecond) std::snprintf(text, sizeof text, "%.0fms", ms);
  else if (ms < 2 * kMsPerMinute) std::snprintf(text, sizeof text, "%.1fs", ms / kMsPerSecond);
  else std::snprintf(text, sizeof text, "%.0fm", ms / kMsPerMinute);
  return text;
}

std::string formatNumber(double value) {
  char text[32];
  std::snprintf(text, sizeof text, "%.3g", value);
  return text;
}

struct Counter {
  const char* name;
  std::uint64_t value;
};

void appendCounters(std::string& line, std::initializer_list<Counter> counters) {
  for (const Counter& counter : counters)
    line += std::string(" ") + counter.name + "=" + std::to_string(counter.value);
}

// A metric family in the exposition format, with the counters' names as values of the label "what".
void appendFamily(std::string& text, const std::string& name, std::initializer_list<Counter> counters) {
  text += "# TYPE lb_" + name + " counter\n";
  for (const Counter& counter : counters)
    text += "lb_" + name + "{what=\"" + counter.name + "\"} " + std::to_string(counter.value) + "\n";
}

void appendGauge(std::string& text, const std::string& name, std::uint64_t value) {
  text += "# TYPE lb_" + name + " gauge\n";
  text += "lb_" + name + " " + std::to_string(value) + "\n";
}

std::string describeList(const Gateway::HostView& host, const membership::HostState* state, Time now) {
  std::string text = std::string("list: ") + phaseText(host.listed.phase);
  if (state) text += " version " + std::to_string(state->listed.version);
  if (host.listed.startedAt == Time{}) return text + ", up long";
  return text + ", up " + formatAge(now - host.listed.startedAt);
}

std::string describeLoad(const membership::HostStateTable::Load& load) {
  const load_balancing::LoadReport& report = load.report;
  std::string text = "report:";
  if (!std::isnan(report.queue)) text += " queue " + formatNumber(report.queue);
  if (!std::isnan(report.inflight)) text += " inflight " + formatNumber(report.inflight);
  if (!std::isnan(report.latencyMs)) text += " latency " + formatNumber(report.latencyMs) + "ms";
  return text + ", " + formatAge(load.age) + " ago, worth " + formatNumber(load.confidence);
}

std::string describePeerPhase(const membership::HostState& state, Time now) {
  const membership::PeerPhase& peer = *state.peerPhase;
  std::string text = std::string("peer: ") + phaseText(peer.phase) + " version " +
                     std::to_string(peer.version) + ", " + formatAge(now - peer.observedAt) + " ago";
  if (peer.version <= state.listed.version) text += ", our list is as new";
  return text;
}

std::string describeObservation(const membership::WarmStart::PeerObservation& observation) {
  return "gateway " + std::to_string(observation.from) + " at our start: pace " +
         formatNumber(observation.record.relativeLatency) + ", " + formatAge(observation.age) +
         " ago, weight " + formatNumber(observation.weight);
}

}  // namespace

std::string MembershipService::describeHost(const Gateway::HostView& host) const {
  const Time now = clock_.now();
  const std::string& name = host.listed.address;
  const membership::HostState* state = hostStates_.find(name);
  std::string text = name + " at=" + addressText(host.endpoint) + " zone=" + host.listed.zone +
                     " kind=" + host.listed.machineType + " now=" + phaseText(host.effectivePhase) + "\n";
  const auto addLine = [&](const std::string& line) { text += "  " + line + "\n"; };

  addLine(describeList(host, state, now));
  if (const auto reason = listPolicy_.restrictionReason(name); !reason.empty())
    addLine("list in doubt: " + std::string(reason));
  if (host.lastResponseAt == Time{}) addLine("own: no answer yet");
  else addLine("own: answered " + formatAge(now - host.lastResponseAt) + " ago");
  if (host.avoided) addLine("own: avoided by choice");
  if (host.streams > 0) addLine("own: streams " + std::to_string(host.streams));
  if (state && state->load) addLine(describeLoad(hostStates_.load(name, now)));
  if (state && state->peerPhase) addLine(describePeerPhase(*state, now));

  const auto key = keys_.find(name);
  if (key == keys_.end()) return text;
  if (gossip_ && gossip_->isUnresponsiveByQuorum(key->second, now)) addLine("peers: silent");
  if (!warmStart_) return text;
  for (const auto& observation : warmStart_->observationsOf(key->second, now))
    if (observation.weight > 0) addLine(describeObservation(observation));
  return text;
}

std::string MembershipService::describeListState(std::size_t hostCount) const {
  const Time acceptedAt = listPolicy_.lastAcceptedAt();
  std::string text = "list version " + std::to_string(listPolicy_.version());
  if (acceptedAt == Time{}) text += ", as started with";
  else text += ", taken " + formatAge(clock_.now() - acceptedAt) + " ago";
  if (listPolicy_.isHolding()) text += ", what it leaves out in doubt";
  return text + ", hosts " + std::to_string(hostCount) + "\n";
}

std::optional<std::string> MembershipService::describeHosts(const std::string& host) const {
  const auto hosts = gateway_.hosts();
  if (host.empty()) {
    std::string text = describeListState(hosts.size());
    for (const Gateway::HostView& view : hosts) text += describeHost(view);
    return text;
  }
  std::string text;
  bool found = false;
  for (const Gateway::HostView& view : hosts) {
    if (view.listed.address != host) continue;
    text += describeHost(view);
    found = true;
  }
  return found ? std::optional(text) : std::nullopt;
}

std::string MembershipService::summary() const {
  const membership::ListStatistics& lists = listPolicy_.statistics();
  std::string line = "membership";
  appendCounters(line, {{"lists", lists.accepted},
                        {"older", lists.older},
                        {"doubted", lists.held},
                        {"confirmed", lists.confirmed},
                        {"withdrawn", lists.withdrawn},
                        {"lapsed", lists.expired},
                        {"twice", lists.duplicateHosts},
                        {"shared", lists.sharedEndpoints},
                        {"flapping", lists.flappingHosts},
                        {"lost", lists.watchesLost}});
  if (!gossip_) return line;
  const membership::GossipStatistics& gossip = gossip_->statistics();
  appendCounters(line, {{"told", gossip.sent},
                        {"heard", gossip.received},
                        {"convinced", gossip.unresponsiveByQuorum},
                        {"contradicted", gossip.contradicted},
                        {"claims", gossip.assertions},
                        {"lapsed_claims", gossip.expired},
                        {"unheard", gossip.withoutReputation}});
  return line;
}

std::string MembershipService::exposition() const {
  std::string text;
  const membership::ListStatistics& lists = listPolicy_.statistics();
  appendFamily(text, "lists_total",
               {{"taken", lists.accepted},
                {"older", lists.older},
                {"renumbered", lists.renumbered},
                {"doubted", lists.held},
                {"confirmed", lists.confirmed},
                {"withdrawn", lists.withdrawn},
                {"lapsed", lists.expired},
                {"lost", lists.watchesLost}});
  appendFamily(text, "list_hosts_total",
               {{"twice", lists.duplicateHosts},
                {"shared", lists.sharedEndpoints},
                {"flapping", lists.flappingHosts},
                {"dropped", lists.droppedHosts}});
  const Time acceptedAt = listPolicy_.lastAcceptedAt();
  const Duration listAge = acceptedAt == Time{} ? Duration{} : clock_.now() - acceptedAt;
  appendGauge(text, "list_age_seconds", static_cast<std::uint64_t>(listAge / std::chrono::seconds(1)));
  if (gossip_) {
    const membership::GossipStatistics& gossip = gossip_->statistics();
    appendFamily(text, "gossip_total",
                 {{"sent", gossip.sent},
                  {"bytes", gossip.bytes},
                  {"received", gossip.received},
                  {"malformed", gossip.malformed},
                  {"convinced", gossip.unresponsiveByQuorum},
                  {"contradicted", gossip.contradicted},
                  {"claims", gossip.assertions},
                  {"borne", gossip.confirmed},
                  {"lapsed", gossip.expired},
                  {"unheard", gossip.withoutReputation},
                  {"over_share", gossip.overFraction},
                  {"dropped", gossip.dropped}});
    appendGauge(text, "gossip_silent", gossip_->unresponsiveHostCount());
    appendFamily(
        text, "snapshots_total",
        {{"answered", snapshotServer_.answeredCount()}, {"refused", snapshotServer_.refusedCount()}});
  }
  if (warmStart_) {
    const membership::WarmStart::Statistics& warmStart = warmStart_->statistics();
    appendFamily(text, "warm_start_total",
                 {{"asked", warmStart.requested},
                  {"chunks", warmStart.chunks},
                  {"complete", warmStart.complete},
                  {"silent", warmStart.timedOut},
                  {"young", warmStart.tooYoung},
                  {"malformed", warmStart.malformed}});
  }
  return text;
}

}  // namespace finchstile
