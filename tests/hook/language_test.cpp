// The hook language: semantics, and the compiler's error messages.
#include "hook/support.hpp"

namespace finchstile::hook::testing {
namespace {

std::string loggedInteger(const std::string& expression, const std::string& declarations = "") {
  return runStatements("log(to_text(" + expression + "));", declarations);
}
std::string loggedText(const std::string& expression) { return runStatements("log(" + expression + ");"); }
bool isTrue(const std::string& expression) {
  const std::string got = runStatements("if " + expression + " { log(\"yes\"); } else { log(\"no\"); }");
  EXPECT_TRUE(got == "yes" || got == "no") << expression << ": " << got;
  return got == "yes";
}
// Expects exactly one problem, whose message contains `words`.
void expectProblem(const std::string& source, const std::string& words) {
  const auto all = problemsOf(source);
  ASSERT_EQ(all.size(), 1u) << source << ::testing::PrintToString(all);
  EXPECT_NE(all[0].find(words), std::string::npos) << all[0];
}

TEST(Language, EvaluatesArithmeticWithStandardPrecedence) {
  EXPECT_EQ(loggedInteger("2 + 3 * 4 - 10 / 3 % 2"), "13");
  EXPECT_EQ(loggedInteger("-(2 + 3) * -2"), "10");
  EXPECT_EQ(loggedInteger("7 % 3 - -1"), "2");
  EXPECT_EQ(loggedInteger("1_000_000 + 1"), "1000001");
  EXPECT_EQ(loggedInteger("milliseconds(1s + 250ms * 2 - 100ms / 4)"), "1475");
}

TEST(Language, ComparesValuesOfTheSameType) {
  EXPECT_TRUE(isTrue("1 < 2 and 2 <= 2 and 3 > 2 and 3 >= 3 and 1 != 2 and 1 == 1"));
  EXPECT_FALSE(isTrue("2 < 1 or 3 <= 2 or 2 > 3 or 2 >= 3 or 1 == 2 or 1 != 1"));
  EXPECT_TRUE(isTrue("time_left == 500ms and time_left < 1s and 60s == 1m"));
  EXPECT_TRUE(isTrue("\"a\" == \"a\" and \"a\" != \"A\" and true != false"));
  EXPECT_TRUE(isTrue("not false and not (1 > 2)"));
}

TEST(Language, ShortCircuitsAndAndOr) {
  EXPECT_FALSE(isTrue("false and 1 / 0 == 1"));
  EXPECT_TRUE(isTrue("true or 1 / 0 == 1"));
  EXPECT_EQ(runStatements("if true and 1 / 0 == 1 { pass; }"), "fault: division by zero");
}

TEST(Language, ReadsFieldsHeadersAndBodyOfTheRequest) {
  EXPECT_EQ(loggedText("class + \"|\" + method + \"|\" + path + \"|\" + query + \"|\" + tenant"),
            "log-in|POST|/log-in/17|a=1&yard=B%2012+x&empty=|acme");
  EXPECT_EQ(loggedText("header(\"X-Yard\") + header(\"None\")"), "B12");
  EXPECT_TRUE(isTrue("has_header(\"Empty\") and not has_header(\"None\")"));
  EXPECT_EQ(loggedText("parameter(\"yard\")"), "B 12 x");
  EXPECT_EQ(loggedText("parameter(\"none\") + parameter(\"empty\")"), "");
  EXPECT_EQ(loggedText("body(2, 3)"), "log");
  EXPECT_EQ(loggedInteger("body_length"), "11");
}

TEST(Language, EvaluatesTextFunctions) {
  EXPECT_EQ(
      loggedText(
          "lower(\"Cluj-NAPOCA\") + part(\"abcdef\", 2, 2) + part(\"abc\", 9, 1) + part(\"abc\", -1, 2)"),
      "cluj-napocacd");
  EXPECT_EQ(loggedInteger("length(\"abc\") * 100 + find(\"hello\", \"lo\") * 10 + find(\"x\", \"y\")"),
            "329");
  EXPECT_TRUE(isTrue("starts_with(path, \"/log\") and ends_with(path, \"17\") and contains(path, \"in/\")"));
  EXPECT_FALSE(isTrue("starts_with(\"a\", \"ab\") or ends_with(\"a\", \"ba\") or contains(\"\", \"x\")"));
  EXPECT_EQ(loggedInteger("to_integer(\"42\", 0) + to_integer(\"4x\", 1) + to_integer(\"\", 2) + "
                          "to_integer(\"99999999999999999999\", 3)"),
            "48");
  EXPECT_EQ(loggedText("\"a\\x41\\t\\\"\""), "aA\t\"");
}

TEST(Language, MatchesSetsAndPatterns) {
  EXPECT_TRUE(
      isTrue("class in {\"log-in\", \"stock-out\"} and not (class in {\"x\"}) and not (class in {})"));
  EXPECT_TRUE(isTrue("path matches r\"^/log-in/\\d+$\""));
  EXPECT_FALSE(isTrue("path matches \"^/x\""));
  EXPECT_EQ(runStatements("if class in known { log(\"in\"); }", "set known = {\"log-in\"};"), "in");
}

TEST(Language, RunsLoopsConditionsAndVariables) {
  EXPECT_EQ(runStatements("let n = 0; for i in 1 .. 5 { n = n + i; } log(to_text(n));"), "10");
  EXPECT_EQ(runStatements("for i in 5 .. 1 { log(\"never\"); }"), "");
  EXPECT_EQ(runStatements("let n = 0; while n < 7 { n = n + 2; if n == 6 { break; } } log(to_text(n));"),
            "6");
  EXPECT_EQ(runStatements("for i in 0 .. 3 { for k in 0 .. 3 { if k == 1 { break; } log(to_text(i)); } }"),
            "0; 1; 2");
  EXPECT_EQ(runStatements("if false { } else if class == \"log-in\" { log(\"b\"); } else { log(\"c\"); }"),
            "b");
  EXPECT_EQ(loggedInteger("-5 + most", "const most = -7;"), "-12");
}

TEST(Language, ProducesResultsInSourceOrderUntilRejectOrPass) {
  EXPECT_EQ(
      runStatements("set header(\"X-A\", \"1\"); tag(\"t\", \"v\"); count(\"c\"); log(tag_value(\"t\")); "
                    "reject(403, \"no \" + path); log(\"not reached\");"),
      "X-A: 1; t=v; count c; v; reject 403 no /log-in/17");
  EXPECT_EQ(runStatements("if true { pass; } reject(400, \"no\");"), "");
}

TEST(Language, ReportsProblemsWithTheirPosition) {
  const auto all = problemsOf("hook \"h\";\non request {\n  let a = 1 +;\n  let b = \"x\" + 1;\n}\n");
  ASSERT_EQ(all.size(), 1u);  // types are checked only if the syntax is valid
  EXPECT_EQ(all[0], "3:14: expected a value, found ';'");
  EXPECT_EQ(
      problemsOf("hook \"h\";\non request {\n  let b = \"x\" + 1;\n  c = 2;\n}\n"),
      (std::vector<std::string>{"3:15: '+' does not take text and integer", "4:3: unknown variable 'c'"}));
}

TEST(Language, ReportsSeveralSyntaxErrorsInOneRun) {
  const auto all =
      problemsOf("hook \"h\";\non request {\n  let = 1;\n  if { }\n  bogus();\n}\non nothing { }\n");
  EXPECT_EQ(all.size(), 4u) << ::testing::PrintToString(all);
}

TEST(Language, SuggestsTheNearestNameForAnUnknownName) {
  expectProblem(onRequest("log(pth);"), "unknown name 'pth'; did you mean 'path'?");
  expectProblem(onRequest("log(heder(\"a\"));"), "did you mean 'header'?");
  expectProblem(onRequest("if class in yads { }", "table yards from \"y.txt\";"), "did you mean 'yards'?");
}

TEST(Language, RejectsWrongTypesScopesAndHandlers) {
  expectProblem(onRequest("if 1 { }"), "this must be boolean, and is integer");
  expectProblem(onRequest("let a = 1; a = \"x\";"), "'a' is integer, and the value is text");
  expectProblem(onRequest("let a = 1s * 2s;"), "does not take duration and duration");
  expectProblem(onRequest("log(to_text(status));"), "'status' is not known in `on request`");
  expectProblem(onRequest("log(answer_header(\"a\"));"), "`on answer` only");
  expectProblem(onRequest("for i in 0 .. 3 { i = 5; }"), "counts a loop");
  expectProblem(onRequest("let a = 1; let a = 2;"), "is a variable already");
  expectProblem(onRequest("let path = \"\";"), "is the name of something else");
  expectProblem(onRequest("break;"), "stands in no loop");
  expectProblem(onRequest("if true { let a = 1; } log(to_text(a));"), "unknown name 'a'");
  expectProblem("hook \"h\";\non attempt { reject(403, \"\"); }\n", "can't stand in `on attempt`");
  expectProblem("hook \"h\";\non request { }\non request { }\n", "a second handler of the kind");
}

TEST(Language, RejectsInvalidLiterals) {
  expectProblem(onRequest("set header(\"Content-Length\", \"3\");"), "the gateway's own header");
  expectProblem(onRequest("set header(\"idempotency-KEY\", \"3\");"), "the gateway's own header");
  expectProblem(onRequest("set header(\"X A\", \"3\");"), "is a token");
  expectProblem(onRequest("set header(\"X-A\", \"a\\r\\nX-B: 1\");"), "a byte that can't stand in a header");
  expectProblem(onRequest("reject(200, \"fine\");"), "400 to 499, or 503");
  expectProblem(onRequest("count(path);"), "a text in quotes");
  expectProblem(onRequest("let a = 9223372036854775808;"), "does not fit into 64 bits");
  expectProblem(onRequest("let a = 5 days;"), "expected ';'");
  expectProblem(onRequest("let a = 5days;"), "no unit of time");
  expectProblem(onRequest("log(\"open);"), "the text does not end on its line");
  expectProblem("hook \"h\";\ntable t from \"../../etc/passwd\";\n", "a plain name of a file");
  expectProblem("hook \"h h\";\n", "the hook's name is a word");
}

// Deep nesting and huge literals must take a bounded amount of stack and memory, and must be reported.
TEST(Language, RejectsSourcesBeyondTheDepthAndSizeLimits) {
  const auto repeated = [](const std::string& s, int n) {
    std::string out;
    for (int i = 0; i < n; ++i) out += s;
    return out;
  };
  for (const std::string& source :
       {onRequest("let a = " + repeated("(", 100000) + "1" + repeated(")", 100000) + ";"),
        onRequest(repeated("if true {", 20000) + repeated("}", 20000)),
        onRequest("let a = " + repeated("not ", 50000) + "true;"),
        onRequest("let a = " + repeated("-", 100000) + "1;")}) {
    const auto all = problemsOf(source);
    ASSERT_FALSE(all.empty());
    EXPECT_NE(all[0].find("deep"), std::string::npos) << all[0];
    EXPECT_LE(all.size(), kMaxProblems + 1);
  }
  EXPECT_NE(problemsOf(onRequest("let a = 1" + repeated(" + 1", 50000) + ";"))[0].find("too long"),
            std::string::npos);
  EXPECT_NE(problemsOf(onRequest("log(\"" + std::string(5000, 'x') + "\");"))[0].find("use a table"),
            std::string::npos);
  EXPECT_NE(problemsOf(std::string(kMaxSourceBytes + 1, ' '))[0].find("at most"), std::string::npos);
  EXPECT_NE(problemsOf(onRequest("let a = \"x\" matches \"" + std::string(1500, 'x') + "\";"))[0].find(
                "a pattern has"),
            std::string::npos);
  EXPECT_FALSE(
      problemsOf(onRequest(repeated("log(\"x\" + \"y\");", 15000))).empty());  // more than kMaxInstructions
  const auto brackets = [&](int n) {
    return problemsOf(onRequest("let a = " + repeated("(", n) + "1" + repeated(")", n) + ";"));
  };
  const int maxBrackets = static_cast<int>(kMaxDepth) - 2;  // the block and the expression are two levels
  EXPECT_TRUE(brackets(maxBrackets).empty());
  EXPECT_EQ(brackets(maxBrackets + 1).size(), 1u);
  EXPECT_TRUE(
      problemsOf(onRequest(repeated("(", 0) + "let a = " + repeated("(", 50) + "1" + repeated(")", 50) + ";"))
          .empty());
}

TEST(Language, FaultsOnOverflowInsteadOfWrapping) {
  EXPECT_EQ(runStatements("let a = 9223372036854775807 + length(class);"),
            "fault: a number does not fit into 64 bits");
  EXPECT_EQ(runStatements("let a = 0 - 9223372036854775807 - length(class);"),
            "fault: a number does not fit into 64 bits");
  EXPECT_EQ(runStatements("let a = 9223372036854775807 * length(class);"),
            "fault: a number does not fit into 64 bits");
  EXPECT_EQ(runStatements("let m = 0 - 9223372036854775807 - 1; let a = m / (0 - 1);"),
            "fault: a number does not fit into 64 bits");
  EXPECT_EQ(runStatements("let m = 0 - 9223372036854775807 - 1; log(to_text(m % (0 - 1)));"), "0");
  EXPECT_EQ(runStatements("let m = 0 - 9223372036854775807 - 1; let a = -m;"),
            "fault: a number does not fit into 64 bits");
  EXPECT_EQ(runStatements("let a = 1 % (length(class) - 6);"), "fault: division by zero");
}

}  // namespace
}  // namespace finchstile::hook::testing
