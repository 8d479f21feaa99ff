// The attempt log of a gateway: the lines written for requests to fake hosts.
#include "app/trace_log.hpp"

#include <map>

#include "support/gateway_fixture.hpp"
#include "support/process.hpp"
#include "trace/log_auditor.hpp"
#include "trace/log_merger.hpp"
#include "trace/log_totals.hpp"
#include "trace/request_history.hpp"
#include "trace/trace_line_codec.hpp"

namespace finchstile::testing {
namespace {

struct Logs {
  trace::LogMerger log;
  std::vector<trace::TraceLine> lines;
  std::size_t bad = 0;
  std::map<std::string, std::size_t> kinds;
};

Logs readLogs(const std::string& path) {
  Logs out;
  std::ifstream file(path);
  for (std::string line; std::getline(file, line);) {
    const trace::ParseResult p = trace::parseLine(line);
    out.bad += p.status == trace::ParseResult::Status::malformed;
    if (p.status == trace::ParseResult::Status::ok) out.log.add(p.line), out.lines.push_back(p.line);
    ++out.kinds[line.substr(0, line.find(' ', 6))];
  }
  return out;
}

struct TraceLogTest : GatewayTest {
  TemporaryDirectory folder;
  trace::TraceSettings settings;
  std::unique_ptr<TraceLog> log;

  // Starts a gateway that writes to `trace-n_1` in the folder.
  void startTraced(const std::function<void(json&)>& change = [](json&) {}) {
    json config = configJson(discovery.endpoint(), hostListJson());
    change(config);
    GatewayConfig read = readConfig(config.dump(), clock);
    gateway = std::make_unique<Gateway>(io, clock, std::move(read));
    settings.file = folder / "trace-{name}";
    log = std::make_unique<TraceLog>(io, clock, settings, "n/1");
    gateway->setAttemptLog(*log);
    gateway->start();
  }
  // Stops the log, closes it and reads the file.
  Logs endLog() {
    log->stop(gateway->openRequests());
    gateway.reset();
    log.reset();
    return readLogs(folder / "trace-n_1");
  }
  // Sends a request and waits for the response. Returns its status, or 0 if there is none.
  int sendRequest(Client& c, const char* method, const char* path, const std::string& body = {}) {
    const std::size_t before = c.answers.size();
    c.sendRequest(method, path, 1000, body);
    if (!until([&] { return c.answers.size() > before || c.ended; }) || c.ended) return 0;
    return static_cast<int>(c.answers.back().result_int());
  }
};

TEST_F(TraceLogTest, WritesLinesOfEveryRequestWithoutAuditFindings) {
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
    const int status = i % 2 ? sendRequest(*c, "GET", "/read") : sendRequest(*c, "POST", "/book", "x");
    ++statuses[status];
  }
  ASSERT_TRUE(until([&] { return gateway->openRequests() == 0; }));
  Logs all = endLog();
  EXPECT_EQ(all.bad, 0u);
  EXPECT_EQ(all.log.requestCount(), 60u);
  EXPECT_EQ(all.log.missingLines(), 0u);
  const auto sums = trace::totalsBy(all.log, trace::GroupBy::gateway);
  ASSERT_EQ(sums.count("n/1"), 1u);
  const trace::LogTotals& s = sums.at("n/1");
  EXPECT_EQ(s.requests, 60u);
  EXPECT_EQ(s.answered, statuses[200]);
  EXPECT_EQ(s.rejected, statuses[503]);
  EXPECT_EQ(s.errored, statuses[502]);
  EXPECT_EQ(s.attempts, static_cast<std::uint64_t>(n));
  EXPECT_GT(s.rejectedForCapacity, 0u);
  EXPECT_GT(s.lost, 0u);
  EXPECT_GT(s.failed, 0u);
  EXPECT_EQ(all.kinds["trace host"], 3u);
  EXPECT_EQ(all.kinds["trace start"], 1u);
  EXPECT_EQ(all.kinds["trace stop"], 1u);
  for (const trace::Finding& f : trace::audit(all.log, {}))
    ADD_FAILURE() << trace::name(f.kind) << " " << f.id << " " << f.text << "\n"
                  << trace::formatTimeline(all.log.history(f.id));
}

// One client disconnects, and one request exceeds its deadline at a host that never responds.
TEST_F(TraceLogTest, WritesTheEndReasonOfAttempts) {
  host(hold);
  startTraced();
  const auto gone = client();
  gone->sendRequest("GET", "/read", 1000);
  ASSERT_TRUE(until([&] { return hosts[0]->received.size() == 1; }));
  gone->close();
  ASSERT_TRUE(until([&] { return gateway->openRequests() == 0; }));
  const auto late = client();
  EXPECT_NE(sendRequest(*late, "POST", "/book", "x"), 200);  // its deadline passes
  ASSERT_TRUE(until([&] { return gateway->openRequests() == 0; }));
  std::vector<trace::AttemptLine> attempts;
  std::vector<trace::RequestLine> requests;
  for (const trace::TraceLine& line : endLog().lines) {
    if (const auto* a = std::get_if<trace::AttemptLine>(&line)) attempts.push_back(*a);
    if (const auto* r = std::get_if<trace::RequestLine>(&line)) requests.push_back(*r);
  }
  ASSERT_GE(attempts.size(), 2u);
  EXPECT_EQ(attempts[0].endReason, trace::EndReason::requestEnded);
  EXPECT_EQ(attempts[0].outcome, load_balancing::Outcome::cancelled);
  EXPECT_EQ(attempts[0].execution, trace::Execution::maybe);
  EXPECT_GT(attempts[0].firstByteAtUs, 0);
  EXPECT_EQ(attempts[0].responseAgeMs, trace::kNever);
  EXPECT_GE(attempts[0].listingAgeMs, 0);
  EXPECT_EQ(attempts.back().execution, trace::Execution::maybe);
  EXPECT_TRUE(attempts.back().endReason == trace::EndReason::timeLimit ||
              attempts.back().endReason == trace::EndReason::requestEnded);
  ASSERT_EQ(requests.size(), 2u);
  EXPECT_EQ(requests[0].end, trace::RequestEnd::clientDisconnected);
  EXPECT_EQ(requests[0].status, 0u);
  EXPECT_EQ(requests[1].end, trace::RequestEnd::failed);
  EXPECT_EQ(requests[1].status, 502u);
}

TEST_F(TraceLogTest, WritesThePhaseOfADrainingHost) {
  host(serveOk);
  startTraced();
  ASSERT_TRUE(until([&] { return polls.size() == 1; }));
  json draining = hostJson("s-0", hosts[0]->endpoint());
  draining["status"] = "leaving";
  polls[0]->reply(200, listJson(9, true, json::array({draining})).dump());
  ASSERT_TRUE(until([&] { return polls.size() == 2; }));
  gateway.reset();
  log.reset();
  const std::string all = readFile(folder / "trace-n_1");
  EXPECT_NE(all.find("phase=draining"), std::string::npos) << all;
}

// A burst of requests: the rate of lines is limited, and gap lines report the dropped ones.
TEST_F(TraceLogTest, CountsDroppedLinesInGapLines) {
  host(serveOk);
  settings.linesPerSecond = 20;
  startTraced();
  const auto c = client();
  for (int i = 0; i < 100; ++i) ASSERT_EQ(sendRequest(*c, "GET", "/read"), 200);
  Logs all = endLog();
  EXPECT_EQ(all.bad, 0u);
  EXPECT_GT(all.log.missingLines(), 0u);
  // Two lines for each request, one for the host, a start and a stop. Gap lines count the dropped ones.
  const std::size_t gaps = all.kinds["trace gap"];
  EXPECT_EQ(all.log.lineCount() - gaps + all.log.missingLines(), 203u);
  EXPECT_TRUE(trace::audit(all.log, {}).empty());
}

TEST_F(TraceLogTest, WritesOnlySampledRequests) {
  host(serveOk);
  settings.sampleFraction = 0;
  startTraced();
  const auto c = client();
  for (int i = 0; i < 20; ++i) ASSERT_EQ(sendRequest(*c, "GET", "/read"), 200);
  const Logs all = endLog();
  EXPECT_EQ(all.log.requestCount(), 0u);
  EXPECT_EQ(all.log.missingLines(), 0u);
}

// Attempt log lines and the program's other lines share standard error, unless the settings name a file.
TEST_F(TraceLogTest, SummaryIsNotParsedAsALogLine) {
  startTraced();
  EXPECT_EQ(log->summary(), "attempt_log written=0 left_out=0");
  EXPECT_EQ(trace::parseLine(log->summary()).status, trace::ParseResult::Status::notTrace) << log->summary();
}

}  // namespace
}  // namespace finchstile::testing
