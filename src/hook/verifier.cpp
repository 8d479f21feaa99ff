#include "hook/verifier.hpp"

#include <array>
#include <vector>

#include "hook/headers.hpp"

namespace finchstile::hook {
namespace {

using Code = VerifyErrorCode;

// The pool of the program that an operand indexes.
enum class Pool : std::uint8_t { none, integers, texts, booleans, patterns, tables, sets, counters };

// An operation whose types do not depend on the stack or the handler.
struct Signature {
  Op op;
  Pool pool;
  std::vector<Type> pops;  // in the order of popping, the topmost first
  std::optional<Type> pushes;
};

const std::vector<Signature>& signatures() {
  constexpr Type kInteger = Type::integer;
  constexpr Type kBoolean = Type::boolean;
  constexpr Type kText = Type::text;
  constexpr Type kDuration = Type::duration;
  static const std::vector<Signature> kAll = {
      {Op::pushInteger, Pool::integers, {}, kInteger},
      {Op::pushDuration, Pool::integers, {}, kDuration},
      {Op::pushText, Pool::texts, {}, kText},
      {Op::pushBoolean, Pool::booleans, {}, kBoolean},
      {Op::modulo, Pool::none, {kInteger, kInteger}, kInteger},
      {Op::invert, Pool::none, {kBoolean}, kBoolean},
      {Op::concatenate, Pool::none, {kText, kText}, kText},
      {Op::length, Pool::none, {kText}, kInteger},
      {Op::lower, Pool::none, {kText}, kText},
      {Op::substring, Pool::none, {kInteger, kInteger, kText}, kText},
      {Op::find, Pool::none, {kText, kText}, kInteger},
      {Op::textEqual, Pool::none, {kText, kText}, kBoolean},
      {Op::textNotEqual, Pool::none, {kText, kText}, kBoolean},
      {Op::startsWith, Pool::none, {kText, kText}, kBoolean},
      {Op::endsWith, Pool::none, {kText, kText}, kBoolean},
      {Op::contains, Pool::none, {kText, kText}, kBoolean},
      {Op::toInteger, Pool::none, {kInteger, kText}, kInteger},
      {Op::toText, Pool::none, {kInteger}, kText},
      {Op::milliseconds, Pool::none, {kDuration}, kInteger},
      {Op::header, Pool::none, {kText}, kText},
      {Op::hasHeader, Pool::none, {kText}, kBoolean},
      {Op::responseHeader, Pool::none, {kText}, kText},
      {Op::parameter, Pool::none, {kText}, kText},
      {Op::body, Pool::none, {kInteger, kInteger}, kText},
      {Op::tagValue, Pool::none, {kText}, kText},
      {Op::matches, Pool::patterns, {kText}, kBoolean},
      {Op::inTable, Pool::tables, {kText}, kBoolean},
      {Op::inSet, Pool::sets, {kText}, kBoolean},
      {Op::lookUp, Pool::tables, {kText}, kText},
      {Op::reject, Pool::none, {kText, kInteger}, std::nullopt},
      {Op::setHeader, Pool::none, {kText, kText}, std::nullopt},
      {Op::tag, Pool::none, {kText, kText}, std::nullopt},
      {Op::count, Pool::counters, {}, std::nullopt},
      {Op::log, Pool::none, {kText}, std::nullopt},
  };
  return kAll;
}

// Null for operations that have no fixed signature.
const Signature* signatureOf(Op op) {
  using Index = std::array<const Signature*, kOps>;
  static const Index kIndex = [] {
    Index index{};
    for (const Signature& signature : signatures())
      index[static_cast<std::size_t>(signature.op)] = &signature;
    return index;
  }();
  return kIndex[static_cast<std::size_t>(op)];
}

// Abstract interpretation of one handler: follows every path with the types on the stack. Throws VerifyError.
class HandlerVerifier {
 public:
  HandlerVerifier(const Program& program, Handler handler, const HandlerCode& code)
      : program_(program), handler_(handler), code_(code), stackBefore_(code.end - code.entry) {}

  void run() {
    reach(code_.entry, {});
    while (!unvisited_.empty()) {
      instruction_ = unvisited_.back();
      unvisited_.pop_back();
      stack_ = *stackBefore_[instruction_ - code_.entry];
      visit();
    }
  }

 private:
  using Stack = std::vector<Type>;

  [[noreturn]] void fail(Code code, std::string message) const {
    throw VerifyError{code, instruction_, std::move(message)};
  }

  // The first path to an instruction determines its stack. Every other path must have an equal one.
  void reach(std::size_t target, const Stack& stack) {
    if (target < code_.entry || target >= code_.end) fail(Code::controlFlow, "leads out of its handler");
    std::optional<Stack>& existing = stackBefore_[target - code_.entry];
    if (!existing) {
      existing = stack;
      unvisited_.push_back(target);
    } else if (*existing != stack) {
      fail(Code::controlFlow,
           "two ways lead to instruction " + std::to_string(target) + " with different stacks");
    }
  }

  Type pop() {
    if (stack_.empty()) fail(Code::stackBounds, "takes from an empty stack");
    const Type type = stack_.back();
    stack_.pop_back();
    return type;
  }
  void pop(Type expected) {
    const Type type = pop();
    if (type != expected)
      fail(Code::typeMismatch,
           "takes " + std::string(nameOf(expected)) + " and finds " + std::string(nameOf(type)));
  }
  Type popNumber() {
    const Type type = pop();
    if (type != Type::integer && type != Type::duration)
      fail(Code::typeMismatch, "takes a number and finds " + std::string(nameOf(type)));
    return type;
  }
  void push(Type type) {
    if (stack_.size() >= kMaxStackValues) fail(Code::stackBounds, "needs more stack than allowed");
    stack_.push_back(type);
  }

  void checkOperand(std::size_t size, const char* what) const {
    if (operand(program_.code[instruction_]) >= size)
      fail(Code::invalidOperand, std::string("names no ") + what + " that is there");
  }
  void checkOperand(Pool pool) const {
    switch (pool) {
      case Pool::none: return;
      case Pool::integers: return checkOperand(program_.integers.size(), "integer");
      case Pool::texts: return checkOperand(program_.texts.size(), "text");
      case Pool::booleans: return checkOperand(2, "boolean");
      case Pool::patterns: return checkOperand(program_.patterns.size(), "pattern");
      case Pool::tables: return checkOperand(program_.tables.size(), "table");
      case Pool::sets: return checkOperand(program_.sets.size(), "set");
      case Pool::counters: return checkOperand(program_.counters.size(), "counter");
    }
  }
  Type localOperand() const {
    checkOperand(code_.locals.size(), "local");
    return code_.locals[operand(program_.code[instruction_])];
  }

  void checkAllowed(Op op) const {
    if (op == Op::responseHeader && handler_ != Handler::response)
      fail(Code::notAllowedInHandler, "reads an answer before there is one");
    // Hooks cannot prevent an attempt: the load balancer decides whether, when and where it is sent.
    if (op == Op::reject && handler_ == Handler::attempt)
      fail(Code::notAllowedInHandler, "rejects in a handler of attempts");
  }

  void visit() {
    const Instruction instruction = program_.code[instruction_];
    if (opByte(instruction) >= kOps) fail(Code::unknownOperation, "is no operation");
    const Op op = static_cast<Op>(opByte(instruction));
    checkAllowed(op);
    if (const Signature* const signature = signatureOf(op)) applySignature(*signature);
    else applyOperation(op);
    const bool endsPath = op == Op::halt || op == Op::reject || op == Op::jump;
    if (op == Op::jump || op == Op::jumpIfFalse || op == Op::jumpIfTrue) reach(operand(instruction), stack_);
    if (!endsPath) reach(instruction_ + 1, stack_);
  }

  void applySignature(const Signature& signature) {
    checkOperand(signature.pool);
    for (const Type type : signature.pops) pop(type);
    if (signature.pushes) push(*signature.pushes);
  }

  // Operations whose types depend on the stack, the locals or the field.
  void applyOperation(Op op) {
    switch (op) {
      case Op::load: return push(localOperand());
      case Op::store: return pop(localOperand());
      case Op::drop: pop(); return;
      case Op::add:
      case Op::subtract: return applyToEqualNumbers();
      case Op::multiply:
      case Op::divide: pop(Type::integer); return push(popNumber());
      case Op::negate: return push(popNumber());
      case Op::equal:
      case Op::notEqual: return applyEquality();
      case Op::less:
      case Op::lessEqual: pop(popNumber()); return push(Type::boolean);
      case Op::jumpIfFalse:
      case Op::jumpIfTrue: return pop(Type::boolean);
      case Op::field: return applyField();
      default: return;  // halt and jump; all others have a signature
    }
  }

  void applyToEqualNumbers() {
    const Type type = popNumber();
    pop(type);
    push(type);
  }

  void applyEquality() {
    const Type type = pop();
    if (type == Type::text) fail(Code::typeMismatch, "compares texts as numbers");
    pop(type);
    push(Type::boolean);
  }

  void applyField() {
    checkOperand(kFields, "field");
    const Field field = static_cast<Field>(operand(program_.code[instruction_]));
    if (!allowedIn(field, handler_))
      fail(Code::notAllowedInHandler, "reads a field that this handler does not have");
    push(typeOf(field));
  }

  const Program& program_;
  const Handler handler_;
  const HandlerCode& code_;
  std::vector<std::optional<Stack>> stackBefore_;  // of each instruction, once a path to it is known
  std::vector<std::size_t> unvisited_;
  std::size_t instruction_ = 0;
  Stack stack_;
};

// Checks the limits of a program as a whole. Throws VerifyError.
class LimitVerifier {
 public:
  explicit LimitVerifier(const Program& program) : program_(program) {}

  void run() const {
    if (!isHeaderName(program_.name) || program_.name.size() > kMaxNameBytes) fail("its name is no word");
    checkSize(program_.code, kMaxInstructions, "instructions");
    checkSize(program_.integers, kMaxConstants, "integers");
    checkSize(program_.texts, kMaxConstants, "texts");
    checkSize(program_.sets, kMaxConstants, "sets");
    checkSize(program_.patterns, kMaxPatterns, "patterns");
    checkSize(program_.tables, kMaxTables, "tables");
    checkSize(program_.counters, kMaxCounters, "counters");
    checkTexts(program_.texts, kMaxLiteralBytes, "texts");
    checkTexts(program_.patterns, kMaxPatternBytes, "patterns");
    for (const auto& set : program_.sets) {
      checkSize(set, kMaxConstants, "items of a set");
      checkTexts(set, kMaxLiteralBytes, "sets");
    }
    // Counter names are used in metrics and log lines.
    for (const std::string& counter : program_.counters)
      if (!isHeaderName(counter)) fail("a counter's name is no word");
    if (program_.lines.size() != program_.code.size()) fail("not a line for each instruction");
  }

  // `previousEnd`: the end of the preceding handler. Handlers must be in order and disjoint, so that no
  // instruction is subject to the rules of two handlers.
  void checkHandler(const HandlerCode& handler, std::size_t previousEnd) const {
    const bool isAfterPrevious = handler.entry >= previousEnd;
    const bool isInsideCode = handler.entry < handler.end && handler.end <= program_.code.size();
    if (!isAfterPrevious || !isInsideCode) fail("a handler lies out of the code or over another one");
    checkSize(handler.locals, kMaxLocals, "locals");
  }

 private:
  [[noreturn]] void fail(std::string message) const {
    throw VerifyError{Code::invalidProgram, program_.code.size(), std::move(message)};
  }
  template <class Item>
  void checkSize(const std::vector<Item>& items, std::size_t maxItems, const char* what) const {
    if (items.size() > maxItems) fail(std::string("more ") + what + " than allowed");
  }
  void checkTexts(const std::vector<std::string>& texts, std::size_t maxBytes, const char* what) const {
    for (const std::string& text : texts)
      if (text.size() > maxBytes) fail(std::string("a longer text among its ") + what + " than allowed");
  }

  const Program& program_;
};

void verifyOrThrow(const Program& program) {
  const LimitVerifier limits(program);
  limits.run();
  std::size_t previousEnd = 0;
  for (std::size_t i = 0; i < kHandlers; ++i) {
    if (!program.handlers[i]) continue;
    const HandlerCode& handler = *program.handlers[i];
    limits.checkHandler(handler, previousEnd);
    previousEnd = handler.end;
    HandlerVerifier(program, static_cast<Handler>(i), handler).run();
  }
}

}  // namespace

std::optional<VerifyError> verify(const Program& program) {
  try {
    verifyOrThrow(program);
  } catch (const VerifyError& error) {
    return error;
  }
  return std::nullopt;
}

}  // namespace finchstile::hook
