// Opaque streams through a gateway on loopback, against hosts run by the test: forwarding, endings, drains,
// reconnect surges, limits.
#include "stream/tcp_proxy_handler.hpp"

#include "stream/table.hpp"
#include "support/gateway_fixture.hpp"
#include "support/wires.hpp"

namespace finchstile::stream {
namespace {

using namespace finchstile::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Steady = std::chrono::steady_clock;

struct StreamTest : GatewayTest {
  std::vector<std::unique_ptr<TcpServer>> hostServers;
  std::unique_ptr<StreamTable> table;
  std::unique_ptr<TcpProxyHandler> handler;
  StreamSettings settings;
  std::vector<std::string> lines;
  std::vector<std::string> names;  // host names in the discovery list; default w-0, w-1, ...
  int listIndex = 1;

  StreamTest() {
    settings.enabled = true;
    settings.descriptorShare = 0.5;
    ListenSettings l;
    l.name = "scan";
    l.at = loopback();
    l.className = "book";
    l.connect = milliseconds(2000);
    settings.listen.push_back(l);
  }
  ~StreamTest() override { gateway.reset(); }

  TcpServer& addHost(std::function<void(const std::shared_ptr<TcpConnection>&)> on = {}) {
    return *hostServers.emplace_back(std::make_unique<TcpServer>(io, std::move(on)));
  }
  json entry(std::size_t i, const std::string& status = "active", std::int64_t since = 0) const {
    return hostJson(names.size() > i ? names[i] : "w-" + std::to_string(i), hostServers[i]->endpoint(),
                    status, since);
  }
  json hostList() const {
    json list = json::array();
    for (std::size_t i = 0; i < hostServers.size(); ++i) list.push_back(entry(i));
    return list;
  }
  void startGateway(const std::function<void(json&)>& change = [](json&) {}) {
    json config = configJson(discovery.endpoint(), hostList());
    config["limits"]["sockets"] = 1024;
    change(config);
    GatewayConfig read = readConfig(config.dump(), clock);
    read.options.reservedDescriptorFraction = settings.descriptorShare;
    read.settings.maxStreams = static_cast<std::uint32_t>(maxStreamsFor(settings, read.descriptorLimit));
    read.settings.maxStreamsPerHost = static_cast<std::uint32_t>(settings.hostStreamLimit);
    read.settings.hostStreamRate = settings.hostStreamRateLimit;
    read.settings.streamRetrySpread = settings.retryInterval;
    gateway = std::make_unique<Gateway>(io, clock, read);
    table = std::make_unique<StreamTable>(io, clock, settings, read.settings.maxStreams, 5,
                                          gateway->protocolHandlerCallbacks(),
                                          [this](std::string_view line) { lines.emplace_back(line); });
    handler = std::make_unique<TcpProxyHandler>(io, clock, settings, read.settings,
                                                gateway->protocolHandlerCallbacks(), *table);
    gateway->attach(*handler);
    handler->start();
    gateway->start();
    ASSERT_TRUE(until([&] { return !polls.empty(); }));
  }
  void publishHosts(const json& list, bool whole = false) {
    ASSERT_TRUE(until([&] { return !polls.empty(); }));
    const auto pendingPoll = polls.back();
    polls.clear();
    pendingPoll->reply(200, listJson(++listIndex, whole, list).dump());
    ASSERT_TRUE(until([&] { return !polls.empty(); }));  // the next poll shows that the list was applied
  }
  std::shared_ptr<TcpConnection> open() { return TcpConnection::connect(io, handler->endpoint(0)); }
  std::size_t count(StreamResult b) const { return table->statistics().ended(b); }
  std::size_t connections() const {
    std::size_t n = 0;
    for (const auto& w : hostServers) n += w->connections.size();
    return n;
  }
  bool hasLine(const std::string& part) const {
    return std::any_of(lines.begin(), lines.end(),
                       [&](const std::string& l) { return l.find(part) != std::string::npos; });
  }
  void runFor(Duration time) {
    const auto end = Steady::now() + time;
    until([&] { return Steady::now() >= end; });
  }
};

TEST_F(StreamTest, ForwardsBytesUnchangedInBothDirections) {
  addHost(echo);
  startGateway();
  const auto c = open();
  const std::string bytes = pattern(3'000'000);
  c->write(bytes);
  ASSERT_TRUE(until([&] { return c->receivedBytes.size() >= bytes.size(); }));
  EXPECT_TRUE(c->receivedBytes == bytes);
  EXPECT_EQ(table->size(), 1u);
  EXPECT_EQ(hostServers[0]->connections.size(), 1u);
  c->shutdownSend();
  ASSERT_TRUE(until([&] { return hostServers[0]->connections[0]->ended; }));
  EXPECT_FALSE(c->over());  // the other direction stays open
  hostServers[0]->connections[0]->shutdownSend();
  ASSERT_TRUE(until([&] { return c->ended && table->idle(); }));
  EXPECT_EQ(count(StreamResult::served), 1u);
  EXPECT_TRUE(hasLine("stream scan served by=client why=finished")) << lines.size();
  EXPECT_TRUE(hasLine("host=w-0"));
  EXPECT_TRUE(hasLine("in=3000000 out=3000000"));
  EXPECT_EQ(table->buffers().held(), 0u);
}

// The client half-closes and still waits for the reply.
TEST_F(StreamTest, HostReplyArrivesCompletelyAfterHalfCloseOfClient) {
  const std::string reply = pattern(5'000'000);
  addHost();
  startGateway();
  const auto c = open();
  c->write("scan 17");
  c->shutdownSend();
  ASSERT_TRUE(until([&] { return connections() == 1 && hostServers[0]->connections[0]->ended; }));
  EXPECT_EQ(hostServers[0]->connections[0]->receivedBytes, "scan 17");
  hostServers[0]->connections[0]->write(reply);
  hostServers[0]->connections[0]->shutdownSend();
  ASSERT_TRUE(until([&] { return c->over(); }));
  EXPECT_TRUE(c->ended);
  EXPECT_TRUE(c->receivedBytes == reply);
  ASSERT_TRUE(until([&] { return table->idle(); }));
  EXPECT_EQ(count(StreamResult::served), 1u);
}

TEST_F(StreamTest, ClientBytesArriveCompletelyAfterHalfCloseOfHost) {
  addHost([](const auto& w) {
    w->write("hello");
    w->shutdownSend();
  });
  startGateway();
  const auto c = open();
  ASSERT_TRUE(until([&] { return c->ended; }));
  EXPECT_EQ(c->receivedBytes, "hello");
  const std::string late = pattern(2'000'000);
  c->write(late);
  c->shutdownSend();
  ASSERT_TRUE(until([&] { return hostServers[0]->connections[0]->ended; }));
  EXPECT_TRUE(hostServers[0]->connections[0]->receivedBytes == late);
  ASSERT_TRUE(until([&] { return table->idle(); }));
  EXPECT_TRUE(hasLine("served by=host why=finished"));
}

// The host resets in mid-stream.
TEST_F(StreamTest, ForwardsAResetAsAReset) {
  addHost();
  startGateway();
  const auto c = open();
  c->write("half of");
  ASSERT_TRUE(until(
      [&] { return connections() == 1 && hostServers[0]->connections[0]->receivedBytes == "half of"; }));
  hostServers[0]->connections[0]->write("an answer");
  ASSERT_TRUE(until([&] { return c->receivedBytes == "an answer"; }));
  hostServers[0]->connections[0]->abort();
  ASSERT_TRUE(until([&] { return c->over(); }));
  EXPECT_TRUE(c->reset);  // not an orderly close
  EXPECT_EQ(count(StreamResult::failed), 1u);
  EXPECT_TRUE(hasLine("failed by=host why=reset"));

  const auto d = open();
  ASSERT_TRUE(until([&] { return connections() == 2; }));
  d->write("x");
  ASSERT_TRUE(until([&] { return hostServers[0]->connections[1]->receivedBytes == "x"; }));
  d->abort();
  ASSERT_TRUE(until([&] { return hostServers[0]->connections[1]->over(); }));
  EXPECT_TRUE(hostServers[0]->connections[1]->reset);
  EXPECT_TRUE(hasLine("failed by=client why=reset"));
}

// A side that has sent its FIN is no longer read; its reset must still be detected immediately.
TEST_F(StreamTest, DetectsAResetAfterAHalfClose) {
  addHost();
  startGateway();
  const auto c = open();
  c->write("x");
  c->shutdownSend();
  ASSERT_TRUE(until([&] { return connections() == 1 && hostServers[0]->connections[0]->ended; }));
  c->abort();
  ASSERT_TRUE(until([&] { return hostServers[0]->connections[0]->reset || table->idle(); }));
  ASSERT_TRUE(until([&] { return table->idle(); }));
  EXPECT_TRUE(hasLine("failed by=client why=reset"));
}

TEST_F(StreamTest, ForwardsBytesReceivedBeforeAReset) {
  addHost();
  startGateway();
  const auto c = open();
  ASSERT_TRUE(until([&] { return connections() == 1; }));
  const auto w = hostServers[0]->connections[0];
  error_code ignored;
  asio::write(w->socket, asio::buffer(pattern(60'000)), ignored);
  w->abort();
  ASSERT_TRUE(until([&] { return c->over(); }));
  EXPECT_GT(c->receivedBytes.size(), 0u);
}

TEST_F(StreamTest, UnreachableHostIsRetriedOnAnotherHost) {
  addHost();
  addHost(echo);
  hostServers[0]->stop();
  startGateway();
  for (int i = 0; i < 8; ++i) {
    const auto c = open();
    c->write("x");
    ASSERT_TRUE(until([&] { return c->receivedBytes == "x"; }));
  }
  EXPECT_EQ(hostServers[1]->connections.size(), 8u);
  EXPECT_EQ(count(StreamResult::failed), 0u);
}

// Nothing was sent to a host; the reset distinguishes this from an empty response.
TEST_F(StreamTest, RefusesWithAResetIfNoHostIsReachable) {
  addHost();
  hostServers[0]->stop();
  startGateway();
  const auto c = open();
  ASSERT_TRUE(until([&] { return c->over(); }));
  EXPECT_TRUE(c->reset);
  EXPECT_EQ(count(StreamResult::refused), 1u);
  EXPECT_TRUE(hasLine("refused by=gateway why=turned_away"));
  EXPECT_TRUE(handler->isIdle());
}

// A host whose accept queue is full: connects get no response.
struct UnresponsiveHost {
  explicit UnresponsiveHost(asio::io_context& io) : acceptor(io) {
    acceptor.open(tcp::v4());
    acceptor.bind(loopback());
    acceptor.listen(0);
    for (int i = 0; i < 8; ++i) {
      fill.emplace_back(io);
      fill.back().open(tcp::v4());
      fill.back().non_blocking(true);
      const tcp::endpoint to = acceptor.local_endpoint();
      // Not the connect of Asio, which blocks even on a non-blocking socket.
      ::connect(fill.back().native_handle(), to.data(), static_cast<socklen_t>(to.size()));
    }
  }
  tcp::acceptor acceptor;
  std::vector<tcp::socket> fill;
};

TEST_F(StreamTest, ConnectInProgressMovesToAnotherHostWhenItsHostDrains) {
  UnresponsiveHost unresponsive(io);
  addHost(echo);
  json list = json::array();
  list.push_back(hostJson("deaf", unresponsive.acceptor.local_endpoint()));
  startGateway([&](json& config) { config["known"]["endpoints"] = list; });
  const auto c = open();
  c->write("x");
  ASSERT_TRUE(until([&] { return !handler->isIdle(); }));
  runFor(milliseconds(50));
  EXPECT_FALSE(c->over());
  list[0]["status"] = "leaving";
  list.push_back(entry(0));
  publishHosts(list);
  ASSERT_TRUE(until([&] { return c->receivedBytes == "x"; }));
  EXPECT_EQ(count(StreamResult::failed), 0u);
}

TEST_F(StreamTest, ClientResetBeforeEstablishmentEndsTheStreamAsLeft) {
  UnresponsiveHost unresponsive(io);
  addHost();
  json list = json::array();
  list.push_back(hostJson("deaf", unresponsive.acceptor.local_endpoint()));
  startGateway([&](json& config) { config["known"]["endpoints"] = list; });
  const auto c = open();
  c->write("x");
  ASSERT_TRUE(until([&] { return !handler->isIdle(); }));
  c->abort();
  ASSERT_TRUE(until([&] { return handler->isIdle(); }));
  EXPECT_TRUE(hasLine("failed by=client why=left"));
  EXPECT_EQ(count(StreamResult::failed), 1u);
}

TEST_F(StreamTest, UnansweredConnectIsRefusedAfterTheConnectTimeout) {
  UnresponsiveHost unresponsive(io);
  addHost();
  json list = json::array();
  list.push_back(hostJson("deaf", unresponsive.acceptor.local_endpoint()));
  settings.listen[0].connect = milliseconds(300);
  startGateway([&](json& config) { config["known"]["endpoints"] = list; });
  const auto from = Steady::now();
  const auto c = open();
  ASSERT_TRUE(until([&] { return c->over(); }));
  EXPECT_TRUE(c->reset);
  EXPECT_LT(Steady::now() - from, seconds(5));
  EXPECT_EQ(count(StreamResult::refused), 1u);
  ASSERT_TRUE(until([&] { return handler->isIdle(); }));
}

// --- Time

TEST_F(StreamTest, IdleStreamIsClosedInOrderAndActiveStreamIsKept) {
  addHost(echo);
  settings.listen[0].flow.idle = milliseconds(400);
  startGateway();
  const auto still = open(), moving = open();
  ASSERT_TRUE(until([&] { return connections() == 2; }));
  const auto end = Steady::now() + milliseconds(1500);
  auto next = Steady::now();
  ASSERT_TRUE(until([&] {
    if (Steady::now() >= next) moving->write("."), next = Steady::now() + milliseconds(50);
    return Steady::now() >= end;
  }));
  EXPECT_TRUE(still->ended);
  EXPECT_FALSE(moving->over());
  EXPECT_TRUE(hasLine("served by=gateway why=idle"));
}

TEST_F(StreamTest, HalfClosedStreamEndsAfterTheHalfIdleTimeout) {
  addHost();
  settings.listen[0].flow.halfIdle = milliseconds(300);
  startGateway();
  const auto c = open();
  c->write("x");
  c->shutdownSend();
  ASSERT_TRUE(until([&] { return c->over(); }));
  EXPECT_TRUE(c->reset);
  EXPECT_TRUE(hasLine("failed by=gateway why=half_idle"));
}

// Slow readers of a fast host: buffers stay within the budget, the host gets backpressure, and other streams
// are not delayed.
TEST_F(StreamTest, SlowReadersDoNotDelayOtherStreams) {
  settings.most = 20;
  settings.bufferBytes = 256 * 1024;
  addHost([](const auto& w) {
    w->onBytes = [](TcpConnection& connectClient) {
      if (std::exchange(connectClient.receivedBytes, {}) == "flood")
        connectClient.write(std::string(16'000'000, 'x'));
      else connectClient.write("pong");
    };
  });
  startGateway();
  std::vector<std::shared_ptr<TcpConnection>> slow;
  for (int i = 0; i < 10; ++i) {
    slow.push_back(TcpConnection::connect(io, handler->endpoint(0)));
    slow.back()->paused = true;
    slow.back()->write("flood");
  }
  ASSERT_TRUE(until([&] { return table->buffers().held() > 0; }));
  runFor(milliseconds(200));
  const auto c = open();
  for (int i = 0; i < 20; ++i) {
    const std::size_t before = c->receivedBytes.size();
    c->write("ping");
    ASSERT_TRUE(until([&] { return c->receivedBytes.size() == before + 4; }));
  }
  EXPECT_LE(table->buffers().most(), settings.bufferBytes);
  // Backpressure: no more than the kernel buffers hold.
  EXPECT_LT(slow[0]->count, 1'000'000u);
  EXPECT_EQ(table->size(), 11u);
}

TEST_F(StreamTest, StalledReaderIsDisconnected) {
  settings.listen[0].flow.stalled = milliseconds(500);
  addHost([](const auto& w) { w->write(std::string(16'000'000, 'x')); });
  startGateway();
  const auto c = TcpConnection::connect(io, handler->endpoint(0));
  c->paused = true;
  ASSERT_TRUE(until([&] { return table->statistics().ended(EndedBy::client, EndReason::stalled) == 1; }));
  EXPECT_EQ(table->buffers().held(), 0u);
  EXPECT_TRUE(hasLine("failed by=client why=stalled"));
}

// --- Drains

TEST_F(StreamTest, DrainingHostGetsNoNewStreamsAndItsStreamsCloseOverTheInterval) {
  settings.drainInterval = milliseconds(1000);
  settings.maxDrainRate = 0;
  addHost(), addHost();
  startGateway();
  std::vector<std::shared_ptr<TcpConnection>> clients;
  for (int i = 0; i < 60; ++i) clients.push_back(open());
  ASSERT_TRUE(until([&] { return connections() == 60; }));
  const std::size_t drainedCount = hostServers[0]->connections.size();
  ASSERT_GT(drainedCount, 20u);
  const auto from = Steady::now();
  publishHosts(json::array({entry(0, "leaving")}));
  std::vector<double> times;
  ASSERT_TRUE(until([&] {
    while (times.size() < drainedCount - hostServers[0]->open())
      times.push_back(std::chrono::duration<double>(Steady::now() - from).count());
    return hostServers[0]->open() == 0;
  }));
  // Closes are spread: neither all at the start nor all at the end.
  EXPECT_GT(times[drainedCount * 3 / 4] - times[drainedCount / 4], 0.25);
  EXPECT_EQ(table->statistics().ended(EndedBy::gateway, EndReason::drain), drainedCount);
  EXPECT_EQ(hostServers[1]->open(), 60 - drainedCount);  // streams of the other host stay
  for (int i = 0; i < 20; ++i) clients.push_back(open());
  ASSERT_TRUE(until([&] { return connections() == 80; }));
  EXPECT_EQ(hostServers[0]->connections.size(), drainedCount);
}

TEST_F(StreamTest, ReactivatedHostKeepsItsRemainingStreams) {
  settings.drainInterval = seconds(600);
  settings.maxDrainRate = 0;
  addHost();
  startGateway();
  const auto c = open();
  ASSERT_TRUE(until([&] { return connections() == 1; }));
  publishHosts(json::array({entry(0, "leaving")}));
  EXPECT_TRUE(table->drains().size() == 1);
  publishHosts(json::array({entry(0, "active")}));
  EXPECT_EQ(table->drains().size(), 0u);
  EXPECT_FALSE(c->over());
}

// A new host at the address of a removed one: only streams of the removed host are drained.
TEST_F(StreamTest, ReplacementAtTheSameAddressKeepsItsStreamsWhenTheOldHostDrains) {
  settings.drainInterval = milliseconds(100);
  addHost(echo);
  startGateway();
  const auto previous = open();
  ASSERT_TRUE(until([&] { return connections() == 1; }));
  names = {"w-new"};
  publishHosts(json::array({entry(0)}), true);
  const auto fresh = open();
  fresh->write("x");
  ASSERT_TRUE(until([&] { return previous->over() && fresh->receivedBytes == "x"; }));
  runFor(milliseconds(200));
  EXPECT_FALSE(fresh->over());
  EXPECT_EQ(table->size(), 1u);
  EXPECT_TRUE(hasLine("by=gateway why=drain"));
}

// The gateway drains with open streams: all are closed before the drain completes.
TEST_F(StreamTest, GatewayDrainClosesAllStreamsBeforeItCompletes) {
  addHost();
  settings.drainInterval = milliseconds(500);
  startGateway();
  std::vector<std::shared_ptr<TcpConnection>> clients;
  for (int i = 0; i < 40; ++i) clients.push_back(open());
  ASSERT_TRUE(until([&] { return connections() == 40; }));
  bool done = false;
  const tcp::endpoint at = handler->endpoint(0);
  gateway->drain([&] { done = true; });
  const auto late = TcpConnection::connect(io, at);
  EXPECT_TRUE(late->reset);  // no new connections
  ASSERT_TRUE(until([&] { return done; }));
  EXPECT_TRUE(table->idle());
  ASSERT_TRUE(until(
      [&] { return std::all_of(clients.begin(), clients.end(), [](const auto& c) { return c->over(); }); }));
  EXPECT_EQ(table->statistics().ended(EndedBy::gateway, EndReason::drain), 40u);
}

// --- Bounds

// The stream limit is reached during a reconnect surge; plain requests are still served.
TEST_F(StreamTest, StreamsOverTheLimitAreRefusedAndRequestsStillServed) {
  settings.descriptorShare = 0.2;
  addHost();
  Server& plain = host([](const auto& peer, const Received&) { peer->reply(200, "ok"); });
  startGateway([&](json& config) {
    config["limits"]["sockets"] = 200;
    config["known"]["endpoints"].push_back(hostJson("plain", plain.endpoint()));
  });
  const std::size_t most = table->most();
  EXPECT_EQ(most, 12u);
  std::vector<std::shared_ptr<TcpConnection>> clients;
  for (std::size_t i = 0; i < 4 * most; ++i) clients.push_back(open());
  ASSERT_TRUE(until([&] { return count(StreamResult::refused) >= 3 * most; }));
  EXPECT_LE(table->size(), most);
  EXPECT_EQ(table->statistics().taken(), 4 * most);
  for (int i = 0; i < 10; ++i) {
    const auto c = client();
    c->sendRequest("GET", "/read", 2500);
    ASSERT_TRUE(until([&] { return c->answers.size() == 1; }));
  }
}

// After a deployment 2,000 clients reconnect within one second: no host exceeds its rate, and placement stays
// even.
TEST_F(StreamTest, ReconnectSurgeIsSpreadOverHostsWithinTheirRates) {
  settings.most = 2000;
  settings.hostStreamRateLimit = 40;
  settings.descriptorShare = 0.9;
  settings.log = LogEnds::none;
  for (int i = 0; i < 4; ++i) addHost();
  startGateway([&](json& config) { config["limits"]["sockets"] = 8192; });
  const auto from = Steady::now();
  std::vector<std::shared_ptr<TcpConnection>> clients;
  std::size_t asked = 0;
  // 2,000 over a second, in batches.
  while (asked < 2000) {
    const auto due =
        static_cast<std::size_t>(std::chrono::duration<double>(Steady::now() - from).count() * 2000);
    for (; asked < std::min<std::size_t>(due, 2000); ++asked) {
      const auto c = open();
      if (!c->reset) clients.push_back(c);
    }
    io.restart();
    io.poll();
  }
  ASSERT_TRUE(until([&] {
    return handler->endpoint(0).port() && table->statistics().taken() == 2000 &&
           table->size() + count(StreamResult::refused) == 2000;
  }));
  const double took = std::chrono::duration<double>(Steady::now() - from).count();
  std::size_t least = 2000, most = 0;
  for (const auto& w : hostServers) {
    least = std::min(least, w->connections.size());
    most = std::max(most, w->connections.size());
    EXPECT_LE(static_cast<double>(w->connections.size()), 40 * (took + 0.25) + 2);
  }
  EXPECT_GE(least, 20u);
  EXPECT_LE(most - least, 12u);
  EXPECT_GT(count(StreamResult::refused), 1000u);
  EXPECT_EQ(count(StreamResult::failed), 0u);
}

TEST_F(StreamTest, ProxyHeaderSetsTheClientAddressAndIsSentToTheHost) {
  settings.listen[0].proxyIn = settings.listen[0].proxyOut = true;
  addHost();
  startGateway();
  ProxyHeader h;
  h.ends = ProxyHeader::Ends{tcp::endpoint(asio::ip::make_address("192.0.2.7"), 4711),
                             tcp::endpoint(asio::ip::make_address("192.0.2.1"), 9000)};
  const std::string header = writeProxyHeader(h);
  const auto c = open();
  for (const char one : header) {  // one byte at a time
    c->write(std::string(1, one));
    runFor(milliseconds(1));
  }
  c->write("payload");
  ASSERT_TRUE(until([&] {
    return connections() == 1 && hostServers[0]->connections[0]->receivedBytes.size() >= header.size() + 7;
  }));
  EXPECT_EQ(hostServers[0]->connections[0]->receivedBytes,
            header + "payload");  // sent to the host unchanged
  const auto together = open();
  together->write(header + "at once");
  ASSERT_TRUE(until([&] {
    return connections() == 2 && hostServers[0]->connections[1]->receivedBytes == header + "at once";
  }));
  c->abort();
  ASSERT_TRUE(until([&] { return hasLine("from=192.0.2.7:4711"); }));
}

TEST_F(StreamTest, ConnectionWithoutProxyHeaderIsReset) {
  settings.listen[0].proxyIn = true;
  settings.listen[0].connect = milliseconds(300);
  addHost();
  startGateway();
  const auto wrong = open(), silent = open();
  wrong->write("GET / HTTP/1.1\r\n\r\n");
  ASSERT_TRUE(until([&] { return wrong->over() && silent->over(); }));
  EXPECT_TRUE(wrong->reset);
  EXPECT_EQ(connections(), 0u);
  EXPECT_EQ(table->statistics().ended(EndedBy::client, EndReason::header), 2u);
  EXPECT_TRUE(handler->isIdle());
}

TEST_F(StreamTest, UnknownClassIsAnError) {
  addHost();
  settings.listen[0].className = "boook";
  try {
    startGateway();
    FAIL() << "no error";
  } catch (const std::runtime_error& error) {
    EXPECT_STREQ(error.what(), "streams.listen 'scan': the platform's settings have no class 'boook'");
  }
}

// Both sides close at the same time: one ending per stream, and no descriptor leaks.
TEST_F(StreamTest, SimultaneousClosesEndAStreamOnce) {
  addHost();
  startGateway();
  for (int i = 0; i < 50; ++i) {
    const auto c = open();
    ASSERT_TRUE(until([&] { return connections() == static_cast<std::size_t>(i + 1); }));
    const auto w = hostServers[0]->connections.back();
    switch (i % 4) {
      case 0: c->shutdownSend(), w->shutdownSend(); break;
      case 1: c->abort(), w->shutdownSend(); break;
      case 2: c->shutdownSend(), w->abort(); break;
      default: c->abort(), w->abort(); break;
    }
    ASSERT_TRUE(until([&] { return table->idle(); })) << i;
  }
  EXPECT_EQ(count(StreamResult::served) + count(StreamResult::failed), 50u);
  EXPECT_EQ(lines.size(), 50u);
}

}  // namespace
}  // namespace finchstile::stream
