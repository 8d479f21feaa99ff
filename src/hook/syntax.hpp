// The syntax tree of a hook's source. The parser does not check names and types; the compiler does.
#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "hook/source.hpp"

namespace finchstile::hook {

// The events of a request that a hook handles. The language calls a response `answer`.
enum class Handler : std::uint8_t { request, attempt, response };
inline constexpr std::size_t kHandlers = 3;
std::string_view nameOf(Handler handler);  // in the language

struct Expression {
  enum class Kind : std::uint8_t {
    integer,
    duration,
    text,
    boolean,  // literals: `number`, or `name` for a text
    name,     // a variable, a constant or a field
    call,     // `name` with arguments
    unary,    // `name`: "-" or "not"
    binary,   // `name`: "+", "==", "and", "in", "matches", ...
    set       // {"a", "b"}: only to the right of `in`
  };
  Kind kind = Kind::integer;
  Position at;
  std::string name;
  std::int64_t number = 0;
  std::vector<std::unique_ptr<Expression>> parts;
  std::size_t depth = 1;  // of this subtree, including this node
};
using ExpressionPtr = std::unique_ptr<Expression>;

struct Statement;
using Block = std::vector<std::unique_ptr<Statement>>;

struct Branch {
  ExpressionPtr condition;  // null: `else`
  Block body;
};

struct Statement {
  enum class Kind : std::uint8_t {
    let,
    assign,
    conditional,  // if, else if, else
    whileLoop,
    forLoop,
    breakLoop,
    pass,
    action  // reject, set header, tag, count, log
  };
  Kind kind = Kind::pass;
  Position at;
  std::string name;                   // of the variable, or of the action ("reject", "set header")
  std::vector<ExpressionPtr> values;  // of let and assign; the condition; the bounds; the arguments
  std::vector<Branch> branches;       // of a conditional
  Block body;                         // of loops
};

// An `expect` block: a request and the expected results of the handlers.
struct Expectation {
  struct Pair {
    std::string name, value;
  };
  std::string title;
  Position at;
  std::string className;
  std::string method = "GET";
  std::string path = "/";
  std::string query;
  std::string tenant;
  std::string body;
  std::vector<Pair> headers;
  std::vector<Pair> responseHeaders;
  std::int64_t timeLeftNs = 1'000'000'000;
  std::optional<std::int64_t> attempt;  // if set, handler `attempt` runs too
  std::optional<std::int64_t> status;   // if set, handler `answer` runs too

  // The expected results, all of which must hold. An unexpected rejection or fault is also a failure.
  std::optional<std::int64_t> reject;
  bool fault = false;
  std::vector<Pair> setHeaders;
  std::vector<Pair> tags;
  std::vector<std::string> counts;
  std::vector<std::string> noHeaders;
};

// The syntax tree of a complete source.
struct Unit {
  struct Named {
    std::string name;
    Position at;
    std::string file;                // of a table
    std::vector<std::string> items;  // of a set
    ExpressionPtr value;             // of a constant: a literal
  };
  std::string name;
  std::vector<Named> tables;
  std::vector<Named> sets;
  std::vector<Named> constants;
  std::array<std::optional<Block>, kHandlers> handlers;
  std::array<Position, kHandlers> handlerAt{};
  std::vector<Expectation> expectations;
};

// Adds all errors to `problems`. Continues after an error where possible, so that one run reports most errors
// of a file.
Unit parse(std::string_view source, std::vector<Problem>& problems);

}  // namespace finchstile::hook
