// The command `finchstile run`: serves until a signal has started a drain and the drain has completed.
#pragma once

#include <string>

namespace finchstile {

struct RunOptions {
  std::string config;        // path of the platform's configuration
  std::string operatorFile;  // path of the operator's file; empty: none
};

// Returns the exit code once a drain has completed. Throws std::exception if the gateway cannot start.
int run(const RunOptions& options);

}  // namespace finchstile
