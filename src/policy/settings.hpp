// Reading and checking of the settings; nothing is decided here.
#pragma once

#include <string_view>

#include "finchstile/load_balancer.hpp"

namespace finchstile::load_balancing {

// Takes one setting by the path that the simulator gives it ("grades.0.aimNs"); unknown ones are skipped. The
// adapter and the gateway both read their settings through here. Throws std::invalid_argument.
void applySetting(Settings& settings, std::string_view path, std::string_view value);
void completeSettings(Settings& settings);  // after the last one

void validate(const Settings& settings);  // throws std::invalid_argument that names the setting

}  // namespace finchstile::load_balancing
