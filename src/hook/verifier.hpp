// Proves that running a program stays within its bounds, whoever made it: operands name what is there, jumps
// stay in their handler, the stack has the same types on every path to an instruction and at most
// kMaxStackValues values, every operation finds the types that it takes and stands in a handler that allows
// it, and no path runs off the end. The interpreter relies on this and checks none of it.
#pragma once

#include <optional>
#include <string>

#include "hook/program.hpp"

namespace finchstile::hook {

enum class VerifyErrorCode {
  invalidProgram,  // a limit of program.hpp, a name, or the place of a handler
  unknownOperation,
  invalidOperand,  // names nothing
  controlFlow,     // leaves the handler, or paths join with different stacks
  stackBounds,     // pops from an empty stack, or pushes onto a full one
  typeMismatch,
  notAllowedInHandler
};

struct VerifyError {
  VerifyErrorCode code = VerifyErrorCode::invalidProgram;
  std::size_t instruction = 0;  // the number of instructions stands for the program as a whole
  std::string message;          // completes the sentence "instruction N ..."
};

// The first error; none if the program is valid. Takes time and memory in proportion to instructions times
// stack size.
std::optional<VerifyError> verify(const Program& program);

}  // namespace finchstile::hook
