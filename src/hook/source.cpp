#include "hook/source.hpp"

namespace finchstile::hook {

std::string_view nameOf(Type type) {
  static constexpr std::string_view kNames[] = {"integer", "boolean", "text", "duration"};
  return kNames[static_cast<std::size_t>(type)];
}

std::string describe(const std::string& file, const Problem& problem) {
  return file + ":" + std::to_string(problem.at.line) + ":" + std::to_string(problem.at.column) + ": " +
         problem.message;
}

}  // namespace finchstile::hook
