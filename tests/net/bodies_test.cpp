// Request bodies and answers that are too long to be buffered: they are relayed piece by piece, with
// backpressure, in bounded memory.
#include <sys/socket.h>

#include "support/raw_transfer.hpp"

namespace finchstile::testing {
namespace {

using std::chrono::milliseconds;

TEST_F(BodiesTest, RelaysLongAnswerOfKnownLengthUnchanged) {
  const std::string body = pseudoRandomBytes(3'000'000);
  host([&](const auto& peer, const Received&) {
    const auto bytes = std::make_shared<std::string>(
        "HTTP/1.1 200 OK\r\nContent-Type: a/b\r\nContent-Length: " + std::to_string(body.size()) +
        "\r\n\r\n" + body);
    asio::async_write(peer->socket, asio::buffer(*bytes), [bytes, peer](error_code, std::size_t) {});
  });
  start();
  for (int round = 0; round < 2; ++round) {  // the second round reuses the host's connection
    const auto c = client();
    c->sendRequest("GET", "/read", 2500);
    ASSERT_TRUE(until([&] { return c->answers.size() == 1 || c->ended; }));
    ASSERT_EQ(c->answers.size(), 1u);
    EXPECT_EQ(c->answers[0].body().size(), body.size());
    EXPECT_TRUE(c->answers[0].body() == body);
    EXPECT_EQ(c->answers[0][http::field::content_type], "a/b");
    EXPECT_TRUE(c->answers[0].keep_alive());
    c->sendRequest("GET", "/read", 2500);
    ASSERT_TRUE(until([&] { return c->answers.size() == 2; }));
    EXPECT_TRUE(c->answers[1].body() == body);
  }
  EXPECT_EQ(gateway->metrics().classes[0].succeeded, 4u);
  EXPECT_EQ(gateway->metrics().activeRequests, 0u);
  EXPECT_EQ(gateway->openRequests(), 0u);
  EXPECT_EQ(gateway->upstreamOpened(), 1u);
}

TEST_F(BodiesTest, RelaysChunkedAnswerOfAnyChunkSizeUnchanged) {
  const std::string body = pseudoRandomBytes(400'000);
  std::size_t chunk = 1;
  host([&](const auto& peer, const Received&) {
    std::string bytes = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (std::size_t at = 0; at < body.size(); at += chunk) {
      const std::string part = body.substr(at, chunk);
      char size[40];
      std::snprintf(size, sizeof size, "%zX;ext=\"a b\"\r\n", part.size());
      bytes += size + part + "\r\n";
    }
    const auto whole = std::make_shared<std::string>(bytes + "0\r\nX-Trailer: t\r\n\r\n");
    asio::async_write(peer->socket, asio::buffer(*whole), [whole, peer](error_code, std::size_t) {});
  });
  start();
  const auto c = client();
  for (const std::size_t size : {std::size_t(97), std::size_t(65536), std::size_t(300'000), body.size()}) {
    chunk = size;
    const std::size_t before = c->answers.size();
    c->sendRequest("GET", "/read", 2500);
    ASSERT_TRUE(until([&] { return c->answers.size() > before || c->ended; }));
    ASSERT_GT(c->answers.size(), before) << size;
    EXPECT_TRUE(c->answers.back().body() == body) << size;
  }
}

// For a client that reads slowly, the gateway buffers a bounded amount and then stops reading from the host.
TEST_F(BodiesTest, AppliesBackpressureToHostOfSlowReader) {
  startWithRawHost();
  const auto slow = rawClient();
  slow->send(head("GET", "/read", ""));
  ASSERT_TRUE(until([&] { return rawHost->requestBytes.find("\r\n\r\n") != std::string::npos; }));
  const std::string body = pseudoRandomBytes(24'000'000);
  const auto bytes =
      std::make_shared<std::string>("HTTP/1.1 200 OK\r\nContent-Length: 24000000\r\n\r\n" + body);
  std::size_t written = 0;
  std::function<void()> writeMore = [&] {
    rawHost->sockets[0]->async_write_some(
        asio::buffer(bytes->data() + written, std::min<std::size_t>(bytes->size() - written, 65536)),
        [&](error_code error, std::size_t n) {
          written += n;
          if (!error && written < bytes->size()) writeMore();
        });
  };
  writeMore();
  slow->read(100'000);
  ASSERT_TRUE(until([&] { return slow->receivedBytes.size() >= 100'000; }));
  std::size_t previous = 0;
  // Until nothing more is written: the socket buffers are full, and the gateway does not read.
  for (int unchangedRounds = 0; unchangedRounds < 20;) {
    io.restart();
    io.run_for(milliseconds(20));
    unchangedRounds = written == previous ? unchangedRounds + 1 : 0;
    previous = written;
  }
  EXPECT_LT(written, bytes->size() - 1'000'000);  // the kernel buffers some megabytes at most
  // The transfer completes once the client reads on.
  slow->read();
  ASSERT_TRUE(until([&] { return slow->receivedBytes.size() >= body.size(); }));
  EXPECT_TRUE(bodyOf(slow->receivedBytes) == body);
}

TEST_F(BodiesTest, SignalsTruncationWhenHostClosesDuringAnswer) {
  startWithRawHost();
  for (const bool lengthKnown : {true, false}) {
    const std::size_t connections = rawHost->sockets.size();
    rawHost->requestBytes.clear();
    const auto c = rawClient();
    c->read();
    c->send(head("GET", "/read", ""));
    ASSERT_TRUE(until([&] { return rawHost->requestBytes.find("\r\n\r\n") != std::string::npos; }));
    (void)connections;
    const std::string part = pseudoRandomBytes(90'000);
    asio::write(
        *rawHost->sockets.back(),
        asio::buffer(lengthKnown ? "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + part
                                 : "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n15f90\r\n" + part));
    ASSERT_TRUE(until([&] { return c->receivedBytes.size() > 65536; }));
    rawHost->sockets.back()->close();
    ASSERT_TRUE(until([&] { return c->ended; }));
    EXPECT_EQ(c->receivedBytes.find("0\r\n\r\n", c->receivedBytes.size() - 5), std::string::npos);
    EXPECT_LT(bodyOf(c->receivedBytes).size(), 200'000u);
  }
  EXPECT_EQ(gateway->metrics().classes[0].failed, 2u);
  EXPECT_EQ(gateway->metrics().classes[0].succeeded, 0u);
  EXPECT_EQ(gateway->openRequests(), 0u);
}

// RFC 9112, section 6.3: an answer without a length ends with its connection, provided that it is closed, not
// reset.
TEST_F(BodiesTest, AcceptsAnswerEndedByCloseButNotByReset) {
  const std::string small = pseudoRandomBytes(300), large = pseudoRandomBytes(300'000);
  std::string body = small;
  bool resets = false;
  for (int i = 0; i < 2; ++i)
    host([&](const auto& peer, const Received&) {
      peer->write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" +
                  body.substr(0, resets ? body.size() - 1 : SIZE_MAX));
      if (resets) peer->socket.set_option(asio::socket_base::linger(true, 0));
      peer->close();
    });
  start();
  const auto c = client();
  for (const std::string& expected : {small, large}) {
    body = expected;
    const std::size_t before = c->answers.size();
    c->sendRequest("GET", "/read", 2500);
    ASSERT_TRUE(until([&] { return c->answers.size() > before || c->ended; }));
    ASSERT_GT(c->answers.size(), before);
    EXPECT_EQ(c->answers.back().result_int(), 200u);
    EXPECT_TRUE(c->answers.back().body() == body);
  }
  resets = true;
  body = small;
  const std::size_t before = c->answers.size();
  c->sendRequest("POST", "/book", 2500, "x");
  ASSERT_TRUE(until([&] { return c->answers.size() > before; }));
  EXPECT_EQ(c->answers.back().result_int(), 502u);  // it may have run, and the answer is incomplete
}

// An answer may take longer in all than the limit on a single pause; a pause beyond that limit fails it.
TEST_F(BodiesTest, WaitsForSlowAnswerButNotForStalledOne) {
  host(hold);
  start();  // the longest pause is the connect timeout, 500 ms
  const auto c = client();
  c->sendRequest("GET", "/read", 2900);
  ASSERT_TRUE(until([&] { return received() == 1; }));
  const std::string whole = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n0123456789";
  std::size_t at = 0;
  asio::steady_timer timer(io);
  std::function<void()> writeNextPart = [&] {
    hosts[0]->peers[0]->write(whole.substr(at, 4));
    at += 4;
    if (at >= whole.size()) return;
    timer.expires_after(milliseconds(100));
    timer.async_wait([&](error_code) { writeNextPart(); });
  };
  writeNextPart();
  ASSERT_TRUE(until([&] { return c->answers.size() == 1; }));
  EXPECT_EQ(c->answers[0].result_int(), 200u);
  EXPECT_EQ(c->answers[0].body(), "0123456789");
  EXPECT_GE(at, whole.size());
  c->sendRequest("POST", "/book", 2900, "x");
  ASSERT_TRUE(until([&] { return received() == 2; }));
  const auto startTime = std::chrono::steady_clock::now();
  hosts[0]->peers[0]->write(whole.substr(0, 40));
  ASSERT_TRUE(until([&] { return c->answers.size() == 2; }));
  EXPECT_EQ(c->answers[1].result_int(), 502u);
  EXPECT_LT(std::chrono::steady_clock::now() - startTime, milliseconds(2400));  // well before its deadline
}

// An answer that announces a length beyond the limit fails the attempt, and another host is tried.
TEST_F(BodiesTest, FailsAttemptWhenAnswerExceedsLimit) {
  int attempts = 0;
  for (int i = 0; i < 2; ++i)
    host([&](const auto& peer, const Received&) {
      if (++attempts == 1)
        peer->write("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + pseudoRandomBytes(70'000));
      else peer->reply(200, "good");
    });
  start();
  const auto c = client();
  c->sendRequest("GET", "/read", 2500);
  ASSERT_TRUE(until([&] { return c->answers.size() == 1; }));
  EXPECT_EQ(c->answers[0].body(), "good");
}

TEST_F(BodiesTest, ClosesHostConnectionWhenClientDisconnectsDuringAnswer) {
  startWithRawHost();
  const auto c = rawClient();
  c->send(head("GET", "/read", ""));
  ASSERT_TRUE(until([&] { return rawHost->requestBytes.find("\r\n\r\n") != std::string::npos; }));
  c->read(10);
  const std::string part = pseudoRandomBytes(90'000);
  asio::write(*rawHost->sockets[0],
              asio::buffer("HTTP/1.1 200 OK\r\nContent-Length: 9000000\r\n\r\n" + part));
  ASSERT_TRUE(until([&] { return c->receivedBytes.size() >= 10; }));
  c->socket.close();
  asio::async_write(*rawHost->sockets[0], asio::buffer(part), [](error_code, std::size_t) {});
  ASSERT_TRUE(until([&] { return rawHost->ended && gateway->openRequests() == 0; }));
  EXPECT_EQ(gateway->metrics().activeRequests, 0u);
}

TEST_F(BodiesTest, RelaysLongBodyUnchangedWithLengthOrInChunks) {
  const std::string body = pseudoRandomBytes(2'000'000);
  host(serveOk);
  start();
  // The default limit of the test host is a megabyte.
  hosts[0]->maxBodyBytes = 4'000'000;
  const auto c = rawClient();
  c->read();
  c->send(head("POST", "/book", "Content-Length: 2000000\r\n") + body);
  ASSERT_TRUE(until([&] { return c->receivedBytes.find("\r\n\r\nok") != std::string::npos; }));
  ASSERT_EQ(received(), 1u);
  EXPECT_TRUE(hosts[0]->received[0].body() == body);
  std::string chunks;
  for (std::size_t at = 0; at < body.size(); at += 1000) chunks += "3e8\r\n" + body.substr(at, 1000) + "\r\n";
  c->receivedBytes.clear();
  c->send(head("POST", "/put", "Idempotency-Key: k\r\nTransfer-Encoding: chunked\r\n") + chunks +
          "0\r\n\r\n");
  ASSERT_TRUE(until([&] { return c->receivedBytes.find("\r\n\r\nok") != std::string::npos; }));
  ASSERT_EQ(received(), 2u);
  EXPECT_TRUE(hosts[0]->received[1].body() == body);
  EXPECT_EQ(hosts[0]->received[1]["Idempotency-Key"], "k");
  EXPECT_EQ(gateway->metrics().attemptsSent, 2u);
  EXPECT_FALSE(c->ended);
}

// The host closes while a body is being relayed. The request has not run, and its body is no longer available
// for a second attempt, so that it is refused at once.
TEST_F(BodiesTest, RefusesLongBodyWithoutResendWhenHostCloses) {
  startWithRawHost();
  const auto c = rawClient();
  c->read();
  c->send(head("POST", "/book", "Content-Length: 9000000\r\n") + pseudoRandomBytes(200'000));
  ASSERT_TRUE(until([&] { return rawHost->requestBytes.size() > 100'000; }));
  rawHost->sockets[0]->close();
  ASSERT_TRUE(until([&] { return c->receivedBytes.find("HTTP/1.1 503") == 0; }));
  EXPECT_NE(c->receivedBytes.find("Connection: close"), std::string::npos);
  EXPECT_EQ(rawHost->sockets.size(), 1u);
  EXPECT_EQ(gateway->metrics().classes[1].rejected, 1u);
  EXPECT_EQ(gateway->metrics().attemptsSent, 0u);
}

// Bytes that arrive before the end of the request are not taken for its answer.
TEST_F(BodiesTest, RefusesRequestAnsweredBeforeEndOfBody) {
  startWithRawHost();
  const auto c = rawClient();
  c->read();
  c->send(head("POST", "/book", "Content-Length: 9000000\r\n") + pseudoRandomBytes(200'000));
  ASSERT_TRUE(until([&] { return rawHost->requestBytes.size() > 100'000; }));
  asio::write(*rawHost->sockets[0],
              asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")));
  ASSERT_TRUE(until([&] { return c->receivedBytes.find("HTTP/1.1 503") == 0; }));
  // Nor does an early response count as one that belongs to no request, which would lengthen the reuse delay.
  const GatewayMetrics metrics = gateway->metrics();
  for (const std::uint64_t count : metrics.unsolicitedBytes.counts()) EXPECT_EQ(count, 0u);
}

// The gateway stops reading from a fast client while its host does not read. A client that then stops sending
// in the middle of the body is timed out.
TEST_F(BodiesTest, AppliesBackpressureToClientOfSlowHostAndEndsStalledBody) {
  rawHost = std::make_unique<RawHost>(io);
  rawHost->reading = false;
  start([&](json& c) {
    c["known"]["endpoints"] = json::array({hostJson("s-0", rawHost->acceptor.local_endpoint())});
  });
  const auto c = rawClient();
  c->read();
  c->send(head("POST", "/book", "Content-Length: 30000000\r\n") + pseudoRandomBytes(20'000'000));
  std::size_t remaining = 0;
  for (int unchangedRounds = 0; unchangedRounds < 20;) {
    io.restart();
    io.run_for(milliseconds(20));
    unchangedRounds = c->unsent.size() == remaining ? unchangedRounds + 1 : 0;
    remaining = c->unsent.size();
  }
  EXPECT_GT(remaining, 1'000'000u);
  rawHost->read(rawHost->sockets.at(0));  // the host reads on, and the client sends the rest
  ASSERT_TRUE(until([&] { return rawHost->requestBytes.size() > 20'000'000; }));
  EXPECT_FALSE(c->ended);
  ASSERT_TRUE(until([&] { return rawHost->ended && c->ended; }));  // 10 MB of the body never come
  EXPECT_EQ(gateway->openRequests(), 0u);
}

// A slow connection: the header section takes 1.9 s, then the body arrives at 64 kB/s.
TEST_F(BodiesTest, AcceptsSlowBodyAndTimesOutStalledOne) {
  host(serveOk);
  start();
  const auto c = rawClient(), silent = rawClient();
  c->read();
  silent->read();
  silent->send(head("POST", "/book", "Content-Length: 100000\r\n") + std::string(1000, 'x'));
  const std::string whole = head("POST", "/book", "Content-Length: 100000\r\n") + std::string(100'000, 'x');
  c->send(whole.substr(0, 20));
  asio::steady_timer timer(io, milliseconds(1900));
  bool pauseEnded = false;
  timer.async_wait([&](error_code) { pauseEnded = true; });
  ASSERT_TRUE(until([&] { return pauseEnded; }));
  std::size_t at = 20;
  std::function<void()> writeNextPart = [&] {
    const std::size_t n = std::min<std::size_t>(6400, whole.size() - at);
    c->send(whole.substr(at, n));
    at += n;
    if (at == whole.size()) return;
    timer.expires_after(milliseconds(100));
    timer.async_wait([&](error_code) { writeNextPart(); });
  };
  writeNextPart();
  ASSERT_TRUE(until([&] { return c->receivedBytes.find("\r\n\r\nok") != std::string::npos || c->ended; }));
  EXPECT_NE(c->receivedBytes.find("200 OK"), std::string::npos) << c->receivedBytes;
  EXPECT_TRUE(silent->ended);
  EXPECT_EQ(silent->receivedBytes.find("HTTP/1.1 408"), 0u);
  ASSERT_EQ(received(), 1u);
}

}  // namespace
}  // namespace finchstile::testing
