// The log of attempts in the program: a gateway with hosts of the test's own, what it writes, and the file
// that fills up, can't be opened, or is slow.
#include <sys/resource.h>
#include <sys/stat.h>

#include <csignal>
#include <cstdio>
#include <map>

#include "app/trace_file.hpp"
#include "app/trace_log.hpp"
#include "support/gateway_fixture.hpp"
#include "support/process.hpp"
#include "trace/join.hpp"

namespace finchstile::testing {
namespace {

using trace::Join;

struct Logs {
  Join join;
  std::vector<trace::Line> lines;
  std::size_t bad = 0;
  std::map<std::string, std::size_t> kinds;
};

Logs readLogs(const std::string& path) {
  Logs out;
  std::ifstream file(path);
  for (std::string line; std::getline(file, line);) {
    const trace::Parsed p = trace::parse(line);
    out.bad += p.kind == trace::Parsed::Kind::bad;
    if (p.kind == trace::Parsed::Kind::line) out.join.add(p.line), out.lines.push_back(p.line);
    ++out.kinds[line.substr(0, line.find(' ', 6))];
  }
  return out;
}

struct TraceTest : GatewayTest {
  Folder folder;
  trace::TraceSettings settings;
  std::unique_ptr<TraceLog> log;

  // A gateway that writes to `trace` in the folder.
  void startTraced(const std::function<void(json&)>& change = [](json&) {}) {
    json config = configJson(discovery.endpoint(), listed());
    change(config);
    GatewayConfig read = readConfig(config.dump(), clock);
    gateway = std::make_unique<Gateway>(io, clock, std::move(read));
    settings.file = folder / "trace-{name}";
    log = std::make_unique<TraceLog>(io, clock, settings, "n/1");
    gateway->setAttemptLog(*log);
    gateway->start();
  }
  Logs ended() {
    log->stop(gateway->openRequests());
    gateway.reset();
    log.reset();
    return readLogs(folder / "trace-n_1");
  }
  // Asks and waits for the answer.
  int ask(Client& c, const char* method, const char* path, const std::string& body = {}) {
    const std::size_t before = c.answers.size();
    c.ask(method, path, 1000, body);
    if (!until([&] { return c.answers.size() > before || c.ended; }) || c.ended) return 0;
    return static_cast<int>(c.answers.back().result_int());
  }
};

TEST_F(TraceTest, EveryRequestHasItsLinesAndTheRulesAreSeenToBeKept) {
  int n = 0;
  for (int i = 0; i < 3; ++i)
    host([&](const std::shared_ptr<Peer>& peer, const Received&) {
      switch (++n % 5) {
        case 0: return peer->reply(503, "", "X-Unprocessed: 1\r\n");
        case 1: return peer->close();
        case 2: return peer->reply(500, "");
        default: return peer->reply(200, "ok");
      }
    });
  startTraced();
  std::map<int, std::size_t> statuses;
  for (int i = 0; i < 60; ++i) {
    const auto c = client();
    const int status = i % 2 ? ask(*c, "GET", "/read") : ask(*c, "POST", "/book", "x");
    ++statuses[status];
  }
  ASSERT_TRUE(until([&] { return gateway->openRequests() == 0; }));
  Logs all = ended();
  EXPECT_EQ(all.bad, 0u);
  EXPECT_EQ(all.join.requests(), 60u);
  EXPECT_EQ(all.join.missing(), 0u);
  const auto sums = all.join.sums(Join::By::gateway);
  ASSERT_EQ(sums.count("n/1"), 1u);
  const trace::Sum& s = sums.at("n/1");
  EXPECT_EQ(s.requests, 60u);
  EXPECT_EQ(s.answered, statuses[200]);
  EXPECT_EQ(s.refused, statuses[503]);
  EXPECT_EQ(s.errored, statuses[502]);
  EXPECT_EQ(s.attempts, static_cast<std::uint64_t>(n));
  EXPECT_GT(s.full, 0u);
  EXPECT_GT(s.lost, 0u);
  EXPECT_GT(s.failed, 0u);
  EXPECT_EQ(all.kinds["trace host"], 3u);
  EXPECT_EQ(all.kinds["trace start"], 1u);
  EXPECT_EQ(all.kinds["trace stop"], 1u);
  for (const trace::Finding& f : all.join.audit({}))
    ADD_FAILURE() << trace::name(f.kind) << " " << f.id << " " << f.text << "\n"
                  << tell(all.join.story(f.id));
}

// A client that leaves, a host that never answers, a refused connect.
TEST_F(TraceTest, TheLineSaysWhyAnAttemptEnded) {
  host(hold);
  startTraced();
  const auto gone = client();
  gone->ask("GET", "/read", 1000);
  ASSERT_TRUE(until([&] { return hosts[0]->received.size() == 1; }));
  gone->close();
  ASSERT_TRUE(until([&] { return gateway->openRequests() == 0; }));
  const auto late = client();
  EXPECT_NE(ask(*late, "POST", "/book", "x"), 200);  // its time is up
  ASSERT_TRUE(until([&] { return gateway->openRequests() == 0; }));
  std::vector<trace::AttemptLine> attempts;
  std::vector<trace::RequestLine> requests;
  for (const trace::Line& line : ended().lines) {
    if (const auto* a = std::get_if<trace::AttemptLine>(&line)) attempts.push_back(*a);
    if (const auto* r = std::get_if<trace::RequestLine>(&line)) requests.push_back(*r);
  }
  ASSERT_GE(attempts.size(), 2u);
  EXPECT_EQ(attempts[0].why, trace::Why::over);
  EXPECT_EQ(attempts[0].outcome, load_balancing::Outcome::cancelled);
  EXPECT_EQ(attempts[0].ran, trace::Ran::maybe);
  EXPECT_GT(attempts[0].begun, 0);
  EXPECT_EQ(attempts[0].heard, trace::kNever);
  EXPECT_GE(attempts[0].word, 0);
  EXPECT_EQ(attempts.back().ran, trace::Ran::maybe);
  EXPECT_TRUE(attempts.back().why == trace::Why::limit || attempts.back().why == trace::Why::over);
  ASSERT_EQ(requests.size(), 2u);
  EXPECT_EQ(requests[0].end, trace::End::left);
  EXPECT_EQ(requests[0].status, 0u);
  EXPECT_EQ(requests[1].end, trace::End::failed);
  EXPECT_EQ(requests[1].status, 502u);
}

TEST_F(TraceTest, AHostThatDrainsIsWrittenDown) {
  host(serveOk);
  startTraced();
  ASSERT_TRUE(until([&] { return calls.size() == 1; }));
  json draining = hostJson("s-0", hosts[0]->endpoint());
  draining["status"] = "leaving";
  calls[0]->reply(200, listJson(9, true, json::array({draining})).dump());
  ASSERT_TRUE(until([&] { return calls.size() == 2; }));
  gateway.reset();
  log.reset();
  const std::string all = readFile(folder / "trace-n_1");
  EXPECT_NE(all.find("phase=draining"), std::string::npos) << all;
}

// In a storm the lines are bounded, and what is missing is said.
TEST_F(TraceTest, WhatIsLeftOutIsCounted) {
  host(serveOk);
  settings.linesPerSecond = 20;
  startTraced();
  const auto c = client();
  for (int i = 0; i < 100; ++i) ASSERT_EQ(ask(*c, "GET", "/read"), 200);
  Logs all = ended();
  EXPECT_EQ(all.bad, 0u);
  EXPECT_GT(all.join.missing(), 0u);
  // 2 lines for each request, 1 host, a start and a stop: what is not there is told.
  const std::size_t gaps = all.kinds["trace gap"];
  EXPECT_EQ(all.join.lines() - gaps + all.join.missing(), 203u);
  EXPECT_TRUE(all.join.audit({}).empty());
}

TEST_F(TraceTest, AShareOfTheRequestsIsChosenByTheirIds) {
  host(serveOk);
  settings.share = 0;
  startTraced();
  const auto c = client();
  for (int i = 0; i < 20; ++i) ASSERT_EQ(ask(*c, "GET", "/read"), 200);
  const Logs all = ended();
  EXPECT_EQ(all.join.requests(), 0u);
  EXPECT_EQ(all.join.missing(), 0u);
}

// Lines and what else the program says share standard error, unless a file is named.
TEST_F(TraceTest, WhatTheProgramSaysOfTheLogIsNoLineOfIt) {
  startTraced();
  EXPECT_EQ(trace::parse(log->summary()).kind, trace::Parsed::Kind::other) << log->summary();
}

// --- The file
// -----------------------------------------------------------------------------------------------

TEST(TraceFile, ThatCannotBeOpenedIsNamed) {
  try {
    TraceFile f("/nowhere/at/all", 1 << 20, 1 << 20);
    FAIL();
  } catch (const std::runtime_error& bad) {
    EXPECT_EQ(std::string(bad.what()).substr(0, 55),
              "trace.file: /nowhere/at/all cannot be opened for append");
  }
}

TEST(TraceFile, AFullDiskIsCountedLineByLine) {
  TraceFile f("/dev/full", 1 << 20, 1 << 20);
  ASSERT_TRUE(f.write("one\ntwo\n"));
  std::uint64_t lost = 0;
  for (int i = 0; i < 2000 && lost < 2; ++i) {
    lost += f.takeLost();
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  EXPECT_EQ(lost, 2u);
}

// A disk that fills up in the midst of a line: what comes when there is room again begins a line of its own,
// and each line that is not there is counted once.
TEST(TraceFile, HalfALineIsEndedBeforeTheNext) {
  std::signal(SIGXFSZ, SIG_IGN);
  Folder folder;
  TraceFile f(folder / "log", 1 << 20, 1 << 20);
  const auto lost = [&](const std::string& lines, std::uint64_t count) {
    EXPECT_TRUE(f.write(lines));
    std::uint64_t n = 0;
    for (int i = 0; i < 2000 && n < count; ++i) {
      n += f.takeLost();
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return n;
  };
  rlimit before{};
  ASSERT_EQ(::getrlimit(RLIMIT_FSIZE, &before), 0);
  const rlimit full{10, before.rlim_max};
  ASSERT_EQ(::setrlimit(RLIMIT_FSIZE, &full), 0);
  const std::uint64_t torn = lost("one\ntwo\nthree\n", 1), none = lost("four\n", 1);
  const std::uint64_t late = f.takeLost();
  ASSERT_EQ(::setrlimit(RLIMIT_FSIZE, &before), 0);
  EXPECT_EQ(torn, 1u);
  EXPECT_EQ(none + late, 1u);
  ASSERT_TRUE(f.write("five\n"));
  const std::string whole = "one\ntwo\nth\nfive\n";
  for (int i = 0; i < 2000 && readFile(folder / "log").size() < whole.size(); ++i)
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  EXPECT_EQ(readFile(folder / "log"), whole);
}

TEST(TraceFile, GoesOnBehindWhatIsThereAndIsPutAsideAtItsSize) {
  Folder folder;
  folder.write("log", "before\n");
  {
    TraceFile f(folder / "log", 1000, 1 << 20);
    ASSERT_TRUE(f.write(std::string(1200, 'x') + "\n"));
  }
  EXPECT_EQ(readFile(folder / "log.1"), "before\n" + std::string(1200, 'x') + "\n");
  EXPECT_EQ(readFile(folder / "log"), "");
  {
    TraceFile f(folder / "log", 1000, 1 << 20);
    ASSERT_TRUE(f.write("after\n"));
  }
  EXPECT_EQ(readFile(folder / "log"), "after\n");
}

// A reader that has stopped: the loop is not held up, and what can't wait is turned down whole.
TEST(TraceFile, ASlowDiskHoldsNobodyUp) {
  std::signal(SIGPIPE, SIG_IGN);  // as the program does
  Folder folder;
  const std::string path = folder / "pipe";
  ASSERT_EQ(::mkfifo(path.c_str(), 0600), 0);
  const int reader = ::open(path.c_str(), O_RDONLY | O_NONBLOCK);
  ASSERT_GE(reader, 0);
  {
    TraceFile f(path, std::size_t{1} << 40, 128 * 1024);
    const std::string block(64 * 1024, 'x');
    int taken = 0;
    while (taken < 100 && f.write(block)) ++taken;
    EXPECT_LT(taken, 100);
    ::close(reader);  // its writes fail from here on, and it ends
  }
}

}  // namespace
}  // namespace finchstile::testing
