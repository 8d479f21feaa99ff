#include "configuration/version.hpp"

#include <cstdio>

namespace finchstile::configuration {

std::string describe(const Version& version) {
  return std::to_string(version.epoch) + "." + std::to_string(version.revision);
}

std::string formatHash(std::uint64_t hash) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(hash));
  return text;
}

}  // namespace finchstile::configuration
