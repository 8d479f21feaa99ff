#include "membership/settings.hpp"

namespace finchstile::membership {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

void readListPolicy(SettingReader& reader, MembershipSettings& out) {
  reader.duration("doubt", out.list.holdTime, milliseconds(0), kMaxHoldTime);
  reader.number("doubt_share", out.list.suspiciousFraction, 0.05, 1);
  reader.duration("older", out.list.olderVersionTolerance, milliseconds(100), hours(1));
  reader.number("flap_most", out.list.maxFlaps, 2, 1000);
  reader.duration("flap_half", out.list.flapHalfLife, milliseconds(100), hours(1));
  if (reader.size("hosts", out.list.maxHosts, 16, 1'000'000)) {
    out.hostStates.maxHosts = out.list.maxHosts;
    out.warmStart.start.maxHostRecords = out.list.maxHosts;
  }
  reader.duration("report_half", out.hostStates.loadHalfLife, milliseconds(10), minutes(1));
}

void readGossip(SettingReader& reader, MembershipSettings& out) {
  GossipSettings& gossip = out.gossip.gossip;
  reader.boolean("enabled", out.gossip.enabled);
  reader.duration("period", gossip.period, milliseconds(20), seconds(10));
  reader.size("fanout", gossip.fanout, 1, 32);
  reader.size("quorum", gossip.quorum, 1, 32);
  reader.duration("holds", gossip.observationLifetime, milliseconds(200), minutes(1));
  reader.duration("phase_holds", gossip.phaseLifetime, milliseconds(200), minutes(10));
  reader.number("phase_share", gossip.maxPhaseFraction, 0, 0.5);
  reader.number("silent_share", gossip.maxUnresponsiveFraction, 0, 0.5);
  reader.number("credit", gossip.maxReputation, 1, 10'000);
  out.hostStates.peerPhaseLifetime = gossip.phaseLifetime;
  if (gossip.observationLifetime < 2 * gossip.period)
    reader.error("holds", "must be two periods at least: what is told would be over as it comes");
  if (out.gossip.enabled && !out.enabled) reader.error("enabled", "needs membership.enabled = true");
}

void readWarmStart(SettingReader& reader, MembershipSettings& out) {
  WarmStartSettings& start = out.warmStart.start;
  reader.boolean("enabled", out.warmStart.enabled);
  reader.size("ask", start.parallelRequests, 1, 8);
  reader.size("tries", start.maxRequests, 1, 32);
  reader.duration("patience", start.peerTimeout, milliseconds(10), seconds(10));
  reader.duration("within", start.deadline, milliseconds(50), minutes(1));
  reader.duration("half", start.hostRecordHalfLife, milliseconds(100), minutes(10));
  if (start.maxRequests < start.parallelRequests)
    reader.error("tries", "must be as many as warm_start.ask at least");
  if (out.warmStart.enabled && !out.enabled) reader.error("enabled", "needs membership.enabled = true");
}

}  // namespace

void readMembershipSettings(SettingReader& root, MembershipSettings& out) {
  root.table("membership", [&](SettingReader& reader) {
    reader.boolean("enabled", out.enabled);
    readListPolicy(reader, out);
    reader.table("gossip", [&](SettingReader& gossip) { readGossip(gossip, out); });
    reader.table("warm_start", [&](SettingReader& warmStart) { readWarmStart(warmStart, out); });
  });
}

}  // namespace finchstile::membership
