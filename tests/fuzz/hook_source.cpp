// Compiles any bytes as the source of a hook. The result must be either problems, or a program that verifies,
// has a reversible encoding, and runs within the instruction budget.
#include <cstdlib>

#include "fuzz/target.hpp"
#include "hook/bytecode.hpp"
#include "hook/compiler.hpp"
#include "hook/expectations.hpp"
#include "hook/interpreter.hpp"
#include "hook/verifier.hpp"

using namespace finchstile::hook;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  std::vector<Problem> problems;
  auto compiled = compile(asText(data, size), problems);
  if (compiled.has_value() != problems.empty()) std::abort();
  if (!compiled) return 0;
  if (verify(compiled->program)) std::abort();  // the compiler emits valid programs only
  // An exception of the decoder is not caught: it ends the process, which counts as a fault.
  if (!(decode(encode(compiled->program)) == compiled->program)) std::abort();
  const std::vector<std::shared_ptr<const Table>> tables(compiled->program.tables.size(),
                                                         std::make_shared<const Table>());
  std::shared_ptr<const Executable> code;
  try {
    code = linkProgram(std::move(compiled->program), tables);
  } catch (const LinkError& error) {
    if (error.code() != LinkErrorCode::patternInvalid) std::abort();
    return 0;
  }
  RunBudget budget;
  budget.instructions = 2000;
  runExpectations(*code, compiled->expectations, budget);
  Interpreter interpreter;
  RunInput in;
  in.className = "log-in";
  in.path = "/log-in/1";
  in.body = asText(data, size).substr(0, 100);
  for (const Handler h : {Handler::request, Handler::attempt, Handler::response})
    if (code->handles(h) && interpreter.run(*code, h, in, budget).instructions > budget.instructions)
      std::abort();
  return 0;
}
