// Three gateways as processes in front of hosts that now and then send a response twice. Clients check that
// each response was made for their request; the hosts check the rules on duplicates.
//
// FINCHSTILE_SOAK_SECONDS sets for how long the clients send requests, FINCHSTILE_SOAK_SEED the seed.
#include <cstdlib>
#include <utility>

#include "support/duplicating_host.hpp"
#include "support/process.hpp"
#include "support/registry.hpp"
#include "support/reserved_endpoint.hpp"

namespace finchstile::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr int kGateways = 3;
constexpr int kHostsPerZone = 3;
constexpr int kUsersPerGateway = 14;
constexpr int kShownBreaches = 3;

struct RequestKind {
  const char* name;
  const char* method;
  int share;  // of 100 requests
  int timeLeftMs;
};
constexpr RequestKind kKinds[] = {
    {"cut-plan", "GET", 30, 1200}, {"stock-out", "POST", 40, 2000}, {"log-in", "POST", 30, 1000}};

int environmentNumber(const char* name, int otherwise) {
  const char* const text = std::getenv(name);
  return text ? std::atoi(text) : otherwise;
}

class SecondResponseTest : public ::testing::Test {
 protected:
  struct User {
    std::size_t gateway = 0;
    std::shared_ptr<Client> connection;
    std::size_t responsesSeen = 0;
    std::string openId;  // empty if no request is open
    steady_clock::time_point next;
  };

  asio::io_context io;
  TemporaryDirectory folder;
  std::mt19937 random{static_cast<unsigned>(environmentNumber("FINCHSTILE_SOAK_SEED", 7001))};
  AttemptRecord record;
  std::vector<std::unique_ptr<DuplicatingHost>> hosts;
  Server discovery{io, [](const auto&, const Received&) {}};  // holds all polls
  std::vector<tcp::endpoint> endpoints;
  std::vector<std::unique_ptr<Process>> gateways;
  std::vector<User> users;
  std::vector<std::string> foreignIds;
  int requests = 0, served = 0, unanswered = 0;

  void startHosts(DuplicatingHostBehavior behavior, std::chrono::microseconds latencyToOtherZone) {
    for (int i = 0; i < 2 * kHostsPerZone; ++i) {
      const bool isLocal = i < kHostsPerZone;
      behavior.latency = isLocal ? std::chrono::microseconds(0) : latencyToOtherZone;
      hosts.push_back(std::make_unique<DuplicatingHost>(
          io, "s-" + std::to_string(i), isLocal ? "brasov" : "cluj", behavior, record, random));
    }
  }

  json configurationOf(int number) const {
    json list = json::array();
    for (const auto& host : hosts)
      list.push_back(fake_upstream::hostJson(host->name(), text(host->endpoint()), host->zone()));
    json config = configJson(discovery.endpoint(), list);
    using fake_upstream::classJson;
    config["settings"] = fake_upstream::settingsJson(
        {classJson({"cut-plan", "retryable", "all", 12, 600'000'000, 1'200'000'000}),
         classJson({"stock-out", "fragile", "all", 1, 400'000'000, 2'000'000'000}),
         classJson({"log-in", "dedup", "zone", 1, 400'000'000, 1'000'000'000})},
        false, "brasov");
    config["settings"]["groupSize"] = kGateways;
    config["settings"]["myNumber"] = number;
    config["name"] = "n" + std::to_string(number);
    config["listen"] = text(endpoints[static_cast<std::size_t>(number)]);
    return config;
  }

  void startGateways() {
    endpoints = reserveEndpoints(io, kGateways);
    const std::string operatorFile =
        folder.write("operator.toml", "[trace]\nenabled = true\nfile = \"trace-{name}\"\n");
    for (int i = 0; i < kGateways; ++i) {
      const std::string name = "n" + std::to_string(i);
      setenv("LB_CONFIG", folder.write(name + ".json", configurationOf(i).dump()).c_str(), 1);
      gateways.push_back(std::make_unique<Process>(
          FINCHSTILE_PROGRAM, std::vector<std::string>{"run", "--operator", operatorFile},
          folder / (name + ".log")));
    }
    for (const tcp::endpoint& endpoint : endpoints)
      ASSERT_TRUE(runUntil(io, [&] {
        tcp::socket probe(io);
        error_code error;
        probe.connect(endpoint, error);
        return !error;
      }));
  }

  const RequestKind& drawKind() {
    int draw = static_cast<int>(random() % 100);
    for (const RequestKind& kind : kKinds)
      if ((draw -= kind.share) < 0) return kind;
    return kKinds[0];
  }

  void send(User& user) {
    const RequestKind& kind = drawKind();
    user.openId = "r-" + std::to_string(++requests);
    const bool isKeyed = std::string(kind.name) == "log-in";
    const bool isGet = std::string(kind.method) == "GET";
    try {
      user.connection->write(std::string(kind.method) + " /" + kind.name +
                             "/1 HTTP/1.1\r\nHost: api\r\nX-Correlation-Id: " + user.openId +
                             "\r\nX-Time-Left-Ms: " + std::to_string(kind.timeLeftMs) + "\r\n" +
                             (isKeyed ? "Idempotency-Key: k-" + user.openId + "\r\n" : "") +
                             (isGet ? "\r\n" : "Content-Length: 4\r\n\r\nbody"));
    } catch (const boost::system::system_error&) {
      // step() detects the closed connection.
    }
  }

  void step(User& user, bool more) {
    const auto now = steady_clock::now();
    if (!user.openId.empty()) {
      if (user.connection->answers.size() > user.responsesSeen) return onResponse(user);
      if (!user.connection->ended) return;
      ++unanswered;
      user.openId.clear();
      user.connection.reset();
      return;
    }
    if (!more || now < user.next) return;
    if (!user.connection || user.connection->ended) {
      user.connection = Client::connect(io, endpoints[user.gateway]);
      user.responsesSeen = 0;
    }
    send(user);
  }

  void onResponse(User& user) {
    const auto& response = user.connection->answers[user.responsesSeen++];
    if (response.result_int() == 200) {
      ++served;
      if (response.body() != "made for " + user.openId) foreignIds.push_back(user.openId);
    }
    if (!response.keep_alive()) user.connection->ended = true;
    user.openId.clear();
    user.next = steady_clock::now() + milliseconds(random() % 60);
  }

  std::string attemptsOf(const std::string& id) const {
    std::string lines;
    for (int i = 0; i < kGateways; ++i) {
      std::ifstream file(folder / ("trace-n" + std::to_string(i)));
      for (std::string line; std::getline(file, line);)
        if (line.find(" id=" + id + " ") != std::string::npos) lines += line + "\n";
    }
    return lines;
  }
  std::string describe(const std::vector<std::string>& ids) const {
    std::string text;
    for (std::size_t i = 0; i < ids.size() && i < kShownBreaches; ++i)
      text += "--- " + ids[i] + ", by the hosts:\n" + record.historyOf(ids[i]) + "by the gateways:\n" +
              attemptsOf(ids[i]);
    return text;
  }

  void run(const DuplicatingHostBehavior& behavior, std::chrono::microseconds latencyToOtherZone) {
    startHosts(behavior, latencyToOtherZone);
    startGateways();
    if (HasFatalFailure()) return;
    users.resize(kGateways * kUsersPerGateway);
    for (std::size_t i = 0; i < users.size(); ++i) users[i].gateway = i % kGateways;
    const auto end =
        steady_clock::now() + std::chrono::seconds(environmentNumber("FINCHSTILE_SOAK_SECONDS", 6));
    const auto allAnswered = [&] {
      return std::all_of(users.begin(), users.end(), [](const User& u) { return u.openId.empty(); });
    };
    while (steady_clock::now() < end || !allAnswered()) {
      ASSERT_LT(steady_clock::now(), end + std::chrono::seconds(5)) << "requests without a response";
      for (User& user : users) step(user, steady_clock::now() < end);
      io.restart();
      io.run_one_for(milliseconds(5));
      io.poll();
    }
    // The gateways write their last lines.
    const auto logged = steady_clock::now() + milliseconds(300);
    runUntil(io, [&] { return steady_clock::now() >= logged; });
    judge();
  }

  void judge() const {
    int copies = 0, rejected = 0;
    for (const auto& host : hosts) copies += host->copies, rejected += host->rejected;
    std::printf(
        "requests %d served %d unanswered %d rejected attempts %d copies %d foreign %zu concurrent %d "
        "repeated %d outside scope %d\n",
        requests, served, unanswered, rejected, copies, foreignIds.size(), record.concurrent, record.repeated,
        record.outsideScope);
    EXPECT_EQ(foreignIds.size(), 0u) << describe(foreignIds);
    EXPECT_EQ(record.breachIds.size(), 0u) << describe(record.breachIds);
    EXPECT_EQ(unanswered, 0);
    EXPECT_GT(served, requests / 2);
    EXPECT_GT(copies, 0);
    EXPECT_GT(rejected, 0);
  }
};

// Guards against responses given to other requests, and against attempts sent again because of them: the host
// looks at its connection right before it sends the copy, but the next request is on its way.
TEST_F(SecondResponseTest, CopyThatCrossesTheNextRequestIsNotTakenForItsResponse) {
  run({}, std::chrono::milliseconds(8));
}

// The same where a host decides on the copy when it sends the response.
TEST_F(SecondResponseTest, CopyBehindTheNextRequestIsNotTakenForItsResponse) {
  DuplicatingHostBehavior behavior;
  behavior.looksBeforeCopy = false;
  run(behavior, std::chrono::microseconds(0));
}

}  // namespace
}  // namespace finchstile::testing
