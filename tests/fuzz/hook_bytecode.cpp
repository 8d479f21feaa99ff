// Decodes any bytes as bytecode, ignoring the checksum. They must be rejected with a message, or run within
// the instruction budget.
#include <cstdlib>

#include "fuzz/target.hpp"
#include "hook/bytecode.hpp"
#include "hook/disassembler.hpp"
#include "hook/interpreter.hpp"

using namespace finchstile::hook;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  std::shared_ptr<const Executable> code;
  try {
    Program program = decode(asText(data, size), ChecksumCheck::ignored);
    disassemble(program);
    std::vector<std::shared_ptr<const Table>> tables(program.tables.size(), std::make_shared<const Table>());
    code = linkProgram(std::move(program), std::move(tables));
  } catch (const BytecodeError& error) {
    if (std::string_view(error.what()).empty()) std::abort();
    return 0;
  } catch (const LinkError&) {
    return 0;
  }
  Interpreter interpreter;
  RunInput in;
  in.path = "/log-in/1";
  RunBudget budget;
  budget.instructions = 500;
  for (const Handler h : {Handler::request, Handler::attempt, Handler::response})
    if (code->handles(h) && interpreter.run(*code, h, in, budget).instructions > budget.instructions)
      std::abort();
  return 0;
}
