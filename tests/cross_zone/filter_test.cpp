// Traffic between zones through the gateway: workers labelled by zone, on loopback.
#include "cross_zone/filter.hpp"

#include "support/gateway_fixture.hpp"

namespace finchstile::testing {
namespace {

using cross_zone::CrossingSettings;
using cross_zone::CrossZoneFilter;

struct CrossingTest : GatewayTest {
  std::unique_ptr<CrossZoneFilter> stage;
  std::size_t home = 0;  // hosts of our own zone; the others follow

  void begin(std::size_t own, std::size_t others, double rate, Server::Handler handler = serveOk) {
    home = own;
    for (std::size_t i = 0; i < own + others; ++i) host(handler);
    GatewayConfig config = readConfig(configJson(discovery.endpoint(), zoned(own)).dump(), clock);
    CrossingSettings s;
    s.enabled = true;
    s.bytesPerSecond = rate;
    stage = std::make_unique<CrossZoneFilter>(clock, s, config.settings);
    gateway = std::make_unique<Gateway>(io, clock, std::move(config));
    gateway->attach(*stage);
    gateway->start();
  }
  json zoned(std::size_t own) {  // of the own zone the first `own` are left
    json list = json::array();
    for (std::size_t i = 0; i < hosts.size(); ++i) {
      const bool here = i < home;
      list.push_back(fake_upstream::hostJson("s-" + std::to_string(i), text(hosts[i]->endpoint()),
                                             here ? "east" : "west", here && i >= own ? "left" : "active"));
    }
    return list;
  }
  std::size_t crossed() const {
    std::size_t n = 0;
    for (std::size_t i = home; i < hosts.size(); ++i) n += hosts[i]->received.size();
    return n;
  }
  void ask(int times) {
    const auto c = client();
    for (int i = 0; i < times; ++i) {
      const std::size_t before = c->answers.size();
      c->ask("POST", "/book", 2500, std::string(100, 'x'));
      ASSERT_TRUE(until([&] { return c->answers.size() > before; }));
      ASSERT_EQ(c->answers.back().result_int(), 200u);
    }
  }
};

TEST_F(CrossingTest, WithLeaveRequestsCrossAndAreAccountedFor) {
  begin(2, 2, 1e9);
  ask(60);
  EXPECT_GT(crossed(), 3u);  // the own zone is only leaned to
  const auto total = stage->account().total();
  EXPECT_EQ(total.attempts, crossed());
  EXPECT_EQ(total.forced, 0u);
  EXPECT_EQ(total.attempts + stage->account().stayed(), 60u);
  EXPECT_GE(total.out, 100 * crossed());
  EXPECT_GE(total.in, 2 * crossed());
  EXPECT_NE(stage->account().exposition().find("{group=\"book\",zone=\"west\",way=\"out\"}"),
            std::string::npos);
}

TEST_F(CrossingTest, WithoutLeaveNothingCrossesWhileTheOwnZoneHasRoom) {
  begin(2, 2, 0);
  ask(60);
  EXPECT_EQ(crossed(), 0u);
  EXPECT_EQ(stage->account().stayed(), 60u);
}

// In calm running it keeps to the budget: a window's worth at first, and then what comes in.
TEST_F(CrossingTest, InCalmRunningCrossingStaysWithinTheBudget) {
  begin(1, 3, 500);  // 5,000 bytes saved up
  const auto began = clock.now();
  ask(120);  // of some 620 bytes there and back
  const double time = std::chrono::duration<double>(clock.now() - began).count();
  const auto total = stage->account().total();
  EXPECT_GT(total.attempts, 0u);
  EXPECT_EQ(total.forced, 0u);
  EXPECT_LE(static_cast<double>(total.out + total.in), 500 * (time + 10) + 1000);
}

// Hard case: one zone loses all its workers, and crossing is the only way to serve.
TEST_F(CrossingTest, WhenTheOwnZoneIsGoneEverybodyIsServedBeyondTheBudget) {
  begin(2, 2, 0);
  ask(10);
  ASSERT_TRUE(until([&] { return !calls.empty(); }));
  calls.back()->reply(200, listJson(9, true, zoned(0)).dump());
  ASSERT_TRUE(until([&] { return !gateway->isListed("s-0"); }));
  ask(20);
  EXPECT_EQ(crossed(), 20u);
  EXPECT_EQ(stage->account().total().forced, 20u);
  EXPECT_NE(stage->summary().back().find("forced=20"), std::string::npos);
}

// Hard case: the own zone is full. Before anybody is refused, requests cross.
TEST_F(CrossingTest, BeforeServiceFallsRequestsCross) {
  begin(1, 3, 0, hold);
  std::vector<std::shared_ptr<Client>> clients;
  for (int i = 0; i < 10; ++i) {
    clients.push_back(client());
    clients.back()->ask("GET", "/read", 2900);
    ASSERT_TRUE(until([&] { return received() == static_cast<std::size_t>(i) + 1; }));
  }
  EXPECT_GT(hosts[0]->received.size(), 1u);  // it came first,
  EXPECT_LT(hosts[0]->received.size(), 6u);  // up to where the pool's cut would begin
  EXPECT_EQ(stage->account().total().forced, crossed());
  EXPECT_EQ(gateway->metrics().classes[0].rejected, 0u);
  for (const auto& h : hosts)
    for (const auto& peer : h->peers) peer->reply(200, "ok");
  for (const auto& c : clients) ASSERT_TRUE(until([&] { return c->answers.size() == 1; }));
}

}  // namespace
}  // namespace finchstile::testing
