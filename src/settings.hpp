// Checks of the settings; nothing is decided here.
#pragma once

#include "ridgeshift/ridgeshift.hpp"

namespace ridgeshift {

void validate(const Settings& settings);  // throws std::invalid_argument that names the setting

}  // namespace ridgeshift
