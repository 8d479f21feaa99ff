// Reads and validates settings. The setting names of the simulator's protocol are mapped to the fields of
// Settings here and nowhere else; both the simulator's adapter and the gateway read settings through this
// file.
#pragma once

#include <string_view>

#include "finchstile/load_balancer.hpp"

namespace finchstile::load_balancing {

// Applies one setting, for instance "grades.0.aimNs". Unknown names are ignored. Throws std::invalid_argument
// naming the setting if the value does not have its type.
void applySetting(Settings& settings, std::string_view path, std::string_view value);

// Must be called after the last applySetting: raises each clientTimeout to at least the latency objective.
void completeSettings(Settings& settings);

// Throws std::invalid_argument naming the invalid setting.
void validate(const Settings& settings);

}  // namespace finchstile::load_balancing
