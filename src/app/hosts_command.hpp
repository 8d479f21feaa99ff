// `finchstile hosts`: prints what a running gateway knows of its hosts, from its operators' address.
#pragma once

#include <CLI/CLI.hpp>
#include <functional>

namespace finchstile {

// Adds the command. When it is parsed, `chosen` becomes the function that runs it and returns the exit code.
// `chosen` must outlive the parsing.
void addHostsCommand(CLI::App& app, std::function<int()>& chosen);

}  // namespace finchstile
