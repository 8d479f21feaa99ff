// Applies settings of classes and tenants that change while a load balancer runs.
#pragma once

#include "policy/admission_controller.hpp"
#include "policy/load_probing.hpp"
#include "policy/traffic_statistics.hpp"

namespace finchstile::load_balancing {

// Validates all of `update` before applying any of it. Throws std::invalid_argument naming the invalid value.
// `settings` are the initial settings.
void applyDynamicSettings(Time now, const Settings& settings, const DynamicSettings& update,
                          TrafficStatistics& traffic, AdmissionController& admission, LoadProbing& probing);

}  // namespace finchstile::load_balancing
