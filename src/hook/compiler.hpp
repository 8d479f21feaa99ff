// Compiles a hook's source to bytecode: parses it, checks names and types, and emits instructions. The result
// is verified like any other program; a failure there is a fault of the compiler.
#pragma once

#include <optional>
#include <string_view>
#include <vector>

#include "hook/program.hpp"
#include "hook/syntax.hpp"

namespace finchstile::hook {

struct Compiled {
  Program program;
  std::vector<Expectation> expectations;
};

// On errors returns none and adds them to `problems` in the order of the source.
std::optional<Compiled> compile(std::string_view source, std::vector<Problem>& problems);

// A function that a source may call.
struct Builtin {
  std::string_view name;
  Op op;
  std::vector<Type> parameters;
  Type result;
};
const std::vector<Builtin>& builtins();

}  // namespace finchstile::hook
