// Operator actions on a serving gateway: lame duck, host cordons, a listener shared by processes, handover of
// connections; also load reports and metrics.
#include <set>

#include "support/gateway_fixture.hpp"

namespace finchstile::testing {
namespace {

using std::chrono::milliseconds;

struct OperationsTest : GatewayTest {
  unsigned readinessStatus() {
    const auto c = client();
    c->write("GET /health/ready HTTP/1.1\r\n\r\n");
    EXPECT_TRUE(until([&] { return c->answers.size() == 1; }));
    return c->answers.empty() ? 0 : c->answers[0].result_int();
  }
};

TEST_F(OperationsTest, LameDuckServesOpenConnectionsAndThenClosesThem) {
  host(serveOk);
  start();
  const auto idle = client(), activeClient = client();
  idle->sendRequest("GET", "/read", 2500);
  activeClient->sendRequest("GET", "/read", 2500);
  ASSERT_TRUE(until([&] { return idle->answers.size() == 1 && activeClient->answers.size() == 1; }));
  gateway->enterLameDuck();
  gateway->enterLameDuck();  // idempotent
  EXPECT_FALSE(gateway->ready());
  EXPECT_EQ(readinessStatus(), 503u);
  activeClient->sendRequest("GET", "/read", 2500);  // still served, with Connection: close
  ASSERT_TRUE(until([&] { return activeClient->answers.size() == 2; }));
  EXPECT_EQ(activeClient->answers[1].result_int(), 200u);
  EXPECT_FALSE(activeClient->answers[1].keep_alive());
  ASSERT_TRUE(until([&] { return idle->ended && activeClient->ended; }));
  const auto late = client();  // new connections are still served
  late->sendRequest("GET", "/read", 2500);
  ASSERT_TRUE(until([&] { return late->answers.size() == 1 && late->ended; }));
  EXPECT_EQ(late->answers[0].result_int(), 200u);
  gateway->leaveLameDuck();
  EXPECT_EQ(readinessStatus(), 200u);
  const auto reconnected = client();
  reconnected->sendRequest("GET", "/read", 2500);
  ASSERT_TRUE(until([&] { return reconnected->answers.size() == 1; }));
  EXPECT_TRUE(reconnected->answers[0].keep_alive());
  reconnected->sendRequest("GET", "/read", 2500);
  ASSERT_TRUE(until([&] { return reconnected->answers.size() == 2; }));
}

TEST_F(OperationsTest, LameDuckAnswersOpenRequests) {
  host(hold);
  start();
  const auto c = client();
  c->sendRequest("GET", "/read", 2900);
  ASSERT_TRUE(until([&] { return received() == 1; }));
  gateway->enterLameDuck();
  const auto idle = client();
  ASSERT_TRUE(until([&] { return idle->ended; }));  // idle connections are closed by now
  EXPECT_FALSE(c->ended);
  hosts[0]->peers[0]->reply(200, "late");
  ASSERT_TRUE(until([&] { return c->answers.size() == 1 && c->ended; }));
  EXPECT_EQ(c->answers[0].body(), "late");
}

// Load reports are read from answers of any status. A malformed one is counted, and the answer is passed on.
TEST_F(OperationsTest, ReadsLoadReportsAndCountsMalformedOnes) {
  const std::vector<std::string> reports = {
      "queue=3,latency_ms=41", "inflight=7,queue=2,util=0.61", "queue=-1", "noise", "queue=1,queue=2", ""};
  std::size_t next = 0;
  host([&](const auto& peer, const Received&) {
    const std::string& r = reports.at(next++);
    peer->reply(next == 2 ? 500 : 200, "ok", "X-Backend-Load: " + r + "\r\n");
  });
  start();
  const auto c = client();
  for (std::size_t i = 1; i <= reports.size(); ++i) {
    c->sendRequest("POST", "/book", 2500, "x");  // unsafe, so that each has one attempt
    ASSERT_TRUE(until([&] { return c->answers.size() == i; }));
  }
  EXPECT_EQ(gateway->metrics().loadReports, 2u);
  EXPECT_EQ(gateway->metrics().malformedLoadReports, 3u);
}

struct RecordingHostObserver : HostObserver {
  std::vector<std::string> unresponsive;
  std::vector<double> reportedQueues;
  void onHostUnresponsive(const std::string& host) override { unresponsive.push_back(host); }
  void onLoadReport(const std::string&, const load_balancing::LoadReport& r) override {
    reportedQueues.push_back(r.queue);
  }
};

// The host restarts at another address while an answer of its old process is on its way. The load report of
// that answer must not be taken for one of the new process.
TEST_F(OperationsTest, IgnoresLoadReportOfPreviousHostProcess) {
  host(hold);
  host(serveOk);
  const json hostList = hostListJson();
  hosts[1]->handler = [](const auto& peer, const Received&) {
    peer->reply(200, "new", "X-Backend-Load: queue=2\r\n");
  };
  json config = configJson(discovery.endpoint(), json::array({hostList[0]}));
  gateway = std::make_unique<Gateway>(io, clock, readConfig(config.dump(), clock));
  RecordingHostObserver observer;
  gateway->setHostObserver(observer);
  gateway->start();
  const auto c = client();
  c->sendRequest("GET", "/read", 2900);
  ASSERT_TRUE(until([&] { return hosts[0]->received.size() == 1 && !polls.empty(); }));
  const auto now =
      std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count() +
      1;
  ASSERT_TRUE(until([&] { return std::chrono::system_clock::now().time_since_epoch() > milliseconds(now); }));
  const auto poll = polls.back();
  polls.clear();
  poll->reply(200,
              listJson(2, false, json::array({hostJson("s-0", hosts[1]->endpoint(), "active", now)})).dump());
  ASSERT_TRUE(until([&] { return !polls.empty(); }));
  hosts[0]->peers[0]->reply(200, "old", "X-Backend-Load: queue=70\r\n");
  ASSERT_TRUE(until([&] { return c->answers.size() == 1; }));
  EXPECT_EQ(c->answers[0].body(), "old");
  c->sendRequest("GET", "/read", 2900);
  ASSERT_TRUE(until([&] { return c->answers.size() == 2; }));
  EXPECT_EQ(c->answers[1].body(), "new");
  EXPECT_EQ(observer.reportedQueues, std::vector<double>{2});
  EXPECT_TRUE(observer.unresponsive.empty());
}

struct CordonFilter : HostEntryFilter {
  std::set<std::string> cordonedHosts;
  void apply(load_balancing::HostEntry& e) const override {
    if (cordonedHosts.count(e.address) && e.phase == load_balancing::HostPhase::active)
      e.phase = load_balancing::HostPhase::draining;
  }
};

// The cordon holds although host lists keep reporting the host as active.
TEST_F(OperationsTest, SendsNothingToCordonedHostWhateverListSays) {
  for (int i = 0; i < 2; ++i) host(serveOk);
  start();
  CordonFilter cordon;
  gateway->addHostEntryFilter(cordon);
  const auto c = client();
  expectServed(*c, 40);
  EXPECT_GT(hosts[0]->received.size(), 0u);
  EXPECT_EQ(gateway->metrics().avoidedHosts, 0u);
  cordon.cordonedHosts = {"s-0"};
  gateway->reapplyHostFilters();
  const std::size_t before = hosts[0]->received.size();
  expectServed(*c, 20);
  EXPECT_EQ(gateway->metrics().listedHosts, 2u);
  EXPECT_EQ(gateway->metrics().avoidedHosts, 1u);
  ASSERT_TRUE(until([&] { return !polls.empty(); }));
  const std::size_t pollsBefore = polls.size();
  polls.back()->reply(200, listJson(7, true, hostListJson()).dump());
  ASSERT_TRUE(until([&] { return polls.size() > pollsBefore; }));
  expectServed(*c, 20);
  EXPECT_EQ(hosts[0]->received.size(), before);
  EXPECT_TRUE(gateway->isListed("s-0"));
  EXPECT_FALSE(gateway->isListed("s-9"));
  cordon.cordonedHosts.clear();
  gateway->reapplyHostFilters();
  expectServed(*c, 40);
  EXPECT_GT(hosts[0]->received.size(), before);
}

TEST_F(OperationsTest, MetricsCountEachRequestOnceAndThoseInProgress) {
  std::size_t n = 0;
  host([&](const auto& peer, const Received&) {
    if (++n <= 3) peer->reply(200, "ok");
    else if (n == 4) peer->reply(404, "");
  });
  start();
  const auto c = client();
  for (int i = 0; i < 4; ++i) {
    c->sendRequest("GET", "/read", 2500);
    ASSERT_TRUE(until([&] { return c->answers.size() == static_cast<std::size_t>(i) + 1; }));
  }
  const auto held = client(), disconnected = client();
  held->sendRequest("POST", "/book", 300, "x");
  disconnected->sendRequest("POST", "/book", 2500, "x");
  ASSERT_TRUE(until([&] { return received() == 6; }));
  GatewayMetrics metricsNow = gateway->metrics();
  ASSERT_EQ(metricsNow.classes.size(), 3u);
  EXPECT_EQ(metricsNow.classes[0].name, "read");
  EXPECT_EQ(metricsNow.classes[0].succeeded, 3u);
  EXPECT_EQ(metricsNow.classes[0].failed, 1u);
  EXPECT_EQ(metricsNow.attemptsSent, 6u);
  EXPECT_EQ(metricsNow.activeRequests, 2u);
  disconnected->close();
  ASSERT_TRUE(until([&] { return held->answers.size() == 1 && gateway->metrics().activeRequests == 0; }));
  metricsNow = gateway->metrics();
  EXPECT_EQ(metricsNow.classes[1].succeeded + metricsNow.classes[1].rejected, 0u);
  EXPECT_EQ(metricsNow.classes[1].failed, 1u);  // of `held`: a disconnected client gets no answer
}

// The platform owns the listening socket and passes it to each process.
TEST_F(OperationsTest, LeavesAcceptQueueOfSharedListenerToNextGateway) {
  host(serveOk);
  tcp::acceptor listener(io, loopback());
  const auto makeGateway = [&](const std::string& body) {
    GatewayConfig config = readConfig(configJson(discovery.endpoint(), hostListJson()).dump(), clock);
    config.listen = listener.local_endpoint();
    config.inheritedListenerDescriptor = ::dup(listener.native_handle());
    (void)body;
    return std::make_unique<Gateway>(io, clock, std::move(config));
  };
  gateway = makeGateway("first");
  gateway->start();
  const auto idle = Client::connect(io, listener.local_endpoint());
  idle->sendRequest("GET", "/read", 2500);
  ASSERT_TRUE(until([&] { return idle->answers.size() == 1; }));
  int done = 0;
  gateway->drain([&] { ++done; });
  const auto queued = Client::connect(io, listener.local_endpoint());
  queued->sendRequest("GET", "/read", 2500);
  idle->sendRequest("GET", "/read", 2500);  // still served by the first, with Connection: close
  ASSERT_TRUE(until([&] { return idle->ended && done == 1; }));
  EXPECT_EQ(idle->answers.size(), 2u);
  EXPECT_EQ(queued->answers.size(), 0u);
  EXPECT_FALSE(queued->ended);
  const auto next = makeGateway("next");
  next->start();
  ASSERT_TRUE(until([&] { return queued->answers.size() == 1; }));
  EXPECT_EQ(queued->answers[0].result_int(), 200u);
  EXPECT_TRUE(queued->answers[0].keep_alive());
}

// The next process takes over the open connections, so that no client sees a close.
TEST_F(OperationsTest, HandsIdleConnectionsOverToNextGateway) {
  std::shared_ptr<Peer> heldConnection;
  host([&](const auto& peer, const Received& r) {
    if (r.target() == "/read/held") heldConnection = peer;
    else peer->reply(200, "ok");
  });
  tcp::acceptor listener(io, loopback());
  const auto makeGateway = [&] {
    GatewayConfig config = readConfig(configJson(discovery.endpoint(), hostListJson()).dump(), clock);
    config.listen = listener.local_endpoint();
    config.inheritedListenerDescriptor = ::dup(listener.native_handle());
    return std::make_unique<Gateway>(io, clock, std::move(config));
  };
  gateway = makeGateway();
  gateway->start();
  std::vector<std::shared_ptr<Client>> clients;
  for (int i = 0; i < 5; ++i) {
    clients.push_back(Client::connect(io, listener.local_endpoint()));
    clients[i]->sendRequest("GET", "/read", 2500);
    ASSERT_TRUE(until([&] { return clients[i]->answers.size() == 1; }));
  }
  const auto fresh = Client::connect(io, listener.local_endpoint());
  clients[4]->sendRequest("GET", "/read/held", 2900);
  ASSERT_TRUE(until([&] { return received() == 6 && gateway->clientConnections() == 6; }));
  const auto next = makeGateway();  // not started: it does not accept from the listener yet
  int done = 0;
  bool refusesConnections = true;  // the next gateway accepts no connections at first
  gateway->drain([&] { ++done; });
  gateway->handOverClients([&](int fd) {
    if (refusesConnections) return false;
    next->adoptClient(::dup(fd));
    return true;
  });
  clients[0]->sendRequest("GET", "/read", 2500);  // sent during the drain: answered here, and left open
  ASSERT_TRUE(until([&] { return clients[0]->answers.size() == 2; }));
  EXPECT_TRUE(clients[0]->answers[1].keep_alive());
  refusesConnections = false;
  ASSERT_TRUE(until([&] { return next->clientConnections() == 5; }));
  EXPECT_EQ(gateway->clientConnections(), 1u);  // the one with an open request
  EXPECT_EQ(done, 0);
  next->start();
  for (int i = 0; i < 4; ++i) clients[i]->sendRequest("GET", "/read", 2500);
  fresh->sendRequest("GET", "/read", 2500);
  ASSERT_TRUE(until([&] { return fresh->answers.size() == 1 && next->metrics().classes[0].succeeded == 5; }));
  for (const auto& peer : hosts[0]->peers)
    if (peer == heldConnection) peer->reply(200, "late");
  ASSERT_TRUE(until([&] { return done == 1; }));
  EXPECT_EQ(next->clientConnections(), 6u);
  for (const auto& c : clients) EXPECT_FALSE(c->ended);
  EXPECT_FALSE(fresh->ended);
}

// The next process ends during the handover. The remaining connections are closed as in any drain.
TEST_F(OperationsTest, ClosesConnectionsWhenHandoverFails) {
  host(serveOk);
  tcp::acceptor listener(io, loopback());
  GatewayConfig config = readConfig(configJson(discovery.endpoint(), hostListJson()).dump(), clock);
  config.listen = listener.local_endpoint();
  config.inheritedListenerDescriptor = ::dup(listener.native_handle());
  gateway = std::make_unique<Gateway>(io, clock, std::move(config));
  gateway->start();
  const auto idle = client(), busy = client();
  busy->sendRequest("GET", "/read", 2500);
  ASSERT_TRUE(until([&] { return busy->answers.size() == 1 && gateway->clientConnections() == 2; }));
  int done = 0;
  gateway->drain([&] { ++done; });
  gateway->handOverClients([](int) { return false; });
  gateway->handOverClients({});
  busy->sendRequest("GET", "/read", 2500);
  ASSERT_TRUE(until([&] { return busy->answers.size() == 2; }));
  EXPECT_FALSE(busy->answers[1].keep_alive());
  ASSERT_TRUE(until([&] { return idle->ended && busy->ended && done == 1; }));
}

TEST_F(OperationsTest, RejectsDescriptorThatIsNotItsListener) {
  GatewayConfig config = readConfig(configJson(discovery.endpoint(), json::array()).dump(), clock);
  const auto startupError = [&](int fd) {
    GatewayConfig c = config;
    c.inheritedListenerDescriptor = fd;
    try {
      Gateway g(io, clock, std::move(c));
    } catch (const std::runtime_error& e) {
      return std::string(e.what());
    }
    return std::string();
  };
  EXPECT_NE(startupError(0).find("is no listening socket"), std::string::npos);
  EXPECT_NE(startupError(987654).find("is no listening socket"), std::string::npos);
  tcp::acceptor other(io, loopback());
  config.listen = {asio::ip::make_address("127.0.0.1"), 1};
  EXPECT_NE(startupError(::dup(other.native_handle())).find("does not listen at the address"),
            std::string::npos);
}

}  // namespace
}  // namespace finchstile::testing
