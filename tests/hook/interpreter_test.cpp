// Interpreter: budgets, faults and results. Linking of programs.
#include <new>

#include "hook/support.hpp"

namespace finchstile::hook::testing {
namespace {

RunBudget instructions(std::uint64_t n) {
  RunBudget b;
  b.instructions = n;
  return b;
}
RunBudget bytes(std::uint64_t n) {
  RunBudget b;
  b.bytes = n;
  return b;
}

TEST(Interpreter, FaultsOnALoopThatExhaustsItsInstructions) {
  EXPECT_EQ(runStatements("while true { }"), "fault: the budget of instructions is spent");
  EXPECT_EQ(runStatements("let n = 0; while n == 0 { log(\"\"); }"),
            "fault: more results than one run may leave");
  const auto code = compileAndLink(onRequest("while true {\n}\n"));
  Interpreter m;
  const RunResult& r = m.run(*code, Handler::request, exampleInput(), instructions(500));
  EXPECT_EQ(r.instructions, 500u);
  EXPECT_EQ(r.faultLine, 4u);  // the line of the loop
}

TEST(Interpreter, ChargesForEveryByteAccessed) {
  const std::string grow = "let s = path; for i in 0 .. 20 { s = s + s; }";
  EXPECT_EQ(runStatements(grow, "", bytes(2000)), "fault: the budget of bytes is spent");
  EXPECT_EQ(runStatements(grow), "fault: the arena is full");
  EXPECT_EQ(runStatements("for i in 0 .. 100 { if contains(query, \"zz\") { } }", "", bytes(500)),
            "fault: the budget of bytes is spent");
  EXPECT_EQ(runStatements("for i in 0 .. 100 { if path matches \"z\" { } }", "", bytes(500)),
            "fault: the budget of bytes is spent");
  EXPECT_EQ(runStatements("for i in 0 .. 100 { if header(\"X-Yard\") == \"\" { } }", "", bytes(500)),
            "fault: the budget of bytes is spent");
  EXPECT_EQ(runStatements("for i in 0 .. 100 { let b = body(0, 100); }", "", bytes(500)),
            "fault: the budget of bytes is spent");
}

TEST(Interpreter, FaultsOnHeadersThatCouldInjectALine) {
  for (const char* bad : {"\"a\\r\\nX-B: 1\"", "\"a\\n\"", "\"\\x00\"", "\"\\x7f\"", "\"a\\r\""})
    EXPECT_EQ(runStatements(std::string("let v = ") + bad + "; set header(\"X-A\", v);"),
              "fault: a header's value has a byte that can't stand there, or is too long")
        << bad;
  for (const char* bad : {"\"\"", "\"X A\"", "\"X:A\"", "\"X\\r\\n\"", "\"\\xff\""})
    EXPECT_EQ(runStatements(std::string("let n = ") + bad + "; set header(n, \"v\");"),
              "fault: a header's name is no token")
        << bad;
  for (const char* own : {"content-length", "Transfer-Encoding", "HOST", "X-Correlation-Id",
                          "Idempotency-Key", "X-Time-Left-Ms", "connection"})
    EXPECT_EQ(runStatements(std::string("let n = \"") + own + "\"; set header(n, \"v\");"),
              "fault: the header is the gateway's own")
        << own;
  EXPECT_EQ(runStatements("let v = \"a\\r\\nb\"; tag(\"t\", v);"),
            "fault: a header's value has a byte that can't stand there, or is too long");
  EXPECT_EQ(runStatements("let v = \"caf\\xc3\\xa9\\t!\"; set header(\"X-A\", v);"), "X-A: caf\xc3\xa9\t!");
}

// The client could retry a request that may already have run.
TEST(Interpreter, FaultsOnARejectionAfterAnAttempt) {
  const auto code = compileAndLink(
      "hook \"h\";\non answer {\n  set header(\"X-A\", \"1\");\n  reject(503, \"late\");\n}\n");
  Interpreter m;
  RunInput in = exampleInput();
  in.responseStatus = 200;
  in.mayReject = false;
  const RunResult& r = m.run(*code, Handler::response, in, RunBudget{});
  EXPECT_EQ(r.fault, Fault::rejectTooLate);
  EXPECT_EQ(r.faultLine, 4u);
  EXPECT_EQ(r.rejectStatus, 0);
  EXPECT_EQ(r.headerCount, 0u);  // a fault leaves no result
}

TEST(Interpreter, FaultsOnRejectionsWithOtherStatuses) {
  EXPECT_EQ(runStatements("let s = 200; reject(s, \"\");"),
            "fault: a rejection has a status of 400 to 499, or 503");
  EXPECT_EQ(runStatements("let s = 500; reject(s, \"\");"),
            "fault: a rejection has a status of 400 to 499, or 503");
  EXPECT_EQ(runStatements("let s = 499; reject(s, \"\");"), "reject 499 ");
}

TEST(Interpreter, FaultsOnTooManyResults) {
  EXPECT_EQ(runStatements("for i in 0 .. 17 { set header(\"X\", \"1\"); }"),
            "fault: more results than one run may leave");
  EXPECT_EQ(runStatements("for i in 0 .. 17 { tag(\"X\", \"1\"); }"),
            "fault: more results than one run may leave");
  EXPECT_EQ(runStatements("for i in 0 .. 33 { count(\"X\"); }"),
            "fault: more results than one run may leave");
  EXPECT_EQ(runStatements("for i in 0 .. 5 { log(\"X\"); }"), "fault: more results than one run may leave");
}

TEST(Interpreter, GivesEqualResultsForEqualInputs) {
  const auto code =
      compileAndLink(onRequest("let s = \"\"; for i in 0 .. 9 { s = s + to_text(i * 7 % 5); } log(s);"));
  Interpreter a, b;
  const std::string first = formatResult(*code, a.run(*code, Handler::request, exampleInput(), RunBudget{}));
  for (int i = 0; i < 3; ++i) {
    EXPECT_EQ(formatResult(*code, a.run(*code, Handler::request, exampleInput(), RunBudget{})), first);
    EXPECT_EQ(formatResult(*code, b.run(*code, Handler::request, exampleInput(), RunBudget{})), first);
  }
  EXPECT_EQ(first, "024130241");
}

// These patterns take exponential time in a backtracking matcher.
TEST(Interpreter, MatchesPatternsInLinearTime) {
  const auto code =
      compileAndLink(onRequest("if body(0, 65536) matches r\"^(a+)+$\" { log(\"yes\"); } "
                               "if body(0, 65536) matches r\"(x+x+)+y\" { log(\"yes\"); }"));
  const std::string body = std::string(65000, 'a') + "!" + std::string(500, 'x');
  RunInput in = exampleInput();
  in.body = body;
  Interpreter m;
  RunBudget b;
  b.bytes = 1024 * 1024;
  const auto begin = std::chrono::steady_clock::now();
  EXPECT_EQ(formatResult(*code, m.run(*code, Handler::request, in, b)), "");
  // Exponential time would not end at all, so a generous limit distinguishes it from a slow machine.
  EXPECT_LT(std::chrono::steady_clock::now() - begin, std::chrono::seconds(5));
}

LinkErrorCode linkErrorOf(const std::string& pattern, const std::string& words) {
  std::vector<Problem> problems;
  auto compiled = compile(onRequest("if path matches " + pattern + " { }"), problems);
  EXPECT_TRUE(compiled);
  try {
    linkProgram(std::move(compiled->program), {});
  } catch (const LinkError& error) {
    EXPECT_NE(std::string(error.what()).find(words), std::string::npos) << error.what();
    return error.code();
  }
  ADD_FAILURE() << pattern << " was linked";
  return {};
}

TEST(LinkProgram, RejectsPatternsThatAreInvalidOrTakeTooMuchMemory) {
  EXPECT_EQ(linkErrorOf("r\"((a{100}){100}){10}\"", "can't be used"), LinkErrorCode::patternInvalid);
  EXPECT_EQ(linkErrorOf("\"(\"", "missing )"), LinkErrorCode::patternInvalid);
}

TEST(LinkProgram, RejectsAProgramThatDoesNotVerifyOrLacksATable) {
  const auto codeOfError = [](Program program) {
    try {
      linkProgram(std::move(program), {});
    } catch (const LinkError& error) {
      return error.code();
    }
    ADD_FAILURE() << "linked";
    return LinkErrorCode{};
  };
  std::vector<Problem> problems;
  auto compiled = compile("hook \"h\";\ntable t from \"t\";\non request { if path in t { } }\n", problems);
  ASSERT_TRUE(compiled);
  EXPECT_EQ(codeOfError(compiled->program), LinkErrorCode::tableMissing);
  compiled->program.lines.clear();
  EXPECT_EQ(codeOfError(compiled->program), LinkErrorCode::programNotVerified);
}

TEST(Interpreter, LooksUpKeysAndValuesOfTables) {
  std::vector<Problem> problems;
  auto table = std::make_shared<const Table>(*Table::parse("B12 = Brasov\nC3\n", problems));
  const auto code = compileAndLink(
      "hook \"h\";\ntable t from \"t.txt\";\non request {\n"
      "if header(\"X-Yard\") in t { log(lookup(t, \"B12\") + lookup(t, \"C3\") + lookup(t, \"?\")); } }\n",
      {table});
  const MapHeaders headers{{"X-Yard", "C3"}};
  RunInput in = exampleInput();
  in.requestHeaders = &headers;
  Interpreter m;
  EXPECT_EQ(formatResult(*code, m.run(*code, Handler::request, in, RunBudget{})), "Brasov");
}

}  // namespace
}  // namespace finchstile::hook::testing
