// Each combination of a stage of a request and an event that happens at that stage is a test of its own. The
// tests bring about both over loopback sockets, byte by byte. The same conditions must hold after every
// combination.
#include <cstdio>
#include <map>
#include <random>
#include <tuple>

#include "support/gateway_fixture.hpp"

namespace finchstile::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr int kTimeLeftMs = 700;                    // X-Time-Left-Ms of each request
constexpr milliseconds kSchedulingSlack{200};       // added to each time limit for scheduling delays
constexpr milliseconds kDisconnectSlack{100};       // an attempt may still begin this long after a disconnect
constexpr std::size_t kLongAnswerBytes = 4u << 20;  // more than the socket buffers hold

enum class Stage {
  partialHead,       // a part of the header section has been sent
  partialBody,       // the header section and a part of the body have been sent
  unread,            // sent completely, but the gateway's event loop has not run since
  connecting,        // the connection to its host is not established
  lastByteHeld,      // sent to its host but for the last byte, which waits for the connection's verification
  pendingAtHost,     // its host has received it and does not answer
  heldByFilter,      // a filter holds it, and no attempt has been made
  answerPartlyRead,  // its host has sent a part of an answer that is short enough to be buffered
  answerPartlyRelayed,  // its host has sent a part of an answer that the gateway relays
  answerUnread,         // its client does not read the answer
  pipelined,            // pipelined behind a request that is pending at its host
  idle,                 // answered; the event and the next request happen at the same moment
};
enum class Event {
  deadlinesOnly,  // none: only deadlines and timeouts take effect
  drain,
  lameDuck,
  clientCloses,
  clientHalfCloses,
  clientResets,
  hostCloses,
  hostResets,
  hostRemoved,
  pollCloses,
  reload,
  connectionLimit,  // more clients connect than the connection limit allows
};
const char* const kStageNames[] = {"PartialHead",         "PartialBody",   "Unread",       "Connecting",
                                   "LastByteHeld",        "PendingAtHost", "HeldByFilter", "AnswerPartlyRead",
                                   "AnswerPartlyRelayed", "AnswerUnread",  "Pipelined",    "Idle"};
const char* const kEventNames[] = {"DeadlinesOnly",    "Drain",        "LameDuck",   "ClientCloses",
                                   "ClientHalfCloses", "ClientResets", "HostCloses", "HostResets",
                                   "HostRemoved",      "PollCloses",   "Reload",     "ConnectionLimit"};

void reset(tcp::socket& socket) {
  error_code ignored;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

// A client that writes and reads raw bytes under the control of the test and keeps all that it receives.
struct RawClient : std::enable_shared_from_this<RawClient> {
  explicit RawClient(asio::io_context& io) : socket(io) {}
  tcp::socket socket;
  std::string receivedBytes;
  bool reading = true, disconnected = false;
  error_code endError;
  steady_clock::time_point lastReceivedAt{}, disconnectedAt{};

  void write(const std::string& bytes) {
    error_code ignored;
    asio::write(socket, asio::buffer(bytes), ignored);
  }
  void read() {
    socket.async_read_some(asio::buffer(buffer),
                           [self = shared_from_this()](error_code error, std::size_t n) {
                             self->receivedBytes.append(self->buffer.data(), n);
                             if (n > 0) self->lastReceivedAt = steady_clock::now();
                             if (error) self->endError = error;
                             else if (self->reading) self->read();
                           });
  }
  std::array<char, 64 * 1024> buffer{};

  struct ReceivedAnswers {
    std::vector<unsigned> statuses;  // status of each complete answer, in order
    bool isTruncated = false;        // followed by an incomplete answer
  };
  ReceivedAnswers parseAnswers() const {
    ReceivedAnswers g;
    asio::const_buffer remaining(receivedBytes.data(), receivedBytes.size());
    while (remaining.size() > 0) {
      http::response_parser<http::string_body> parser;
      parser.eager(true);
      parser.body_limit(64u << 20);
      error_code error;
      const std::size_t used = parser.put(remaining, error);
      if (error || !parser.is_done()) return g.isTruncated = true, g;
      if (parser.get().result_int() >= 200) g.statuses.push_back(parser.get().result_int());
      remaining += used;
    }
    return g;
  }
};

// Holds the request under test forever, at the stage `heldByFilter`.
struct HoldingFilter : RequestFilter {
  std::uint8_t phases() const override { return 0x7f; }
  FilterDecision onRequestReceived(RequestContext& x) override {
    return {std::nullopt, stage == Stage::heldByFilter && (*x.message)["X-Correlation-Id"] == "r"};
  }
  Stage stage{};
};

struct EventDuringRequestTest : GatewayTest, ::testing::WithParamInterface<std::tuple<Stage, Event>> {
  struct Execution {  // a request that a host has received completely
    std::string id;
    steady_clock::time_point at;
  };
  std::vector<Execution> executions;
  std::vector<std::shared_ptr<RawClient>> clients;
  std::unique_ptr<tcp::acceptor> unresponsiveHost;
  std::unique_ptr<tcp::socket> queueFiller;
  Server newDiscovery{io, [](const auto&, const Received&) {}};  // discovery after a reload
  json config;
  bool drainDone = false;
  int earlierRequests = 0;  // requests that hosts have received before the stage was reached

  Stage stage() const { return std::get<0>(GetParam()); }
  Event event() const { return std::get<1>(GetParam()); }

  // Runs the event loop until it stays idle for three times 2 ms.
  void runUntilIdle() {
    for (int quiet = 0; quiet < 3;) {
      io.restart();
      quiet = io.run_for(milliseconds(2)) == 0 ? quiet + 1 : 0;
    }
  }
  bool runFor(Duration d) {
    const auto then = steady_clock::now() + d;
    return until([&] { return steady_clock::now() >= then; });
  }

  void onHost(const std::shared_ptr<Peer>& peer, const Received& r) {
    executions.push_back({std::string(r["X-Correlation-Id"]), steady_clock::now()});
    // The first request is brought to the stage of the test; all later ones are served.
    if (executions.size() > 1) return peer->reply(200, "ok");
    switch (stage()) {
      case Stage::pendingAtHost:
      case Stage::pipelined: return;
      case Stage::answerPartlyRead: return peer->write("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
      case Stage::answerPartlyRelayed:
        return peer->write("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + std::string(80000, 'a'));
      case Stage::answerUnread: {
        // Written as far as the socket buffers permit, and the rest when there is room.
        auto bytes = std::make_shared<std::string>(
            "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kLongAnswerBytes) + "\r\n\r\n" +
            std::string(kLongAnswerBytes, 'a'));
        return asio::async_write(peer->socket, asio::buffer(*bytes),
                                 [peer, bytes](error_code, std::size_t) {});
      }
      default: return peer->reply(200, "ok");
    }
  }

  void begin() {
    const auto handler = [this](const auto& peer, const Received& r) { onHost(peer, r); };
    host(handler);
    host(handler);
    json list = hostListJson();
    if (stage() == Stage::connecting) {
      unresponsiveHost = std::make_unique<tcp::acceptor>(io, tcp::v4());
      unresponsiveHost->bind(loopback());
      unresponsiveHost->listen(0);
      queueFiller = std::make_unique<tcp::socket>(io);
      queueFiller->connect(unresponsiveHost->local_endpoint());
      list = json::array({hostJson("late", unresponsiveHost->local_endpoint())});
    }
    config = configJson(discovery.endpoint(), list);
    config["limits"]["sockets"] = 27;  // ten clients
    for (json& g : config["settings"]["grades"]) g["giveUpNs"] = 1'000'000'000, g["aimNs"] = 900'000'000;
    GatewayConfig read = readConfig(config.dump(), clock);
    read.options.clients.requestTimeout = milliseconds(500);
    read.options.clients.writeTimeout = milliseconds(500);
    read.options.drainServeTime = Duration{};
    read.options.minVerificationTime = stage() == Stage::lastByteHeld ? milliseconds(150) : milliseconds(20);
    gateway = std::make_unique<Gateway>(io, clock, std::move(read));
    static HoldingFilter holdingFilter;  // must outlive all gateways
    holdingFilter.stage = stage();
    gateway->attach(holdingFilter);
    gateway->start();
    ASSERT_TRUE(until([&] { return polls.size() == 1; }));
  }

  std::shared_ptr<RawClient> newClient() {
    const auto c = std::make_shared<RawClient>(io);
    c->socket.connect(gateway->endpoint());
    c->reading = stage() != Stage::answerUnread;
    if (c->reading) c->read();
    clients.push_back(c);
    return c;
  }
  static std::string request(const std::string& id) {  // unsafe
    return "POST /book HTTP/1.1\r\nHost: api\r\nX-Correlation-Id: " + id +
           "\r\nX-Time-Left-Ms: " + std::to_string(kTimeLeftMs) + "\r\nContent-Length: 10\r\n\r\n0123456789";
  }

  // Brings the client's request to the stage of the test. Returns whether it was sent completely.
  bool bringToStage(RawClient& c) {
    const std::string fullRequest = request("r");
    switch (stage()) {
      case Stage::partialHead: c.write(fullRequest.substr(0, 40)), runUntilIdle(); return false;
      case Stage::partialBody:
        c.write(fullRequest.substr(0, fullRequest.size() - 6)), runUntilIdle();
        return false;
      case Stage::unread: runUntilIdle(), c.write(fullRequest); return true;
      case Stage::heldByFilter:
      case Stage::connecting: c.write(fullRequest), runUntilIdle(); return true;
      case Stage::lastByteHeld:
        c.write(fullRequest);
        EXPECT_TRUE(until([&] { return hosts[0]->peers.size() + hosts[1]->peers.size() == 1; }));
        runUntilIdle();
        EXPECT_TRUE(executions.empty());
        return true;
      case Stage::pendingAtHost:
        c.write(fullRequest);
        EXPECT_TRUE(until([&] { return executions.size() == 1; }));
        runUntilIdle();
        return true;
      case Stage::answerPartlyRead:
      case Stage::answerPartlyRelayed:
      case Stage::answerUnread:
        c.write(fullRequest);
        EXPECT_TRUE(until([&] { return executions.size() == 1; }));
        runUntilIdle();
        return true;
      case Stage::pipelined:
        c.write(request("r") + request("r2"));
        EXPECT_TRUE(until([&] { return executions.size() == 1; }));
        runUntilIdle();
        return true;
      case Stage::idle:
        c.write(fullRequest);
        EXPECT_TRUE(until([&] { return !c.receivedBytes.empty(); }));
        runUntilIdle();
        return true;
    }
    return false;
  }

  void triggerEvent(RawClient& c) {
    const auto disconnect = [&](bool byReset) {
      c.disconnected = true;
      c.disconnectedAt = steady_clock::now();
      error_code ignored;
      if (byReset) reset(c.socket);
      else c.socket.close(ignored);
    };
    switch (event()) {
      case Event::deadlinesOnly: break;
      case Event::drain: gateway->drain([this] { drainDone = true; }); break;
      case Event::lameDuck: gateway->enterLameDuck(); break;
      case Event::clientCloses: disconnect(false); break;
      case Event::clientResets: disconnect(true); break;
      case Event::clientHalfCloses: {
        c.disconnected = true;
        c.disconnectedAt = steady_clock::now();
        error_code ignored;
        c.socket.shutdown(tcp::socket::shutdown_send, ignored);
        break;
      }
      case Event::hostCloses:
      case Event::hostResets:
        for (const auto& h : hosts)
          for (const auto& peer : std::exchange(h->peers, {})) {
            if (event() == Event::hostResets) reset(peer->socket);
            else peer->close();
          }
        break;
      case Event::hostRemoved: {
        json removedHosts = hostListJson();
        if (stage() == Stage::connecting)
          removedHosts = json::array({hostJson("late", unresponsiveHost->local_endpoint())});
        for (json& h : removedHosts) h["status"] = "left";
        polls[0]->reply(200, listJson(2, false, removedHosts).dump());
        break;
      }
      case Event::pollCloses: polls[0]->close(); break;
      case Event::reload: {
        json next = config;
        next["discovery"] = text(newDiscovery.endpoint());
        gateway->reload(readConfig(next.dump(), clock));
        break;
      }
      case Event::connectionLimit:
        for (int i = 0; i < 14; ++i) {
          const auto other = std::make_shared<RawClient>(io);
          other->socket.connect(gateway->endpoint());
          other->read();
          otherClients.push_back(other);
        }
        break;
    }
  }
  std::vector<std::shared_ptr<RawClient>> otherClients;
};

TEST_P(EventDuringRequestTest, AnswersOnceOrClosesInOrderAndLeavesNoState) {
  begin();
  const auto c = newClient();
  const bool sentWhole = bringToStage(*c);
  const auto eventTime = steady_clock::now();
  const std::size_t answersBefore = c->parseAnswers().statuses.size();
  const std::size_t bytesBefore = c->receivedBytes.size();
  triggerEvent(*c);
  const bool crossesClose = stage() == Stage::idle && !c->disconnected;
  if (crossesClose) c->write(request("crossing"));
  std::size_t expectedAnswers = stage() == Stage::pipelined ? 2 : sentWhole && stage() != Stage::idle ? 1 : 0;

  // A relayed answer may pause for up to 5 s before it fails, even past the deadline; a drain does not wait
  // for it.
  const bool endsByHost = stage() == Stage::answerPartlyRelayed && !c->disconnected;
  if (endsByHost && event() == Event::drain) {
    ASSERT_TRUE(until([&] { return drainDone; }));
    EXPECT_LE(steady_clock::now() - eventTime, milliseconds(1500) + kSchedulingSlack);  // killed at 1.7 s
    // The process would end here and close the connection before the announced length is complete.
    EXPECT_TRUE(c->parseAnswers().statuses.empty());
    EXPECT_TRUE(c->parseAnswers().isTruncated);
    return;
  }

  // Waits until the gateway has no open request and neither answers nor closes any more.
  ASSERT_TRUE(runFor(milliseconds(30)));
  ASSERT_TRUE(until([&] { return gateway->openRequests() == 0; }));
  const auto idleTime = steady_clock::now();
  const bool endsSlowly = stage() == Stage::partialHead || stage() == Stage::partialBody ||
                          stage() == Stage::answerPartlyRelayed || stage() == Stage::answerUnread ||
                          stage() == Stage::pipelined || crossesClose;
  ASSERT_TRUE(runFor(milliseconds(endsSlowly ? 1000 : 60)));
  ASSERT_TRUE(until([&] { return gateway->openRequests() == 0; }));
  if (stage() == Stage::answerUnread && !c->disconnected)
    c->reading = true, c->read(), runFor(milliseconds(100));
  const RawClient::ReceivedAnswers answersSoFar = c->parseAnswers();
  const std::size_t answers = answersSoFar.statuses.size() - answersBefore;

  // Exactly one answer, in time, for each request that its client waits for.
  EXPECT_LE(idleTime - eventTime, milliseconds((endsByHost ? 5000 : kTimeLeftMs) + 50) + kSchedulingSlack);
  EXPECT_LE(answers, expectedAnswers + (crossesClose ? 1 : 0) + (sentWhole ? 0 : 1));
  if (!c->disconnected && expectedAnswers > 0) {
    // An answer that was being relayed may be truncated. The client detects it by the early close.
    const bool wasTruncated = (stage() == Stage::answerPartlyRelayed || stage() == Stage::answerUnread) &&
                              answers == 0 && c->endError;
    // A pipelined request may find its connection closed after the answer before it. It was not processed,
    // and its client can send it elsewhere.
    const bool pipelinedUnread =
        stage() == Stage::pipelined && answers == 1 && c->endError == asio::error::eof;
    if (!wasTruncated && !pipelinedUnread) EXPECT_EQ(answers, expectedAnswers);
    if (!wasTruncated)
      EXPECT_FALSE(answersSoFar.isTruncated)
          << "undetected truncation: " << c->receivedBytes.substr(bytesBefore, 200);
  }
  // A request that crossed a close was either answered, or met an orderly close and was not sent to a host.
  const auto executionsOf = [&](const std::string& id) {
    return std::count_if(executions.begin(), executions.end(),
                         [&](const Execution& r) { return r.id == id; });
  };
  if (crossesClose && answers == 0) {
    EXPECT_EQ(executionsOf("crossing"), 0);
    EXPECT_EQ(c->endError, asio::error::eof) << c->endError.message();
  }
  // The request is unsafe: it ran at most once, and it was refused only if it had not run.
  for (const std::string id : {"r", "r2", "crossing"}) EXPECT_LE(executionsOf(id), 1) << id;
  if (stage() != Stage::idle && stage() != Stage::pipelined && answers == 1 && executionsOf("r") == 1)
    EXPECT_NE(answersSoFar.statuses.back(), 503u) << "refused, although it ran";
  if (!sentWhole) EXPECT_EQ(executions.size(), 0u);
  // No attempt begins after the client's disconnect was detected.
  if (c->disconnected)
    for (const Execution& r : executions)
      EXPECT_LE(r.at, c->disconnectedAt + kDisconnectSlack + kSchedulingSlack) << r.id;
  if (c->disconnected && stage() == Stage::pipelined) EXPECT_EQ(executionsOf("r2"), 0);

  // No connection or request remains.
  error_code ignored;
  c->socket.close(ignored);
  for (const auto& other : otherClients) other->socket.close(ignored);
  EXPECT_TRUE(until([&] { return gateway->clientConnections() == 0; }));
  EXPECT_EQ(gateway->openRequests(), 0u);
  if (event() == Event::drain) {
    EXPECT_TRUE(until([&] { return drainDone; }));
  } else if (stage() != Stage::connecting && event() != Event::hostRemoved) {
    // The gateway keeps serving, and bytes left over from an ended attempt are not taken for an answer.
    const auto next = client();
    for (int i = 0; i < 4; ++i) {
      next->sendRequest("POST", "/book", 2500, "x");
      ASSERT_TRUE(
          until([&] { return next->answers.size() == static_cast<std::size_t>(i) + 1 || next->ended; }));
      ASSERT_EQ(next->answers.size(), static_cast<std::size_t>(i) + 1);
      EXPECT_EQ(next->answers.back().result_int(), 200u);
      EXPECT_EQ(next->answers.back().body(), "ok");
      if (event() == Event::lameDuck) break;  // the answer closed the connection
    }
  }
  if (event() == Event::hostRemoved) EXPECT_TRUE(until([&] { return gateway->trackedHosts() == 0; }));
}

std::string combinationName(const ::testing::TestParamInfo<std::tuple<Stage, Event>>& info) {
  return std::string(kStageNames[static_cast<int>(std::get<0>(info.param))]) + "When" +
         kEventNames[static_cast<int>(std::get<1>(info.param))];
}
template <class E>
std::vector<E> all(E last) {
  std::vector<E> out;
  for (int i = 0; i <= static_cast<int>(last); ++i) out.push_back(static_cast<E>(i));
  return out;
}
INSTANTIATE_TEST_SUITE_P(Grid, EventDuringRequestTest,
                         ::testing::Combine(::testing::ValuesIn(all(Stage::idle)),
                                            ::testing::ValuesIn(all(Event::connectionLimit))),
                         combinationName);

// Random sequences of events, determined by a seed: clients write, wait, disconnect and reconnect; hosts
// answer, truncate answers, reject and reset; the host list changes and polls end. A request that was sent
// completely and whose client waits is answered once; an unsafe request runs at most once; no attempt begins
// after a disconnect was detected.
struct InterleavingTest : GatewayTest, ::testing::WithParamInterface<int> {
  struct SentRequest {
    std::string id;
    bool sentWhole = false;
    steady_clock::time_point sentWholeAt{};
  };
  struct User {
    std::shared_ptr<RawClient> client;
    std::vector<SentRequest> requests;  // on this connection
    std::string unsentRest;             // unsent part of the last request
  };
  std::mt19937 random;
  std::vector<User> users, closedUsers;
  std::vector<std::pair<std::shared_ptr<Peer>, std::string>> pendingAttempts;  // attempts pending at hosts
  std::map<std::string, std::size_t> unprocessed;  // rejections with X-Unprocessed, by id
  std::map<std::string, std::vector<steady_clock::time_point>> executions;
  int lastId = 0, listVersion = 1;

  int draw(int most) { return static_cast<int>(random() % static_cast<unsigned>(most)); }

  void connectUser(User& u) {
    u = {};
    u.client = std::make_shared<RawClient>(io);
    u.client->socket.connect(gateway->endpoint());
    u.client->read();
  }
  void disconnect(User& u) {
    RawClient& c = *u.client;
    c.disconnected = true;
    c.disconnectedAt = steady_clock::now();
    error_code ignored;
    switch (draw(3)) {
      case 0: c.socket.close(ignored); break;
      case 1: reset(c.socket); break;
      default: c.socket.shutdown(tcp::socket::shutdown_send, ignored); break;
    }
    closedUsers.push_back(std::exchange(u, {}));
    connectUser(u);
  }
  void writeMore(User& u) {
    if (u.client->endError) return closedUsers.push_back(std::exchange(u, {})), connectUser(u);
    if (u.unsentRest.empty()) {
      // One at a time: the next request follows the answer to the one before.
      if (u.client->parseAnswers().statuses.size() < u.requests.size()) return;
      const std::string id = "i-" + std::to_string(++lastId);
      u.requests.push_back({id});
      u.unsentRest = EventDuringRequestTest::request(id);
    }
    const std::size_t n = draw(3) == 0 ? 1 + static_cast<std::size_t>(draw(60)) : u.unsentRest.size();
    u.client->write(u.unsentRest.substr(0, n));
    u.unsentRest.erase(0, n);
    if (u.unsentRest.empty())
      u.requests.back().sentWhole = true, u.requests.back().sentWholeAt = steady_clock::now();
  }
  void actAsHost() {
    if (pendingAttempts.empty()) return;
    const std::size_t at = static_cast<std::size_t>(draw(static_cast<int>(pendingAttempts.size())));
    const auto [peer, id] = pendingAttempts[at];
    pendingAttempts.erase(pendingAttempts.begin() + static_cast<std::ptrdiff_t>(at));
    if (peer->ended || !peer->socket.is_open()) return;
    try {
      switch (draw(8)) {
        case 0: return reset(peer->socket);
        case 1: return peer->close();
        case 2: return ++unprocessed[id], peer->reply(503, "", "X-Unprocessed: 1\r\n");
        case 3: return peer->write("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"), reset(peer->socket);
        default: return peer->reply(200, "ok");
      }
    } catch (const std::exception&) {  // the gateway has closed the connection
    }
  }
  void changeHostList() {
    if (polls.empty() || polls.back()->ended || !polls.back()->socket.is_open()) return;
    if (draw(4) == 0) return polls.back()->close();
    json one = json::array({hostListJson()[static_cast<std::size_t>(draw(3))]});
    if (draw(3) == 0) one[0]["status"] = "leaving";
    polls.back()->reply(200, listJson(++listVersion, false, one).dump());
  }
};

TEST_P(InterleavingTest, AnswersEachRequestOnceInRandomOrder) {
  SCOPED_TRACE("seed " + std::to_string(GetParam()));
  random.seed(static_cast<unsigned>(GetParam()));
  for (int i = 0; i < 3; ++i)
    host([this](const auto& peer, const Received& r) {
      const std::string id(r["X-Correlation-Id"]);
      executions[id].push_back(steady_clock::now());
      pendingAttempts.emplace_back(peer, id);
    });
  minVerificationTimeOverride = milliseconds(20);
  start([](json& config) {
    config["limits"]["sockets"] = 80;
    for (json& g : config["settings"]["grades"]) g["giveUpNs"] = 1'000'000'000, g["aimNs"] = 900'000'000;
  });
  users.resize(8);
  for (User& u : users) connectUser(u);
  for (int step = 0; step < 400; ++step) {
    User& u = users[static_cast<std::size_t>(draw(8))];
    switch (draw(12)) {
      case 0: disconnect(u); break;
      case 1: changeHostList(); break;
      case 2:
      case 3:
      case 4: actAsHost(); break;
      default: writeMore(u); break;
    }
    io.restart();
    io.run_for(std::chrono::microseconds(draw(4) * 1000));
  }
  const auto last = steady_clock::now();
  ASSERT_TRUE(
      until([&] { return steady_clock::now() - last > milliseconds(kTimeLeftMs) + kSchedulingSlack; }));
  for (User& u : users) closedUsers.push_back(std::move(u));
  std::size_t answered = 0;
  for (const User& u : closedUsers) {
    const RawClient::ReceivedAnswers answersSoFar = u.client->parseAnswers();
    EXPECT_LE(answersSoFar.statuses.size(), u.requests.size());
    answered += answersSoFar.statuses.size();
    for (std::size_t i = 0; i < u.requests.size(); ++i) {
      const SentRequest& a = u.requests[i];
      const auto runs =
          executions.count(a.id) ? executions.at(a.id) : std::vector<steady_clock::time_point>{};
      EXPECT_LE(runs.size(), 1 + unprocessed[a.id]) << a.id << ": ran twice";
      if (!a.sentWhole) EXPECT_TRUE(runs.empty()) << a.id;
      if (u.client->disconnected)
        for (const auto at : runs)
          EXPECT_LE(at, u.client->disconnectedAt + kDisconnectSlack + kSchedulingSlack) << a.id;
      // The close of an idle connection may cross the next request, which then is not sent to a host.
      const bool crossedClose = u.client->endError == asio::error::eof && runs.empty();
      if (a.sentWhole && !u.client->disconnected && i >= answersSoFar.statuses.size())
        EXPECT_TRUE(crossedClose) << a.id << " lost";
    }
  }
  EXPECT_GT(answered, 30u);
  EXPECT_EQ(gateway->openRequests(), 0u);
}
INSTANTIATE_TEST_SUITE_P(Seeds, InterleavingTest, ::testing::Range(1, 13));

}  // namespace
}  // namespace finchstile::testing
