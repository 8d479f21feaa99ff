// Test fixture: a gateway with scripted hosts and a scripted discovery, all on the test's event loop.
#pragma once

#include "support/sockets.hpp"

namespace finchstile::testing {

struct GatewayTest : ::testing::Test {
  asio::io_context io;
  Clock clock;
  // Polls received by discovery. None is answered until the test does so.
  std::vector<std::shared_ptr<Peer>> polls;
  Server discovery{io, [this](const auto& peer, const Received&) { polls.push_back(peer); }};
  std::vector<std::unique_ptr<Server>> hosts;
  std::unique_ptr<Gateway> gateway;
  std::optional<Duration> drainServeTimeOverride;  // replaces options.drainServeTime
  // Replaces options.minVerificationTime if positive. Chosen longer than the scheduling delays of a busy
  // machine.
  Duration minVerificationTimeOverride{};
  std::optional<Duration> minReuseDelayOverride;  // replaces options.minReuseDelay

  Server& host(Server::Handler h) { return *hosts.emplace_back(std::make_unique<Server>(io, std::move(h))); }
  json hostListJson() {
    json list = json::array();
    for (std::size_t i = 0; i < hosts.size(); ++i)
      list.push_back(hostJson("s-" + std::to_string(i), hosts[i]->endpoint()));
    return list;
  }
  void start(const std::function<void(json&)>& change = [](json&) {}) {
    json config = configJson(discovery.endpoint(), hostListJson());
    change(config);
    GatewayConfig read = readConfig(config.dump(), clock);
    if (minVerificationTimeOverride > Duration{})
      read.options.minVerificationTime = minVerificationTimeOverride;
    if (minReuseDelayOverride) read.options.minReuseDelay = *minReuseDelayOverride;
    if (drainServeTimeOverride) read.options.drainServeTime = *drainServeTimeOverride;
    gateway = std::make_unique<Gateway>(io, clock, std::move(read));
    gateway->start();
  }
  std::shared_ptr<Client> client() { return Client::connect(io, gateway->endpoint()); }
  bool until(const std::function<bool()>& reached) { return runUntil(io, reached); }
  // Sends `times` requests, each after the answer to the one before, and expects status 200 for all.
  void expectServed(Client& c, int times, const std::string& method = "GET",
                    const std::string& path = "/read", const std::string& body = "") {
    for (int i = 0; i < times; ++i) {
      const std::size_t before = c.answers.size();
      c.sendRequest(method, path, 2500, body);
      ASSERT_TRUE(until([&] { return c.answers.size() > before; }));
      EXPECT_EQ(c.answers.back().result_int(), 200u);
    }
  }
  std::size_t received() const {
    std::size_t all = 0;
    for (const auto& h : hosts) all += h->received.size();
    return all;
  }
};

inline const auto serveOk = [](const std::shared_ptr<Peer>& peer, const Received&) {
  peer->reply(200, "ok");
};
inline const auto hold = [](const std::shared_ptr<Peer>&, const Received&) {};

}  // namespace finchstile::testing
