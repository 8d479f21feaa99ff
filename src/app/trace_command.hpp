// The command `finchstile trace`: merges the attempt logs of many gateways and shows request timelines,
// totals and an audit.
#pragma once

#include <CLI/CLI.hpp>
#include <functional>

namespace finchstile {

// Adds the command to `app`. When the command line selects it, parsing sets `selectedCommand` to the function
// that runs it and returns the exit code.
void addTraceCommand(CLI::App& app, std::function<int()>& selectedCommand);

}  // namespace finchstile
