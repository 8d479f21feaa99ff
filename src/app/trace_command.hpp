// `finchstile trace`: the logs of attempts of many gateways, put together.
#pragma once

#include <CLI/CLI.hpp>
#include <functional>

namespace finchstile {

void addTraceCommand(CLI::App& app, std::function<int()>& chosen);

}  // namespace finchstile
