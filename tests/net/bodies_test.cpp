// Bodies and answers that are too long to be held: passed on piece by piece, in bounded memory.
#include <sys/socket.h>

#include <numeric>

#include "support/gateway_fixture.hpp"

namespace finchstile::testing {
namespace {

using std::chrono::milliseconds;

std::string noise(std::size_t size) {  // no two pieces of it are the same
  std::string out(size, '\0');
  std::uint32_t x = 12345;
  for (char& c : out) c = static_cast<char>((x = x * 1664525 + 1013904223) >> 24);
  return out;
}

// A client that sends and reads raw bytes as slowly as a test likes.
struct RawClient : std::enable_shared_from_this<RawClient> {
  explicit RawClient(asio::io_context& io) : socket(io) {}
  static std::shared_ptr<RawClient> connect(asio::io_context& io, const tcp::endpoint& to) {
    const auto c = std::make_shared<RawClient>(io);
    c->socket.open(tcp::v4());
    c->socket.set_option(asio::socket_base::receive_buffer_size(16 * 1024));
    c->socket.connect(to);
    return c;
  }
  void read(std::size_t most = SIZE_MAX) {
    if (heard.size() >= most) return;
    socket.async_read_some(asio::buffer(piece),
                           [self = shared_from_this(), most](error_code error, std::size_t n) {
                             self->heard.append(self->piece, n);
                             if (error) self->ended = true;
                             else self->read(most);
                           });
  }
  void send(const std::string& bytes) {  // beside the loop
    out += bytes;
    if (!std::exchange(sending, true)) more();
  }
  void more() {
    socket.async_write_some(asio::buffer(out), [self = shared_from_this()](error_code error, std::size_t n) {
      self->out.erase(0, n);
      self->sending = !error && !self->out.empty();
      if (self->sending) self->more();
    });
  }
  tcp::socket socket;
  char piece[4096];
  std::string heard, out;
  bool ended = false, sending = false;
};

std::string head(const std::string& method, const std::string& path, const std::string& headers) {
  static int asked = 0;
  return method + " " + path + " HTTP/1.1\r\nHost: api\r\nX-Correlation-Id: b-" + std::to_string(++asked) +
         "\r\nX-Time-Left-Ms: 2900\r\n" + headers + "\r\n";
}

struct BodiesTest : GatewayTest {
  // A host of raw sockets: what came, and what a test does about it.
  struct RawHost {
    RawHost(asio::io_context& io) : acceptor(io, loopback()) { accept(); }
    void accept() {
      acceptor.async_accept([this](error_code error, tcp::socket s) {
        if (error) return;
        sockets.push_back(std::make_shared<tcp::socket>(std::move(s)));
        if (reading) read(sockets.back());
        accept();
      });
    }
    void read(const std::shared_ptr<tcp::socket>& s) {
      s->async_read_some(asio::buffer(piece), [this, s](error_code error, std::size_t n) {
        came.append(piece, n);
        if (error) ended = true;
        else read(s);
      });
    }
    tcp::acceptor acceptor;
    std::vector<std::shared_ptr<tcp::socket>> sockets;
    char piece[16 * 1024];
    std::string came;
    bool reading = true, ended = false;
  };
  std::unique_ptr<RawHost> raw;
  void startRaw() {
    raw = std::make_unique<RawHost>(io);
    start([&](json& c) {
      c["known"]["endpoints"] = json::array({hostJson("s-0", raw->acceptor.local_endpoint())});
    });
  }
  std::shared_ptr<RawClient> rawClient() { return RawClient::connect(io, gateway->endpoint()); }
  std::string bodyOf(const std::string& message) { return message.substr(message.find("\r\n\r\n") + 4); }
};

TEST_F(BodiesTest, ALongAnswerOfKnownLengthArrivesUnchanged) {
  const std::string body = noise(3'000'000);
  host([&](const auto& peer, const Received&) {
    const auto bytes = std::make_shared<std::string>(
        "HTTP/1.1 200 OK\r\nContent-Type: a/b\r\nContent-Length: " + std::to_string(body.size()) +
        "\r\n\r\n" + body);
    asio::async_write(peer->socket, asio::buffer(*bytes), [bytes, peer](error_code, std::size_t) {});
  });
  start();
  for (int round = 0; round < 2; ++round) {  // the second one over the same connections
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

TEST_F(BodiesTest, AChunkedAnswerOfAnyLengthArrivesUnchanged) {
  const std::string body = noise(400'000);
  std::size_t chunk = 1;
  host([&](const auto& peer, const Received&) {
    std::string bytes = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (std::size_t at = 0; at < body.size(); at += chunk) {
      const std::string part = body.substr(at, chunk);
      char size[40];
      std::snprintf(size, sizeof size, "%zX;ext=\"a b\"\r\n", part.size());
      bytes += size + part + "\r\n";
    }
    const auto all = std::make_shared<std::string>(bytes + "0\r\nX-Trailer: t\r\n\r\n");
    asio::async_write(peer->socket, asio::buffer(*all), [all, peer](error_code, std::size_t) {});
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

// Hard case: a client that takes an answer slowly. What is held for it is bounded, and its host waits.
TEST_F(BodiesTest, ASlowReaderHoldsUpItsHostAndTheRestIsHeldNowhere) {
  startRaw();
  const auto slow = rawClient();
  slow->send(head("GET", "/read", ""));
  ASSERT_TRUE(until([&] { return raw->came.find("\r\n\r\n") != std::string::npos; }));
  const std::string body = noise(24'000'000);
  const auto bytes =
      std::make_shared<std::string>("HTTP/1.1 200 OK\r\nContent-Length: 24000000\r\n\r\n" + body);
  std::size_t given = 0;
  std::function<void()> give = [&] {
    raw->sockets[0]->async_write_some(
        asio::buffer(bytes->data() + given, std::min<std::size_t>(bytes->size() - given, 65536)),
        [&](error_code error, std::size_t n) {
          given += n;
          if (!error && given < bytes->size()) give();
        });
  };
  give();
  slow->read(100'000);
  ASSERT_TRUE(until([&] { return slow->heard.size() >= 100'000; }));
  std::size_t last = 0;
  // Until nothing moves any more: the sockets' buffers are full, and the gateway takes no more.
  for (int still = 0; still < 20;) {
    io.restart();
    io.run_for(milliseconds(20));
    still = given == last ? still + 1 : 0;
    last = given;
  }
  EXPECT_LT(given, bytes->size() - 1'000'000);  // the kernel holds some megabytes at the most
  // Somebody else is served meanwhile.
  slow->read();
  ASSERT_TRUE(until([&] { return slow->heard.size() >= body.size(); }));
  EXPECT_TRUE(bodyOf(slow->heard) == body);
}

TEST_F(BodiesTest, AnAnswerThatBreaksOffIsCutSoThatItsClientCanTell) {
  startRaw();
  for (const bool known : {true, false}) {
    const std::size_t connections = raw->sockets.size();
    raw->came.clear();
    const auto c = rawClient();
    c->read();
    c->send(head("GET", "/read", ""));
    ASSERT_TRUE(until([&] { return raw->came.find("\r\n\r\n") != std::string::npos; }));
    (void)connections;
    const std::string part = noise(90'000);
    asio::write(
        *raw->sockets.back(),
        asio::buffer(known ? "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + part
                           : "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n15f90\r\n" + part));
    ASSERT_TRUE(until([&] { return c->heard.size() > 65536; }));
    raw->sockets.back()->close();
    ASSERT_TRUE(until([&] { return c->ended; }));
    EXPECT_EQ(c->heard.find("0\r\n\r\n", c->heard.size() - 5), std::string::npos);
    EXPECT_LT(bodyOf(c->heard).size(), 200'000u);
  }
  EXPECT_EQ(gateway->metrics().classes[0].failed, 2u);
  EXPECT_EQ(gateway->metrics().classes[0].succeeded, 0u);
  EXPECT_EQ(gateway->openRequests(), 0u);
}

// RFC 9112, 6.3: without a length the end of the connection is the end of the answer, if it comes in order.
TEST_F(BodiesTest, AnAnswerThatEndsWithItsConnectionIsWholeAndAResetIsNot) {
  const std::string small = noise(300), large = noise(300'000);
  std::string body = small;
  bool reset = false;
  for (int i = 0; i < 2; ++i)
    host([&](const auto& peer, const Received&) {
      peer->write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" +
                  body.substr(0, reset ? body.size() - 1 : SIZE_MAX));
      if (reset) peer->socket.set_option(asio::socket_base::linger(true, 0));
      peer->close();
    });
  start();
  const auto c = client();
  for (const std::string& which : {small, large}) {
    body = which;
    const std::size_t before = c->answers.size();
    c->sendRequest("GET", "/read", 2500);
    ASSERT_TRUE(until([&] { return c->answers.size() > before || c->ended; }));
    ASSERT_GT(c->answers.size(), before);
    EXPECT_EQ(c->answers.back().result_int(), 200u);
    EXPECT_TRUE(c->answers.back().body() == body);
  }
  reset = true;
  body = small;
  const std::size_t before = c->answers.size();
  c->sendRequest("POST", "/book", 2500, "x");
  ASSERT_TRUE(until([&] { return c->answers.size() > before; }));
  EXPECT_EQ(c->answers.back().result_int(), 502u);  // it may have run, and what came is not whole
}

// Hard case: an answer in pieces that takes longer in all than any pause may.
TEST_F(BodiesTest, AnAnswerThatDribblesIsWaitedForAndOneThatStopsIsNot) {
  host(hold);
  start();  // a pause of 500 ms at the most: the connect time-out
  const auto c = client();
  c->sendRequest("GET", "/read", 2900);
  ASSERT_TRUE(until([&] { return received() == 1; }));
  const std::string all = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n0123456789";
  std::size_t at = 0;
  asio::steady_timer pause(io);
  std::function<void()> step = [&] {
    hosts[0]->peers[0]->write(all.substr(at, 4));
    at += 4;
    if (at >= all.size()) return;
    pause.expires_after(milliseconds(100));
    pause.async_wait([&](error_code) { step(); });
  };
  step();
  ASSERT_TRUE(until([&] { return c->answers.size() == 1; }));
  EXPECT_EQ(c->answers[0].result_int(), 200u);
  EXPECT_EQ(c->answers[0].body(), "0123456789");
  EXPECT_GE(at, all.size());
  c->sendRequest("POST", "/book", 2900, "x");
  ASSERT_TRUE(until([&] { return received() == 2; }));
  const auto began = std::chrono::steady_clock::now();
  hosts[0]->peers[0]->write(all.substr(0, 40));
  ASSERT_TRUE(until([&] { return c->answers.size() == 2; }));
  EXPECT_EQ(c->answers[1].result_int(), 502u);
  EXPECT_LT(std::chrono::steady_clock::now() - began, milliseconds(2400));  // not only at its deadline
}

// What is said to have more than is allowed is nobody's answer, and the next host is asked.
TEST_F(BodiesTest, AnAnswerOfGigabytesIsAFailedAttempt) {
  int asked = 0;
  for (int i = 0; i < 2; ++i)
    host([&](const auto& peer, const Received&) {
      if (++asked == 1) peer->write("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + noise(70'000));
      else peer->reply(200, "good");
    });
  start();
  const auto c = client();
  c->sendRequest("GET", "/read", 2500);
  ASSERT_TRUE(until([&] { return c->answers.size() == 1; }));
  EXPECT_EQ(c->answers[0].body(), "good");
}

TEST_F(BodiesTest, AClientThatLeavesInTheMidstEndsItsHostsWork) {
  startRaw();
  const auto c = rawClient();
  c->send(head("GET", "/read", ""));
  ASSERT_TRUE(until([&] { return raw->came.find("\r\n\r\n") != std::string::npos; }));
  c->read(10);
  const std::string part = noise(90'000);
  asio::write(*raw->sockets[0], asio::buffer("HTTP/1.1 200 OK\r\nContent-Length: 9000000\r\n\r\n" + part));
  ASSERT_TRUE(until([&] { return c->heard.size() >= 10; }));
  c->socket.close();
  asio::async_write(*raw->sockets[0], asio::buffer(part), [](error_code, std::size_t) {});
  ASSERT_TRUE(until([&] { return raw->ended && gateway->openRequests() == 0; }));
  EXPECT_EQ(gateway->metrics().activeRequests, 0u);
}

TEST_F(BodiesTest, ALongBodyArrivesUnchangedWhateverItsFraming) {
  const std::string body = noise(2'000'000);
  host(serveOk);
  start();
  // The stand-in reads a megabyte at the most: this one takes more.
  hosts[0]->bodyMost = 4'000'000;
  const auto c = rawClient();
  c->read();
  c->send(head("POST", "/book", "Content-Length: 2000000\r\n") + body);
  ASSERT_TRUE(until([&] { return c->heard.find("\r\n\r\nok") != std::string::npos; }));
  ASSERT_EQ(received(), 1u);
  EXPECT_TRUE(hosts[0]->received[0].body() == body);
  std::string chunks;
  for (std::size_t at = 0; at < body.size(); at += 1000) chunks += "3e8\r\n" + body.substr(at, 1000) + "\r\n";
  c->heard.clear();
  c->send(head("POST", "/put", "Idempotency-Key: k\r\nTransfer-Encoding: chunked\r\n") + chunks +
          "0\r\n\r\n");
  ASSERT_TRUE(until([&] { return c->heard.find("\r\n\r\nok") != std::string::npos; }));
  ASSERT_EQ(received(), 2u);
  EXPECT_TRUE(hosts[0]->received[1].body() == body);
  EXPECT_EQ(hosts[0]->received[1]["Idempotency-Key"], "k");
  EXPECT_EQ(gateway->metrics().attemptsSent, 2u);
  EXPECT_FALSE(c->ended);
}

// Hard case: the host goes while a body is passed on. It has not run, and cannot be sent again: refused at
// once.
TEST_F(BodiesTest, ALongBodyWhoseHostGoesIsRefusedAndRunsNowhereElse) {
  startRaw();
  const auto c = rawClient();
  c->read();
  c->send(head("POST", "/book", "Content-Length: 9000000\r\n") + noise(200'000));
  ASSERT_TRUE(until([&] { return raw->came.size() > 100'000; }));
  raw->sockets[0]->close();
  ASSERT_TRUE(until([&] { return c->heard.find("HTTP/1.1 503") == 0; }));
  EXPECT_NE(c->heard.find("Connection: close"), std::string::npos);
  EXPECT_EQ(raw->sockets.size(), 1u);
  EXPECT_EQ(gateway->metrics().classes[1].rejected, 1u);
  EXPECT_EQ(gateway->metrics().attemptsSent, 0u);
}

// Bytes that come before the request is whole are no answer to it.
TEST_F(BodiesTest, AnAnswerAheadOfTheWholeBodyIsNone) {
  startRaw();
  const auto c = rawClient();
  c->read();
  c->send(head("POST", "/book", "Content-Length: 9000000\r\n") + noise(200'000));
  ASSERT_TRUE(until([&] { return raw->came.size() > 100'000; }));
  asio::write(*raw->sockets[0], asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")));
  ASSERT_TRUE(until([&] { return c->heard.find("HTTP/1.1 503") == 0; }));
}

// Hard case: a slow host behind a fast client, and a client that sends no more.
TEST_F(BodiesTest, ASlowHostHoldsUpItsClientAndASilentClientEndsItsRequest) {
  raw = std::make_unique<RawHost>(io);
  raw->reading = false;
  start([&](json& c) {
    c["known"]["endpoints"] = json::array({hostJson("s-0", raw->acceptor.local_endpoint())});
  });
  const auto c = rawClient();
  c->read();
  c->send(head("POST", "/book", "Content-Length: 30000000\r\n") + noise(20'000'000));
  std::size_t left = 0;
  for (int still = 0; still < 20;) {
    io.restart();
    io.run_for(milliseconds(20));
    still = c->out.size() == left ? still + 1 : 0;
    left = c->out.size();
  }
  EXPECT_GT(left, 1'000'000u);
  raw->read(raw->sockets.at(0));  // the host goes on, and the client sends all it has
  ASSERT_TRUE(until([&] { return raw->came.size() > 20'000'000; }));
  EXPECT_FALSE(c->ended);
  ASSERT_TRUE(until([&] { return raw->ended && c->ended; }));  // and then nothing more
  EXPECT_EQ(gateway->openRequests(), 0u);
}

// A slow line: the head takes its time, and then the body comes at 64 kB a second.
TEST_F(BodiesTest, ASlowLineIsNotCutOffAndASilentOneIs) {
  host(serveOk);
  start();
  const auto c = rawClient(), silent = rawClient();
  c->read();
  silent->read();
  silent->send(head("POST", "/book", "Content-Length: 100000\r\n") + std::string(1000, 'x'));
  const std::string all = head("POST", "/book", "Content-Length: 100000\r\n") + std::string(100'000, 'x');
  c->send(all.substr(0, 20));
  asio::steady_timer pause(io, milliseconds(1900));
  bool over = false;
  pause.async_wait([&](error_code) { over = true; });
  ASSERT_TRUE(until([&] { return over; }));
  std::size_t at = 20;
  std::function<void()> step = [&] {
    const std::size_t n = std::min<std::size_t>(6400, all.size() - at);
    c->send(all.substr(at, n));
    at += n;
    if (at == all.size()) return;
    pause.expires_after(milliseconds(100));
    pause.async_wait([&](error_code) { step(); });
  };
  step();
  ASSERT_TRUE(until([&] { return c->heard.find("\r\n\r\nok") != std::string::npos || c->ended; }));
  EXPECT_NE(c->heard.find("200 OK"), std::string::npos) << c->heard;
  EXPECT_TRUE(silent->ended);
  EXPECT_EQ(silent->heard.find("HTTP/1.1 408"), 0u);
  ASSERT_EQ(received(), 1u);
}

}  // namespace
}  // namespace finchstile::testing
