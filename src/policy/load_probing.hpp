// Selects hosts and admits requests by the load of a few hosts, where gateways outnumber hosts. There, by a
// gateway's own in-flight counts every host looks idle, and choosing by them would overload some hosts while
// others stay idle. So before an attempt a gateway either
//
// - probes a few randomly chosen hosts for the number of requests that they hold, or
// - requests a recommendation from the tracker of the chosen host's group. The tracker is a gateway,
// determined by hash, to which attempts and outcomes at the hosts of the group are reported.
//
// Inputs are probe results and peer messages. They are advisory: if they are late, lost or wrong, the
// ordinary pick is used, and endpoint lists and the rule on repeats always take precedence.
//
// Used only in the simulator: the real gateway carries out neither the probes nor the peer messages of this
// module (src/net/gateway.cpp).
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
  double load = HUGE_VAL;  // requests held, scaled by the host's relative latency
};

class LoadProbing {
 public:
  // Hosts probed per attempt; more than three gain little.
  static constexpr int kProbedHosts = 3;

  // All must outlive this.
  LoadProbing(const Settings& settings, HostRegistry& hosts, const FleetShape& shape,
              const TrafficStatistics& traffic, const SlowStart& slowStart, ActionQueue& actions);

  // --- Before an attempt

  // Whether an attempt of the request waits for reports. Streams do not, nor requests with little time left.
  bool shouldProbe(const ActiveRequest& request, Time latestUsefulAnswer, Time now) const;
  // Maximum time that an attempt waits for reports.
  static Duration maxWait(const ActiveRequest& request);
  static void begin(ActiveRequest& request);
  void probe(ActiveRequest& request, HostId host);
  void requestRecommendation(ActiveRequest& request, HostId drawn, std::uint32_t tracker);
  // Records the result of a probe. Returns whether the wait is over: all reports have arrived, or the host is
  // idle.
  static bool onProbeResult(ActiveRequest& request, const ProbeResult& result);
  // Ends the wait: sets `observedLoad` to the load of the least loaded host.
  static void end(ActiveRequest& request);
  // The admission cutoff, 0 to 100, for a first attempt, from the time that the least loaded host would need
  // for the request relative to the latency objective. Without it, requests of low scores would crowd out
  // those of high ones, and overloaded hosts stay slow for long.
  double cutoff(const ActiveRequest& request) const;
  // Updates the mean latency per request held from an attempt that ended.
  void onResult(const ActiveRequest& request, Outcome outcome, double seconds);

  // --- Group trackers

  void assignGroups();  // must be called when the list of active hosts changes
  // The gateway that tracks a group; a fallback for some seconds after the first one did not answer.
  std::uint32_t trackerOf(std::uint64_t group, Time now) const;
  bool isOwnTracker(std::uint32_t tracker) const { return tracker == settings_.gatewayIndex; }
  void onTrackerSilent(std::uint64_t group, Time now);
  // Report to the tracker of the host's group, if trackers are in use.
  void reportAttemptStarted(Host& host, Time now);
  void reportAttemptEnded(Host& host, Outcome outcome, double relativeLatency, Time now);

  // --- As a tracker

  // Returns the least loaded host of the group of `drawn`, and counts an attempt as assigned to it. Of the
  // warming hosts only `drawn` is considered, and only while it is idle. Draws one random number for each
  // host that is no more loaded than those before it.
  Recommendation recommend(HostId drawn, Time now, RandomSource& random);
  void sendRecommendation(std::uint32_t gateway, const Recommendation& recommendation,
                          std::uint64_t correlationId);
  void onAttemptStarted(Host& host, Time now);
  void onAttemptEnded(Host& host, Time now);
  // Assigned attempts expire after the longest objective that was passed here.
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
  std::unordered_map<std::uint64_t, Time>
      trackersSkippedUntil_;  // by group: until when its tracker is skipped
  Duration longestObjective_{};
  double latencyPerRequest_;  // latency per request held, as a fraction of the objective
  double latencySamples_;     // samples in latencyPerRequest_
};

}  // namespace finchstile::load_balancing
