#include "hook/compiler.hpp"

#include <algorithm>
#include <map>

#include "hook/headers.hpp"
#include "operator/reader.hpp"  // for nearestOf

namespace finchstile::hook {
namespace {

using Kind = Expression::Kind;

struct Local {
  std::string name;
  std::uint32_t slot;
  Type type;
  bool isLoopCounter;  // the source cannot assign to it
};

// Emits the handlers of a unit. Continues after a problem. An expression with an error has no type, and the
// expressions that use it report nothing, so that one mistake is reported once.
class Emitter {
 public:
  Emitter(const Unit& unit, Program& program, std::vector<Problem>& problems)
      : unit_(unit), program_(program), problems_(problems) {
    for (std::size_t i = 0; i < unit.constants.size(); ++i) constants_.emplace(unit.constants[i].name, i);
  }

  void emitHandler(Handler handler, const Block& block) {
    handler_ = handler;
    code_ = HandlerCode{};
    code_.entry = nextInstruction();
    locals_.clear();
    loops_.clear();
    this->block(block);
    emit(Op::halt, 0, lastPosition_);
    code_.end = nextInstruction();
    program_.handlers[static_cast<std::size_t>(handler)] = std::move(code_);
  }

  // Returns the index of a pattern.
  std::uint32_t pattern(const Expression& e) {
    if (e.name.size() > kMaxPatternBytes)
      problem(e.at, "a pattern has at most " + std::to_string(kMaxPatternBytes) + " bytes");
    return intern(program_.patterns, e.name, kMaxPatterns, "patterns", e.at);
  }

 private:
  using MaybeType = std::optional<Type>;

  void problem(Position at, std::string message) { problems_.push_back({at, std::move(message)}); }
  std::uint32_t nextInstruction() const { return static_cast<std::uint32_t>(program_.code.size()); }

  std::uint32_t emit(Op op, std::uint32_t k, Position at) {
    lastPosition_ = at;
    if (program_.code.size() >= kMaxInstructions) {
      if (!limitReached_)
        problem(at, "the hook needs more than " + std::to_string(kMaxInstructions) + " instructions");
      limitReached_ = true;
      return 0;
    }
    program_.code.push_back(instruction(op, k));
    program_.lines.push_back(at.line);
    return nextInstruction() - 1;
  }
  // Sets the target of an emitted jump to the next instruction.
  void patchJump(std::uint32_t jump) {
    if (limitReached_) return;
    program_.code[jump] = instruction(static_cast<Op>(opByte(program_.code[jump])), nextInstruction());
  }

  // Returns the index of `value` in the pool; adds it if it is absent.
  template <class T>
  std::uint32_t intern(std::vector<T>& pool, const T& value, std::size_t maxItems, const char* what,
                       Position at) {
    const auto it = std::find(pool.begin(), pool.end(), value);
    if (it != pool.end()) return static_cast<std::uint32_t>(it - pool.begin());
    if (pool.size() >= maxItems) {
      problem(at, "more than " + std::to_string(maxItems) + " " + what);
      return 0;
    }
    pool.push_back(value);
    return static_cast<std::uint32_t>(pool.size() - 1);
  }
  // Texts and integers have maps, since their pools grow with the source: a linear search per literal would
  // take quadratic time.
  std::uint32_t internText(const std::string& text, Position at) {
    const auto [it, inserted] = textAt_.emplace(text, static_cast<std::uint32_t>(program_.texts.size()));
    if (!inserted) return it->second;
    if (program_.texts.size() >= kMaxConstants)
      problem(at, "more than " + std::to_string(kMaxConstants) + " texts");
    else program_.texts.push_back(text);
    return it->second;
  }
  std::uint32_t internInteger(std::int64_t n, Position at) {
    const auto [it, inserted] = integerAt_.emplace(n, static_cast<std::uint32_t>(program_.integers.size()));
    if (!inserted) return it->second;
    if (program_.integers.size() >= kMaxConstants)
      problem(at, "more than " + std::to_string(kMaxConstants) + " numbers");
    else program_.integers.push_back(n);
    return it->second;
  }

  // --- names
  const Local* local(const std::string& name) const {
    for (auto it = locals_.rbegin(); it != locals_.rend(); ++it)
      if (it->name == name) return &*it;
    return nullptr;
  }
  // Returns the slot of a new variable. Slots are not reused: a slot has one type in the whole handler.
  std::uint32_t declare(const std::string& name, Type type, bool isLoopCounter, Position at) {
    if (code_.locals.size() >= kMaxLocals) {
      problem(at, "more than " + std::to_string(kMaxLocals) + " variables in one handler");
      return 0;
    }
    code_.locals.push_back(type);
    locals_.push_back({name, static_cast<std::uint32_t>(code_.locals.size() - 1), type, isLoopCounter});
    return locals_.back().slot;
  }
  void reportUnknown(const std::string& name, Position at, const char* what) {
    std::vector<std::string> known;
    for (const Local& l : locals_) known.push_back(l.name);
    for (const auto& c : unit_.constants) known.push_back(c.name);
    for (const auto& t : unit_.tables) known.push_back(t.name);
    for (const auto& s : unit_.sets) known.push_back(s.name);
    for (std::uint8_t f = 0; f < kFields; ++f) known.emplace_back(nameOf(static_cast<Field>(f)));
    for (const Builtin& b : builtins()) known.emplace_back(b.name);
    std::string text = "unknown " + std::string(what) + " '" + name.substr(0, 40) + "'";
    if (const auto near = nearestOf(name, known); !near.empty())
      text += "; did you mean '" + std::string(near) + "'?";
    problem(at, std::move(text));
  }
  template <class List>
  static std::optional<std::uint32_t> indexOf(const List& list, const std::string& name) {
    for (std::size_t i = 0; i < list.size(); ++i)
      if (list[i].name == name) return static_cast<std::uint32_t>(i);
    return std::nullopt;
  }

  // --- statements
  void block(const Block& b) {
    const std::size_t before = locals_.size();
    for (const auto& s : b) {
      if (problems_.size() >= kMaxProblems || limitReached_) break;
      statement(*s);
    }
    locals_.resize(std::min(before, locals_.size()));
  }

  void statement(const Statement& s) {
    switch (s.kind) {
      case Statement::Kind::let: {
        const MaybeType t = value(*s.values[0]);
        if (local(s.name))
          problem(s.at, "'" + s.name + "' is a variable already; without `let` it is given a new value");
        else if (isReservedName(s.name)) problem(s.at, "'" + s.name + "' is the name of something else");
        const std::uint32_t slot = declare(s.name, t.value_or(Type::integer), false, s.at);
        emit(Op::store, slot, s.at);
        return;
      }
      case Statement::Kind::assign: {
        const MaybeType t = value(*s.values[0]);
        const Local* l = local(s.name);
        if (!l) return reportUnknown(s.name, s.at, "variable");
        if (l->isLoopCounter) problem(s.at, "'" + s.name + "' counts a loop and can't be given a value");
        else if (t && *t != l->type)
          problem(s.at, "'" + s.name + "' is " + std::string(nameOf(l->type)) + ", and the value is " +
                            std::string(nameOf(*t)));
        emit(Op::store, l->slot, s.at);
        return;
      }
      case Statement::Kind::conditional: return conditional(s);
      case Statement::Kind::whileLoop: {
        const std::uint32_t start = nextInstruction();
        value(*s.values[0], Type::boolean);
        const std::uint32_t exitJump = emit(Op::jumpIfFalse, 0, s.at);
        loops_.emplace_back();
        block(s.body);
        emit(Op::jump, start, s.at);
        patchJump(exitJump);
        endLoop();
        return;
      }
      case Statement::Kind::forLoop: return forLoop(s);
      case Statement::Kind::breakLoop:
        if (loops_.empty()) return problem(s.at, "`break` stands in no loop");
        loops_.back().push_back(emit(Op::jump, 0, s.at));
        return;
      case Statement::Kind::pass: emit(Op::halt, 0, s.at); return;
      case Statement::Kind::action: return action(s);
    }
  }

  bool isReservedName(const std::string& name) const {
    if (constants_.count(name) || indexOf(unit_.tables, name) || indexOf(unit_.sets, name)) return true;
    for (std::uint8_t f = 0; f < kFields; ++f)
      if (nameOf(static_cast<Field>(f)) == name) return true;
    return false;
  }

  void conditional(const Statement& s) {
    std::vector<std::uint32_t> ends;
    for (std::size_t i = 0; i < s.branches.size(); ++i) {
      const auto& [condition, body] = s.branches[i];
      std::uint32_t next = 0;
      if (condition) {
        value(*condition, Type::boolean);
        next = emit(Op::jumpIfFalse, 0, condition->at);
      }
      block(body);
      if (i + 1 < s.branches.size()) ends.push_back(emit(Op::jump, 0, s.at));
      if (condition) patchJump(next);
    }
    for (const std::uint32_t endJump : ends) patchJump(endJump);
  }

  // `for i in a .. b` runs for a <= i < b. Both bounds are evaluated once.
  void forLoop(const Statement& s) {
    value(*s.values[0], Type::integer);
    if (local(s.name) || isReservedName(s.name))
      problem(s.at, "'" + s.name + "' is the name of something else");
    const std::size_t before = locals_.size();
    const std::uint32_t counter = declare(s.name, Type::integer, true, s.at);
    emit(Op::store, counter, s.at);
    value(*s.values[1], Type::integer);
    const std::uint32_t bound = declare("", Type::integer, true, s.at);
    emit(Op::store, bound, s.at);
    const std::uint32_t start = nextInstruction();
    emit(Op::load, counter, s.at);
    emit(Op::load, bound, s.at);
    emit(Op::less, 0, s.at);
    const std::uint32_t exitJump = emit(Op::jumpIfFalse, 0, s.at);
    loops_.emplace_back();
    block(s.body);
    emit(Op::load, counter, s.at);
    emit(Op::pushInteger, internInteger(1, s.at), s.at);
    emit(Op::add, 0, s.at);
    emit(Op::store, counter, s.at);
    emit(Op::jump, start, s.at);
    patchJump(exitJump);
    endLoop();
    locals_.resize(before);
  }

  void endLoop() {
    for (const std::uint32_t b : loops_.back()) patchJump(b);
    loops_.pop_back();
  }

  void action(const Statement& s) {
    const Expression& first = *s.values[0];
    const bool literal = first.kind == Kind::text;
    if (s.name == "count") {
      if (!literal)
        return problem(first.at, "a counter's name is a text in quotes, so that there is a bound to them");
      if (!isHeaderName(first.name))
        return problem(first.at, "a counter's name is a word of 1 to 64 letters, digits, '-' and '_'");
      emit(Op::count, intern(program_.counters, first.name, kMaxCounters, "counters", first.at), s.at);
      return;
    }
    if (s.name == "log") {
      value(first, Type::text);
      emit(Op::log, 0, s.at);
      return;
    }
    if (s.name == "reject") {
      if (handler_ == Handler::attempt)
        return problem(s.at, "`reject` can't stand in `on attempt`: an attempt is the decision module's");
      if (first.kind == Kind::integer && (first.number < 400 || first.number > 499) && first.number != 503)
        problem(first.at, "a rejection has a status of 400 to 499, or 503");
      value(first, Type::integer);
      value(*s.values[1], Type::text);
      emit(Op::reject, 0, s.at);
      return;
    }
    const bool header = s.name == "set header";
    if (literal && !isHeaderName(first.name))
      problem(first.at, std::string(header ? "a header's" : "a tag's") + " name is a token of 1 to 64 bytes");
    else if (literal && header && isReservedHeader(first.name))
      problem(first.at, "'" + first.name + "' is the gateway's own header and can't be set");
    if (s.values[1]->kind == Kind::text && !isHeaderValue(s.values[1]->name))
      problem(s.values[1]->at,
              "the value has a byte that can't stand in a header (line ends, NUL), or is longer than " +
                  std::to_string(kMaxHeaderValueBytes));
    value(first, Type::text);
    value(*s.values[1], Type::text);
    emit(header ? Op::setHeader : Op::tag, 0, s.at);
  }

  // --- expressions
  MaybeType value(const Expression& e, Type expected) {
    const MaybeType t = value(e);
    if (t && *t != expected)
      problem(e.at, "this must be " + std::string(nameOf(expected)) + ", and is " + std::string(nameOf(*t)));
    return expected;
  }

  MaybeType value(const Expression& e) {
    switch (e.kind) {
      case Kind::integer: emit(Op::pushInteger, internInteger(e.number, e.at), e.at); return Type::integer;
      case Kind::duration: emit(Op::pushDuration, internInteger(e.number, e.at), e.at); return Type::duration;
      case Kind::boolean:
        emit(Op::pushBoolean, static_cast<std::uint32_t>(e.number), e.at);
        return Type::boolean;
      case Kind::text: emit(Op::pushText, internText(e.name, e.at), e.at); return Type::text;
      case Kind::name: return emitName(e);
      case Kind::call: return call(e);
      case Kind::unary: return unary(e);
      case Kind::binary: return binary(e);
      case Kind::set: problem(e.at, "a set stands right of `in` only"); return std::nullopt;
    }
    return std::nullopt;
  }

  MaybeType emitName(const Expression& e) {
    if (const Local* l = local(e.name)) {
      emit(Op::load, l->slot, e.at);
      return l->type;
    }
    if (const auto c = constants_.find(e.name); c != constants_.end()) {
      const Expression* literal = unit_.constants[c->second].value.get();
      return literal && literal->kind <= Kind::boolean ? value(*literal) : std::nullopt;
    }
    for (std::uint8_t f = 0; f < kFields; ++f) {
      const Field field = static_cast<Field>(f);
      if (nameOf(field) != e.name) continue;
      if (!allowedIn(field, handler_)) {
        problem(e.at, "'" + e.name + "' is not known in `on " + std::string(nameOf(handler_)) + "`");
        return typeOf(field);
      }
      emit(Op::field, f, e.at);
      return typeOf(field);
    }
    if (indexOf(unit_.tables, e.name) || indexOf(unit_.sets, e.name))
      problem(e.at, "'" + e.name + "' is a table or set: use it with `in`, or a table with lookup()");
    else reportUnknown(e.name, e.at, "name");
    return std::nullopt;
  }

  MaybeType call(const Expression& e) {
    if (e.name == "lookup") {
      if (e.parts.size() != 2 || e.parts[0]->kind != Kind::name) {
        problem(e.at, "lookup() takes a table's name and a text");
        return Type::text;
      }
      const auto table = indexOf(unit_.tables, e.parts[0]->name);
      if (!table) reportUnknown(e.parts[0]->name, e.parts[0]->at, "table");
      value(*e.parts[1], Type::text);
      emit(Op::lookUp, table.value_or(0), e.at);
      return Type::text;
    }
    const auto& all = builtins();
    const auto b = std::find_if(all.begin(), all.end(), [&](const Builtin& x) { return x.name == e.name; });
    if (b == all.end()) {
      reportUnknown(e.name, e.at, "function");
      return std::nullopt;
    }
    if (b->op == Op::responseHeader && handler_ != Handler::response)
      problem(e.at, "answer_header() is known in `on answer` only");
    if (e.parts.size() != b->parameters.size()) {
      std::string takes;
      for (const Type t : b->parameters) takes += (takes.empty() ? "" : ", ") + std::string(nameOf(t));
      problem(e.at, e.name + "(" + takes + ") is called with " + std::to_string(e.parts.size()) + " values");
      return b->result;
    }
    for (std::size_t i = 0; i < e.parts.size(); ++i) value(*e.parts[i], b->parameters[i]);
    emit(b->op, 0, e.at);
    return b->result;
  }

  MaybeType unary(const Expression& e) {
    if (e.name == "not") {
      value(*e.parts[0], Type::boolean);
      emit(Op::invert, 0, e.at);
      return Type::boolean;
    }
    const MaybeType t = value(*e.parts[0]);
    if (t && *t != Type::integer && *t != Type::duration) problem(e.at, "`-` takes an integer or a duration");
    emit(Op::negate, 0, e.at);
    return t;
  }

  MaybeType binary(const Expression& e) {
    const Expression& left = *e.parts[0];
    const Expression& right = *e.parts[1];
    if (e.name == "and" || e.name == "or") {
      // Short circuit: the right side is not evaluated if the left one determines the result.
      value(left, Type::boolean);
      const bool isAnd = e.name == "and";
      const std::uint32_t shortCircuit = emit(isAnd ? Op::jumpIfFalse : Op::jumpIfTrue, 0, e.at);
      value(right, Type::boolean);
      const std::uint32_t end = emit(Op::jump, 0, e.at);
      patchJump(shortCircuit);
      emit(Op::pushBoolean, isAnd ? 0 : 1, e.at);
      patchJump(end);
      return Type::boolean;
    }
    if (e.name == "matches") {
      value(left, Type::text);
      if (right.kind != Kind::text)
        problem(right.at, "a pattern is a text in quotes, as in r\"^/a/[0-9]+$\"");
      else emit(Op::matches, pattern(right), e.at);
      return Type::boolean;
    }
    if (e.name == "in") return in(e, left, right);
    const MaybeType a = value(left);
    const MaybeType b = value(right);
    if (!a || !b) return e.name == "+" || e.name == "-" ? a : MaybeType(Type::boolean);
    const auto reportTypeMismatch = [&]() -> MaybeType {
      problem(e.at, "'" + e.name + "' does not take " + std::string(nameOf(*a)) + " and " +
                        std::string(nameOf(*b)));
      return std::nullopt;
    };
    const bool numbers = *a != Type::text && *a != Type::boolean && *b != Type::text && *b != Type::boolean;
    if (e.name == "==" || e.name == "!=") {
      if (*a != *b) {
        reportTypeMismatch();
        return Type::boolean;
      }
      const bool text = *a == Type::text;
      if (e.name == "==") emit(text ? Op::textEqual : Op::equal, 0, e.at);
      else emit(text ? Op::textNotEqual : Op::notEqual, 0, e.at);
      return Type::boolean;
    }
    if (e.name == "<" || e.name == "<=" || e.name == ">" || e.name == ">=") {
      if (*a != *b || !numbers) {
        reportTypeMismatch();
        return Type::boolean;
      }
      // The bytecode has no `greater`: a > b is emitted as not (a <= b), which is equal for numbers.
      const bool negated = e.name[0] == '>';
      emit((e.name.size() == 1) != negated ? Op::less : Op::lessEqual, 0, e.at);
      if (negated) emit(Op::invert, 0, e.at);
      return Type::boolean;
    }
    if (e.name == "+" && *a == Type::text && *b == Type::text) {
      emit(Op::concatenate, 0, e.at);
      return Type::text;
    }
    if (!numbers) return reportTypeMismatch();
    if (e.name == "+" || e.name == "-") {
      if (*a != *b) return reportTypeMismatch();
      emit(e.name == "+" ? Op::add : Op::subtract, 0, e.at);
      return a;
    }
    if (*b != Type::integer) return reportTypeMismatch();
    if (e.name == "%") {
      if (*a != Type::integer) return reportTypeMismatch();
      emit(Op::modulo, 0, e.at);
      return Type::integer;
    }
    emit(e.name == "*" ? Op::multiply : Op::divide, 0, e.at);
    return a;
  }

  MaybeType in(const Expression& e, const Expression& left, const Expression& right) {
    value(left, Type::text);
    if (right.kind == Kind::set) {
      std::vector<std::string> items;
      for (const auto& part : right.parts) items.push_back(part->name);
      emit(Op::inSet, intern(program_.sets, items, kMaxConstants, "sets", right.at), e.at);
    } else if (right.kind != Kind::name) {
      problem(right.at, "right of `in` stands a table, a set, or {\"a\", \"b\"}");
    } else if (const auto table = indexOf(unit_.tables, right.name)) {
      emit(Op::inTable, *table, e.at);
    } else if (const auto set = indexOf(unit_.sets, right.name)) {
      emit(Op::inSet, intern(program_.sets, unit_.sets[*set].items, kMaxConstants, "sets", right.at), e.at);
    } else {
      reportUnknown(right.name, right.at, "table or set");
    }
    return Type::boolean;
  }

  const Unit& unit_;
  Program& program_;
  std::vector<Problem>& problems_;
  std::map<std::string, std::size_t> constants_;
  std::map<std::string, std::uint32_t> textAt_;
  std::map<std::int64_t, std::uint32_t> integerAt_;
  Handler handler_{};
  HandlerCode code_;
  std::vector<Local> locals_;
  std::vector<std::vector<std::uint32_t>> loops_;  // the `break` jumps of each enclosing loop
  Position lastPosition_;                          // of the latest instruction
  bool limitReached_ = false;
};

void checkNames(const Unit& u, std::vector<Problem>& problems) {
  std::map<std::string, Position> seen;
  const auto checkUnique = [&](const Unit::Named& n) {
    const auto [it, inserted] = seen.emplace(n.name, n.at);
    if (!inserted)
      problems.push_back(
          {n.at, "'" + n.name + "' stands on line " + std::to_string(it->second.line) + " already"});
    for (std::uint8_t f = 0; f < kFields; ++f)
      if (nameOf(static_cast<Field>(f)) == n.name)
        problems.push_back({n.at, "'" + n.name + "' is the name of a field"});
  };
  for (const auto& t : u.tables) checkUnique(t);
  for (const auto& s : u.sets) checkUnique(s);
  for (const auto& c : u.constants) {
    checkUnique(c);
    if (c.value && c.value->kind > Kind::boolean)
      problems.push_back({c.at, "a constant is a number, a duration, a text, true or false"});
  }
  if (u.tables.size() > kMaxTables)
    problems.push_back({u.tables.back().at, "more than " + std::to_string(kMaxTables) + " tables"});
  for (const auto& t : u.tables)
    if (!isPlainFileName(t.file))
      problems.push_back({t.at, "a table's file is a plain name of a file beside the hook"});
}

}  // namespace

const std::vector<Builtin>& builtins() {
  static const std::vector<Builtin> kAll = {
      {"header", Op::header, {Type::text}, Type::text},
      {"has_header", Op::hasHeader, {Type::text}, Type::boolean},
      {"answer_header", Op::responseHeader, {Type::text}, Type::text},
      {"parameter", Op::parameter, {Type::text}, Type::text},
      {"body", Op::body, {Type::integer, Type::integer}, Type::text},
      {"tag_value", Op::tagValue, {Type::text}, Type::text},
      {"length", Op::length, {Type::text}, Type::integer},
      {"lower", Op::lower, {Type::text}, Type::text},
      {"part", Op::substring, {Type::text, Type::integer, Type::integer}, Type::text},
      {"find", Op::find, {Type::text, Type::text}, Type::integer},
      {"starts_with", Op::startsWith, {Type::text, Type::text}, Type::boolean},
      {"ends_with", Op::endsWith, {Type::text, Type::text}, Type::boolean},
      {"contains", Op::contains, {Type::text, Type::text}, Type::boolean},
      {"to_integer", Op::toInteger, {Type::text, Type::integer}, Type::integer},
      {"to_text", Op::toText, {Type::integer}, Type::text},
      {"milliseconds", Op::milliseconds, {Type::duration}, Type::integer},
  };
  return kAll;
}

std::optional<Compiled> compile(std::string_view source, std::vector<Problem>& problems) {
  const std::size_t before = problems.size();
  Unit unit = parse(source, problems);
  if (problems.size() == before) {
    if (!isHeaderName(unit.name))
      problems.push_back({{1, 1}, "the hook's name is a word of 1 to 64 letters, digits, '-' and '_'"});
    checkNames(unit, problems);
  }
  Compiled out;
  if (problems.size() == before) {
    out.program.name = unit.name;
    for (const auto& t : unit.tables) out.program.tables.push_back(t.file);
    Emitter emitter(unit, out.program, problems);
    for (std::size_t h = 0; h < kHandlers; ++h)
      if (unit.handlers[h]) emitter.emitHandler(static_cast<Handler>(h), *unit.handlers[h]);
  }
  std::stable_sort(problems.begin() + static_cast<std::ptrdiff_t>(before), problems.end(),
                   [](const Problem& a, const Problem& b) {
                     return a.at.line != b.at.line ? a.at.line < b.at.line : a.at.column < b.at.column;
                   });
  if (problems.size() > before) return std::nullopt;
  out.expectations = std::move(unit.expectations);
  return out;
}

}  // namespace finchstile::hook
