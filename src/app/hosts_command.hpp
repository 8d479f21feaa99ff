// `finchstile hosts`: what a running gateway knows of its hosts, asked for at its operators' address.
#pragma once

#include <CLI/CLI.hpp>
#include <functional>

namespace finchstile {

void addHostsCommand(CLI::App& app, std::function<int()>& chosen);

}  // namespace finchstile
