// End conditions: disconnected clients, expired deduplication windows, closed connections, connections closed
// in favour of others, truncated answers, failing discovery. Each test brings its moment about and does not
// rely on chance.
#include <sys/resource.h>

#include "support/gateway_fixture.hpp"

namespace finchstile::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

// A host whose connections are not established before open() is called. They are then established within a
// second, when the kernel retransmits its SYN.
class LateHost {
 public:
  explicit LateHost(asio::io_context& io) : io_(io), acceptor_(io, tcp::v4()), queueFiller_(io) {
    acceptor_.bind(loopback());
    acceptor_.listen(0);
    queueFiller_.connect(acceptor_.local_endpoint());  // fills the accept queue
  }
  tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }
  void open() {
    acceptor_.async_accept([this](error_code error, tcp::socket socket) {
      if (error) return;
      connections_.push_back(std::make_unique<tcp::socket>(std::move(socket)));
      read(*connections_.back());
      open();
    });
  }
  std::string received;  // bytes of all connections

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
  tcp::socket queueFiller_;
  std::vector<std::unique_ptr<tcp::socket>> connections_;
  std::array<char, 4096> buffer_{};
};

struct EndsTest : GatewayTest {
  bool runFor(Duration d) {
    const auto then = steady_clock::now() + d;
    return until([&] { return steady_clock::now() >= then; });
  }
  std::string head(const std::string& method, const std::string& path, const std::string& id,
                   const std::string& more = "") const {
    return method + " " + path + " HTTP/1.1\r\nHost: api\r\nX-Correlation-Id: " + id +
           "\r\nX-Time-Left-Ms: 2500\r\n" + more + (method == "POST" ? "Content-Length: 0\r\n" : "") + "\r\n";
  }
};

// --- Disconnected clients

// The gateway cannot detect a disconnect behind more bytes than it reads ahead. If a host rejects the attempt
// at that moment, no other attempt may follow.
TEST_F(EndsTest, StartsNoAttemptForClientThatDisconnectedBehindUnreadBytes) {
  std::shared_ptr<Peer> attemptConnection;
  const auto keepAttempt = [&](const auto& peer, const Received&) { attemptConnection = peer; };
  static OutcomeLog outcomes;  // must outlive the gateway
  outcomes.all.clear();
  host(keepAttempt);
  host(keepAttempt);
  start();
  gateway->setAttemptLog(outcomes);
  for (int round = 0; round < 5; ++round) {
    attemptConnection.reset();
    const std::size_t before = received();
    const auto c = client();
    c->write(head("GET", "/read", "flood-" + std::to_string(round)));
    ASSERT_TRUE(until([&] { return attemptConnection != nullptr; }));
    c->write(std::string(20 * 1024, 'x'));
    ASSERT_TRUE(runFor(milliseconds(5)));  // the gateway has read ahead as far as it does
    c->close();
    const auto answered = steady_clock::now();
    std::exchange(attemptConnection, nullptr)->reply(503, "", "X-Unprocessed: 1\r\n");
    ASSERT_TRUE(until([&] { return gateway->openRequests() == 0; }));
    EXPECT_LT(steady_clock::now() - answered, milliseconds(100));
    EXPECT_EQ(received(), before + 1) << "round " << round;
  }
  // No host is counted as failing, and the request is not tried at further hosts.
  using load_balancing::Outcome;
  EXPECT_EQ(outcomes.count(Outcome::connectFailed), 0);
  EXPECT_LE(outcomes.all.size(), 10u);
}

// The client disconnects while the first attempt waits for a slow connection.
TEST_F(EndsTest, DoesNotSendAttemptAwaitingConnectionAfterClientDisconnects) {
  LateHost late(io);
  start([&](json& config) {
    config["known"]["endpoints"] = json::array({hostJson("late", late.endpoint())});
    config["settings"]["ceilings"]["connectTimeoutNs"] = 1'800'000'000;
    config["settings"]["ceilings"]["cancel"] = false;  // a waiting attempt cannot be cancelled
  });
  const auto c = client();
  c->write(head("GET", "/read", "gone"));
  ASSERT_TRUE(runFor(milliseconds(50)));
  c->close();
  late.open();
  ASSERT_TRUE(runFor(milliseconds(1500)));
  EXPECT_EQ(late.received.find("gone"), std::string::npos);
  EXPECT_EQ(gateway->openRequests(), 0u);
}

// The client disconnects while the last byte is held back, and attempts cannot be cancelled.
TEST_F(EndsTest, WithholdsLastByteAfterClientDisconnects) {
  host(serveOk);
  minVerificationTimeOverride = milliseconds(200);
  start([](json& config) { config["settings"]["ceilings"]["cancel"] = false; });
  const auto c = client();
  c->sendRequest("POST", "/book", 2500, "x");
  ASSERT_TRUE(until([&] { return hosts[0]->peers.size() == 1; }));
  ASSERT_TRUE(runFor(milliseconds(20)));
  c->close();
  ASSERT_TRUE(runFor(milliseconds(400)));
  EXPECT_EQ(received(), 0u);
  ASSERT_TRUE(until([&] { return gateway->openRequests() == 0; }));
}

// The host begins to drain while a connection to it is being established. Nothing new may be sent to it,
// including attempts for which it was chosen before.
TEST_F(EndsTest, SendsNothingToHostThatDrainsWhileConnecting) {
  LateHost late(io);
  const json lateHostList = json::array({hostJson("late", late.endpoint())});
  start([&](json& config) {
    config["known"]["endpoints"] = lateHostList;
    config["settings"]["ceilings"]["connectTimeoutNs"] = 1'800'000'000;
  });
  const auto c = client();
  c->write(head("GET", "/read", "drained"));
  ASSERT_TRUE(until([&] { return polls.size() == 1; }));
  json leaving = lateHostList;
  leaving[0]["status"] = "leaving";
  polls[0]->reply(200, listJson(2, false, leaving).dump());
  ASSERT_TRUE(runFor(milliseconds(50)));
  late.open();  // the connection is established a second after the connect
  ASSERT_TRUE(until([&] { return c->answers.size() == 1; }));
  EXPECT_EQ(c->answers[0].result_int(), 503u);
  ASSERT_TRUE(runFor(milliseconds(1200)));
  EXPECT_EQ(late.received, "");
}

// A half-close counts as a disconnect: clients keep their connection open while they wait for an answer.
TEST_F(EndsTest, EndsAttemptWhenClientHalfCloses) {
  host(hold);
  start();
  const auto c = client();
  c->write(head("GET", "/read", "half"));
  ASSERT_TRUE(until([&] { return received() == 1; }));
  c->socket.shutdown(tcp::socket::shutdown_send);
  ASSERT_TRUE(until([&] { return hosts[0]->peers[0]->ended; }));
  EXPECT_EQ(gateway->openRequests(), 0u);
}

// --- Deduplication windows of keyed requests

// The window is open when the resend is decided and has expired when its connection is established.
TEST_F(EndsTest, DoesNotResendKeyedRequestWhoseConnectionOpensAfterWindow) {
  LateHost late(io);
  host(hold);
  start([&](json& config) {
    config["settings"]["ceilings"]["connectTimeoutNs"] = 1'800'000'000;
    config["settings"]["grades"][2]["windowNs"] = 600'000'000;
  });
  const auto c = client();
  c->sendRequest("POST", "/put", 2500, "", "Idempotency-Key: k1\r\n");
  ASSERT_TRUE(until([&] { return received() == 1 && polls.size() == 1; }));
  // The late host is listed once the first attempt is pending at the other one, which has run it and closes.
  polls[0]->reply(200, listJson(2, false, json::array({hostJson("late", late.endpoint())})).dump());
  ASSERT_TRUE(until([&] { return polls.size() == 2; }));
  hosts[0]->peers[0]->close();
  ASSERT_TRUE(runFor(milliseconds(50)));
  late.open();  // the kernel retransmits its SYN a second after the connect
  ASSERT_TRUE(until([&] { return c->answers.size() == 1; }));
  EXPECT_EQ(c->answers[0].result_int(), 502u);
  ASSERT_TRUE(runFor(milliseconds(1200)));
  EXPECT_EQ(late.received, "");
  EXPECT_EQ(received(), 1u);
}

// The window expires while the last byte waits for the verification of its connection.
TEST_F(EndsTest, DoesNotCompleteKeyedResendWhoseWindowEndsDuringVerification) {
  int executions = 0;
  const auto countAndClose = [&](const std::shared_ptr<Peer>& peer, const Received&) {
    ++executions;
    peer->close();
  };
  host(countAndClose);
  host(countAndClose);
  minVerificationTimeOverride = milliseconds(400);
  start([](json& config) { config["settings"]["grades"][2]["windowNs"] = 700'000'000; });
  const auto c = client();
  c->sendRequest("POST", "/put", 2500, "", "Idempotency-Key: k2\r\n");
  ASSERT_TRUE(until([&] { return c->answers.size() == 1; }));
  EXPECT_EQ(c->answers[0].result_int(), 502u);
  EXPECT_EQ(executions, 1);
}

TEST_F(EndsTest, ResendsKeyedRequestWithinWindow) {
  int executions = 0;
  const auto closeOnce = [&](const std::shared_ptr<Peer>& peer, const Received&) {
    if (++executions == 1) peer->close();
    else peer->reply(200, "ok");
  };
  host(closeOnce);
  host(closeOnce);
  minVerificationTimeOverride = milliseconds(100);
  start([](json& config) { config["settings"]["grades"][2]["windowNs"] = 700'000'000; });
  const auto c = client();
  c->sendRequest("POST", "/put", 2500, "", "Idempotency-Key: k3\r\n");
  ASSERT_TRUE(until([&] { return c->answers.size() == 1; }));
  EXPECT_EQ(c->answers[0].result_int(), 200u);
  EXPECT_EQ(executions, 2);
}

// --- Responses that come twice

// Guards against a response given to another client's request: the host sends it again 4 ms later, whatever
// its status and length, and the next request follows at once.
TEST_F(EndsTest, DoesNotTakeRepeatedResponseForTheNextOne) {
  std::vector<std::unique_ptr<asio::steady_timer>> timers;
  std::size_t bodyBytes = 0;
  bool rejects = false;
  host([&](const std::shared_ptr<Peer>& peer, const Received& request) {
    const std::string body = std::string(request["X-Correlation-Id"]) + std::string(bodyBytes, 'x');
    const auto reply = [peer, body, rejected = rejects](error_code) {
      try {
        if (rejected) peer->reply(503, body, "X-Unprocessed: 1\r\n");
        else peer->reply(200, body);
      } catch (const boost::system::system_error&) {
        // The gateway has closed the connection.
      }
    };
    for (const milliseconds after : {milliseconds(8), milliseconds(12)}) {
      timers.push_back(std::make_unique<asio::steady_timer>(io, after));
      timers.back()->async_wait(reply);
    }
  });
  start();
  const auto c = client();
  std::size_t answered = 0;
  const auto expectOwnResponse = [&](const std::string& method, const std::string& path,
                                     const std::string& headers) {
    c->sendRequest(method, path, 2500, method == "POST" ? "x" : "", headers);
    ASSERT_TRUE(until([&] { return c->answers.size() > answered; }));
    const auto& answer = c->answers[answered++];
    if (rejects) return;
    EXPECT_EQ(answer.result_int(), 200u) << path;
    EXPECT_EQ(answer.body().substr(0, c->id.size()), c->id) << path;
  };
  for (const std::size_t bytes : {std::size_t{0}, std::size_t{100'000}})
    for (const bool precededByRejection : {false, true}) {
      bodyBytes = bytes;
      for (int round = 0; round < 4; ++round) {
        rejects = precededByRejection;
        expectOwnResponse("GET", "/read", "");
        rejects = false;
        expectOwnResponse("GET", "/read", "");
        expectOwnResponse("POST", "/book", "");
        expectOwnResponse("POST", "/put", "Idempotency-Key: " + c->id + "\r\n");
      }
    }
}

// Guards against polls that run ahead of their responses: discovery sends a list twice, and the copy is taken
// for the response to the next poll.
TEST_F(EndsTest, DoesNotTakeRepeatedListForTheResponseToTheNextPoll) {
  host(serveOk);
  start();
  ASSERT_TRUE(until([&] { return polls.size() == 1; }));
  const std::string list = listJson(2, false, json::array()).dump();
  const std::string response =
      "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(list.size()) + "\r\n\r\n" + list;
  polls[0]->write(response + response);
  ASSERT_TRUE(until([&] { return polls.size() == 2; }));
  ASSERT_TRUE(runFor(milliseconds(100)));
  EXPECT_EQ(polls.size(), 2u);
  EXPECT_NE(polls[1], polls[0]);  // on a connection of its own
}

// --- Closing

// A request may be sent at the moment when the gateway closes its idle connection. It is not forwarded, and
// the connection is not reset, so that the client reads an orderly close and can send it again elsewhere.
TEST_F(EndsTest, ClosesIdleConnectionWithoutResetWhenRequestCrossesClose) {
  host(serveOk);
  start();
  const auto c = client();
  c->sendRequest("GET", "/read", 2500);
  ASSERT_TRUE(until([&] { return c->answers.size() == 1; }));
  ASSERT_TRUE(runFor(milliseconds(5)));
  gateway->enterLameDuck();  // idle connections are closed soon
  ASSERT_TRUE(until([&] { return c->ended; }));
  error_code error;
  for (int i = 0; i < 3; ++i) {
    asio::write(c->socket, asio::buffer(head("GET", "/read", "crossing-" + std::to_string(i))), error);
    EXPECT_FALSE(error) << error.message() << ", write " << i;
    ASSERT_TRUE(runFor(milliseconds(5)));
  }
  char byte = 0;
  c->socket.non_blocking(true);
  EXPECT_EQ(c->socket.read_some(asio::buffer(&byte, 1), error), 0u);
  EXPECT_EQ(error, asio::error::eof) << error.message();
  EXPECT_EQ(received(), 1u);
  c->close();
  ASSERT_TRUE(until([&] { return gateway->clientConnections() == 0; }));
}

// A client refused at the connection limit can read the refusal even if it keeps sending.
TEST_F(EndsTest, RefusedClientCanKeepSendingAndReadRefusal) {
  host(hold);
  start([](json& config) { config["limits"]["sockets"] = 27; });  // ten clients
  std::vector<std::shared_ptr<Client>> activeClients;
  for (std::size_t i = 0; i < 10; ++i) {
    activeClients.push_back(client());
    activeClients.back()->sendRequest("GET", "/read", 2900);
    ASSERT_TRUE(until([&] { return gateway->openRequests() == i + 1; }));
  }
  const auto late = client();
  ASSERT_TRUE(until([&] { return late->answers.size() == 1; }));
  EXPECT_EQ(late->answers[0].result_int(), 503u);
  error_code error;
  for (int i = 0; i < 4; ++i) {
    asio::write(late->socket, asio::buffer(std::string(8000, 'x')), error);
    EXPECT_FALSE(error) << error.message() << ", write " << i;
    ASSERT_TRUE(runFor(milliseconds(5)));
  }
  EXPECT_LE(gateway->clientConnections(), 11u);
  // Further clients are refused as well: neither the open requests nor the refused connections make room.
  for (int i = 0; i < 4; ++i) {
    const auto another = client();
    another->sendRequest("GET", "/read", 2900);
    ASSERT_TRUE(until([&] { return another->answers.size() == 1; }));
    EXPECT_EQ(another->answers[0].result_int(), 503u);
    EXPECT_EQ(gateway->openRequests(), 10u);
  }
  for (int i = 0; i < 20; ++i) client();
  ASSERT_TRUE(runFor(milliseconds(20)));
  EXPECT_LE(gateway->clientConnections(), 11u);
  EXPECT_EQ(gateway->openRequests(), 10u);
}

// A connection with a partial request that is closed in favour of another client gets a refusal first, since
// the rest of the request may be on its way.
TEST_F(EndsTest, RefusesPartialRequestClosedInFavourOfNewClient) {
  host(serveOk);
  start([](json& config) { config["limits"]["sockets"] = 27; });
  std::vector<std::shared_ptr<Client>> partialClients;
  for (int i = 0; i < 10; ++i) {
    partialClients.push_back(client());
    partialClients.back()->write("POST /book HTTP/1.1\r\nHost: api\r\nX-Corr");
  }
  ASSERT_TRUE(runFor(milliseconds(150)));
  const auto other = client();
  other->sendRequest("GET", "/read", 2500);
  ASSERT_TRUE(until([&] { return other->answers.size() == 1; }));
  EXPECT_EQ(other->answers[0].result_int(), 200u);
  ASSERT_TRUE(until([&] { return partialClients[0]->ended; }));
  ASSERT_EQ(partialClients[0]->answers.size(), 1u);
  EXPECT_EQ(partialClients[0]->answers[0].result_int(), 503u);
}

// A new connection that is closed in favour of another gets a refusal first, since its first request may be
// on its way.
TEST_F(EndsTest, RefusesNewConnectionClosedInFavourOfAnother) {
  host(serveOk);
  start([](json& config) { config["limits"]["sockets"] = 27; });
  std::vector<std::shared_ptr<Client>> newClients;
  for (int i = 0; i < 11; ++i) newClients.push_back(client());
  ASSERT_TRUE(until([&] { return newClients[0]->ended; }));
  ASSERT_EQ(newClients[0]->answers.size(), 1u);
  EXPECT_EQ(newClients[0]->answers[0].result_int(), 503u);
  newClients[10]->sendRequest("GET", "/read", 2500);
  ASSERT_TRUE(until([&] { return newClients[10]->answers.size() == 1; }));
  EXPECT_EQ(newClients[10]->answers[0].result_int(), 200u);
}

// --- Truncated answers

// A chunked answer with interim answers before it and a trailer, and one with Content-Length, are truncated
// after each byte, by a reset and by a close. None may be passed on as complete, and the next answer must be
// intact.
TEST_F(EndsTest, FailsRequestWhenAnswerIsTruncatedAfterAnyByte) {
  const std::string chunked =
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
      "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nTransfer-Encoding: chunked\r\n\r\n"
      "4\r\nfour\r\n3\r\nsix\r\n0\r\nX-Sum: 7\r\n\r\n";
  const std::string withLength = "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nfoursix";
  std::string nextAnswer;  // the answer to the next unsafe request
  bool closesByReset = false;
  host([&](const std::shared_ptr<Peer>& peer, const Received& r) {
    if (r.target() == "/read") return peer->reply(200, "good");
    peer->write(nextAnswer);
    if (closesByReset) peer->socket.set_option(asio::socket_base::linger(true, 0));
    peer->close();
  });
  minReuseDelayOverride = milliseconds(1);  // 5,800 requests one after another; the host repeats no response
  start();
  const auto c = client(), steadyClient = client();
  const auto statusFor = [&](const std::string& what) {
    nextAnswer = what;
    const std::size_t before = c->answers.size();
    c->sendRequest("POST", "/book", 2500, "x");
    EXPECT_TRUE(until([&] { return c->answers.size() > before || c->ended; }));
    return c->answers.size() > before ? c->answers.back().result_int() : 0u;
  };
  for (const std::string& completeAnswer : {chunked, withLength})
    for (std::size_t length = 0; length < completeAnswer.size(); ++length)
      for (const bool isReset : {true, false}) {
        closesByReset = isReset;
        // Without enough good answers, the gateway would infer an overload from the failures and refuse the
        // request under test.
        expectServed(*steadyClient, 12);
        ASSERT_EQ(statusFor(completeAnswer.substr(0, length)), 502u)
            << "after " << length << " bytes of " << completeAnswer.substr(0, 30);
      }
  closesByReset = false;
  for (const std::string& completeAnswer : {chunked, withLength}) {
    ASSERT_EQ(statusFor(completeAnswer), 200u);
    EXPECT_EQ(c->answers.back().body(), "foursix");
  }
}

// --- Discovery

// A change of the list must reach a gateway within 6 s after discovery has recovered, whatever fault its
// polls met before. Each gateway has a discovery with another fault, which at some time recovers and reports
// that a host drains.
enum class DiscoveryFault { silent, refuses, closes, truncates, trickles, pollUnanswered };

struct DiscoveryCase {
  DiscoveryFault fault;
  std::vector<std::shared_ptr<Peer>> stalledPolls;
  std::unique_ptr<Server> discovery;
  std::unique_ptr<Server> activeHost, drainingHost;
  std::unique_ptr<Gateway> gateway;
  bool recovered = false;
  std::size_t polls = 0;
  steady_clock::time_point listSentAt{};
};

TEST_F(EndsTest, ReceivesChangeWithinSixSecondsAfterAnyDiscoveryFault) {
  std::vector<std::unique_ptr<DiscoveryCase>> cases;
  for (const DiscoveryFault t :
       {DiscoveryFault::silent, DiscoveryFault::refuses, DiscoveryFault::closes, DiscoveryFault::truncates,
        DiscoveryFault::trickles, DiscoveryFault::pollUnanswered}) {
    cases.push_back(std::make_unique<DiscoveryCase>());
    DiscoveryCase& w = *cases.back();
    w.fault = t;
    w.activeHost = std::make_unique<Server>(io, serveOk);
    w.drainingHost = std::make_unique<Server>(io, serveOk);
    w.discovery = std::make_unique<Server>(io, [&w](const std::shared_ptr<Peer>& peer, const Received& r) {
      ++w.polls;
      if (w.recovered) {
        // The change is sent at once. The polls after it stay unanswered, as there are no more changes.
        if (r.target().find("since=2") != boost::beast::string_view::npos) return;
        w.listSentAt = steady_clock::now();
        return peer->reply(
            200, listJson(2, false, json::array({hostJson("drains", w.drainingHost->endpoint(), "leaving")}))
                     .dump());
      }
      switch (w.fault) {
        case DiscoveryFault::silent: return w.stalledPolls.push_back(peer);
        case DiscoveryFault::refuses: return peer->reply(503, "");
        case DiscoveryFault::closes: return peer->close();
        case DiscoveryFault::truncates:
          return peer->write("HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n{\"index\":2,\"snapsh");
        case DiscoveryFault::trickles:
          return w.stalledPolls.push_back(peer), peer->write("HTTP/1.1 200 OK\r\nX-A: ");
        case DiscoveryFault::pollUnanswered: return;
      }
    });
    json config =
        configJson(w.discovery->endpoint(), json::array({hostJson("keeps", w.activeHost->endpoint()),
                                                         hostJson("drains", w.drainingHost->endpoint())}));
    w.gateway = std::make_unique<Gateway>(io, clock, readConfig(config.dump(), clock));
    w.gateway->start();
  }
  // Each discovery recovers at the worst moment: right after a poll that is lost.
  ASSERT_TRUE(runFor(milliseconds(2600)));
  std::vector<std::size_t> pollsBefore;
  for (const auto& w : cases) pollsBefore.push_back(w->polls);
  std::vector<steady_clock::time_point> recoveredAt(cases.size());
  const auto startTime = steady_clock::now();
  const auto trickle = [&] {
    for (const auto& w : cases)
      if (w->fault == DiscoveryFault::trickles)
        for (const auto& peer : w->stalledPolls)
          if (!peer->ended) try {
              peer->write("x");
            } catch (const std::exception&) {
              peer->ended = true;
            }
  };
  auto nextTrickle = startTime;
  ASSERT_TRUE(until([&] {
    const auto now = steady_clock::now();
    if (now >= nextTrickle) trickle(), nextTrickle = now + milliseconds(100);
    for (std::size_t i = 0; i < cases.size(); ++i)
      if (!cases[i]->recovered && (cases[i]->polls > pollsBefore[i] || now > startTime + seconds(5)))
        cases[i]->recovered = true, recoveredAt[i] = now;
    return std::all_of(cases.begin(), cases.end(),
                       [](const auto& w) { return w->listSentAt.time_since_epoch().count(); });
  }));
  for (std::size_t i = 0; i < cases.size(); ++i) {
    EXPECT_LT(cases[i]->listSentAt - recoveredAt[i], milliseconds(5600)) << "fault " << i;
    EXPECT_LT(cases[i]->polls, 30u) << "too many polls, fault " << i;
  }
  ASSERT_TRUE(runFor(milliseconds(20)));
  for (std::size_t i = 0; i < cases.size(); ++i) {  // the change is in force
    const auto c = Client::connect(io, cases[i]->gateway->endpoint());
    const std::size_t before = cases[i]->drainingHost->received.size();
    expectServed(*c, 6);
    EXPECT_EQ(cases[i]->drainingHost->received.size(), before) << "fault " << i;
  }
}

// A poll that is never answered is repeated. The new one requests a short wait, until there is an answer
// again.
TEST_F(EndsTest, RepeatsUnansweredPollSoonWhateverSettingsAllow) {
  for (const std::int64_t silenceLimitSeconds : {10, 120}) {
    polls.clear();
    hosts.clear();
    host(serveOk);
    start([&](json& config) {
      config["settings"]["rules"]["askWithinNs"] = silenceLimitSeconds * 1'000'000'000;
    });
    ASSERT_TRUE(until([&] { return polls.size() == 1; }));
    const auto polledAt = steady_clock::now();
    ASSERT_TRUE(until([&] { return polls.size() == 2; }));
    EXPECT_LT(steady_clock::now() - polledAt, milliseconds(4100)) << silenceLimitSeconds << " s";
    EXPECT_NE(discovery.received.back().target().find("timeout_ms=500"), boost::beast::string_view::npos);
    polls[1]->reply(200, listJson(1, false, json::array()).dump());
    ASSERT_TRUE(until([&] { return polls.size() == 3; }));
    EXPECT_NE(discovery.received.back().target().find("timeout_ms=2000"), boost::beast::string_view::npos);
    gateway.reset();
  }
}

// Discovery must get a descriptor even when clients use all of theirs and each has an attempt in flight.
TEST_F(EndsTest, DescriptorSharesLeaveSixteenForProcess) {
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
