// Tests of the gateway's configuration, and of the settings that it has in common with the simulator adapter.
#include "net/config.hpp"

#include "simulator/settings_reader.hpp"
#include "support/sockets.hpp"

namespace finchstile::testing {
namespace {

std::string errorOf(const std::function<void(json&)>& change) {
  const Clock clock;
  json config = configJson({asio::ip::make_address("127.0.0.1"), 1}, json::array());
  change(config);
  try {
    readConfig(config.dump(), clock);
  } catch (const std::exception& failure) {
    return failure.what();
  }
  return "";
}

TEST(ConfigTest, ReadsSameSettingsAsAdapter) {
  const Clock clock;
  json config = configJson({asio::ip::make_address("127.0.0.1"), 1}, json::array());
  config["settings"]["tenants"] = {{{"name", "acme"}, {"quotaRps", 12.5}, {"portion", 0.5}}};
  const auto a = readConfig(config.dump(), clock).settings;
  const auto b = load_balancing::simulator::readSettings(
      "rngSeed=5 groupSize=1 zone=east registryMode=ask stepNs=5000000 ceilings.cancel=true "
      "ceilings.maxAttempts=3 ceilings.maxRetryAfterNs=1000000000 rules.askWithinNs=10000000000 "
      "rules.coldNs=9000000000 rules.coldShare=0.32 rules.fallNs=2000000000 grades.count=2 "
      "grades.0.name=read grades.0.effect=retryable grades.0.aimNs=3000000000 grades.0.points=12.0 "
      "grades.2.name=put grades.2.effect=dedup grades.2.group=zone grades.2.windowNs=2000000000 "
      "tenants.0.name=acme tenants.0.quotaRps=12.5");
  EXPECT_EQ(a.seed, 0x92094eb940cf389aULL);  // the configuration's seed is hexadecimal
  EXPECT_EQ(b.seed, 5u);
  EXPECT_EQ(a.zone, b.zone);
  EXPECT_TRUE(a.pollsDiscovery && b.pollsDiscovery && a.cancellationEnabled && b.cancellationEnabled);
  EXPECT_EQ(a.eventInterval, b.eventInterval);
  EXPECT_EQ(a.maxDiscoverySilence, b.maxDiscoverySilence);
  EXPECT_EQ(a.warmUpTime, b.warmUpTime);
  EXPECT_EQ(a.initialCapacityFraction, b.initialCapacityFraction);
  EXPECT_EQ(a.collapseWindow, b.collapseWindow);
  EXPECT_EQ(a.maxAttempts, 3u);
  EXPECT_EQ(b.maxAttempts, 3u);
  ASSERT_EQ(a.classes.size(), 3u);
  ASSERT_EQ(b.classes.size(), 3u);
  EXPECT_EQ(a.classes[0].idempotency, load_balancing::Idempotency::idempotent);
  EXPECT_EQ(a.classes[0].latencyObjective, b.classes[0].latencyObjective);
  EXPECT_EQ(a.classes[0].priorityWeight, b.classes[0].priorityWeight);
  EXPECT_EQ(a.classes[2].deduplicationScope, b.classes[2].deduplicationScope);
  EXPECT_EQ(a.classes[2].deduplicationWindow, b.classes[2].deduplicationWindow);
  ASSERT_EQ(a.tenants.size(), 1u);
  EXPECT_EQ(a.tenants[0].quotaPerSecond, b.tenants[0].quotaPerSecond);
}

TEST(ConfigTest, ReportsInvalidValueInOneLine) {
  EXPECT_EQ(errorOf([](json&) {}), "");
  EXPECT_NE(errorOf([](json& c) { c.erase("settings"); }).find("settings"), std::string::npos);
  EXPECT_NE(errorOf([](json& c) { c["seed"] = "xyz"; }).find("xyz"), std::string::npos);
  EXPECT_NE(errorOf([](json& c) { c["listen"] = "nowhere"; }).find("nowhere"), std::string::npos);
  EXPECT_NE(errorOf([](json& c) { c["settings"]["grades"] = json::array(); }).find("class"),
            std::string::npos);
  EXPECT_NE(errorOf([](json& c) { c["settings"]["stepNs"] = "soon"; }).find("stepNs"), std::string::npos);
  EXPECT_NE(errorOf([](json& c) { c["settings"]["ceilings"].erase("idleCloseNs"); }).find("idleCloseNs"),
            std::string::npos);
  EXPECT_EQ(errorOf([](json& c) { c["seed"] = ""; }).find('\n'), std::string::npos);
}

ConfigError::Code codeOf(const std::function<void()>& read) {
  try {
    read();
  } catch (const ConfigError& error) {
    return error.code();
  }
  ADD_FAILURE() << "no ConfigError";
  return {};
}

TEST(ConfigTest, ThrowsConfigErrorWithItsCode) {
  const Clock clock;
  using Code = ConfigError::Code;
  EXPECT_EQ(codeOf([&] { loadConfig("/nowhere/gateway.json", clock); }), Code::unreadableFile);
  EXPECT_EQ(codeOf([&] { readConfig("{", clock); }), Code::malformedDocument);
  EXPECT_EQ(codeOf([&] { parseHostList("{}", clock); }), Code::malformedDocument);
  EXPECT_EQ(codeOf([&] { parseHostList(R"({"index":1,"snapshot":true,"endpoints":{}})", clock); }),
            Code::malformedDocument);
  EXPECT_EQ(codeOf([] { readEndpoint("nowhere"); }), Code::invalidValue);
}

TEST(ConfigTest, ReadsEqualStartTimesFromEqualLists) {
  const Clock clock;
  const auto unixNow = std::chrono::duration_cast<std::chrono::milliseconds>(
                           std::chrono::system_clock::now().time_since_epoch())
                           .count();
  const tcp::endpoint at{asio::ip::make_address("127.0.0.1"), 80};
  const std::string text =
      listJson(4, true,
               {hostJson("a", at, "active", unixNow - 2000), hostJson("b", at), hostJson("c", at, "left")})
          .dump();
  const HostList one = parseHostList(text, clock), two = parseHostList(text, clock);
  ASSERT_EQ(one.hosts.size(), 3u);
  EXPECT_EQ(one.hosts[0].entry.startedAt, two.hosts[0].entry.startedAt);
  EXPECT_EQ(one.hosts[1].entry.startedAt, Time{});  // `sinceMs` 0 means long ago
  EXPECT_EQ(one.hosts[2].entry.phase, load_balancing::HostPhase::removed);
  const auto age = clock.now() - one.hosts[0].entry.startedAt;
  EXPECT_GE(age, std::chrono::milliseconds(1900));
  EXPECT_LT(age, std::chrono::seconds(60));
}

// A large deployment may have a thousand classes and tenants.
TEST(ConfigTest, ReadsMoreThan1024ClassesAndTenants) {
  const Clock clock;
  json config = configJson({asio::ip::make_address("127.0.0.1"), 1}, json::array());
  const json grade = config["settings"]["grades"][0];
  for (int i = 3; i < 1025; ++i) {
    config["settings"]["grades"].push_back(grade);
    config["settings"]["grades"].back()["name"] = "class-" + std::to_string(i);
  }
  for (int i = 0; i < 1025; ++i)
    config["settings"]["tenants"].push_back({{"name", "t-" + std::to_string(i)}, {"quotaRps", 1.5}});
  const GatewayConfig c = readConfig(config.dump(), clock);
  ASSERT_EQ(c.settings.classes.size(), 1025u);
  EXPECT_EQ(c.settings.classes.back().name, "class-1024");
  ASSERT_EQ(c.settings.tenants.size(), 1025u);
  EXPECT_EQ(c.settings.tenants.back().quotaPerSecond, 1.5);
}

// The number of tenants that the gateway is designed for.
TEST(ConfigTest, Reads27000Tenants) {
  const Clock clock;
  json config = configJson({asio::ip::make_address("127.0.0.1"), 1}, json::array());
  for (int i = 0; i < 27000; ++i)
    config["settings"]["tenants"].push_back({{"name", "t-" + std::to_string(i)}, {"quotaRps", 1.5}});
  const GatewayConfig c = readConfig(config.dump(), clock);
  ASSERT_EQ(c.settings.tenants.size(), 27000u);
  EXPECT_EQ(c.settings.tenants.back().name, "t-26999");
}

TEST(ConfigTest, ReportsItemsBeyondLimit) {
  EXPECT_NE(errorOf([](json& c) {
              const json grade = c["settings"]["grades"][0];
              for (std::size_t i = 3; i < load_balancing::kMaxClasses + 1; ++i)
                c["settings"]["grades"].push_back(grade);
            }).find("grades has more than 4096 items: there is one numbered 4096"),
            std::string::npos);
  EXPECT_NE(errorOf([](json& c) {
              const json tenant = {{"name", "t"}, {"quotaRps", 1}};
              for (std::size_t i = 0; i < load_balancing::kMaxTenants + 1; ++i)
                c["settings"]["tenants"].push_back(tenant);
            }).find("tenants has more than 131072 items: there is one numbered 131072"),
            std::string::npos);
}

TEST(ConfigTest, WritesHostListsThatReadTheSame) {
  const Clock clock;
  const std::string text =
      R"({"index":41,"snapshot":true,"endpoints":[)"
      R"({"name":"s-0","address":"127.0.0.1:80","zone":"a","type":"m2","group":3,)"
      R"("status":"active","since_ms":0},)"
      R"({"name":"s-1","address":"::1:81","zone":"b","type":"","group":-1,"status":"leaving","since_ms":1},)"
      R"({"name":"s-2","address":"127.0.0.2:82","zone":"","type":"m","group":0,"status":"left","since_ms":)" +
      std::to_string(
          std::chrono::duration_cast<std::chrono::milliseconds>(clock.unixAt(clock.now())).count() - 5000) +
      "}]}";
  const HostList read = parseHostList(text, clock);
  const HostList again = parseHostList(hostListText(read, clock), clock);
  EXPECT_EQ(again.version, 41);
  EXPECT_TRUE(again.complete);
  ASSERT_EQ(again.hosts.size(), 3u);
  for (std::size_t i = 0; i < again.hosts.size(); ++i) {
    const auto &one = read.hosts[i], &other = again.hosts[i];
    EXPECT_EQ(one.endpoint, other.endpoint);
    EXPECT_EQ(one.entry.address, other.entry.address);
    EXPECT_EQ(one.entry.zone, other.entry.zone);
    EXPECT_EQ(one.entry.machineType, other.entry.machineType);
    EXPECT_EQ(one.entry.cell, other.entry.cell);
    EXPECT_EQ(one.entry.phase, other.entry.phase);
    EXPECT_EQ(one.entry.startedAt, other.entry.startedAt);
  }
}

}  // namespace
}  // namespace finchstile::testing
