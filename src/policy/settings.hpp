// Reads settings by the names of the simulator's wire, and checks them. This is the one place where those
// names are mapped to the fields of Settings; the adapter and the gateway both read through here.
#pragma once

#include <string_view>

#include "finchstile/load_balancer.hpp"

namespace finchstile::load_balancing {

// Takes one setting, for instance "grades.0.aimNs"; unknown names are skipped. Throws std::invalid_argument
// that names the setting if its value is none of its type.
void applySetting(Settings& settings, std::string_view path, std::string_view value);

// Call after the last setting: fills in what follows from others.
void completeSettings(Settings& settings);

// Throws std::invalid_argument that names the invalid setting.
void validate(const Settings& settings);

}  // namespace finchstile::load_balancing
