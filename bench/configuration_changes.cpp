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
constexpr int kWarmUp = 500;
constexpr std::chrono::milliseconds kBetweenChanges(4);

// Sizes of a run; the small sizes are for a test of this program.
struct Size {
  int rounds = 3, requests = 20000, changes = 1000;
};
constexpr Size kFull{}, kSmall{1, 1000, 50};

enum class Mode { direct, none, quiet, changes };
constexpr Mode kModes[] = {Mode::direct, Mode::none, Mode::quiet, Mode::changes};

const char* nameOf(Mode mode) {
  switch (mode) {
    case Mode::direct: return "no gateway";
    case Mode::none: return "no configuration client";
    case Mode::quiet: return "client, no changes";
    case Mode::changes: return "client, changes";
  }
  return "";
}

DocumentChange tenant(std::size_t i, double quota) {
  const std::string name = "tenant-" + std::to_string(i);
  return {"tenant/" + name, TenantDocument{name, quota}};
}

// An event loop on a separate thread.
class Loop {
 public:
  Loop() : work_(asio::make_work_guard(io)), thread_([this] { io.run(); }) {}
  ~Loop() {
    io.stop();
    thread_.join();
  }
  asio::io_context io{1};

 private:
  asio::executor_work_guard<asio::io_context::executor_type> work_;
  std::thread thread_;
};

struct Round {
  Samples took;  // microseconds
  std::size_t answered = 0, refused = 0;
  std::uint64_t takenRevisions = 0;
};

class Play {
 public:
  Play(Mode mode, const Size& size) : mode_(mode), size_(size) {
    std::vector<DocumentChange> all;
    for (std::size_t i = 0; i < kTenants; ++i) all.push_back(tenant(i, 1e6));
    machine_ =
        std::make_unique<fake_upstream::ControlMachine>(control_.io, fake_upstream::ControlLog::Settings{});
    machine_->log.publish(all);
  }

  Round run() {
    if (mode_ == Mode::direct) return ask(host_.at());
    const nlohmann::json config = configFor(host_, fake_upstream::classJson({"get", "retryable", "all"}));
    GatewayConfig read = readConfig(config.dump(), clock_);
    const load_balancing::Settings start = read.settings;
    asio::io_context io(1);
    asio::thread_pool worker(1);
    Gateway gateway(io, clock_, std::move(read));
    std::unique_ptr<configuration::Client> client;
    std::atomic<std::uint64_t> inForce{0};
    if (mode_ != Mode::none) {
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
    const auto at = gateway.endpoint();
    std::thread loop([&] { io.run(); });
    while (client && inForce == 0) std::this_thread::sleep_for(std::chrono::milliseconds(10));
    std::thread changer([&] { publishAll(); });
    Round round = ask(at);
    changer.join();
    while (mode_ == Mode::changes && inForce < 1 + static_cast<std::uint64_t>(size_.changes))
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    round.takenRevisions = inForce;
    asio::post(io, [&] { io.stop(); });
    loop.join();
    client.reset();
    worker.join();
    return round;
  }

 private:
  void publishAll() {
    for (int i = 0; mode_ == Mode::changes && i < size_.changes; ++i) {
      asio::post(control_.io, [this, i] {
        machine_->publish({tenant(static_cast<std::size_t>(i * 7919) % kTenants, 1e6 + i)});
      });
      std::this_thread::sleep_for(kBetweenChanges);
    }
  }
  Round ask(const asio::ip::tcp::endpoint& at) const {
    asio::io_context io;
    asio::ip::tcp::socket client(io);
    client.connect(at);
    client.set_option(asio::ip::tcp::no_delay(true));
    Round round;
    char bytes[4096];
    for (int i = -kWarmUp; i < size_.requests; ++i) {
      const std::string id = std::to_string(1'000'000 + i);
      const std::string request = "GET /get/1 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: i" + id +
                                  "\r\nX-Time-Left-Ms: 2000\r\nX-Account: tenant-" +
                                  std::to_string(static_cast<std::size_t>(i + kWarmUp) % kTenants) +
                                  "\r\n\r\n";
      const auto sent = SteadyClock::now();
      asio::write(client, asio::buffer(request));
      const std::size_t n = client.read_some(asio::buffer(bytes));
      const double took = std::chrono::duration<double, std::micro>(SteadyClock::now() - sent).count();
      const auto status = std::string_view(bytes, n).substr(9, 3);
      if (status != "200" && status != "503") throw std::runtime_error("answered " + std::string(status));
      if (i < 0) continue;
      ++round.answered;
      round.refused += status == "503";
      round.took.values.push_back(took);
    }
    return round;
  }

  const Mode mode_;
  const Size size_;
  const Clock clock_;
  Host host_;
  Loop control_;
  std::unique_ptr<fake_upstream::ControlMachine> machine_;
};

void run(const Size& size, const std::string& out) {
  Table table(out);
  std::vector<std::vector<Round>> rounds(std::size(kModes));
  // The variants take turns, so that other load on the machine affects all of them alike.
  for (int round = 0; round < size.rounds; ++round)
    for (const Mode mode : kModes) rounds[static_cast<std::size_t>(mode)].push_back(Play(mode, size).run());
  for (const Mode mode : kModes) {
    for (const double at : {0.5, 0.99, 0.999, 0.9999}) {
      Samples samples;
      for (const Round& round : rounds[static_cast<std::size_t>(mode)])
        samples.values.push_back(round.took.quantile(at));
      table.add({nameOf(mode), 100 * at, "percentile of a request", "us", samples});
    }
    for (const Round& round : rounds[static_cast<std::size_t>(mode)])
      std::printf("  %zu of %d answered once, %zu refused; revision %llu in force\n", round.answered,
                  size.requests, round.refused, static_cast<unsigned long long>(round.takenRevisions));
  }
}

}  // namespace
}  // namespace finchstile::bench

int main(int argc, char** argv) try {
  const std::string option = argc > 1 ? argv[1] : "";
  const bool small = argc == 2 && option == "--small";
  const bool out = argc == 3 && option == "--out";
  if (argc != 1 && !small && !out)
    throw std::invalid_argument("usage: bench_configuration_changes [--small | --out FILE.tsv]");
  finchstile::bench::run(small ? finchstile::bench::kSmall : finchstile::bench::kFull, out ? argv[2] : "");
  return 0;
} catch (const std::exception& bad) {
  std::fprintf(stderr, "bench_configuration_changes: %s\n", bad.what());
  return 2;
}
