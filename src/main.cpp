// Entry point of the gateway program.
#include <cstdio>
#include <exception>

#include "app/commands.hpp"

int main(int argc, char** argv) try {
  return finchstile::runCommand(argc, argv);
} catch (const std::exception& error) {
  std::fprintf(stderr, "finchstile: %s\n", error.what());
  return finchstile::kExitFailed;
}
