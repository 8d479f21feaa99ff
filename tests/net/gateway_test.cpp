// Gateway against scripted hosts, clients and discovery, over loopback sockets.
#include <sys/resource.h>

#include "support/gateway_fixture.hpp"

namespace finchstile::testing {
namespace {

using std::chrono::milliseconds;

TEST_F(GatewayTest, ForwardsRequestAndAnswerUnchanged) {
  const std::string binaryBody("a\0b\r\n\r\n\xff", 8);
  host([&](const auto& peer, const Received&) { peer->reply(200, binaryBody + "!"); });
  start();
  const auto c = client();
  c->sendRequest("POST", "/put/x%20y?a=1&b=%2f", 2500, binaryBody,
                 "Idempotency-Key: key-7\r\nX-Account: acme\r\n");
  ASSERT_TRUE(until([&] { return c->answers.size() == 1; }));
  EXPECT_EQ(c->answers[0].result_int(), 200u);
  EXPECT_EQ(c->answers[0].body(), binaryBody + "!");
  const Received& r = hosts[0]->received.at(0);
  EXPECT_EQ(r.method(), http::verb::post);
  EXPECT_EQ(r.target(), "/put/x%20y?a=1&b=%2f");
  EXPECT_EQ(r.body(), binaryBody);
  EXPECT_EQ(r["X-Correlation-Id"], c->id);
  EXPECT_EQ(r["Idempotency-Key"], "key-7");
  const int left = std::stoi(std::string(r["X-Time-Left-Ms"]));
  EXPECT_GT(left, 0);
  EXPECT_LE(left, 2500);
}

TEST_F(GatewayTest, RejectsInvalidRequestsWithoutSendingThemToHosts) {
  host(serveOk);
  start();
  const std::string book = "POST /book HTTP/1.1\r\nX-Correlation-Id: i\r\nX-Time-Left-Ms: 900\r\n";
  const std::string get = "GET /read HTTP/1.1\r\nX-Correlation-Id: i\r\n", left = "X-Time-Left-Ms: 900\r\n";
  const std::string smuggled = "GET /read HTTP/1.1\r\nX-Correlation-Id: j\r\n" + left + "\r\n";
  std::string manyLines = get;  // a header section that never ends, in short lines
  for (int i = 0; i < 2000; ++i) manyLines += "X-A: 123456\r\n";
  const std::vector<std::pair<std::string, unsigned>> cases = {
      {"BLAH\r\n\r\n", 400},
      {get + "Host: a\r\n\r\n", 400},
      {get + "X-Time-Left-Ms: soon\r\n\r\n", 400},
      {get + "X-Time-Left-Ms: 0\r\n\r\n", 400},
      {get + "X-Time-Left-Ms: -5\r\n\r\n", 400},
      {get + "X-Time-Left-Ms: 99999999999999999999\r\n\r\n", 400},
      {get + left + left + "\r\n", 400},
      {book + "Content-Length: 33554433\r\n\r\n", 413},
      {book + "Transfer-Encoding: chunked\r\n\r\n2000001\r\nx", 413},
      {manyLines, 431},
      {get + "X-A: " + std::string(20000, 'x'), 431},
      // No correlation id, two of them, an unknown class; a method, body or key that the class excludes.
      {"GET /read HTTP/1.1\r\n" + left + "\r\n", 400},
      {get + "X-Correlation-Id: k\r\n" + left + "\r\n", 400},
      {"GET /nothing HTTP/1.1\r\nX-Correlation-Id: i\r\n" + left + "\r\n", 404},
      {"POST /read HTTP/1.1\r\nX-Correlation-Id: i\r\n" + left + "Content-Length: 0\r\n\r\n", 405},
      {"GET /book HTTP/1.1\r\nX-Correlation-Id: i\r\n" + left + "\r\n", 405},
      {get + left + "Content-Length: 1\r\n\r\nx", 400},
      {book + "Idempotency-Key: k\r\nContent-Length: 1\r\n\r\nx", 400},
      {"POST /put HTTP/1.1\r\nX-Correlation-Id: i\r\n" + left + "Content-Length: 1\r\n\r\nx", 400},
      // Message lengths that two parsers could interpret differently (request smuggling).
      {book + "Content-Length: -1\r\n\r\n", 400},
      {book + "Content-Length: +1\r\n\r\nx", 400},
      {book + "Content-Length: 1x\r\n\r\nx", 400},
      {book + "Content-Length: 99999999999999999999999\r\n\r\n", 400},
      {book + "Content-Length: 1\r\nContent-Length: 1\r\n\r\nx", 400},
      {book + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nx", 400},
      {book + "Content-Length: 1, 1\r\n\r\nx", 400},
      {book + "Content-Length: 6\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + smuggled, 400},
      {book + "Transfer-Encoding: chunked\r\nContent-Length: 6\r\n\r\n0\r\n\r\n" + smuggled, 400},
      {book + "Transfer-Encoding: identity\r\nContent-Length: 0\r\n\r\n" + smuggled, 400},
      {book + "Transfer-Encoding: gzip\r\n\r\n" + smuggled, 400},
      {book + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n" + smuggled, 400},
  };
  for (const auto& [bytes, status] : cases) {
    const auto c = client();
    c->write(bytes);
    ASSERT_TRUE(until([&] { return c->answers.size() == 1; })) << bytes.substr(0, 80);
    EXPECT_EQ(c->answers[0].result_int(), status) << bytes.substr(0, 160);
    ASSERT_TRUE(until([&] { return c->ended; }));  // later bytes on the connection are not read as a request
    EXPECT_EQ(c->answers.size(), 1u);
  }
  EXPECT_EQ(received(), 0u);
  const auto c = client();  // a body of 64 KiB is accepted
  c->sendRequest("POST", "/book", 2500, std::string(65536, 'x'));
  ASSERT_TRUE(until([&] { return c->answers.size() == 1; }));
  EXPECT_EQ(c->answers[0].result_int(), 200u);
}

// A host would take a second request with the id of an open one for a copy of it.
TEST_F(GatewayTest, RejectsRequestWithIdOfOpenRequest) {
  host(hold);
  start();
  const auto first = client(), second = client(), third = client();
  const std::string bytes = "GET /read HTTP/1.1\r\nX-Correlation-Id: same\r\nX-Time-Left-Ms: 2900\r\n\r\n";
  first->write(bytes);
  ASSERT_TRUE(until([&] { return received() == 1; }));
  second->write(bytes);
  ASSERT_TRUE(until([&] { return second->answers.size() == 1; }));
  EXPECT_EQ(second->answers[0].result_int(), 409u);
  hosts[0]->handler = serveOk;
  hosts[0]->peers[0]->reply(200, "first");
  ASSERT_TRUE(until([&] { return first->answers.size() == 1; }));
  EXPECT_EQ(first->answers[0].body(), "first");
  EXPECT_EQ(received(), 1u);
  third->write(bytes);  // the first request has ended, so its id is free again
  ASSERT_TRUE(until([&] { return third->answers.size() == 1; }));
  EXPECT_EQ(third->answers[0].result_int(), 200u);
}

TEST_F(GatewayTest, TimesOutSilentAndSlowClients) {
  host(serveOk);
  start();
  const auto silent = client(), half = client(), dribbling = client(), later = client(), body = client();
  half->write("GET /re");
  body->write("POST /book HTTP/1.1\r\nX-Correlation-Id: b\r\nContent-Length: 9\r\n\r\nx");
  later->sendRequest("GET", "/read", 2500);
  ASSERT_TRUE(until([&] { return later->answers.size() == 1; }));
  const auto startTime = std::chrono::steady_clock::now();
  later->write("GET /re");  // a part of the second request on its connection
  auto next = startTime;
  ASSERT_TRUE(until([&] {
    if (std::chrono::steady_clock::now() >= next && !dribbling->ended) {
      error_code ignored;
      asio::write(dribbling->socket, asio::buffer(std::string("a")), ignored);
      next += milliseconds(50);
    }
    return silent->ended && half->ended && dribbling->ended && later->ended && body->ended;
  }));
  EXPECT_TRUE(silent->answers.empty());  // it sent nothing that needs an answer
  for (const auto& c : {half, dribbling, body}) {
    ASSERT_EQ(c->answers.size(), 1u);
    EXPECT_EQ(c->answers[0].result_int(), 408u);
  }
  EXPECT_EQ(later->answers.at(1).result_int(), 408u);
  ASSERT_TRUE(until([&] { return gateway->clientConnections() == 0; }));
}

// The gateway detects that the client has closed even when unread pipelined requests precede the FIN.
TEST_F(GatewayTest, EndsAttemptWhenPipeliningClientDisconnects) {
  for (const std::size_t ahead : {std::size_t{1}, std::size_t{300}}) {
    hosts.clear();
    host(hold);
    start();
    auto c = client();
    c->sendRequest("GET", "/read", 2900);
    ASSERT_TRUE(until([&] { return hosts[0]->received.size() == 1; }));
    for (std::size_t i = 0; i < ahead; ++i) c->sendRequest("GET", "/read", 2900);
    c->close();
    ASSERT_TRUE(until([&] { return hosts[0]->peers[0]->ended; }));
    EXPECT_EQ(gateway->openRequests(), 0u);
    EXPECT_EQ(received(), 1u);
  }
}

// The gateway answers a body beyond the limit at once and closes without reading all of it.
TEST_F(GatewayTest, RejectsHugeBodyWithoutReadingAllOfIt) {
  start();
  const auto c = client();
  c->write(
      "POST /book HTTP/1.1\r\nX-Correlation-Id: i\r\nX-Time-Left-Ms: 900\r\nContent-Length: "
      "62914560\r\n\r\n");
  ASSERT_TRUE(until([&] { return c->answers.size() == 1; }));
  EXPECT_EQ(c->answers[0].result_int(), 413u);
  c->socket.non_blocking(true);
  const std::string part(65536, 'x');
  std::size_t sent = 0;
  ASSERT_TRUE(until([&] {
    error_code error;
    sent += c->socket.write_some(asio::buffer(part), error);
    return error && error != asio::error::would_block;
  }));
  EXPECT_LT(sent, 62914560u);
  ASSERT_TRUE(until([&] { return gateway->clientConnections() == 0; }));
}

TEST_F(GatewayTest, SendsContinueToClientThatExpectsIt) {
  host(serveOk);
  start();
  const auto c = client();
  c->write(
      "POST /book HTTP/1.1\r\nX-Correlation-Id: i\r\nX-Time-Left-Ms: 2500\r\n"
      "Expect: 100-continue\r\nContent-Length: 2\r\n\r\n");
  ASSERT_TRUE(until([&] { return c->answers.size() == 1; }));
  EXPECT_EQ(c->answers[0].result_int(), 100u);
  c->write("hi");
  ASSERT_TRUE(until([&] { return c->answers.size() == 2; }));
  EXPECT_EQ(c->answers[1].result_int(), 200u);
  EXPECT_EQ(hosts[0]->received.at(0).body(), "hi");
}

TEST_F(GatewayTest, AnswersPipelinedRequestsInOrder) {
  host([](const auto& peer, const Received& r) { peer->reply(200, std::string(r.target())); });
  start();
  const auto c = client();
  std::string bytes;
  for (int i = 0; i < 20; ++i)
    bytes += "GET /read/" + std::to_string(i) + " HTTP/1.1\r\nX-Correlation-Id: p" + std::to_string(i) +
             "\r\nX-Time-Left-Ms: 2500\r\n\r\n";
  c->write(bytes);
  ASSERT_TRUE(until([&] { return c->answers.size() == 20; }));
  for (std::size_t i = 0; i < 20; ++i) EXPECT_EQ(c->answers[i].body(), "/read/" + std::to_string(i));
  EXPECT_EQ(gateway->openRequests(), 0u);
}

// Answers that do not prove that the request was not run: an unsafe request fails and is not sent again.
TEST_F(GatewayTest, DoesNotResendUnsafeRequestThatMayHaveRun) {
  const std::vector<std::string> answers = {
      "",                                                              // connection closed without an answer
      "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc",              // truncated
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",  // truncated within a chunk
      "nonsense\r\n\r\n",
      "HTTP/1.1 200 OK\r\nContent-Length: 33554433\r\n\r\n" + std::string(65537, 'x'),
      "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n",
      "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n",  // without X-Unprocessed it may have run
      "HTTP/1.1 503 X\r\nX-Unprocessed: 0\r\nContent-Length: 0\r\n\r\n",
  };
  std::size_t index = 0;
  for (int i = 0; i < 2; ++i)
    host([&](const auto& peer, const Received& r) {
      if (r.target() == "/read") return peer->reply(200, "ok");
      error_code ignored;
      asio::write(peer->socket, asio::buffer(answers[index]), ignored);
      peer->close();
    });
  start();
  const auto steadyClient = client();
  for (; index < answers.size(); ++index) {
    // Without enough good answers, the gateway could infer an overload from the failures and refuse the
    // request under test, as happens on a slow machine.
    expectServed(*steadyClient, 20);
    const std::size_t before = received();
    const auto c = client();
    c->sendRequest("POST", "/book", 2500, "x");
    ASSERT_TRUE(until([&] { return c->answers.size() == 1; })) << index;
    EXPECT_EQ(c->answers[0].result_int(), 502u) << index;
    EXPECT_EQ(received(), before + 1) << index;
  }
}

// A host that accepts connections and resets each at its first bytes. A restarted host does this to old
// connections, and so does a middlebox that has dropped an idle connection without notice.
class ResettingHost {
 public:
  explicit ResettingHost(asio::io_context& io) : acceptor_(io, loopback()) { accept(); }
  tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }
  std::string receivedBytes;  // bytes of the last connection
  int resets = 0;

 private:
  void accept() {
    acceptor_.async_accept([this](error_code error, tcp::socket s) {
      if (error) return;
      const auto peer = std::make_shared<tcp::socket>(std::move(s));
      receivedBytes.resize(100000);
      peer->async_read_some(asio::buffer(receivedBytes), [this, peer](error_code, std::size_t n) {
        receivedBytes.resize(n);
        ++resets;
        peer->set_option(asio::socket_base::linger(true, 0));
        peer->close();
      });
      accept();
    });
  }
  tcp::acceptor acceptor_;
};

// A connection that is reset before the last byte of a request was written: the request cannot have run, so
// even an unsafe one is sent again.
TEST_F(GatewayTest, ResendsUnsafeRequestResetBeforeItsLastByte) {
  ResettingHost dead(io);
  host(serveOk);
  minVerificationTimeOverride = milliseconds(100);  // too short to mark the host as unresponsive
  start([&](json& config) { config["known"]["endpoints"].push_back(hostJson("s-dead", dead.endpoint())); });
  const std::vector<std::pair<std::string, std::string>> kinds = {{"/book", ""},
                                                                  {"/put", "Idempotency-Key: k\r\n"}};
  for (std::size_t i = 0; i < kinds.size(); ++i)
    for (const int before = dead.resets; dead.resets == before;) {  // until the random choice is `dead`
      const auto c = client();
      c->sendRequest("POST", kinds[i].first, 2900, "body", kinds[i].second);
      ASSERT_TRUE(until([&] { return c->answers.size() == 1; }));
      EXPECT_EQ(c->answers[0].result_int(), 200u) << kinds[i].first;
      EXPECT_EQ(hosts[0]->received.back()["X-Correlation-Id"], c->id);
      EXPECT_EQ(hosts[0]->received.back().body(), "body");
    }
  EXPECT_EQ(dead.receivedBytes.substr(dead.receivedBytes.size() - 3), "bod");  // the last byte was held back
}

// While requests are lost silently, an idempotent request is sent again before its deadline.
TEST_F(GatewayTest, ResendsIdempotentRequestBeforeDeadlineWhileRequestsAreLost) {
  bool losing = false;
  std::size_t lost = 0;
  for (int i = 0; i < 4; ++i)
    host([&](const auto& peer, const Received&) {
      if (losing) ++lost;
      else peer->reply(200, "ok");
    });
  start();
  const auto c = client();
  for (std::size_t i = 1; i <= 40; ++i) {
    c->sendRequest("GET", "/read", 2900);
    ASSERT_TRUE(until([&] { return c->answers.size() == i; }));
  }
  losing = true;  // the following requests time out
  std::vector<std::shared_ptr<Client>> manyClients;
  for (int i = 0; i < 12; ++i) manyClients.push_back(client());
  for (const auto& m : manyClients) m->sendRequest("GET", "/read", 300);
  ASSERT_TRUE(until([&] {
    return std::all_of(manyClients.begin(), manyClients.end(),
                       [](const auto& m) { return m->answers.size() == 1; });
  }));
  const std::size_t before = lost;
  c->sendRequest("GET", "/read", 2900);
  ASSERT_TRUE(until([&] { return lost > before; }));
  losing = false;
  ASSERT_TRUE(until([&] { return c->answers.size() == 41; }));
  EXPECT_EQ(c->answers.back().result_int(), 200u);
  EXPECT_EQ(c->answers.back().body(), "ok");
}

// Malformed or incomplete answers on a connection that stays open: the attempt fails as one that may have
// run, without waiting for the deadline, and its connection is not reused.
TEST_F(GatewayTest, FailsAttemptOnMalformedAnswer) {
  const std::string ok = "HTTP/1.1 200 OK\r\n", lengthTwo = "Content-Length: 2\r\n";
  std::string manyLines = ok;
  for (int i = 0; i < 2000; ++i) manyLines += "X-A: 123456\r\n";
  std::string interims;
  for (int i = 0; i < 50; ++i) interims += "HTTP/1.1 103 Early\r\nLink: </a>\r\n\r\n";
  const std::vector<std::string> answers = {
      "nonsense, and more of it",
      "\r\n\r\n\r\n",
      ok,  // incomplete header section
      manyLines,
      ok + "X-A: " + std::string(20000, 'x'),
      ok + "Content-Length: -2\r\n\r\nok",
      ok + "Content-Length: 3221225472\r\n\r\nok",
      ok + "Content-Length: 99999999999999999999999\r\n\r\nok",
      ok + lengthTwo + lengthTwo + "\r\nok",
      ok + lengthTwo + "Content-Length: 3\r\n\r\nok",
      ok + "Content-Length: 2, 2\r\n\r\nok",
      ok + lengthTwo + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
      ok + "Transfer-Encoding: gzip\r\n" + lengthTwo + "\r\nok",
      ok + "Content-Length: 9\r\n\r\nok",                    // incomplete body
      ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",  // no last chunk
      ok + "Transfer-Encoding: chunked\r\n\r\n1;" + std::string(60000, 'x'),
      ok + "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
      ok + "\r\nok",  // ended only by a close that does not come
      // X-Unprocessed is ignored, since the answer is malformed.
      "HTTP/1.1 503 X\r\nX-Unprocessed: 1\r\n" + lengthTwo + lengthTwo + "\r\nok",
      interims,
  };
  std::size_t index = 0;
  bool answersWell = true;
  for (int i = 0; i < 2; ++i)
    host([&](const auto& peer, const Received&) {
      error_code ignored;
      if (answersWell) peer->reply(200, "ok");
      else asio::write(peer->socket, asio::buffer(answers[index]), ignored);
    });
  start();
  const auto steadyClient = client();
  for (; index < answers.size(); ++index) {
    // Without good answers, the gateway would infer an overload from the failures and refuse the request
    // under test. One failure after twenty good answers, however long they take, is no sign of overload.
    answersWell = true;
    expectServed(*steadyClient, 20, "POST", "/book", "x");
    ASSERT_FALSE(HasFailure()) << index;
    answersWell = false;
    const std::size_t before = received(), connectionsBefore = gateway->upstreamConnections();
    const auto c = client();
    c->sendRequest("POST", "/book", 2500, "x");
    ASSERT_TRUE(until([&] { return c->answers.size() == 1; })) << index;
    EXPECT_EQ(c->answers[0].result_int(), 502u) << index;
    EXPECT_EQ(received(), before + 1) << index;
    EXPECT_LE(gateway->upstreamConnections(), connectionsBefore)
        << index << ": connection of a malformed answer was kept";
    EXPECT_EQ(gateway->openRequests(), 0u) << index;
  }
}

// An idempotent request whose answer is incomplete is sent to another host well before its deadline.
TEST_F(GatewayTest, ResendsIdempotentRequestAfterIncompleteAnswer) {
  bool truncatedOnce = false;
  for (int i = 0; i < 2; ++i)
    host([&](const auto& peer, const Received&) {
      if (std::exchange(truncatedOnce, true)) peer->reply(200, "second");
      else peer->write("HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nhalf");
    });
  start([](json& config) { config["settings"]["ceilings"]["connectTimeoutNs"] = 50000000; });
  const auto c = client();
  c->sendRequest("GET", "/read", 2900);
  ASSERT_TRUE(until([&] { return c->answers.size() == 1; }));
  EXPECT_EQ(c->answers[0].body(), "second");
}

TEST_F(GatewayTest, DoesNotUseBytesAfterAnAnswerAsTheNextAnswer) {
  host([](const auto& peer, const Received& r) {
    const std::string body(r.target());
    peer->write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body +
                "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother");
  });
  start();
  const auto c = client();
  for (std::size_t i = 1; i <= 5; ++i) {
    c->sendRequest("GET", "/read/" + std::to_string(i), 2500);
    ASSERT_TRUE(until([&] { return c->answers.size() == i; }));
    EXPECT_EQ(c->answers.back().body(), "/read/" + std::to_string(i));
  }
  EXPECT_EQ(hosts[0]->peers.size(), 5u);
}

// With a 4xx status the fault is the request's: the client receives the status, no other host is tried, and
// the host is not counted as failing.
TEST_F(GatewayTest, PassesOnClientErrorWithoutPenalizingHost) {
  bool reject = true;
  for (int i = 0; i < 2; ++i)
    host([&](const auto& peer, const Received&) { peer->reply(reject ? 422 : 200, ""); });
  start();
  const auto c = client();
  for (std::size_t i = 1; i <= 20; ++i) {
    c->sendRequest("GET", "/read", 2500);
    ASSERT_TRUE(until([&] { return c->answers.size() == i; }));
    EXPECT_EQ(c->answers.back().result_int(), 422u);
    EXPECT_EQ(received(), i);
  }
  reject = false;
  for (std::size_t i = 21; i <= 40; ++i) {
    c->sendRequest("GET", "/read", 2500);
    ASSERT_TRUE(until([&] { return c->answers.size() == i; }));
    EXPECT_EQ(c->answers.back().result_int(), 200u);
  }
  EXPECT_GT(hosts[0]->received.size(), 5u);
  EXPECT_GT(hosts[1]->received.size(), 5u);
}

TEST_F(GatewayTest, SendsUnprocessedRequestToAnotherHost) {
  bool rejectedOnce = false;
  for (int i = 0; i < 2; ++i)
    host([&](const auto& peer, const Received&) {
      if (std::exchange(rejectedOnce, true)) peer->reply(200, "second");
      else peer->reply(503, "", "X-Unprocessed: 1\r\n");
    });
  start();
  const auto c = client();
  c->sendRequest("POST", "/book", 2500, "x");
  ASSERT_TRUE(until([&] { return c->answers.size() == 1; }));
  EXPECT_EQ(c->answers[0].body(), "second");
  EXPECT_EQ(hosts[0]->received.size(), 1u);
  EXPECT_EQ(hosts[1]->received.size(), 1u);
}

TEST_F(GatewayTest, RefusesAtOnceWhenAllHostsReject) {
  for (int i = 0; i < 2; ++i)
    host([](const auto& peer, const Received&) { peer->reply(504, "", "X-Unprocessed: 1\r\n"); });
  start();
  const auto c = client();
  const auto startTime = std::chrono::steady_clock::now();
  c->sendRequest("POST", "/book", 2900, "x");
  ASSERT_TRUE(until([&] { return c->answers.size() == 1; }));
  EXPECT_EQ(c->answers[0].result_int(), 503u);
  // Half of the client's time: ample for an immediate refusal, and less than waiting for a host would take.
  EXPECT_LT(std::chrono::steady_clock::now() - startTime, milliseconds(1450));
}

TEST_F(GatewayTest, SendsRequestToAnotherHostWhenConnectionIsRefused) {
  host(serveOk);
  const tcp::endpoint closedEndpoint = [&] { return tcp::acceptor(io, loopback()).local_endpoint(); }();
  start([&](json& config) { config["known"]["endpoints"].push_back(hostJson("s-gone", closedEndpoint)); });
  const auto c = client();
  for (std::size_t i = 1; i <= 12; ++i) {
    c->sendRequest("POST", "/book", 2500, "x");
    ASSERT_TRUE(until([&] { return c->answers.size() == i; }));
    EXPECT_EQ(c->answers.back().result_int(), 200u);
  }
  EXPECT_EQ(received(), 12u);
}

// A request must not be written to an idle connection that the host has closed.
TEST_F(GatewayTest, DoesNotUseClosedIdleConnection) {
  host(serveOk);
  start();
  const auto c = client();
  for (std::size_t i = 1; i <= 3; ++i) {
    c->sendRequest("POST", "/book", 2500, "x");
    ASSERT_TRUE(until([&] { return c->answers.size() == i; }));
    EXPECT_EQ(c->answers.back().result_int(), 200u);
    hosts[0]->peers.back()->close();  // the event loop does not run before the next request
  }
  EXPECT_EQ(hosts[0]->peers.size(), 3u);
}

TEST_F(GatewayTest, ReusesConnections) {
  host(serveOk);
  start();
  const auto c = client();
  for (std::size_t i = 1; i <= 10; ++i) {
    c->sendRequest("GET", "/read", 2500);
    ASSERT_TRUE(until([&] { return c->answers.size() == i; }));
  }
  EXPECT_EQ(hosts[0]->peers.size(), 1u);
}

TEST_F(GatewayTest, ClosesTimedOutAttemptBeforeAnswering) {
  host(hold);
  start();
  const auto c = client();
  c->sendRequest("POST", "/book", 300, "x");
  ASSERT_TRUE(until([&] { return hosts[0]->received.size() == 1; }));
  bool endedFirst = false;
  ASSERT_TRUE(until([&] {
    if (c->answers.empty() && gateway->upstreamConnections() == 0) endedFirst = true;
    return c->answers.size() == 1;
  }));
  EXPECT_TRUE(endedFirst || gateway->upstreamConnections() == 0);
  EXPECT_EQ(c->answers[0].result_int(), 502u);  // 503 would claim that it has not run
  ASSERT_TRUE(until([&] { return hosts[0]->peers[0]->ended; }));
  EXPECT_EQ(received(), 1u);
  EXPECT_EQ(gateway->openRequests(), 0u);
}

TEST_F(GatewayTest, EndsAttemptWhenClientDisconnects) {
  host(hold);
  start();
  auto c = client();
  c->sendRequest("GET", "/read", 2900);
  ASSERT_TRUE(until([&] { return hosts[0]->received.size() == 1; }));
  c->close();
  ASSERT_TRUE(until([&] { return hosts[0]->peers[0]->ended; }));
  EXPECT_EQ(gateway->openRequests(), 0u);
  EXPECT_EQ(gateway->upstreamConnections(), 0u);
}

TEST_F(GatewayTest, WaitsForFinalAnswerAfterInterimOne) {
  host([](const auto& peer, const Received&) {
    peer->write("HTTP/1.1 100 Continue\r\n\r\n");
    peer->reply(200, "final");
  });
  start();
  const auto c = client();
  c->sendRequest("GET", "/read", 2500);
  ASSERT_TRUE(until([&] { return c->answers.size() == 1; }));
  EXPECT_EQ(c->answers[0].body(), "final");
}

TEST_F(GatewayTest, PollsAgainAtOnceAndAppliesChanges) {
  host(serveOk);
  host(serveOk);
  start();
  ASSERT_TRUE(until([&] { return polls.size() == 1; }));
  EXPECT_EQ(discovery.received[0].target().substr(0, 41), "/registry/instances?since=1&timeout_ms=20");
  polls[0]->reply(200,
                  listJson(2, false, json::array({hostJson("s-0", hosts[0]->endpoint(), "leaving")})).dump());
  ASSERT_TRUE(until([&] { return polls.size() == 2; }));
  EXPECT_NE(discovery.received[1].target().find("since=2"), boost::beast::string_view::npos);
  EXPECT_EQ(discovery.peers.size(), 1u);  // on the same connection
  const auto c = client();
  for (std::size_t i = 1; i <= 12; ++i) {
    c->sendRequest("GET", "/read", 2500);
    ASSERT_TRUE(until([&] { return c->answers.size() == i; }));
  }
  EXPECT_EQ(hosts[0]->received.size(), 0u);
  EXPECT_EQ(hosts[1]->received.size(), 12u);
  // A complete list replaces the old one: hosts that it omits are removed.
  polls[1]->reply(200, listJson(3, true, json::array({hostJson("s-0", hosts[0]->endpoint())})).dump());
  ASSERT_TRUE(until([&] { return polls.size() == 3; }));
  for (std::size_t i = 13; i <= 24; ++i) {
    c->sendRequest("GET", "/read", 2500);
    ASSERT_TRUE(until([&] { return c->answers.size() == i; }));
  }
  EXPECT_EQ(hosts[0]->received.size(), 12u);
  EXPECT_EQ(hosts[1]->received.size(), 12u);
}

// Each new host gets a new name at the address of a removed one: no connections or records of the old ones
// remain.
TEST_F(GatewayTest, DropsStateAndConnectionsOfReplacedHosts) {
  host(serveOk);
  start();
  const auto c = client();
  for (int i = 1; i <= 60; ++i) {
    ASSERT_TRUE(until([&] { return polls.size() == static_cast<std::size_t>(i); }));
    c->sendRequest("GET", "/read", 2500);
    ASSERT_TRUE(until([&] { return c->answers.size() == static_cast<std::size_t>(i); }));
    json list = json::array({hostJson("n-" + std::to_string(i), hosts[0]->endpoint())});
    if (i % 2 == 0) list.push_back(hostJson("n-" + std::to_string(i - 1), hosts[0]->endpoint(), "left"));
    polls.back()->reply(200, listJson(1 + i, i % 2 == 1, list).dump());
  }
  ASSERT_TRUE(until([&] { return polls.size() == 61 && gateway->trackedHosts() == 1; }));
  EXPECT_EQ(hosts[0]->peers.size(), 60u);  // each host had connections of its own
  EXPECT_EQ(gateway->upstreamConnections(), 0u);
}

TEST_F(GatewayTest, RepeatsFailedPoll) {
  host(serveOk);
  // The backoff after failures grows up to a third of this.
  start([](json& config) { config["settings"]["rules"]["askWithinNs"] = 600000000; });
  const std::vector<std::function<void(Peer&)>> failures = {
      [](Peer& p) { p.reply(503, ""); },
      [](Peer& p) { p.close(); },
      [](Peer& p) { p.reply(200, "{\"index\":2,"); },
      [](Peer& p) { p.reply(200, "{\"index\":2,\"snapshot\":true,\"endpoints\":{}}"); },
      [](Peer& p) { p.reply(200, "{\"index\":2,\"snapshot\":true,\"endpoints\":[{\"name\":7}]}"); },
  };
  for (std::size_t i = 0; i < failures.size(); ++i) {
    ASSERT_TRUE(until([&] { return polls.size() == i + 1; })) << i;
    failures[i](*polls[i]);
  }
  ASSERT_TRUE(until([&] { return polls.size() == failures.size() + 1; }));
  EXPECT_NE(discovery.received.back().target().find("since=1"), boost::beast::string_view::npos);
  const auto c = client();  // the old list remains in use
  c->sendRequest("GET", "/read", 2500);
  ASSERT_TRUE(until([&] { return c->answers.size() == 1; }));
  EXPECT_EQ(c->answers[0].result_int(), 200u);
}

TEST_F(GatewayTest, RepeatsUnansweredPollOnNewConnection) {
  host(serveOk);
  // A short limit on silence also shortens the long poll. The second poll must come although the first is
  // never answered.
  start([](json& config) { config["settings"]["rules"]["askWithinNs"] = 400000000; });
  ASSERT_TRUE(until([&] { return polls.size() == 2; }));
  EXPECT_EQ(discovery.peers.size(), 2u);  // the silent connection is not used again
}

TEST_F(GatewayTest, ReloadRequestsCompleteListFromNewDiscoveryAndKeepsServing) {
  host(hold);
  host(serveOk);
  std::vector<std::shared_ptr<Peer>> otherPolls;
  Server other(io, [&](const auto& peer, const Received&) { otherPolls.push_back(peer); });
  start([&](json& config) { config["known"]["endpoints"].erase(1); });  // only s-0 is known
  ASSERT_TRUE(until([&] { return polls.size() == 1; }));
  const auto c = client(), held = client();
  held->sendRequest("POST", "/book", 2900, "x");
  ASSERT_TRUE(until([&] { return received() == 1; }));
  json movedConfig = configJson(other.endpoint(), json::array());
  gateway->reload(readConfig(movedConfig.dump(), clock));
  gateway->reload(readConfig(movedConfig.dump(), clock));  // the second reload cancels the first one's poll
  ASSERT_TRUE(
      until([&] { return !otherPolls.empty() && other.peers.size() == 2 && discovery.peers[0]->ended; }));
  for (const Received& r : other.received) EXPECT_EQ(r.target(), "/registry/instances");
  // The known hosts serve until the list arrives, although the new configuration names none.
  hosts[0]->handler = serveOk;
  c->sendRequest("GET", "/read", 2500);
  ASSERT_TRUE(until([&] { return c->answers.size() == 1; }));
  EXPECT_EQ(c->answers[0].result_int(), 200u);
  EXPECT_EQ(hosts[0]->received.size(), 2u);
  // The index is lower than the old discovery's, and the list omits s-0, whose open attempt continues.
  otherPolls.back()->reply(200,
                           listJson(0, true, json::array({hostJson("s-1", hosts[1]->endpoint())})).dump());
  ASSERT_TRUE(until(
      [&] { return other.received.size() >= 2 && other.received.back().target() != "/registry/instances"; }));
  EXPECT_NE(other.received.back().target().find("since=0&"), boost::beast::string_view::npos);
  c->sendRequest("GET", "/read", 2500);
  ASSERT_TRUE(until([&] { return c->answers.size() == 2; }));
  EXPECT_EQ(hosts[1]->received.size(), 1u);
  hosts[0]->peers[0]->reply(200, "held");
  ASSERT_TRUE(until([&] { return held->answers.size() == 1; }));
  EXPECT_EQ(held->answers[0].body(), "held");
}

// Hundreds of gateways may be moved to a new discovery at once, which could not serve hundreds of complete
// lists at that moment. The new configuration contains a list and its version, so only later changes are
// requested.
TEST_F(GatewayTest, ReloadRequestsChangesSinceListOfNewConfiguration) {
  for (int i = 0; i < 4; ++i) host(serveOk);
  const json all = hostListJson();
  std::vector<std::shared_ptr<Peer>> otherPolls;
  Server other(io, [&](const auto& peer, const Received&) { otherPolls.push_back(peer); });
  start([&](json& config) { config["known"]["endpoints"] = json::array({all[0], all[1]}); });
  const auto c = client();
  json movedConfig = configJson(other.endpoint(), json::array({all[1], all[2]}));
  movedConfig["known"]["index"] = 7;
  gateway->reload(readConfig(movedConfig.dump(), clock));
  ASSERT_TRUE(until([&] { return otherPolls.size() == 1; }));
  EXPECT_EQ(other.received[0].target(), "/registry/instances?since=7&timeout_ms=500");
  expectServed(*c, 10);  // before the poll is answered, the old list is in use
  EXPECT_EQ(hosts[0]->received.size() + hosts[1]->received.size(), 10u);
  const std::size_t gone = hosts[0]->received.size();
  // Since that version s-2 drains and s-3 is new. s-0 is in neither list of the new discovery, so it is
  // removed.
  json leaving = all[2];
  leaving["status"] = "leaving";
  otherPolls[0]->reply(200, listJson(9, false, json::array({leaving, all[3]})).dump());
  ASSERT_TRUE(until([&] { return otherPolls.size() == 2; }));
  EXPECT_NE(other.received[1].target().find("since=9&"), boost::beast::string_view::npos);
  const std::size_t before = hosts[1]->received.size();
  expectServed(*c, 20);
  EXPECT_EQ(hosts[0]->received.size(), gone);
  EXPECT_EQ(hosts[2]->received.size(), 0u);
  EXPECT_EQ(hosts[1]->received.size() - before + hosts[3]->received.size(), 20u);
  EXPECT_GT(hosts[3]->received.size(), 0u);
  EXPECT_EQ(gateway->metrics().listedHosts, 3u);
  // Later changes apply to the resulting list: s-1 is removed, the others stay.
  json left = all[1];
  left["status"] = "left";
  otherPolls[1]->reply(200, listJson(10, false, json::array({left})).dump());
  ASSERT_TRUE(until([&] { return otherPolls.size() == 3; }));
  EXPECT_EQ(gateway->metrics().listedHosts, 2u);
}

TEST_F(GatewayTest, ReloadAcceptsCompleteListInsteadOfChanges) {
  for (int i = 0; i < 3; ++i) host(serveOk);
  const json all = hostListJson();
  std::vector<std::shared_ptr<Peer>> otherPolls;
  Server other(io, [&](const auto& peer, const Received&) { otherPolls.push_back(peer); });
  start();
  json movedConfig = configJson(other.endpoint(), json::array({all[0], all[1]}));
  gateway->reload(readConfig(movedConfig.dump(), clock));
  ASSERT_TRUE(until([&] { return otherPolls.size() == 1; }));
  otherPolls[0]->reply(200, listJson(2, true, json::array({all[2]})).dump());
  ASSERT_TRUE(until([&] { return otherPolls.size() == 2; }));
  EXPECT_EQ(gateway->metrics().listedHosts, 1u);
  EXPECT_TRUE(gateway->isListed("s-2"));
}

// The new discovery starts its versions at 1 again, and the configuration has a version of the old one.
// Changes since that version are incomplete and could omit a drain, so a complete list is needed.
TEST_F(GatewayTest, RequestsCompleteListWhenVersionGoesBack) {
  host(serveOk);
  Server other(io, [&](const auto& peer, const Received& poll) {
    if (poll.target() == "/registry/instances") peer->reply(200, listJson(3, true, hostListJson()).dump());
    else if (other.received.size() == 1) peer->reply(200, listJson(3, false, json::array()).dump());
  });
  start([](json& config) { config["settings"]["rules"]["askWithinNs"] = 600000000; });
  json movedConfig = configJson(other.endpoint(), hostListJson());
  movedConfig["known"]["index"] = 7;
  gateway->reload(readConfig(movedConfig.dump(), clock));
  ASSERT_TRUE(until([&] { return other.received.size() == 3; }));
  EXPECT_EQ(other.received[0].target().substr(0, 27), "/registry/instances?since=7");
  EXPECT_EQ(other.received[1].target(), "/registry/instances");
  EXPECT_EQ(other.received[2].target().substr(0, 27), "/registry/instances?since=3");
}

// Lists are pushed, and the poll breaks while the gateway drains. The gateway still sends requests, so it
// needs the list to avoid draining hosts.
TEST_F(GatewayTest, ReopensLostPollDuringDrainWhenListsArePushed) {
  host(serveOk);
  host(serveOk);
  start([](json& config) { config["settings"]["registryMode"] = "push"; });
  ASSERT_TRUE(until([&] { return polls.size() == 1; }));
  const auto c = client();
  c->sendRequest("GET", "/read", 2500);
  ASSERT_TRUE(until([&] { return c->answers.size() == 1; }));
  bool done = false;
  gateway->drain([&] { done = true; });
  polls[0]->close();
  ASSERT_TRUE(until([&] { return polls.size() == 2 || done; }));
  ASSERT_EQ(polls.size(), 2u);
  const json all = hostListJson();
  json leaving = all[0];
  leaving["status"] = "leaving";
  polls[1]->reply(200, listJson(2, false, json::array({leaving})).dump());
  ASSERT_TRUE(until([&] { return polls.size() == 3; }));
  const std::size_t before = hosts[0]->received.size();
  expectServed(*c, 10);
  EXPECT_EQ(hosts[0]->received.size(), before);
  c->close();
  ASSERT_TRUE(until([&] { return done; }));
}

// Changes refer to a list of the same discovery. Right after a move there is none.
TEST_F(GatewayTest, ReloadDoesNotTakeChangesForCompleteList) {
  host(serveOk);
  Server other(io, [&](const auto& peer, const Received&) {
    peer->reply(200, listJson(9, false, json::array()).dump());
  });
  start([](json& config) { config["settings"]["rules"]["askWithinNs"] = 600000000; });
  gateway->reload(readConfig(configJson(other.endpoint(), json::array()).dump(), clock));
  ASSERT_TRUE(until([&] { return other.received.size() == 2; }));
  EXPECT_EQ(other.received[1].target(), "/registry/instances");
}

// A gateway may be the only one near its clients: those disconnected at once would find none until it
// restarts.
TEST_F(GatewayTest, DrainKeepsServingOpenConnections) {
  host(serveOk);
  const auto shortDeadlines = [](json& c) {
    for (json& g : c["settings"]["grades"]) g["giveUpNs"] = 600'000'000, g["aimNs"] = 500'000'000;
  };
  start(shortDeadlines);
  const auto c = client();
  c->sendRequest("GET", "/read", 500);
  ASSERT_TRUE(until([&] { return c->answers.size() == 1; }));
  bool done = false;
  gateway->drain([&] { done = true; });
  EXPECT_FALSE(gateway->ready());
  std::size_t keepAliveAnswers = 1;
  while (!c->ended) {
    const std::size_t before = c->answers.size();
    c->sendRequest("GET", "/read", 500);
    if (!until([&] { return c->answers.size() > before || c->ended; }) || c->ended) break;
    keepAliveAnswers += c->answers.back().keep_alive();
  }
  // All answers but the last keep the connection; the last one announces its close.
  EXPECT_GT(keepAliveAnswers, 10u);
  EXPECT_EQ(c->answers.size(), keepAliveAnswers + 1);
  EXPECT_FALSE(c->answers.back().keep_alive());
  ASSERT_TRUE(until([&] { return done; }));
}

// A request that is open at the end of the process gets one answer, a 502, which leaves open whether it ran.
TEST_F(GatewayTest, FailsRequestsThatAreOpenAtTheEndOfDrain) {
  host(hold);
  start([](json& c) {
    for (json& g : c["settings"]["grades"]) g["giveUpNs"] = 1'500'000'000, g["aimNs"] = 1'400'000'000;
  });
  const auto c = client();
  c->write("GET /health/live HTTP/1.1\r\n\r\n");
  ASSERT_TRUE(until([&] { return c->answers.size() == 1; }));
  c->answers.clear();
  bool done = false;
  const auto startTime = std::chrono::steady_clock::now();
  gateway->drain([&] { done = true; });
  ASSERT_TRUE(until([&] { return std::chrono::steady_clock::now() - startTime > milliseconds(900); }));
  c->sendRequest("POST", "/book", 1500, "x");  // its deadline is after the end of the process
  ASSERT_TRUE(until([&] { return c->answers.size() == 1 || done; }));
  ASSERT_EQ(c->answers.size(), 1u);
  EXPECT_EQ(c->answers[0].result_int(), 502u);
  ASSERT_TRUE(until([&] { return done; }));
  EXPECT_EQ(gateway->openRequests(), 0u);
}

// The platform kills the process 0.7 s after the longest deadline, of which it counts at most 3 s.
TEST_F(GatewayTest, DrainAllowsAtMostThreeSecondsOfLongestDeadline) {
  host(hold);
  start([](json& c) {
    for (json& g : c["settings"]["grades"]) g["giveUpNs"] = 9'000'000'000;
  });
  const auto c = client();
  c->sendRequest("POST", "/book", 9000, "x");
  ASSERT_TRUE(until([&] { return hosts[0]->received.size() == 1; }));
  bool done = false;
  const auto startTime = std::chrono::steady_clock::now();
  gateway->drain([&] { done = true; });
  ASSERT_TRUE(
      until([&] { return done || std::chrono::steady_clock::now() - startTime > std::chrono::seconds(6); }));
  EXPECT_TRUE(done) << "still draining 6 s after the drain began";
  ASSERT_EQ(c->answers.size(), 1u);  // before the end of the process, and 502: it may have run
  EXPECT_EQ(c->answers[0].result_int(), 502u);
  EXPECT_EQ(gateway->openRequests(), 0u);
}

TEST_F(GatewayTest, DrainAnswersAcceptedRequestsAndThenEnds) {
  host(hold);
  drainServeTimeOverride = Duration{};  // connections are closed after their next answer
  start();
  const auto held = client(), idle = client();
  held->sendRequest("GET", "/read", 2900);
  idle->write("GET /health/ready HTTP/1.1\r\n\r\n");
  ASSERT_TRUE(until([&] { return hosts[0]->received.size() == 1 && idle->answers.size() == 1; }));
  EXPECT_EQ(idle->answers[0].result_int(), 200u);
  int done = 0;
  gateway->drain([&] { ++done; });
  hosts[0]->handler = serveOk;
  const auto late = client();  // clients keep connecting for a while after the drain began
  late->sendRequest("GET", "/read", 2500);
  ASSERT_TRUE(until([&] { return late->answers.size() == 1; }));
  EXPECT_EQ(late->answers[0].result_int(), 200u);
  EXPECT_FALSE(late->answers[0].keep_alive());
  idle->write("GET /health/ready HTTP/1.1\r\n\r\n");
  ASSERT_TRUE(until([&] { return idle->answers.size() == 2; }));
  EXPECT_EQ(idle->answers[1].result_int(), 503u);
  EXPECT_EQ(done, 0);
  const tcp::endpoint at = gateway->endpoint();
  const auto queued = Client::connect(io, at);  // in the accept queue, since the event loop has not run
  hosts[0]->peers[0]->reply(200, "at last");
  ASSERT_TRUE(until([&] { return held->answers.size() == 1; }));
  EXPECT_EQ(held->answers[0].body(), "at last");
  ASSERT_TRUE(until([&] { return done == 1; }));
  EXPECT_EQ(gateway->openRequests(), 0u);
  tcp::socket refused(io);
  error_code error;
  refused.connect(at, error);
  EXPECT_TRUE(error);
}

// At the connection limit, connections without an open request are closed in favour of new ones. If all have
// one, the new connection is refused.
TEST_F(GatewayTest, ClosesSilentClientsBeforeThoseWithOpenRequests) {
  host(hold);
  start([](json& config) { config["limits"]["sockets"] = 16; });
  std::vector<std::shared_ptr<Client>> activeClients, silent;
  for (int i = 0; i < 4; ++i) {
    activeClients.push_back(client());
    activeClients.back()->sendRequest("GET", "/read", 2900);
  }
  ASSERT_TRUE(until([&] { return received() == 4; }));
  for (int i = 0; i < 60; ++i) silent.push_back(client());
  ASSERT_TRUE(until([&] {
    return std::count_if(silent.begin(), silent.end(), [](const auto& c) { return c->ended; }) >= 56;
  }));
  for (const auto& peer : hosts[0]->peers) peer->reply(200, "ok");
  ASSERT_TRUE(until([&] {
    return std::all_of(activeClients.begin(), activeClients.end(),
                       [](const auto& c) { return c->answers.size() == 1; });
  }));
  hosts[0]->handler = hold;
  for (int i = 0; i < 8; ++i) {
    activeClients.push_back(client());
    activeClients.back()->sendRequest("GET", "/read", 2900);
    ASSERT_TRUE(until([&] { return received() == static_cast<std::size_t>(5 + i); }));
  }
  const auto late = client();
  late->sendRequest("GET", "/read", 2900);
  ASSERT_TRUE(until([&] { return late->ended; }));
  ASSERT_EQ(late->answers.size(), 1u);
  EXPECT_EQ(late->answers[0].result_int(), 503u);
}

TEST_F(GatewayTest, ClosesLongestIdleClientsBeyondIdleShare) {
  host(serveOk);
  // 16 descriptors for the process itself and 32 for clients, of which a third may be idle.
  start([](json& config) { config["limits"]["sockets"] = 80; });
  std::vector<std::shared_ptr<Client>> idleClients;
  for (int i = 0; i < 25; ++i) {
    idleClients.push_back(client());
    idleClients.back()->sendRequest("GET", "/read", 2500);
    ASSERT_TRUE(until([&] { return idleClients.back()->answers.size() == 1; }));
    EXPECT_EQ(idleClients.back()->answers[0].result_int(), 200u);
  }
  ASSERT_TRUE(until([&] { return gateway->clientConnections() == 10; }));
  ASSERT_TRUE(until([&] { return idleClients[14]->ended; }));
  EXPECT_FALSE(idleClients[15]->ended);  // the longest idle were closed first
}

TEST_F(GatewayTest, RecoversFromRunningOutOfDescriptors) {
  host(serveOk);
  start();
  tcp::socket probe(io);
  probe.open(tcp::v4());
  rlimit before{};
  ASSERT_EQ(getrlimit(RLIMIT_NOFILE, &before), 0);
  rlimit tight = before;
  tight.rlim_cur = static_cast<rlim_t>(probe.native_handle()) + 1;  // none is left, so accept fails
  probe.close();
  auto c = std::make_unique<tcp::socket>(io);
  c->open(tcp::v4());  // takes the last descriptor
  ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &tight), 0);
  c->connect(gateway->endpoint());
  asio::write(*c, asio::buffer(std::string("GET /health/live HTTP/1.1\r\n\r\n")));
  int loopRuns = 0;
  runUntil(io, [&] { return ++loopRuns > 10; });
  EXPECT_EQ(gateway->clientConnections(), 0u);
  ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &before), 0);
  ASSERT_TRUE(until([&] { return c->available() > 0; }));
  std::string answer(c->available(), '\0');
  asio::read(*c, asio::buffer(answer));
  EXPECT_EQ(answer.substr(0, 12), "HTTP/1.1 200");
}

TEST_F(GatewayTest, KeepsClientConnectionsWithinDescriptorShare) {
  host(serveOk);
  start([](json& config) { config["limits"]["sockets"] = 27; });  // 6 for the process itself, 10 for clients
  std::vector<std::shared_ptr<Client>> manyClients;
  for (int i = 0; i < 40; ++i) manyClients.push_back(client());
  const auto left = [&] {
    return std::count_if(manyClients.begin(), manyClients.end(), [](const auto& c) { return !c->ended; });
  };
  ASSERT_TRUE(until([&] { return left() <= 10; }));
  EXPECT_LE(gateway->clientConnections(), 10u);
  ASSERT_GT(left(), 0);
  Client& alive =
      **std::find_if(manyClients.begin(), manyClients.end(), [](const auto& c) { return !c->ended; });
  alive.sendRequest("GET", "/read", 2500);
  ASSERT_TRUE(until([&] { return alive.answers.size() == 1; }));
  EXPECT_EQ(alive.answers[0].result_int(), 200u);
}

}  // namespace
}  // namespace finchstile::testing
