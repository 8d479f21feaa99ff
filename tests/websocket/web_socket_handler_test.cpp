// WebSocket through a gateway on loopback: handshake, frames, close handshakes, drains, reconnect surges.
#include "websocket/web_socket_handler.hpp"

#include <charconv>

#include "stream/tcp_proxy_handler.hpp"
#include "support/gateway_fixture.hpp"
#include "support/wires.hpp"
#include "websocket/conformance.hpp"

namespace finchstile::websocket {
namespace {

using namespace finchstile::testing;
using namespace finchstile::stream;
using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::bytesOf;
using testing::code;
using Steady = std::chrono::steady_clock;

const std::string kClientKey = "dGhlIHNhbXBsZSBub25jZQ==";

// 101 response of a host to the handshake `head`; `then` is sent in the same write.
std::string accepted(const std::string& head, const std::string& then = "") {
  const std::string name = "Sec-WebSocket-Key: ";
  const std::size_t at = head.find(name);
  const std::string key = at == std::string::npos ? "" : head.substr(at + name.size(), 24);
  return "HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\nConnection: "
         "Upgrade\r\nSec-WebSocket-Accept: " +
         acceptOf(key) + "\r\n\r\n" + then;
}

struct WebSocketTest : GatewayTest {
  std::vector<std::unique_ptr<TcpServer>> hostServers;
  std::vector<std::string> heads;  // handshake requests received by hosts
  std::unique_ptr<StreamTable> table;
  std::unique_ptr<TcpProxyHandler> tcp;
  std::unique_ptr<WebSocketHandler> handler;
  StreamSettings streams;
  WebSocketSettings settings;
  std::vector<std::string> lines;
  int listIndex = 1;

  WebSocketTest() {
    streams.enabled = true;
    streams.descriptorShare = 0.5;
  }
  ~WebSocketTest() override { gateway.reset(); }

  // `answer` returns the response to a handshake; bytes received after the handshake stay in `receivedBytes`.
  TcpServer& addHost(std::function<std::string(const std::string& head)> answer =
                         [](const std::string& head) { return accepted(head); }) {
    return *hostServers.emplace_back(std::make_unique<TcpServer>(io, [this, answer](const auto& w) {
      w->onBytes = [this, answer](TcpConnection& connectClient) {
        const std::size_t end = connectClient.receivedBytes.find("\r\n\r\n");
        if (end == std::string::npos) return;
        connectClient.onBytes = {};
        heads.push_back(connectClient.receivedBytes.substr(0, end + 2));
        connectClient.receivedBytes.erase(0, end + 4);
        connectClient.write(answer(heads.back()));
      };
    }));
  }
  json entry(std::size_t i, const std::string& status = "active") const {
    return hostJson("w-" + std::to_string(i), hostServers[i]->endpoint(), status);
  }
  void startGateway(const std::function<void(json&)>& change = [](json&) {}) {
    json list = json::array();
    for (std::size_t i = 0; i < hostServers.size(); ++i) list.push_back(entry(i));
    json config = configJson(discovery.endpoint(), list);
    config["limits"]["sockets"] = 1024;
    change(config);
    GatewayConfig read = readConfig(config.dump(), clock);
    read.options.reservedDescriptorFraction = streams.descriptorShare;
    read.settings.maxStreams = static_cast<std::uint32_t>(maxStreamsFor(streams, read.descriptorLimit));
    read.settings.hostStreamRate = streams.hostStreamRateLimit;
    read.settings.streamRetrySpread = streams.retryInterval;
    gateway = std::make_unique<Gateway>(io, clock, read);
    table = std::make_unique<StreamTable>(io, clock, streams, read.settings.maxStreams, 5,
                                          gateway->protocolHandlerCallbacks(),
                                          [this](std::string_view line) { lines.emplace_back(line); });
    tcp = std::make_unique<TcpProxyHandler>(io, clock, streams, read.settings,
                                            gateway->protocolHandlerCallbacks(), *table);
    handler = std::make_unique<WebSocketHandler>(
        clock, settings, "n0", [] { return 0x37fa213du; }, *table);
    gateway->attach(*tcp);
    gateway->setUpgradeHandler(*handler);
    gateway->start();
    ASSERT_TRUE(until([&] { return !polls.empty(); }));
  }
  void publishHosts(const json& list) {
    const auto pendingPoll = polls.back();
    polls.clear();
    pendingPoll->reply(200, listJson(++listIndex, false, list).dump());
    ASSERT_TRUE(until([&] { return !polls.empty(); }));
  }
  static std::string sendRequest(const std::string& more = "", const std::string& path = "/read/live") {
    return "GET " + path +
           " HTTP/1.1\r\nHost: api\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n"
           "Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: " +
           kClientKey + "\r\n" + more + "\r\n";
  }
  std::shared_ptr<TcpConnection> connectClient() { return TcpConnection::connect(io, gateway->endpoint()); }
  // Opens an established stream and removes the 101 response from `receivedBytes`.
  std::shared_ptr<TcpConnection> open() {
    const auto c = connectClient();
    c->write(sendRequest());
    EXPECT_TRUE(until([&] { return c->receivedBytes.find("\r\n\r\n") != std::string::npos || c->over(); }));
    EXPECT_EQ(statusOf(*c), 101);
    c->receivedBytes.erase(0, c->receivedBytes.find("\r\n\r\n") + 4);
    return c;
  }
  static int statusOf(const TcpConnection& w) {
    int status = 0;
    if (w.receivedBytes.size() > 12)
      std::from_chars(w.receivedBytes.data() + 9, w.receivedBytes.data() + 12, status);
    return status;
  }
  bool receivedBytes(const std::shared_ptr<TcpConnection>& w, const std::string& bytes) {
    return until([&] { return w->receivedBytes.size() >= bytes.size() || w->over(); }) &&
           w->receivedBytes == bytes;
  }
  const std::shared_ptr<TcpConnection>& last(std::size_t addHost = 0) {
    return hostServers[addHost]->connections.back();
  }
  bool hasLine(const std::string& part) const {
    return std::any_of(lines.begin(), lines.end(),
                       [&](const std::string& l) { return l.find(part) != std::string::npos; });
  }
  std::size_t count(StreamResult b) const { return table->statistics().ended(b); }
};

std::string closeFrame(bool client, unsigned number, const std::string& reason) {
  return bytesOf(client, {8, code(number, reason)});
}

TEST_F(WebSocketTest, ForwardsFramesUnchangedAndClosesInOrder) {
  addHost();
  startGateway();
  const auto c = open();
  ASSERT_EQ(heads.size(), 1u);
  EXPECT_NE(heads[0].find("GET /read/live HTTP/1.1\r\n"), std::string::npos);
  EXPECT_NE(heads[0].find("X-Correlation-Id: n0-ws-"),
            std::string::npos);  // generated by the gateway, since browsers cannot set it
  EXPECT_NE(heads[0].find("X-Time-Left-Ms: "), std::string::npos);
  const std::string up = bytesOf(true, {1, "hello"}) + bytesOf(true, {2, std::string(70'000, 'u')});
  const std::string down =
      bytesOf(false, {1, "he", false}) + bytesOf(false, {9, "p"}) + bytesOf(false, {0, "llo"});
  c->write(up);
  last()->write(down);
  EXPECT_TRUE(receivedBytes(last(), up));
  EXPECT_TRUE(receivedBytes(c, down));
  EXPECT_EQ(table->size(), 1u);
  c->receivedBytes.clear(), last()->receivedBytes.clear();
  c->write(closeFrame(true, 1000, "bye"));
  EXPECT_TRUE(receivedBytes(last(), closeFrame(true, 1000, "bye")));
  last()->write(closeFrame(false, 1000, ""));
  last()->shutdownSend();
  EXPECT_TRUE(receivedBytes(c, closeFrame(false, 1000, "")));
  ASSERT_TRUE(until([&] { return c->ended; }));
  c->shutdownSend();
  ASSERT_TRUE(until([&] { return table->idle(); }));
  EXPECT_EQ(count(StreamResult::served), 1u);
  EXPECT_TRUE(hasLine("stream websocket served by=client why=finished"));
  EXPECT_EQ(gateway->metrics().classes[0].succeeded, 1u);
}

// Frame bytes arrive in the same read as the handshake, from either side.
TEST_F(WebSocketTest, ForwardsFramesReceivedTogetherWithTheHandshake) {
  const std::string early = bytesOf(false, {1, "first"}), ahead = bytesOf(true, {1, "ahead"});
  addHost([&](const std::string& head) { return accepted(head, early + early.substr(0, 3)); });
  startGateway();
  const auto c = connectClient();
  c->write(sendRequest() + ahead + ahead.substr(0, 1));
  ASSERT_TRUE(until([&] {
    return c->receivedBytes.size() > early.size() && c->receivedBytes.find(early) != std::string::npos;
  }));
  EXPECT_EQ(statusOf(*c), 101);
  EXPECT_NE(c->receivedBytes.find("Sec-WebSocket-Accept: " + acceptOf(kClientKey) + "\r\n"),
            std::string::npos);
  c->write(ahead.substr(1));
  last()->write(early.substr(3));
  ASSERT_TRUE(until([&] { return last()->receivedBytes.size() >= 2 * ahead.size(); }));
  EXPECT_EQ(last()->receivedBytes, ahead + ahead);
  ASSERT_TRUE(until([&] { return c->receivedBytes.find(early + early) != std::string::npos; }));
}

// Returns frames of many lengths, with the sender's pings between them.
std::string burst(bool client, std::size_t frames) {
  std::string bytes;
  for (std::size_t i = 0; i < frames; ++i) {
    bytes += bytesOf(client, {1, std::string(i * 7919 % 360, 'b')});
    if (i % 3 == 0) bytes += bytesOf(client, {9, std::string(i % 126, 'p')});
  }
  return bytes;
}

// Guards against lost bytes: a relay that yields to the event loop within a frame header or a control frame
// keeps the part that it has read.
TEST_F(WebSocketTest, LosesNoBytesOfBurstsThatAreRelayedInSeveralTurns) {
  addHost();
  streams.bufferBytes = 0;  // the smallest budget
  // Few streams share that budget, so all pieces are small and a turn ends after a few kilobytes.
  startGateway([](json& config) { config["limits"]["sockets"] = 64; });
  const std::string up = burst(true, 2000), down = burst(false, 2000);
  for (int round = 0; round < 3; ++round) {
    const auto c = open();
    c->write(up);
    last()->write(down);
    EXPECT_TRUE(receivedBytes(last(), up)) << "round " << round;
    EXPECT_TRUE(receivedBytes(c, down)) << "round " << round;
  }
}

// The client sends its handshake and frames one byte at a time.
TEST_F(WebSocketTest, AcceptsHandshakeAndFramesOneByteAtATime) {
  addHost();
  startGateway();
  const auto c = connectClient();
  const std::string bytes = sendRequest() + bytesOf(true, {1, "slow"});
  for (const char one : bytes) {
    c->write(std::string(1, one));
    for (int i = 0; i < 3; ++i) io.restart(), io.poll();
  }
  EXPECT_TRUE(until([&] {
    return heads.size() == 1 && last()->receivedBytes == bytesOf(true, {1, "slow"});
  }));
}

TEST_F(WebSocketTest, RejectsInvalidHandshakesWithoutContactingAHost) {
  settings.rules.origins = {"https://yard"};
  addHost();
  startGateway();
  const auto status = [&](std::string request) {
    const auto c = connectClient();
    c->write(request);
    EXPECT_TRUE(until([&] { return c->ended; }));
    if (statusOf(*c) == 426)
      EXPECT_NE(c->receivedBytes.find("Sec-WebSocket-Version: 13\r\n"), std::string::npos);
    return statusOf(*c);
  };
  std::string previous = sendRequest("Origin: https://yard\r\n");
  previous.replace(previous.find("Version: 13"), 11, "Version: 8");
  EXPECT_EQ(status(sendRequest()), 403);
  EXPECT_EQ(status(sendRequest("Origin: https://elsewhere\r\n")), 403);
  EXPECT_EQ(status(previous), 426);
  EXPECT_EQ(status(sendRequest("Origin: https://yard\r\nContent-Length: 3\r\n") + "abc"), 400);
  EXPECT_EQ(status(sendRequest("Origin: https://yard\r\n", "/nothing")), 404);
  EXPECT_EQ(status(sendRequest("Origin: https://yard\r\n", "/book/1")),
            405);  // a class that is not retryable
  EXPECT_TRUE(heads.empty());
}

// Request filters apply to handshakes: one rejects a path and sees the headers of the 101.
TEST_F(WebSocketTest, HandshakePassesThroughRequestFilters) {
  struct RecordingFilter : RequestFilter {
    std::uint8_t phases() const override {
      return phaseBit(RequestPhase::received) | phaseBit(RequestPhase::responseHeaders) |
             phaseBit(RequestPhase::completed);
    }
    FilterDecision onRequestReceived(RequestContext& x) override {
      if (x.message->target() == "/read/closed") return {plainResponse(http::status::forbidden), false};
      return {};
    }
    void onResponseHeaders(RequestContext&, const ResponseHead& head,
                           std::vector<HeaderLine>& toClient) override {
      status = head.status;
      toClient.push_back({"X-Tag", "seen"});
    }
    void onRequestCompleted(RequestContext&, RequestResult how) override { ends.push_back(how); }
    unsigned status = 0;
    std::vector<RequestResult> ends;
  } filter;
  addHost();
  startGateway();
  gateway->attach(filter);
  const auto c = connectClient();
  c->write(sendRequest("", "/read/closed"));
  ASSERT_TRUE(until([&] { return statusOf(*c) != 0; }));
  EXPECT_EQ(statusOf(*c), 403);
  EXPECT_TRUE(heads.empty());
  EXPECT_EQ(count(StreamResult::refused), 1u);
  const auto d = connectClient();
  d->write(sendRequest());
  ASSERT_TRUE(until([&] { return statusOf(*d) == 101; }));
  EXPECT_EQ(filter.status, 101u);
  EXPECT_NE(d->receivedBytes.find("X-Tag: seen\r\n"), std::string::npos);
  EXPECT_EQ(filter.ends,
            (std::vector<RequestResult>{RequestResult::rejectedByFilter, RequestResult::served}));
  gateway.reset();  // the gateway must be destroyed before `filter`
}

// A 101 with a wrong accept value is not a response to this request; the attempt goes to another host.
TEST_F(WebSocketTest, WrongAcceptValueIsRetriedOnAnotherHost) {
  addHost([](const std::string&) {
    return "HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
           "Sec-WebSocket-Accept: AAAAAAAAAAAAAAAAAAAAAAAAAAA=\r\n\r\n";
  });
  addHost();
  startGateway();
  for (int i = 0; i < 6; ++i) {
    const auto c = open();
    EXPECT_EQ(hostServers[1]->connections.size(), static_cast<std::size_t>(i + 1));
  }
  EXPECT_GT(hostServers[0]->connections.size(), 0u);
  EXPECT_EQ(table->size(), 6u);
}

TEST_F(WebSocketTest, RefusesWith503IfAllHostsSendInvalid101) {
  addHost([](const std::string&) {
    return "HTTP/1.1 101 Switching Protocols\r\nUpgrade: h2c\r\nConnection: Upgrade\r\n\r\n";
  });
  startGateway();
  const auto c = connectClient();
  c->write(sendRequest());
  ASSERT_TRUE(until([&] { return c->receivedBytes.find("\r\n\r\n") != std::string::npos; }));
  EXPECT_EQ(statusOf(*c), 503);
  EXPECT_NE(c->receivedBytes.find("Retry-After: "), std::string::npos);
  EXPECT_EQ(count(StreamResult::refused), 1u);
}

TEST_F(WebSocketTest, Forwards4xxOfAHostButNot5xx) {
  addHost([](const std::string&) { return "HTTP/1.1 403 X\r\nContent-Length: 0\r\n\r\n"; });
  startGateway();
  const auto c = connectClient();
  c->write(sendRequest());
  ASSERT_TRUE(until([&] { return statusOf(*c) != 0; }));
  EXPECT_EQ(statusOf(*c), 403);
  EXPECT_EQ(count(StreamResult::failed), 1u);
  addHost();
  json list = json::array({entry(0, "leaving"), entry(1)});
  publishHosts(list);
  hostServers[1]->onConnection = [](const auto& w) {
    w->onBytes = [](TcpConnection& x) { x.write("HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n"); };
  };
  const auto d = connectClient();
  d->write(sendRequest());
  ASSERT_TRUE(until([&] { return statusOf(*d) != 0; }));
  EXPECT_EQ(statusOf(*d), 503);
}

// An unexpected 101 fails the attempt and closes the connection to the host.
TEST_F(WebSocketTest, Rejects101ResponseToAPlainRequest) {
  addHost([](const std::string& head) { return accepted(head); });
  startGateway();
  const auto c = client();
  c->sendRequest("GET", "/read", 2500);
  ASSERT_TRUE(until([&] { return c->answers.size() == 1; }));
  EXPECT_NE(c->answers[0].result_int(), 101u);
  EXPECT_NE(c->answers[0].result_int(), 200u);
}

// The host sends 101 and then garbage: both sides get a close frame, and no garbage is forwarded.
TEST_F(WebSocketTest, GarbageAfterThe101ClosesBothSidesAndIsNotForwarded) {
  addHost([](const std::string& head) { return accepted(head, "\xff\xff garbage"); });
  startGateway();
  const auto c = connectClient();
  c->write(sendRequest());
  ASSERT_TRUE(until([&] { return c->ended || c->reset; }));
  const std::string frames = c->receivedBytes.substr(c->receivedBytes.find("\r\n\r\n") + 4);
  EXPECT_EQ(frames, closeFrame(false, 1014, "protocol"));
  EXPECT_TRUE(hasLine("failed by=host why=protocol"));
  ASSERT_TRUE(until([&] { return last()->over(); }));
  EXPECT_EQ(last()->receivedBytes.substr(0, 2),
            std::string("\x88\x8a", 2));  // a masked Close frame with 10 payload bytes
}

TEST_F(WebSocketTest, ProtocolViolationOfClientSendsCloseToBothSides) {
  addHost();
  startGateway();
  const auto c = open();
  c->write(bytesOf(true, {1, "fine"}) + bytesOf(true, {1, "\xff"}));
  ASSERT_TRUE(until([&] { return c->receivedBytes.size() > 0; }));
  EXPECT_EQ(c->receivedBytes, closeFrame(false, 1007, "protocol"));
  EXPECT_TRUE(until([&] { return table->idle(); }));
  EXPECT_TRUE(hasLine("failed by=client why=protocol"));

  const auto d = open();
  d->write(bytesOf(true, {1, "fine"}) + bytesOf(true, {5, "x"}));
  ASSERT_TRUE(receivedBytes(d, closeFrame(false, 1002, "protocol")));
  // The host received complete frames only, and then the close frame of the gateway.
  ASSERT_TRUE(until([&] { return last()->receivedBytes.size() >= bytesOf(true, {1, "fine"}).size() + 16; }));
  EXPECT_EQ(last()->receivedBytes, bytesOf(true, {1, "fine"}) + closeFrame(true, 1001, "protocol"));
}

// Frames with lengths of 2^63 and 2^63 - 1 bytes.
TEST_F(WebSocketTest, OversizedFrameLengthIsRejected) {
  addHost();
  startGateway();
  const auto c = open();
  c->write(bytesOf(true, {2, "", true, 0, {}, 8, std::uint64_t{1} << 63}));
  EXPECT_TRUE(receivedBytes(c, closeFrame(false, 1002, "protocol")));
  const auto d = open();
  d->write(bytesOf(true, {2, "", true, 0, {}, 8, (std::uint64_t{1} << 63) - 1}));
  EXPECT_TRUE(receivedBytes(d, closeFrame(false, 1009, "too_big")));
  EXPECT_TRUE(last()->receivedBytes.empty() || last()->receivedBytes[0] == '\x88');
}

// The host resets within a frame. A close message would be read as part of that frame, so the client gets a
// reset.
TEST_F(WebSocketTest, HostResetWithinAFrameResetsTheClient) {
  addHost();
  startGateway();
  const auto c = open();
  last()->write(bytesOf(false, {1, std::string(100, 'x')}).substr(0, 50));
  ASSERT_TRUE(until([&] { return c->receivedBytes.size() == 50; }));
  last()->abort();
  ASSERT_TRUE(until([&] { return c->over(); }));
  EXPECT_TRUE(c->reset);
  EXPECT_EQ(c->receivedBytes.size(), 50u);
  EXPECT_TRUE(hasLine("failed by=host why=reset"));
}

TEST_F(WebSocketTest, HostLostBetweenFramesSendsClose1014ToTheClient) {
  addHost();
  startGateway();
  for (const bool abort : {true, false}) {
    const auto c = open();
    if (abort) last()->abort();
    else last()->close();
    ASSERT_TRUE(receivedBytes(c, closeFrame(false, 1014, "reset"))) << abort;
    c->write(closeFrame(true, 1014, ""));
    ASSERT_TRUE(until([&] { return c->over() && table->idle(); }));
  }
  EXPECT_EQ(table->statistics().ended(EndedBy::host, EndReason::reset), 2u);
}

TEST_F(WebSocketTest, ClientResetSendsClose1001ToTheHost) {
  addHost();
  startGateway();
  const auto c = open();
  c->abort();
  ASSERT_TRUE(receivedBytes(last(), closeFrame(true, 1001, "reset")));
  ASSERT_TRUE(until([&] { return table->idle(); }));
  EXPECT_TRUE(hasLine("failed by=client why=reset"));
}

// Close frames cross: both are forwarded, and the stream ends once.
TEST_F(WebSocketTest, ForwardsSimultaneousClosesAndEndsOnce) {
  addHost();
  startGateway();
  const auto c = open();
  c->write(closeFrame(true, 1000, ""));
  last()->write(closeFrame(false, 1001, ""));
  EXPECT_TRUE(receivedBytes(c, closeFrame(false, 1001, "")));
  EXPECT_TRUE(receivedBytes(last(), closeFrame(true, 1000, "")));
  last()->shutdownSend(), c->shutdownSend();
  ASSERT_TRUE(until([&] { return table->idle(); }));
  EXPECT_EQ(count(StreamResult::served), 1u);
  EXPECT_EQ(lines.size(), 1u);
}

// Both sides sent a Close frame but neither closes its connection: the gateway does.
TEST_F(WebSocketTest, ClosesConnectionsAfterBothCloseFrames) {
  addHost();
  startGateway();
  const auto c = open();
  c->write(closeFrame(true, 1000, ""));
  ASSERT_TRUE(receivedBytes(last(), closeFrame(true, 1000, "")));
  last()->write(closeFrame(false, 1000, ""));
  ASSERT_TRUE(until([&] { return c->ended && last()->ended && table->idle(); }));
  EXPECT_EQ(count(StreamResult::served), 1u);
}

// --- Drains

TEST_F(WebSocketTest, HostDrainSendsClose1001ToItsStreams) {
  streams.drainInterval = milliseconds(200);
  addHost(), addHost();
  startGateway();
  std::vector<std::shared_ptr<TcpConnection>> clients;
  for (int i = 0; i < 20; ++i) clients.push_back(open());
  const std::size_t drainedCount = hostServers[0]->connections.size();
  ASSERT_GT(drainedCount, 4u);
  publishHosts(json::array({entry(0, "leaving")}));
  const std::string bye = closeFrame(false, 1001, "drain");
  ASSERT_TRUE(until([&] {
    std::size_t closedCount = 0;
    for (const auto& c : clients) {
      if (c->receivedBytes == bye && !c->over())
        c->receivedBytes += ' ', c->write(closeFrame(true, 1001, ""));
      closedCount += c->receivedBytes.substr(0, bye.size()) == bye;
    }
    return closedCount == drainedCount && hostServers[0]->open() == 0;
  }));
  for (const auto& w : hostServers[0]->connections)
    EXPECT_EQ(w->receivedBytes, closeFrame(true, 1001, "drain"));
  EXPECT_EQ(count(StreamResult::served), drainedCount);
  EXPECT_EQ(table->size(), 20 - drainedCount);
  EXPECT_TRUE(hasLine("served by=gateway why=drain"));
}

// A close frame is inserted only after the frame in progress.
TEST_F(WebSocketTest, DrainWaitsForTheEndOfAFrame) {
  streams.drainInterval = milliseconds(0);
  addHost();
  startGateway();
  const auto c = open();
  const std::string frame = bytesOf(false, {1, std::string(1000, 'x')}), next = bytesOf(false, {1, "next"});
  last()->write(frame.substr(0, 500));
  ASSERT_TRUE(until([&] { return c->receivedBytes.size() == 500; }));
  publishHosts(json::array({entry(0, "leaving")}));
  ASSERT_TRUE(until([&] {
    return last()->receivedBytes == closeFrame(true, 1001, "drain");
  }));  // no frame in progress in this direction
  EXPECT_EQ(c->receivedBytes.size(), 500u);
  last()->write(frame.substr(500) + next);
  EXPECT_TRUE(receivedBytes(c, frame + closeFrame(false, 1001, "drain")));
}

TEST_F(WebSocketTest, GatewayDrainSendsCloseToAllClients) {
  addHost();
  streams.drainInterval = milliseconds(300);
  startGateway();
  std::vector<std::shared_ptr<TcpConnection>> clients;
  for (int i = 0; i < 20; ++i) clients.push_back(open());
  bool done = false;
  gateway->drain([&] { done = true; });
  ASSERT_TRUE(until([&] { return done; }));
  for (const auto& c : clients) {
    ASSERT_TRUE(until([&] { return c->over(); }));
    EXPECT_EQ(c->receivedBytes, closeFrame(false, 1001, "drain"));
  }
  EXPECT_TRUE(table->idle());
}

// --- Silence

TEST_F(WebSocketTest, SilentHostIsPingedAndThenDisconnected) {
  settings.pingInterval = milliseconds(200);
  settings.pingTimeout = milliseconds(200);
  addHost();
  startGateway();
  const auto c = open();
  const std::string ping = bytesOf(false, {9, ""});
  // The client answers pings; the host does not. If the event loop is late, a ping can be received together
  // with the close frame, and the stream can end before the close frame is received.
  ASSERT_TRUE(until([&] {
    while (c->receivedBytes.compare(0, ping.size(), ping) == 0) {
      c->receivedBytes.erase(0, ping.size());
      if (!c->over()) c->write(bytesOf(true, {10, ""}));
    }
    const bool silent = table->statistics().ended(EndedBy::host, EndReason::silent) == 1;
    return (silent && c->receivedBytes.size() >= 2) || c->over();
  }));
  EXPECT_EQ(table->statistics().ended(EndedBy::host, EndReason::silent), 1u);
  EXPECT_EQ(c->receivedBytes.substr(0, 2), closeFrame(false, 1014, "silent").substr(0, 2));
  EXPECT_NE(last()->receivedBytes.find(bytesOf(true, {9, ""})), std::string::npos);
  EXPECT_TRUE(hasLine("failed by=host why=silent"));
}

TEST_F(WebSocketTest, StreamWithAnsweredPingsIsKept) {
  settings.pingInterval = milliseconds(100);
  settings.pingTimeout = milliseconds(2000);
  addHost();
  startGateway();
  const auto c = open();
  std::size_t pings = 0;
  const auto end = Steady::now() + milliseconds(1500);
  ASSERT_TRUE(until([&] {
    for (; c->receivedBytes.size() >= 2;
         c->receivedBytes.erase(0, 2))  // pings of the gateway, and pongs of the host
      if (c->receivedBytes[0] == '\x89') ++pings, c->write(bytesOf(true, {10, ""}));
    // The host receives pongs of the client and pings of the gateway.
    if (last()->receivedBytes.find(bytesOf(true, {9, ""})) != std::string::npos)
      last()->receivedBytes.clear(), last()->write(bytesOf(false, {10, ""}));
    return Steady::now() >= end;
  }));
  EXPECT_FALSE(c->over());
  EXPECT_GE(pings, 3u);
}

// --- Reconnect surges

// Upgrades over the rate are refused, each with its own retry time; plain requests are served.
TEST_F(WebSocketTest, UpgradesOverTheRateAreRefusedWithSpreadRetryTimes) {
  streams.hostStreamRateLimit = 20;
  streams.retryInterval = seconds(10);
  addHost([](const std::string& head) {
    return head.find("Upgrade") == std::string::npos
               ? std::string("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
               : accepted(head);
  });
  startGateway();
  std::vector<std::shared_ptr<TcpConnection>> clients;
  for (int i = 0; i < 200; ++i) {
    clients.push_back(connectClient());
    clients.back()->write(sendRequest());
  }
  ASSERT_TRUE(until([&] {
    return std::all_of(clients.begin(), clients.end(), [](const auto& c) { return statusOf(*c) != 0; });
  }));
  std::size_t info = 0;
  double least = 100, most = 0;
  for (const auto& c : clients) {
    if (statusOf(*c) == 101) {
      ++info;
      continue;
    }
    EXPECT_EQ(statusOf(*c), 503);
    const std::size_t at = c->receivedBytes.find("Retry-After: ");
    ASSERT_NE(at, std::string::npos);
    const double after = std::strtod(c->receivedBytes.c_str() + at + 13, nullptr);
    least = std::min(least, after);
    most = std::max(most, after);
  }
  EXPECT_GE(info, 1u);
  EXPECT_LE(info, 60u);
  EXPECT_EQ(table->size(), info);
  EXPECT_LT(least, 3);
  EXPECT_GT(most, 7);
  const auto c = client();
  c->sendRequest("GET", "/read", 2500);
  ASSERT_TRUE(until([&] { return c->answers.size() == 1; }));
  EXPECT_EQ(c->answers[0].result_int(), 200u);
}

// Without inspection, frames are forwarded by length, and a drain still sends close frames.
TEST_F(WebSocketTest, WithoutInspectionFramesPassAndDrainStillSendsClose) {
  settings.inspect = false;
  streams.drainInterval = milliseconds(0);
  addHost();
  startGateway();
  const auto c = open();
  const std::string odd = bytesOf(true, {5, "\xff", false, 7});
  c->write(odd);
  EXPECT_TRUE(receivedBytes(last(), odd));
  publishHosts(json::array({entry(0, "leaving")}));
  EXPECT_TRUE(receivedBytes(c, closeFrame(false, 1001, "drain")));
}

// Without an upgrade handler, an upgrade request is handled as a plain request.
using PlainTest = GatewayTest;
TEST_F(PlainTest, WithoutUpgradeHandlerAnUpgradeIsAPlainRequest) {
  host(serveOk);
  start();
  const auto c = client();
  c->sendRequest("GET", "/read", 2500, "", "Connection: Upgrade\r\nUpgrade: websocket\r\n");
  ASSERT_TRUE(until([&] { return c->answers.size() == 1; }));
  EXPECT_EQ(c->answers[0].result_int(), 200u);
}

}  // namespace
}  // namespace finchstile::websocket
