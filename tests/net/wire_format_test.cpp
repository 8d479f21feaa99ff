// The bytes that the gateway writes to hosts, clients and discovery, against literals.
#include "support/gateway_fixture.hpp"
#include "support/wires.hpp"

namespace finchstile::testing {
namespace {

using std::chrono::milliseconds;

// The time left depends on the machine, so its digits are replaced before the comparison.
std::string withoutTimeLeft(std::string bytes) {
  static constexpr std::string_view kName = "X-Time-Left-Ms: ";
  std::size_t at = bytes.find(kName);
  while (at != std::string::npos) {
    at += kName.size();
    const std::size_t end = bytes.find_first_not_of("0123456789", at);
    if (end != std::string::npos && end > at && bytes.compare(end, 2, "\r\n") == 0)
      bytes.replace(at, end - at, "N");
    at = bytes.find(kName, at);
  }
  return bytes;
}

struct WireFormatTest : GatewayTest {
  TcpServer rawHost{io};
  TcpServer rawDiscovery{io};

  void startWithRawHost(const std::function<void(json&)>& change = [](json&) {}) {
    start([&](json& config) {
      config["known"] = listJson(1, true, json::array({hostJson("s-0", rawHost.endpoint())}));
      change(config);
    });
  }
  // The host answers a request with `bytes` when it has come with its body, of which `bodySize` bytes are
  // due.
  void answerWith(const std::string& bytes, std::size_t bodySize = 0) {
    rawHost.onConnection = [bytes, bodySize](const std::shared_ptr<TcpConnection>& wire) {
      wire->onBytes = [bytes, bodySize](TcpConnection& w) {
        const std::size_t headEnd = w.receivedBytes.find("\r\n\r\n");
        if (headEnd == std::string::npos || w.receivedBytes.size() < headEnd + 4 + bodySize) return;
        w.onBytes = {};
        w.write(bytes);
      };
    };
  }
  std::string received(std::size_t connection = 0) const {
    return connection < rawHost.connections.size() ? rawHost.connections[connection]->receivedBytes : "";
  }
  // The bytes that a client gets for `request`, up to `size` of them.
  std::string responseTo(const std::string& request, std::size_t size) {
    const auto wire = TcpConnection::connect(io, gateway->endpoint());
    wire->write(request);
    EXPECT_TRUE(until([&] { return wire->receivedBytes.size() >= size || wire->over(); }))
        << wire->receivedBytes;
    return wire->receivedBytes;
  }
  void expectResponse(const std::string& request, const std::string& response) {
    EXPECT_EQ(withoutTimeLeft(responseTo(request, response.size())), response) << request;
  }
};

TEST_F(WireFormatTest, SendsIdempotentRequestToHostInTheseBytes) {
  startWithRawHost();
  const auto wire = TcpConnection::connect(io, gateway->endpoint());
  wire->write(
      "GET /read/x%20y?a=1&b=%2f HTTP/1.1\r\nHost: api\r\nX-Correlation-Id: id-1\r\nX-Time-Left-Ms: 2500\r\n"
      "X-Account: acme\r\nX-Weight-Hint: 5000\r\nCookie: sid=00ff\r\nX-Other: dropped\r\n\r\n");
  const std::string expected = "GET /read/x%20y?a=1&b=%2f HTTP/1.1\r\nHost: " + text(rawHost.endpoint()) +
                               "\r\nX-Correlation-Id: id-1\r\nX-Time-Left-Ms: N\r\n\r\n";
  ASSERT_TRUE(until([&] { return withoutTimeLeft(received()).size() >= expected.size(); })) << received();
  EXPECT_EQ(withoutTimeLeft(received()), expected);
}

TEST_F(WireFormatTest, SendsKeyedRequestToHostInTheseBytes) {
  startWithRawHost();
  const auto wire = TcpConnection::connect(io, gateway->endpoint());
  wire->write(
      "POST /put HTTP/1.1\r\nHost: api\r\ncontent-type: text/plain\r\nidempotency-key: key-7\r\n"
      "x-correlation-id: id-2\r\nX-Time-Left-Ms: 2500\r\nContent-Length: 3\r\n\r\nabc");
  const std::string expected = "POST /put HTTP/1.1\r\nHost: " + text(rawHost.endpoint()) +
                               "\r\nX-Correlation-Id: id-2\r\nIdempotency-Key: key-7\r\nContent-Type: "
                               "text/plain\r\nX-Time-Left-Ms: N\r\nContent-Length: 3\r\n\r\nabc";
  ASSERT_TRUE(until([&] { return withoutTimeLeft(received()).size() >= expected.size(); })) << received();
  EXPECT_EQ(withoutTimeLeft(received()), expected);
}

TEST_F(WireFormatTest, SendsEmptyPostWithContentLengthZero) {
  startWithRawHost();
  const auto wire = TcpConnection::connect(io, gateway->endpoint());
  wire->write(
      "POST /book HTTP/1.1\r\nX-Correlation-Id: id-3\r\nX-Time-Left-Ms: 2500\r\nContent-Length: 0\r\n\r\n");
  const std::string expected = "POST /book HTTP/1.1\r\nHost: " + text(rawHost.endpoint()) +
                               "\r\nX-Correlation-Id: id-3\r\nX-Time-Left-Ms: N\r\nContent-Length: 0\r\n\r\n";
  ASSERT_TRUE(until([&] { return withoutTimeLeft(received()).size() >= expected.size(); })) << received();
  EXPECT_EQ(withoutTimeLeft(received()), expected);
}

TEST_F(WireFormatTest, RelaysLongBodyOfKnownLengthWithTheClientsTimeAndLength) {
  startWithRawHost();
  const std::string body = pattern(200000);
  const auto wire = TcpConnection::connect(io, gateway->endpoint());
  wire->write(
      "POST /book HTTP/1.1\r\nX-Correlation-Id: id-4\r\nX-Time-Left-Ms: 2500\r\nContent-Length: "
      "200000\r\n\r\n" +
      body);
  const std::string expected =
      "POST /book HTTP/1.1\r\nHost: " + text(rawHost.endpoint()) +
      "\r\nX-Correlation-Id: id-4\r\nX-Time-Left-Ms: 2500\r\nContent-Length: 200000\r\n\r\n" + body;
  ASSERT_TRUE(until([&] { return received().size() >= expected.size(); }));
  EXPECT_TRUE(received() == expected) << received().substr(0, 200);
}

TEST_F(WireFormatTest, RelaysLongBodyOfUnknownLengthInChunks) {
  startWithRawHost();
  const std::string body = pattern(200000);
  const auto wire = TcpConnection::connect(io, gateway->endpoint());
  wire->write(
      "POST /book HTTP/1.1\r\nX-Correlation-Id: id-5\r\nX-Time-Left-Ms: 2500\r\nTransfer-Encoding: "
      "chunked\r\n\r\n30d40\r\n" +
      body + "\r\n0\r\n\r\n");
  const std::string head =
      "POST /book HTTP/1.1\r\nHost: " + text(rawHost.endpoint()) +
      "\r\nX-Correlation-Id: id-5\r\nX-Time-Left-Ms: 2500\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string end = "\r\n0\r\n\r\n";
  ASSERT_TRUE(until([&] {
    return received().size() > end.size() &&
           received().compare(received().size() - end.size(), end.size(), end) == 0;
  }));
  EXPECT_EQ(received().substr(0, head.size()), head);
  std::string unchunked;  // chunk sizes depend on what a read brings
  for (std::size_t at = head.size();;) {
    const std::size_t line = received().find("\r\n", at);
    ASSERT_NE(line, std::string::npos);
    const std::size_t size = std::stoul(received().substr(at, line - at), nullptr, 16);
    if (size == 0) break;
    unchunked += received().substr(line + 2, size);
    at = line + 2 + size + 2;
  }
  EXPECT_TRUE(unchunked == body);
}

TEST_F(WireFormatTest, WritesServedResponseInTheseBytes) {
  answerWith(
      "HTTP/1.1 200 Fine\r\ncontent-type: text/plain\r\nX-Own: kept back\r\nContent-Length: 2\r\n\r\nok");
  startWithRawHost();
  expectResponse("GET /read HTTP/1.1\r\nX-Correlation-Id: a\r\nX-Time-Left-Ms: 2500\r\n\r\n",
                 "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 2\r\n\r\nok");
}

TEST_F(WireFormatTest, WritesServedResponseToHttp10InTheseBytes) {
  answerWith("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  startWithRawHost();
  expectResponse(
      "GET /read HTTP/1.0\r\nConnection: keep-alive\r\nX-Correlation-Id: a\r\nX-Time-Left-Ms: 2500\r\n\r\n",
      "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 2\r\n\r\nok");
}

TEST_F(WireFormatTest, WritesClosingResponseInTheseBytes) {
  answerWith("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  startWithRawHost();
  expectResponse(
      "GET /read HTTP/1.1\r\nConnection: close\r\nX-Correlation-Id: a\r\nX-Time-Left-Ms: 2500\r\n\r\n",
      "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok");
}

TEST_F(WireFormatTest, RelaysLongResponseOfKnownLengthInTheseBytes) {
  const std::string body = pattern(200000);
  answerWith("HTTP/1.1 200 OK\r\nContent-Type: a/b\r\nContent-Length: 200000\r\n\r\n" + body);
  startWithRawHost();
  const std::string expected =
      "HTTP/1.1 200 OK\r\nContent-Type: a/b\r\nContent-Length: 200000\r\n\r\n" + body;
  EXPECT_TRUE(responseTo("GET /read HTTP/1.1\r\nX-Correlation-Id: a\r\nX-Time-Left-Ms: 2500\r\n\r\n",
                         expected.size()) == expected);
}

TEST_F(WireFormatTest, RelaysLongResponseOfUnknownLengthInChunks) {
  const std::string body = pattern(200000);
  answerWith("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n30d40\r\n" + body + "\r\n0\r\n\r\n");
  startWithRawHost();
  const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const auto wire = TcpConnection::connect(io, gateway->endpoint());
  wire->write("GET /read HTTP/1.1\r\nX-Correlation-Id: a\r\nX-Time-Left-Ms: 2500\r\n\r\n");
  ASSERT_TRUE(until([&] {
    return wire->receivedBytes.size() > body.size() &&
           wire->receivedBytes.compare(wire->receivedBytes.size() - 7, 7, "\r\n0\r\n\r\n") == 0;
  }));
  EXPECT_EQ(wire->receivedBytes.substr(0, head.size()), head);
}

// Rejects every request, with a wait and a header of its own.
struct RejectingFilter : RequestFilter {
  std::uint8_t phases() const override { return phaseBit(RequestPhase::received); }
  FilterDecision onRequestReceived(RequestContext&) override {
    Response response = plainResponse(http::status::service_unavailable);
    response.retryAfter = milliseconds(1250);
    response.contentType = "text/plain";
    response.headers = {{"X-Reason", "full"}};
    response.body = "later";
    return {std::move(response), false};
  }
};

TEST_F(WireFormatTest, WritesRejectionWithRetryAfterInTheseBytes) {
  startWithRawHost();
  RejectingFilter filter;
  gateway->attach(filter);
  expectResponse("GET /read HTTP/1.1\r\nX-Correlation-Id: a\r\nX-Time-Left-Ms: 2500\r\n\r\n",
                 "HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/plain\r\nX-Reason: full\r\n"
                 "Retry-After: 1.250\r\nContent-Length: 5\r\n\r\nlater");
}

TEST_F(WireFormatTest, WritesRejectionWithoutRetryAfterInTheseBytes) {
  answerWith("HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n");
  startWithRawHost();
  expectResponse("GET /read HTTP/1.1\r\nX-Correlation-Id: a\r\nX-Time-Left-Ms: 2500\r\n\r\n",
                 "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
}

TEST_F(WireFormatTest, WritesBadGatewayInTheseBytes) {
  answerWith("HTTP/1.1 500 No\r\nContent-Length: 4\r\n\r\nbody", 1);
  startWithRawHost();
  expectResponse(
      "POST /book HTTP/1.1\r\nX-Correlation-Id: a\r\nX-Time-Left-Ms: 2500\r\nContent-Length: 1\r\n\r\nx",
      "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n");
}

TEST_F(WireFormatTest, WritesClientErrorOfHostInTheseBytes) {
  answerWith("HTTP/1.1 422 No\r\nContent-Type: a/b\r\nContent-Length: 4\r\n\r\nbody", 1);
  startWithRawHost();
  expectResponse(
      "POST /book HTTP/1.1\r\nX-Correlation-Id: a\r\nX-Time-Left-Ms: 2500\r\nContent-Length: 1\r\n\r\nx",
      "HTTP/1.1 422 Unprocessable Entity\r\nContent-Length: 0\r\n\r\n");
}

TEST_F(WireFormatTest, WritesItsOwnClientErrorsInTheseBytes) {
  startWithRawHost();
  const std::string end = "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
  const std::string ids = "X-Correlation-Id: a\r\nX-Time-Left-Ms: 900\r\n";
  expectResponse("BLAH\r\n\r\n", "HTTP/1.1 400 Bad Request" + end);
  expectResponse("GET /nothing HTTP/1.1\r\n" + ids + "\r\n", "HTTP/1.1 404 Not Found" + end);
  expectResponse("GET /book HTTP/1.1\r\n" + ids + "\r\n", "HTTP/1.1 405 Method Not Allowed" + end);
  expectResponse("POST /book HTTP/1.1\r\n" + ids + "Content-Length: 33554433\r\n\r\n",
                 "HTTP/1.1 413 Payload Too Large" + end);
  expectResponse("GET /read HTTP/1.1\r\nX-A: " + std::string(20000, 'x'),
                 "HTTP/1.1 431 Request Header Fields Too Large" + end);
  expectResponse("GET /read HTTP/1.1\r\n", "HTTP/1.1 408 Request Timeout" + end);
}

TEST_F(WireFormatTest, WritesContinueInTheseBytes) {
  startWithRawHost();
  expectResponse(
      "POST /book HTTP/1.1\r\nX-Correlation-Id: a\r\nX-Time-Left-Ms: 900\r\nExpect: 100-continue\r\n"
      "Content-Length: 1\r\n\r\n",
      "HTTP/1.1 100 Continue\r\n\r\n");
}

TEST_F(WireFormatTest, WritesHealthChecksInTheseBytes) {
  startWithRawHost();
  const std::string ok = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  expectResponse("GET /health/live HTTP/1.1\r\n\r\n", ok);
  expectResponse("GET /health/ready HTTP/1.1\r\n\r\n", ok);
  gateway->enterLameDuck();
  expectResponse("GET /health/ready HTTP/1.1\r\n\r\n",
                 "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
  expectResponse("GET /health/live HTTP/1.1\r\n\r\n",
                 "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
}

TEST_F(WireFormatTest, RefusesConnectionBeyondTheLimitInTheseBytes) {
  startWithRawHost([](json& config) { config["limits"]["sockets"] = 32; });
  const std::size_t limit = gateway->descriptorLimits().clients;
  std::vector<std::shared_ptr<TcpConnection>> open;
  for (std::size_t i = 0; i < limit; ++i) {
    open.push_back(TcpConnection::connect(io, gateway->endpoint()));
    open.back()->write("POST /book HTTP/1.1\r\nX-Correlation-Id: w" + std::to_string(i) +
                       "\r\nX-Time-Left-Ms: 2500\r\nContent-Length: 1\r\n\r\nx");
    ASSERT_TRUE(until([&] { return gateway->openRequests() == i + 1; }));
  }
  const std::string full =
      "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
  const auto refused = TcpConnection::connect(io, gateway->endpoint());
  ASSERT_TRUE(until([&] { return refused->receivedBytes.size() >= full.size() || refused->over(); }));
  EXPECT_EQ(refused->receivedBytes, full);
}

TEST_F(WireFormatTest, CallsDiscoveryInTheseBytes) {
  startWithRawHost([&](json& config) { config["discovery"] = text(rawDiscovery.endpoint()); });
  const std::string host = " HTTP/1.1\r\nHost: " + text(rawDiscovery.endpoint()) + "\r\n\r\n";
  ASSERT_TRUE(until([&] {
    return !rawDiscovery.connections.empty() && !rawDiscovery.connections[0]->receivedBytes.empty();
  }));
  const auto first = rawDiscovery.connections[0];
  EXPECT_EQ(first->receivedBytes, "GET /registry/instances?since=1&timeout_ms=2000" + host);
  first->receivedBytes.clear();
  const std::string list = listJson(7, false, json::array()).dump();
  first->write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(list.size()) + "\r\n\r\n" + list);
  ASSERT_TRUE(until([&] { return !first->receivedBytes.empty(); }));
  EXPECT_EQ(first->receivedBytes, "GET /registry/instances?since=7&timeout_ms=2000" + host);
  gateway->requestCompleteList();
  ASSERT_TRUE(until([&] {
    return rawDiscovery.connections.size() == 2 && !rawDiscovery.connections[1]->receivedBytes.empty();
  }));
  EXPECT_EQ(rawDiscovery.connections[1]->receivedBytes, "GET /registry/instances" + host);
}

}  // namespace
}  // namespace finchstile::testing
