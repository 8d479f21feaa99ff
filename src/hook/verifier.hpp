// Proves that an untrusted program runs within its bounds: operands refer to existing items, jumps stay in
// their handler, the stack has the same types on every path to an instruction and at most kMaxStackValues
// values, every operation gets the types that it takes and is allowed in its handler, and no path runs past
// the end of the handler. The interpreter relies on this and checks none of it.
#pragma once

#include <optional>
#include <string>

#include "hook/program.hpp"

namespace finchstile::hook {

enum class VerifyErrorCode {
  invalidProgram,  // a limit of program.hpp, a name, or the place of a handler
  unknownOperation,
  invalidOperand,  // refers to nothing
  controlFlow,     // leaves the handler, or paths join with different stacks
  stackBounds,     // pops from an empty stack, or pushes onto a full one
  typeMismatch,
  notAllowedInHandler
};

struct VerifyError {
  VerifyErrorCode code = VerifyErrorCode::invalidProgram;
  std::size_t instruction = 0;  // equal to the number of instructions: the program as a whole
  std::string message;          // completes the sentence "instruction N ..."
};

// Returns the first error; none if the program is valid. Time and memory are proportional to the number of
// instructions times the stack size.
std::optional<VerifyError> verify(const Program& program);

}  // namespace finchstile::hook
