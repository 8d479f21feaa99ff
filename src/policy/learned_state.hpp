// Captures and restores the statistics that a load balancer hands over to the next process of its gateway.
#pragma once

#include "policy/admission_controller.hpp"
#include "policy/host_registry.hpp"
#include "policy/overload_estimator.hpp"
#include "policy/traffic_statistics.hpp"

namespace finchstile::load_balancing {

LearnedState captureLearnedState(Time now, const TrafficStatistics& traffic,
                                 const OverloadEstimator& overload, const AdmissionController& admission,
                                 const HostRegistry& hosts);

// Restores the statistics; see LoadBalancer::restoreLearnedState.
void restoreLearnedState(Time now, const LearnedState& learned, TrafficStatistics& traffic,
                         OverloadEstimator& overload, AdmissionController& admission, HostRegistry& hosts);

}  // namespace finchstile::load_balancing
