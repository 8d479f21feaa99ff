#include "hook/settings.hpp"

#include <gtest/gtest.h>

namespace finchstile::hook {
namespace {

TEST(HookSettings, ReadsSettingsAndReportsAllErrors) {
  std::vector<SettingProblem> problems;
  const auto read = [&](const char* text) {
    problems.clear();
    const SettingNode document = parseToml(text, problems);
    HookSettings s;
    {
      SettingReader root(document, "", problems);
      readHookSettings(root, "/etc/finch", s);
    }
    return s;
  };
  const HookSettings s = read(
      "[hooks]\nbody_limit = 100\ntag_header = 'X-Tags'\n[[hooks.hook]]\nfile = 'y.hook'\nclasses = "
      "['log-in']\n"
      "on_fault = 'closed'\nfaults = 3\nbackoff = '2s'\n[[hooks.hook]]\nfile = '/abs/z.hook'\nshadow = "
      "'n.hook'\n");
  EXPECT_TRUE(problems.empty());
  ASSERT_EQ(s.hooks.size(), 2u);
  EXPECT_EQ(s.hooks[0].path, "/etc/finch/y.hook");
  EXPECT_TRUE(s.hooks[0].spec.failClosed);
  EXPECT_EQ(s.hooks[0].spec.faultPolicy.maxFaults, 3u);
  EXPECT_EQ(s.hooks[1].path, "/abs/z.hook");
  EXPECT_EQ(s.hooks[1].shadow, "/etc/finch/n.hook");
  read(
      "[hooks]\ntag_header = 'Content-Length'\ntime_share = 0.9\n[[hooks.hook]]\nfuel = 3\npaths = ['x']\n"
      "backoff = '10s'\nbackoff_most = '1s'\non_fault = 'close'\n");
  EXPECT_EQ(problems.size(), 7u);
}

}  // namespace
}  // namespace finchstile::hook
