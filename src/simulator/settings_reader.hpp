// Reads what an ENLIST line says of a gateway. The names that the simulator gives to settings are mapped to
// those of the decision module in policy/settings.cpp, which the gateway's configuration goes through as
// well.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "finchstile/load_balancer.hpp"

namespace finchstile::load_balancing::simulator {

// Settings that are not known are skipped. Throws std::invalid_argument with the setting that makes no sense.
Settings readSettings(std::string_view fields);

// The names of the values in a load report, in the order in which reports have them.
std::vector<std::string> readReportFields(std::string_view fields);

}  // namespace finchstile::load_balancing::simulator
