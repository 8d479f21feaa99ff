// Runs verified bytecode. It uses no I/O, clock or randomness, so equal inputs give equal results. A run is
// limited by its budget of instructions and bytes; the texts that it creates are limited by an arena of fixed
// size. Runs allocate no heap memory, except in RE2, which builds its automata on demand.
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

  // `executable` must have the handler. The result is valid until the next run.
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
