#include "hook/table.hpp"

#include <gtest/gtest.h>

namespace finchstile::hook {
namespace {

std::vector<std::string> problemsOf(const std::string& text) {
  std::vector<Problem> problems;
  const bool good = Table::parse(text, problems).has_value();
  EXPECT_EQ(good, problems.empty());
  std::vector<std::string> out;
  for (const Problem& p : problems) out.push_back(std::to_string(p.at.line) + ": " + p.message);
  return out;
}

TEST(Table, ReadsKeysAndValues) {
  std::vector<Problem> problems;
  const auto t = Table::parse("# yards\r\nB12 = Brasov north \n\n  C3\t\nD = a = b\n", problems);
  ASSERT_TRUE(t);
  EXPECT_EQ(t->size(), 3u);
  EXPECT_EQ(t->lookUp("B12"), "Brasov north");
  EXPECT_TRUE(t->contains("C3"));
  EXPECT_EQ(t->lookUp("C3"), "");
  EXPECT_EQ(t->lookUp("D"), "a = b");
  EXPECT_FALSE(t->contains("b12"));
  EXPECT_FALSE(t->contains(""));
}

TEST(Table, ContainsNothingIfEmpty) {
  std::vector<Problem> problems;
  EXPECT_FALSE(Table::parse("", problems)->contains("x"));
  EXPECT_FALSE(Table::of({}).contains(""));
  EXPECT_FALSE(Table().contains("x"));
}

TEST(Table, ReportsTheLineOfAnError) {
  EXPECT_EQ(problemsOf("a\nb\na = 2\n"), (std::vector<std::string>{"3: the key 'a' stands twice"}));
  EXPECT_EQ(problemsOf("a\n= x\n" + std::string(1025, 'k') + "\n").size(), 2u);
  EXPECT_EQ(problemsOf("#entries 3\na\nb\n"),
            (std::vector<std::string>{"1: the table is not whole: #entries says 3, and 2 were read"}));
  EXPECT_EQ(problemsOf("#entries many\na\n").size(), 1u);
  EXPECT_TRUE(problemsOf("#entries 2\na\nb\n").empty());
  EXPECT_LE(problemsOf([] {
              std::string s;
              for (int i = 0; i < 1000; ++i) s += "same\n";
              return s;
            }())
                .size(),
            kMaxProblems);
}

TEST(Table, FindsEachOfAHundredThousandKeys) {
  std::string text = "#entries 100000\n";
  for (int i = 0; i < 100000; ++i) text += "yard-" + std::to_string(i) + " = " + std::to_string(i * 7) + "\n";
  std::vector<Problem> problems;
  const auto t = Table::parse(text, problems);
  ASSERT_TRUE(t);
  for (int i = 0; i < 100000; i += 17)
    ASSERT_EQ(t->lookUp("yard-" + std::to_string(i)), std::to_string(i * 7));
  EXPECT_FALSE(t->contains("yard-100000"));
  EXPECT_LT(t->bytes(), 8u * 1024 * 1024);
}

}  // namespace
}  // namespace finchstile::hook
