// The operator's file together with the hooks that it refers to, loaded completely before any of it takes
// effect.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "app/operator_file.hpp"
#include "hook/hook_loader.hpp"

namespace finchstile {

struct LoadedOperatorFile {
  OperatorFile file;
  std::shared_ptr<const hook::HookSet> hooks;  // null only if the command line names no file
};

// Reads the file at `path` and compiles its hooks, which get the version number `version`. Blocks on file I/O
// for longer than a request may wait, so a serving gateway must not run it on its event loop. Throws
// OperatorFileError with all problems.
LoadedOperatorFile loadOperatorFileWithHooks(const std::string& path, std::uint64_t version);

}  // namespace finchstile
