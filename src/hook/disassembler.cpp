#include "hook/disassembler.hpp"

#include "hook/bytecode.hpp"

namespace finchstile::hook {
namespace {

constexpr std::size_t kMaxShownBytes = 60;

std::string quoted(std::string_view text) {
  std::string shown = "\"";
  for (const char c : text.substr(0, kMaxShownBytes)) shown += c >= 0x20 && c < 0x7f && c != '"' ? c : '?';
  return shown + (text.size() > kMaxShownBytes ? "...\"" : "\"");
}

std::string quotedItem(const std::vector<std::string>& items, std::size_t index) {
  return index < items.size() ? quoted(items[index]) : std::string();
}

// The constant, field, pattern, table or counter that the operand refers to; empty for other operands.
std::string describeOperand(const Program& program, Instruction instruction) {
  const std::size_t index = operand(instruction);
  switch (static_cast<Op>(opByte(instruction))) {
    case Op::pushInteger:
    case Op::pushDuration:
      return index < program.integers.size() ? std::to_string(program.integers[index]) : "";
    case Op::pushText: return quotedItem(program.texts, index);
    case Op::field: return index < kFields ? std::string(nameOf(static_cast<Field>(index))) : "";
    case Op::matches: return quotedItem(program.patterns, index);
    case Op::inTable:
    case Op::lookUp: return quotedItem(program.tables, index);
    case Op::count: return quotedItem(program.counters, index);
    default: return "";
  }
}

std::string disassembleInstruction(const Program& program, std::size_t index) {
  const Instruction instruction = program.code[index];
  const bool known = opByte(instruction) < kOps;
  const std::string name = known ? std::string(nameOf(static_cast<Op>(opByte(instruction)))) : "?";
  std::string text = "  " + std::to_string(index) + "\tline " + std::to_string(program.lines[index]) + "\t" +
                     name + " " + std::to_string(operand(instruction));
  const std::string operandText = describeOperand(program, instruction);
  if (!operandText.empty()) text += "\t# " + operandText;
  return text + "\n";
}

}  // namespace

std::string disassemble(const Program& program) {
  std::string text = "hook " + quoted(program.name) + ", format " + std::to_string(kBytecodeVersion) + "\n";
  for (std::size_t handler = 0; handler < kHandlers; ++handler) {
    if (!program.handlers[handler]) continue;
    const HandlerCode& code = *program.handlers[handler];
    text += "on " + std::string(nameOf(static_cast<Handler>(handler))) + ", locals:";
    for (const Type type : code.locals) text += " " + std::string(nameOf(type));
    text += "\n";
    for (std::size_t i = code.entry; i < code.end && i < program.code.size(); ++i)
      text += disassembleInstruction(program, i);
  }
  return text;
}

}  // namespace finchstile::hook
