#include <algorithm>

#include "hook/lexer.hpp"
#include "hook/syntax.hpp"
#include "operator/reader.hpp"  // for nearestOf

namespace finchstile::hook {
namespace {

using Kind = Expression::Kind;

constexpr std::size_t kMaxTreeDepth = 4 * kMaxDepth;

// Thrown after a syntax error was added to the problems. Caught by the enclosing list of statements or
// declarations, which resumes after the error.
struct SyntaxErrorFound {};

class Parser {
 public:
  Parser(std::vector<Token> tokens, std::vector<Problem>& problems)
      : problems_(problems), tokens_(std::move(tokens)) {}

  Unit run() {
    Unit u;
    try {
      word("hook");
      u.name = text("the hook's name");
      sign(";");
    } catch (const SyntaxErrorFound&) {
      skipTo(true);
    }
    while (!at(Token::Kind::end) && problems_.size() < kMaxProblems) {
      try {
        declaration(u);
      } catch (const SyntaxErrorFound&) {
        skipTo(true);
      }
    }
    return u;
  }

 private:
  // --- tokens
  const Token& now() const { return tokens_[i_]; }
  bool at(Token::Kind kind) const { return now().kind == kind; }
  bool isSign(std::string_view s) const { return at(Token::Kind::sign) && now().text == s; }
  bool isWord(std::string_view s) const { return at(Token::Kind::name) && now().text == s; }
  Token take() {
    Token t = tokens_[i_];
    if (i_ + 1 < tokens_.size()) ++i_;
    return t;
  }
  bool takeSign(std::string_view s) { return isSign(s) && (take(), true); }
  bool takeWord(std::string_view s) { return isWord(s) && (take(), true); }

  std::string shown() const {
    if (at(Token::Kind::end)) return "the end of the file";
    if (at(Token::Kind::text)) return "a text";
    if (at(Token::Kind::integer)) return "a number";
    if (at(Token::Kind::duration)) return "a duration";
    return "'" + now().text.substr(0, 40) + "'";
  }
  [[noreturn]] void failExpected(const std::string& what) {
    problems_.push_back({now().at, "expected " + what + ", found " + shown()});
    throw SyntaxErrorFound{};
  }
  void sign(std::string_view s) {
    if (!takeSign(s)) failExpected("'" + std::string(s) + "'");
  }
  void word(std::string_view s) {
    if (!takeWord(s)) failExpected("'" + std::string(s) + "'");
  }
  std::string text(const std::string& what) {
    if (!at(Token::Kind::text)) failExpected(what + " as a text in quotes");
    return take().text;
  }
  std::string name(const std::string& what) {
    if (!at(Token::Kind::name)) failExpected(what);
    return take().text;
  }
  std::int64_t integer(const std::string& what) {
    if (!at(Token::Kind::integer)) failExpected(what + " as a number");
    return take().number;
  }
  // Error recovery: skips past the next ';' or the end of a block; with `top`, to the next declaration.
  void skipTo(bool top) {
    while (!at(Token::Kind::end)) {
      if (top && (isWord("on") || isWord("table") || isWord("const") || isWord("expect")) &&
          now().at.column == 1)
        return;
      if (!top && isSign("}")) return;
      if (!top && isSign("{")) return skipBlock();
      if (takeSign(";")) {
        if (!top || now().at.column == 1) return;
        continue;
      }
      take();
    }
  }

  void skipBlock() {
    std::size_t open = 0;
    while (!at(Token::Kind::end)) {
      if (isSign("{")) ++open;
      const bool closes = isSign("}");
      take();
      if (closes && --open == 0) return;
    }
  }

  // Counts one level of nested blocks and brackets during its lifetime, which bounds the parser's recursion.
  struct NestingGuard {
    explicit NestingGuard(Parser& p) : parser(p) {
      if (++parser.depth_ <= kMaxDepth) return;
      parser.problems_.push_back({parser.now().at, "blocks and brackets stand within one another more than " +
                                                       std::to_string(kMaxDepth) + " deep"});
      --parser.depth_;
      throw SyntaxErrorFound{};
    }
    ~NestingGuard() { --parser.depth_; }
    Parser& parser;
  };

  // --- declarations
  void declaration(Unit& u) {
    const Position here = now().at;
    if (takeWord("table")) {
      Unit::Named t;
      t.at = here;
      t.name = name("the table's name");
      word("from");
      t.file = text("the table's file");
      sign(";");
      u.tables.push_back(std::move(t));
    } else if (takeWord("set")) {
      Unit::Named s;
      s.at = here;
      s.name = name("the set's name");
      sign("=");
      s.items = items();
      sign(";");
      u.sets.push_back(std::move(s));
    } else if (takeWord("const")) {
      Unit::Named c;
      c.at = here;
      c.name = name("the constant's name");
      sign("=");
      c.value = expression();
      sign(";");
      u.constants.push_back(std::move(c));
    } else if (takeWord("on")) {
      handler(u, here);
    } else if (takeWord("expect")) {
      u.expectations.push_back(expectation(here));
    } else {
      failExpected("'table', 'set', 'const', 'on' or 'expect'");
    }
  }

  void handler(Unit& u, Position here) {
    std::size_t which = kHandlers;
    for (std::size_t h = 0; h < kHandlers; ++h)
      if (isWord(nameOf(static_cast<Handler>(h)))) which = h;
    if (which == kHandlers) failExpected("'request', 'attempt' or 'answer'");
    take();
    Block b = block();
    if (u.handlers[which])
      problems_.push_back({here, "a second handler of the kind; the first is on line " +
                                     std::to_string(u.handlerAt[which].line)});
    u.handlerAt[which] = here;
    u.handlers[which] = std::move(b);
  }

  std::vector<std::string> items() {
    std::vector<std::string> out;
    sign("{");
    if (!isSign("}")) {
      do {
        out.push_back(text("an item"));
      } while (takeSign(","));
    }
    sign("}");
    return out;
  }

  Expectation expectation(Position here) {
    Expectation e;
    e.at = here;
    e.title = text("what is expected");
    sign("{");
    while (!takeSign("}")) {
      if (at(Token::Kind::end)) failExpected("'}'");
      if (takeWord("then")) expectedResult(e);
      else givenInput(e);
      sign(";");
    }
    return e;
  }
  Expectation::Pair pair() {
    Expectation::Pair p;
    p.name = text("a name");
    sign("=");
    p.value = text("a value");
    return p;
  }
  void givenInput(Expectation& e) {
    if (takeWord("class")) e.className = text("the class");
    else if (takeWord("method")) e.method = text("the method");
    else if (takeWord("path")) e.path = text("the path");
    else if (takeWord("query")) e.query = text("the query");
    else if (takeWord("tenant")) e.tenant = text("the tenant");
    else if (takeWord("body")) e.body = text("the body");
    else if (takeWord("header")) e.headers.push_back(pair());
    else if (takeWord("answer_header")) e.responseHeaders.push_back(pair());
    else if (takeWord("attempt")) e.attempt = integer("the attempt's number");
    else if (takeWord("status")) e.status = integer("the answer's status");
    else if (takeWord("time_left")) {
      if (!at(Token::Kind::duration)) failExpected("a duration, as in 500ms");
      e.timeLeftNs = take().number;
    } else {
      failExpected(
          "class, method, path, query, tenant, body, header, answer_header, attempt, status, time_left or "
          "then");
    }
  }
  void expectedResult(Expectation& e) {
    if (takeWord("pass")) return;
    if (takeWord("reject")) e.reject = integer("the status");
    else if (takeWord("fault")) e.fault = true;
    else if (takeWord("header")) e.setHeaders.push_back(pair());
    else if (takeWord("no")) unsetHeader(e);
    else if (takeWord("tag")) e.tags.push_back(pair());
    else if (takeWord("count")) e.counts.push_back(text("the counter"));
    else failExpected("pass, reject, fault, header, no header, tag or count");
  }

  void unsetHeader(Expectation& e) {
    word("header");
    e.noHeaders.push_back(text("a name"));
  }

  // --- statements
  Block block() {
    const NestingGuard guard(*this);
    Block out;
    sign("{");
    while (!takeSign("}")) {
      if (at(Token::Kind::end)) failExpected("'}'");
      if (problems_.size() >= kMaxProblems) throw SyntaxErrorFound{};
      try {
        out.push_back(statement());
      } catch (const SyntaxErrorFound&) {
        if (depth_ >= kMaxDepth) throw;
        skipTo(false);
      }
    }
    return out;
  }

  std::unique_ptr<Statement> statement() {
    auto s = std::make_unique<Statement>();
    s->at = now().at;
    if (takeWord("let")) {
      s->kind = Statement::Kind::let;
      s->name = name("a variable's name");
      sign("=");
      s->values.push_back(expression());
      sign(";");
    } else if (takeWord("if")) {
      conditional(*s);
    } else if (takeWord("while")) {
      s->kind = Statement::Kind::whileLoop;
      s->values.push_back(expression());
      s->body = block();
    } else if (takeWord("for")) {
      s->kind = Statement::Kind::forLoop;
      s->name = name("a variable's name");
      word("in");
      s->values.push_back(sum());
      sign("..");
      s->values.push_back(sum());
      s->body = block();
    } else if (takeWord("break")) {
      s->kind = Statement::Kind::breakLoop;
      sign(";");
    } else if (takeWord("pass")) {
      s->kind = Statement::Kind::pass;
      sign(";");
    } else if (takeWord("set")) {
      word("header");
      action(*s, "set header", 2);
    } else if (isWord("reject") || isWord("tag")) {
      action(*s, take().text, 2);
    } else if (isWord("count") || isWord("log")) {
      action(*s, take().text, 1);
    } else if (at(Token::Kind::name)) {
      s->kind = Statement::Kind::assign;
      const Position here = now().at;
      s->name = take().text;
      if (isSign("(")) noSuchAction(s->name, here);
      sign("=");
      s->values.push_back(expression());
      sign(";");
    } else {
      failExpected("a statement");
    }
    return s;
  }

  [[noreturn]] void noSuchAction(const std::string& name, Position here) {
    std::string what = "there is no action '" + name.substr(0, 40) + "'";
    if (const auto near = nearestOf(name, {"reject", "tag", "count", "log", "set header"}); !near.empty())
      what += "; did you mean '" + std::string(near) + "'?";
    problems_.push_back({here, std::move(what)});
    throw SyntaxErrorFound{};
  }

  void conditional(Statement& s) {
    s.kind = Statement::Kind::conditional;
    ExpressionPtr condition = expression();
    Block body = block();
    s.branches.push_back({std::move(condition), std::move(body)});
    while (takeWord("else")) {
      if (takeWord("if")) {
        condition = expression();
        body = block();
        s.branches.push_back({std::move(condition), std::move(body)});
        continue;
      }
      s.branches.push_back({nullptr, block()});
      return;
    }
  }

  void action(Statement& s, std::string name, std::size_t arguments) {
    s.kind = Statement::Kind::action;
    s.name = std::move(name);
    sign("(");
    for (std::size_t i = 0; i < arguments; ++i) {
      if (i > 0) sign(",");
      s.values.push_back(expression());
    }
    sign(")");
    sign(";");
  }

  // --- expressions, from the loosest binding to the tightest
  ExpressionPtr node(Kind kind, Position at, std::string name) {
    auto e = std::make_unique<Expression>();
    e->kind = kind;
    e->at = at;
    e->name = std::move(name);
    return e;
  }
  void add(Expression& to, ExpressionPtr part) {
    to.depth = std::max(to.depth, part->depth + 1);
    // A chain "a + a + a ..." produces a tree as deep as the chain is long, without nested brackets.
    if (to.depth > kMaxTreeDepth) {
      problems_.push_back({to.at, "the expression is too long; use variables"});
      throw SyntaxErrorFound{};
    }
    to.parts.push_back(std::move(part));
  }
  ExpressionPtr binary(Token op, ExpressionPtr left, ExpressionPtr right) {
    auto e = node(Kind::binary, op.at, std::move(op.text));
    add(*e, std::move(left));
    add(*e, std::move(right));
    return e;
  }

  ExpressionPtr expression() {
    const NestingGuard guard(*this);
    ExpressionPtr left = conjunction();
    while (isWord("or")) {
      Token op = take();
      left = binary(std::move(op), std::move(left), conjunction());
    }
    return left;
  }
  ExpressionPtr conjunction() {
    ExpressionPtr left = negation();
    while (isWord("and")) {
      Token op = take();
      left = binary(std::move(op), std::move(left), negation());
    }
    return left;
  }
  ExpressionPtr negation() {
    if (!isWord("not")) return comparison();
    const NestingGuard guard(*this);
    auto e = node(Kind::unary, now().at, "not");
    take();
    add(*e, negation());
    return e;
  }
  ExpressionPtr comparison() {
    ExpressionPtr left = sum();
    for (const std::string_view s : {"==", "!=", "<=", ">=", "<", ">"})
      if (isSign(s)) {
        Token op = take();
        return binary(std::move(op), std::move(left), sum());
      }
    if (isWord("matches")) {
      Token op = take();
      return binary(std::move(op), std::move(left), primary());
    }
    if (isWord("in")) {
      Token op = take();
      if (!isSign("{")) return binary(std::move(op), std::move(left), primary());
      auto set = node(Kind::set, now().at, "");
      for (std::string& item : items()) add(*set, node(Kind::text, set->at, std::move(item)));
      return binary(std::move(op), std::move(left), std::move(set));
    }
    return left;
  }
  ExpressionPtr sum() {
    ExpressionPtr left = product();
    while (isSign("+") || isSign("-")) {
      Token op = take();
      left = binary(std::move(op), std::move(left), product());
    }
    return left;
  }
  ExpressionPtr product() {
    ExpressionPtr left = unary();
    while (isSign("*") || isSign("/") || isSign("%")) {
      Token op = take();
      left = binary(std::move(op), std::move(left), unary());
    }
    return left;
  }
  ExpressionPtr unary() {
    if (!isSign("-")) return primary();
    const NestingGuard guard(*this);
    auto e = node(Kind::unary, now().at, "-");
    take();
    ExpressionPtr of = unary();
    // Folded, because a constant must be a literal.
    if (of->kind == Kind::integer || of->kind == Kind::duration) {
      of->number = -of->number;
      return of;
    }
    add(*e, std::move(of));
    return e;
  }
  ExpressionPtr primary() {
    const Position here = now().at;
    if (at(Token::Kind::integer) || at(Token::Kind::duration)) {
      auto e = node(at(Token::Kind::integer) ? Kind::integer : Kind::duration, here, "");
      e->number = take().number;
      return e;
    }
    if (at(Token::Kind::text)) return node(Kind::text, here, take().text);
    if (takeSign("(")) {
      ExpressionPtr e = expression();
      sign(")");
      return e;
    }
    if (isWord("true") || isWord("false")) {
      auto e = node(Kind::boolean, here, "");
      e->number = take().text == "true";
      return e;
    }
    auto e = node(Kind::name, here, name("a value"));
    if (!takeSign("(")) return e;
    e->kind = Kind::call;
    if (!isSign(")")) {
      do {
        add(*e, expression());
      } while (takeSign(","));
    }
    sign(")");
    return e;
  }

  std::vector<Problem>& problems_;
  std::vector<Token> tokens_;
  std::size_t i_ = 0;
  std::size_t depth_ = 0;
};

}  // namespace

Unit parse(std::string_view source, std::vector<Problem>& problems) {
  const std::size_t before = problems.size();
  std::vector<Token> tokens = lex(source, problems);
  // After an invalid token the parser would report spurious errors.
  if (problems.size() > before) return {};
  return Parser(std::move(tokens), problems).run();
}

}  // namespace finchstile::hook
