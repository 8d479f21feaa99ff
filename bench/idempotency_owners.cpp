// Latency of a repeated keyed request at another gateway, compared with one at the same gateway and with a
// new request: three gateways on loopback that query each other for the owners of keys, with sequential
// requests.
//
//   cmake -B build-bench -DFINCHSTILE_BENCH=ON
//   cmake --build build-bench -j4 --target bench_idempotency_owners
//   build-bench/bench_idempotency_owners FOLDER
//
// FOLDER is for the file with the secret, which is removed at the end.
#include <sys/stat.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "app/idempotency_ownership.hpp"
#include "host.hpp"
#include "idempotency/filter.hpp"
#include "net/gateway.hpp"

namespace {

using namespace finchstile;
using namespace finchstile::idempotency;
namespace asio = boost::asio;
using SteadyClock = std::chrono::steady_clock;

constexpr std::size_t kGateways = 3;
constexpr int kWarmUpRequests = 300;               // sent before the measured ones
constexpr std::chrono::seconds kDiscoveryTime(3);  // until the gateways have discovered each other

// A gateway with its event loop on a separate thread.
struct PeerGateway {
  PeerGateway(const nlohmann::json& configJson, const IdempotencySettings& settings,
              const peer::PeerSettings& peers)
      : config(bench::readSequentialConfig(configJson, clock)), gateway(io, clock, config) {
    filter = std::make_unique<IdempotencyFilter>(clock, settings, 0, Seed{1, peers.ownNumber},
                                                 gateway.filterCallbacks());
    link = std::make_unique<PeerLink>(io, clock, peers);
    owners = std::make_unique<IdempotencyOwnership>(io, clock, settings, *link, config.settings, *filter);
    gateway.attach(*filter);
    gateway.start();
    endpoint = gateway.endpoint();
    loop = std::thread([this] { io.run(); });
  }
  ~PeerGateway() {
    asio::post(io, [this] { io.stop(); });
    loop.join();
  }
  const Clock clock;
  asio::io_context io{1};
  const GatewayConfig config;
  std::unique_ptr<IdempotencyFilter> filter;
  Gateway gateway;
  std::unique_ptr<PeerLink> link;
  std::unique_ptr<IdempotencyOwnership> owners;
  asio::ip::tcp::endpoint endpoint;
  std::thread loop;
};

class Client {
 public:
  explicit Client(const asio::ip::tcp::endpoint& endpoint) {
    socket_.connect(endpoint);
    socket_.set_option(asio::ip::tcp::no_delay(true));
  }
  // Sends a request and waits for its answer. Returns the latency in microseconds; negative if the status was
  // not 200.
  double send(const std::string& key, bool repeat) {
    static int requestCount = 0;
    const std::string request = "POST /put/1 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: i" +
                                std::to_string(++requestCount) +
                                "\r\nX-Time-Left-Ms: 2000\r\nIdempotency-Key: " + key + "\r\n" +
                                (repeat ? "X-Repeat: 1\r\n" : "") + "Content-Length: 4\r\n\r\nbody";
    char bytes[4096];
    const auto sent = SteadyClock::now();
    asio::write(socket_, asio::buffer(request));
    const std::size_t bytesRead = socket_.read_some(asio::buffer(bytes));
    const double latency = std::chrono::duration<double, std::micro>(SteadyClock::now() - sent).count();
    return std::string_view(bytes, bytesRead).substr(9, 3) == "200" ? latency : -1;
  }

 private:
  asio::io_context io_;
  asio::ip::tcp::socket socket_{io_};
};

// Prints the percentiles of `latencies` (microseconds), which are sorted, and how many of `sent` requests
// were served.
void print(const char* what, std::vector<double>& latencies, std::size_t sent) {
  std::sort(latencies.begin(), latencies.end());
  const auto percentile = [&](std::size_t permille) {
    return latencies[(latencies.size() - 1) * permille / 1000];
  };
  std::printf("%-42s p50 %5.0f us, p99 %5.0f us, %zu of %zu served\n", what, percentile(500), percentile(990),
              latencies.size(), sent);
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) return std::fputs("usage: bench_idempotency_owners FOLDER\n", stderr), 2;
  std::filesystem::create_directories(argv[1]);
  const std::string secret = std::string(argv[1]) + "/secret";
  std::ofstream(secret) << "00112233445566778899aabbccddeeff\n";
  ::chmod(secret.c_str(), 0600);
  peer::PeerSettings peers;
  peers.enabled = true;
  peers.secretFile = secret;
  {
    asio::io_context io;
    std::vector<asio::ip::udp::socket> sockets;  // open at the same time, so that the ports differ
    for (std::size_t g = 0; g < kGateways; ++g) {
      sockets.emplace_back(io, asio::ip::udp::endpoint(asio::ip::address_v4::loopback(), 0));
      peers.endpoints.push_back(sockets.back().local_endpoint());
    }
  }
  bench::Host host;
  const nlohmann::json config = bench::configFor(host, fake_upstream::classJson({"put", "dedup", "zone"}));
  IdempotencySettings settings;
  settings.peerOwnership.enabled = true;
  settings.limits.maxEntries = 1'000'000;
  std::vector<std::unique_ptr<PeerGateway>> gateways;
  for (std::size_t g = 0; g < kGateways; ++g) {
    peers.ownNumber = static_cast<std::uint16_t>(g);
    peers.listenEndpoint = peers.endpoints[g];
    gateways.push_back(std::make_unique<PeerGateway>(config, settings, peers));
  }
  std::this_thread::sleep_for(kDiscoveryTime);
  Client first(gateways[0]->endpoint), second(gateways[1]->endpoint);
  std::vector<double> newRequests, repeatsAtSame, repeatsAtOther;  // latencies, microseconds
  constexpr int kRequests = 3000;
  for (int i = -kWarmUpRequests; i < kRequests; ++i) {  // negative: warm-up
    const std::string key = "5c0f6e1a2b3d4c59a8b7c6d5e4f" + std::to_string(1'000'000 + i);
    const double newUs = first.send(key, false), sameUs = first.send(key, true),
                 otherUs = second.send(key, true);
    if (i < 0) continue;
    if (newUs >= 0) newRequests.push_back(newUs);
    if (sameUs >= 0) repeatsAtSame.push_back(sameUs);
    if (otherUs >= 0) repeatsAtOther.push_back(otherUs);
  }
  print("new", newRequests, kRequests);
  print("repeat at the same gateway", repeatsAtSame, kRequests);
  print("repeat at another, which asks the owners", repeatsAtOther, kRequests);
  std::filesystem::remove(secret);
}
