#include "hook/program.hpp"

#include <iterator>

namespace finchstile::hook {
namespace {

constexpr std::string_view kOpNames[] = {
    "halt",      "push.integer", "push.duration", "push.text",     "push.boolean",
    "load",      "store",        "drop",          "add",           "subtract",
    "multiply",  "divide",       "modulo",        "negate",        "equal",
    "not.equal", "less",         "less.equal",    "text.equal",    "text.not.equal",
    "invert",    "jump",         "jump.if.false", "jump.if.true",  "concatenate",
    "length",    "lower",        "part",          "find",          "starts.with",
    "ends.with", "contains",     "to.integer",    "to.text",       "milliseconds",
    "field",     "header",       "has.header",    "answer.header", "parameter",
    "body",      "tag.value",    "matches",       "in.table",      "in.set",
    "look.up",   "reject",       "set.header",    "tag",           "count",
    "log"};
static_assert(std::size(kOpNames) == kOps);

}  // namespace

std::string_view nameOf(Op op) { return kOpNames[static_cast<std::size_t>(op)]; }

std::string_view nameOf(Field field) {
  static constexpr std::string_view kNames[] = {"class",       "method",    "path",    "query",  "tenant",
                                                "body_length", "time_left", "attempt", "status", "from_host"};
  static_assert(std::size(kNames) == kFields);
  return kNames[static_cast<std::size_t>(field)];
}

Type typeOf(Field field) {
  switch (field) {
    case Field::bodyLength:
    case Field::attempt:
    case Field::status: return Type::integer;
    case Field::timeLeft: return Type::duration;
    case Field::fromHost: return Type::boolean;
    default: return Type::text;
  }
}

bool allowedIn(Field field, Handler handler) {
  if (field == Field::attempt) return handler != Handler::request;
  if (field == Field::status || field == Field::fromHost) return handler == Handler::response;
  return true;
}

bool operator==(const HandlerCode& a, const HandlerCode& b) {
  return a.entry == b.entry && a.end == b.end && a.locals == b.locals;
}

bool isPlainFileName(std::string_view name) {
  return !name.empty() && name.front() != '.' && name.find('/') == std::string_view::npos &&
         name.find('\0') == std::string_view::npos;
}

}  // namespace finchstile::hook
