// Loads hooks and their tables from files. A hook is compiled or decoded, verified and tested with its own
// expectations before it is installed.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "hook/executable.hpp"
#include "hook/hook_chain.hpp"
#include "hook/settings.hpp"
#include "hook/syntax.hpp"

namespace finchstile::hook {

struct LoadedHook {
  std::shared_ptr<const Executable> executable;
  std::vector<Expectation> expectations;  // bytecode has none
};

// Loads the hook from `path`, which is source or bytecode, and its tables from the same folder. Does not run
// its expectations. On errors returns none and adds a line for each, with file, line and reason.
std::optional<LoadedHook> loadHook(const std::string& path, std::vector<std::string>& problems);

// Loads all hooks of the settings and runs their expectations. On errors returns null and adds a line for
// each error of any hook.
std::shared_ptr<const HookSet> loadHooks(const HookSettings& settings, std::uint64_t version,
                                         std::vector<std::string>& problems);

}  // namespace finchstile::hook
