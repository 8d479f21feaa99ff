// The `expect` blocks of a hook.
#include "hook/expectations.hpp"

#include <gtest/gtest.h>

#include "hook/hook_loader.hpp"
#include "support/process.hpp"

namespace finchstile::hook {
namespace {

using finchstile::testing::TemporaryDirectory;

TEST(Expectations, ReportsFailedExpectations) {
  TemporaryDirectory f;
  const std::string path =
      f.write("h.hook",
              "hook \"h\";\non request { tag(\"t\", \"1\"); set header(\"X\", \"1\"); }\non attempt { let a "
              "= 1 / (attempt - 1); }\n"
              "on answer { set header(\"Y\", to_text(status)); }\n"
              "expect \"a\" { then tag \"t\" = \"2\"; then header \"Z\" = \"1\"; then count \"c\"; }\n"
              "expect \"b\" { then no header \"X\"; then fault; }\n"
              "expect \"c\" { attempt 1; then fault; }\n"
              "expect \"d\" { attempt 2; status 404; then header \"Y\" = \"404\"; then tag \"t\" = \"1\"; }\n"
              "expect \"e\" { attempt 1; }\n");
  std::vector<std::string> problems;
  const auto loaded = loadHook(path, problems);
  ASSERT_TRUE(loaded) << problems[0];
  std::vector<std::string> got;
  for (const Problem& p : runExpectations(*loaded->executable, loaded->expectations, RunBudget{}))
    got.push_back(p.message);
  EXPECT_EQ(
      got,
      (std::vector<std::string>{
          "'a' does not hold: header \"Z\" is not set", "'a' does not hold: tag \"t\" is \"1\", not \"2\"",
          "'a' does not hold: \"c\" is not counted", "'b' does not hold: there is no fault",
          "'b' does not hold: header \"X\" is set", "'e' does not hold: fault on line 3: division by zero"}));
}

}  // namespace
}  // namespace finchstile::hook
