// The command line: output and exit codes.
#include <gtest/gtest.h>

#include <csignal>

#include "support/process.hpp"

namespace finchstile::testing {
namespace {

struct CommandResult {
  int code;
  std::string output;
};

struct CommandsTest : ::testing::Test {
  TemporaryDirectory folder;
  CommandResult run(std::vector<std::string> arguments) const {
    unsetenv("LB_CONFIG");
    Process p(FINCHSTILE_PROGRAM, std::move(arguments), folder / "log");
    const int code = p.wait();
    return {code, p.logged()};
  }
};

TEST_F(CommandsTest, PrintsVersionAndHelp) {
  EXPECT_EQ(run({"--version"}).output.substr(0, 11), "finchstile ");
  const CommandResult help = run({"--help"});
  EXPECT_EQ(help.code, 0);
  for (const char* word : {"run", "check", "--operator", "Exit codes"})
    EXPECT_NE(help.output.find(word), std::string::npos) << word;
}

TEST_F(CommandsTest, InvalidCommandLineExitsWithCodeTwo) {
  EXPECT_EQ(run({}).code, 2);  // no configuration
  EXPECT_EQ(run({"--oprator", "x"}).code, 2);
  EXPECT_EQ(run({"serve"}).code, 2);
  EXPECT_EQ(run({"check"}).code, 2);
}

TEST_F(CommandsTest, UnreadableConfigurationExitsWithOneErrorLine) {
  const CommandResult r = run({"--config", "/nowhere/at/all"});
  EXPECT_EQ(r.code, 1);
  EXPECT_EQ(r.output.substr(0, 24), "finchstile: cannot read ");
  EXPECT_EQ(r.output.find('\n'), r.output.size() - 1);
}

TEST_F(CommandsTest, CheckListsAllErrorsAndExitsWithCodeThree) {
  folder.write("good.toml", "[clients]\nidle = '10s'\n");
  folder.write("bad.toml", "[clients]\nidel = '10s'\nwrite = 3\n");
  const CommandResult good = run({"check", "--operator", folder / "good.toml"});
  EXPECT_EQ(good.code, 0) << good.output;
  const CommandResult bad = run({"check", "--operator", folder / "bad.toml", "--config", "/nowhere"});
  EXPECT_EQ(bad.code, 3);
  for (const char* part : {"bad.toml:2: unknown key clients.idel; did you mean clients.idle?",
                           "bad.toml:3: clients.write must be", "/nowhere: cannot read"})
    EXPECT_NE(bad.output.find(part), std::string::npos) << bad.output;
}

TEST_F(CommandsTest, HookCommandChecksRunsAndShowsHooks) {
  const std::string good =
      folder.write("g.hook",
                   "hook \"g\";\non request {\n  if header(\"X-Yard\") == \"\" { reject(422, "
                   "\"no yard\"); }\n  tag(\"yard\", header(\"X-Yard\"));\n}\n"
                   "expect \"none\" { then reject 422; }\n");
  const CommandResult checked = run({"hook", "check", good, "--bytecode", folder / "g.hookc"});
  EXPECT_EQ(checked.code, 0) << checked.output;
  EXPECT_NE(checked.output.find("good: hook g, "), std::string::npos);
  const CommandResult ran = run({"hook", "run", folder / "g.hookc", "--header", "x-yard=B12"});
  EXPECT_EQ(ran.output.substr(0, 18), "tag yard=B12\npass\n") << ran.output;
  EXPECT_EQ(run({"hook", "run", good}).output.substr(0, 19), "reject 422: no yard");
  EXPECT_EQ(run({"hook", "run", good, "--on", "answer"}).code, 3);
  EXPECT_NE(run({"hook", "show", good}).output.find("reject"), std::string::npos);
  EXPECT_EQ(run({"hook"}).code, 2);
  const std::string bad = folder.write("b.hook", "hook \"b\";\non request { oops(1); }\n");
  const CommandResult refused = run({"hook", "check", bad, good});
  EXPECT_EQ(refused.code, 3);
  EXPECT_NE(refused.output.find("b.hook:2:14: there is no action 'oops'"), std::string::npos)
      << refused.output;
  EXPECT_NE(refused.output.find("good: hook g"), std::string::npos);  // the valid hook is reported as well
}

TEST_F(CommandsTest, TraceCommandMergesAndAuditsAttemptLogs) {
  const auto attempt = [](const char* gateway, const char* at, const char* outcome, const char* ran) {
    return std::string("trace attempt gw=") + gateway +
           " id=x class=out effect=unsafe try=0 host=s-1 zone=a cell=0 " + at + " outcome=" + outcome +
           " why=host ran=" + ran + " word_ms=5 heard_ms=-1 up_ms=0 avoided=0\n";
  };
  const std::string one = attempt("n1", "sent=1000000 begun=1000100 ended=1050000", "reset", "maybe");
  folder.write("a",
               "9.1 cutoff 100\n" + one +
                   "trace request gw=n1 id=x class=out effect=unsafe came=1000000 ended=1050000 left_ms=400 "
                   "end=failed status=502 attempts=1 cut=0\n");
  EXPECT_EQ(run({"trace", folder / "a", "--audit"}).code, 0);
  const CommandResult timeline = run({"trace", folder / "a", "--id", "x"});
  EXPECT_EQ(timeline.code, 0);
  EXPECT_NE(timeline.output.find("n1 attempt 0: reset by host, ran: maybe"), std::string::npos)
      << timeline.output;
  EXPECT_NE(run({"trace", folder / "a", "--by", "host"}).output.find("s-1"), std::string::npos);
  folder.write("b", attempt("n2", "sent=1200000 begun=1200100 ended=1250000", "served", "yes"));
  const CommandResult both = run({"trace", folder / "a", folder / "b", "--audit"});
  EXPECT_EQ(both.code, 3);
  EXPECT_NE(both.output.find("ran_twice n2 x: sent to s-1 after reset at s-1"), std::string::npos)
      << both.output;
  folder.write("c", "trace start gw=n1\n");
  const CommandResult bad = run({"trace", folder / "c"});
  EXPECT_EQ(bad.code, 3);
  EXPECT_NE(bad.output.find("c:1: at is missing"), std::string::npos) << bad.output;
  EXPECT_EQ(run({"trace", folder / "nowhere"}).code, 1);
  EXPECT_EQ(run({"trace", folder / "a", "--by", "moon"}).code, 2);
  EXPECT_EQ(run({"trace", folder / "a", "--audit", "--slack", "soon"}).code, 2);
  EXPECT_EQ(run({"trace", folder / "a", "--id", "y"}).code, 3);
}

}  // namespace
}  // namespace finchstile::testing
