// The `run` command: serves until it is told to end.
#pragma once

#include <string>

namespace finchstile {

struct RunOptions {
  std::string config;        // path of the platform's configuration
  std::string operatorFile;  // path of the operator's file; empty: there is none
};

// Returns the exit code once a drain is over. Throws std::exception if the gateway cannot start.
int run(const RunOptions& options);

}  // namespace finchstile
