// The settings of hooks: [hooks] of the operator's file and its [[hooks.hook]].
#pragma once

#include <string>
#include <vector>

#include "hook/hook_chain.hpp"
#include "operator/reader.hpp"

namespace finchstile::hook {

// One [[hooks.hook]].
struct HookFileSettings {
  HookSpec spec;       // its executables are loaded later
  std::string path;    // of the source or the bytecode
  std::string shadow;  // the path of a candidate version; empty: none
};

struct HookSettings {
  ChainSettings chain;
  Duration reportInterval = std::chrono::minutes(1);  // of the log lines with the counts
  std::vector<HookFileSettings> hooks;
};

// Reads the table [hooks] of `root`, which collects the errors. `folder` is that of the operator's file,
// where relative paths start. Settings that are absent keep their values in `out`.
void readHookSettings(SettingReader& root, const std::string& folder, HookSettings& out);

}  // namespace finchstile::hook
