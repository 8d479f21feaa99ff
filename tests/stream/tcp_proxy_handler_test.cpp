// Opaque streams through a gateway on loopback, against workers of the test's own: what passes, how each
// ends, drains, storms, bounds.
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
  std::vector<std::unique_ptr<TcpServer>> workers;
  std::unique_ptr<StreamTable> table;
  std::unique_ptr<TcpProxyHandler> front;
  StreamSettings settings;
  std::vector<std::string> lines;
  std::vector<std::string> names;  // of the workers in the list, if not s-0, s-1, ...
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

  TcpServer& worker(std::function<void(const std::shared_ptr<TcpConnection>&)> on = {}) {
    return *workers.emplace_back(std::make_unique<TcpServer>(io, std::move(on)));
  }
  json entry(std::size_t i, const std::string& status = "active", std::int64_t since = 0) const {
    return hostJson(names.size() > i ? names[i] : "w-" + std::to_string(i), workers[i]->endpoint(), status,
                    since);
  }
  json workersListed() const {
    json list = json::array();
    for (std::size_t i = 0; i < workers.size(); ++i) list.push_back(entry(i));
    return list;
  }
  void begin(const std::function<void(json&)>& change = [](json&) {}) {
    json config = configJson(discovery.endpoint(), workersListed());
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
    front = std::make_unique<TcpProxyHandler>(io, clock, settings, read.settings,
                                              gateway->protocolHandlerCallbacks(), *table);
    gateway->attach(*front);
    front->start();
    gateway->start();
    ASSERT_TRUE(until([&] { return !polls.empty(); }));
  }
  void tell(const json& list, bool whole = false) {
    ASSERT_TRUE(until([&] { return !polls.empty(); }));
    const auto call = polls.back();
    polls.clear();
    call->reply(200, listJson(++listIndex, whole, list).dump());
    ASSERT_TRUE(until([&] { return !polls.empty(); }));  // it has been taken in
  }
  std::shared_ptr<TcpConnection> open() { return TcpConnection::connect(io, front->endpoint(0)); }
  std::size_t count(Became b) const { return table->account().ended(b); }
  std::size_t connections() const {
    std::size_t n = 0;
    for (const auto& w : workers) n += w->connections.size();
    return n;
  }
  bool hasLine(const std::string& part) const {
    return std::any_of(lines.begin(), lines.end(),
                       [&](const std::string& l) { return l.find(part) != std::string::npos; });
  }
  void play(Duration time) {
    const auto end = Steady::now() + time;
    until([&] { return Steady::now() >= end; });
  }
};

TEST_F(StreamTest, BytesPassBothWaysUnchanged) {
  worker(echo);
  begin();
  const auto c = open();
  const std::string bytes = pattern(3'000'000);
  c->write(bytes);
  ASSERT_TRUE(until([&] { return c->receivedBytes.size() >= bytes.size(); }));
  EXPECT_TRUE(c->receivedBytes == bytes);
  EXPECT_EQ(table->size(), 1u);
  EXPECT_EQ(workers[0]->connections.size(), 1u);
  c->shutdownSend();
  ASSERT_TRUE(until([&] { return workers[0]->connections[0]->ended; }));
  EXPECT_FALSE(c->over());  // the other direction goes on
  workers[0]->connections[0]->shutdownSend();
  ASSERT_TRUE(until([&] { return c->ended && table->idle(); }));
  EXPECT_EQ(count(Became::served), 1u);
  EXPECT_TRUE(hasLine("stream scan served by=client why=finished")) << lines.size();
  EXPECT_TRUE(hasLine("host=w-0"));
  EXPECT_TRUE(hasLine("in=3000000 out=3000000"));
  EXPECT_EQ(table->buffers().held(), 0u);
}

// Hard case: the client closes its sending side and still waits for the reply.
TEST_F(StreamTest, EveryByteAfterAHalfCloseArrives) {
  const std::string reply = pattern(5'000'000);
  worker();
  begin();
  const auto c = open();
  c->write("scan 17");
  c->shutdownSend();
  ASSERT_TRUE(until([&] { return connections() == 1 && workers[0]->connections[0]->ended; }));
  EXPECT_EQ(workers[0]->connections[0]->receivedBytes, "scan 17");
  workers[0]->connections[0]->write(reply);
  workers[0]->connections[0]->shutdownSend();
  ASSERT_TRUE(until([&] { return c->over(); }));
  EXPECT_TRUE(c->ended);
  EXPECT_TRUE(c->receivedBytes == reply);
  ASSERT_TRUE(until([&] { return table->idle(); }));
  EXPECT_EQ(count(Became::served), 1u);
}

TEST_F(StreamTest, TheWorkersHalfClosePassesToo) {
  worker([](const auto& w) {
    w->write("hello");
    w->shutdownSend();
  });
  begin();
  const auto c = open();
  ASSERT_TRUE(until([&] { return c->ended; }));
  EXPECT_EQ(c->receivedBytes, "hello");
  const std::string late = pattern(2'000'000);
  c->write(late);
  c->shutdownSend();
  ASSERT_TRUE(until([&] { return workers[0]->connections[0]->ended; }));
  EXPECT_TRUE(workers[0]->connections[0]->receivedBytes == late);
  ASSERT_TRUE(until([&] { return table->idle(); }));
  EXPECT_TRUE(hasLine("served by=host why=finished"));
}

// Hard case: the worker resets mid-stream.
TEST_F(StreamTest, AResetPassesAsAReset) {
  worker();
  begin();
  const auto c = open();
  c->write("half of");
  ASSERT_TRUE(
      until([&] { return connections() == 1 && workers[0]->connections[0]->receivedBytes == "half of"; }));
  workers[0]->connections[0]->write("an answer");
  ASSERT_TRUE(until([&] { return c->receivedBytes == "an answer"; }));
  workers[0]->connections[0]->abort();
  ASSERT_TRUE(until([&] { return c->over(); }));
  EXPECT_TRUE(c->reset);  // and not an end in order
  EXPECT_EQ(count(Became::failed), 1u);
  EXPECT_TRUE(hasLine("failed by=host why=reset"));

  const auto d = open();
  ASSERT_TRUE(until([&] { return connections() == 2; }));
  d->write("x");
  ASSERT_TRUE(until([&] { return workers[0]->connections[1]->receivedBytes == "x"; }));
  d->abort();
  ASSERT_TRUE(until([&] { return workers[0]->connections[1]->over(); }));
  EXPECT_TRUE(workers[0]->connections[1]->reset);
  EXPECT_TRUE(hasLine("failed by=client why=reset"));
}

// A side that has sent its FIN is not read any more: its reset shows all the same, and at once.
TEST_F(StreamTest, AResetBehindAHalfCloseIsSeen) {
  worker();
  begin();
  const auto c = open();
  c->write("x");
  c->shutdownSend();
  ASSERT_TRUE(until([&] { return connections() == 1 && workers[0]->connections[0]->ended; }));
  c->abort();
  ASSERT_TRUE(until([&] { return workers[0]->connections[0]->reset || table->idle(); }));
  ASSERT_TRUE(until([&] { return table->idle(); }));
  EXPECT_TRUE(hasLine("failed by=client why=reset"));
}

TEST_F(StreamTest, WhatCameAheadOfAResetIsPassedOn) {
  worker();
  begin();
  const auto c = open();
  ASSERT_TRUE(until([&] { return connections() == 1; }));
  const auto w = workers[0]->connections[0];
  error_code ignored;
  asio::write(w->socket, asio::buffer(pattern(60'000)), ignored);
  w->abort();
  ASSERT_TRUE(until([&] { return c->over(); }));
  EXPECT_GT(c->receivedBytes.size(), 0u);
}

TEST_F(StreamTest, AHostThatCantBeReachedIsPassedOver) {
  worker();
  worker(echo);
  workers[0]->stop();
  begin();
  for (int i = 0; i < 8; ++i) {
    const auto c = open();
    c->write("x");
    ASSERT_TRUE(until([&] { return c->receivedBytes == "x"; }));
  }
  EXPECT_EQ(workers[1]->connections.size(), 8u);
  EXPECT_EQ(count(Became::failed), 0u);
}

// Refused: nothing was sent to a host, and the client can tell that from an answer of no bytes.
TEST_F(StreamTest, WhereNoHostCanBeReachedItIsRefusedByAReset) {
  worker();
  workers[0]->stop();
  begin();
  const auto c = open();
  ASSERT_TRUE(until([&] { return c->over(); }));
  EXPECT_TRUE(c->reset);
  EXPECT_EQ(count(Became::refused), 1u);
  EXPECT_TRUE(hasLine("refused by=gateway why=turned_away"));
  EXPECT_TRUE(front->isIdle());
}

// A worker whose machine takes no connection: its queue is full, and nothing comes back.
struct Deaf {
  explicit Deaf(asio::io_context& io) : acceptor(io) {
    acceptor.open(tcp::v4());
    acceptor.bind(loopback());
    acceptor.listen(0);
    for (int i = 0; i < 8; ++i) {
      fill.emplace_back(io);
      fill.back().open(tcp::v4());
      fill.back().non_blocking(true);
      const tcp::endpoint to = acceptor.local_endpoint();
      // Not Asio's own: that one waits, also for a socket that does not block.
      ::connect(fill.back().native_handle(), to.data(), static_cast<socklen_t>(to.size()));
    }
  }
  tcp::acceptor acceptor;
  std::vector<tcp::socket> fill;
};

TEST_F(StreamTest, ADialToAHostThatBeginsToDrainGoesElsewhere) {
  Deaf deaf(io);
  worker(echo);
  json list = json::array();
  list.push_back(hostJson("deaf", deaf.acceptor.local_endpoint()));
  begin([&](json& config) { config["known"]["endpoints"] = list; });
  const auto c = open();
  c->write("x");
  ASSERT_TRUE(until([&] { return !front->isIdle(); }));
  play(milliseconds(50));
  EXPECT_FALSE(c->over());
  list[0]["status"] = "leaving";
  list.push_back(entry(0));
  tell(list);
  ASSERT_TRUE(until([&] { return c->receivedBytes == "x"; }));
  EXPECT_EQ(count(Became::failed), 0u);
}

TEST_F(StreamTest, AClientThatLeavesBeforeItHasBegunIsLetGo) {
  Deaf deaf(io);
  worker();
  json list = json::array();
  list.push_back(hostJson("deaf", deaf.acceptor.local_endpoint()));
  begin([&](json& config) { config["known"]["endpoints"] = list; });
  const auto c = open();
  c->write("x");
  ASSERT_TRUE(until([&] { return !front->isIdle(); }));
  c->abort();
  ASSERT_TRUE(until([&] { return front->isIdle(); }));
  EXPECT_TRUE(hasLine("failed by=client why=left"));
  EXPECT_EQ(count(Became::failed), 1u);
}

TEST_F(StreamTest, ADialThatIsNotAnsweredEndsInItsTime) {
  Deaf deaf(io);
  worker();
  json list = json::array();
  list.push_back(hostJson("deaf", deaf.acceptor.local_endpoint()));
  settings.listen[0].connect = milliseconds(300);
  begin([&](json& config) { config["known"]["endpoints"] = list; });
  const auto from = Steady::now();
  const auto c = open();
  ASSERT_TRUE(until([&] { return c->over(); }));
  EXPECT_TRUE(c->reset);
  EXPECT_LT(Steady::now() - from, seconds(5));
  EXPECT_EQ(count(Became::refused), 1u);
  ASSERT_TRUE(until([&] { return front->isIdle(); }));
}

// --- Time

TEST_F(StreamTest, AStreamAtRestIsEndedInOrderAndOneThatMovesIsNot) {
  worker(echo);
  settings.listen[0].flow.idle = milliseconds(400);
  begin();
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

TEST_F(StreamTest, AHalfEndedStreamWaitsLessLong) {
  worker();
  settings.listen[0].flow.halfIdle = milliseconds(300);
  begin();
  const auto c = open();
  c->write("x");
  c->shutdownSend();
  ASSERT_TRUE(until([&] { return c->over(); }));
  EXPECT_TRUE(c->reset);
  EXPECT_TRUE(hasLine("failed by=gateway why=half_idle"));
}

// Hard case: a slow reader behind a fast worker. Memory stays in its bound, the worker is held back, and
// nobody else is.
TEST_F(StreamTest, ASlowReaderHoldsUpNobodyElse) {
  settings.most = 20;
  settings.bufferBytes = 256 * 1024;
  worker([](const auto& w) {
    w->onBytes = [](TcpConnection& wire) {
      if (std::exchange(wire.receivedBytes, {}) == "flood") wire.write(std::string(16'000'000, 'x'));
      else wire.write("pong");
    };
  });
  begin();
  std::vector<std::shared_ptr<TcpConnection>> slow;
  for (int i = 0; i < 10; ++i) {
    slow.push_back(TcpConnection::connect(io, front->endpoint(0)));
    slow.back()->paused = true;
    slow.back()->write("flood");
  }
  ASSERT_TRUE(until([&] { return table->buffers().held() > 0; }));
  play(milliseconds(200));
  const auto c = open();
  for (int i = 0; i < 20; ++i) {
    const std::size_t before = c->receivedBytes.size();
    c->write("ping");
    ASSERT_TRUE(until([&] { return c->receivedBytes.size() == before + 4; }));
  }
  EXPECT_LE(table->buffers().most(), settings.bufferBytes);
  // Held back: what the kernels hold and no more.
  EXPECT_LT(slow[0]->count, 1'000'000u);
  EXPECT_EQ(table->size(), 11u);
}

TEST_F(StreamTest, AReaderThatTakesNothingIsEnded) {
  settings.listen[0].flow.stalled = milliseconds(500);
  worker([](const auto& w) { w->write(std::string(16'000'000, 'x')); });
  begin();
  const auto c = TcpConnection::connect(io, front->endpoint(0));
  c->paused = true;
  ASSERT_TRUE(until([&] { return table->account().ended(Ender::client, Why::stalled) == 1; }));
  EXPECT_EQ(table->buffers().held(), 0u);
  EXPECT_TRUE(hasLine("failed by=client why=stalled"));
}

// --- Drains

TEST_F(StreamTest, ADrainingWorkerGetsNothingNewAndItsStreamsAreSpreadOverTheTime) {
  settings.drainWithin = milliseconds(1000);
  settings.drainRate = 0;
  worker(), worker();
  begin();
  std::vector<std::shared_ptr<TcpConnection>> clients;
  for (int i = 0; i < 60; ++i) clients.push_back(open());
  ASSERT_TRUE(until([&] { return connections() == 60; }));
  const std::size_t there = workers[0]->connections.size();
  ASSERT_GT(there, 20u);
  const auto from = Steady::now();
  tell(json::array({entry(0, "leaving")}));
  std::vector<double> times;
  ASSERT_TRUE(until([&] {
    while (times.size() < there - workers[0]->open())
      times.push_back(std::chrono::duration<double>(Steady::now() - from).count());
    return workers[0]->open() == 0;
  }));
  // Neither at once nor at the end.
  EXPECT_GT(times[there * 3 / 4] - times[there / 4], 0.25);
  EXPECT_EQ(table->account().ended(Ender::gateway, Why::drain), there);
  EXPECT_EQ(workers[1]->open(), 60 - there);  // the other's stay
  for (int i = 0; i < 20; ++i) clients.push_back(open());
  ASSERT_TRUE(until([&] { return connections() == 80; }));
  EXPECT_EQ(workers[0]->connections.size(), there);
}

TEST_F(StreamTest, AWorkerPutBackKeepsTheStreamsThatAreLeft) {
  settings.drainWithin = seconds(600);
  settings.drainRate = 0;
  worker();
  begin();
  const auto c = open();
  ASSERT_TRUE(until([&] { return connections() == 1; }));
  tell(json::array({entry(0, "leaving")}));
  EXPECT_TRUE(table->drains().size() == 1);
  tell(json::array({entry(0, "active")}));
  EXPECT_EQ(table->drains().size(), 0u);
  EXPECT_FALSE(c->over());
}

// Hard case: a worker replaced at the same address. The streams of the one that went are its own.
TEST_F(StreamTest, AWorkerReplacedAtTheSameAddressIsAnotherOne) {
  settings.drainWithin = milliseconds(100);
  worker(echo);
  begin();
  const auto old = open();
  ASSERT_TRUE(until([&] { return connections() == 1; }));
  names = {"w-new"};
  tell(json::array({entry(0)}), true);
  const auto fresh = open();
  fresh->write("x");
  ASSERT_TRUE(until([&] { return old->over() && fresh->receivedBytes == "x"; }));
  play(milliseconds(200));
  EXPECT_FALSE(fresh->over());
  EXPECT_EQ(table->size(), 1u);
  EXPECT_TRUE(hasLine("by=gateway why=drain"));
}

// Hard case: a gateway drained with streams open. All are ended before its own end.
TEST_F(StreamTest, ADrainedGatewayEndsAllOfItsStreamsFirst) {
  worker();
  settings.drainWithin = milliseconds(500);
  begin();
  std::vector<std::shared_ptr<TcpConnection>> clients;
  for (int i = 0; i < 40; ++i) clients.push_back(open());
  ASSERT_TRUE(until([&] { return connections() == 40; }));
  bool done = false;
  const tcp::endpoint at = front->endpoint(0);
  gateway->drain([&] { done = true; });
  const auto late = TcpConnection::connect(io, at);
  EXPECT_TRUE(late->reset);  // nothing new
  ASSERT_TRUE(until([&] { return done; }));
  EXPECT_TRUE(table->idle());
  ASSERT_TRUE(until(
      [&] { return std::all_of(clients.begin(), clients.end(), [](const auto& c) { return c->over(); }); }));
  EXPECT_EQ(table->account().ended(Ender::gateway, Why::drain), 40u);
}

// --- Bounds

// Hard case: the descriptor limit reached during a storm, with plain requests still served.
TEST_F(StreamTest, WhenAllPlacesAreTakenOthersAreRefusedAndRequestsServed) {
  settings.descriptorShare = 0.2;
  worker();
  Server& plain = host([](const auto& peer, const Received&) { peer->reply(200, "ok"); });
  begin([&](json& config) {
    config["limits"]["sockets"] = 200;
    config["known"]["endpoints"].push_back(hostJson("plain", plain.endpoint()));
  });
  const std::size_t most = table->most();
  EXPECT_EQ(most, 12u);
  std::vector<std::shared_ptr<TcpConnection>> clients;
  for (std::size_t i = 0; i < 4 * most; ++i) clients.push_back(open());
  ASSERT_TRUE(until([&] { return count(Became::refused) >= 3 * most; }));
  EXPECT_LE(table->size(), most);
  EXPECT_EQ(table->account().taken(), 4 * most);
  for (int i = 0; i < 10; ++i) {
    const auto c = client();
    c->sendRequest("GET", "/read", 2500);
    ASSERT_TRUE(until([&] { return c->answers.size() == 1; }));
  }
}

// Hard case: 2,000 reconnect in one second after a deploy. Workers are counted over time; no one is over its
// rate, plain requests are served meanwhile.
TEST_F(StreamTest, AStormAfterADeployIsSpreadOverTheWorkers) {
  settings.most = 2000;
  settings.hostStreamRateLimit = 40;
  settings.descriptorShare = 0.9;
  settings.log = LogEnds::none;
  for (int i = 0; i < 4; ++i) worker();
  begin([&](json& config) { config["limits"]["sockets"] = 8192; });
  const auto from = Steady::now();
  std::vector<std::shared_ptr<TcpConnection>> clients;
  std::size_t asked = 0;
  // As they come: 2,000 over a second, in bunches.
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
    return front->endpoint(0).port() && table->account().taken() == 2000 &&
           table->size() + count(Became::refused) == 2000;
  }));
  const double took = std::chrono::duration<double>(Steady::now() - from).count();
  std::size_t least = 2000, most = 0;
  for (const auto& w : workers) {
    least = std::min(least, w->connections.size());
    most = std::max(most, w->connections.size());
    EXPECT_LE(static_cast<double>(w->connections.size()), 40 * (took + 0.25) + 2);
  }
  EXPECT_GE(least, 20u);
  EXPECT_LE(most - least, 12u);
  EXPECT_GT(count(Became::refused), 1000u);
  EXPECT_EQ(count(Became::failed), 0u);
}

TEST_F(StreamTest, AClientBehindAProxyIsKnownByItsOwnAddress) {
  settings.listen[0].proxyIn = settings.listen[0].proxyOut = true;
  worker();
  begin();
  ProxyHeader h;
  h.ends = ProxyHeader::Ends{tcp::endpoint(asio::ip::make_address("192.0.2.7"), 4711),
                             tcp::endpoint(asio::ip::make_address("192.0.2.1"), 9000)};
  const std::string header = writeProxyHeader(h);
  const auto c = open();
  for (const char one : header) {  // one byte at a time
    c->write(std::string(1, one));
    play(milliseconds(1));
  }
  c->write("payload");
  ASSERT_TRUE(until([&] {
    return connections() == 1 && workers[0]->connections[0]->receivedBytes.size() >= header.size() + 7;
  }));
  EXPECT_EQ(workers[0]->connections[0]->receivedBytes,
            header + "payload");  // passed on to the host as it came
  const auto together = open();
  together->write(header + "at once");
  ASSERT_TRUE(until(
      [&] { return connections() == 2 && workers[0]->connections[1]->receivedBytes == header + "at once"; }));
  c->abort();
  ASSERT_TRUE(until([&] { return hasLine("from=192.0.2.7:4711"); }));
}

TEST_F(StreamTest, OneWithoutItsHeaderIsTurnedDown) {
  settings.listen[0].proxyIn = true;
  settings.listen[0].connect = milliseconds(300);
  worker();
  begin();
  const auto wrong = open(), silent = open();
  wrong->write("GET / HTTP/1.1\r\n\r\n");
  ASSERT_TRUE(until([&] { return wrong->over() && silent->over(); }));
  EXPECT_TRUE(wrong->reset);
  EXPECT_EQ(connections(), 0u);
  EXPECT_EQ(table->account().ended(Ender::client, Why::header), 2u);
  EXPECT_TRUE(front->isIdle());
}

TEST_F(StreamTest, AClassThatThePlatformDoesNotNameIsAnError) {
  worker();
  settings.listen[0].className = "boook";
  try {
    begin();
    FAIL() << "no error";
  } catch (const std::runtime_error& error) {
    EXPECT_STREQ(error.what(), "streams.listen 'scan': the platform's settings have no class 'boook'");
  }
}

// Closes from both sides at once: one ending each, and no descriptor left.
TEST_F(StreamTest, ClosesThatCrossEndItOnce) {
  worker();
  begin();
  for (int i = 0; i < 50; ++i) {
    const auto c = open();
    ASSERT_TRUE(until([&] { return connections() == static_cast<std::size_t>(i + 1); }));
    const auto w = workers[0]->connections.back();
    switch (i % 4) {
      case 0: c->shutdownSend(), w->shutdownSend(); break;
      case 1: c->abort(), w->shutdownSend(); break;
      case 2: c->shutdownSend(), w->abort(); break;
      default: c->abort(), w->abort(); break;
    }
    ASSERT_TRUE(until([&] { return table->idle(); })) << i;
  }
  EXPECT_EQ(count(Became::served) + count(Became::failed), 50u);
  EXPECT_EQ(lines.size(), 50u);
}

}  // namespace
}  // namespace finchstile::stream
