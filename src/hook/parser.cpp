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
struct SyntaxError {};

class Parser {
 public:
  Parser(std::vector<Token> tokens, std::vector<Problem>& problems)
      : problems_(problems), tokens_(std::move(tokens)) {}

  Unit run() {
    Unit u;
    try {
      expectKeyword("hook");
      u.name = expectText("the hook's name");
      expectSign(";");
    } catch (const SyntaxError&) {
      skipTo(true);
    }
    while (!at(Token::Kind::end) && problems_.size() < kMaxProblems) {
      try {
        declaration(u);
      } catch (const SyntaxError&) {
        skipTo(true);
      }
    }
    return u;
  }

 private:
  // --- tokens
  const Token& currentToken() const { return tokens_[index_]; }
  bool at(Token::Kind kind) const { return currentToken().kind == kind; }
  bool isSign(std::string_view s) const { return at(Token::Kind::sign) && currentToken().text == s; }
  bool isKeyword(std::string_view s) const { return at(Token::Kind::name) && currentToken().text == s; }
  Token take() {
    Token t = tokens_[index_];
    if (index_ + 1 < tokens_.size()) ++index_;
    return t;
  }
  bool takeSign(std::string_view s) { return isSign(s) && (take(), true); }
  bool takeKeyword(std::string_view s) { return isKeyword(s) && (take(), true); }

  std::string describeToken() const {
    if (at(Token::Kind::end)) return "the end of the file";
    if (at(Token::Kind::text)) return "a text";
    if (at(Token::Kind::integer)) return "a number";
    if (at(Token::Kind::duration)) return "a duration";
    return "'" + currentToken().text.substr(0, 40) + "'";
  }
  [[noreturn]] void failExpected(const std::string& what) {
    problems_.push_back({currentToken().at, "expected " + what + ", found " + describeToken()});
    throw SyntaxError{};
  }
  void expectSign(std::string_view s) {
    if (!takeSign(s)) failExpected("'" + std::string(s) + "'");
  }
  void expectKeyword(std::string_view s) {
    if (!takeKeyword(s)) failExpected("'" + std::string(s) + "'");
  }
  std::string expectText(const std::string& what) {
    if (!at(Token::Kind::text)) failExpected(what + " as a text in quotes");
    return take().text;
  }
  std::string expectName(const std::string& what) {
    if (!at(Token::Kind::name)) failExpected(what);
    return take().text;
  }
  std::int64_t expectInteger(const std::string& what) {
    if (!at(Token::Kind::integer)) failExpected(what + " as a number");
    return take().number;
  }
  // Error recovery: skips past the next ';' or the end of a block; with `top`, to the next declaration.
  void skipTo(bool top) {
    while (!at(Token::Kind::end)) {
      if (top && (isKeyword("on") || isKeyword("table") || isKeyword("const") || isKeyword("expect")) &&
          currentToken().at.column == 1)
        return;
      if (!top && isSign("}")) return;
      if (!top && isSign("{")) return skipBlock();
      if (takeSign(";")) {
        if (!top || currentToken().at.column == 1) return;
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
      parser.problems_.push_back(
          {parser.currentToken().at,
           "blocks and brackets stand within one another more than " + std::to_string(kMaxDepth) + " deep"});
      --parser.depth_;
      throw SyntaxError{};
    }
    ~NestingGuard() { --parser.depth_; }
    Parser& parser;
  };

  // --- declarations
  void declaration(Unit& u) {
    const Position here = currentToken().at;
    if (takeKeyword("table")) {
      Unit::Named t;
      t.at = here;
      t.name = expectName("the table's name");
      expectKeyword("from");
      t.file = expectText("the table's file");
      expectSign(";");
      u.tables.push_back(std::move(t));
    } else if (takeKeyword("set")) {
      Unit::Named s;
      s.at = here;
      s.name = expectName("the set's name");
      expectSign("=");
      s.items = items();
      expectSign(";");
      u.sets.push_back(std::move(s));
    } else if (takeKeyword("const")) {
      Unit::Named c;
      c.at = here;
      c.name = expectName("the constant's name");
      expectSign("=");
      c.value = expression();
      expectSign(";");
      u.constants.push_back(std::move(c));
    } else if (takeKeyword("on")) {
      handler(u, here);
    } else if (takeKeyword("expect")) {
      u.expectations.push_back(expectation(here));
    } else {
      failExpected("'table', 'set', 'const', 'on' or 'expect'");
    }
  }

  void handler(Unit& u, Position here) {
    std::size_t which = kHandlers;
    for (std::size_t h = 0; h < kHandlers; ++h)
      if (isKeyword(nameOf(static_cast<Handler>(h)))) which = h;
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
    expectSign("{");
    if (!isSign("}")) {
      do {
        out.push_back(expectText("an item"));
      } while (takeSign(","));
    }
    expectSign("}");
    return out;
  }

  Expectation expectation(Position here) {
    Expectation e;
    e.at = here;
    e.title = expectText("what is expected");
    expectSign("{");
    while (!takeSign("}")) {
      if (at(Token::Kind::end)) failExpected("'}'");
      if (takeKeyword("then")) parseResult(e);
      else parseInput(e);
      expectSign(";");
    }
    return e;
  }
  Expectation::Pair pair() {
    Expectation::Pair p;
    p.name = expectText("a name");
    expectSign("=");
    p.value = expectText("a value");
    return p;
  }
  void parseInput(Expectation& e) {
    if (takeKeyword("class")) e.className = expectText("the class");
    else if (takeKeyword("method")) e.method = expectText("the method");
    else if (takeKeyword("path")) e.path = expectText("the path");
    else if (takeKeyword("query")) e.query = expectText("the query");
    else if (takeKeyword("tenant")) e.tenant = expectText("the tenant");
    else if (takeKeyword("body")) e.body = expectText("the body");
    else if (takeKeyword("header")) e.headers.push_back(pair());
    else if (takeKeyword("answer_header")) e.responseHeaders.push_back(pair());
    else if (takeKeyword("attempt")) e.attempt = expectInteger("the attempt's number");
    else if (takeKeyword("status")) e.status = expectInteger("the answer's status");
    else if (takeKeyword("time_left")) {
      if (!at(Token::Kind::duration)) failExpected("a duration, as in 500ms");
      e.timeLeftNs = take().number;
    } else {
      failExpected(
          "class, method, path, query, tenant, body, header, answer_header, attempt, status, time_left or "
          "then");
    }
  }
  void parseResult(Expectation& e) {
    if (takeKeyword("pass")) return;
    if (takeKeyword("reject")) e.reject = expectInteger("the status");
    else if (takeKeyword("fault")) e.fault = true;
    else if (takeKeyword("header")) e.setHeaders.push_back(pair());
    else if (takeKeyword("no")) parseAbsentHeader(e);
    else if (takeKeyword("tag")) e.tags.push_back(pair());
    else if (takeKeyword("count")) e.counts.push_back(expectText("the counter"));
    else failExpected("pass, reject, fault, header, no header, tag or count");
  }

  void parseAbsentHeader(Expectation& e) {
    expectKeyword("header");
    e.noHeaders.push_back(expectText("a name"));
  }

  // --- statements
  Block block() {
    const NestingGuard guard(*this);
    Block out;
    expectSign("{");
    while (!takeSign("}")) {
      if (at(Token::Kind::end)) failExpected("'}'");
      if (problems_.size() >= kMaxProblems) throw SyntaxError{};
      try {
        out.push_back(statement());
      } catch (const SyntaxError&) {
        if (depth_ >= kMaxDepth) throw;
        skipTo(false);
      }
    }
    return out;
  }

  std::unique_ptr<Statement> statement() {
    auto s = std::make_unique<Statement>();
    s->at = currentToken().at;
    if (takeKeyword("let")) {
      s->kind = Statement::Kind::let;
      s->name = expectName("a variable's name");
      expectSign("=");
      s->values.push_back(expression());
      expectSign(";");
    } else if (takeKeyword("if")) {
      conditional(*s);
    } else if (takeKeyword("while")) {
      s->kind = Statement::Kind::whileLoop;
      s->values.push_back(expression());
      s->body = block();
    } else if (takeKeyword("for")) {
      s->kind = Statement::Kind::forLoop;
      s->name = expectName("a variable's name");
      expectKeyword("in");
      s->values.push_back(sum());
      expectSign("..");
      s->values.push_back(sum());
      s->body = block();
    } else if (takeKeyword("break")) {
      s->kind = Statement::Kind::breakLoop;
      expectSign(";");
    } else if (takeKeyword("pass")) {
      s->kind = Statement::Kind::pass;
      expectSign(";");
    } else if (takeKeyword("set")) {
      expectKeyword("header");
      action(*s, "set header", 2);
    } else if (isKeyword("reject") || isKeyword("tag")) {
      action(*s, take().text, 2);
    } else if (isKeyword("count") || isKeyword("log")) {
      action(*s, take().text, 1);
    } else if (at(Token::Kind::name)) {
      s->kind = Statement::Kind::assign;
      const Position here = currentToken().at;
      s->name = take().text;
      if (isSign("(")) failUnknownAction(s->name, here);
      expectSign("=");
      s->values.push_back(expression());
      expectSign(";");
    } else {
      failExpected("a statement");
    }
    return s;
  }

  [[noreturn]] void failUnknownAction(const std::string& name, Position here) {
    std::string what = "there is no action '" + name.substr(0, 40) + "'";
    if (const auto near = nearestOf(name, {"reject", "tag", "count", "log", "set header"}); !near.empty())
      what += "; did you mean '" + std::string(near) + "'?";
    problems_.push_back({here, std::move(what)});
    throw SyntaxError{};
  }

  void conditional(Statement& s) {
    s.kind = Statement::Kind::conditional;
    ExpressionPtr condition = expression();
    Block body = block();
    s.branches.push_back({std::move(condition), std::move(body)});
    while (takeKeyword("else")) {
      if (takeKeyword("if")) {
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
    expectSign("(");
    for (std::size_t i = 0; i < arguments; ++i) {
      if (i > 0) expectSign(",");
      s.values.push_back(expression());
    }
    expectSign(")");
    expectSign(";");
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
      throw SyntaxError{};
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
    while (isKeyword("or")) {
      Token op = take();
      left = binary(std::move(op), std::move(left), conjunction());
    }
    return left;
  }
  ExpressionPtr conjunction() {
    ExpressionPtr left = negation();
    while (isKeyword("and")) {
      Token op = take();
      left = binary(std::move(op), std::move(left), negation());
    }
    return left;
  }
  ExpressionPtr negation() {
    if (!isKeyword("not")) return comparison();
    const NestingGuard guard(*this);
    auto e = node(Kind::unary, currentToken().at, "not");
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
    if (isKeyword("matches")) {
      Token op = take();
      return binary(std::move(op), std::move(left), primary());
    }
    if (isKeyword("in")) {
      Token op = take();
      if (!isSign("{")) return binary(std::move(op), std::move(left), primary());
      auto set = node(Kind::set, currentToken().at, "");
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
    auto e = node(Kind::unary, currentToken().at, "-");
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
    const Position here = currentToken().at;
    if (at(Token::Kind::integer) || at(Token::Kind::duration)) {
      auto e = node(at(Token::Kind::integer) ? Kind::integer : Kind::duration, here, "");
      e->number = take().number;
      return e;
    }
    if (at(Token::Kind::text)) return node(Kind::text, here, take().text);
    if (takeSign("(")) {
      ExpressionPtr e = expression();
      expectSign(")");
      return e;
    }
    if (isKeyword("true") || isKeyword("false")) {
      auto e = node(Kind::boolean, here, "");
      e->number = take().text == "true";
      return e;
    }
    auto e = node(Kind::name, here, expectName("a value"));
    if (!takeSign("(")) return e;
    e->kind = Kind::call;
    if (!isSign(")")) {
      do {
        add(*e, expression());
      } while (takeSign(","));
    }
    expectSign(")");
    return e;
  }

  std::vector<Problem>& problems_;
  std::vector<Token> tokens_;
  std::size_t index_ = 0;
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
