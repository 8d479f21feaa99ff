// A rolling release of real processes: twelve gateways under load are ended by SIGTERM one after the other
// and restarted, while hosts are replaced and SIGHUP moves discovery. Clients count the outcome of each
// request. A process that has not exited when the platform's grace period ends gets SIGKILL. With
// AddressSanitizer, it must have drained by then.
#include <csignal>
#include <map>
#include <random>

#include "support/process.hpp"
#include "support/registry.hpp"
#include "support/reserved_endpoint.hpp"

namespace finchstile::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr int kMaxTimeLimitMs = 800;
constexpr milliseconds kKillAfter{kMaxTimeLimitMs + 700};

// LeakSanitizer scans the memory of a process after main() has returned, which takes seconds on a busy
// machine. Only builds with AddressSanitizer need this time, so it does not count towards the grace period.
#ifdef __SANITIZE_ADDRESS__
constexpr milliseconds kMaxLeakCheckTime{5000};
#else
constexpr milliseconds kMaxLeakCheckTime{0};
#endif

constexpr milliseconds kFrontRoutingDelay{250};  // fronts still connect to a node for this long after SIGTERM
constexpr milliseconds kResponseSlack{550};      // tolerance beyond a client's time limit

struct Stall {
  Duration length{};
  Duration before{};  // lead over the SIGKILL time; 0: the stall begins at SIGTERM
};

class ReleaseTest : public ::testing::Test {
 protected:
  struct Node {
    std::string name, config;
    tcp::endpoint at;
    std::unique_ptr<Process> process;
    int starts = 0;
    bool inRotation = false;  // fronts connect to this node
    bool ending = false, killed = false;
    bool reloadPending = false;  // SIGHUP is pending; the platform sends none before a process is ready
    steady_clock::time_point signaledAt;
    Stall stall;
    int stallState = 0;  // 0: pending, 1: stopped, 2: continued
  };
  // A process that drained within the grace period and has been replaced, but has not exited yet.
  struct LeakCheck {
    std::string name;
    std::unique_ptr<Process> process;
    steady_clock::time_point killAt;
  };
  struct PendingRequest {
    std::string id;
    int leftMs = 0;
    int kind = 0;  // 0: safe, 1: unsafe, 2: with an idempotency key
    bool connectionReused = false, retried = false;
    steady_clock::time_point sent;
  };
  // A client with one connection: sends a request, waits for the whole response, pauses, and repeats.
  struct User {
    std::size_t node = 0;
    std::shared_ptr<Client> connection;
    std::size_t responsesSeen = 0;
    std::optional<PendingRequest> open;
    steady_clock::time_point next;
  };

  asio::io_context io;
  TemporaryDirectory folder;
  Registry registry{io};
  std::map<std::string, std::unique_ptr<Server>> hosts;
  std::map<std::string, int> executions;  // number of executions of unsafe requests, by request id
  std::vector<std::unique_ptr<asio::steady_timer>> work;
  std::vector<Node> nodes;
  std::vector<LeakCheck> leakChecks;
  std::vector<User> users;
  std::mt19937 rng{7};
  int requestCount = 0, answered = 0, served = 0, refused = 0, failed = 0, lost = 0, late = 0, twice = 0,
      resent = 0, kills = 0, failedExits = 0, nextHost = 0;
  std::string firstLost, firstFailedExit;
  std::size_t discovery = 0;

  int randomBelow(int limit) { return static_cast<int>(rng() % static_cast<unsigned>(limit)); }

  void addHost() {
    const std::string name = "s-" + std::to_string(nextHost++);
    auto server = std::make_unique<Server>(io, [this](const std::shared_ptr<Peer>& peer, const Received& r) {
      if (r.target() == "/book") ++executions[std::string(r["X-Correlation-Id"])];
      const int fate = randomBelow(40);
      if (fate < 2) return;  // never responds: an unsafe request stays open until its time limit
      if (fate == 2) return peer->close();  // executed, but the connection closes without a response
      auto timer = std::make_unique<asio::steady_timer>(io, milliseconds(2 + randomBelow(30)));
      timer->async_wait([peer](error_code) {
        try {
          peer->reply(200, "done");
        } catch (const boost::system::system_error&) {
          // The gateway has closed the connection.
        }
      });
      work.push_back(std::move(timer));
    });
    registry.set(name, server->endpoint(), "active");
    hosts[name] = std::move(server);
  }

  void configure(Node& n) {
    json config = configJson(registry.endpoint(discovery), json::array());
    config["name"] = n.name;
    config["listen"] = text(n.at);
    config["known"] = registry.known();
    config["settings"]["groupSize"] = nodes.size();
    config["settings"]["myNumber"] = static_cast<int>(&n - nodes.data());
    for (json& g : config["settings"]["grades"])
      g["giveUpNs"] = kMaxTimeLimitMs * 1'000'000LL, g["aimNs"] = (kMaxTimeLimitMs - 100) * 1'000'000LL;
    n.config = folder.write(n.name + ".json", config.dump());
  }

  void startNode(Node& n) {
    configure(n);
    setenv("LB_CONFIG", n.config.c_str(), 1);
    // The previous process of the node may still write to its own log.
    const std::string log = folder / (n.name + "-" + std::to_string(n.starts++) + ".log");
    n.process = std::make_unique<Process>(FINCHSTILE_PROGRAM, std::vector<std::string>{}, log);
    n.ending = n.inRotation = n.killed = n.reloadPending = false;
    n.stallState = 0;
  }

  // Returns whether the node accepts connections.
  bool listens(const Node& n) {
    tcp::socket s(io);
    error_code error;
    s.connect(n.at, error);
    return !error;
  }

  void connect(User& u) {
    std::vector<std::size_t> inRotation;
    for (std::size_t i = 0; i < nodes.size(); ++i)
      if (nodes[i].inRotation) inRotation.push_back(i);
    u.connection.reset();
    if (inRotation.empty()) return;
    u.node = inRotation[rng() % inRotation.size()];
    try {
      u.connection = Client::connect(io, nodes[u.node].at);
      u.responsesSeen = 0;
    } catch (const boost::system::system_error&) {
      u.connection.reset();  // it has just stopped listening; the next step() connects to another node
    }
  }

  void send(User& u, PendingRequest a) {
    static constexpr const char* kPaths[] = {"/read", "/book", "/put"};
    const int kind = a.kind;
    a.connectionReused = u.responsesSeen > 0;
    a.sent = steady_clock::now();
    std::string head = std::string(kind == 0 ? "GET " : "POST ") + kPaths[kind] +
                       " HTTP/1.1\r\nHost: api\r\nX-Correlation-Id: " + a.id +
                       "\r\nX-Time-Left-Ms: " + std::to_string(a.leftMs) + "\r\n";
    if (kind == 2) head += "Idempotency-Key: k-" + a.id + "\r\n";
    if (kind != 0) head += "Content-Length: 1\r\n";
    head += kind == 0 ? "\r\n" : "\r\nx";
    try {
      u.connection->write(head);
    } catch (const boost::system::system_error&) {
      // step() detects the closed connection.
    }
    u.open = std::move(a);
  }

  void step(User& u, bool more) {
    const auto now = steady_clock::now();
    if (u.open) {
      Client& c = *u.connection;
      const PendingRequest& a = *u.open;
      if (c.answers.size() > u.responsesSeen) {
        ++answered;
        const unsigned status = c.answers[u.responsesSeen].result_int();
        served += status == 200, refused += status == 503 || status == 429;
        failed += status != 200 && status != 503 && status != 429;
        if (now > a.sent + milliseconds(a.leftMs) + kResponseSlack) ++late;
        if (!c.answers[u.responsesSeen].keep_alive()) c.ended = true;
        ++u.responsesSeen;
        u.open.reset();
        u.next = now + milliseconds(10 + randomBelow(40));
      } else if (c.ended) {
        // The gateway may have closed the idle connection while the request was in
        // transit: it is sent once more on a new connection.
        if (a.connectionReused && !a.retried) {
          PendingRequest retried = a;
          retried.retried = true;
          connect(u);
          if (!u.connection) return;
          ++resent;
          send(u, std::move(retried));
          return;
        }
        recordLost(u, "closed with no answer");
      } else if (now > a.sent + milliseconds(a.leftMs) + kResponseSlack) {
        ++late;
        recordLost(u, "no answer in time");
      }
      return;
    }
    if (!more || now < u.next) return;
    if (!u.connection || u.connection->ended) connect(u);
    if (!u.connection) return;
    ++requestCount;
    static constexpr int kLeft[] = {250, 500, kMaxTimeLimitMs}, kKinds[] = {0, 1, 1, 2};
    send(u, {"r-" + std::to_string(requestCount),
             kLeft[randomBelow(3)],
             kKinds[randomBelow(4)],
             false,
             false,
             {}});
  }

  void recordLost(User& u, const std::string& how) {
    ++lost;
    const Node& n = nodes[u.node];
    if (firstLost.empty())
      firstLost =
          u.open->id + " at " + n.name + ": " + how + "; sent " +
          std::to_string(std::chrono::duration_cast<milliseconds>(u.open->sent - n.signaledAt).count()) +
          " ms after its last signal; killed " + std::to_string(n.killed) + "\n" + n.process->logged();
    u.open.reset();
    u.connection.reset();
  }

  void end(Node& n, const Stall& stall) {
    n.stall = stall;
    n.signaledAt = steady_clock::now();
    n.ending = true;
    if (stall.length > Duration{} && stall.before == Duration{}) n.process->signal(SIGSTOP), n.stallState = 1;
    n.process->signal(SIGTERM);
  }

  void step(Node& n) {
    const auto now = steady_clock::now();
    if (!n.ending) {
      if (!n.inRotation && listens(n)) n.inRotation = true;
      if (n.inRotation && std::exchange(n.reloadPending, false)) n.process->signal(SIGHUP);
      return;
    }
    if (n.inRotation && now - n.signaledAt > kFrontRoutingDelay) n.inRotation = false;
    if (n.stall.length > Duration{}) {
      const auto from =
          n.stall.before == Duration{} ? n.signaledAt : n.signaledAt + kKillAfter - n.stall.before;
      if (n.stallState == 0 && now >= from) n.process->signal(SIGSTOP), n.stallState = 1;
      if (n.stallState == 1 && now >= from + n.stall.length) n.process->signal(SIGCONT), n.stallState = 2;
    }
    if (n.process->ended()) {
      if (!n.killed) recordExit(n.name, *n.process);
      startNode(n);
    } else if (now >= n.signaledAt + kKillAfter && !n.killed) {
      if (inLeakCheck(*n.process)) {
        leakChecks.push_back({n.name, std::move(n.process), n.signaledAt + kKillAfter + kMaxLeakCheckTime});
        startNode(n);
        return;
      }
      n.killed = true;
      ++kills;
      n.process->signal(SIGKILL);
      if (n.stallState == 1) n.process->signal(SIGCONT);
    }
  }

  void recordExit(const std::string& name, Process& process) {
    if (process.wait() != 0) ++failedExits, firstFailedExit += name + ": " + process.logged();
  }

  // Returns whether only the leak check can keep the process from exiting: its last line is in the log.
  static bool inLeakCheck(const Process& process) {
    return kMaxLeakCheckTime > milliseconds{0} &&
           ("\n" + process.logged()).find("\nfinchstile: drained:") != std::string::npos;
  }

  void stepLeakChecks() {
    std::erase_if(leakChecks, [this](LeakCheck& check) {
      if (check.process->ended()) {
        recordExit(check.name, *check.process);
        return true;
      }
      if (steady_clock::now() < check.killAt) return false;
      ++kills;  // The destructor of the process kills it.
      return true;
    });
  }

  // Returns whether each process that received SIGTERM has exited or been counted as killed.
  bool allExitsJudged() const {
    return leakChecks.empty() &&
           std::none_of(nodes.begin(), nodes.end(), [](const Node& n) { return n.ending && !n.killed; });
  }

  void runRelease(const std::vector<Stall>& stalls) {
    for (int i = 0; i < 6; ++i) addHost();
    nodes.resize(12);
    const std::vector<tcp::endpoint> endpoints = reserveEndpoints(io, nodes.size());
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      nodes[i].name = "n" + std::to_string(i);
      nodes[i].at = endpoints[i];
    }
    for (Node& n : nodes) startNode(n);
    ASSERT_TRUE(runUntil(io, [&] {
      return std::all_of(nodes.begin(), nodes.end(),
                         [&](Node& n) { return n.inRotation = n.inRotation || listens(n); });
    }));
    users.resize(60);
    const auto startedAt = steady_clock::now();
    std::size_t ended = 0, replaced = 0;
    bool discoveryMoved = false, oldDiscoveryStopped = false;
    const auto loadEndsAt = startedAt + milliseconds(300) + nodes.size() * milliseconds(150) + 2 * kKillAfter;
    runUntil(io, [&] {
      const auto now = steady_clock::now();
      for (Node& n : nodes) step(n);
      stepLeakChecks();
      for (User& u : users) step(u, now < loadEndsAt);
      if (ended < nodes.size() && now >= startedAt + milliseconds(300) + ended * milliseconds(150))
        end(nodes[ended], stalls[ended % stalls.size()]), ++ended;
      if (replaced < 3 && now >= startedAt + milliseconds(500) + replaced * milliseconds(600)) {
        const std::string old = "s-" + std::to_string(replaced++);
        registry.set(old, hosts[old]->endpoint(), "leaving");
        addHost();
      }
      if (!discoveryMoved && now >= startedAt + milliseconds(1100)) {
        discoveryMoved = true;
        discovery = 1;
        for (Node& n : nodes) {
          configure(n);
          n.reloadPending = true;
        }
      }
      // 1.5 s after the move the previous discovery stops accepting connections and closes the open ones.
      if (discoveryMoved && !oldDiscoveryStopped && now >= startedAt + milliseconds(2600))
        oldDiscoveryStopped = true, registry.stop(0);
      return now >= loadEndsAt && allExitsJudged() &&
             std::none_of(users.begin(), users.end(), [](const User& u) { return !!u.open; });
    });
    for (const auto& [id, times] : executions) twice += times > 1;
    RecordProperty("asked", requestCount);
    std::printf(
        "asked %d answered %d served %d refused %d failed %d resent %d lost %d late %d twice %d kills %d\n",
        requestCount, answered, served, refused, failed, resent, lost, late, twice, kills);
    EXPECT_EQ(ended, nodes.size());
    EXPECT_GT(requestCount, 500);
    EXPECT_EQ(lost, 0) << firstLost;
    EXPECT_EQ(late, 0);
    EXPECT_GT(executions.size(), 100u);
    EXPECT_EQ(twice, 0);
    EXPECT_EQ(answered, requestCount);
    EXPECT_TRUE(allExitsJudged());
    EXPECT_EQ(kills, 0);
    EXPECT_EQ(failedExits, 0) << firstFailedExit;
    EXPECT_GT(served, requestCount * 7 / 10);
    EXPECT_GT(registry.polls(1), 0u);
  }
};

TEST_F(ReleaseTest, EveryRequestOfARollingReleaseGetsOneCompleteResponseInTime) { runRelease({{}}); }

// Gateways are stopped for 50, 100 and 200 ms, either at SIGTERM or shortly before the grace period ends.
TEST_F(ReleaseTest, LosesNoRequestIfAGatewayStallsAtTheSignalOrNearItsEnd) {
  std::vector<Stall> stalls;
  for (const int ms : {50, 100, 200}) {
    stalls.push_back({milliseconds(ms), {}});
    stalls.push_back({milliseconds(ms), milliseconds(ms + 120)});
  }
  runRelease(stalls);
}

}  // namespace
}  // namespace finchstile::testing
