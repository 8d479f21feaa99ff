#include "hook/interpreter.hpp"

#include <algorithm>
#include <charconv>
#include <functional>
#include <limits>

#include "hook/headers.hpp"

namespace finchstile::hook {
namespace {

// Costs in bytes of lookups and matches, in addition to the bytes of their texts.
constexpr std::size_t kHeaderLookupBytes = 64;
constexpr std::size_t kTableLookupBytes = 16;
constexpr std::size_t kTagLookupBytes = 16;
constexpr std::size_t kMatchBytes = 64;

constexpr std::size_t kMaxIntegerDigits = 32;  // upper limit of the charge of toInteger
constexpr std::size_t kIntegerTextBytes = 20;  // sufficient for any 64-bit number
constexpr std::int64_t kNanosecondsPerMillisecond = 1'000'000;
constexpr std::int64_t kMinRejectStatus = 400;
constexpr std::int64_t kMaxRejectStatus = 499;
constexpr std::int64_t kUnavailableStatus = 503;

int hexDigit(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return -1;
}

// The encoded value of a query parameter; empty if there is none.
std::string_view rawParameter(std::string_view query, std::string_view name) {
  while (!query.empty()) {
    const std::size_t end = std::min(query.find('&'), query.size());
    const std::string_view parameter = query.substr(0, end);
    query.remove_prefix(std::min(end + 1, query.size()));
    const std::size_t equals = std::min(parameter.find('='), parameter.size());
    if (parameter.substr(0, equals) == name) return parameter.substr(std::min(equals + 1, parameter.size()));
  }
  return {};
}

// Decodes '+' and percent escapes into `to`, which has room for raw.size() bytes. Returns the decoded size.
// Incomplete escapes stay as they are.
std::size_t decodeParameter(std::string_view raw, char* to) {
  std::size_t size = 0;
  for (std::size_t i = 0; i < raw.size(); ++i) {
    const bool escaped =
        raw[i] == '%' && i + 2 < raw.size() && hexDigit(raw[i + 1]) >= 0 && hexDigit(raw[i + 2]) >= 0;
    if (escaped) {
      to[size++] = static_cast<char>(hexDigit(raw[i + 1]) * 16 + hexDigit(raw[i + 2]));
      i += 2;
    } else {
      to[size++] = raw[i] == '+' ? ' ' : raw[i];
    }
  }
  return size;
}

// The part of `text` that lies within [from, from + count).
std::string_view clippedPart(std::string_view text, std::int64_t from, std::int64_t count) {
  if (from < 0 || count <= 0 || static_cast<std::uint64_t>(from) >= text.size()) return {};
  return text.substr(static_cast<std::size_t>(from), static_cast<std::size_t>(count));
}

bool isRejectStatus(std::int64_t status) {
  return (status >= kMinRejectStatus && status <= kMaxRejectStatus) || status == kUnavailableStatus;
}

struct TextValue {
  const char* data;
  std::uint64_t size;
};

}  // namespace

// Integers, durations and booleans use `number`. The verifier has proved the type of each value.
union Interpreter::Value {
  std::int64_t number;
  TextValue text;
};

// One run of a handler. Each operation is a function that takes the top of the stack, which is one past the
// topmost value, and returns the new top. An operation that faults sets `fault_`; the stack is then not used
// any more.
class Interpreter::Run {
 public:
  Run(Interpreter& interpreter, const Executable& executable, const RunInput& input, const RunBudget& budget)
      : executable_(executable),
        program_(executable.program()),
        input_(input),
        budget_(budget),
        stack_(interpreter.stack_.get()),
        locals_(interpreter.locals_.get()),
        arena_(interpreter.arena_.get()),
        result_(interpreter.result_),
        bytesLeft_(budget.bytes) {}

  void execute(const HandlerCode& handler) {
    clearResult();
    initializeLocals(handler);
    interpret(handler);
  }

 private:
  void clearResult() {
    result_.headerCount = 0;
    result_.tagCount = 0;
    result_.countCount = 0;
    result_.logCount = 0;
    result_.rejectStatus = 0;
    result_.rejectReason = {};
    result_.fault = Fault::none;
    result_.faultLine = 0;
  }

  void initializeLocals(const HandlerCode& handler) {
    for (std::size_t i = 0; i < handler.locals.size(); ++i) {
      if (handler.locals[i] == Type::text) locals_[i].text = {"", 0};
      else locals_[i].number = 0;
    }
  }

  void interpret(const HandlerCode& handler);
  void finish(std::size_t lastInstruction, std::uint64_t instructionsLeft);

  // --- values
  static Value* pushNumber(Value* top, std::int64_t number) {
    top->number = number;
    return top + 1;
  }
  static Value* pushText(Value* top, std::string_view text) {
    top->text = TextValue{text.data() != nullptr ? text.data() : "", text.size()};
    return top + 1;
  }
  // The value `depth` below the top: 1 is the topmost.
  static std::int64_t numberAt(const Value* top, std::size_t depth) { return (top - depth)->number; }
  static std::string_view textAt(const Value* top, std::size_t depth) {
    const TextValue& text = (top - depth)->text;
    return {text.data, text.size};
  }

  // Charges for bytes before they are accessed, so that no operation exceeds the budget. Returns false and
  // sets `fault_` if the budget is exhausted.
  bool charge(std::size_t bytes) {
    if (bytes <= bytesLeft_) {
      bytesLeft_ -= bytes;
      return true;
    }
    bytesLeft_ = 0;
    fault_ = Fault::bytes;
    return false;
  }

  // Allocates memory for a text in the arena, valid until the next run. Returns null and sets `fault_` if it
  // does not fit.
  char* allocate(std::size_t bytes) {
    if (bytes > kArenaBytes - arenaUsed_) {
      fault_ = Fault::arena;
      return nullptr;
    }
    char* const memory = arena_ + arenaUsed_;
    arenaUsed_ += bytes;
    return memory;
  }

  // --- numbers
  Value* add(Value* top) {
    std::int64_t& left = top[-2].number;
    if (__builtin_add_overflow(left, top[-1].number, &left)) fault_ = Fault::overflow;
    return top - 1;
  }
  Value* subtract(Value* top) {
    std::int64_t& left = top[-2].number;
    if (__builtin_sub_overflow(left, top[-1].number, &left)) fault_ = Fault::overflow;
    return top - 1;
  }
  Value* multiply(Value* top) {
    std::int64_t& left = top[-2].number;
    if (__builtin_mul_overflow(left, top[-1].number, &left)) fault_ = Fault::overflow;
    return top - 1;
  }
  Value* negate(Value* top) {
    std::int64_t& value = top[-1].number;
    if (__builtin_sub_overflow(std::int64_t{0}, value, &value)) fault_ = Fault::overflow;
    return top;
  }

  Value* divide(Value* top) {
    const std::int64_t divisor = numberAt(top, 1);
    const std::int64_t dividend = numberAt(top, 2);
    if (divisor == 0) {
      fault_ = Fault::divideByZero;
    } else if (divisor == -1) {
      // The lowest number divided by -1 does not fit, and the processor traps on it.
      return negate(top - 1);
    } else {
      top[-2].number = dividend / divisor;
    }
    return top - 1;
  }

  Value* modulo(Value* top) {
    const std::int64_t divisor = numberAt(top, 1);
    if (divisor == 0) fault_ = Fault::divideByZero;
    else if (divisor == -1) top[-2].number = 0;  // the processor traps on the lowest number
    else top[-2].number %= divisor;
    return top - 1;
  }

  // --- comparisons
  template <class Compare>
  static Value* compareNumbers(Value* top, Compare compare) {
    return pushNumber(top - 2, compare(numberAt(top, 2), numberAt(top, 1)));
  }

  template <class Compare>
  Value* compareTexts(Value* top, Compare compare) {
    const std::string_view right = textAt(top, 1);
    const std::string_view left = textAt(top, 2);
    if (!charge(std::min(left.size(), right.size()))) return top;
    return pushNumber(top - 2, compare(left, right));
  }

  static bool startsWith(std::string_view text, std::string_view prefix) {
    return text.substr(0, prefix.size()) == prefix;
  }
  static bool endsWith(std::string_view text, std::string_view suffix) {
    return text.size() >= suffix.size() && text.substr(text.size() - suffix.size()) == suffix;
  }

  // Pops a needle and a text, and pushes the result of `search(text, needle)`.
  template <class Search>
  Value* searchText(Value* top, Search search) {
    const std::string_view needle = textAt(top, 1);
    const std::string_view text = textAt(top, 2);
    // The standard library's search may compare the needle at every position of the text.
    const std::size_t comparisons =
        needle.size() > 1 ? text.size() * std::min<std::size_t>(needle.size(), 64) / 8 : 0;
    if (!charge(text.size() + comparisons)) return top;
    return pushNumber(top - 2, search(text, needle));
  }

  static bool containsText(std::string_view text, std::string_view needle) {
    return text.find(needle) != std::string_view::npos;
  }
  static std::int64_t positionOf(std::string_view text, std::string_view needle) {
    const std::size_t position = text.find(needle);
    return position == std::string_view::npos ? -1 : static_cast<std::int64_t>(position);
  }

  // --- texts
  Value* concatenate(Value* top) {
    const std::string_view right = textAt(top, 1);
    const std::string_view left = textAt(top, 2);
    const std::size_t size = left.size() + right.size();
    if (!charge(size)) return top;
    char* const text = allocate(size);
    if (text == nullptr) return top;
    std::copy(right.begin(), right.end(), std::copy(left.begin(), left.end(), text));
    return pushText(top - 2, {text, size});
  }

  static Value* length(Value* top) {
    return pushNumber(top - 1, static_cast<std::int64_t>(textAt(top, 1).size()));
  }

  Value* lower(Value* top) {
    const std::string_view text = textAt(top, 1);
    if (!charge(text.size())) return top;
    char* const lowered = allocate(text.size());
    if (lowered == nullptr) return top;
    std::transform(text.begin(), text.end(), lowered,
                   [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; });
    return pushText(top - 1, {lowered, text.size()});
  }

  static Value* substring(Value* top) {
    return pushText(top - 3, clippedPart(textAt(top, 3), numberAt(top, 2), numberAt(top, 1)));
  }

  Value* toInteger(Value* top) {
    const std::int64_t otherwise = numberAt(top, 1);
    const std::string_view text = textAt(top, 2);
    if (!charge(std::min(text.size(), kMaxIntegerDigits))) return top;
    const char* const textEnd = text.data() + text.size();
    std::int64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), textEnd, number);
    const bool valid = error == std::errc{} && end == textEnd;
    return pushNumber(top - 2, valid ? number : otherwise);
  }

  Value* toText(Value* top) {
    char* const text = allocate(kIntegerTextBytes);
    if (text == nullptr) return top;
    const char* const end = std::to_chars(text, text + kIntegerTextBytes, numberAt(top, 1)).ptr;
    return pushText(top - 1, {text, static_cast<std::size_t>(end - text)});
  }

  static Value* milliseconds(Value* top) {
    top[-1].number /= kNanosecondsPerMillisecond;
    return top;
  }

  // --- the request and its response
  Value* field(Value* top, Field field) const {
    switch (field) {
      case Field::className: return pushText(top, input_.className);
      case Field::method: return pushText(top, input_.method);
      case Field::path: return pushText(top, input_.path);
      case Field::query: return pushText(top, input_.query);
      case Field::tenant: return pushText(top, input_.tenant);
      case Field::bodyLength: return pushNumber(top, input_.bodyLength);
      case Field::timeLeft: return pushNumber(top, input_.timeLeftNs);
      case Field::attempt: return pushNumber(top, input_.attempt);
      case Field::status: return pushNumber(top, input_.responseStatus);
      case Field::fromHost: return pushNumber(top, input_.responseFromHost);
    }
    return top;
  }

  std::optional<std::string_view> findHeader(const HeaderSource* headers, std::string_view name) {
    if (!charge(kHeaderLookupBytes + name.size()) || headers == nullptr) return std::nullopt;
    return headers->header(name);
  }
  Value* header(Value* top, const HeaderSource* headers) {
    return pushText(top - 1, findHeader(headers, textAt(top, 1)).value_or(""));
  }
  Value* hasHeader(Value* top) {
    return pushNumber(top - 1, findHeader(input_.requestHeaders, textAt(top, 1)).has_value());
  }

  Value* parameter(Value* top) {
    const std::string_view name = textAt(top, 1);
    if (!charge(input_.query.size() + name.size())) return top;
    const std::string_view raw = rawParameter(input_.query, name);
    char* const decoded = allocate(raw.size());
    if (decoded == nullptr) return top;
    return pushText(top - 1, {decoded, decodeParameter(raw, decoded)});
  }

  Value* body(Value* top) {
    const std::string_view part = clippedPart(input_.body, numberAt(top, 2), numberAt(top, 1));
    if (!charge(part.size())) return top;
    return pushText(top - 2, part);
  }

  // The latest value of the tag applies. Tags of this run are later than those of the input.
  Value* tagValue(Value* top) {
    const std::string_view name = textAt(top, 1);
    std::string_view value;
    if (input_.tags != nullptr)
      for (const Tag& tag : *input_.tags)
        if (tag.name == name) value = tag.value;
    for (std::size_t i = 0; i < result_.tagCount; ++i)
      if (result_.tags[i].name == name) value = result_.tags[i].value;
    if (!charge(kTagLookupBytes + name.size())) return top;
    return pushText(top - 1, value);
  }

  // --- patterns, tables and sets
  Value* matches(Value* top, std::uint32_t pattern) {
    const std::string_view text = textAt(top, 1);
    // RE2 takes linear time, with a few steps for each byte.
    if (!charge(kMatchBytes + 4 * text.size())) return top;
    return pushNumber(top - 1, executable_.patternMatches(pattern, text));
  }
  Value* inTable(Value* top, std::uint32_t table) {
    const std::string_view key = textAt(top, 1);
    if (!charge(kTableLookupBytes + key.size())) return top;
    return pushNumber(top - 1, executable_.table(table).contains(key));
  }
  Value* inSet(Value* top, std::uint32_t set) {
    const std::string_view text = textAt(top, 1);
    if (!charge(kTableLookupBytes + text.size())) return top;
    return pushNumber(top - 1, executable_.setContains(set, text));
  }
  Value* lookUp(Value* top, std::uint32_t table) {
    const std::string_view key = textAt(top, 1);
    if (!charge(kTableLookupBytes + key.size())) return top;
    return pushText(top - 1, executable_.table(table).lookUp(key));
  }

  // --- results
  void reject(const Value* top) {
    const std::string_view reason = textAt(top, 1);
    const std::int64_t status = numberAt(top, 2);
    if (!input_.mayReject) {
      fault_ = Fault::rejectTooLate;
    } else if (!isRejectStatus(status)) {
      fault_ = Fault::rejectStatus;
    } else if (charge(reason.size())) {
      result_.rejectStatus = status;
      result_.rejectReason = reason;
    }
  }

  Value* setHeader(Value* top) {
    const std::string_view value = textAt(top, 1);
    const std::string_view name = textAt(top, 2);
    if (!charge(name.size() + value.size())) return top;
    if (!isHeaderName(name)) fault_ = Fault::headerName;
    else if (isReservedHeader(name)) fault_ = Fault::headerReserved;
    else if (!isHeaderValue(value)) fault_ = Fault::headerValue;
    else if (result_.headerCount == RunResult::kMaxHeaders) fault_ = Fault::results;
    else result_.headers[result_.headerCount++] = {name, value};
    return top - 2;
  }

  // Tags may be sent to hosts in a header line, so names and values follow the rules of header lines.
  Value* tag(Value* top) {
    const std::string_view value = textAt(top, 1);
    const std::string_view name = textAt(top, 2);
    if (!charge(name.size() + value.size())) return top;
    if (!isHeaderName(name)) fault_ = Fault::headerName;
    else if (!isHeaderValue(value)) fault_ = Fault::headerValue;
    else if (result_.tagCount == RunResult::kMaxTags) fault_ = Fault::results;
    else result_.tags[result_.tagCount++] = {name, value};
    return top - 2;
  }

  Value* count(Value* top, std::uint32_t counter) {
    if (result_.countCount == RunResult::kMaxCounts) fault_ = Fault::results;
    else result_.counts[result_.countCount++] = counter;
    return top;
  }

  Value* log(Value* top) {
    const std::string_view text = textAt(top, 1);
    if (!charge(text.size())) return top;
    if (result_.logCount == RunResult::kMaxLogs) fault_ = Fault::results;
    else result_.logs[result_.logCount++] = text;
    return top - 1;
  }

  const Executable& executable_;
  const Program& program_;
  const RunInput& input_;
  const RunBudget& budget_;
  Value* const stack_;
  Value* const locals_;
  char* const arena_;
  RunResult& result_;
  std::uint64_t bytesLeft_;
  std::size_t arenaUsed_ = 0;
  Fault fault_ = Fault::none;
};

// The loop's state is in local variables, which stay in registers. Operations that cannot fault end with
// `continue`, which skips the fault check.
void Interpreter::Run::interpret(const HandlerCode& handler) {
  const Instruction* const code = program_.code.data();
  const Instruction* next = code + handler.entry;
  Value* top = stack_;
  std::uint64_t instructionsLeft = budget_.instructions;
  while (instructionsLeft > 0) {
    --instructionsLeft;
    const Instruction instruction = *next++;
    const std::uint32_t k = operand(instruction);
    switch (static_cast<Op>(opByte(instruction))) {
      case Op::halt: return finish(static_cast<std::size_t>(next - code - 1), instructionsLeft);
      case Op::pushInteger:
      case Op::pushDuration: top = pushNumber(top, program_.integers[k]); continue;
      case Op::pushText: top = pushText(top, program_.texts[k]); continue;
      case Op::pushBoolean: top = pushNumber(top, k); continue;
      case Op::load: *top++ = locals_[k]; continue;
      case Op::store: locals_[k] = *--top; continue;
      case Op::drop: --top; continue;
      case Op::add: top = add(top); break;
      case Op::subtract: top = subtract(top); break;
      case Op::multiply: top = multiply(top); break;
      case Op::divide: top = divide(top); break;
      case Op::modulo: top = modulo(top); break;
      case Op::negate: top = negate(top); break;
      case Op::equal: top = compareNumbers(top, std::equal_to<>()); continue;
      case Op::notEqual: top = compareNumbers(top, std::not_equal_to<>()); continue;
      case Op::less: top = compareNumbers(top, std::less<>()); continue;
      case Op::lessEqual: top = compareNumbers(top, std::less_equal<>()); continue;
      case Op::textEqual: top = compareTexts(top, std::equal_to<>()); break;
      case Op::textNotEqual: top = compareTexts(top, std::not_equal_to<>()); break;
      case Op::startsWith: top = compareTexts(top, startsWith); break;
      case Op::endsWith: top = compareTexts(top, endsWith); break;
      case Op::contains: top = searchText(top, containsText); break;
      case Op::find: top = searchText(top, positionOf); break;
      case Op::invert: top[-1].number ^= 1; continue;
      case Op::jump: next = code + k; continue;
      case Op::jumpIfFalse:
        if ((--top)->number == 0) next = code + k;
        continue;
      case Op::jumpIfTrue:
        if ((--top)->number != 0) next = code + k;
        continue;
      case Op::concatenate: top = concatenate(top); break;
      case Op::length: top = length(top); continue;
      case Op::lower: top = lower(top); break;
      case Op::substring: top = substring(top); continue;
      case Op::toInteger: top = toInteger(top); break;
      case Op::toText: top = toText(top); break;
      case Op::milliseconds: top = milliseconds(top); continue;
      case Op::field: top = field(top, static_cast<Field>(k)); continue;
      case Op::header: top = header(top, input_.requestHeaders); break;
      case Op::hasHeader: top = hasHeader(top); break;
      case Op::responseHeader: top = header(top, input_.responseHeaders); break;
      case Op::parameter: top = parameter(top); break;
      case Op::body: top = body(top); break;
      case Op::tagValue: top = tagValue(top); break;
      case Op::matches: top = matches(top, k); break;
      case Op::inTable: top = inTable(top, k); break;
      case Op::inSet: top = inSet(top, k); break;
      case Op::lookUp: top = lookUp(top, k); break;
      case Op::reject:
        reject(top);
        return finish(static_cast<std::size_t>(next - code - 1), instructionsLeft);
      case Op::setHeader: top = setHeader(top); break;
      case Op::tag: top = tag(top); break;
      case Op::count: top = count(top, k); break;
      case Op::log: top = log(top); break;
    }
    if (fault_ != Fault::none) return finish(static_cast<std::size_t>(next - code - 1), instructionsLeft);
  }
  fault_ = Fault::instructions;
  finish(static_cast<std::size_t>(next - code), instructionsLeft);
}

// `lastInstruction`: the one that faulted, or the next one when the instruction budget was exhausted.
void Interpreter::Run::finish(std::size_t lastInstruction, std::uint64_t instructionsLeft) {
  result_.instructions = budget_.instructions - instructionsLeft;
  result_.bytes = budget_.bytes - bytesLeft_;
  if (fault_ == Fault::none) return;
  clearResult();
  result_.fault = fault_;
  result_.faultLine = lastInstruction < program_.lines.size() ? program_.lines[lastInstruction] : 0;
}

Interpreter::Interpreter()
    : stack_(new Value[kMaxStackValues]), locals_(new Value[kMaxLocals]), arena_(new char[kArenaBytes]) {}
Interpreter::~Interpreter() = default;

const RunResult& Interpreter::run(const Executable& executable, Handler handler, const RunInput& input,
                                  const RunBudget& budget) {
  Run(*this, executable, input, budget)
      .execute(*executable.program().handlers[static_cast<std::size_t>(handler)]);
  return result_;
}

}  // namespace finchstile::hook
