#include "app/summary_log.hpp"

#include <gtest/gtest.h>

namespace finchstile {
namespace {

using std::chrono::milliseconds;

TEST(SummaryLog, SubjectIsTheTextBeforeTheFirstNumber) {
  EXPECT_EQ(subjectOfSummary("crossing class=a zone=b attempts=3 in=4"), "crossing class=a zone=b");
  EXPECT_EQ(subjectOfSummary("streams held=1 taken=2"), "streams held");
  EXPECT_EQ(subjectOfSummary("no figures"), "no figures");
}

TEST(SummaryLog, PrintsALineOnlyWhenItHasChanged) {
  boost::asio::io_context io;
  std::vector<std::string> current = {"streams held=1", "hook a runs=1"};
  std::vector<std::string> printed;
  SummaryLog log(
      io, [&] { return current; }, [&](std::string_view line) { printed.emplace_back(line); });
  log.setInterval(milliseconds(1));
  log.start();
  while (printed.size() < 2) io.run_one();
  current[1] = "hook a runs=2";
  while (printed.size() < 3) io.run_one();
  EXPECT_EQ(printed, (std::vector<std::string>{"streams held=1", "hook a runs=1", "hook a runs=2"}));
}

}  // namespace
}  // namespace finchstile
