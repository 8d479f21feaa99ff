// Latency of a repeated keyed request at another gateway, compared with one at the same gateway and with a
// new request: three gateways on loopback that query each other for the owners of keys, with sequential
// requests.
//
//   cmake -B build-bench -DFINCHSTILE_BENCH=ON && cmake --build build-bench -j4 --target
//   bench_idempotency_owners && build-bench/bench_idempotency_owners FOLDER   (for the secret; emptied at the
//   end)
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

// A gateway with its event loop on a separate thread.
struct One {
  One(const nlohmann::json& config, const IdempotencySettings& settings, const peer::PeerSettings& peers)
      : read(readConfig(config.dump(), clock)), gateway(io, clock, read) {
    stage = std::make_unique<IdempotencyFilter>(clock, settings, 0, Seed{1, peers.ownNumber},
                                                gateway.filterCallbacks());
    link = std::make_unique<PeerLink>(io, clock, peers);
    owners = std::make_unique<IdempotencyOwnership>(io, clock, settings, *link, read.settings, *stage);
    gateway.attach(*stage);
    gateway.start();
    at = gateway.endpoint();
    loop = std::thread([this] { io.run(); });
  }
  ~One() {
    asio::post(io, [this] { io.stop(); });
    loop.join();
  }
  const Clock clock;
  asio::io_context io{1};
  const GatewayConfig read;
  std::unique_ptr<IdempotencyFilter> stage;
  Gateway gateway;
  std::unique_ptr<PeerLink> link;
  std::unique_ptr<IdempotencyOwnership> owners;
  asio::ip::tcp::endpoint at;
  std::thread loop;
};

class Asker {
 public:
  explicit Asker(const asio::ip::tcp::endpoint& at) {
    socket_.connect(at);
    socket_.set_option(asio::ip::tcp::no_delay(true));
  }
  // Returns microseconds; negative: not served.
  double ask(const std::string& key, bool repeat) {
    static int asked = 0;
    const std::string request = "POST /put/1 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: i" +
                                std::to_string(++asked) +
                                "\r\nX-Time-Left-Ms: 2000\r\nIdempotency-Key: " + key + "\r\n" +
                                (repeat ? "X-Repeat: 1\r\n" : "") + "Content-Length: 4\r\n\r\nbody";
    char bytes[4096];
    const auto sent = SteadyClock::now();
    asio::write(socket_, asio::buffer(request));
    const std::size_t n = socket_.read_some(asio::buffer(bytes));
    const double took = std::chrono::duration<double, std::micro>(SteadyClock::now() - sent).count();
    return std::string_view(bytes, n).substr(9, 3) == "200" ? took : -1;
  }

 private:
  asio::io_context io_;
  asio::ip::tcp::socket socket_{io_};
};

void print(const char* what, std::vector<double>& v, std::size_t asked) {
  std::sort(v.begin(), v.end());
  const auto at = [&](std::size_t permille) { return v[(v.size() - 1) * permille / 1000]; };
  std::printf("%-42s p50 %5.0f us, p99 %5.0f us, %zu of %zu served\n", what, at(500), at(990), v.size(),
              asked);
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
    std::vector<asio::ip::udp::socket> held;  // open at the same time, so that the ports differ
    for (std::size_t g = 0; g < kGateways; ++g) {
      held.emplace_back(io, asio::ip::udp::endpoint(asio::ip::address_v4::loopback(), 0));
      peers.endpoints.push_back(held.back().local_endpoint());
    }
  }
  bench::Host host;
  const nlohmann::json config = bench::configFor(host, fake_upstream::classJson({"put", "dedup", "zone"}));
  IdempotencySettings settings;
  settings.peerOwnership.enabled = true;
  settings.limits.maxEntries = 1'000'000;
  std::vector<std::unique_ptr<One>> all;
  for (std::size_t g = 0; g < kGateways; ++g) {
    peers.ownNumber = static_cast<std::uint16_t>(g);
    peers.listenEndpoint = peers.endpoints[g];
    all.push_back(std::make_unique<One>(config, settings, peers));
  }
  std::this_thread::sleep_for(std::chrono::seconds(3));  // until the gateways have discovered each other
  Asker first(all[0]->at), second(all[1]->at);
  std::vector<double> fresh, same, other;
  constexpr int kRequests = 3000;
  for (int i = -300; i < kRequests; ++i) {  // negative: warm-up
    const std::string key = "5c0f6e1a2b3d4c59a8b7c6d5e4f" + std::to_string(1'000'000 + i);
    const double a = first.ask(key, false), b = first.ask(key, true), c = second.ask(key, true);
    if (i < 0) continue;
    if (a >= 0) fresh.push_back(a);
    if (b >= 0) same.push_back(b);
    if (c >= 0) other.push_back(c);
  }
  print("new", fresh, kRequests);
  print("repeat at the same gateway", same, kRequests);
  print("repeat at another, which asks the owners", other, kRequests);
  std::filesystem::remove(secret);
}
