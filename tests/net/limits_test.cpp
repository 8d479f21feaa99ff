// Lists as long as the largest fleet's, on loopback: nothing is cut, and what comes and goes leaves nothing.
#include <malloc.h>

#include <ctime>

#include "support/gateway_fixture.hpp"

namespace finchstile::testing {
namespace {

json many(int from, int to, const std::string& status = "active") {
  json list = json::array();
  for (int i = from; i < to; ++i)
    list.push_back(hostJson(
        "s-" + std::to_string(i),
        {asio::ip::make_address("127.9." + std::to_string(i / 250) + "." + std::to_string(1 + i % 250)), 9},
        status));
  return list;
}

struct LimitsTest : GatewayTest {
  void tell(int index, bool whole, const json& hosts) {
    const std::size_t before = polls.size();
    polls.back()->reply(200, listJson(index, whole, hosts).dump());
    ASSERT_TRUE(until([&] { return polls.size() > before; }));
  }
};

TEST_F(LimitsTest, AListOf1100HostsIsHeldWholeChangedByHalfAndDrained) {
  host(serveOk);
  start([](json& c) {
    c["known"]["endpoints"] = many(0, 1100);
    c["settings"]["groupSize"] = 350;
    c["settings"]["myNumber"] = 349;
  });
  EXPECT_EQ(gateway->metrics().listedHosts, 1100u);
  EXPECT_TRUE(gateway->isListed("s-1099"));
  ASSERT_TRUE(until([&] { return polls.size() == 1; }));
  tell(2, false, many(0, 550, "leaving"));
  EXPECT_EQ(gateway->metrics().listedHosts, 1100u);
  EXPECT_EQ(gateway->metrics().avoidedHosts, 550u);
  json next = many(0, 550, "left");
  for (const json& h : many(1100, 1650)) next.push_back(h);
  tell(3, false, next);
  EXPECT_EQ(gateway->metrics().listedHosts, 1100u);
  EXPECT_EQ(gateway->metrics().avoidedHosts, 0u);
  tell(4, false, many(550, 1650, "leaving"));
  EXPECT_EQ(gateway->metrics().avoidedHosts, 1100u);
  // The one that is left over by a whole list is served by at once.
  tell(5, true, hostListJson());
  EXPECT_EQ(gateway->metrics().listedHosts, 1u);
  const auto c = client();
  c->sendRequest("GET", "/read", 2500);
  ASSERT_TRUE(until([&] { return c->answers.size() == 1; }));
  EXPECT_EQ(c->answers[0].result_int(), 200u);
  ASSERT_TRUE(until([&] { return gateway->trackedHosts() == 1; }));  // nothing is kept of 1,650
}

// What a host costs must not grow with how many there are.
TEST(Limits, MemoryAndTimeAreInProportionToTheHosts) {
  const Clock clock;
  const auto cost = [&](int hosts) {
    json config = configJson({asio::ip::make_address("127.0.0.1"), 1}, many(0, hosts));
    config["settings"]["groupSize"] = 350;
    const std::string text = config.dump(), change = listJson(2, false, many(0, hosts / 2, "leaving")).dump();
    double best = 1e9;
    std::size_t bytes = 0;
    for (int i = 0; i < 3; ++i) {
      asio::io_context io;
      const std::clock_t from = std::clock();
      const std::size_t before = mallinfo2().uordblks;
      Gateway g(io, clock, readConfig(text, clock));
      g.start();
      g.applyHostList(parseHostList(change, clock));
      bytes = mallinfo2().uordblks - before;
      best = std::min(best, static_cast<double>(std::clock() - from) / CLOCKS_PER_SEC);
      EXPECT_EQ(g.metrics().listedHosts, static_cast<std::size_t>(hosts));
    }
    return std::pair(best, bytes);
  };
  const auto small = cost(128), large = cost(1024);
  RecordProperty("bytes_per_host", static_cast<int>(large.second / 1024));
  std::printf("1,024 hosts: %.1f ms, %zu bytes each; 128: %.1f ms\n", 1e3 * large.first, large.second / 1024,
              1e3 * small.first);
  EXPECT_LT(large.first, 40 * small.first) << "more than in proportion (8) by far";
  EXPECT_LT(large.second, std::size_t{16} << 20);
}

// What runs beside the gateway has descriptors that neither clients nor hosts may take.
TEST(Limits, ReservedDescriptorsComeOffTheShares) {
  const Clock clock;
  const auto sharesWith = [&](std::size_t reserved) {
    GatewayConfig config =
        readConfig(configJson({asio::ip::make_address("127.0.0.1"), 1}, json::array()).dump(), clock);
    config.reservedDescriptors = reserved;
    asio::io_context io;
    const Gateway::DescriptorLimits shares = Gateway(io, clock, std::move(config)).descriptorLimits();
    return shares.clients + shares.upstream;
  };
  // 95 in a hundred of what is left are shared out.
  EXPECT_EQ(sharesWith(0) - sharesWith(20), 19u);
}

}  // namespace
}  // namespace finchstile::testing
