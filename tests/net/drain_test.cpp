// Requests in each state of their life at each instant of a drain, on sockets of loopback.
#include <thread>

#include "support/gateway_fixture.hpp"

namespace finchstile::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr int kLongestMs = 400;

struct DrainTest : GatewayTest {
  static void deadlines(json& c) {
    for (json& g : c["settings"]["grades"])
      g["giveUpNs"] = kLongestMs * 1'000'000LL, g["aimNs"] = (kLongestMs - 100) * 1'000'000LL;
  }
  static std::string post(const std::string& id, const std::string& headers, const std::string& body) {
    return "POST /book HTTP/1.1\r\nHost: api\r\nX-Correlation-Id: " + id +
           "\r\nX-Time-Left-Ms: " + std::to_string(kLongestMs) + "\r\n" + headers + "\r\n" + body;
  }
  bool after(Duration d) {
    const auto end = steady_clock::now() + d;
    return until([&] { return steady_clock::now() >= end; });
  }
};

enum class Life { wholeKept, wholeNew, headInTwo, bodyInTwo, heldByHost, silent, early };

struct Case {
  Life life;
  std::shared_ptr<Client> client;
  bool asked = false;  // its last byte is on its way, on a connection that was open then
};

// The grid. Each gateway has one client in each state, and the rest of a request comes at one instant of the
// drain. Whoever's last byte went out on an open connection has one answer; only a connection at rest may be
// closed in its place, and then nothing of an answer comes.
TEST_F(DrainTest, EveryStateAtEveryInstantHasItsOneAnswerBeforeTheEnd) {
  host(hold);
  const json known = hostListJson();
  struct Drain {
    std::unique_ptr<Gateway> gateway;
    Duration at{};
    std::vector<Case> cases;
    bool rest = false, done = false;
    steady_clock::time_point ended;
  };
  // Serving ends at 0.3 s, the listener closes at 0.6 s, the last call comes at 0.84 s, the end at 0.9 s.
  std::vector<Drain> drains;
  for (const int ms : {0, 100, 280, 300, 320, 450, 590, 600, 700, 820, 838, 850, 880})
    drains.push_back({nullptr, milliseconds(ms), {}, false, false, {}});
  int id = 0;
  for (Drain& d : drains) {
    json config = configJson(discovery.endpoint(), known);
    deadlines(config);
    d.gateway = std::make_unique<Gateway>(io, clock, readConfig(config.dump(), clock));
    d.gateway->start();
    for (const Life life : {Life::wholeKept, Life::wholeNew, Life::headInTwo, Life::bodyInTwo,
                            Life::heldByHost, Life::silent, Life::early})
      d.cases.push_back({life, Client::connect(io, d.gateway->endpoint())});
    d.cases[0].client->write("GET /health/live HTTP/1.1\r\n\r\n");
  }
  ASSERT_TRUE(until([&] {
    return std::all_of(drains.begin(), drains.end(),
                       [](const Drain& d) { return d.cases[0].client->answers.size() == 1; });
  }));
  for (Drain& d : drains)
    for (Case& c : d.cases) {
      const std::string name = "grid-" + std::to_string(++id);
      c.client->answers.clear();
      if (c.life == Life::headInTwo) c.client->write("POST /book HTTP/1.1\r\nHost: api\r\nX-Correl");
      if (c.life == Life::bodyInTwo) c.client->write(post(name, "Content-Length: 4\r\n", "ab"));
      if (c.life == Life::heldByHost)
        c.client->write(post(name, "Content-Length: 1\r\n", "x")), c.asked = true;
    }
  const auto told = steady_clock::now();
  for (Drain& d : drains) d.gateway->drain([&d] { d.done = true, d.ended = steady_clock::now(); });
  const auto finish = [&](Drain& d) {
    for (Case& c : d.cases) {
      const std::string name = "grid-" + std::to_string(++id);
      if (c.client->ended || !c.client->answers.empty() || d.done) continue;
      try {
        switch (c.life) {
          case Life::wholeKept:
          case Life::wholeNew: c.client->write(post(name, "Content-Length: 1\r\n", "x")); break;
          case Life::headInTwo:
            c.client->write("ation-Id: " + name + "\r\nX-Time-Left-Ms: 400\r\nContent-Length: 1\r\n\r\nx");
            break;
          case Life::bodyInTwo: c.client->write("cd"); break;
          default: continue;
        }
        c.asked = true;
      } catch (const boost::system::system_error&) {
        // It was closed a moment ago.
      }
    }
    d.rest = true;
  };
  ASSERT_TRUE(until([&] {
    bool all = true;
    for (Drain& d : drains) {
      if (!d.rest && steady_clock::now() - told >= d.at) finish(d);
      all = all && d.rest && d.done;
    }
    return all;
  }));
  ASSERT_TRUE(after(milliseconds(50)));  // what was written before the end reaches the clients
  for (Drain& d : drains) {
    const auto ms = [&](steady_clock::time_point t) {
      return std::chrono::duration_cast<milliseconds>(t - told).count();
    };
    SCOPED_TRACE("rest at " + std::to_string(d.at.count() / 1'000'000) + " ms, ended at " +
                 std::to_string(ms(d.ended)));
    EXPECT_EQ(d.gateway->openRequests(), 0u);
    for (Case& c : d.cases) {
      SCOPED_TRACE("state " + std::to_string(static_cast<int>(c.life)));
      EXPECT_LE(c.client->answers.size(), 1u);
      const bool mayClose = c.life == Life::wholeKept || c.life == Life::wholeNew;
      if (c.asked && !mayClose) EXPECT_EQ(c.client->answers.size(), 1u);
      if (c.asked && mayClose && d.at < milliseconds(250)) EXPECT_EQ(c.client->answers.size(), 1u);
      if (c.life == Life::silent || c.life == Life::early) EXPECT_TRUE(c.client->answers.empty());
      // What came in part is turned down before the end: its last byte would find nobody.
      if (c.life == Life::headInTwo || c.life == Life::bodyInTwo) EXPECT_EQ(c.client->answers.size(), 1u);
      EXPECT_TRUE(c.client->ended) << "its connection outlives the drain";
    }
  }
}

// Hard case: half a request is here as the process ends. It is refused, harmlessly, and nothing goes out.
TEST_F(DrainTest, HalfARequestIsRefusedAtTheLastCall) {
  host(hold);
  start(deadlines);
  const auto c = client();
  c->write("POST /book HTTP/1.1\r\nHost: api\r\nX-Corr");
  ASSERT_TRUE(after(milliseconds(30)));
  bool done = false;
  gateway->drain([&] { done = true; });
  ASSERT_TRUE(until([&] { return !c->answers.empty() || done; }));
  ASSERT_EQ(c->answers.size(), 1u);
  EXPECT_EQ(c->answers[0].result_int(), 503u);
  EXPECT_FALSE(c->answers[0].keep_alive());
  ASSERT_TRUE(until([&] { return done; }));
  EXPECT_EQ(received(), 0u);
}

// Hard case: the loop does not run while the signal comes. The drain counts from before the stall.
TEST_F(DrainTest, AStallAboutTheSignalIsTakenOffTheDrain) {
  host(hold);
  start(deadlines);
  const auto c = client();
  ASSERT_TRUE(after(milliseconds(150)));
  const auto told = steady_clock::now();
  std::this_thread::sleep_for(milliseconds(700));  // its timer was due meanwhile
  bool done = false;
  gateway->drain([&] { done = true; });
  c->write("POST /book HTTP/1.1\r\nHost: api\r\nX-Corr");  // never whole: turned down at the last call
  ASSERT_TRUE(until([&] { return !c->answers.empty(); }));
  // 0.4 s for the longest deadline and 0.7 s: then it is killed. Counted from when the loop came to the
  // signal, the last call would be at 1.34 s: 0.7 and 0.84, less the lag that is seen.
  EXPECT_LT(steady_clock::now() - told, milliseconds(1100));
  ASSERT_TRUE(until([&] { return done; }));
}

}  // namespace
}  // namespace finchstile::testing
