// The verifier rejects programs that could violate their bounds.
#include "hook/support.hpp"

namespace finchstile::hook::testing {
namespace {

Program programOf(std::vector<Instruction> code, std::vector<Type> locals = {},
                  Handler handler = Handler::request) {
  Program p;
  p.name = "h";
  p.integers = {7};
  p.texts = {"x"};
  p.counters = {"c"};
  HandlerCode h;
  h.end = static_cast<std::uint32_t>(code.size());
  h.locals = std::move(locals);
  p.handlers[static_cast<std::size_t>(handler)] = std::move(h);
  p.lines.assign(code.size(), 1);
  p.code = std::move(code);
  return p;
}
std::string firstError(const Program& p) {
  const auto e = verify(p);
  return e ? std::to_string(e->instruction) + " " + e->message : "";
}
constexpr auto I = [](Op op, std::uint32_t k = 0) { return instruction(op, k); };

TEST(Verifier, AcceptsValidPrograms) {
  EXPECT_EQ(firstError(programOf({I(Op::halt)})), "");
  EXPECT_EQ(firstError(programOf({I(Op::pushInteger), I(Op::store), I(Op::load), I(Op::drop), I(Op::halt)},
                                 {Type::integer})),
            "");
  EXPECT_EQ(firstError(programOf({I(Op::jump, 0)})),
            "");  // an endless loop within its bounds; the budget ends it
}

TEST(Verifier, RejectsOperandsAndJumpsOutOfBounds) {
  const std::vector<std::pair<Program, std::string>> cases = {
      {programOf({I(Op::pushInteger, 1), I(Op::drop), I(Op::halt)}), "0 names no integer"},
      {programOf({I(Op::pushText, 9), I(Op::log), I(Op::halt)}), "0 names no text"},
      {programOf({I(Op::pushBoolean, 2), I(Op::drop), I(Op::halt)}), "0 names no boolean"},
      {programOf({I(Op::load, 0), I(Op::drop), I(Op::halt)}), "0 names no local"},
      {programOf({I(Op::count, 1), I(Op::halt)}), "0 names no counter"},
      {programOf({I(Op::pushText), I(Op::matches), I(Op::drop), I(Op::halt)}), "1 names no pattern"},
      {programOf({I(Op::pushText), I(Op::inTable), I(Op::drop), I(Op::halt)}), "1 names no table"},
      {programOf({I(Op::pushText), I(Op::inSet), I(Op::drop), I(Op::halt)}), "1 names no set"},
      {programOf({I(Op::field, kFields), I(Op::drop), I(Op::halt)}), "0 names no field"},
      {programOf({I(Op::jump, 5)}), "0 leads out"},
      {programOf({I(Op::jump, 0xffffff)}), "0 leads out"},
      {programOf({I(Op::pushInteger), I(Op::drop)}), "1 leads out"},  // runs past the end
      {programOf({0xff}), "0 is no operation"},
      {programOf({I(static_cast<Op>(kOps)), I(Op::halt)}), "0 is no operation"},
  };
  for (const auto& [p, why] : cases) EXPECT_EQ(firstError(p).substr(0, why.size()), why);
}

TEST(Verifier, RejectsMismatchedStacksAndTypes) {
  const std::vector<std::pair<Program, std::string>> cases = {
      {programOf({I(Op::drop), I(Op::halt)}), "0 takes from an empty stack"},
      {programOf({I(Op::pushInteger), I(Op::log), I(Op::halt)}), "1 takes text and finds integer"},
      {programOf({I(Op::pushText), I(Op::negate), I(Op::halt)}), "1 takes a number and finds text"},
      {programOf({I(Op::pushInteger), I(Op::pushDuration), I(Op::add), I(Op::halt)}),
       "2 takes duration and finds integer"},
      {programOf({I(Op::pushText), I(Op::pushText), I(Op::equal), I(Op::halt)}),
       "2 compares texts as numbers"},
      {programOf({I(Op::pushInteger), I(Op::store), I(Op::halt)}, {Type::text}),
       "1 takes text and finds integer"},
      // A loop that pushes: the paths to instruction 0 have different stacks.
      {programOf({I(Op::pushInteger), I(Op::jump, 0)}), "1 two ways lead to instruction 0"},
      // One branch pushes an integer, the other a text.
      {programOf({I(Op::pushBoolean), I(Op::jumpIfFalse, 4), I(Op::pushInteger), I(Op::jump, 5),
                  I(Op::pushText), I(Op::drop), I(Op::halt)}),
       "two ways"},
  };
  for (const auto& [p, why] : cases) EXPECT_NE(firstError(p).find(why), std::string::npos) << firstError(p);
  std::vector<Instruction> deep(kMaxStackValues + 1, I(Op::pushInteger));
  deep.push_back(I(Op::halt));
  EXPECT_NE(firstError(programOf(deep)).find("more stack"), std::string::npos);
}

TEST(Verifier, RejectsOperationsThatAHandlerDoesNotAllow) {
  const std::vector<Instruction> rejects = {I(Op::pushInteger), I(Op::pushText), I(Op::reject)};
  EXPECT_EQ(firstError(programOf(rejects)), "");
  EXPECT_NE(firstError(programOf(rejects, {}, Handler::attempt)).find("rejects in a handler of attempts"),
            std::string::npos);
  const std::vector<Instruction> status = {I(Op::field, static_cast<std::uint32_t>(Field::status)),
                                           I(Op::drop), I(Op::halt)};
  EXPECT_EQ(firstError(programOf(status, {}, Handler::response)), "");
  EXPECT_NE(firstError(programOf(status)).find("does not have"), std::string::npos);
  EXPECT_NE(firstError(programOf({I(Op::pushText), I(Op::responseHeader), I(Op::drop), I(Op::halt)}))
                .find("before"),
            std::string::npos);
}

TEST(Verifier, RejectsHandlersThatOverlapOrExceedTheCode) {
  Program p = programOf({I(Op::halt), I(Op::halt)});
  p.handlers[1] = HandlerCode{0, 1, {}};
  EXPECT_NE(firstError(p).find("lies out of the code or over"), std::string::npos);
  p.handlers[0]->end = 1;
  p.handlers[1] = HandlerCode{1, 3, {}};
  EXPECT_NE(firstError(p).find("lies out"), std::string::npos);
  p.handlers[1] = HandlerCode{1, 1, {}};
  EXPECT_NE(firstError(p).find("lies out"), std::string::npos);
  p.handlers[1] = HandlerCode{1, 2, {}};
  EXPECT_EQ(firstError(p), "");
}

TEST(Verifier, ChecksTheLimitsOfAProgram) {
  Program p = programOf({I(Op::halt)});
  p.name = "a b";
  EXPECT_NE(firstError(p).find("name"), std::string::npos);
  p = programOf({I(Op::halt)});
  p.counters = {"a\nb"};
  EXPECT_NE(firstError(p).find("counter"), std::string::npos);
  p = programOf({I(Op::halt)});
  p.lines.clear();
  EXPECT_NE(firstError(p).find("line"), std::string::npos);
  p = programOf(std::vector<Instruction>(kMaxInstructions + 1, I(Op::halt)));
  EXPECT_NE(firstError(p).find("more instructions"), std::string::npos);
}

TEST(Verifier, ReportsTheErrorCode) {
  using Code = VerifyErrorCode;
  const auto codeOfError = [](const Program& program) {
    const auto error = verify(program);
    EXPECT_TRUE(error);
    return error ? error->code : Code{};
  };
  EXPECT_EQ(codeOfError(programOf({0xff})), Code::unknownOperation);
  EXPECT_EQ(codeOfError(programOf({I(Op::pushText, 9), I(Op::halt)})), Code::invalidOperand);
  EXPECT_EQ(codeOfError(programOf({I(Op::jump, 5)})), Code::controlFlow);
  EXPECT_EQ(codeOfError(programOf({I(Op::drop), I(Op::halt)})), Code::stackBounds);
  EXPECT_EQ(codeOfError(programOf({I(Op::pushInteger), I(Op::log), I(Op::halt)})), Code::typeMismatch);
  EXPECT_EQ(
      codeOfError(programOf({I(Op::pushInteger), I(Op::pushText), I(Op::reject)}, {}, Handler::attempt)),
      Code::notAllowedInHandler);
  Program unnamed = programOf({I(Op::halt)});
  unnamed.name = "";
  EXPECT_EQ(codeOfError(unnamed), Code::invalidProgram);
}

}  // namespace
}  // namespace finchstile::hook::testing
