// Formats a program as text for `finchstile hook show`.
#pragma once

#include <string>

#include "hook/program.hpp"

namespace finchstile::hook {

// The program need not be verified.
std::string disassemble(const Program& program);

}  // namespace finchstile::hook
