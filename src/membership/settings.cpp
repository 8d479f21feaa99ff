#include "membership/settings.hpp"

namespace finchstile::membership {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

void readMembershipSettings(SettingReader& root, MembershipSettings& out) {
  root.table("membership", [&](SettingReader& r) {
    r.boolean("enabled", out.enabled);
    r.duration("doubt", out.list.doubt, milliseconds(0), kDoubtMost);
    r.number("doubt_share", out.list.doubtShare, 0.05, 1);
    r.duration("older", out.list.older, milliseconds(100), hours(1));
    r.number("flap_most", out.list.flapMost, 2, 1000);
    r.duration("flap_half", out.list.flapHalf, milliseconds(100), hours(1));
    if (r.size("hosts", out.list.hosts, 16, 1'000'000)) {
      out.view.hosts = out.list.hosts;
      out.warmStart.start.hosts = out.list.hosts;
    }
    r.duration("report_half", out.view.loadHalf, milliseconds(10), minutes(1));
    r.table("gossip", [&](SettingReader& g) {
      GossipSettings& s = out.gossip.gossip;
      g.boolean("enabled", out.gossip.enabled);
      g.duration("period", s.period, milliseconds(20), seconds(10));
      g.size("fanout", s.fanout, 1, 32);
      g.size("quorum", s.quorum, 1, 32);
      g.duration("holds", s.holds, milliseconds(200), minutes(1));
      g.duration("phase_holds", s.phaseHolds, milliseconds(200), minutes(10));
      g.number("phase_share", s.phaseShare, 0, 0.5);
      g.number("silent_share", s.silentShare, 0, 0.5);
      g.number("credit", s.credit, 1, 10'000);
      out.view.peerHolds = s.phaseHolds;
      if (s.holds < 2 * s.period)
        g.error("holds", "must be two periods at least: what is told would be over as it comes");
      if (out.gossip.enabled && !out.enabled) g.error("enabled", "needs membership.enabled = true");
    });
    r.table("warm_start", [&](SettingReader& w) {
      WarmStartSettings& s = out.warmStart.start;
      w.boolean("enabled", out.warmStart.enabled);
      w.size("ask", s.ask, 1, 8);
      w.size("tries", s.tries, 1, 32);
      w.duration("patience", s.patience, milliseconds(10), seconds(10));
      w.duration("within", s.within, milliseconds(50), minutes(1));
      w.duration("half", s.half, milliseconds(100), minutes(10));
      if (s.tries < s.ask) w.error("tries", "must be as many as warm_start.ask at least");
      if (out.warmStart.enabled && !out.enabled) w.error("enabled", "needs membership.enabled = true");
    });
  });
}

}  // namespace finchstile::membership
