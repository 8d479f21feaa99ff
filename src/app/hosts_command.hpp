// The command `finchstile hosts`: fetches the state of hosts from the administration interface of a running
// gateway and prints it.
#pragma once

#include <CLI/CLI.hpp>
#include <functional>

namespace finchstile {

// Adds the command to `app`. When the command line selects it, parsing sets `selectedCommand` to the function
// that runs it and returns the exit code. `selectedCommand` must outlive the parsing.
void addHostsCommand(CLI::App& app, std::function<int()>& selectedCommand);

}  // namespace finchstile
