#include "operator/reader.hpp"

#include <gtest/gtest.h>

namespace finchstile {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::vector<std::string> problemsOf(const char* text, const std::function<void(SettingReader&)>& read) {
  std::vector<SettingProblem> problems;
  const SettingNode document = parseToml(text, problems);
  {
    SettingReader reader(document, "", problems);
    read(reader);
  }
  std::vector<std::string> lines;
  for (const auto& p : problems) lines.push_back(describe("f", p));
  return lines;
}

TEST(Durations, ParseNumberAndUnitAndRejectOtherText) {
  EXPECT_EQ(parseDuration("250ms"), milliseconds(250));
  EXPECT_EQ(parseDuration("1.5s"), milliseconds(1500));
  EXPECT_EQ(parseDuration("2h"), seconds(7200));
  for (const char* bad : {"", "5", "ms", "-1s", "1 s", "1e3s", "1sec", "99999999h", "nan s", "infs"})
    EXPECT_FALSE(parseDuration(bad)) << bad;
  for (const char* good : {"0s", "7us", "90s", "3m", "1ns"})
    EXPECT_EQ(formatDuration(*parseDuration(good)), good);
}

TEST(Reader, ReadsValidValuesAndKeepsDefaultsOfMissingKeys) {
  bool b = false;
  std::int64_t i = 7, missing = 5;
  double d = 0;
  load_balancing::Duration t{};
  std::vector<std::string> list;
  EXPECT_TRUE(problemsOf("b = true\ni = 3\nd = 1\nt = '20ms'\nl = ['x', 'y']\n", [&](SettingReader& r) {
                r.boolean("b", b);
                r.integer("i", i, 0, 9);
                r.integer("missing", missing, 0, 9);
                r.number("d", d, 0, 1);
                r.duration("t", t, milliseconds(1), seconds(1));
                r.texts("l", list, 2, 5);
              }).empty());
  EXPECT_TRUE(b);
  EXPECT_EQ(i, 3);
  EXPECT_EQ(missing, 5);
  EXPECT_EQ(d, 1);
  EXPECT_EQ(t, milliseconds(20));
  EXPECT_EQ(list, (std::vector<std::string>{"x", "y"}));
}

// All errors are reported together, so that a file can be corrected in one pass.
TEST(Reader, ReportsAllErrorsWithAllowedValues) {
  std::int64_t i = 7;
  load_balancing::Duration t = seconds(1);
  std::string c = "open";
  const auto lines =
      problemsOf("i = 10\nt = '2ms'\nc = 'opne'\n[s]\nfule = 1\nx = 'text'\n", [&](SettingReader& r) {
        r.integer("i", i, 0, 9);
        r.duration("t", t, milliseconds(5), seconds(1));
        r.choice("c", c, {"open", "closed"});
        r.table("s", [&](SettingReader& s) {
          std::size_t fuel = 0;
          s.size("fuel", fuel, 1, 10);
          s.size("x", fuel, 1, 10);
        });
        r.require("needed", "the name of it");
      });
  ASSERT_EQ(lines.size(), 6u);
  EXPECT_EQ(lines[0], "f:1: i must be from 0 to 9, and is 10");
  EXPECT_EQ(lines[1], "f:2: t must be a time from 5ms to 1s, as in \"250ms\", and is \"2ms\"");
  EXPECT_EQ(lines[2], "f:3: c must be one of \"open\" \"closed\", and is \"opne\"; did you mean \"open\"?");
  EXPECT_EQ(lines[3], "f:6: s.x must be an integer from 1 to 10, and is text");
  EXPECT_EQ(lines[4], "f:5: unknown key s.fule; did you mean s.fuel?");
  EXPECT_NE(lines[5].find("needed is missing: the name of it"), std::string::npos);
  EXPECT_EQ(i, 7);
  EXPECT_EQ(t, seconds(1));
  EXPECT_EQ(c, "open");
}

TEST(Reader, ArraysOfTablesAreBoundedAndNumbered) {
  const auto read = [](SettingReader& r) {
    r.tables("hook", 2, [](SettingReader& h) {
      std::string name;
      h.text("name", name, 4);
    });
  };
  EXPECT_EQ(problemsOf("[[hook]]\nname='a'\n[[hook]]\nname='toolong'\n", read),
            (std::vector<std::string>{"f:4: hook[2].name must be text of 1 to 4 bytes, and has 7"}));
  EXPECT_EQ(problemsOf("[[hook]]\n[[hook]]\n[[hook]]\n", read).size(), 1u);
  EXPECT_EQ(problemsOf("hook = 3\n", read).size(), 1u);
}

TEST(Reader, NearestOfFindsSwapsAndRejectsUnrelatedKeys) {
  EXPECT_EQ(nearestOf("idel", {"idle", "request"}), "idle");
  EXPECT_EQ(nearestOf("descriptor_shares", {"descriptor_share"}), "descriptor_share");
  EXPECT_EQ(nearestOf("zzzzzz", {"idle", "request"}), "");
}

}  // namespace
}  // namespace finchstile
