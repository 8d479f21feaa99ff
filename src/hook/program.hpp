// A hook as bytecode: operations, fields, limits and parts. bytecode.hpp has the file format. A program from
// any source is untrusted until verify() of verifier.hpp has accepted it.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "hook/source.hpp"
#include "hook/syntax.hpp"

namespace finchstile::hook {

// The operations. Their numbers are part of the file format. `a b -> c` means that the operation pops b, then
// a, and pushes c. num is an integer or a duration, the same type for all operands of an instruction.
enum class Op : std::uint8_t {
  halt,          // ends the handler
  pushInteger,   // operand: into `integers`           -> integer
  pushDuration,  // operand: into `integers`           -> duration
  pushText,      // operand: into `texts`              -> text
  pushBoolean,   // operand: 0 or 1                    -> boolean
  load,          // operand: a local                   -> its type
  store,         // operand: a local             value ->
  drop,          //                              value ->
  add,
  subtract,  // num num -> num; a result outside 64 bits is a fault
  multiply,
  divide,  // num integer -> num; division by 0 is a fault
  modulo,  // integer integer -> integer; division by 0 is a fault
  negate,  // num -> num
  equal,
  notEqual,  // num num, boolean boolean -> boolean
  less,
  lessEqual,  // num num -> boolean
  textEqual,
  textNotEqual,  // text text -> boolean
  invert,        // boolean -> boolean
  jump,          // operand: an instruction
  jumpIfFalse,
  jumpIfTrue,   // operand: an instruction     boolean ->
  concatenate,  // text text -> text, in the arena
  length,       // text -> integer, bytes
  lower,        // text -> text, in the arena; ASCII only
  substring,    // text from:integer count:integer -> text; clipped to the text
  find,         // text needle:text -> integer, -1 for none
  startsWith,
  endsWith,
  contains,      // text text -> boolean
  toInteger,     // text otherwise:integer -> integer
  toText,        // integer -> text, in the arena
  milliseconds,  // duration -> integer
  field,         // operand: a Field -> its type
  header,
  hasHeader,       // name:text -> text, boolean: of the client's request
  responseHeader,  // name:text -> text: of the response; handler `response` only
  parameter,       // name:text -> text: of the query, decoded, in the arena
  body,            // from:integer count:integer -> text; clipped to the part that hooks may read
  tagValue,        // name:text -> text, empty if there is none
  matches,         // operand: into `patterns`    text -> boolean
  inTable,
  inSet,   // operand: into `tables`, `sets`    text -> boolean
  lookUp,  // operand: into `tables`      text -> text, empty if there is none
  reject,  // status:integer reason:text -> ; ends the handler. Not allowed in handler `attempt`
  setHeader,
  tag,    // name:text value:text ->
  count,  // operand: into `counters`
  log,    // text ->
};
inline constexpr std::uint8_t kOps = static_cast<std::uint8_t>(Op::log) + 1;
std::string_view nameOf(Op op);  // in the disassembler's output

enum class Field : std::uint8_t {
  className,
  method,
  path,
  query,
  tenant,
  bodyLength,
  timeLeft,  // in every handler
  attempt,   // not in `request`
  status,
  fromHost  // in `response` only
};
inline constexpr std::uint8_t kFields = static_cast<std::uint8_t>(Field::fromHost) + 1;
std::string_view nameOf(Field field);  // as in the language
Type typeOf(Field field);
bool allowedIn(Field field, Handler handler);

// The operation in the low 8 bits, its operand in the other 24.
using Instruction = std::uint32_t;
constexpr Instruction instruction(Op op, std::uint32_t operand = 0) {
  return static_cast<std::uint32_t>(op) | operand << 8;
}
constexpr std::uint8_t opByte(Instruction i) { return static_cast<std::uint8_t>(i & 0xff); }
constexpr std::uint32_t operand(Instruction i) { return i >> 8; }

// Limits of a program, in a file and in memory.
inline constexpr std::size_t kMaxProgramBytes = std::size_t{4} * 1024 * 1024;
inline constexpr std::size_t kMaxInstructions = 32768;
inline constexpr std::size_t kMaxConstants = 16384;  // of each pool
inline constexpr std::size_t kMaxPatterns = 256;
inline constexpr std::size_t kMaxPatternBytes = 1024;
inline constexpr std::size_t kMaxTables = 64;
inline constexpr std::size_t kMaxCounters = 64;
inline constexpr std::size_t kMaxLocals = 128;  // of one handler
inline constexpr std::size_t kMaxStackValues = 256;
inline constexpr std::size_t kMaxNameBytes = 64;  // of a hook, a counter

struct HandlerCode {
  std::uint32_t entry = 0;  // the handler's instructions are [entry, end)
  std::uint32_t end = 0;
  std::vector<Type> locals;  // initially zero, false or empty
};

struct Program {
  std::string name;
  std::vector<std::int64_t> integers;
  std::vector<std::string> texts;
  std::vector<std::vector<std::string>> sets;
  std::vector<std::string> patterns;  // in RE2 syntax
  std::vector<std::string> tables;    // file names
  std::vector<std::string> counters;
  std::array<std::optional<HandlerCode>, kHandlers> handlers;
  std::vector<Instruction> code;
  std::vector<std::uint32_t> lines;  // the source line of each instruction, for faults

  bool operator==(const Program&) const = default;
};
bool operator==(const HandlerCode& a, const HandlerCode& b);

// Whether `name` is a plain file name, of a file in the hook's folder. A path could refer to any file of the
// machine.
bool isPlainFileName(std::string_view name);

}  // namespace finchstile::hook
