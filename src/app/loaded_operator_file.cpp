#include "app/loaded_operator_file.hpp"

#include <utility>
#include <vector>

namespace finchstile {

LoadedOperatorFile loadOperatorFileWithHooks(const std::string& path, std::uint64_t version) {
  LoadedOperatorFile loaded;
  loaded.file = loadOperatorFile(path);
  std::vector<std::string> problems;
  loaded.hooks = hook::loadHooks(loaded.file.hooks, version, problems);
  if (!loaded.hooks) throw OperatorFileError(std::move(problems));
  return loaded;
}

}  // namespace finchstile
