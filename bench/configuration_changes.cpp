// Latency that configuration changes add to a request: the time from the first byte of a request to its
// answer, for sequential requests through a gateway on loopback with 27,000 tenants; without a configuration
// client, with a client and no changes, and with a thousand changes during the run. Each request has to be
// answered once.
//   build-bench/bench_configuration_changes [--small | --out FILE.tsv]
#include <algorithm>
#include <atomic>
#include <boost/asio/post.hpp>
#include <boost/asio/thread_pool.hpp>
#include <chrono>
#include <cstdio>
#include <memory>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "configuration/client.hpp"
#include "control_machine.hpp"
#include "host.hpp"
#include "measure.hpp"
#include "net/gateway.hpp"

namespace finchstile::bench {
namespace {

using configuration::DocumentChange;
using configuration::TenantDocument;
using SteadyClock = std::chrono::steady_clock;

constexpr std::size_t kTenants = 27000;
constexpr int kWarmUpRequests = 500;   // sent before the measured ones
constexpr double kInitialQuota = 1e6;  // requests per second of a tenant: no request exceeds it
constexpr int kTenantStride = 7919;    // prime, so that consecutive changes are of distant tenants
constexpr std::chrono::milliseconds kPollPeriod(10);  // for checks whether a revision is in force
constexpr std::chrono::milliseconds kChangeInterval(4);

// Sizes of a run; the small sizes are for the test that runs this program.
struct Size {
  int rounds = 3, requests = 20000, changes = 1000;
};
constexpr Size kFull{}, kSmall{1, 1000, 50};

enum class Variant { direct, noClient, noChanges, changes };
constexpr Variant kVariants[] = {Variant::direct, Variant::noClient, Variant::noChanges, Variant::changes};

const char* nameOf(Variant variant) {
  switch (variant) {
    case Variant::direct: return "no gateway";
    case Variant::noClient: return "no configuration client";
    case Variant::noChanges: return "client, no changes";
    case Variant::changes: return "client, changes";
  }
  return "";
}

DocumentChange tenantChange(std::size_t i, double quota) {
  const std::string name = "tenant-" + std::to_string(i);
  return {"tenant/" + name, TenantDocument{name, quota}};
}

// An event loop on a separate thread.
class Loop {
 public:
  Loop() : work_(asio::make_work_guard(io)), thread_([this] { io.run(); }) {}
  ~Loop() { stop(); }
  // What runs on the loop must be destroyed after this call only.
  void stop() {
    io.stop();
    if (thread_.joinable()) thread_.join();
  }
  asio::io_context io{1};

 private:
  asio::executor_work_guard<asio::io_context::executor_type> work_;
  std::thread thread_;
};

struct Round {
  Samples latencies;  // microseconds
  std::size_t answered = 0, rejected = 0;
  std::uint64_t revisionInForce = 0;  // at the end of the round
};

// One round of a variant, with a control machine, a host and a gateway of its own.
class MeasuredRound {
 public:
  MeasuredRound(Variant variant, const Size& size) : variant_(variant), size_(size) {
    std::vector<DocumentChange> tenants;
    for (std::size_t i = 0; i < kTenants; ++i) tenants.push_back(tenantChange(i, kInitialQuota));
    machine_ =
        std::make_unique<fake_upstream::ControlMachine>(control_.io, fake_upstream::ControlLog::Settings{});
    machine_->log.publish(tenants);
  }

  ~MeasuredRound() { control_.stop(); }
  MeasuredRound(const MeasuredRound&) = delete;
  MeasuredRound& operator=(const MeasuredRound&) = delete;

  Round run() {
    if (variant_ == Variant::direct) return sendRequests(host_.endpoint());
    const nlohmann::json config = configFor(host_, fake_upstream::classJson({"get", "retryable", "all"}));
    GatewayConfig gatewayConfig = readSequentialConfig(config, clock_);
    const load_balancing::Settings start = gatewayConfig.settings;
    asio::io_context io(1);
    asio::thread_pool worker(1);
    Gateway gateway(io, clock_, std::move(gatewayConfig));
    std::unique_ptr<configuration::Client> client;
    std::atomic<std::uint64_t> inForce{0};
    if (variant_ != Variant::noClient) {
      configuration::ConfigurationSettings settings;
      settings.addresses = {machine_->address()};
      settings.endpoints = {machine_->endpoint()};
      settings.minPollInterval =
          std::chrono::milliseconds(0);  // so that each change is distributed separately
      client = std::make_unique<configuration::Client>(
          io, worker.get_executor(), clock_, settings, "b", 1, start,
          [&](const configuration::SettingsChange& change) {
            gateway.applyDynamicSettings(change);
            inForce = change.version.revision;
          },
          [](const std::string& line) { std::fprintf(stderr, "%s\n", line.c_str()); });
      client->start();
    }
    gateway.start();
    const auto endpoint = gateway.endpoint();
    std::thread loop([&] { io.run(); });
    while (client && inForce == 0) std::this_thread::sleep_for(kPollPeriod);
    std::thread publisher([&] { publishAll(); });
    Round round = sendRequests(endpoint);
    publisher.join();
    while (variant_ == Variant::changes && inForce < 1 + static_cast<std::uint64_t>(size_.changes))
      std::this_thread::sleep_for(kPollPeriod);
    round.revisionInForce = inForce;
    asio::post(io, [&] { io.stop(); });
    loop.join();
    client.reset();
    worker.join();
    return round;
  }

 private:
  // Publishes the changes of the round at intervals; runs on a thread of its own.
  void publishAll() {
    for (int i = 0; variant_ == Variant::changes && i < size_.changes; ++i) {
      asio::post(control_.io, [this, i] {
        machine_->publish(
            {tenantChange(static_cast<std::size_t>(i * kTenantStride) % kTenants, kInitialQuota + i)});
      });
      std::this_thread::sleep_for(kChangeInterval);
    }
  }
  // Sends the requests sequentially to the gateway or host at `endpoint`. Throws std::runtime_error if an
  // answer has another status than 200 or 503.
  Round sendRequests(const asio::ip::tcp::endpoint& endpoint) const {
    asio::io_context io;
    asio::ip::tcp::socket client(io);
    client.connect(endpoint);
    client.set_option(asio::ip::tcp::no_delay(true));
    Round round;
    char bytes[4096];
    for (int i = -kWarmUpRequests; i < size_.requests; ++i) {
      const std::string id = std::to_string(1'000'000 + i);
      const std::string request = "GET /get/1 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: i" + id +
                                  "\r\nX-Time-Left-Ms: 2000\r\nX-Account: tenant-" +
                                  std::to_string(static_cast<std::size_t>(i + kWarmUpRequests) % kTenants) +
                                  "\r\n\r\n";
      const auto sent = SteadyClock::now();
      asio::write(client, asio::buffer(request));
      const std::size_t bytesRead = client.read_some(asio::buffer(bytes));
      const double latency = std::chrono::duration<double, std::micro>(SteadyClock::now() - sent).count();
      const auto status = std::string_view(bytes, bytesRead).substr(9, 3);
      if (status != "200" && status != "503")
        throw std::runtime_error("request answered with status " + std::string(status));
      if (i < 0) continue;
      ++round.answered;
      round.rejected += status == "503";
      round.latencies.values.push_back(latency);
    }
    return round;
  }

  const Variant variant_;
  const Size size_;
  const Clock clock_;
  Host host_;
  Loop control_;
  std::unique_ptr<fake_upstream::ControlMachine> machine_;
};

void run(const Size& size, const std::string& out) {
  Table table(out);
  std::vector<std::vector<Round>> rounds(std::size(kVariants));
  // The variants take turns, so that other load on the machine affects all of them alike.
  for (int round = 0; round < size.rounds; ++round)
    for (const Variant variant : kVariants)
      rounds[static_cast<std::size_t>(variant)].push_back(MeasuredRound(variant, size).run());
  for (const Variant variant : kVariants) {
    for (const double fraction : {0.5, 0.99, 0.999, 0.9999}) {
      Samples samples;
      for (const Round& round : rounds[static_cast<std::size_t>(variant)])
        samples.values.push_back(round.latencies.quantile(fraction));
      table.add({nameOf(variant), 100 * fraction, "percentile of a request", "us", samples});
    }
    for (const Round& round : rounds[static_cast<std::size_t>(variant)])
      std::printf("  %zu of %d answered once, %zu rejected; revision %llu in force\n", round.answered,
                  size.requests, round.rejected, static_cast<unsigned long long>(round.revisionInForce));
  }
}

}  // namespace
}  // namespace finchstile::bench

int main(int argc, char** argv) try {
  const std::string option = argc > 1 ? argv[1] : "";
  const bool smallSize = argc == 2 && option == "--small";
  const bool writesFile = argc == 3 && option == "--out";
  if (argc != 1 && !smallSize && !writesFile)
    throw std::invalid_argument("usage: bench_configuration_changes [--small | --out FILE.tsv]");
  finchstile::bench::run(smallSize ? finchstile::bench::kSmall : finchstile::bench::kFull,
                         writesFile ? argv[2] : "");
  return 0;
} catch (const std::exception& error) {
  std::fprintf(stderr, "bench_configuration_changes: %s\n", error.what());
  return 2;
}
