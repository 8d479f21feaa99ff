// Reads the settings of a simulated gateway from an ENLIST line. The simulator's names of settings are mapped
// to those of the decision module in policy/settings.cpp, which the configuration of the real gateway uses as
// well.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "finchstile/load_balancer.hpp"

namespace finchstile::load_balancing::simulator {

// Unknown settings are ignored. Throws std::invalid_argument naming an invalid setting.
Settings readSettings(std::string_view fields);

// The names of the values in a load report, in the order in which reports list them.
std::vector<std::string> readReportFields(std::string_view fields);

}  // namespace finchstile::load_balancing::simulator
