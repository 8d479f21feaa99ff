// HookChain: order, scopes, faults, suspension, versions and shadows. The tests control the time.
#include "hook/hook_chain.hpp"

#include "hook/support.hpp"

namespace finchstile::hook::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct HookChainTest : ::testing::Test {
  std::vector<std::string> lines;
  HookChain chain{[this](std::string_view line) { lines.emplace_back(line); }};
  Time now = std::chrono::hours(1);
  std::uint64_t version = 0;
  MapHeaders headers;

  static HookSpec spec(const std::string& source) {
    HookSpec s;
    s.file = "f.hook";
    s.executable = compileAndLink(source);
    return s;
  }
  static std::string hookSource(const std::string& name, const std::string& body,
                                const std::string& on = "request") {
    return "hook \"" + name + "\";\non " + on + " {\n" + body + "\n}\n";
  }
  void install(std::vector<HookSpec> hooks, ChainSettings settings = {}) {
    auto set = std::make_shared<HookSet>();
    set->version = ++version;
    set->settings = settings;
    set->hooks = std::move(hooks);
    chain.install(set);
  }
  // A request after its `request` handlers.
  struct StartedRequest {
    HookedRequest request;
    HookDecision decision;
    std::vector<HeaderLine> headers;
  };
  StartedRequest startRequest(const std::string& path = "/log-in/1", Duration left = seconds(1)) {
    StartedRequest a;
    a.request = chain.beginRequest(left);
    RunInput in = input(path);
    a.decision = chain.onRequest(now, a.request, in, "id-1", a.headers);
    return a;
  }
  RunInput input(const std::string& path) {
    RunInput in = exampleInput();
    path_ = path;
    in.path = path_;
    in.requestHeaders = &headers;
    return in;
  }
  std::string path_;
};

const char* const kFaultsOnBadPath =
    "if starts_with(path, \"/bad\") { let a = 1 / (length(path) - length(path)); }";

TEST_F(HookChainTest, RunsHooksInOrderAndShowsThemEarlierTags) {
  install(
      {spec(hookSource("a", "tag(\"t\", \"a\"); set header(\"X-A\", \"1\");")),
       spec(hookSource("b", "set header(\"X-B\", tag_value(\"t\")); tag(\"t\", tag_value(\"t\") + \"b\");")),
       spec(hookSource("c", "if tag_value(\"t\") == \"ab\" { reject(403, \"seen\"); }")),
       spec(hookSource("d", "log(\"never reached\");"))});
  const StartedRequest a = startRequest();
  EXPECT_EQ(a.decision.rejectStatus, 403);
  EXPECT_EQ(a.decision.reason, "seen");
  ASSERT_EQ(a.headers.size(), 2u);
  EXPECT_EQ(a.headers[1].value, "a");
  EXPECT_TRUE(lines.empty());
  EXPECT_EQ(chain.counts("c")->rejected, 1u);
  EXPECT_EQ(chain.counts("d")->runs, 0u);
  EXPECT_EQ(chain.counts("none"), nullptr);
}

TEST_F(HookChainTest, ReplacesTagsThatOtherResultsStillReference) {
  const std::string longText(300, 'v');  // longer than any small-string buffer
  install({spec(hookSource("a", "tag(\"t\", \"" + longText + "\");")),
           spec(hookSource("b", "let old = tag_value(\"t\"); tag(\"t\", \"new\"); tag(\"u\", old);"))});
  const StartedRequest a = startRequest();
  ASSERT_EQ(a.request.tags.size(), 2u);
  EXPECT_EQ(a.request.tags[0].value, "new");
  EXPECT_EQ(a.request.tags[1].value, longText);
}

TEST_F(HookChainTest, RunsHooksOnlyInTheirScope) {
  HookSpec s = spec(hookSource("a", "count(\"n\");"));
  s.classes = {"log-in", "x"};
  s.paths = {"/log-in/1"};
  s.tenants = {"acme"};
  install({s});
  startRequest("/log-in/17");
  startRequest("/log-in/2");
  EXPECT_EQ(chain.counts("a")->runs, 1u);
  s.tenants = {"other"};
  install({s});
  startRequest("/log-in/17");
  EXPECT_EQ(chain.counts("a")->runs, 1u);
}

// The hook fails open and faults on one request in a thousand.
TEST_F(HookChainTest, ReportsRareFaultsAndLetsTheRequestPass) {
  install({spec(hookSource("rare", kFaultsOnBadPath)), spec(hookSource("next", "count(\"n\");"))});
  for (int i = 0; i < 20000; ++i, now += milliseconds(5)) {
    const StartedRequest a = startRequest(i % 1000 == 7 ? "/bad" : "/good");
    EXPECT_EQ(a.decision.rejectStatus, 0);
  }
  const HookCounts& c = *chain.counts("rare");
  EXPECT_EQ(c.faults, 20u);
  EXPECT_EQ(c.byFault[static_cast<std::size_t>(Fault::divideByZero)], 20u);
  EXPECT_EQ(c.suspensions, 0u);
  EXPECT_EQ(chain.counts("next")->runs, 20000u);
  ASSERT_EQ(lines.size(), 20u);
  EXPECT_EQ(lines[0],
            "hook rare faulted on line 3 of f.hook (on request): division by zero; request id-1; fault 1");
}

TEST_F(HookChainTest, DoublesTheBackoffOfAFaultyHookUntilATrialResetsIt) {
  HookSpec s = spec(hookSource("h", kFaultsOnBadPath));
  s.faultPolicy.maxFaults = 3;
  s.faultPolicy.window = seconds(10);
  s.faultPolicy.initialBackoff = seconds(1);
  s.faultPolicy.maxBackoff = seconds(3);
  install({s});
  startRequest("/bad");
  startRequest("/bad");
  EXPECT_FALSE(chain.isSuspended("h", now));
  startRequest("/bad");
  EXPECT_TRUE(chain.isSuspended("h", now));
  EXPECT_EQ(startRequest("/bad").decision.rejectStatus, 0);
  EXPECT_EQ(chain.counts("h")->runs, 3u);  // not run while suspended
  EXPECT_EQ(chain.counts("h")->skipped, 1u);
  now += milliseconds(1001);
  startRequest("/bad");  // on trial, one fault suspends the hook
  EXPECT_EQ(chain.counts("h")->suspensions, 2u);
  now += milliseconds(1500);
  EXPECT_TRUE(chain.isSuspended("h", now));  // twice as long
  now += milliseconds(600);
  startRequest("/bad");
  now += milliseconds(2900);
  EXPECT_TRUE(chain.isSuspended("h", now));  // limited by maxBackoff
  now += milliseconds(200);
  startRequest("/good");
  now += seconds(11);  // the trial has lasted longer than the window
  startRequest("/good");
  startRequest("/bad");
  EXPECT_FALSE(chain.isSuspended("h", now));
  EXPECT_EQ(chain.counts("h")->suspensions, 3u);
}

TEST_F(HookChainTest, KeepsAHookWhoseFaultsAreSpreadOverMoreThanTheWindow) {
  HookSpec s = spec(hookSource("h", kFaultsOnBadPath));
  s.faultPolicy.maxFaults = 2;
  s.faultPolicy.window = seconds(1);
  install({s});
  for (int i = 0; i < 50; ++i, now += milliseconds(1100)) startRequest("/bad");
  EXPECT_EQ(chain.counts("h")->suspensions, 0u);
}

TEST_F(HookChainTest, FailsClosedOnlyBeforeTheFirstAttempt) {
  HookSpec s = spec("hook \"h\";\non request { " + std::string(kFaultsOnBadPath) +
                    " }\non attempt { let a = 1 / (attempt - attempt); }\non answer { let a = 1 / (attempt - "
                    "attempt); }\n");
  s.failClosed = true;
  s.faultPolicy.maxFaults = 1;
  install({s});
  StartedRequest good = startRequest("/good");
  EXPECT_EQ(good.decision.rejectStatus, 0);
  RunInput in = input("/good");
  std::vector<HeaderLine> out;
  chain.onAttempt(now, good.request, in, "id-2", out);
  chain.onResponse(now, good.request, in, "id-2", out);
  EXPECT_TRUE(out.empty());
  EXPECT_EQ(chain.counts("h")->faults, 1u);   // in the handler of attempts
  EXPECT_EQ(chain.counts("h")->skipped, 1u);  // in the handler of responses: suspended by then
  const StartedRequest rejection = startRequest("/good");
  EXPECT_EQ(rejection.decision.rejectStatus, 503);
  EXPECT_GT(rejection.decision.retryAfter, Duration{});
  EXPECT_LE(rejection.decision.retryAfter, seconds(1));
  EXPECT_EQ(chain.counts("h")->rejectedFailClosed, 1u);
}

// Clients with short deadlines must not cause the suspension of a hook for all clients.
TEST_F(HookChainTest, DoesNotCountRunsCutShortByTheClientsDeadlineAsFaults) {
  HookSpec s = spec(hookSource("h", "for i in 0 .. 400 { }"));
  s.faultPolicy.maxFaults = 1;
  install({s});
  startRequest("/x", milliseconds(1));  // a tenth of it is 100 us, too little for 400 iterations
  EXPECT_EQ(chain.counts("h")->runs, 1u);
  for (int i = 0; i < 10; ++i) startRequest("/x", std::chrono::microseconds(100));
  startRequest("/x", Duration(-5));
  EXPECT_EQ(chain.counts("h")->faults, 0u);
  EXPECT_GE(chain.counts("h")->outOfTime, 11u);
  EXPECT_FALSE(chain.isSuspended("h", now));
  EXPECT_EQ(startRequest("/x", seconds(1)).decision.rejectStatus, 0);
  EXPECT_TRUE(lines.empty());
}

// All hooks of a request share one allowance.
TEST_F(HookChainTest, KeepsSixtyFourHooksWithinOneAllowance) {
  std::vector<HookSpec> all;
  for (std::size_t i = 0; i < kMaxHooks; ++i) {
    all.push_back(spec(hookSource("h" + std::to_string(i), "while true { }")));
    all.back().budget.instructions = 100'000;
    all.back().faultPolicy.maxFaults = 64;
  }
  install(all);
  HookedRequest request = chain.beginRequest(milliseconds(100));
  const std::int64_t allowed = request.allowanceNs;
  RunInput in = input("/x");
  std::vector<HeaderLine> out;
  chain.onRequest(now, request, in, "id", out);
  std::uint64_t spent = 0;
  for (std::size_t i = 0; i < kMaxHooks; ++i) spent += chain.counts("h" + std::to_string(i))->instructions;
  EXPECT_LE(spent * 20, static_cast<std::uint64_t>(allowed));
  EXPECT_GT(spent, 0u);
}

TEST_F(HookChainTest, KeepsTheVersionThatARequestStartedWith) {
  install(
      {spec("hook \"h\";\non request { tag(\"v\", \"1\"); }\non attempt { set header(\"X-V\", \"1\"); }\n")});
  StartedRequest old = startRequest();
  install(
      {spec("hook \"h\";\non request { tag(\"v\", \"2\"); }\non attempt { set header(\"X-V\", \"2\"); }\n")});
  StartedRequest fresh = startRequest();
  RunInput in = input("/x");
  std::vector<HeaderLine> out;
  chain.onAttempt(now, old.request, in, "id", out);
  chain.onAttempt(now, fresh.request, in, "id", out);
  ASSERT_EQ(out.size(), 2u);
  EXPECT_EQ(out[0].value, "1");
  EXPECT_EQ(out[1].value, "2");
}

TEST_F(HookChainTest, KeepsTheHealthOfUnchangedProgramsOnly) {
  HookSpec s = spec(hookSource("h", kFaultsOnBadPath));
  s.faultPolicy.maxFaults = 1;
  s.faultPolicy.initialBackoff = seconds(60);
  install({s});
  startRequest("/bad");
  install({spec(hookSource("h", kFaultsOnBadPath))});  // recompiled from the same source
  EXPECT_TRUE(chain.isSuspended("h", now));
  EXPECT_EQ(chain.counts("h")->faults, 1u);
  install({spec(hookSource("h", "count(\"mended\");"))});
  EXPECT_FALSE(chain.isSuspended("h", now));
  startRequest("/bad");
  EXPECT_EQ(chain.counts("h")->faults, 0u);
  EXPECT_EQ(chain.counts("h")->counted.at("mended"), 1u);
}

TEST_F(HookChainTest, ComparesAShadowWithoutApplyingIt) {
  HookSpec s = spec(hookSource("h", "set header(\"X\", \"1\");"));
  s.shadow = compileAndLink(
      hookSource("h", "if starts_with(path, \"/new\") { reject(403, \"no\"); } set header(\"X\", \"1\");"));
  install({s});
  for (int i = 0; i < 10; ++i) {
    const StartedRequest a = startRequest(i == 3 ? "/new" : "/old");
    EXPECT_EQ(a.decision.rejectStatus, 0);
    EXPECT_EQ(a.headers.size(), 1u);
  }
  EXPECT_EQ(chain.counts("h")->shadowRuns, 10u);
  EXPECT_EQ(chain.counts("h")->shadowDifferences, 1u);
  ASSERT_EQ(lines.size(), 1u);
  EXPECT_EQ(lines[0], "hook h: its shadow rejects with 403 (on request); request id-1; difference 1 of 4");
}

TEST_F(HookChainTest, NeverSuspendsAHookForItsShadow) {
  HookSpec s = spec(hookSource("h", "count(\"n\");"));
  s.shadow = compileAndLink(hookSource("h", "while true { }"));
  s.faultPolicy.maxFaults = 1;
  install({s});
  for (int i = 0; i < 20; ++i) startRequest();
  EXPECT_FALSE(chain.isSuspended("h", now));
  EXPECT_EQ(chain.counts("h")->shadowDifferences, 20u);
  EXPECT_EQ(chain.counts("h")->counted.at("n"), 20u);
}

TEST_F(HookChainTest, LimitsLinesAndReportsHowManyWereOmitted) {
  HookSpec s = spec(hookSource("h", kFaultsOnBadPath));
  s.faultPolicy.maxFaults = 64;
  s.faultPolicy.window = milliseconds(100);
  install({s});
  for (int i = 0; i < 40; ++i) startRequest("/bad");
  EXPECT_EQ(lines.size(), 5u);
  now += seconds(2);
  startRequest("/bad");
  ASSERT_EQ(lines.size(), 6u);
  EXPECT_NE(lines[5].find("(35 earlier lines omitted)"), std::string::npos) << lines[5];
}

TEST_F(HookChainTest, ReplacesControlBytesInLines) {
  install({spec(hookSource("h", "log(\"a\\n\\x1b[2J\" + path);"))});
  startRequest("/x\x01y");
  ASSERT_EQ(lines.size(), 1u);
  EXPECT_EQ(lines[0], "hook h: a??[2J/x?y; request id-1");
}

TEST_F(HookChainTest, SummarizesEachHookInALine) {
  install({spec(hookSource("a", "count(\"n\");")), spec(hookSource("b", kFaultsOnBadPath))});
  startRequest("/bad");
  const auto all = chain.summary(now);
  ASSERT_EQ(all.size(), 2u);
  EXPECT_EQ(all[0].substr(0, 37), "hook a runs=1 rejected=0 faults=0 sho");
  EXPECT_NE(all[0].find("count.n=1"), std::string::npos);
  EXPECT_NE(all[1].find("faults=1"), std::string::npos);
}

}  // namespace
}  // namespace finchstile::hook::testing
