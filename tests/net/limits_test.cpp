// Host lists of the size of the largest fleet: they are not truncated, removed hosts leave no state behind,
// and costs grow in proportion. Also the division of descriptors.
#include <malloc.h>

#include <ctime>

#include "support/gateway_fixture.hpp"

namespace finchstile::testing {
namespace {

json endpointsJson(int begin, int end, const std::string& status = "active") {
  json list = json::array();
  for (int i = begin; i < end; ++i)
    list.push_back(hostJson(
        "s-" + std::to_string(i),
        {asio::ip::make_address("127.9." + std::to_string(i / 250) + "." + std::to_string(1 + i % 250)), 9},
        status));
  return list;
}

struct LimitsTest : GatewayTest {
  void publish(int index, bool whole, const json& hosts) {
    const std::size_t before = polls.size();
    polls.back()->reply(200, listJson(index, whole, hosts).dump());
    ASSERT_TRUE(until([&] { return polls.size() > before; }));
  }
};

TEST_F(LimitsTest, KeepsCompleteListOf1100HostsThroughChangesAndDrains) {
  host(serveOk);
  start([](json& c) {
    c["known"]["endpoints"] = endpointsJson(0, 1100);
    c["settings"]["groupSize"] = 350;
    c["settings"]["myNumber"] = 349;
  });
  EXPECT_EQ(gateway->metrics().listedHosts, 1100u);
  EXPECT_TRUE(gateway->isListed("s-1099"));
  ASSERT_TRUE(until([&] { return polls.size() == 1; }));
  publish(2, false, endpointsJson(0, 550, "leaving"));
  EXPECT_EQ(gateway->metrics().listedHosts, 1100u);
  EXPECT_EQ(gateway->metrics().avoidedHosts, 550u);
  json next = endpointsJson(0, 550, "left");
  for (const json& h : endpointsJson(1100, 1650)) next.push_back(h);
  publish(3, false, next);
  EXPECT_EQ(gateway->metrics().listedHosts, 1100u);
  EXPECT_EQ(gateway->metrics().avoidedHosts, 0u);
  publish(4, false, endpointsJson(550, 1650, "leaving"));
  EXPECT_EQ(gateway->metrics().avoidedHosts, 1100u);
  // A complete list with a single active host: that one serves at once.
  publish(5, true, hostListJson());
  EXPECT_EQ(gateway->metrics().listedHosts, 1u);
  const auto c = client();
  c->sendRequest("GET", "/read", 2500);
  ASSERT_TRUE(until([&] { return c->answers.size() == 1; }));
  EXPECT_EQ(c->answers[0].result_int(), 200u);
  ASSERT_TRUE(until([&] { return gateway->trackedHosts() == 1; }));  // the 1,650 others are removed
}

// The cost per host must not grow with the number of hosts.
TEST(Limits, MemoryAndTimeGrowInProportionToHosts) {
  const Clock clock;
  const auto cost = [&](int hosts) {
    json config = configJson({asio::ip::make_address("127.0.0.1"), 1}, endpointsJson(0, hosts));
    config["settings"]["groupSize"] = 350;
    const std::string text = config.dump(),
                      change = listJson(2, false, endpointsJson(0, hosts / 2, "leaving")).dump();
    double bestSeconds = 1e9;
    std::size_t bytes = 0;
    for (int i = 0; i < 3; ++i) {
      asio::io_context io;
      const std::clock_t startTime = std::clock();
      const std::size_t before = mallinfo2().uordblks;
      Gateway g(io, clock, readConfig(text, clock));
      g.start();
      g.applyHostList(parseHostList(change, clock));
      bytes = mallinfo2().uordblks - before;
      bestSeconds = std::min(bestSeconds, static_cast<double>(std::clock() - startTime) / CLOCKS_PER_SEC);
      EXPECT_EQ(g.metrics().listedHosts, static_cast<std::size_t>(hosts));
    }
    return std::pair(bestSeconds, bytes);
  };
  const auto small = cost(128), large = cost(1024);
  RecordProperty("bytes_per_host", static_cast<int>(large.second / 1024));
  std::printf("1,024 hosts: %.1f ms, %zu bytes each; 128: %.1f ms\n", 1e3 * large.first, large.second / 1024,
              1e3 * small.first);
  EXPECT_LT(large.first, 40 * small.first) << "for 8 times as many hosts";
  EXPECT_LT(large.second, std::size_t{16} << 20);
}

// Descriptors reserved for other components of the process are not available to clients and hosts.
TEST(Limits, SubtractsReservedDescriptorsFromShares) {
  const Clock clock;
  const auto sharesWith = [&](std::size_t reserved) {
    GatewayConfig config =
        readConfig(configJson({asio::ip::make_address("127.0.0.1"), 1}, json::array()).dump(), clock);
    config.reservedDescriptors = reserved;
    asio::io_context io;
    const Gateway::DescriptorLimits shares = Gateway(io, clock, std::move(config)).descriptorLimits();
    return shares.clients + shares.upstream;
  };
  // 95% of the remaining descriptors are divided among clients and hosts.
  EXPECT_EQ(sharesWith(0) - sharesWith(20), 19u);
}

}  // namespace
}  // namespace finchstile::testing
