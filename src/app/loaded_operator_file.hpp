// The operator's file together with what it refers to, loaded aside and as a whole.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "app/operator_file.hpp"
#include "hook/hook_loader.hpp"

namespace finchstile {

struct LoadedOperatorFile {
  OperatorFile file;
  std::shared_ptr<const hook::HookSet> hooks;  // null only where no file was named
};

// Reads the file at `path` and compiles its hooks; `version` numbers them. Reads files, so it may take longer
// than a request can wait. Throws OperatorFileError with everything that is wrong.
LoadedOperatorFile loadOperatorFileWithHooks(const std::string& path, std::uint64_t version);

}  // namespace finchstile
