// The program as a process: signals, configuration files, and replacement by a successor process.
#include <sys/resource.h>

#include <csignal>

#include "support/process.hpp"
#include "support/registry.hpp"
#include "support/reserved_endpoint.hpp"
#include "support/sockets.hpp"
#include "support/wires.hpp"

namespace finchstile::testing {
namespace {

struct ProgramTest : ::testing::Test {
  asio::io_context io;
  std::vector<std::shared_ptr<Peer>> polls;
  Server discovery{io, [this](const auto& peer, const Received&) { polls.push_back(peer); }};
  TemporaryDirectory folder;
  std::unique_ptr<Process> program;

  void configure(const tcp::endpoint& at) const {
    folder.write("config.json", configJson(at, json::array()).dump());
  }
  void launch(std::vector<std::string> arguments = {}) {
    setenv("LB_CONFIG", (folder / "config.json").c_str(), 1);
    program = std::make_unique<Process>(FINCHSTILE_PROGRAM, std::move(arguments), folder / "log");
  }
  void launch(const json& config) {
    folder.write("config.json", config.dump());
    launch();
  }
  void run(std::vector<std::string> arguments = {}) {
    launch(std::move(arguments));
    ASSERT_TRUE(runUntil(io, [&] { return polls.size() == 1 || program->ended(); }));
    ASSERT_EQ(polls.size(), 1u) << program->logged();
  }
  bool until(const std::function<bool()>& reached) { return runUntil(io, reached); }
  void pause(std::chrono::milliseconds t) {
    const auto then = std::chrono::steady_clock::now() + t;
    until([&] { return std::chrono::steady_clock::now() >= then; });
  }
};

TEST_F(ProgramTest, SighupReloadsConfigurationAndInvalidFileChangesNothing) {
  configure(discovery.endpoint());
  run();
  Server second(io, [&](const auto&, const Received&) {}), third(io, [&](const auto&, const Received&) {});
  configure(second.endpoint());
  program->signal(SIGHUP);
  ASSERT_TRUE(until([&] { return second.received.size() == 1; }));
  EXPECT_EQ(second.received[0].target(), "/registry/instances");
  folder.write("config.json", "{\"listen\":");
  program->signal(SIGHUP);
  ASSERT_TRUE(until([&] { return !program->logged().empty(); }));
  EXPECT_EQ(program->logged().substr(0, 27), "finchstile: not reloaded: b");
  EXPECT_EQ(program->logged().find('\n'), program->logged().size() - 1);  // one line
  EXPECT_FALSE(second.peers[0]->ended);                                   // the current watch continues
  configure(third.endpoint());
  program->signal(SIGTERM);
  ASSERT_FALSE(program->ended());
  program->signal(SIGHUP);  // also handled while draining
  ASSERT_TRUE(until([&] { return third.received.size() == 1; }));
  ASSERT_TRUE(until([&] { return program->ended(); }));
  EXPECT_EQ(program->wait(), 0);
}

// Another process still holds the listen address. SIGHUP during the wait does not end the process, and is
// handled once it serves.
TEST_F(ProgramTest, WaitsForListenAddressAndHandlesSignalsAfterStartup) {
  tcp::acceptor before(io, loopback());
  ::fcntl(before.native_handle(), F_SETFD, FD_CLOEXEC);  // otherwise the launched process would inherit it
  json config = configJson(discovery.endpoint(), json::array());
  config["listen"] = text(before.local_endpoint());
  launch(config);
  pause(std::chrono::milliseconds(500));  // by then it waits for the address
  ASSERT_FALSE(program->ended()) << program->logged();
  Server second(io, [&](const auto&, const Received&) {});
  config["discovery"] = text(second.endpoint());
  folder.write("config.json", config.dump());
  program->signal(SIGHUP);
  pause(std::chrono::milliseconds(200));
  ASSERT_FALSE(program->ended()) << program->logged();
  before.close();
  ASSERT_TRUE(until([&] { return second.received.size() == 1 || program->ended(); }));
  ASSERT_EQ(second.received.size(), 1u) << program->logged();
  program->signal(SIGTERM);
  ASSERT_TRUE(until([&] { return program->ended(); }));
  EXPECT_EQ(program->wait(), 0);
}

// Discovery is down, and clients hold their whole share of descriptors, most with an attempt in progress.
// When discovery is back the gateway connects to it, although the system's descriptor limit equals the
// configured one.
TEST_F(ProgramTest, ReconnectsToDiscoveryWhileClientsHoldAllTheirDescriptors) {
  Server host(io, [](const auto&, const Received&) {});
  const tcp::endpoint at = reserveEndpoint(io);
  tcp::acceptor first(io, loopback());
  ::fcntl(first.native_handle(), F_SETFD, FD_CLOEXEC);  // otherwise the launched process would inherit it
  const tcp::endpoint down = first.local_endpoint();
  json config = configJson(down, json::array({hostJson("s-0", host.endpoint())}));
  config["listen"] = text(at);
  config["limits"]["sockets"] = 64;
  rlimit before{};
  ASSERT_EQ(getrlimit(RLIMIT_NOFILE, &before), 0);
  rlimit reducedLimit = before;
  reducedLimit.rlim_cur = 64;
  ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &reducedLimit), 0);
  launch(config);
  ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &before), 0);
  bool connected = false;
  first.async_accept([&](error_code error, tcp::socket) { connected = !error; });
  ASSERT_TRUE(until([&] { return connected; }));
  first.close();
  std::vector<std::shared_ptr<Client>> clients;
  for (int i = 0; i < 60; ++i) {
    clients.push_back(Client::connect(io, at));
    clients.back()->sendRequest("GET", "/read", 2900);
  }
  // The shares are 24 descriptors for clients and 21 for hosts; both are used up.
  ASSERT_TRUE(until([&] { return host.received.size() >= 20; }));
  pause(std::chrono::milliseconds(300));  // until no further descriptor can be taken
  tcp::acceptor back(io, down);
  bool reached = false;
  back.async_accept([&](error_code error, tcp::socket) { reached = !error; });
  const auto since = std::chrono::steady_clock::now();
  ASSERT_TRUE(until([&] { return reached; }));
  EXPECT_LT(std::chrono::steady_clock::now() - since, std::chrono::milliseconds(2300));
  EXPECT_FALSE(program->ended()) << program->logged();
}

// SIGTERM and SIGHUP arrive together, twice, in either order, while the process is stopped for 200 ms: there
// is one drain, and the process exits regularly and in time.
TEST_F(ProgramTest, RepeatedSignalsDuringAStallCauseOneDrain) {
  for (const bool hangupFirst : {true, false}) {
    polls.clear();
    configure(discovery.endpoint());
    run();
    const auto signaledAt = std::chrono::steady_clock::now();
    program->signal(SIGSTOP);
    for (int i = 0; i < 2; ++i) {
      program->signal(hangupFirst ? SIGHUP : SIGTERM);
      program->signal(hangupFirst ? SIGTERM : SIGHUP);
    }
    const auto then = signaledAt + std::chrono::milliseconds(200);
    until([&] { return std::chrono::steady_clock::now() >= then; });
    program->signal(SIGCONT);
    ASSERT_TRUE(until([&] { return program->ended(); }));
    EXPECT_EQ(program->wait(), 0) << program->logged();
    EXPECT_LT(std::chrono::steady_clock::now() - signaledAt, std::chrono::milliseconds(3700));
    const std::string log = program->logged();
    EXPECT_EQ(log.find("draining:"), log.rfind("draining:")) << log;
    EXPECT_NE(log.find("drained"), std::string::npos) << log;
  }
}

TEST_F(ProgramTest, ListenAddressInUseFailsStartupWithAnErrorLine) {
  tcp::acceptor before(io, loopback());
  ::fcntl(before.native_handle(), F_SETFD, FD_CLOEXEC);  // otherwise the launched process would inherit it
  json config = configJson(discovery.endpoint(), json::array());
  config["listen"] = text(before.local_endpoint());
  launch(config);
  ASSERT_TRUE(until([&] { return program->ended(); }));
  EXPECT_NE(program->wait(), 0);
  EXPECT_NE(program->logged().find("cannot listen at " + text(before.local_endpoint())), std::string::npos)
      << program->logged();
}

TEST_F(ProgramTest, SighupRejectsInvalidOperatorFileWithAllProblems) {
  configure(discovery.endpoint());
  folder.write("o.toml", "[clients]\nidle = '10s'\n");
  run({"run", "--operator", folder / "o.toml"});
  folder.write("o.toml", "[clients]\nidle = '20s'\nwrite = 'soon'\nrequst = '1s'\n");
  program->signal(SIGHUP);
  ASSERT_TRUE(until([&] { return program->logged().find("requst") != std::string::npos; }));
  EXPECT_NE(program->logged().find("operator's file not reloaded"), std::string::npos);
  EXPECT_NE(program->logged().find("o.toml:3: clients.write must be"), std::string::npos);
  EXPECT_FALSE(program->ended());
  program->signal(SIGTERM);
  ASSERT_TRUE(until([&] { return program->ended(); }));
  EXPECT_EQ(program->wait(), 0);
}

// Streams and WebSocket are enabled by the operator's file alone; SIGTERM arrives while a stream is open.
TEST_F(ProgramTest, RelaysStreamsAndEndsThemBeforeExit) {
  TcpServer worker(io, echo);
  json config = configJson(discovery.endpoint(), json::array({hostJson("s-0", worker.endpoint())}));
  const std::vector<tcp::endpoint> endpoints = reserveEndpoints(io, 2);
  const tcp::endpoint at = endpoints[0], scans = endpoints[1];
  config["listen"] = text(at);
  config["limits"]["sockets"] = 1024;
  folder.write("config.json", config.dump());
  folder.write("o.toml",
               "[streams]\nenabled = true\n[streams.websocket]\nenabled = true\n"
               "[[streams.listen]]\nname = 'scans'\naddress = '" +
                   text(scans) + "'\nclass = 'book'\n");
  run({"--operator", folder / "o.toml"});
  const auto scanner = TcpConnection::connect(io, scans);
  scanner->write("scan");
  ASSERT_TRUE(until([&] { return scanner->receivedBytes == "scan" || scanner->over(); }))
      << program->logged();
  // The worker echoes the handshake, which is no 101 response, so the gateway refuses the stream.
  const auto terminal = TcpConnection::connect(io, at);
  terminal->write(
      "GET /read/live HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n"
      "Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n");
  ASSERT_TRUE(until(
      [&] { return terminal->receivedBytes.find("\r\n\r\n") != std::string::npos || terminal->over(); }));
  EXPECT_EQ(terminal->receivedBytes.substr(0, 12), "HTTP/1.1 503");
  program->signal(SIGTERM);
  ASSERT_TRUE(until([&] { return program->ended(); }));
  EXPECT_EQ(program->wait(), 0);
  ASSERT_TRUE(until([&] { return scanner->over(); }));
  EXPECT_NE(program->logged().find("stream scans failed by=gateway why=drain"), std::string::npos)
      << program->logged();
  EXPECT_NE(program->logged().find("stream websocket refused by=gateway why=turned_away"), std::string::npos);
}

TEST_F(ProgramTest, StreamListenerOfUnknownClassFailsStartup) {
  configure(discovery.endpoint());
  folder.write("o.toml",
               "[streams]\nenabled = true\n[[streams.listen]]\nname = 'scans'\naddress = '127.0.0.1:9'\n"
               "class = 'no'\n");
  setenv("LB_CONFIG", (folder / "config.json").c_str(), 1);
  program = std::make_unique<Process>(
      FINCHSTILE_PROGRAM, std::vector<std::string>{"--operator", folder / "o.toml"}, folder / "log");
  EXPECT_EQ(program->wait(), 1);
  EXPECT_NE(program->logged().find("streams.listen 'scans': the platform's settings have no class 'no'"),
            std::string::npos)
      << program->logged();
}

// SIGHUP with an invalid hook changes nothing; the next valid hook takes effect.
TEST_F(ProgramTest, SighupReplacesHooksAndInvalidHookKeepsTheCurrentOnes) {
  Server host(io, [](const auto& peer, const Received&) { peer->reply(200, "ok"); });
  json config = configJson(discovery.endpoint(), json::array({hostJson("s-0", host.endpoint())}));
  // The program does not report an assigned port, so the test chooses one that was free just before.
  const tcp::endpoint at = reserveEndpoint(io);
  config["listen"] = text(at);
  folder.write("config.json", config.dump());
  const auto hook = [&](const std::string& body) {
    folder.write("h.hook", "hook \"h\";\non request { " + body + " }\n");
  };
  folder.write("o.toml", "[[hooks.hook]]\nfile = 'h.hook'\n");
  hook("reject(403, \"one\");");
  run({"--operator", folder / "o.toml"});
  const auto c = Client::connect(io, at);
  const auto sendRequest = [&] {
    const std::size_t before = c->answers.size();
    c->sendRequest("GET", "/read/1", 2500);
    return until([&] { return c->answers.size() > before; }) ? c->answers.back().body() : "none";
  };
  const auto hangup = [&](const std::string& line, std::size_t times) {
    program->signal(SIGHUP);
    return until([&] {
      std::size_t n = 0;
      const std::string log = program->logged();
      for (std::size_t i = log.find(line); i != std::string::npos; i = log.find(line, i + 1)) ++n;
      return n == times;
    });
  };
  EXPECT_EQ(sendRequest(), "one");
  hook("rejct(403, \"two\");");
  ASSERT_TRUE(hangup("there is no action 'rejct'; did you mean 'reject'?", 1)) << program->logged();
  EXPECT_EQ(sendRequest(), "one");
  hook("reject(403, \"two\"); } expect \"passes\" { then pass;");
  ASSERT_TRUE(hangup("'passes' does not hold: it rejects with 403", 1)) << program->logged();
  EXPECT_EQ(sendRequest(), "one");
  hook("reject(403, \"three\");");
  ASSERT_TRUE(hangup("operator's file reloaded", 1)) << program->logged();
  EXPECT_EQ(sendRequest(), "three");
  folder.write("o.toml", "");  // removes all hooks
  ASSERT_TRUE(hangup("operator's file reloaded", 2)) << program->logged();
  EXPECT_EQ(sendRequest(), "ok");
  EXPECT_FALSE(program->ended());
}

// The gateway is killed by SIGKILL; its idempotency log stays on the disk.
TEST_F(ProgramTest, ReplaysStoredResponsesAfterAKill) {
  for (const char* const sync : {"never", "interval", "before_send"}) {
    polls.clear();
    std::size_t ran = 0;
    Server host(
        io, [&](const auto& peer, const Received&) { peer->reply(200, "answer " + std::to_string(++ran)); });
    json config = configJson(discovery.endpoint(), json::array({hostJson("s-0", host.endpoint())}));
    const tcp::endpoint at = reserveEndpoint(io);
    config["listen"] = text(at);
    folder.write("config.json", config.dump());
    folder.write("o.toml", std::string("[idempotency]\nenabled = true\n[idempotency.log]\nfolder = 'keys-") +
                               sync + "'\nsync = '" + sync + "'\n");
    const auto sendRequest = [&](const std::string& key) {
      const auto c = Client::connect(io, at);
      c->sendRequest("POST", "/put/1", 2500, "b", "Idempotency-Key: " + key + "\r\n");
      EXPECT_TRUE(until([&] { return !c->answers.empty(); })) << program->logged();
      return c->answers.empty() ? "none" : c->answers[0].body();
    };
    run({"--operator", folder / "o.toml"});
    EXPECT_EQ(sendRequest("one"), "answer 1");
    EXPECT_EQ(sendRequest("two"), "answer 2");
    // A second process cannot use the same log folder.
    config["listen"] = "127.0.0.1:0";
    setenv("LB_CONFIG", folder.write("second.json", config.dump()).c_str(), 1);
    Process second(FINCHSTILE_PROGRAM, {"--operator", folder / "o.toml"}, folder / "log2");
    // Waits with a limit: a process that wrongly got the folder would serve on, and an unlimited wait would
    // block the whole test run.
    ASSERT_TRUE(until([&] { return second.ended(); })) << program->logged() << second.logged();
    EXPECT_NE(second.wait(), 0);
    EXPECT_NE(second.logged().find("another process uses it"), std::string::npos) << second.logged();
    program->signal(SIGKILL);
    program->wait();
    polls.clear();
    run({"--operator", folder / "o.toml"});
    EXPECT_EQ(sendRequest("one"), "answer 1") << sync;
    EXPECT_EQ(sendRequest("two"), "answer 2") << sync;
    EXPECT_EQ(sendRequest("new"), "answer 3") << sync;
    EXPECT_NE(program->logged().find("answered=2 uncertain=0"), std::string::npos) << program->logged();
    program->signal(SIGTERM);
    ASSERT_TRUE(until([&] { return program->ended(); }));
    EXPECT_EQ(program->wait(), 0);
  }
}

// Two gateways that share idempotency keys: a repeated request at the second gets the first one's response.
TEST_F(ProgramTest, RepeatedRequestAtAnotherGatewayGetsTheStoredResponse) {
  std::size_t ran = 0;
  Server host(io,
              [&](const auto& peer, const Received&) { peer->reply(200, "run " + std::to_string(++ran)); });
  json config = configJson(discovery.endpoint(), json::array({hostJson("s-0", host.endpoint())}));
  const auto udp = [&] {
    return "127.0.0.1:" +
           std::to_string(
               asio::ip::udp::socket(io, {asio::ip::make_address("127.0.0.1"), 0}).local_endpoint().port());
  };
  const std::string peers[] = {udp(), udp()};
  ASSERT_NE(peers[0], peers[1]);
  std::filesystem::permissions(folder.write("secret", "000102030405060708090a0b0c0d0e0f\n"),
                               std::filesystem::perms::owner_read);
  std::vector<tcp::endpoint> at;
  std::vector<std::unique_ptr<Process>> gateways;
  for (int i = 0; i < 2; ++i) {
    at.push_back(reserveEndpoint(io));
    config["listen"] = text(at.back());
    setenv("LB_CONFIG", folder.write("c" + std::to_string(i), config.dump()).c_str(), 1);
    // An owner counts as new until it has run for `keep` plus the longest request duration, and a new owner
    // may have lost the keys of its previous run. The minimum of `keep` makes that time short.
    const std::string file =
        folder.write("o" + std::to_string(i),
                     "[idempotency]\nenabled = true\nkeep = '1s'\n[idempotency.owners]\nenabled = "
                     "true\non_silence = 'run'\n"
                     "[peers]\nenabled = true\nsecret_file = 'secret'\naddresses = ['" +
                         peers[0] + "', '" + peers[1] + "']\nown = '" + peers[i] + "'\n");
    gateways.push_back(std::make_unique<Process>(FINCHSTILE_PROGRAM,
                                                 std::vector<std::string>{"--operator", file},
                                                 folder / ("log" + std::to_string(i))));
    ASSERT_TRUE(until([&] { return polls.size() == at.size() || gateways.back()->ended(); }));
    ASSERT_EQ(polls.size(), at.size()) << gateways.back()->logged();
  }
  const auto sendRequest = [&](int gateway, const std::string& headers) {
    const auto c = Client::connect(io, at[static_cast<std::size_t>(gateway)]);
    c->sendRequest("POST", "/put/1", 2500, "b", headers);
    EXPECT_TRUE(until([&] { return !c->answers.empty(); }));
    return c->answers.empty() ? "none" : c->answers[0].body();
  };
  EXPECT_EQ(sendRequest(0, "Idempotency-Key: k\r\n"), "run 1");
  EXPECT_EQ(sendRequest(1, "Idempotency-Key: k\r\nX-Repeat: 1\r\n"), "run 1");
  EXPECT_EQ(sendRequest(1, "Idempotency-Key: other\r\nX-Repeat: 1\r\n"), "run 2");
  EXPECT_EQ(sendRequest(0, "Idempotency-Key: other\r\nX-Repeat: 1\r\n"), "run 2");
  EXPECT_EQ(host.received.size(), 2u);
}

// The platform keeps the listening socket, starts the successor beside the running process, and ends the
// running one when the successor is ready. Each has its own administration address.
struct ProcessReplacementTest : ProgramTest {
  tcp::acceptor listener{io, loopback()};
  std::vector<std::unique_ptr<Server>> hosts;
  std::unique_ptr<Process> successor;

  ProcessReplacementTest() {
    for (int i = 0; i < 2; ++i)
      hosts.push_back(
          std::make_unique<Server>(io, [](const auto& peer, const Received&) { peer->reply(200, "ok"); }));
    setenv("TMPDIR", folder.path().c_str(), 1);
    setenv("LB_INHERITED_FD", "3", 1);
  }
  ~ProcessReplacementTest() override {
    unsetenv("TMPDIR");
    unsetenv("LB_INHERITED_FD");
  }
  std::unique_ptr<Process> launch(const tcp::endpoint& ops, const std::string& name,
                                  const std::vector<std::string>& arguments = {}) {
    return launchWith(configJson(discovery.endpoint(), json::array({hostJson("s-0", hosts[0]->endpoint()),
                                                                    hostJson("s-1", hosts[1]->endpoint())})),
                      ops, name, arguments);
  }
  std::unique_ptr<Process> launchWith(json config, const tcp::endpoint& ops, const std::string& name,
                                      const std::vector<std::string>& arguments = {}) {
    config["listen"] = text(listener.local_endpoint());
    config["ops"] = text(ops);
    folder.write(name, config.dump());
    setenv("LB_CONFIG", (folder / name).c_str(), 1);
    return std::make_unique<Process>(FINCHSTILE_PROGRAM, arguments, folder / (name + ".log"),
                                     listener.native_handle());
  }
  // Returns status and body of the response; status 0 if there is none.
  std::pair<unsigned, std::string> call(const tcp::endpoint& at, const std::string& what) {
    try {
      const auto c = Client::connect(io, at);
      c->write(what + " HTTP/1.1\r\nHost: ops\r\nContent-Length: 0\r\n\r\n");
      if (!until([&] { return c->answers.size() == 1 || c->ended; }) || c->answers.empty()) return {};
      return {c->answers[0].result_int(), c->answers[0].body()};
    } catch (const std::exception&) {
      return {};
    }
  }
  bool becomesReady(const tcp::endpoint& at) {
    return until([&] { return call(at, "GET /api/ready").first == 200; });
  }
  void sendRequest(const std::shared_ptr<Client>& c, int times) {
    for (int i = 0; i < times; ++i) {
      const std::size_t before = c->answers.size();
      c->sendRequest("GET", "/read", 2500);
      ASSERT_TRUE(until([&] { return c->answers.size() > before || c->ended; }));
      ASSERT_GT(c->answers.size(), before);
      EXPECT_EQ(c->answers.back().result_int(), 200u);
    }
  }
};

TEST_F(ProcessReplacementTest, SuccessorKeepsClientConnectionsAndCordonedHosts) {
  const tcp::endpoint ops = reserveEndpoint(io), successorOps = reserveEndpoint(io);
  program = launch(ops, "first");
  ASSERT_TRUE(becomesReady(ops)) << program->logged();
  const auto c = Client::connect(io, listener.local_endpoint()),
             idleClient = Client::connect(io, listener.local_endpoint());
  sendRequest(c, 20);
  sendRequest(idleClient, 1);
  EXPECT_EQ(call(ops, "PUT /api/exclude/s-9").first, 404u);
  EXPECT_EQ(call(ops, "PUT /api/exclude/s-0").first, 200u);
  EXPECT_EQ(call(ops, "PUT /api/exclude/s-0").first, 200u);  // a repeated cordon has no further effect
  const std::size_t before = hosts[0]->received.size();
  sendRequest(c, 20);
  const std::string metrics = call(ops, "GET /api/telemetry").second;
  EXPECT_NE(metrics.find("lb_transactions_total{group=\"read\",state=\"answered\"} 41\n"), std::string::npos)
      << metrics;
  EXPECT_NE(metrics.find("lb_sends_total 41\n"), std::string::npos) << metrics;
  EXPECT_NE(metrics.find("lb_cluster_size 2\n"), std::string::npos) << metrics;
  EXPECT_NE(metrics.find("lb_cluster_unhealthy 1\n"), std::string::npos) << metrics;
  successor = launch(successorOps, "second");
  ASSERT_TRUE(becomesReady(successorOps)) << successor->logged();
  program->signal(SIGTERM);
  ASSERT_TRUE(until([&] { return program->ended(); }));
  EXPECT_EQ(program->wait(), 0);
  EXPECT_FALSE(c->ended || idleClient->ended) << program->logged() << successor->logged();
  sendRequest(c, 20);  // over the same connection, now at the successor
  sendRequest(idleClient, 1);
  const auto fresh = Client::connect(io, listener.local_endpoint());
  sendRequest(fresh, 5);
  EXPECT_EQ(hosts[0]->received.size(), before);                       // cordoned at the successor, too
  EXPECT_EQ(call(successorOps, "PUT /api/include/s-0").first, 200u);  // one uncordon undoes both cordons
  EXPECT_NE(call(successorOps, "GET /api/telemetry").second.find("lb_cluster_unhealthy 0\n"),
            std::string::npos);
  successor->signal(SIGTERM);
  ASSERT_TRUE(until([&] { return successor->ended(); }));
  EXPECT_TRUE(until([&] { return c->ended; }));
}

// Guards against requests to a draining or removed host from a successor whose configuration has an old list
// while discovery is down, whether lists are checked by [membership] or not.
TEST_F(ProcessReplacementTest, SuccessorKnowsDrainsOfWhichItsPredecessorWasTold) {
  for (int i = 0; i < 2; ++i)
    hosts.push_back(
        std::make_unique<Server>(io, [](const auto& peer, const Received&) { peer->reply(200, "ok"); }));
  const std::string membership = folder.write("o.toml", "[membership]\nenabled = true\n");
  for (const auto& arguments :
       {std::vector<std::string>{}, std::vector<std::string>{"run", "--operator", membership}}) {
    Registry registry(io);
    for (int i = 0; i < 4; ++i) registry.set("s-" + std::to_string(i), hosts[i]->endpoint(), "active");
    json config = configJson(registry.endpoint(0), json::array());
    config["known"] = registry.known();
    const tcp::endpoint ops = reserveEndpoint(io), successorOps = reserveEndpoint(io);
    program = launchWith(config, ops, "first", arguments);
    ASSERT_TRUE(becomesReady(ops)) << program->logged();
    ASSERT_TRUE(until([&] { return registry.polls(0) > 0; }));
    registry.set("s-0", hosts[0]->endpoint(), "leaving");
    registry.set("s-1", hosts[1]->endpoint(), "left");
    const auto reports = [&](const tcp::endpoint& at, const std::string& line) {
      return call(at, "GET /api/telemetry").second.find(line) != std::string::npos;
    };
    ASSERT_TRUE(until(
        [&] { return reports(ops, "lb_cluster_size 3\n") && reports(ops, "lb_cluster_unhealthy 1\n"); }));
    registry.stop(0);
    successor = launchWith(config, successorOps, "second", arguments);
    ASSERT_TRUE(becomesReady(successorOps)) << successor->logged();
    program->signal(SIGTERM);
    ASSERT_TRUE(until([&] { return program->ended(); }));
    const std::size_t before[] = {hosts[0]->received.size(), hosts[1]->received.size()};
    const auto c = Client::connect(io, listener.local_endpoint());
    sendRequest(c, 60);
    EXPECT_EQ(hosts[0]->received.size(), before[0]);
    EXPECT_EQ(hosts[1]->received.size(), before[1]);
    EXPECT_TRUE(reports(successorOps, "lb_cluster_size 3\n"));
    EXPECT_TRUE(reports(successorOps, "lb_cluster_unhealthy 1\n"));
    successor->signal(SIGTERM);
    ASSERT_TRUE(until([&] { return successor->ended(); }));
  }
}

// Guards against keys that run a second time at the other process, while both serve and after the first has
// ended.
TEST_F(ProcessReplacementTest, ProcessesShareIdempotencyKeys) {
  const std::vector<std::string> arguments{"--operator",
                                           folder.write("o.toml", "[idempotency]\nenabled = true\n")};
  const tcp::endpoint ops = reserveEndpoint(io), successorOps = reserveEndpoint(io);
  program = launch(ops, "first", arguments);
  ASSERT_TRUE(becomesReady(ops)) << program->logged();
  const auto put = [&](const std::string& key) {
    const auto c = Client::connect(io, listener.local_endpoint());
    c->sendRequest("POST", "/put/1", 2500, "b", "Idempotency-Key: " + key + "\r\n");
    return c;
  };
  const auto answered = [&](const std::shared_ptr<Client>& c) {
    return until([&] { return !c->answers.empty(); }) && c->answers[0].result_int() == 200;
  };
  const auto runs = [&] { return hosts[0]->received.size() + hosts[1]->received.size(); };
  for (int i = 0; i < 20; ++i) ASSERT_TRUE(answered(put("before-" + std::to_string(i))));
  successor = launch(successorOps, "second", arguments);
  ASSERT_TRUE(becomesReady(successorOps)) << successor->logged();
  // Either process may accept each of these connections.
  for (int i = 0; i < 20; ++i) {
    ASSERT_TRUE(answered(put("before-" + std::to_string(i))));
    for (int repeat = 0; repeat < 3; ++repeat) ASSERT_TRUE(answered(put("beside-" + std::to_string(i))));
    const auto first = put("at-once-" + std::to_string(i)), second = put("at-once-" + std::to_string(i));
    ASSERT_TRUE(answered(first));
    ASSERT_TRUE(answered(second));
  }
  EXPECT_EQ(runs(), 60u);
  program->signal(SIGTERM);
  ASSERT_TRUE(until([&] { return program->ended(); }));
  for (const char* name : {"before-", "beside-", "at-once-"})
    for (int i = 0; i < 20; ++i) ASSERT_TRUE(answered(put(name + std::to_string(i))));
  EXPECT_EQ(runs(), 60u) << successor->logged();
}

// Guards against a second execution at the other process of a request whose client left while its host was
// executing it.
TEST_F(ProcessReplacementTest, BothProcessesRefuseIdsOfRequestsWhoseClientsLeft) {
  for (const auto& host : hosts) host->handler = [](const auto&, const Received&) {};
  const auto executions = [&] { return hosts[0]->received.size() + hosts[1]->received.size(); };
  const auto book = [&](const std::string& id) {
    const auto c = Client::connect(io, listener.local_endpoint());
    c->write("POST /book HTTP/1.1\r\nHost: api\r\nX-Correlation-Id: " + id +
             "\r\nX-Time-Left-Ms: 2900\r\nContent-Length: 1\r\n\r\nx");
    return c;
  };
  const auto bookAndLeave = [&](const std::string& id) {
    const std::size_t before = executions();
    const auto c = book(id);
    ASSERT_TRUE(until([&] { return executions() == before + 1; }));
    c->close();
  };
  const auto isRefused = [&](const std::string& id) {
    const auto c = book(id);
    return until([&] { return !c->answers.empty(); }) && c->answers[0].result_int() == 409;
  };
  const tcp::endpoint ops = reserveEndpoint(io), successorOps = reserveEndpoint(io);
  program = launch(ops, "first");
  ASSERT_TRUE(becomesReady(ops)) << program->logged();
  bookAndLeave("before");
  ASSERT_TRUE(isRefused("before"));
  successor = launch(successorOps, "second");
  ASSERT_TRUE(becomesReady(successorOps)) << successor->logged();
  // Either process may accept each of these connections.
  for (int i = 0; i < 8; ++i) bookAndLeave("beside-" + std::to_string(i));
  const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(200);
  until([&] { return std::chrono::steady_clock::now() >= end; });
  for (int i = 0; i < 8; ++i) EXPECT_TRUE(isRefused("beside-" + std::to_string(i)));
  program->signal(SIGTERM);
  ASSERT_TRUE(until([&] { return program->ended(); }));
  EXPECT_TRUE(isRefused("before"));
  for (int i = 0; i < 8; ++i) EXPECT_TRUE(isRefused("beside-" + std::to_string(i)));
  EXPECT_EQ(executions(), 9u);
}

// The state of hosts, from /api/hosts and from `finchstile hosts`; without [membership] both are unavailable.
TEST_F(ProcessReplacementTest, DescribesHostsByAdminApiAndCommand) {
  const tcp::endpoint ops = reserveEndpoint(io), off = reserveEndpoint(io);
  const std::string file = folder.write("o.toml", "[membership]\nenabled = true\n");
  program = launch(ops, "first", {"--operator", file});
  ASSERT_TRUE(becomesReady(ops)) << program->logged();
  sendRequest(Client::connect(io, listener.local_endpoint()), 20);
  const auto all = call(ops, "GET /api/hosts");
  EXPECT_EQ(all.first, 200u);
  EXPECT_EQ(all.second.substr(0, 16), "list version 1, ") << all.second;
  EXPECT_NE(all.second.find("s-0 at=127.0.0.1:"), std::string::npos) << all.second;
  EXPECT_NE(all.second.find("  own: answered "), std::string::npos) << all.second;
  EXPECT_EQ(call(ops, "GET /api/hosts/s-9").first, 404u);
  EXPECT_EQ(call(ops, "PUT /api/hosts").first, 405u);
  EXPECT_NE(call(ops, "GET /api/telemetry").second.find("lb_lists_total{what=\"taken\"} "),
            std::string::npos);
  const auto command = [&](std::vector<std::string> arguments) {
    auto p = std::make_unique<Process>(FINCHSTILE_PROGRAM, std::move(arguments), folder / "hosts.log");
    EXPECT_TRUE(until([&] { return p->ended(); }));
    return std::pair(p->wait(), p->logged());
  };
  const auto one = command({"hosts", "--ops", text(ops), "s-1"});
  EXPECT_EQ(one.first, 0);
  EXPECT_EQ(one.second.substr(0, 17), "s-1 at=127.0.0.1:") << one.second;
  EXPECT_EQ(command({"hosts", "--ops", text(ops), "s-9"}).first, 3);
  EXPECT_EQ(command({"hosts", "--ops", text(off)}).first, 1);
  EXPECT_EQ(command({"hosts"}).first, 2);
  successor = launch(off, "second");
  ASSERT_TRUE(becomesReady(off)) << successor->logged();
  EXPECT_EQ(call(off, "GET /api/hosts"),
            std::pair(404u, std::string("needs [membership] in the operator's file\n")));
}

// A successor that is killed does not affect the running process, and a later successor connects to it.
TEST_F(ProcessReplacementTest, ServesOnAfterASuccessorIsKilled) {
  const tcp::endpoint ops = reserveEndpoint(io);
  program = launch(ops, "first");
  ASSERT_TRUE(becomesReady(ops));
  const auto c = Client::connect(io, listener.local_endpoint());
  sendRequest(c, 2);
  const tcp::endpoint successorOps = reserveEndpoint(io), thirdOps = reserveEndpoint(io);
  successor = launch(successorOps, "second");
  ASSERT_TRUE(becomesReady(successorOps));
  successor.reset();  // killed
  sendRequest(c, 2);
  successor = launch(thirdOps, "third");
  ASSERT_TRUE(becomesReady(thirdOps));
  program->signal(SIGTERM);
  ASSERT_TRUE(until([&] { return program->ended(); }));
  EXPECT_FALSE(c->ended) << program->logged();
  sendRequest(c, 2);
}

TEST_F(ProcessReplacementTest, InvalidInheritedDescriptorFailsStartupWithItsReason) {
  setenv("LB_INHERITED_FD", "0", 1);
  program = launch(reserveEndpoint(io), "first");
  ASSERT_TRUE(until([&] { return program->ended(); }));
  EXPECT_EQ(program->wait(), 1);
  EXPECT_NE(program->logged().find("the inherited descriptor 0 is no listening socket"), std::string::npos);
  setenv("LB_INHERITED_FD", "three", 1);
  program = launch(reserveEndpoint(io), "first");
  ASSERT_TRUE(until([&] { return program->ended(); }));
  EXPECT_NE(program->logged().find("LB_INHERITED_FD is 'three'"), std::string::npos);
}

}  // namespace
}  // namespace finchstile::testing
