// Hooks in a gateway over loopback: their effects for clients and hosts, and the guarantees that the gateway
// keeps.
#include "hook/hook_filter.hpp"

#include "hook/support.hpp"
#include "support/sockets.hpp"

namespace finchstile::hook::testing {
namespace {

using namespace finchstile::testing;
using std::chrono::milliseconds;

struct HookFilterTest : ::testing::Test {
  asio::io_context io;
  Clock clock;
  std::vector<std::string> lines;
  Server discovery{io, [](const auto&, const Received&) {}};
  Server host{io, [](const auto& peer, const Received&) { peer->reply(200, "ok", "X-Host: h\r\n"); }};
  HookFilter hooks{clock, std::chrono::seconds(1), [this](std::string_view l) { lines.emplace_back(l); }};
  std::unique_ptr<Gateway> gateway;
  std::uint64_t version = 0;

  static HookSpec spec(const std::string& source, bool failClosed = false) {
    HookSpec s;
    s.file = "f.hook";
    s.executable = compileAndLink(source);
    s.failClosed = failClosed;
    return s;
  }
  void install(std::vector<HookSpec> all, ChainSettings settings = {}) {
    auto set = std::make_shared<HookSet>();
    set->version = ++version;
    set->settings = settings;
    set->hooks = std::move(all);
    hooks.chain().install(set);
  }
  void start() {
    json config = configJson(discovery.endpoint(), json::array({hostJson("s-0", host.endpoint())}));
    gateway = std::make_unique<Gateway>(io, clock, readConfig(config.dump(), clock));
    gateway->attach(hooks);
    gateway->start();
  }
  std::shared_ptr<Client> client() { return Client::connect(io, gateway->endpoint()); }
  // Sends a request and returns its response, or one of status 0 if there is none.
  http::response<http::string_body> sendRequest(const std::shared_ptr<Client>& c, const std::string& method,
                                                const std::string& path, const std::string& headers = "",
                                                int timeLeftMs = 2500) {
    const std::size_t before = c->answers.size();
    c->sendRequest(method, path, timeLeftMs, method == "POST" ? "body" : "", headers);
    if (!runUntil(io, [&] { return c->answers.size() > before || c->ended; }) || c->answers.size() == before)
      return {};
    EXPECT_EQ(c->answers.size(), before + 1);
    return c->answers.back();
  }
};

TEST_F(HookFilterTest, RejectsTagsAndSetsHeadersForHostAndClient) {
  ChainSettings settings;
  settings.tagHeader = "X-Tags";
  install(
      {spec("hook \"a\";\non request {\n  if header(\"X-Yard\") == \"\" { reject(422, \"no yard code\"); }\n"
            "  tag(\"site\", \"7\"); set header(\"X-From\", parameter(\"q\")); }\n"
            "on attempt { set header(\"X-Attempt\", to_text(attempt)); }\n"
            "on answer { set header(\"X-Saw\", answer_header(\"X-Host\") + to_text(status)); }\n")},
      settings);
  start();
  const auto c = client();
  const auto rejection = sendRequest(c, "GET", "/read/1");
  EXPECT_EQ(rejection.result_int(), 422u);
  EXPECT_EQ(rejection.body(), "no yard code");
  EXPECT_EQ(rejection["X-Saw"], "422");
  EXPECT_TRUE(host.received.empty());
  const auto served = sendRequest(c, "GET", "/read/1?q=a%20b", "X-Yard: B\r\n");  // on one connection
  EXPECT_EQ(served.result_int(), 200u);
  EXPECT_EQ(served["X-Saw"], "h200");
  ASSERT_EQ(host.received.size(), 1u);
  EXPECT_EQ(host.received[0]["X-From"], "a b");
  EXPECT_EQ(host.received[0]["X-Attempt"], "1");
  EXPECT_EQ(host.received[0]["X-Tags"], "site=7");
  EXPECT_EQ(host.received[0]["X-Correlation-Id"], c->id);
}

// Every handler of the hook loops forever, and some clients have short deadlines.
TEST_F(HookFilterTest, AnswersRequestsWhoseHooksLoopForever) {
  HookSpec s = spec(
      "hook \"loop\";\non request { while true { } }\non attempt { while true { } }\n"
      "on answer { while true { } }\n");
  s.budget.instructions = 1'000'000;
  s.faultPolicy.maxFaults = 64;
  install({s});
  start();
  const auto c = client();
  for (const int timeLeftMs : {20, 50, 100, 500, 2500}) {
    const auto begin = std::chrono::steady_clock::now();
    EXPECT_EQ(sendRequest(c, "GET", "/read/1", "", timeLeftMs).result_int(), 200u) << timeLeftMs;
    EXPECT_LT(std::chrono::steady_clock::now() - begin, milliseconds(2500));
  }
  const HookCounts& n = *hooks.chain().counts("loop");
  EXPECT_GE(n.faults + n.outOfTime, 10u);
  EXPECT_EQ(host.received.size(), 5u);
}

// The request has had its effect on the host. The client gets the host's response once, and no attempt is
// repeated.
TEST_F(HookFilterTest, DoesNotRejectANonIdempotentRequestAfterItsAttempt) {
  install({spec("hook \"late\";\non answer { reject(503, \"again\"); }\n", true)});
  start();
  const auto c = client();
  const auto answer = sendRequest(c, "POST", "/book/1");
  EXPECT_EQ(answer.result_int(), 200u);
  EXPECT_EQ(answer.body(), "ok");
  EXPECT_EQ(host.received.size(), 1u);
  ASSERT_EQ(lines.size(), 1u);
  EXPECT_NE(lines[0].find("rejected after an attempt that may have run"), std::string::npos);
}

// Each fault is reported with its count.
TEST_F(HookFilterTest, AnswersEveryRequestAndReportsRareFaults) {
  install({spec("hook \"rare\";\non request { let a = 100 / to_integer(parameter(\"n\"), 1); }\n")});
  start();
  const auto c = client();
  for (int i = 0; i < 2000; ++i)
    ASSERT_EQ(sendRequest(c, "GET", i % 1000 == 500 ? "/read/1?n=0" : "/read/1?n=3").result_int(), 200u) << i;
  EXPECT_EQ(hooks.chain().counts("rare")->faults, 2u);
  ASSERT_EQ(lines.size(), 2u);
  EXPECT_NE(lines[1].find("fault 2"), std::string::npos);
}

TEST_F(HookFilterTest, RejectsWithRetryAfterWhenAFailClosedHookFaults) {
  HookSpec s = spec("hook \"guard\";\non request { let a = 1 / (body_length - body_length); }\n", true);
  s.faultPolicy.maxFaults = 1;
  s.faultPolicy.initialBackoff = std::chrono::seconds(30);
  install({s});
  start();
  const auto c = client();
  EXPECT_EQ(sendRequest(c, "POST", "/book/1").result_int(), 503u);
  const auto answer = sendRequest(c, "POST", "/book/1");
  EXPECT_EQ(answer.result_int(), 503u);
  EXPECT_EQ(answer["Retry-After"], "1.000");  // the configured maximum
  EXPECT_TRUE(host.received.empty());
  EXPECT_EQ(gateway->openRequests(), 0u);
}

// Some versions do not compile. Each request gets one response, and all its handlers are of one version.
TEST_F(HookFilterTest, InstallsAHundredVersionsUnderLoad) {
  const auto of = [](int v) {
    const std::string n = std::to_string(v);
    return spec("hook \"v\";\non request { set header(\"X-Request\", \"" + n +
                "\"); }\non attempt { set header(\"X-Attempt\", \"" + n +
                "\"); }\non answer { set header(\"X-Answer\", \"" + n + "\"); }\n");
  };
  std::vector<std::shared_ptr<Peer>> pendingPeers;
  host.handler = [&](const std::shared_ptr<Peer>& peer, const Received&) { pendingPeers.push_back(peer); };
  install({of(0)});
  start();
  std::vector<std::shared_ptr<Client>> clients;
  for (int i = 0; i < 8; ++i) clients.push_back(client());
  for (int v = 1; v <= 100; ++v) {
    // The next version is installed while the requests are pending at the host.
    for (const auto& c : clients) c->sendRequest("GET", "/read/1", 2500);
    // On a slow machine the load balancer may reject a request because of the host's latency, so it already
    // has a response.
    ASSERT_TRUE(runUntil(io, [&] {
      const auto answered = std::count_if(clients.begin(), clients.end(),
                                          [&](const auto& c) { return c->answers.size() == std::size_t(v); });
      return pendingPeers.size() + static_cast<std::size_t>(answered) == clients.size();
    }));
    std::vector<Problem> problems;
    if (v % 10 == 0)
      EXPECT_FALSE(
          compile("hook \"v\";\non request { oops }\n", problems));  // the previous version stays installed
    else install({of(v)});
    for (const auto& peer : std::exchange(pendingPeers, {})) peer->reply(200, "ok");
    ASSERT_TRUE(runUntil(io, [&] {
      return std::all_of(clients.begin(), clients.end(),
                         [&](const auto& c) { return c->answers.size() == std::size_t(v); });
    })) << v;
  }
  ASSERT_GT(host.received.size(), 400u);
  for (const auto& r : host.received) EXPECT_EQ(r["X-Request"], r["X-Attempt"]);
  for (std::size_t v = 0; v < 100; ++v) {
    const std::size_t startedVersion = v % 10 == 0 && v > 0 ? v - 1 : v;
    for (const auto& c : clients)
      if (c->answers[v].result_int() == 200)
        EXPECT_EQ(c->answers[v]["X-Answer"], std::to_string(startedVersion)) << v;
  }
  EXPECT_EQ(gateway->openRequests(), 0u);
}

TEST_F(HookFilterTest, RunsSixtyFourHooks) {
  std::vector<HookSpec> all;
  for (std::size_t i = 0; i < kMaxHooks; ++i)
    all.push_back(spec("hook \"h" + std::to_string(i) + "\";\non request { count(\"n\"); }\n"));
  install(all);
  start();
  const auto c = client();
  for (int i = 0; i < 50; ++i) ASSERT_EQ(sendRequest(c, "GET", "/read/1").result_int(), 200u);
  for (std::size_t i = 0; i < kMaxHooks; ++i)
    EXPECT_EQ(hooks.chain().counts("h" + std::to_string(i))->counted.at("n"), 50u);
}

TEST_F(HookFilterTest, IgnoresRequestsThatArrivedBeforeTheHooks) {
  std::vector<std::shared_ptr<Peer>> pendingPeers;
  host.handler = [&](const std::shared_ptr<Peer>& peer, const Received&) { pendingPeers.push_back(peer); };
  json config = configJson(discovery.endpoint(), json::array({hostJson("s-0", host.endpoint())}));
  gateway = std::make_unique<Gateway>(io, clock, readConfig(config.dump(), clock));
  gateway->start();
  const auto c = client();
  c->sendRequest("GET", "/read/1", 2500);
  ASSERT_TRUE(runUntil(io, [&] { return pendingPeers.size() == 1; }));
  install({spec("hook \"a\";\non answer { set header(\"X-Saw\", \"1\"); }\n")});
  gateway->attach(hooks);
  pendingPeers[0]->reply(200, "ok");
  ASSERT_TRUE(runUntil(io, [&] { return c->answers.size() == 1; }));
  EXPECT_EQ(c->answers[0]["X-Saw"], "");
  host.handler = [](const auto& peer, const Received&) { peer->reply(200, "ok"); };
  EXPECT_EQ(sendRequest(c, "GET", "/read/1")["X-Saw"], "1");
}

// maxBodyBytes limits what a hook may read, not the body that the host receives.
TEST_F(HookFilterTest, ForwardsCompleteBodiesBeyondTheHooksReadLimit) {
  ChainSettings settings;
  settings.maxBodyBytes = 2;
  install(
      {spec("hook \"a\";\non request { set header(\"X-Read\", body(0, 100) + to_text(body_length)); }\n")},
      settings);
  start();
  const auto c = client();
  EXPECT_EQ(sendRequest(c, "POST", "/book/1").result_int(), 200u);
  EXPECT_EQ(host.received.at(0)["X-Read"], "bo4");
  EXPECT_EQ(host.received.at(0).body(), "body");
}

}  // namespace
}  // namespace finchstile::hook::testing
