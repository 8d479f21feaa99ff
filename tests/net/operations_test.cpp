// What operators do to a gateway that serves: clients sent away, hosts out by hand, a listener that processes
// share, the figures.
#include <set>

#include "support/gateway_fixture.hpp"

namespace finchstile::testing {
namespace {

using std::chrono::milliseconds;

struct OperationsTest : GatewayTest {
  unsigned health() {
    const auto c = client();
    c->write("GET /health/ready HTTP/1.1\r\n\r\n");
    EXPECT_TRUE(until([&] { return c->answers.size() == 1; }));
    return c->answers.empty() ? 0 : c->answers[0].result_int();
  }
};

TEST_F(OperationsTest, ClientsSentAwayLoseNothingAndNoneIsKept) {
  host(serveOk);
  start();
  const auto resting = client(), using_ = client();
  resting->sendRequest("GET", "/read", 2500);
  using_->sendRequest("GET", "/read", 2500);
  ASSERT_TRUE(until([&] { return resting->answers.size() == 1 && using_->answers.size() == 1; }));
  gateway->enterLameDuck();
  gateway->enterLameDuck();  // twice is once
  EXPECT_FALSE(gateway->ready());
  EXPECT_EQ(health(), 503u);
  using_->sendRequest("GET", "/read", 2500);  // still served, and told to go
  ASSERT_TRUE(until([&] { return using_->answers.size() == 2; }));
  EXPECT_EQ(using_->answers[1].result_int(), 200u);
  EXPECT_FALSE(using_->answers[1].keep_alive());
  ASSERT_TRUE(until([&] { return resting->ended && using_->ended; }));
  const auto late = client();  // who comes all the same is served
  late->sendRequest("GET", "/read", 2500);
  ASSERT_TRUE(until([&] { return late->answers.size() == 1 && late->ended; }));
  EXPECT_EQ(late->answers[0].result_int(), 200u);
  gateway->leaveLameDuck();
  EXPECT_EQ(health(), 200u);
  const auto again = client();
  again->sendRequest("GET", "/read", 2500);
  ASSERT_TRUE(until([&] { return again->answers.size() == 1; }));
  EXPECT_TRUE(again->answers[0].keep_alive());
  again->sendRequest("GET", "/read", 2500);
  ASSERT_TRUE(until([&] { return again->answers.size() == 2; }));
}

TEST_F(OperationsTest, ARequestUnderWayIsAnsweredWhileClientsAreSentAway) {
  host(hold);
  start();
  const auto c = client();
  c->sendRequest("GET", "/read", 2900);
  ASSERT_TRUE(until([&] { return received() == 1; }));
  gateway->enterLameDuck();
  const auto resting = client();
  ASSERT_TRUE(until([&] { return resting->ended; }));  // by then nothing rests
  EXPECT_FALSE(c->ended);
  hosts[0]->peers[0]->reply(200, "late");
  ASSERT_TRUE(until([&] { return c->answers.size() == 1 && c->ended; }));
  EXPECT_EQ(c->answers[0].body(), "late");
}

// Load reports of answers, whatever the outcome; one that can't be read is counted, and the answer goes on.
TEST_F(OperationsTest, LoadReportsAreReadAndSpoiltOnesCounted) {
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
    c->sendRequest("POST", "/book", 2500, "x");  // unsafe: one attempt each
    ASSERT_TRUE(until([&] { return c->answers.size() == i; }));
  }
  EXPECT_EQ(gateway->metrics().loadReports, 2u);
  EXPECT_EQ(gateway->metrics().malformedLoadReports, 3u);
}

struct Ear : HostObserver {
  std::vector<std::string> silent;
  std::vector<double> queues;
  void onHostUnresponsive(const std::string& host) override { silent.push_back(host); }
  void onLoadReport(const std::string&, const load_balancing::LoadReport& r) override {
    queues.push_back(r.queue);
  }
};

// Hard case: a report of one worker carried by another's address. The host has moved and started anew while
// an answer of its old process was on its way.
TEST_F(OperationsTest, AReportOfTheProcessBeforeIsNotTheNewOnes) {
  host(hold);
  host(serveOk);
  const json all = hostListJson();
  hosts[1]->handler = [](const auto& peer, const Received&) {
    peer->reply(200, "new", "X-Backend-Load: queue=2\r\n");
  };
  json config = configJson(discovery.endpoint(), json::array({all[0]}));
  gateway = std::make_unique<Gateway>(io, clock, readConfig(config.dump(), clock));
  Ear ear;
  gateway->setHostObserver(ear);
  gateway->start();
  const auto c = client();
  c->sendRequest("GET", "/read", 2900);
  ASSERT_TRUE(until([&] { return hosts[0]->received.size() == 1 && !polls.empty(); }));
  const auto now =
      std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count() +
      1;
  ASSERT_TRUE(until([&] { return std::chrono::system_clock::now().time_since_epoch() > milliseconds(now); }));
  const auto call = polls.back();
  polls.clear();
  call->reply(200,
              listJson(2, false, json::array({hostJson("s-0", hosts[1]->endpoint(), "active", now)})).dump());
  ASSERT_TRUE(until([&] { return !polls.empty(); }));
  hosts[0]->peers[0]->reply(200, "old", "X-Backend-Load: queue=70\r\n");
  ASSERT_TRUE(until([&] { return c->answers.size() == 1; }));
  EXPECT_EQ(c->answers[0].body(), "old");
  c->sendRequest("GET", "/read", 2900);
  ASSERT_TRUE(until([&] { return c->answers.size() == 2; }));
  EXPECT_EQ(c->answers[1].body(), "new");
  EXPECT_EQ(ear.queues, std::vector<double>{2});
  EXPECT_TRUE(ear.silent.empty());
}

struct Out : HostEntryFilter {
  std::set<std::string> names;
  void apply(load_balancing::HostEntry& e) const override {
    if (names.count(e.address) && e.phase == load_balancing::HostPhase::active)
      e.phase = load_balancing::HostPhase::draining;
  }
};

// Hard case: the list goes on saying that the host is well, whole and in parts.
TEST_F(OperationsTest, AHostOutByHandGetsNothingWhateverTheListSays) {
  for (int i = 0; i < 2; ++i) host(serveOk);
  start();
  Out out;
  gateway->addHostEntryFilter(out);
  const auto c = client();
  serve(*c, 40);
  EXPECT_GT(hosts[0]->received.size(), 0u);
  EXPECT_EQ(gateway->metrics().avoidedHosts, 0u);
  out.names = {"s-0"};
  gateway->reapplyHostFilters();
  const std::size_t before = hosts[0]->received.size();
  serve(*c, 20);
  EXPECT_EQ(gateway->metrics().listedHosts, 2u);
  EXPECT_EQ(gateway->metrics().avoidedHosts, 1u);
  ASSERT_TRUE(until([&] { return !polls.empty(); }));
  const std::size_t asked = polls.size();
  polls.back()->reply(200, listJson(7, true, hostListJson()).dump());
  ASSERT_TRUE(until([&] { return polls.size() > asked; }));
  serve(*c, 20);
  EXPECT_EQ(hosts[0]->received.size(), before);
  EXPECT_TRUE(gateway->isListed("s-0"));
  EXPECT_FALSE(gateway->isListed("s-9"));
  out.names.clear();
  gateway->reapplyHostFilters();
  serve(*c, 40);
  EXPECT_GT(hosts[0]->received.size(), before);
}

TEST_F(OperationsTest, FiguresCountEachEndOnceAndWhatIsUnderWay) {
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
  const auto held = client(), left = client();
  held->sendRequest("POST", "/book", 300, "x");
  left->sendRequest("POST", "/book", 2500, "x");
  ASSERT_TRUE(until([&] { return received() == 6; }));
  GatewayMetrics f = gateway->metrics();
  ASSERT_EQ(f.classes.size(), 3u);
  EXPECT_EQ(f.classes[0].name, "read");
  EXPECT_EQ(f.classes[0].succeeded, 3u);
  EXPECT_EQ(f.classes[0].failed, 1u);
  EXPECT_EQ(f.attemptsSent, 6u);
  EXPECT_EQ(f.activeRequests, 2u);
  left->close();
  ASSERT_TRUE(until([&] { return held->answers.size() == 1 && gateway->metrics().activeRequests == 0; }));
  f = gateway->metrics();
  EXPECT_EQ(f.classes[1].succeeded + f.classes[1].rejected, 0u);
  EXPECT_EQ(f.classes[1].failed, 1u);  // the one that waited; nobody was told of the other
}

// The platform keeps the listening socket and lends it to each process.
TEST_F(OperationsTest, TwoGatewaysShareAListenerAndTheOneThatEndsLeavesTheQueueToTheOther) {
  host(serveOk);
  tcp::acceptor kept(io, loopback());
  const auto make = [&](const std::string& body) {
    GatewayConfig config = readConfig(configJson(discovery.endpoint(), hostListJson()).dump(), clock);
    config.listen = kept.local_endpoint();
    config.inheritedListenerDescriptor = ::dup(kept.native_handle());
    (void)body;
    return std::make_unique<Gateway>(io, clock, std::move(config));
  };
  gateway = make("first");
  gateway->start();
  const auto resting = Client::connect(io, kept.local_endpoint());
  resting->sendRequest("GET", "/read", 2500);
  ASSERT_TRUE(until([&] { return resting->answers.size() == 1; }));
  int done = 0;
  gateway->drain([&] { ++done; });
  const auto queued = Client::connect(io, kept.local_endpoint());
  queued->sendRequest("GET", "/read", 2500);
  resting->sendRequest("GET", "/read", 2500);  // still served by the first, and told to go
  ASSERT_TRUE(until([&] { return resting->ended && done == 1; }));
  EXPECT_EQ(resting->answers.size(), 2u);
  EXPECT_EQ(queued->answers.size(), 0u);
  EXPECT_FALSE(queued->ended);
  const auto next = make("next");
  next->start();
  ASSERT_TRUE(until([&] { return queued->answers.size() == 1; }));
  EXPECT_EQ(queued->answers[0].result_int(), 200u);
  EXPECT_TRUE(queued->answers[0].keep_alive());
}

// The next process takes over the connections themselves: none is closed under its client.
TEST_F(OperationsTest, ConnectionsGoToTheNextGatewayAsTheyComeToRest) {
  std::shared_ptr<Peer> holder;
  host([&](const auto& peer, const Received& r) {
    if (r.target() == "/read/held") holder = peer;
    else peer->reply(200, "ok");
  });
  tcp::acceptor kept(io, loopback());
  const auto make = [&] {
    GatewayConfig config = readConfig(configJson(discovery.endpoint(), hostListJson()).dump(), clock);
    config.listen = kept.local_endpoint();
    config.inheritedListenerDescriptor = ::dup(kept.native_handle());
    return std::make_unique<Gateway>(io, clock, std::move(config));
  };
  gateway = make();
  gateway->start();
  std::vector<std::shared_ptr<Client>> clients;
  for (int i = 0; i < 5; ++i) {
    clients.push_back(Client::connect(io, kept.local_endpoint()));
    clients[i]->sendRequest("GET", "/read", 2500);
    ASSERT_TRUE(until([&] { return clients[i]->answers.size() == 1; }));
  }
  const auto fresh = Client::connect(io, kept.local_endpoint());
  clients[4]->sendRequest("GET", "/read/held", 2900);
  ASSERT_TRUE(until([&] { return received() == 6 && gateway->clientConnections() == 6; }));
  const auto next = make();  // serves beside it, but its listener is not asked yet
  int done = 0;
  bool full = true;  // at first the other does not take any
  gateway->drain([&] { ++done; });
  gateway->handOverClients([&](int fd) {
    if (full) return false;
    next->adoptClient(::dup(fd));
    return true;
  });
  clients[0]->sendRequest("GET", "/read", 2500);  // under way as it drains: answered here, and left open
  ASSERT_TRUE(until([&] { return clients[0]->answers.size() == 2; }));
  EXPECT_TRUE(clients[0]->answers[1].keep_alive());
  full = false;
  ASSERT_TRUE(until([&] { return next->clientConnections() == 5; }));
  EXPECT_EQ(gateway->clientConnections(), 1u);  // the one whose answer is still owed
  EXPECT_EQ(done, 0);
  next->start();
  for (int i = 0; i < 4; ++i) clients[i]->sendRequest("GET", "/read", 2500);
  fresh->sendRequest("GET", "/read", 2500);
  ASSERT_TRUE(until([&] { return fresh->answers.size() == 1 && next->metrics().classes[0].succeeded == 5; }));
  for (const auto& peer : hosts[0]->peers)
    if (peer == holder) peer->reply(200, "late");
  ASSERT_TRUE(until([&] { return done == 1; }));
  EXPECT_EQ(next->clientConnections(), 6u);
  for (const auto& c : clients) EXPECT_FALSE(c->ended);
  EXPECT_FALSE(fresh->ended);
}

// Hard case: the next process is lost in the midst of it. What is left is told to go, and closed in time.
TEST_F(OperationsTest, WithoutTheNextGatewayConnectionsAreClosedAsEver) {
  host(serveOk);
  tcp::acceptor kept(io, loopback());
  GatewayConfig config = readConfig(configJson(discovery.endpoint(), hostListJson()).dump(), clock);
  config.listen = kept.local_endpoint();
  config.inheritedListenerDescriptor = ::dup(kept.native_handle());
  gateway = std::make_unique<Gateway>(io, clock, std::move(config));
  gateway->start();
  const auto resting = client(), busy = client();
  busy->sendRequest("GET", "/read", 2500);
  ASSERT_TRUE(until([&] { return busy->answers.size() == 1 && gateway->clientConnections() == 2; }));
  int done = 0;
  gateway->drain([&] { ++done; });
  gateway->handOverClients([](int) { return false; });
  gateway->handOverClients({});
  busy->sendRequest("GET", "/read", 2500);
  ASSERT_TRUE(until([&] { return busy->answers.size() == 2; }));
  EXPECT_FALSE(busy->answers[1].keep_alive());
  ASSERT_TRUE(until([&] { return resting->ended && busy->ended && done == 1; }));
}

TEST_F(OperationsTest, ADescriptorThatIsNoListenerOfOursIsTurnedDown) {
  GatewayConfig config = readConfig(configJson(discovery.endpoint(), json::array()).dump(), clock);
  const auto fails = [&](int fd) {
    GatewayConfig c = config;
    c.inheritedListenerDescriptor = fd;
    try {
      Gateway g(io, clock, std::move(c));
    } catch (const std::runtime_error& e) {
      return std::string(e.what());
    }
    return std::string();
  };
  EXPECT_NE(fails(0).find("is no listening socket"), std::string::npos);
  EXPECT_NE(fails(987654).find("is no listening socket"), std::string::npos);
  tcp::acceptor other(io, loopback());
  config.listen = {asio::ip::make_address("127.0.0.1"), 1};
  EXPECT_NE(fails(::dup(other.native_handle())).find("does not listen at the address"), std::string::npos);
}

}  // namespace
}  // namespace finchstile::testing
