// Runs verified bytecode: no I/O, no clock, no randomness, so that equal inputs give equal results. Every run
// is limited by its budget of instructions and bytes, and the texts that it makes by an arena of fixed size.
// Runs allocate no memory, but for RE2, which may when it meets a text for the first time.
#pragma once

#include <cstddef>
#include <memory>

#include "hook/executable.hpp"
#include "hook/handler_run.hpp"

namespace finchstile::hook {

// Not thread-safe: a run uses the interpreter's stack, arena and result.
class Interpreter {
 public:
  static constexpr std::size_t kArenaBytes = std::size_t{16} * 1024;

  Interpreter();
  ~Interpreter();

  // Runs a handler that `executable` must have. The result is valid until the next run.
  const RunResult& run(const Executable& executable, Handler handler, const RunInput& input,
                       const RunBudget& budget);

 private:
  class Run;
  union Value;

  std::unique_ptr<Value[]> stack_;
  std::unique_ptr<Value[]> locals_;
  std::unique_ptr<char[]> arena_;
  RunResult result_;
};

}  // namespace finchstile::hook
