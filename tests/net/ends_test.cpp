// What is owed when something ends: a client that has gone, a window that has passed, a connection at rest, a
// place that is given to another, a discovery that fails. Each moment is forced, none is hoped for.
#include <sys/resource.h>

#include "support/gateway_fixture.hpp"

namespace finchstile::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

// A host whose connections don't come up before it is opened; then within a second, as the system tries
// again.
class LateHost {
 public:
  explicit LateHost(asio::io_context& io) : io_(io), acceptor_(io, tcp::v4()), filler_(io) {
    acceptor_.bind(loopback());
    acceptor_.listen(0);
    filler_.connect(acceptor_.local_endpoint());  // the one that the system takes in ahead of us
  }
  tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }
  void open() {
    acceptor_.async_accept([this](error_code error, tcp::socket socket) {
      if (error) return;
      taken_.push_back(std::make_unique<tcp::socket>(std::move(socket)));
      read(*taken_.back());
      open();
    });
  }
  std::string received;  // on all connections

 private:
  void read(tcp::socket& from) {
    from.async_read_some(asio::buffer(buffer_), [this, &from](error_code error, std::size_t n) {
      if (error) return;
      received.append(buffer_.data(), n);
      read(from);
    });
  }
  asio::io_context& io_;
  tcp::acceptor acceptor_;
  tcp::socket filler_;
  std::vector<std::unique_ptr<tcp::socket>> taken_;
  std::array<char, 4096> buffer_{};
};

struct EndsTest : GatewayTest {
  bool after(Duration d) {
    const auto then = steady_clock::now() + d;
    return until([&] { return steady_clock::now() >= then; });
  }
  std::string head(const std::string& method, const std::string& path, const std::string& id,
                   const std::string& more = "") const {
    return method + " " + path + " HTTP/1.1\r\nHost: api\r\nX-Correlation-Id: " + id +
           "\r\nX-Time-Left-Ms: 2500\r\n" + more + (method == "POST" ? "Content-Length: 0\r\n" : "") + "\r\n";
  }
};

// --- A client that has gone

// Behind more bytes than are read ahead its end is not seen; an attempt that is turned away just then must
// not be followed by another one.
TEST_F(EndsTest, NothingMoreIsBegunForAClientThatFloodedAndLeft) {
  std::shared_ptr<Peer> taken;
  const auto first = [&](const auto& peer, const Received&) { taken = peer; };
  static OutcomeLog outcomes;  // it outlives the gateway
  outcomes.all.clear();
  host(first);
  host(first);
  start();
  gateway->setAttemptLog(outcomes);
  for (int round = 0; round < 5; ++round) {
    taken.reset();
    const std::size_t before = received();
    const auto c = client();
    c->write(head("GET", "/read", "flood-" + std::to_string(round)));
    ASSERT_TRUE(until([&] { return taken != nullptr; }));
    c->write(std::string(20 * 1024, 'x'));
    ASSERT_TRUE(after(milliseconds(5)));  // what is read ahead has been read
    c->close();
    const auto answered = steady_clock::now();
    std::exchange(taken, nullptr)->reply(503, "", "X-Unprocessed: 1\r\n");
    ASSERT_TRUE(until([&] { return gateway->openRequests() == 0; }));
    EXPECT_LT(steady_clock::now() - answered, milliseconds(100));
    EXPECT_EQ(received(), before + 1) << "round " << round;
  }
  // Nor is it held against a host, or tried at one after the other.
  using load_balancing::Outcome;
  EXPECT_EQ(outcomes.count(Outcome::connectFailed), 0);
  EXPECT_LE(outcomes.all.size(), 10u);
}

// Its first attempt waits for a connection that comes up late; the client leaves meanwhile.
TEST_F(EndsTest, WhatWaitsForAConnectionIsNotSentForAClientThatLeft) {
  LateHost late(io);
  start([&](json& config) {
    config["known"]["endpoints"] = json::array({hostJson("late", late.endpoint())});
    config["settings"]["ceilings"]["connectTimeoutNs"] = 1'800'000'000;
    config["settings"]["ceilings"]["cancel"] = false;  // what waits can't be called off
  });
  const auto c = client();
  c->write(head("GET", "/read", "gone"));
  ASSERT_TRUE(after(milliseconds(50)));
  c->close();
  late.open();
  ASSERT_TRUE(after(milliseconds(1500)));
  EXPECT_EQ(late.received.find("gone"), std::string::npos);
  EXPECT_EQ(gateway->openRequests(), 0u);
}

// Its client leaves while the last byte is held back, and attempts can't be called off.
TEST_F(EndsTest, TheLastByteOfOneWhoseClientLeftStaysBack) {
  host(serveOk);
  proofLeast = milliseconds(200);
  start([](json& config) { config["settings"]["ceilings"]["cancel"] = false; });
  const auto c = client();
  c->sendRequest("POST", "/book", 2500, "x");
  ASSERT_TRUE(until([&] { return hosts[0]->peers.size() == 1; }));
  ASSERT_TRUE(after(milliseconds(20)));
  c->close();
  ASSERT_TRUE(after(milliseconds(400)));
  EXPECT_EQ(received(), 0u);
  ASSERT_TRUE(until([&] { return gateway->openRequests() == 0; }));
}

// The host begins to drain while its connection comes up: nothing new to it, also not what was chosen before.
TEST_F(EndsTest, AHostThatDrainsWhileItsConnectionComesUpGetsNothing) {
  LateHost late(io);
  const json hostListJson = json::array({hostJson("late", late.endpoint())});
  start([&](json& config) {
    config["known"]["endpoints"] = hostListJson;
    config["settings"]["ceilings"]["connectTimeoutNs"] = 1'800'000'000;
  });
  const auto c = client();
  c->write(head("GET", "/read", "drained"));
  ASSERT_TRUE(until([&] { return polls.size() == 1; }));
  json leaving = hostListJson;
  leaving[0]["status"] = "leaving";
  polls[0]->reply(200, listJson(2, false, leaving).dump());
  ASSERT_TRUE(after(milliseconds(50)));
  late.open();  // its connection is up a second after it was asked for
  ASSERT_TRUE(until([&] { return c->answers.size() == 1; }));
  EXPECT_EQ(c->answers[0].result_int(), 503u);
  ASSERT_TRUE(after(milliseconds(1200)));
  EXPECT_EQ(late.received, "");
}

// One that only ends its sending side has left too, by the protocol: a client keeps its connection while it
// waits.
TEST_F(EndsTest, AHalfClosedClientHasGone) {
  host(hold);
  start();
  const auto c = client();
  c->write(head("GET", "/read", "half"));
  ASSERT_TRUE(until([&] { return received() == 1; }));
  c->socket.shutdown(tcp::socket::shutdown_send);
  ASSERT_TRUE(until([&] { return hosts[0]->peers[0]->ended; }));
  EXPECT_EQ(gateway->openRequests(), 0u);
}

// --- Windows of keyed requests

// The window is open when the resend is decided and over when its connection comes up.
TEST_F(EndsTest, AKeyedResendWhoseConnectionComesUpBehindTheWindowIsNotSent) {
  LateHost late(io);
  host(hold);
  start([&](json& config) {
    config["settings"]["ceilings"]["connectTimeoutNs"] = 1'800'000'000;
    config["settings"]["grades"][2]["windowNs"] = 600'000'000;
  });
  const auto c = client();
  c->sendRequest("POST", "/put", 2500, "", "Idempotency-Key: k1\r\n");
  ASSERT_TRUE(until([&] { return received() == 1 && polls.size() == 1; }));
  // The late host is hostListJson once the first attempt is out at the other one, which has run it and goes.
  polls[0]->reply(200, listJson(2, false, json::array({hostJson("late", late.endpoint())})).dump());
  ASSERT_TRUE(until([&] { return polls.size() == 2; }));
  hosts[0]->peers[0]->close();
  ASSERT_TRUE(after(milliseconds(50)));
  late.open();  // the system tries again a second after it was asked
  ASSERT_TRUE(until([&] { return c->answers.size() == 1; }));
  EXPECT_EQ(c->answers[0].result_int(), 502u);
  ASSERT_TRUE(after(milliseconds(1200)));
  EXPECT_EQ(late.received, "");
  EXPECT_EQ(received(), 1u);
}

// The same while the last byte waits for its connection's proof.
TEST_F(EndsTest, AKeyedResendWhoseWindowEndsInItsProofIsNotFinished) {
  int ran = 0;
  const auto reset = [&](const std::shared_ptr<Peer>& peer, const Received&) {
    ++ran;
    peer->close();
  };
  host(reset);
  host(reset);
  proofLeast = milliseconds(400);
  start([](json& config) { config["settings"]["grades"][2]["windowNs"] = 700'000'000; });
  const auto c = client();
  c->sendRequest("POST", "/put", 2500, "", "Idempotency-Key: k2\r\n");
  ASSERT_TRUE(until([&] { return c->answers.size() == 1; }));
  EXPECT_EQ(c->answers[0].result_int(), 502u);
  EXPECT_EQ(ran, 1);
}

TEST_F(EndsTest, AKeyedResendInsideItsWindowIsSent) {
  int ran = 0;
  const auto reset = [&](const std::shared_ptr<Peer>& peer, const Received&) {
    if (++ran == 1) peer->close();
    else peer->reply(200, "ok");
  };
  host(reset);
  host(reset);
  proofLeast = milliseconds(100);
  start([](json& config) { config["settings"]["grades"][2]["windowNs"] = 700'000'000; });
  const auto c = client();
  c->sendRequest("POST", "/put", 2500, "", "Idempotency-Key: k3\r\n");
  ASSERT_TRUE(until([&] { return c->answers.size() == 1; }));
  EXPECT_EQ(c->answers[0].result_int(), 200u);
  EXPECT_EQ(ran, 2);
}

// --- Closing

// A request that is written in the moment of the close: it is never sent on, and nothing is reset under it,
// so that its client reads an end in order and asks once more elsewhere.
TEST_F(EndsTest, ARequestThatCrossesTheCloseOfItsConnectionIsNotResetNorSentOn) {
  host(serveOk);
  start();
  const auto c = client();
  c->sendRequest("GET", "/read", 2500);
  ASSERT_TRUE(until([&] { return c->answers.size() == 1; }));
  ASSERT_TRUE(after(milliseconds(5)));
  gateway->enterLameDuck();  // connections at rest are closed soon
  ASSERT_TRUE(until([&] { return c->ended; }));
  error_code error;
  for (int i = 0; i < 3; ++i) {
    asio::write(c->socket, asio::buffer(head("GET", "/read", "crossing-" + std::to_string(i))), error);
    EXPECT_FALSE(error) << error.message() << ", write " << i;
    ASSERT_TRUE(after(milliseconds(5)));
  }
  char byte = 0;
  c->socket.non_blocking(true);
  EXPECT_EQ(c->socket.read_some(asio::buffer(&byte, 1), error), 0u);
  EXPECT_EQ(error, asio::error::eof) << error.message();
  EXPECT_EQ(received(), 1u);
  c->close();
  ASSERT_TRUE(until([&] { return gateway->clientConnections() == 0; }));
}

// Who finds no place reads the refusal, whatever it still sends.
TEST_F(EndsTest, OneThatIsTurnedAwayMaySendOnAndReadsItsRefusal) {
  host(hold);
  start([](json& config) { config["limits"]["sockets"] = 27; });  // ten clients
  std::vector<std::shared_ptr<Client>> asking;
  for (std::size_t i = 0; i < 10; ++i) {
    asking.push_back(client());
    asking.back()->sendRequest("GET", "/read", 2900);
    ASSERT_TRUE(until([&] { return gateway->openRequests() == i + 1; }));
  }
  const auto late = client();
  ASSERT_TRUE(until([&] { return late->answers.size() == 1; }));
  EXPECT_EQ(late->answers[0].result_int(), 503u);
  error_code error;
  for (int i = 0; i < 4; ++i) {
    asio::write(late->socket, asio::buffer(std::string(8000, 'x')), error);
    EXPECT_FALSE(error) << error.message() << ", write " << i;
    ASSERT_TRUE(after(milliseconds(5)));
  }
  EXPECT_LE(gateway->clientConnections(), 11u);
  // However many come so, none takes a place, nor the place of one that was turned away.
  for (int i = 0; i < 4; ++i) {
    const auto another = client();
    another->sendRequest("GET", "/read", 2900);
    ASSERT_TRUE(until([&] { return another->answers.size() == 1; }));
    EXPECT_EQ(another->answers[0].result_int(), 503u);
    EXPECT_EQ(gateway->openRequests(), 10u);
  }
  for (int i = 0; i < 20; ++i) client();
  ASSERT_TRUE(after(milliseconds(20)));
  EXPECT_LE(gateway->clientConnections(), 11u);
  EXPECT_EQ(gateway->openRequests(), 10u);
}

// Half a request that has to make room for another client is refused, not cut off: its last byte may be on
// the way.
TEST_F(EndsTest, HalfARequestThatMakesRoomIsRefused) {
  host(serveOk);
  start([](json& config) { config["limits"]["sockets"] = 27; });
  std::vector<std::shared_ptr<Client>> half;
  for (int i = 0; i < 10; ++i) {
    half.push_back(client());
    half.back()->write("POST /book HTTP/1.1\r\nHost: api\r\nX-Corr");
  }
  ASSERT_TRUE(after(milliseconds(150)));
  const auto other = client();
  other->sendRequest("GET", "/read", 2500);
  ASSERT_TRUE(until([&] { return other->answers.size() == 1; }));
  EXPECT_EQ(other->answers[0].result_int(), 200u);
  ASSERT_TRUE(until([&] { return half[0]->ended; }));
  ASSERT_EQ(half[0]->answers.size(), 1u);
  EXPECT_EQ(half[0]->answers[0].result_int(), 503u);
}

// A new connection that has to make room: its first request may be on the way, and is told so.
TEST_F(EndsTest, ANewConnectionThatMakesRoomIsRefused) {
  host(serveOk);
  start([](json& config) { config["limits"]["sockets"] = 27; });
  std::vector<std::shared_ptr<Client>> fresh;
  for (int i = 0; i < 11; ++i) fresh.push_back(client());
  ASSERT_TRUE(until([&] { return fresh[0]->ended; }));
  ASSERT_EQ(fresh[0]->answers.size(), 1u);
  EXPECT_EQ(fresh[0]->answers[0].result_int(), 503u);
  fresh[10]->sendRequest("GET", "/read", 2500);
  ASSERT_TRUE(until([&] { return fresh[10]->answers.size() == 1; }));
  EXPECT_EQ(fresh[10]->answers[0].result_int(), 200u);
}

// --- Answers that break off

// One in chunks with interim answers ahead and a trailer behind, and one whose length is told: cut behind
// each byte, by a reset and by an end in order. It is never passed on as whole, and what comes next is not
// harmed.
TEST_F(EndsTest, AnAnswerThatIsCutBehindAnyByteIsNeverTakenForWhole) {
  const std::string chunked =
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
      "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nTransfer-Encoding: chunked\r\n\r\n"
      "4\r\nfour\r\n3\r\nsix\r\n0\r\nX-Sum: 7\r\n\r\n";
  const std::string counted = "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nfoursix";
  std::string bytes;  // what the next unsafe request is answered; empty: in full
  bool byReset = false;
  host([&](const std::shared_ptr<Peer>& peer, const Received& r) {
    if (r.target() == "/read") return peer->reply(200, "good");
    peer->write(bytes);
    if (byReset) peer->socket.set_option(asio::socket_base::linger(true, 0));
    peer->close();
  });
  start();
  const auto c = client(), usual = client();
  const auto answered = [&](const std::string& what) {
    bytes = what;
    const std::size_t before = c->answers.size();
    c->sendRequest("POST", "/book", 2500, "x");
    EXPECT_TRUE(until([&] { return c->answers.size() > before || c->ended; }));
    return c->answers.size() > before ? c->answers.back().result_int() : 0u;
  };
  for (const std::string& whole : {chunked, counted})
    for (std::size_t cut = 0; cut < whole.size(); ++cut)
      for (const bool r : {true, false}) {
        byReset = r;
        // Danger: hosts that answer nothing but nonsense are an overload, and the cut would refuse what is
        // asked.
        serve(*usual, 12);
        ASSERT_EQ(answered(whole.substr(0, cut)), 502u)
            << "behind " << cut << " bytes of " << whole.substr(0, 30);
      }
  byReset = false;
  for (const std::string& whole : {chunked, counted}) {
    ASSERT_EQ(answered(whole), 200u);
    EXPECT_EQ(c->answers.back().body(), "foursix");
  }
}

// --- Discovery

// What it has to tell counts as told 6 s after it could be reached, whatever a call of ours met. Each gateway
// has its own trouble with it; from one moment on polls are answered, with a host that drains.
enum class Trouble { silent, refuses, resets, half, trickles, watchFallsSilent };

struct Watcher {
  Trouble trouble;
  std::vector<std::shared_ptr<Peer>> stuck;
  std::unique_ptr<Server> discovery;
  std::unique_ptr<Server> keeps, drains;
  std::unique_ptr<Gateway> gateway;
  bool well = false;
  std::size_t polls = 0;
  steady_clock::time_point told{};
};

TEST_F(EndsTest, EveryTroubleOfDiscoveryIsOverInsideItsSixSeconds) {
  std::vector<std::unique_ptr<Watcher>> all;
  for (const Trouble t : {Trouble::silent, Trouble::refuses, Trouble::resets, Trouble::half,
                          Trouble::trickles, Trouble::watchFallsSilent}) {
    all.push_back(std::make_unique<Watcher>());
    Watcher& w = *all.back();
    w.trouble = t;
    w.keeps = std::make_unique<Server>(io, serveOk);
    w.drains = std::make_unique<Server>(io, serveOk);
    w.discovery = std::make_unique<Server>(io, [&w](const std::shared_ptr<Peer>& peer, const Received& r) {
      ++w.polls;
      if (w.well) {
        // The news is handed out at once; what follows is a watch without any.
        if (r.target().find("since=2") != boost::beast::string_view::npos) return;
        w.told = steady_clock::now();
        return peer->reply(
            200,
            listJson(2, false, json::array({hostJson("drains", w.drains->endpoint(), "leaving")})).dump());
      }
      switch (w.trouble) {
        case Trouble::silent: return w.stuck.push_back(peer);
        case Trouble::refuses: return peer->reply(503, "");
        case Trouble::resets: return peer->close();
        case Trouble::half:
          return peer->write("HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n{\"index\":2,\"snapsh");
        case Trouble::trickles: return w.stuck.push_back(peer), peer->write("HTTP/1.1 200 OK\r\nX-A: ");
        case Trouble::watchFallsSilent: return;
      }
    });
    json config = configJson(
        w.discovery->endpoint(),
        json::array({hostJson("keeps", w.keeps->endpoint()), hostJson("drains", w.drains->endpoint())}));
    w.gateway = std::make_unique<Gateway>(io, clock, readConfig(config.dump(), clock));
    w.gateway->start();
  }
  // Well again, for each, in the worst moment: right behind a call that is lost.
  ASSERT_TRUE(after(milliseconds(2600)));
  std::vector<std::size_t> seen;
  for (const auto& w : all) seen.push_back(w->polls);
  std::vector<steady_clock::time_point> wellAt(all.size());
  const auto begun = steady_clock::now();
  const auto trickle = [&] {
    for (const auto& w : all)
      if (w->trouble == Trouble::trickles)
        for (const auto& peer : w->stuck)
          if (!peer->ended) try {
              peer->write("x");
            } catch (const std::exception&) {
              peer->ended = true;
            }
  };
  auto nextDrop = begun;
  ASSERT_TRUE(until([&] {
    const auto now = steady_clock::now();
    if (now >= nextDrop) trickle(), nextDrop = now + milliseconds(100);
    for (std::size_t i = 0; i < all.size(); ++i)
      if (!all[i]->well && (all[i]->polls > seen[i] || now > begun + seconds(5)))
        all[i]->well = true, wellAt[i] = now;
    return std::all_of(all.begin(), all.end(),
                       [](const auto& w) { return w->told.time_since_epoch().count(); });
  }));
  for (std::size_t i = 0; i < all.size(); ++i) {
    EXPECT_LT(all[i]->told - wellAt[i], milliseconds(5600)) << "trouble " << i;
    EXPECT_LT(all[i]->polls, 30u) << "a storm, trouble " << i;
  }
  ASSERT_TRUE(after(milliseconds(20)));
  for (std::size_t i = 0; i < all.size(); ++i) {  // and the news is heeded
    const auto c = Client::connect(io, all[i]->gateway->endpoint());
    const std::size_t before = all[i]->drains->received.size();
    serve(*c, 6);
    EXPECT_EQ(all[i]->drains->received.size(), before) << "trouble " << i;
  }
}

// A watch that falls silent right behind its call: given up, asked anew, and the first answer wanted soon.
TEST_F(EndsTest, AWatchThatFallsSilentIsReplacedSoonWhateverTheSettingsAllow) {
  for (const std::int64_t within : {10, 120}) {
    polls.clear();
    hosts.clear();
    host(serveOk);
    start([&](json& config) { config["settings"]["rules"]["askWithinNs"] = within * 1'000'000'000; });
    ASSERT_TRUE(until([&] { return polls.size() == 1; }));
    const auto silent = steady_clock::now();
    ASSERT_TRUE(until([&] { return polls.size() == 2; }));
    EXPECT_LT(steady_clock::now() - silent, milliseconds(4100)) << within << " s";
    EXPECT_NE(discovery.received.back().target().find("timeout_ms=500"), boost::beast::string_view::npos);
    polls[1]->reply(200, listJson(1, false, json::array()).dump());
    ASSERT_TRUE(until([&] { return polls.size() == 3; }));
    EXPECT_NE(discovery.received.back().target().find("timeout_ms=2000"), boost::beast::string_view::npos);
    gateway.reset();
  }
}

// While clients hold all that they may and each has an attempt out, discovery still gets its descriptor.
TEST_F(EndsTest, SharesLeaveTheProcessItsOwnDescriptors) {
  for (const int sockets : {64, 128, 256, 512, 1024, 4096}) {
    hosts.clear();
    host(hold);
    start([&](json& config) { config["limits"]["sockets"] = sockets; });
    const Gateway::DescriptorLimits shares = gateway->descriptorLimits();
    EXPECT_LE(shares.clients + shares.refused + shares.upstream + 16, static_cast<std::size_t>(sockets));
    EXPECT_GE(shares.clients + shares.upstream, static_cast<std::size_t>(sockets) * 7 / 10) << sockets;
    gateway.reset();
  }
}

}  // namespace
}  // namespace finchstile::testing
