// CrossZoneFilter in a gateway over loopback, with hosts in two zones.
#include "cross_zone/cross_zone_filter.hpp"

#include "support/gateway_fixture.hpp"

namespace finchstile::testing {
namespace {

using cross_zone::CrossZoneFilter;
using cross_zone::CrossZoneSettings;

struct CrossZoneFilterTest : GatewayTest {
  std::unique_ptr<CrossZoneFilter> filter;
  std::size_t localHosts = 0;  // hosts[0] to hosts[localHosts - 1] are in the local zone

  void begin(std::size_t activeLocalHosts, std::size_t others, double rate,
             Server::Handler handler = serveOk) {
    localHosts = activeLocalHosts;
    for (std::size_t i = 0; i < activeLocalHosts + others; ++i) host(handler);
    GatewayConfig config =
        readConfig(configJson(discovery.endpoint(), endpointList(activeLocalHosts)).dump(), clock);
    CrossZoneSettings s;
    s.enabled = true;
    s.bytesPerSecond = rate;
    filter = std::make_unique<CrossZoneFilter>(clock, s, config.settings);
    gateway = std::make_unique<Gateway>(io, clock, std::move(config));
    gateway->attach(*filter);
    gateway->start();
  }
  // The endpoint list, with only the first `activeLocalHosts` hosts of the local zone active.
  json endpointList(std::size_t activeLocalHosts) {
    json list = json::array();
    for (std::size_t i = 0; i < hosts.size(); ++i) {
      const bool isLocal = i < localHosts;
      list.push_back(fake_upstream::hostJson("s-" + std::to_string(i), text(hosts[i]->endpoint()),
                                             isLocal ? "east" : "west",
                                             isLocal && i >= activeLocalHosts ? "left" : "active"));
    }
    return list;
  }
  std::size_t crossZoneAttempts() const {
    std::size_t n = 0;
    for (std::size_t i = localHosts; i < hosts.size(); ++i) n += hosts[i]->received.size();
    return n;
  }
  void sendRequest(int times) {
    const auto c = client();
    for (int i = 0; i < times; ++i) {
      const std::size_t before = c->answers.size();
      c->sendRequest("POST", "/book", 2500, std::string(100, 'x'));
      ASSERT_TRUE(until([&] { return c->answers.size() > before; }));
      ASSERT_EQ(c->answers.back().result_int(), 200u);
    }
  }
};

TEST_F(CrossZoneFilterTest, AccountsForRequestsThatCrossWithinTheBudget) {
  begin(2, 2, 1e9);
  sendRequest(60);
  EXPECT_GT(crossZoneAttempts(), 3u);  // the local zone is only preferred
  const auto total = filter->statistics().total();
  EXPECT_EQ(total.attempts, crossZoneAttempts());
  EXPECT_EQ(total.attemptsOverBudget, 0u);
  EXPECT_EQ(total.attempts + filter->statistics().localAttempts(), 60u);
  EXPECT_GE(total.requestBytes, 100 * crossZoneAttempts());
  EXPECT_GE(total.responseBytes, 2 * crossZoneAttempts());
  EXPECT_NE(filter->statistics().exposition().find("{group=\"book\",zone=\"west\",way=\"out\"}"),
            std::string::npos);
}

TEST_F(CrossZoneFilterTest, KeepsRequestsLocalWithoutBudgetWhileTheZoneHasCapacity) {
  begin(2, 2, 0);
  sendRequest(60);
  EXPECT_EQ(crossZoneAttempts(), 0u);
  EXPECT_EQ(filter->statistics().localAttempts(), 60u);
}

// The budget allows its capacity at first, and then its rate.
TEST_F(CrossZoneFilterTest, KeepsToTheBudgetUnderLightLoad) {
  begin(1, 3, 500);  // the full budget is 5,000 bytes
  const auto began = clock.now();
  sendRequest(120);  // each about 620 bytes with its response
  const double time = std::chrono::duration<double>(clock.now() - began).count();
  const auto total = filter->statistics().total();
  EXPECT_GT(total.attempts, 0u);
  EXPECT_EQ(total.attemptsOverBudget, 0u);
  EXPECT_LE(static_cast<double>(total.requestBytes + total.responseBytes), 500 * (time + 10) + 1000);
}

// All hosts of the local zone are removed, so only other zones can serve requests.
TEST_F(CrossZoneFilterTest, ServesAllRequestsOverBudgetWhenTheLocalZoneHasNoHosts) {
  begin(2, 2, 0);
  sendRequest(10);
  ASSERT_TRUE(until([&] { return !polls.empty(); }));
  polls.back()->reply(200, listJson(9, true, endpointList(0)).dump());
  ASSERT_TRUE(until([&] { return !gateway->isListed("s-0"); }));
  sendRequest(20);
  EXPECT_EQ(crossZoneAttempts(), 20u);
  EXPECT_EQ(filter->statistics().total().attemptsOverBudget, 20u);
  EXPECT_NE(filter->summary().back().find("forced=20"), std::string::npos);
}

// The local zone is at capacity: requests use other zones before any is rejected.
TEST_F(CrossZoneFilterTest, CrossesZonesBeforeRequestsAreRejected) {
  begin(1, 3, 0, hold);
  std::vector<std::shared_ptr<Client>> clients;
  for (int i = 0; i < 10; ++i) {
    clients.push_back(client());
    clients.back()->sendRequest("GET", "/read", 2900);
    ASSERT_TRUE(until([&] { return received() == static_cast<std::size_t>(i) + 1; }));
  }
  EXPECT_GT(hosts[0]->received.size(), 1u);  // the local host is preferred,
  EXPECT_LT(hosts[0]->received.size(), 6u);  // until it is near its admission cutoff
  EXPECT_EQ(filter->statistics().total().attemptsOverBudget, crossZoneAttempts());
  EXPECT_EQ(gateway->metrics().classes[0].rejected, 0u);
  for (const auto& h : hosts)
    for (const auto& peer : h->peers) peer->reply(200, "ok");
  for (const auto& c : clients) ASSERT_TRUE(until([&] { return c->answers.size() == 1; }));
}

}  // namespace
}  // namespace finchstile::testing
