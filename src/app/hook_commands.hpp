// The commands `finchstile hook check`, `run` and `show`.
#pragma once

#include <CLI/App.hpp>
#include <functional>

namespace finchstile {

// Adds the commands to `app`. When the command line selects one, parsing sets `selectedCommand` to the
// function that runs it and returns the exit code.
void addHookCommands(CLI::App& app, std::function<int()>& selectedCommand);

}  // namespace finchstile
