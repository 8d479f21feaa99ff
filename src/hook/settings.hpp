// Settings of hooks: table [hooks] of the settings file, with its [[hooks.hook]].
#pragma once

#include <string>
#include <vector>

#include "hook/hook_chain.hpp"
#include "operator/reader.hpp"

namespace finchstile::hook {

// One [[hooks.hook]].
struct HookFileSettings {
  HookSpec spec;       // loadHooks() sets its executables
  std::string path;    // of the source or the bytecode
  std::string shadow;  // the path of a candidate version; empty: none
};

struct HookSettings {
  ChainSettings chain;
  Duration reportInterval = std::chrono::minutes(1);  // of the log lines of HookChain::summary()
  std::vector<HookFileSettings> hooks;
};

// Reads the table [hooks] of `root`, which collects the errors. Relative paths are resolved against `folder`,
// the folder of the settings file. Absent settings keep their values in `out`.
void readHookSettings(SettingReader& root, const std::string& folder, HookSettings& out);

}  // namespace finchstile::hook
