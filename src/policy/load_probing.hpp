// Decides by the load of a few hosts where an attempt goes, and whether it is admitted, where gateways
// outnumber hosts. There the own in-flight counts leave every host looking idle; chosen by them, some hosts
// would be overloaded while others idle. So before an attempt a gateway either
//
// - probes a few drawn hosts for the requests that they hold, or
// - asks the tracker of the drawn host's group for a recommendation. The tracker is a gateway, found by hash,
//   to which attempts and outcomes at the hosts of the group are reported.
//
// Inputs are probe results and peer messages. All of it is advisory: late, lost or wrong, the ordinary pick
// stands in, and endpoint lists and the rule on repeats always hold.
//
// Only the simulator uses it: a gateway carries out neither probes nor messages of the decision module
// (src/net/gateway.cpp).
#pragma once

#include <cmath>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "policy/action_queue.hpp"
#include "policy/active_request.hpp"
#include "policy/fleet_shape.hpp"
#include "policy/host_registry.hpp"
#include "policy/peer_message.hpp"
#include "policy/random_source.hpp"
#include "policy/slow_start.hpp"
#include "policy/traffic_statistics.hpp"

namespace finchstile::load_balancing {

struct Recommendation {
  HostId host = kNone;
  double load = HUGE_VAL;  // requests that it holds, lengthened by its relative latency
};

class LoadProbing {
 public:
  // Hosts probed for one attempt: the gain beyond three is small.
  static constexpr int kProbedHosts = 3;

  // All must outlive this.
  LoadProbing(const Settings& settings, HostRegistry& hosts, const FleetShape& shape,
              const TrafficStatistics& traffic, const SlowStart& slowStart, ActionQueue& actions);

  // --- Before an attempt

  // Whether the request's attempt waits for reports: not for streams, and not if little time is left.
  bool isWorthwhile(const ActiveRequest& request, Time latestUsefulAnswer, Time now) const;
  // How long an attempt waits for reports at most.
  static Duration maxWait(const ActiveRequest& request);
  static void begin(ActiveRequest& request);
  void probe(ActiveRequest& request, HostId host);
  void requestRecommendation(ActiveRequest& request, HostId drawn, std::uint32_t tracker);
  // Takes a probe's result over. Returns whether to decide now: all reports are in, or the host is idle.
  static bool onProbeResult(ActiveRequest& request, const ProbeResult& result);
  // Ends the wait: `observedLoad` becomes that of the least loaded host.
  static void end(ActiveRequest& request);
  // The cutoff, 0 to 100, for a first attempt at the least loaded host: by the time that it would need for
  // the request, against the latency objective. Without it low scores would crowd out high ones, and crowded
  // hosts turn slow for long.
  double cutoff(const ActiveRequest& request) const;
  // An attempt ended: learns the time that one request held costs.
  void onResult(const ActiveRequest& request, Outcome outcome, double seconds);

  // --- Group trackers

  void assignGroups();  // call when the list of active hosts has changed
  // The gateway that tracks a group; a stand-in while the first one does not answer.
  std::uint32_t trackerOf(std::uint64_t group, Time now) const;
  bool isOwnTracker(std::uint32_t tracker) const { return tracker == settings_.gatewayIndex; }
  void onTrackerSilent(std::uint64_t group, Time now);
  // Tells the tracker of the host's group, if trackers are in use.
  void reportAttemptStarted(Host& host, Time now);
  void reportAttemptEnded(Host& host, Outcome outcome, double relativeLatency, Time now);

  // --- As a tracker

  // The least loaded host of the drawn one's group, which is then taken to be assigned. Of warming hosts only
  // the drawn one counts, and only while it is idle. Draws once for each host that is no heavier than those
  // before it.
  Recommendation recommend(HostId drawn, Time now, RandomSource& random);
  void sendRecommendation(std::uint32_t gateway, const Recommendation& recommendation,
                          std::uint64_t correlationId);
  void onAttemptStarted(Host& host, Time now);
  void onAttemptEnded(Host& host, Time now);
  // An assigned attempt is taken to be over this long after it at the latest.
  void onLatencyObjective(Duration objective);

  static void onHostStarted(Host& host) { host.probing.assignedUntil.clear(); }

 private:
  void report(Host& host, const peer::Message& message, Time now);
  void send(std::uint32_t gateway, const peer::Message& message);
  static std::size_t assignedCount(Host& host, Time now);

  const Settings& settings_;
  HostRegistry& hosts_;
  const FleetShape& shape_;
  const TrafficStatistics& traffic_;
  const SlowStart& slowStart_;
  ActionQueue& actions_;
  std::unordered_map<std::uint64_t, Time> silentTrackers_;  // groups whose tracker is passed over: until when
  Duration longestObjective_{};
  double latencyPerRequest_;  // time for each request that a host holds, as a fraction of the objective
  double latencySamples_;     // in it
};

}  // namespace finchstile::load_balancing
