// Configuration changes at a gateway that serves, over loopback sockets.
#include <boost/asio/thread_pool.hpp>

#include "configuration/client.hpp"
#include "configuration/documents.hpp"
#include "control_machine.hpp"
#include "support/gateway_fixture.hpp"

namespace finchstile::configuration::testing {
namespace {

using finchstile::testing::hold;
using finchstile::testing::json;
using finchstile::testing::Peer;
using finchstile::testing::Received;
using finchstile::testing::serveOk;
using std::chrono::milliseconds;
using TestClient = finchstile::testing::Client;

// Records the tenant of each request at its arrival and at its end.
struct TenantLog : RequestFilter {
  std::vector<std::string> arrived, ended;
  std::uint8_t phases() const override {
    return phaseBit(RequestPhase::received) | phaseBit(RequestPhase::completed);
  }
  FilterDecision onRequestReceived(RequestContext& x) override {
    arrived.emplace_back(x.tenant);
    return {};
  }
  void onRequestCompleted(RequestContext& x, RequestResult) override { ended.emplace_back(x.tenant); }
};

struct ConfiguredGateway : finchstile::testing::GatewayTest {
  boost::asio::thread_pool worker{1};
  fake_upstream::ControlMachine machine{io, fake_upstream::ControlLog::Settings{}};
  TenantLog tenants;
  std::unique_ptr<configuration::Client> client;
  std::vector<SettingsChange> changes;

  void TearDown() override {
    client.reset();
    worker.join();
  }
  void startConfigured() {
    json config = finchstile::testing::configJson(discovery.endpoint(), hostListJson());
    config["settings"]["tenants"] = json::array({{{"name", "acme"}, {"quotaRps", 5.0}}});
    GatewayConfig read = readConfig(config.dump(), clock);
    const load_balancing::Settings settings = read.settings;
    gateway = std::make_unique<Gateway>(io, clock, std::move(read));
    gateway->attach(tenants);
    gateway->start();
    ConfigurationSettings s;
    s.addresses = {machine.address()};
    s.endpoints = {machine.endpoint()};
    s.longPollWait = milliseconds(300);
    s.minPollInterval = milliseconds(0);
    client = std::make_unique<configuration::Client>(
        io, worker.get_executor(), clock, s, "n0", 7, settings,
        [this](const SettingsChange& change) {
          gateway->applyDynamicSettings(change);
          changes.push_back(change);
        },
        [](const std::string&) {});
    client->start();
  }
  bool inForce(const Version& version) {
    return until([&] { return client->statistics().activeVersion == version; });
  }
  void sendRequest(TestClient& c, const std::string& tenant) {
    c.sendRequest("GET", "/read", 2500, "", "X-Account: " + tenant + "\r\n");
  }
};

// Each request is answered once.
TEST_F(ConfiguredGateway, ChangesDuringABurstLoseNoRequest) {
  host(serveOk);
  host(serveOk);
  startConfigured();
  constexpr int kClients = 16;
  constexpr std::size_t kChanges = 40;
  std::vector<std::shared_ptr<TestClient>> clients;
  for (int i = 0; i < kClients; ++i) clients.push_back(TestClient::connect(io, gateway->endpoint()));
  int round = 0;
  for (; changes.size() < kChanges; ++round) {
    ASSERT_LT(round, 5000);
    const std::string name = "tenant-" + std::to_string(round % 7);
    for (auto& c : clients) sendRequest(*c, name);
    machine.publish(
        {round % 3 == 0 ? noTenant(name) : tenant(name, round), classOf("read", 1 + round % 5, 1000)});
    ASSERT_TRUE(until([&] {
      return std::all_of(clients.begin(), clients.end(), [&](const auto& c) {
        return c->answers.size() == static_cast<std::size_t>(round + 1);
      });
    }));
  }
  for (const auto& c : clients) {
    EXPECT_FALSE(c->ended);
    for (const auto& answer : c->answers) EXPECT_EQ(answer.result_int(), 200u);
  }
  EXPECT_TRUE(inForce(machine.log.version()));
  EXPECT_EQ(received(), static_cast<std::size_t>(kClients * round));
}

TEST_F(ConfiguredGateway, RemovedTenantKeepsItsActiveRequests) {
  auto& held = host(hold);
  startConfigured();
  const auto c = TestClient::connect(io, gateway->endpoint());
  sendRequest(*c, "acme");
  ASSERT_TRUE(until([&] { return held.received.size() == 1; }));
  machine.publish({tenant("other", 1)});  // a snapshot without acme
  ASSERT_TRUE(inForce({1, 1}));
  held.peers[0]->reply(200, "ok");
  ASSERT_TRUE(until([&] { return c->answers.size() == 1; }));
  EXPECT_EQ(c->answers[0].result_int(), 200u);
  held.handler = serveOk;
  sendRequest(*c, "acme");
  ASSERT_TRUE(until([&] { return c->answers.size() == 2; }));
  machine.publish({tenant("acme", 7)});
  ASSERT_TRUE(inForce({1, 2}));
  sendRequest(*c, "acme");
  ASSERT_TRUE(until([&] { return c->answers.size() == 3; }));
  EXPECT_EQ(tenants.arrived, (std::vector<std::string>{"acme", "", "acme"}));
  ASSERT_TRUE(until([&] { return tenants.ended.size() == 3; }));
  EXPECT_EQ(tenants.ended, tenants.arrived);
}

// Without a restart. Hosts that fail two fifths of their requests keep the admission cutoff above the scores
// of requests beyond a quota.
TEST_F(ConfiguredGateway, LowerQuotaRejectsMoreRequestsOfItsTenant) {
  int answers = 0;
  const auto failsOften = [&](const std::shared_ptr<Peer>& peer, const Received&) {
    peer->reply(++answers % 5 < 2 ? 500 : 200, "ok");
  };
  for (int i = 0; i < 4; ++i) host(failsOften);
  startConfigured();
  machine.publish({tenant("heavy", 100000), tenant("light", 100000)});
  ASSERT_TRUE(inForce({1, 1}));
  const auto c = TestClient::connect(io, gateway->endpoint());
  std::map<std::string, int> refused;
  const auto play = [&](int rounds) {
    refused.clear();
    for (int i = 0; i < rounds; ++i)
      for (const std::string name : {"heavy", "heavy", "light"}) {
        const std::size_t before = c->answers.size();
        sendRequest(*c, name);
        ASSERT_TRUE(until([&] { return c->answers.size() > before; }));
        refused[name] += c->answers.back().result_int() == 503;
      }
  };
  play(1500);
  const int heavyBefore = refused["heavy"];
  machine.publish({tenant("heavy", 5)});
  ASSERT_TRUE(inForce({1, 2}));
  play(1500);
  EXPECT_GT(refused["heavy"], 2 * heavyBefore + 50);
  EXPECT_GT(refused["heavy"], 5 * refused["light"]);
}

TEST_F(ConfiguredGateway, Applies27000TenantsWhileServing) {
  host(serveOk);
  startConfigured();
  std::vector<DocumentChange> all;
  for (int i = 0; i < 27000; ++i) all.push_back(tenant("tenant-" + std::to_string(i), 50));
  machine.publish(all);
  const auto c = TestClient::connect(io, gateway->endpoint());
  while (client->statistics().activeVersion != Version{1, 1}) {
    const std::size_t before = c->answers.size();
    sendRequest(*c, "tenant-26999");
    ASSERT_TRUE(until([&] { return c->answers.size() > before; }));
    ASSERT_EQ(c->answers.back().result_int(), 200u);
  }
  sendRequest(*c, "tenant-26999");
  ASSERT_TRUE(until([&] { return tenants.ended.size() == c->answers.size() && tenants.ended.back() != ""; }));
  EXPECT_EQ(client->statistics().tenantCount, 27000u);
}

TEST_F(ConfiguredGateway, RejectedRevisionLeavesTheLastAcceptedOneActive) {
  host(serveOk);
  startConfigured();
  machine.publish({tenant("good", 1)});
  ASSERT_TRUE(inForce({1, 1}));
  machine.publish({tenant("later", 1), classOf("read", 1, 600000)});
  ASSERT_TRUE(until([&] { return client->statistics().rejected == 1; }));
  const auto c = TestClient::connect(io, gateway->endpoint());
  for (const char* name : {"good", "later"}) {
    const std::size_t before = c->answers.size();
    sendRequest(*c, name);
    ASSERT_TRUE(until([&] { return c->answers.size() > before; }));
  }
  EXPECT_EQ(tenants.arrived, (std::vector<std::string>{"good", ""}));
}

}  // namespace
}  // namespace finchstile::configuration::testing
