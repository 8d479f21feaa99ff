// The gateway over loopback sockets.
#include <sys/resource.h>

#include "support/gateway_fixture.hpp"

namespace finchstile::testing {
namespace {

using std::chrono::milliseconds;

TEST_F(GatewayTest, PassesRequestAndAnswerOnUnchanged) {
  const std::string odd("a\0b\r\n\r\n\xff", 8);
  host([&](const auto& peer, const Received&) { peer->reply(200, odd + "!"); });
  start();
  const auto c = client();
  c->sendRequest("POST", "/put/x%20y?a=1&b=%2f", 2500, odd, "Idempotency-Key: key-7\r\nX-Account: acme\r\n");
  ASSERT_TRUE(until([&] { return c->answers.size() == 1; }));
  EXPECT_EQ(c->answers[0].result_int(), 200u);
  EXPECT_EQ(c->answers[0].body(), odd + "!");
  const Received& r = hosts[0]->received.at(0);
  EXPECT_EQ(r.method(), http::verb::post);
  EXPECT_EQ(r.target(), "/put/x%20y?a=1&b=%2f");
  EXPECT_EQ(r.body(), odd);
  EXPECT_EQ(r["X-Correlation-Id"], c->id);
  EXPECT_EQ(r["Idempotency-Key"], "key-7");
  const int left = std::stoi(std::string(r["X-Time-Left-Ms"]));
  EXPECT_GT(left, 0);
  EXPECT_LE(left, 2500);
}

TEST_F(GatewayTest, AnswersBadInputItself) {
  host(serveOk);
  start();
  const std::string book = "POST /book HTTP/1.1\r\nX-Correlation-Id: i\r\nX-Time-Left-Ms: 900\r\n";
  const std::string get = "GET /read HTTP/1.1\r\nX-Correlation-Id: i\r\n", left = "X-Time-Left-Ms: 900\r\n";
  const std::string smuggled = "GET /read HTTP/1.1\r\nX-Correlation-Id: j\r\n" + left + "\r\n";
  std::string manyLines = get;  // a head without end, in short lines
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
      // No id, two, none of the classes, and what does not fit the class.
      {"GET /read HTTP/1.1\r\n" + left + "\r\n", 400},
      {get + "X-Correlation-Id: k\r\n" + left + "\r\n", 400},
      {"GET /nothing HTTP/1.1\r\nX-Correlation-Id: i\r\n" + left + "\r\n", 404},
      {"POST /read HTTP/1.1\r\nX-Correlation-Id: i\r\n" + left + "Content-Length: 0\r\n\r\n", 405},
      {"GET /book HTTP/1.1\r\nX-Correlation-Id: i\r\n" + left + "\r\n", 405},
      {get + left + "Content-Length: 1\r\n\r\nx", 400},
      {book + "Idempotency-Key: k\r\nContent-Length: 1\r\n\r\nx", 400},
      {"POST /put HTTP/1.1\r\nX-Correlation-Id: i\r\n" + left + "Content-Length: 1\r\n\r\nx", 400},
      // Lengths that two readers could take differently.
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
    ASSERT_TRUE(until([&] { return c->ended; }));  // whatever followed on that connection is not read
    EXPECT_EQ(c->answers.size(), 1u);
  }
  EXPECT_EQ(received(), 0u);
  const auto c = client();  // the largest body that is allowed
  c->sendRequest("POST", "/book", 2500, std::string(65536, 'x'));
  ASSERT_TRUE(until([&] { return c->answers.size() == 1; }));
  EXPECT_EQ(c->answers[0].result_int(), 200u);
}

// Under the id of a request that is still open a host would see a second copy.
TEST_F(GatewayTest, IdThatIsOpenIsTurnedDown) {
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
  third->write(bytes);  // over: nothing of it is kept
  ASSERT_TRUE(until([&] { return third->answers.size() == 1; }));
  EXPECT_EQ(third->answers[0].result_int(), 200u);
}

TEST_F(GatewayTest, SilentAndSlowClientsAreEndedSoon) {
  host(serveOk);
  start();
  const auto silent = client(), half = client(), dribbling = client(), later = client(), body = client();
  half->write("GET /re");
  body->write("POST /book HTTP/1.1\r\nX-Correlation-Id: b\r\nContent-Length: 9\r\n\r\nx");
  later->sendRequest("GET", "/read", 2500);
  ASSERT_TRUE(until([&] { return later->answers.size() == 1; }));
  const auto begun = std::chrono::steady_clock::now();
  later->write("GET /re");  // the second request of a connection
  auto next = begun;
  ASSERT_TRUE(until([&] {
    if (std::chrono::steady_clock::now() >= next && !dribbling->ended) {
      error_code ignored;
      asio::write(dribbling->socket, asio::buffer(std::string("a")), ignored);
      next += milliseconds(50);
    }
    return silent->ended && half->ended && dribbling->ended && later->ended && body->ended;
  }));
  EXPECT_TRUE(silent->answers.empty());  // nothing was asked
  for (const auto& c : {half, dribbling, body}) {
    ASSERT_EQ(c->answers.size(), 1u);
    EXPECT_EQ(c->answers[0].result_int(), 408u);
  }
  EXPECT_EQ(later->answers.at(1).result_int(), 408u);
  ASSERT_TRUE(until([&] { return gateway->clientConnections() == 0; }));
}

// Behind bytes of a next request, the end of the client is seen all the same.
TEST_F(GatewayTest, PipeliningClientThatLeavesEndsItsAttempt) {
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

// A body far too long costs one answer: the rest of it is not read to its end.
TEST_F(GatewayTest, HugeBodyIsAnsweredAtOnceAndNotReadOn) {
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

TEST_F(GatewayTest, TellsAClientThatWaitsForTheWordToGoOn) {
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

TEST_F(GatewayTest, PipelinedRequestsAreAnsweredInTurn) {
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

// An outcome that proves nothing: an unsafe request fails, and no second host sees it.
TEST_F(GatewayTest, UnsafeRequestIsNotResentWhenItMayHaveRun) {
  const std::vector<std::string> answers = {
      "",                                                              // the connection just ends
      "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc",              // cut short
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",  // the same, in chunks
      "nonsense\r\n\r\n",
      "HTTP/1.1 200 OK\r\nContent-Length: 33554433\r\n\r\n" + std::string(65537, 'x'),
      "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n",
      "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n",  // no mark: it may have run
      "HTTP/1.1 503 X\r\nX-Unprocessed: 0\r\nContent-Length: 0\r\n\r\n",
  };
  std::size_t at = 0;
  for (int i = 0; i < 2; ++i)
    host([&](const auto& peer, const Received& r) {
      if (r.target() == "/read") return peer->reply(200, "ok");
      error_code ignored;
      asio::write(peer->socket, asio::buffer(answers[at]), ignored);
      peer->close();
    });
  start();
  const auto usual = client();
  for (; at < answers.size(); ++at) {
    // Danger: hosts that answer nothing but nonsense are an overload, and on a slow machine the cut refuses
    // what this test asks.
    serve(*usual, 20);
    const std::size_t before = received();
    const auto c = client();
    c->sendRequest("POST", "/book", 2500, "x");
    ASSERT_TRUE(until([&] { return c->answers.size() == 1; })) << at;
    EXPECT_EQ(c->answers[0].result_int(), 502u) << at;
    EXPECT_EQ(received(), before + 1) << at;
  }
}

// Accepts, and resets at the first bytes: as a host that forgot the connection does, or one behind a box that
// ends idle ones and does not tell.
class Resetter {
 public:
  explicit Resetter(asio::io_context& io) : acceptor_(io, loopback()) { accept(); }
  tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }
  std::string got;  // of the last connection
  int resets = 0;

 private:
  void accept() {
    acceptor_.async_accept([this](error_code error, tcp::socket s) {
      if (error) return;
      const auto peer = std::make_shared<tcp::socket>(std::move(s));
      got.resize(100000);
      peer->async_read_some(asio::buffer(got), [this, peer](error_code, std::size_t n) {
        got.resize(n);
        ++resets;
        peer->set_option(asio::socket_base::linger(true, 0));
        peer->close();
      });
      accept();
    });
  }
  tcp::acceptor acceptor_;
};

// A connection that turns out dead when it is written to: the request has not run, so it is asked for anew.
TEST_F(GatewayTest, UnsafeRequestOutlivesAConnectionThatIsDead) {
  Resetter dead(io);
  host(serveOk);
  proofLeast = milliseconds(100);  // not so long that the host would be taken for silent
  start([&](json& config) { config["known"]["endpoints"].push_back(hostJson("s-dead", dead.endpoint())); });
  const std::vector<std::pair<std::string, std::string>> kinds = {{"/book", ""},
                                                                  {"/put", "Idempotency-Key: k\r\n"}};
  for (std::size_t i = 0; i < kinds.size(); ++i)
    for (const int before = dead.resets; dead.resets == before;) {  // until the draw falls on it
      const auto c = client();
      c->sendRequest("POST", kinds[i].first, 2900, "body", kinds[i].second);
      ASSERT_TRUE(until([&] { return c->answers.size() == 1; }));
      EXPECT_EQ(c->answers[0].result_int(), 200u) << kinds[i].first;
      EXPECT_EQ(hosts[0]->received.back()["X-Correlation-Id"], c->id);
      EXPECT_EQ(hosts[0]->received.back().body(), "body");
    }
  EXPECT_EQ(dead.got.substr(dead.got.size() - 3), "bod");  // all but the last byte
}

// While requests are lost without a word, one that may be repeated does not wait out its time for the first.
TEST_F(GatewayTest, SafeRequestOutlivesOneThatIsLost) {
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
  losing = true;  // these are given up when their time is over
  std::vector<std::shared_ptr<Client>> many;
  for (int i = 0; i < 12; ++i) many.push_back(client());
  for (const auto& m : many) m->sendRequest("GET", "/read", 300);
  ASSERT_TRUE(until([&] {
    return std::all_of(many.begin(), many.end(), [](const auto& m) { return m->answers.size() == 1; });
  }));
  const std::size_t before = lost;
  c->sendRequest("GET", "/read", 2900);
  ASSERT_TRUE(until([&] { return lost > before; }));
  losing = false;
  ASSERT_TRUE(until([&] { return c->answers.size() == 41; }));
  EXPECT_EQ(c->answers.back().result_int(), 200u);
  EXPECT_EQ(c->answers.back().body(), "ok");
}

// Spoilt answers whose connection stays open: a failed attempt that may have run, ended soon, and no trace
// left.
TEST_F(GatewayTest, SpoiltAnswersAreFailedAttempts) {
  const std::string ok = "HTTP/1.1 200 OK\r\n", fine = "Content-Length: 2\r\n";
  std::string manyLines = ok;
  for (int i = 0; i < 2000; ++i) manyLines += "X-A: 123456\r\n";
  std::string interims;
  for (int i = 0; i < 50; ++i) interims += "HTTP/1.1 103 Early\r\nLink: </a>\r\n\r\n";
  const std::vector<std::string> answers = {
      "nonsense, and more of it",
      "\r\n\r\n\r\n",
      ok,  // a head that stops
      manyLines,
      ok + "X-A: " + std::string(20000, 'x'),
      ok + "Content-Length: -2\r\n\r\nok",
      ok + "Content-Length: 3221225472\r\n\r\nok",
      ok + "Content-Length: 99999999999999999999999\r\n\r\nok",
      ok + fine + fine + "\r\nok",
      ok + fine + "Content-Length: 3\r\n\r\nok",
      ok + "Content-Length: 2, 2\r\n\r\nok",
      ok + fine + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
      ok + "Transfer-Encoding: gzip\r\n" + fine + "\r\nok",
      ok + "Content-Length: 9\r\n\r\nok",                    // the rest never comes
      ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",  // no end
      ok + "Transfer-Encoding: chunked\r\n\r\n1;" + std::string(60000, 'x'),
      ok + "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
      ok + "\r\nok",                                                      // ended by close, if ever
      "HTTP/1.1 503 X\r\nX-Unprocessed: 1\r\n" + fine + fine + "\r\nok",  // proves nothing
      interims,
  };
  std::size_t at = 0;
  bool good = true;
  for (int i = 0; i < 2; ++i)
    host([&](const auto& peer, const Received&) {
      error_code ignored;
      if (good) peer->reply(200, "ok");
      else asio::write(peer->socket, asio::buffer(answers[at]), ignored);
    });
  start();
  const auto usual = client();
  for (; at < answers.size(); ++at) {
    // Danger: hosts that answer nothing but nonsense are an overload, and the cut refuses what this test
    // asks. Among twenty good answers, however long they take, one is a trouble of its own.
    good = true;
    serve(*usual, 20, "POST", "/book", "x");
    ASSERT_FALSE(HasFailure()) << at;
    good = false;
    const std::size_t before = received(), kept = gateway->upstreamConnections();
    const auto c = client();
    c->sendRequest("POST", "/book", 2500, "x");
    ASSERT_TRUE(until([&] { return c->answers.size() == 1; })) << at;
    EXPECT_EQ(c->answers[0].result_int(), 502u) << at;
    EXPECT_EQ(received(), before + 1) << at;
    EXPECT_LE(gateway->upstreamConnections(), kept) << at << ": that of the spoilt answer is not kept";
    EXPECT_EQ(gateway->openRequests(), 0u) << at;
  }
}

// A safe request whose answer was spoilt is answered by another host, long before its time is up.
TEST_F(GatewayTest, SafeRequestIsSentAgainAfterASpoiltAnswer) {
  bool spoilt = false;
  for (int i = 0; i < 2; ++i)
    host([&](const auto& peer, const Received&) {
      if (std::exchange(spoilt, true)) peer->reply(200, "second");
      else peer->write("HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nhalf");
    });
  start([](json& config) { config["settings"]["ceilings"]["connectTimeoutNs"] = 50000000; });
  const auto c = client();
  c->sendRequest("GET", "/read", 2900);
  ASSERT_TRUE(until([&] { return c->answers.size() == 1; }));
  EXPECT_EQ(c->answers[0].body(), "second");
}

TEST_F(GatewayTest, WhatComesBehindAnAnswerIsNeverTheNextOne) {
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

// The request is at fault: no other host is asked, the host is not blamed, the client is told its status.
TEST_F(GatewayTest, RejectedRequestFailsWithoutBlame) {
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

TEST_F(GatewayTest, TurnedAwayRequestGoesToAnotherHost) {
  bool turned = false;
  for (int i = 0; i < 2; ++i)
    host([&](const auto& peer, const Received&) {
      if (std::exchange(turned, true)) peer->reply(200, "second");
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

TEST_F(GatewayTest, RefusesAtOnceWhenAllTurnAway) {
  for (int i = 0; i < 2; ++i)
    host([](const auto& peer, const Received&) { peer->reply(504, "", "X-Unprocessed: 1\r\n"); });
  start();
  const auto c = client();
  const auto begun = std::chrono::steady_clock::now();
  c->sendRequest("POST", "/book", 2900, "x");
  ASSERT_TRUE(until([&] { return c->answers.size() == 1; }));
  EXPECT_EQ(c->answers[0].result_int(), 503u);
  // Half of the client's time is far more than this takes, and far less than holding it back would.
  EXPECT_LT(std::chrono::steady_clock::now() - begun, milliseconds(1450));
}

TEST_F(GatewayTest, ConnectionRefusedNeverRanAndIsTriedElsewhere) {
  host(serveOk);
  const tcp::endpoint nobody = [&] { return tcp::acceptor(io, loopback()).local_endpoint(); }();
  start([&](json& config) { config["known"]["endpoints"].push_back(hostJson("s-gone", nobody)); });
  const auto c = client();
  for (std::size_t i = 1; i <= 12; ++i) {
    c->sendRequest("POST", "/book", 2500, "x");
    ASSERT_TRUE(until([&] { return c->answers.size() == i; }));
    EXPECT_EQ(c->answers.back().result_int(), 200u);
  }
  EXPECT_EQ(received(), 12u);
}

// A host that closes an idle connection: the next request must not be written to it.
TEST_F(GatewayTest, ClosedIdleConnectionIsNotPicked) {
  host(serveOk);
  start();
  const auto c = client();
  for (std::size_t i = 1; i <= 3; ++i) {
    c->sendRequest("POST", "/book", 2500, "x");
    ASSERT_TRUE(until([&] { return c->answers.size() == i; }));
    EXPECT_EQ(c->answers.back().result_int(), 200u);
    hosts[0]->peers.back()->close();  // no turn of the loop between this and the next request
  }
  EXPECT_EQ(hosts[0]->peers.size(), 3u);
}

TEST_F(GatewayTest, ConnectionsAreReused) {
  host(serveOk);
  start();
  const auto c = client();
  for (std::size_t i = 1; i <= 10; ++i) {
    c->sendRequest("GET", "/read", 2500);
    ASSERT_TRUE(until([&] { return c->answers.size() == i; }));
  }
  EXPECT_EQ(hosts[0]->peers.size(), 1u);
}

TEST_F(GatewayTest, AttemptThatTimesOutIsClosedBeforeTheAnswer) {
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
  EXPECT_EQ(c->answers[0].result_int(), 502u);  // it may have run: no refusal
  ASSERT_TRUE(until([&] { return hosts[0]->peers[0]->ended; }));
  EXPECT_EQ(received(), 1u);
  EXPECT_EQ(gateway->openRequests(), 0u);
}

TEST_F(GatewayTest, ClientThatLeavesEndsItsAttempt) {
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

TEST_F(GatewayTest, InterimAnswerIsNotTheFinalOne) {
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

TEST_F(GatewayTest, WatchFollowsAtOnceAndChangesAreHeeded) {
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
  // A whole list replaces: what it leaves out is gone.
  polls[1]->reply(200, listJson(3, true, json::array({hostJson("s-0", hosts[0]->endpoint())})).dump());
  ASSERT_TRUE(until([&] { return polls.size() == 3; }));
  for (std::size_t i = 13; i <= 24; ++i) {
    c->sendRequest("GET", "/read", 2500);
    ASSERT_TRUE(until([&] { return c->answers.size() == i; }));
  }
  EXPECT_EQ(hosts[0]->received.size(), 12u);
  EXPECT_EQ(hosts[1]->received.size(), 12u);
}

// Hosts are replaced under new names, at the address of one that has gone: nothing is kept of the old ones.
TEST_F(GatewayTest, ReplacedHostsAreForgottenAndLeaveNothingToTheNew) {
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

TEST_F(GatewayTest, FailedWatchIsAskedForAgain) {
  host(serveOk);
  // The module waits longer after each failure, up to a third of this.
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
  const auto c = client();  // the old list stands
  c->sendRequest("GET", "/read", 2500);
  ASSERT_TRUE(until([&] { return c->answers.size() == 1; }));
  EXPECT_EQ(c->answers[0].result_int(), 200u);
}

TEST_F(GatewayTest, SilentWatchIsAskedForAgain) {
  host(serveOk);
  // A short limit on silence, hence a short wait: the second call must come though the first is never
  // answered.
  start([](json& config) { config["settings"]["rules"]["askWithinNs"] = 400000000; });
  ASSERT_TRUE(until([&] { return polls.size() == 2; }));
  EXPECT_EQ(discovery.peers.size(), 2u);  // the silent connection is not used again
}

TEST_F(GatewayTest, ReloadAsksTheNewDiscoveryForAWholeListAndKeepsServing) {
  host(hold);
  host(serveOk);
  std::vector<std::shared_ptr<Peer>> others;
  Server other(io, [&](const auto& peer, const Received&) { others.push_back(peer); });
  start([&](json& config) { config["known"]["endpoints"].erase(1); });  // only s-0 is known
  ASSERT_TRUE(until([&] { return polls.size() == 1; }));
  const auto c = client(), held = client();
  held->sendRequest("POST", "/book", 2900, "x");
  ASSERT_TRUE(until([&] { return received() == 1; }));
  json moved = configJson(other.endpoint(), json::array());
  gateway->reload(readConfig(moved.dump(), clock));
  gateway->reload(readConfig(moved.dump(), clock));  // twice on end: the first call is dropped
  ASSERT_TRUE(until([&] { return !others.empty() && other.peers.size() == 2 && discovery.peers[0]->ended; }));
  for (const Received& r : other.received) EXPECT_EQ(r.target(), "/registry/instances");
  // The known hosts serve until the list comes, though the new file named none.
  hosts[0]->handler = serveOk;
  c->sendRequest("GET", "/read", 2500);
  ASSERT_TRUE(until([&] { return c->answers.size() == 1; }));
  EXPECT_EQ(c->answers[0].result_int(), 200u);
  EXPECT_EQ(hosts[0]->received.size(), 2u);
  // A lower index than the old discovery's, and a list without s-0; what is in hand there goes on.
  others.back()->reply(200, listJson(0, true, json::array({hostJson("s-1", hosts[1]->endpoint())})).dump());
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

// Hard case: hundreds of gateways move at once, and discovery has no time for hundreds of whole lists. The
// file names what it had and as of which version: only what has changed since is asked for.
TEST_F(GatewayTest, ReloadAsksWhatHasChangedSinceTheListOfTheNewFile) {
  for (int i = 0; i < 4; ++i) host(serveOk);
  const json all = hostListJson();
  std::vector<std::shared_ptr<Peer>> others;
  Server other(io, [&](const auto& peer, const Received&) { others.push_back(peer); });
  start([&](json& config) { config["known"]["endpoints"] = json::array({all[0], all[1]}); });
  const auto c = client();
  json moved = configJson(other.endpoint(), json::array({all[1], all[2]}));
  moved["known"]["index"] = 7;
  gateway->reload(readConfig(moved.dump(), clock));
  ASSERT_TRUE(until([&] { return others.size() == 1; }));
  EXPECT_EQ(other.received[0].target(), "/registry/instances?since=7&timeout_ms=500");
  serve(*c, 10);  // until there is an answer by what was known before
  EXPECT_EQ(hosts[0]->received.size() + hosts[1]->received.size(), 10u);
  const std::size_t gone = hosts[0]->received.size();
  // s-2 drains since, and s-3 is new. s-0 was in neither list of the new discovery: it has gone.
  json leaving = all[2];
  leaving["status"] = "leaving";
  others[0]->reply(200, listJson(9, false, json::array({leaving, all[3]})).dump());
  ASSERT_TRUE(until([&] { return others.size() == 2; }));
  EXPECT_NE(other.received[1].target().find("since=9&"), boost::beast::string_view::npos);
  const std::size_t before = hosts[1]->received.size();
  serve(*c, 20);
  EXPECT_EQ(hosts[0]->received.size(), gone);
  EXPECT_EQ(hosts[2]->received.size(), 0u);
  EXPECT_EQ(hosts[1]->received.size() - before + hosts[3]->received.size(), 20u);
  EXPECT_GT(hosts[3]->received.size(), 0u);
  EXPECT_EQ(gateway->metrics().listedHosts, 3u);
  // From here on changes are changes to that: s-1 leaves, the others stay.
  json left = all[1];
  left["status"] = "left";
  others[1]->reply(200, listJson(10, false, json::array({left})).dump());
  ASSERT_TRUE(until([&] { return others.size() == 3; }));
  EXPECT_EQ(gateway->metrics().listedHosts, 2u);
}

TEST_F(GatewayTest, ReloadTakesAWholeListInPlaceOfTheChanges) {
  for (int i = 0; i < 3; ++i) host(serveOk);
  const json all = hostListJson();
  std::vector<std::shared_ptr<Peer>> others;
  Server other(io, [&](const auto& peer, const Received&) { others.push_back(peer); });
  start();
  json moved = configJson(other.endpoint(), json::array({all[0], all[1]}));
  gateway->reload(readConfig(moved.dump(), clock));
  ASSERT_TRUE(until([&] { return others.size() == 1; }));
  others[0]->reply(200, listJson(2, true, json::array({all[2]})).dump());
  ASSERT_TRUE(until([&] { return others.size() == 2; }));
  EXPECT_EQ(gateway->metrics().listedHosts, 1u);
  EXPECT_TRUE(gateway->isListed("s-2"));
}

// Hard case: the new discovery counts from 1 again, and the version in the file is the old one's. What it
// polls no news may lack a drain.
TEST_F(GatewayTest, AVersionThatGoesBackIsNoBasisForChanges) {
  host(serveOk);
  Server other(io, [&](const auto& peer, const Received& call) {
    if (call.target() == "/registry/instances") peer->reply(200, listJson(3, true, hostListJson()).dump());
    else if (other.received.size() == 1) peer->reply(200, listJson(3, false, json::array()).dump());
  });
  start([](json& config) { config["settings"]["rules"]["askWithinNs"] = 600000000; });
  json moved = configJson(other.endpoint(), hostListJson());
  moved["known"]["index"] = 7;
  gateway->reload(readConfig(moved.dump(), clock));
  ASSERT_TRUE(until([&] { return other.received.size() == 3; }));
  EXPECT_EQ(other.received[0].target().substr(0, 27), "/registry/instances?since=7");
  EXPECT_EQ(other.received[1].target(), "/registry/instances");
  EXPECT_EQ(other.received[2].target().substr(0, 27), "/registry/instances?since=3");
}

// Hard case: lists are pushed, and the watch breaks while the gateway drains. It still sends, so it has to
// know of hosts that drain.
TEST_F(GatewayTest, AWatchLostInADrainIsOpenedAnewWhereListsArePushed) {
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
  serve(*c, 10);
  EXPECT_EQ(hosts[0]->received.size(), before);
  c->close();
  ASSERT_TRUE(until([&] { return done; }));
}

// Changes need a list that they refer to; after a move there is none yet.
TEST_F(GatewayTest, ReloadTakesNoChangesForAWholeList) {
  host(serveOk);
  Server other(io, [&](const auto& peer, const Received&) {
    peer->reply(200, listJson(9, false, json::array()).dump());
  });
  start([](json& config) { config["settings"]["rules"]["askWithinNs"] = 600000000; });
  gateway->reload(readConfig(configJson(other.endpoint(), json::array()).dump(), clock));
  ASSERT_TRUE(until([&] { return other.received.size() == 2; }));
  EXPECT_EQ(other.received[1].target(), "/registry/instances");
}

// Where no other gateway is near, whoever is sent away at once finds none until this one is back.
TEST_F(GatewayTest, ADrainServesOpenConnectionsOn) {
  host(serveOk);
  const auto short_ = [](json& c) {
    for (json& g : c["settings"]["grades"]) g["giveUpNs"] = 600'000'000, g["aimNs"] = 500'000'000;
  };
  start(short_);
  const auto c = client();
  c->sendRequest("GET", "/read", 500);
  ASSERT_TRUE(until([&] { return c->answers.size() == 1; }));
  bool done = false;
  gateway->drain([&] { done = true; });
  EXPECT_FALSE(gateway->ready());
  std::size_t kept = 1;
  while (!c->ended) {
    const std::size_t before = c->answers.size();
    c->sendRequest("GET", "/read", 500);
    if (!until([&] { return c->answers.size() > before || c->ended; }) || c->ended) break;
    kept += c->answers.back().keep_alive();
  }
  // Each was answered and kept the connection, but for the last one, which says that it ends.
  EXPECT_GT(kept, 10u);
  EXPECT_EQ(c->answers.size(), kept + 1);
  EXPECT_FALSE(c->answers.back().keep_alive());
  ASSERT_TRUE(until([&] { return done; }));
}

// What is still open as the process ends has its one answer, and it claims nothing.
TEST_F(GatewayTest, WhatIsOpenAtTheEndOfADrainIsFailed) {
  host(hold);
  start([](json& c) {
    for (json& g : c["settings"]["grades"]) g["giveUpNs"] = 1'500'000'000, g["aimNs"] = 1'400'000'000;
  });
  const auto c = client();
  c->write("GET /health/live HTTP/1.1\r\n\r\n");
  ASSERT_TRUE(until([&] { return c->answers.size() == 1; }));
  c->answers.clear();
  bool done = false;
  const auto begun = std::chrono::steady_clock::now();
  gateway->drain([&] { done = true; });
  ASSERT_TRUE(until([&] { return std::chrono::steady_clock::now() - begun > milliseconds(900); }));
  c->sendRequest("POST", "/book", 1500, "x");  // its client waits for longer than the process lasts
  ASSERT_TRUE(until([&] { return c->answers.size() == 1 || done; }));
  ASSERT_EQ(c->answers.size(), 1u);
  EXPECT_EQ(c->answers[0].result_int(), 502u);
  ASSERT_TRUE(until([&] { return done; }));
  EXPECT_EQ(gateway->openRequests(), 0u);
}

// The platform counts 3 s of a longest deadline, and 0.7 s more, before it ends the process by force.
TEST_F(GatewayTest, ADrainCountsAtMostThreeSecondsOfTheLongestDeadline) {
  host(hold);
  start([](json& c) {
    for (json& g : c["settings"]["grades"]) g["giveUpNs"] = 9'000'000'000;
  });
  const auto c = client();
  c->sendRequest("POST", "/book", 9000, "x");
  ASSERT_TRUE(until([&] { return hosts[0]->received.size() == 1; }));
  bool done = false;
  const auto begun = std::chrono::steady_clock::now();
  gateway->drain([&] { done = true; });
  ASSERT_TRUE(
      until([&] { return done || std::chrono::steady_clock::now() - begun > std::chrono::seconds(6); }));
  EXPECT_TRUE(done) << "still draining 6 s after it was told to end";
  ASSERT_EQ(c->answers.size(), 1u);  // ahead of the end, and it claims nothing
  EXPECT_EQ(c->answers[0].result_int(), 502u);
  EXPECT_EQ(gateway->openRequests(), 0u);
}

TEST_F(GatewayTest, DrainAnswersWhatWasTakenAndThenEnds) {
  host(hold);
  serveDraining = Duration{};  // clients are sent away at once
  start();
  const auto held = client(), idle = client();
  held->sendRequest("GET", "/read", 2900);
  idle->write("GET /health/ready HTTP/1.1\r\n\r\n");
  ASSERT_TRUE(until([&] { return hosts[0]->received.size() == 1 && idle->answers.size() == 1; }));
  EXPECT_EQ(idle->answers[0].result_int(), 200u);
  int done = 0;
  gateway->drain([&] { ++done; });
  hosts[0]->handler = serveOk;
  const auto late = client();  // fronts go on connecting for a while
  late->sendRequest("GET", "/read", 2500);
  ASSERT_TRUE(until([&] { return late->answers.size() == 1; }));
  EXPECT_EQ(late->answers[0].result_int(), 200u);
  EXPECT_FALSE(late->answers[0].keep_alive());
  idle->write("GET /health/ready HTTP/1.1\r\n\r\n");
  ASSERT_TRUE(until([&] { return idle->answers.size() == 2; }));
  EXPECT_EQ(idle->answers[1].result_int(), 503u);
  EXPECT_EQ(done, 0);
  const tcp::endpoint at = gateway->endpoint();
  const auto queued = Client::connect(io, at);  // waits in the accept queue: no turn of the loop has come
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

// Past the limit, those without a request under way make room; where all have one, the new one is told.
TEST_F(GatewayTest, CrowdOfSilentClientsSparesThoseThatAsk) {
  host(hold);
  start([](json& config) { config["limits"]["sockets"] = 16; });
  std::vector<std::shared_ptr<Client>> asking, silent;
  for (int i = 0; i < 4; ++i) {
    asking.push_back(client());
    asking.back()->sendRequest("GET", "/read", 2900);
  }
  ASSERT_TRUE(until([&] { return received() == 4; }));
  for (int i = 0; i < 60; ++i) silent.push_back(client());
  ASSERT_TRUE(until([&] {
    return std::count_if(silent.begin(), silent.end(), [](const auto& c) { return c->ended; }) >= 56;
  }));
  for (const auto& peer : hosts[0]->peers) peer->reply(200, "ok");
  ASSERT_TRUE(until([&] {
    return std::all_of(asking.begin(), asking.end(), [](const auto& c) { return c->answers.size() == 1; });
  }));
  hosts[0]->handler = hold;
  for (int i = 0; i < 8; ++i) {
    asking.push_back(client());
    asking.back()->sendRequest("GET", "/read", 2900);
    ASSERT_TRUE(until([&] { return received() == static_cast<std::size_t>(5 + i); }));
  }
  const auto late = client();
  late->sendRequest("GET", "/read", 2900);
  ASSERT_TRUE(until([&] { return late->ended; }));
  ASSERT_EQ(late->answers.size(), 1u);
  EXPECT_EQ(late->answers[0].result_int(), 503u);
}

TEST_F(GatewayTest, ClientsThatAskOnceAndStayMakeRoom) {
  host(serveOk);
  // 16 for the process itself, 32 for clients, a third of these at rest
  start([](json& config) { config["limits"]["sockets"] = 80; });
  std::vector<std::shared_ptr<Client>> once;
  for (int i = 0; i < 25; ++i) {
    once.push_back(client());
    once.back()->sendRequest("GET", "/read", 2500);
    ASSERT_TRUE(until([&] { return once.back()->answers.size() == 1; }));
    EXPECT_EQ(once.back()->answers[0].result_int(), 200u);
  }
  ASSERT_TRUE(until([&] { return gateway->clientConnections() == 10; }));
  ASSERT_TRUE(until([&] { return once[14]->ended; }));
  EXPECT_FALSE(once[15]->ended);  // those that rested longest went
}

TEST_F(GatewayTest, RunningOutOfDescriptorsIsSurvived) {
  host(serveOk);
  start();
  tcp::socket probe(io);
  probe.open(tcp::v4());
  rlimit before{};
  ASSERT_EQ(getrlimit(RLIMIT_NOFILE, &before), 0);
  rlimit tight = before;
  tight.rlim_cur = static_cast<rlim_t>(probe.native_handle()) + 1;  // none left: accept fails
  probe.close();
  auto c = std::make_unique<tcp::socket>(io);
  c->open(tcp::v4());  // takes the last one
  ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &tight), 0);
  c->connect(gateway->endpoint());
  asio::write(*c, asio::buffer(std::string("GET /health/live HTTP/1.1\r\n\r\n")));
  int turns = 0;
  runUntil(io, [&] { return ++turns > 10; });
  EXPECT_EQ(gateway->clientConnections(), 0u);
  ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &before), 0);
  ASSERT_TRUE(until([&] { return c->available() > 0; }));
  std::string answer(c->available(), '\0');
  asio::read(*c, asio::buffer(answer));
  EXPECT_EQ(answer.substr(0, 12), "HTTP/1.1 200");
}

TEST_F(GatewayTest, ClientConnectionsStayWithinTheirShareOfDescriptors) {
  host(serveOk);
  start([](json& config) { config["limits"]["sockets"] = 27; });  // 6 for the process itself, 10 for clients
  std::vector<std::shared_ptr<Client>> many;
  for (int i = 0; i < 40; ++i) many.push_back(client());
  const auto left = [&] {
    return std::count_if(many.begin(), many.end(), [](const auto& c) { return !c->ended; });
  };
  ASSERT_TRUE(until([&] { return left() <= 10; }));
  EXPECT_LE(gateway->clientConnections(), 10u);
  ASSERT_GT(left(), 0);
  Client& alive = **std::find_if(many.begin(), many.end(), [](const auto& c) { return !c->ended; });
  alive.sendRequest("GET", "/read", 2500);
  ASSERT_TRUE(until([&] { return alive.answers.size() == 1; }));
  EXPECT_EQ(alive.answers[0].result_int(), 200u);
}

}  // namespace
}  // namespace finchstile::testing
