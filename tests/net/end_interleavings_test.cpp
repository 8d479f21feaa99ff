// What ends, crossed with where a request stands when it ends: each pair of the two lists below is a test of
// its own. Both are brought about by the test, byte by byte, on loopback; what has to hold afterwards is the
// same for all pairs.
#include <cstdio>
#include <map>
#include <random>
#include <tuple>

#include "support/gateway_fixture.hpp"

namespace finchstile::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr int kLeftMs = 700;                   // of each request
constexpr milliseconds kBusyMachine{200};      // what the machine of the test may add to any time
constexpr milliseconds kGone{100};             // nothing is begun for a client that has gone for so long
constexpr std::size_t kLongAnswer = 4u << 20;  // more than the system buffers take

enum class Where {
  halfHead,        // the head has come in part,
  halfBody,        // or the head and a part of the body
  unread,          // whole, but the gateway has not been given a turn to read it
  connecting,      // its host's connection does not come up
  lastByteHeld,    // written to its host but for the last byte, which waits for the connection's proof
  sent,            // its host has it and says nothing
  held,            // a stage holds it, and no host has been asked
  answerHalfRead,  // its host has answered in part, of an answer that is held whole
  relayed,         // the same, of one that is passed on as it comes
  answerUnread,    // its client does not read its answer
  readAhead,       // it lies behind one that its host has
  atRest,          // nothing is open, and a request comes in the very moment
};
enum class End {
  time,  // nothing else happens: deadlines and limits do their work
  drain,
  sendAway,
  clientCloses,
  clientHalfCloses,
  clientResets,
  hostCloses,
  hostResets,
  hostLeaves,
  watchEnds,
  reload,
  crowd,  // more clients come than there is room for
};
const char* const kWhere[] = {"HalfHead",     "HalfBody",     "Unread",    "Connecting",
                              "LastByteHeld", "Sent",         "Held",      "AnswerHalfRead",
                              "Relayed",      "AnswerUnread", "ReadAhead", "AtRest"};
const char* const kEnd[] = {"Time",         "Drain",      "SendAway",   "ClientCloses", "ClientHalfCloses",
                            "ClientResets", "HostCloses", "HostResets", "HostLeaves",   "WatchEnds",
                            "Reload",       "Crowd"};

void reset(tcp::socket& socket) {
  error_code ignored;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

// A client that writes and reads as the test says, and keeps all bytes.
struct RawClient : std::enable_shared_from_this<RawClient> {
  explicit RawClient(asio::io_context& io) : socket(io) {}
  tcp::socket socket;
  std::string in;
  bool reading = true, left = false;
  error_code end;
  steady_clock::time_point answeredAt{}, leftAt{};

  void write(const std::string& bytes) {
    error_code ignored;
    asio::write(socket, asio::buffer(bytes), ignored);
  }
  void read() {
    socket.async_read_some(asio::buffer(buffer),
                           [self = shared_from_this()](error_code error, std::size_t n) {
                             self->in.append(self->buffer.data(), n);
                             if (n > 0) self->answeredAt = steady_clock::now();
                             if (error) self->end = error;
                             else if (self->reading) self->read();
                           });
  }
  std::array<char, 64 * 1024> buffer{};

  struct Got {
    std::vector<unsigned> whole;  // status of each whole answer, in turn
    bool rest = false;            // bytes behind them that make no whole answer
  };
  Got got() const {
    Got g;
    asio::const_buffer left(in.data(), in.size());
    while (left.size() > 0) {
      http::response_parser<http::string_body> parser;
      parser.eager(true);
      parser.body_limit(64u << 20);
      error_code error;
      const std::size_t used = parser.put(left, error);
      if (error || !parser.is_done()) return g.rest = true, g;
      if (parser.get().result_int() >= 200) g.whole.push_back(parser.get().result_int());
      left += used;
    }
    return g;
  }
};

// Holds the request that the pair is about, for good.
struct Holder : RequestFilter {
  std::uint8_t phases() const override { return 0x7f; }
  FilterDecision onRequestReceived(RequestContext& x) override {
    return {std::nullopt, where == Where::held && (*x.message)["X-Correlation-Id"] == "r"};
  }
  Where where{};
};

struct Crossing : GatewayTest, ::testing::WithParamInterface<std::tuple<Where, End>> {
  struct Run {  // a request that a host has whole
    std::string id;
    steady_clock::time_point at;
  };
  std::vector<Run> ran;
  std::vector<std::shared_ptr<RawClient>> clients;
  std::unique_ptr<tcp::acceptor> neverUp;
  std::unique_ptr<tcp::socket> filler;
  Server second{io, [](const auto&, const Received&) {}};  // discovery after a reload
  json config;
  bool drained = false;
  int turnedIn = 0;  // whole requests that hosts had before this one's state was reached

  Where where() const { return std::get<0>(GetParam()); }
  End ends() const { return std::get<1>(GetParam()); }

  // All that is ready to happen has happened.
  void settle() {
    for (int quiet = 0; quiet < 3;) {
      io.restart();
      quiet = io.run_for(milliseconds(2)) == 0 ? quiet + 1 : 0;
    }
  }
  bool after(Duration d) {
    const auto then = steady_clock::now() + d;
    return until([&] { return steady_clock::now() >= then; });
  }

  void onHost(const std::shared_ptr<Peer>& peer, const Received& r) {
    ran.push_back({std::string(r["X-Correlation-Id"]), steady_clock::now()});
    // The first one meets what the pair is about; whatever is sent later is served.
    if (ran.size() > 1) return peer->reply(200, "ok");
    switch (where()) {
      case Where::sent:
      case Where::readAhead: return;
      case Where::answerHalfRead: return peer->write("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
      case Where::relayed:
        return peer->write("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + std::string(80000, 'a'));
      case Where::answerUnread: {
        // In one go as far as it is taken, and the rest as it is.
        auto bytes = std::make_shared<std::string>(
            "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kLongAnswer) + "\r\n\r\n" +
            std::string(kLongAnswer, 'a'));
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
    if (where() == Where::connecting) {
      neverUp = std::make_unique<tcp::acceptor>(io, tcp::v4());
      neverUp->bind(loopback());
      neverUp->listen(0);
      filler = std::make_unique<tcp::socket>(io);
      filler->connect(neverUp->local_endpoint());
      list = json::array({hostJson("late", neverUp->local_endpoint())});
    }
    config = configJson(discovery.endpoint(), list);
    config["limits"]["sockets"] = 27;  // ten clients
    for (json& g : config["settings"]["grades"]) g["giveUpNs"] = 1'000'000'000, g["aimNs"] = 900'000'000;
    GatewayConfig read = readConfig(config.dump(), clock);
    read.options.clients.requestTimeout = milliseconds(500);
    read.options.clients.writeTimeout = milliseconds(500);
    read.options.drainServeTime = Duration{};
    read.options.minVerificationTime = where() == Where::lastByteHeld ? milliseconds(150) : milliseconds(20);
    gateway = std::make_unique<Gateway>(io, clock, std::move(read));
    static Holder holder;  // it outlives all gateways
    holder.where = where();
    gateway->attach(holder);
    gateway->start();
    ASSERT_TRUE(until([&] { return polls.size() == 1; }));
  }

  std::shared_ptr<RawClient> newClient() {
    const auto c = std::make_shared<RawClient>(io);
    c->socket.connect(gateway->endpoint());
    c->reading = where() != Where::answerUnread;
    if (c->reading) c->read();
    clients.push_back(c);
    return c;
  }
  static std::string request(const std::string& id) {  // unsafe
    return "POST /book HTTP/1.1\r\nHost: api\r\nX-Correlation-Id: " + id +
           "\r\nX-Time-Left-Ms: " + std::to_string(kLeftMs) + "\r\nContent-Length: 10\r\n\r\n0123456789";
  }

  // Brings the client's request to where it is to stand. True: it was written whole.
  bool reach(RawClient& c) {
    const std::string whole = request("r");
    switch (where()) {
      case Where::halfHead: c.write(whole.substr(0, 40)), settle(); return false;
      case Where::halfBody: c.write(whole.substr(0, whole.size() - 6)), settle(); return false;
      case Where::unread: settle(), c.write(whole); return true;
      case Where::held:
      case Where::connecting: c.write(whole), settle(); return true;
      case Where::lastByteHeld:
        c.write(whole);
        EXPECT_TRUE(until([&] { return hosts[0]->peers.size() + hosts[1]->peers.size() == 1; }));
        settle();
        EXPECT_TRUE(ran.empty());
        return true;
      case Where::sent:
        c.write(whole);
        EXPECT_TRUE(until([&] { return ran.size() == 1; }));
        settle();
        return true;
      case Where::answerHalfRead:
      case Where::relayed:
      case Where::answerUnread:
        c.write(whole);
        EXPECT_TRUE(until([&] { return ran.size() == 1; }));
        settle();
        return true;
      case Where::readAhead:
        c.write(request("r") + request("r2"));
        EXPECT_TRUE(until([&] { return ran.size() == 1; }));
        settle();
        return true;
      case Where::atRest:
        c.write(whole);
        EXPECT_TRUE(until([&] { return !c.in.empty(); }));
        settle();
        return true;
    }
    return false;
  }

  void bringAbout(RawClient& c) {
    const auto leave = [&](bool byReset) {
      c.left = true;
      c.leftAt = steady_clock::now();
      error_code ignored;
      if (byReset) reset(c.socket);
      else c.socket.close(ignored);
    };
    switch (ends()) {
      case End::time: break;
      case End::drain: gateway->drain([this] { drained = true; }); break;
      case End::sendAway: gateway->enterLameDuck(); break;
      case End::clientCloses: leave(false); break;
      case End::clientResets: leave(true); break;
      case End::clientHalfCloses: {
        c.left = true;
        c.leftAt = steady_clock::now();
        error_code ignored;
        c.socket.shutdown(tcp::socket::shutdown_send, ignored);
        break;
      }
      case End::hostCloses:
      case End::hostResets:
        for (const auto& h : hosts)
          for (const auto& peer : std::exchange(h->peers, {})) {
            if (ends() == End::hostResets) reset(peer->socket);
            else peer->close();
          }
        break;
      case End::hostLeaves: {
        json gone = hostListJson();
        if (where() == Where::connecting) gone = json::array({hostJson("late", neverUp->local_endpoint())});
        for (json& h : gone) h["status"] = "left";
        polls[0]->reply(200, listJson(2, false, gone).dump());
        break;
      }
      case End::watchEnds: polls[0]->close(); break;
      case End::reload: {
        json next = config;
        next["discovery"] = text(second.endpoint());
        gateway->reload(readConfig(next.dump(), clock));
        break;
      }
      case End::crowd:
        for (int i = 0; i < 14; ++i) {
          const auto other = std::make_shared<RawClient>(io);
          other->socket.connect(gateway->endpoint());
          other->read();
          others.push_back(other);
        }
        break;
    }
  }
  std::vector<std::shared_ptr<RawClient>> others;
};

TEST_P(Crossing, HasOneAnswerOrAPermittedEndAndLeavesNothing) {
  begin();
  const auto c = newClient();
  const bool whole = reach(*c);
  const auto ended = steady_clock::now();
  const std::size_t before = c->got().whole.size();
  const std::size_t bytes = c->in.size();
  bringAbout(*c);
  const bool crossing = where() == Where::atRest && !c->left;
  if (crossing) c->write(request("crossing"));
  std::size_t asked = where() == Where::readAhead ? 2 : whole && where() != Where::atRest ? 1 : 0;

  // The rest of a long answer is its host's to give, for 5 s without a byte; a drain does not wait for it.
  const bool byHost = where() == Where::relayed && !c->left;
  if (byHost && ends() == End::drain) {
    ASSERT_TRUE(until([&] { return drained; }));
    EXPECT_LE(steady_clock::now() - ended, milliseconds(1500) + kBusyMachine);  // of 1.7 s before the kill
    // The process ends here, and its connection with it, short of the length that its client was told.
    EXPECT_TRUE(c->got().whole.empty());
    EXPECT_TRUE(c->got().rest);
    return;
  }

  // All is over when the gateway holds no request, and neither answers nor closes any more.
  ASSERT_TRUE(after(milliseconds(30)));
  ASSERT_TRUE(until([&] { return gateway->openRequests() == 0; }));
  const auto over = steady_clock::now();
  const bool slowEnd = where() == Where::halfHead || where() == Where::halfBody ||
                       where() == Where::relayed || where() == Where::answerUnread ||
                       where() == Where::readAhead || crossing;
  ASSERT_TRUE(after(milliseconds(slowEnd ? 1000 : 60)));
  ASSERT_TRUE(until([&] { return gateway->openRequests() == 0; }));
  if (where() == Where::answerUnread && !c->left) c->reading = true, c->read(), after(milliseconds(100));
  const RawClient::Got got = c->got();
  const std::size_t answers = got.whole.size() - before;

  // One answer and no more, in time, for what its client waits for.
  EXPECT_LE(over - ended, milliseconds((byHost ? 5000 : kLeftMs) + 50) + kBusyMachine);
  EXPECT_LE(answers, asked + (crossing ? 1 : 0) + (whole ? 0 : 1));
  if (!c->left && asked > 0) {
    // What was being passed on may be cut, and then its client can tell: no whole answer, and an end.
    const bool cut = (where() == Where::relayed || where() == Where::answerUnread) && answers == 0 && c->end;
    // The one read ahead may find its connection closed behind the answer before it: it was never read as a
    // request, and goes elsewhere.
    const bool behind = where() == Where::readAhead && answers == 1 && c->end == asio::error::eof;
    if (!cut && !behind) EXPECT_EQ(answers, asked);
    if (!cut) EXPECT_FALSE(got.rest) << "half an answer, and no way to tell: " << c->in.substr(bytes, 200);
  }
  // What crossed a close was answered, or left alone with an end in order: then no host had it.
  const auto hadIt = [&](const std::string& id) {
    return std::count_if(ran.begin(), ran.end(), [&](const Run& r) { return r.id == id; });
  };
  if (crossing && answers == 0) {
    EXPECT_EQ(hadIt("crossing"), 0);
    EXPECT_EQ(c->end, asio::error::eof) << c->end.message();
  }
  // It is unsafe: it ran once at the most, and was refused only where it had not.
  for (const std::string id : {"r", "r2", "crossing"}) EXPECT_LE(hadIt(id), 1) << id;
  if (where() != Where::atRest && where() != Where::readAhead && answers == 1 && hadIt("r") == 1)
    EXPECT_NE(got.whole.back(), 503u) << "refused, though it ran";
  if (!whole) EXPECT_EQ(ran.size(), 0u);
  // Nothing is begun for a client that has gone.
  if (c->left)
    for (const Run& r : ran) EXPECT_LE(r.at, c->leftAt + kGone + kBusyMachine) << r.id;
  if (c->left && where() == Where::readAhead) EXPECT_EQ(hadIt("r2"), 0);

  // Nothing is left in any table.
  error_code ignored;
  c->socket.close(ignored);
  for (const auto& other : others) other->socket.close(ignored);
  EXPECT_TRUE(until([&] { return gateway->clientConnections() == 0; }));
  EXPECT_EQ(gateway->openRequests(), 0u);
  if (ends() == End::drain) {
    EXPECT_TRUE(until([&] { return drained; }));
  } else if (where() != Where::connecting && ends() != End::hostLeaves) {
    // It goes on serving, and what an ended attempt left behind is nobody's answer.
    const auto next = client();
    for (int i = 0; i < 4; ++i) {
      next->sendRequest("POST", "/book", 2500, "x");
      ASSERT_TRUE(
          until([&] { return next->answers.size() == static_cast<std::size_t>(i) + 1 || next->ended; }));
      ASSERT_EQ(next->answers.size(), static_cast<std::size_t>(i) + 1);
      EXPECT_EQ(next->answers.back().result_int(), 200u);
      EXPECT_EQ(next->answers.back().body(), "ok");
      if (ends() == End::sendAway) break;  // it was told to go elsewhere
    }
  }
  if (ends() == End::hostLeaves) EXPECT_TRUE(until([&] { return gateway->trackedHosts() == 0; }));
}

std::string cellName(const ::testing::TestParamInfo<std::tuple<Where, End>>& info) {
  return std::string(kWhere[static_cast<int>(std::get<0>(info.param))]) + "When" +
         kEnd[static_cast<int>(std::get<1>(info.param))];
}
template <class E>
std::vector<E> all(E last) {
  std::vector<E> out;
  for (int i = 0; i <= static_cast<int>(last); ++i) out.push_back(static_cast<E>(i));
  return out;
}
INSTANTIATE_TEST_SUITE_P(Grid, Crossing,
                         ::testing::Combine(::testing::ValuesIn(all(Where::atRest)),
                                            ::testing::ValuesIn(all(End::crowd))),
                         cellName);

// On top of the pairs: clients that write, wait, leave and come again, hosts that answer, half answer, turn
// away and reset, a list that changes and a watch that ends, in an order that a seed draws. What a client
// wrote whole and waited for is answered once; what is unsafe runs once at the most; nothing is begun for who
// has gone.
struct Interleaving : GatewayTest, ::testing::WithParamInterface<int> {
  struct Asked {
    std::string id;
    bool whole = false;
    steady_clock::time_point wholeAt{};
  };
  struct User {
    std::shared_ptr<RawClient> client;
    std::vector<Asked> asked;  // on this connection
    std::string rest;          // of the request that is being written
  };
  std::mt19937 dice;
  std::vector<User> users, gone;
  std::vector<std::pair<std::shared_ptr<Peer>, std::string>> open;  // with hosts, to be dealt with
  std::map<std::string, std::size_t> unprocessed;                   // how often hosts turned it away unseen
  std::map<std::string, std::vector<steady_clock::time_point>> ran;
  int lastId = 0, index = 1;

  int draw(int most) { return static_cast<int>(dice() % static_cast<unsigned>(most)); }

  void come(User& u) {
    u = {};
    u.client = std::make_shared<RawClient>(io);
    u.client->socket.connect(gateway->endpoint());
    u.client->read();
  }
  void leave(User& u) {
    RawClient& c = *u.client;
    c.left = true;
    c.leftAt = steady_clock::now();
    error_code ignored;
    switch (draw(3)) {
      case 0: c.socket.close(ignored); break;
      case 1: reset(c.socket); break;
      default: c.socket.shutdown(tcp::socket::shutdown_send, ignored); break;
    }
    gone.push_back(std::exchange(u, {}));
    come(u);
  }
  void writeOn(User& u) {
    if (u.client->end) return gone.push_back(std::exchange(u, {})), come(u);
    if (u.rest.empty()) {
      // One at a time: the next one when the one before has its answer.
      if (u.client->got().whole.size() < u.asked.size()) return;
      const std::string id = "i-" + std::to_string(++lastId);
      u.asked.push_back({id});
      u.rest = Crossing::request(id);
    }
    const std::size_t n = draw(3) == 0 ? 1 + static_cast<std::size_t>(draw(60)) : u.rest.size();
    u.client->write(u.rest.substr(0, n));
    u.rest.erase(0, n);
    if (u.rest.empty()) u.asked.back().whole = true, u.asked.back().wholeAt = steady_clock::now();
  }
  void hostActs() {
    if (open.empty()) return;
    const std::size_t at = static_cast<std::size_t>(draw(static_cast<int>(open.size())));
    const auto [peer, id] = open[at];
    open.erase(open.begin() + static_cast<std::ptrdiff_t>(at));
    if (peer->ended || !peer->socket.is_open()) return;
    try {
      switch (draw(8)) {
        case 0: return reset(peer->socket);
        case 1: return peer->close();
        case 2: return ++unprocessed[id], peer->reply(503, "", "X-Unprocessed: 1\r\n");
        case 3: return peer->write("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"), reset(peer->socket);
        default: return peer->reply(200, "ok");
      }
    } catch (const std::exception&) {  // the gateway has closed it meanwhile
    }
  }
  void listChanges() {
    if (polls.empty() || polls.back()->ended || !polls.back()->socket.is_open()) return;
    if (draw(4) == 0) return polls.back()->close();
    json one = json::array({hostListJson()[static_cast<std::size_t>(draw(3))]});
    if (draw(3) == 0) one[0]["status"] = "leaving";
    polls.back()->reply(200, listJson(++index, false, one).dump());
  }
};

TEST_P(Interleaving, KeepsTheRules) {
  SCOPED_TRACE("seed " + std::to_string(GetParam()));
  dice.seed(static_cast<unsigned>(GetParam()));
  for (int i = 0; i < 3; ++i)
    host([this](const auto& peer, const Received& r) {
      const std::string id(r["X-Correlation-Id"]);
      ran[id].push_back(steady_clock::now());
      open.emplace_back(peer, id);
    });
  proofLeast = milliseconds(20);
  start([](json& config) {
    config["limits"]["sockets"] = 80;
    for (json& g : config["settings"]["grades"]) g["giveUpNs"] = 1'000'000'000, g["aimNs"] = 900'000'000;
  });
  users.resize(8);
  for (User& u : users) come(u);
  for (int step = 0; step < 400; ++step) {
    User& u = users[static_cast<std::size_t>(draw(8))];
    switch (draw(12)) {
      case 0: leave(u); break;
      case 1: listChanges(); break;
      case 2:
      case 3:
      case 4: hostActs(); break;
      default: writeOn(u); break;
    }
    io.restart();
    io.run_for(std::chrono::microseconds(draw(4) * 1000));
  }
  const auto last = steady_clock::now();
  ASSERT_TRUE(until([&] { return steady_clock::now() - last > milliseconds(kLeftMs) + kBusyMachine; }));
  for (User& u : users) gone.push_back(std::move(u));
  std::size_t answered = 0;
  for (const User& u : gone) {
    const RawClient::Got got = u.client->got();
    EXPECT_LE(got.whole.size(), u.asked.size());
    answered += got.whole.size();
    for (std::size_t i = 0; i < u.asked.size(); ++i) {
      const Asked& a = u.asked[i];
      const auto runs = ran.count(a.id) ? ran.at(a.id) : std::vector<steady_clock::time_point>{};
      EXPECT_LE(runs.size(), 1 + unprocessed[a.id]) << a.id << ": an effect twice";
      if (!a.whole) EXPECT_TRUE(runs.empty()) << a.id;
      if (u.client->left)
        for (const auto at : runs) EXPECT_LE(at, u.client->leftAt + kGone + kBusyMachine) << a.id;
      // A connection that is closed between two requests may cross the next one; then no host has it.
      const bool crossed = u.client->end == asio::error::eof && runs.empty();
      if (a.whole && !u.client->left && i >= got.whole.size()) EXPECT_TRUE(crossed) << a.id << " lost";
    }
  }
  EXPECT_GT(answered, 30u);
  EXPECT_EQ(gateway->openRequests(), 0u);
}
INSTANTIATE_TEST_SUITE_P(Seeds, Interleaving, ::testing::Range(1, 13));

}  // namespace
}  // namespace finchstile::testing
