#include "hook/lexer.hpp"

#include <limits>

namespace finchstile::hook {
namespace {

// Used instead of the functions of <cctype>, which depend on the locale.
bool isDigit(char c) { return c >= '0' && c <= '9'; }
bool isLetter(char c) { return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '_'; }
bool isSpace(char c) { return c == ' ' || c == '\t' || c == '\r' || c == '\n'; }

int hexDigit(char c) {
  if (isDigit(c)) return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return -1;
}

class Lexer {
 public:
  Lexer(std::string_view source, std::vector<Problem>& problems) : source_(source), problems_(problems) {}

  std::vector<Token> run() {
    if (source_.size() > kMaxSourceBytes) {
      addProblem({1, 1}, "the source has " + std::to_string(source_.size()) + " bytes; at most " +
                             std::to_string(kMaxSourceBytes) + " are read");
      source_ = {};
    }
    std::vector<Token> tokens;
    while (skipBlanks()) {
      Token token;
      token.at = position_;
      if (readToken(token)) tokens.push_back(std::move(token));
      if (problems_.size() >= kMaxProblems) break;
    }
    tokens.emplace_back();  // of kind `end`
    tokens.back().at = position_;
    return tokens;
  }

 private:
  char peek(std::size_t ahead = 0) const {
    return index_ + ahead < source_.size() ? source_[index_ + ahead] : '\0';
  }
  char take() {
    const char c = source_[index_++];
    if (c == '\n') {
      ++position_.line;
      position_.column = 1;
    } else {
      ++position_.column;
    }
    return c;
  }
  void addProblem(Position at, std::string message) { problems_.push_back({at, std::move(message)}); }

  char takeHexByte() {
    const int high = hexDigit(take());
    return static_cast<char>(high * 16 + hexDigit(take()));
  }

  // Skips blanks and comments. Returns false at the end of the source.
  bool skipBlanks() {
    while (index_ < source_.size()) {
      if (isSpace(peek())) {
        take();
      } else if (peek() == '#') {
        while (index_ < source_.size() && peek() != '\n') take();
      } else {
        return true;
      }
    }
    return false;
  }

  // The functions below read one token each and return whether it is valid.
  bool readToken(Token& t) {
    const char c = peek();
    if (c == '"') return readText(t, false);
    if (c == 'r' && peek(1) == '"') {
      take();
      return readText(t, true);
    }
    if (isLetter(c)) {
      t.kind = Token::Kind::name;
      while (isLetter(peek()) || isDigit(peek())) t.text += take();
      return true;
    }
    if (isDigit(c)) return readNumber(t);
    return readSign(t);
  }

  bool readSign(Token& t) {
    static constexpr std::string_view kSigns[] = {"==", "!=", "<=", ">=", "..", "<", ">", "=", "+", "-",
                                                  "*",  "/",  "%",  "(",  ")",  "{", "}", ",", ";"};
    for (const std::string_view s : kSigns) {
      if (source_.substr(index_, s.size()) != s) continue;
      for (std::size_t k = 0; k < s.size(); ++k) take();
      t.kind = Token::Kind::sign;
      t.text = s;
      return true;
    }
    const auto byte = static_cast<unsigned char>(take());
    addProblem(t.at, byte >= 0x20 && byte < 0x7f
                         ? "unexpected '" + std::string(1, static_cast<char>(byte)) + "'"
                         : "unexpected byte " + std::to_string(byte));
    return false;
  }

  bool readNumber(Token& t) {
    constexpr std::int64_t kMaxNumber = std::numeric_limits<std::int64_t>::max();
    bool fits = true;
    while (isDigit(peek()) || (peek() == '_' && isDigit(peek(1)))) {
      const char c = take();
      if (c == '_') continue;
      if (t.number > (kMaxNumber - (c - '0')) / 10) fits = false;
      else t.number = t.number * 10 + (c - '0');
    }
    t.kind = Token::Kind::integer;
    std::string unit;
    while (isLetter(peek()) || isDigit(peek())) unit += take();
    if (!unit.empty()) {
      struct Unit {
        std::string_view name;
        std::int64_t nanoseconds;
      };
      static constexpr Unit kUnits[] = {{"us", 1'000},
                                        {"ms", 1'000'000},
                                        {"s", 1'000'000'000},
                                        {"m", 60'000'000'000},
                                        {"h", 3'600'000'000'000}};
      t.kind = Token::Kind::duration;
      const Unit* found = nullptr;
      for (const Unit& u : kUnits)
        if (u.name == unit) found = &u;
      if (!found) {
        addProblem(t.at, "'" + unit.substr(0, 20) + "' is no unit of time; these are: us ms s m h");
        return false;
      }
      if (t.number > kMaxNumber / found->nanoseconds) fits = false;
      else t.number *= found->nanoseconds;
    }
    if (fits) return true;
    addProblem(t.at, "the number does not fit into 64 bits");
    return false;
  }

  bool readText(Token& t, bool raw) {
    t.kind = Token::Kind::text;
    take();
    while (index_ < source_.size() && peek() != '"' && peek() != '\n') {
      const Position at = position_;
      char c = take();
      if (c == '\\' && raw) {
        t.text += c;  // in a raw text an escaped quote keeps its backslash
        if (peek() == '"') t.text += take();
        continue;
      }
      if (c == '\\') {
        const char e = index_ < source_.size() ? take() : '\0';
        if (e == 'n') c = '\n';
        else if (e == 't') c = '\t';
        else if (e == 'r') c = '\r';
        else if (e == '"' || e == '\\') c = e;
        else if (e == 'x' && hexDigit(peek()) >= 0 && hexDigit(peek(1)) >= 0) c = takeHexByte();
        else addProblem(at, R"(no such escape; these are: \" \\ \n \r \t \xHH)");
      }
      t.text += c;
    }
    if (peek() != '"' || index_ >= source_.size()) {
      addProblem(t.at, "the text does not end on its line");
      return true;  // the rest of the line is part of the text, so that the error is reported once
    }
    take();
    if (t.text.size() <= kMaxLiteralBytes) return true;
    addProblem(t.at, "the text has " + std::to_string(t.text.size()) + " bytes, at most " +
                         std::to_string(kMaxLiteralBytes) + " are allowed: use a table");
    t.text.resize(kMaxLiteralBytes);
    return true;
  }

  std::string_view source_;
  std::vector<Problem>& problems_;
  std::size_t index_ = 0;
  Position position_{1, 1};
};

}  // namespace

std::vector<Token> lex(std::string_view source, std::vector<Problem>& problems) {
  return Lexer(source, problems).run();
}

}  // namespace finchstile::hook
