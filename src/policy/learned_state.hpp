// Carries what a load balancer has learned to the next one of its gateway. Nothing is decided here.
#pragma once

#include "policy/admission_controller.hpp"
#include "policy/host_registry.hpp"
#include "policy/overload_estimator.hpp"
#include "policy/traffic_statistics.hpp"

namespace finchstile::load_balancing {

LearnedState captureLearnedState(Time now, const TrafficStatistics& traffic,
                                 const OverloadEstimator& overload, const AdmissionController& admission,
                                 const HostRegistry& hosts);

// Takes over what fits (see LoadBalancer::restoreLearnedState). Does nothing if as much was learned here.
void restoreLearnedState(Time now, const LearnedState& learned, TrafficStatistics& traffic,
                         OverloadEstimator& overload, AdmissionController& admission, HostRegistry& hosts);

}  // namespace finchstile::load_balancing
