// Settings of classes and tenants that change while a load balancer runs. Nothing is decided here.
#pragma once

#include "policy/admission_controller.hpp"
#include "policy/load_probing.hpp"
#include "policy/traffic_statistics.hpp"

namespace finchstile::load_balancing {

// Checks all of `update` first, and throws std::invalid_argument that names what is wrong; else applies it in
// one step. `settings` are those of the start.
void applyDynamicSettings(Time now, const Settings& settings, const DynamicSettings& update,
                          TrafficStatistics& traffic, AdmissionController& admission, LoadProbing& probing);

}  // namespace finchstile::load_balancing
