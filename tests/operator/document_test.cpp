#include "operator/document.hpp"

#include <gtest/gtest.h>

namespace finchstile {
namespace {

TEST(Document, KeepsTypesAndLineNumbers) {
  std::vector<SettingProblem> problems;
  const SettingNode d = parseToml("a = 1\n[t]\nb = 'x'\nl = [1.5, true]\nd = 1979-05-27\n", problems);
  ASSERT_TRUE(problems.empty());
  const auto& root = std::get<SettingNode::Table>(d.value);
  EXPECT_EQ(std::get<std::int64_t>(root.at("a").value), 1);
  const auto& t = std::get<SettingNode::Table>(root.at("t").value);
  EXPECT_EQ(std::get<std::string>(t.at("b").value), "x");
  EXPECT_EQ(t.at("b").line, 3);
  EXPECT_EQ(t.at("l").kind(), "a list");
  EXPECT_EQ(t.at("d").kind(), "a date or time");
}

TEST(Document, ReportsTheLineOfASyntaxError) {
  std::vector<SettingProblem> problems;
  parseToml("a = 1\nb = = 2\n", problems);
  ASSERT_EQ(problems.size(), 1u);
  EXPECT_EQ(problems[0].line, 2);
  EXPECT_EQ(describe("f.toml", problems[0]).substr(0, 18), "f.toml:2: not TOML");
}

TEST(Document, BoundsSizeAndDepth) {
  std::vector<SettingProblem> problems;
  parseToml(std::string(kMaxDocumentBytes + 1, '\n'), problems);
  EXPECT_EQ(problems.size(), 1u);
  std::string deep = "a = ";
  for (int i = 0; i < 40; ++i) deep += "[";
  for (int i = 0; i < 40; ++i) deep += "]";
  problems.clear();
  parseToml(deep, problems);
  ASSERT_FALSE(problems.empty());
  EXPECT_NE(problems[0].what.find("deep"), std::string::npos);
}

}  // namespace
}  // namespace finchstile
