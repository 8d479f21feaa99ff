// Chooses the host of an attempt: gathers candidates, then draws one of the idle candidates by weight, or, if
// none is idle, takes the less loaded of two random ones (power of two choices). Inputs are the host registry
// and const views of the other rules. A gateway of a large cluster uses a subset of the hosts (subset.hpp).
#pragma once

#include <cstddef>
#include <vector>

#include "policy/active_request.hpp"
#include "policy/fleet_shape.hpp"
#include "policy/host_registry.hpp"
#include "policy/load_report_model.hpp"
#include "policy/outlier_detector.hpp"
#include "policy/overload_estimator.hpp"
#include "policy/random_source.hpp"
#include "policy/retry_policy.hpp"
#include "policy/slow_start.hpp"
#include "policy/stream_placement.hpp"
#include "policy/traffic_statistics.hpp"

namespace finchstile::load_balancing {

class HostPicker {
 public:
  // State read by the picker; all must outlive it. The picker modifies only the token buckets of the hosts
  // whose capacity it checks.
  struct Inputs {
    const Settings& settings;
    HostRegistry& hosts;
    const FleetShape& shape;
    const TrafficStatistics& traffic;
    const OverloadEstimator& overload;
    const OutlierDetector& outliers;
    const SlowStart& slowStart;
    const RetryPolicy& retries;
    const StreamPlacement& streams;
    const LoadReportModel& loadReports;
  };

  explicit HostPicker(const Inputs& inputs) : inputs_(inputs) {}

  // Must be called when the list of active hosts changes.
  void rebuildPreferenceOrder();

  // The host for the next attempt of a request; kNone if there is none.
  HostId pick(const ActiveRequest& request, Time now, RandomSource& random);

  // Whether the host is healthy or available for a trial, not in capacity backoff, not yet tried for the
  // request, and allowed by the rule on repeats. Does not check the limits of slow start and streams
  // (hasCapacity).
  bool isUsable(const ActiveRequest& request, HostId id, Time now) const;

 private:
  enum class Health { required, ignored };
  enum class Zone { any, local };

  HostId pickForStream(const ActiveRequest& request, Time now, RandomSource& random);
  HostId drawWarmingHost(const ActiveRequest& request, double share, Time now, RandomSource& random) const;
  HostId pickByAffinity(const ActiveRequest& request);
  HostId drawIdleHost(Time now, RandomSource& random) const;
  HostId pickLessLoadedOfTwo(Time now, RandomSource& random) const;
  void gatherCandidates(const ActiveRequest& request, Health health, Zone zone, Time now,
                        RandomSource& random);
  bool hasCapacity(const ActiveRequest& request, Host& host, Time now) const;
  bool hasStreamCapacity(Host& host, Time now) const;
  bool localZoneHasCapacity(Time now) const;
  bool wasTried(const ActiveRequest& request, HostId id) const;
  bool isIdle(const Host& host) const;
  double currentRelativeLatency(const Host& host, Time now) const;
  double load(const Host& host, Time now) const;
  std::size_t subsetSize() const;

  const Inputs inputs_;
  std::vector<HostId> preferenceOrder_;  // the active hosts, those of the subset first
  std::size_t baseSubsetSize_ = 0;
  std::vector<HostId> candidates_;  // of the current pick; a member to avoid an allocation per pick
};

}  // namespace finchstile::load_balancing
