// Parses the command line and runs the selected command. Exit codes: 0 success; 1 the command failed, or the
// gateway could not start or serve; 2 the command line is invalid or names no configuration; 3 a check found
// problems.
#pragma once

namespace finchstile {

inline constexpr int kExitFailed = 1;
inline constexpr int kExitUsage = 2;
inline constexpr int kExitCheck = 3;

// Returns the exit code.
int runCommand(int argc, char** argv);

}  // namespace finchstile
