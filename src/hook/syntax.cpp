#include "hook/syntax.hpp"

namespace finchstile::hook {

std::string_view nameOf(Handler handler) {
  static constexpr std::string_view kNames[] = {"request", "attempt", "answer"};
  return kNames[static_cast<std::size_t>(handler)];
}

}  // namespace finchstile::hook
