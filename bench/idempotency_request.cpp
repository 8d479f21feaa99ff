// Latency that the store and its log add to a keyed request: the time from the first byte of a request to its
// answer, for sequential requests through a gateway on loopback.
//
//   cmake -B build-bench -DFINCHSTILE_BENCH=ON
//   cmake --build build-bench -j4 --target bench_idempotency_request
//   build-bench/bench_idempotency_request FOLDER
//
// FOLDER is created if it is missing; it must be on the disk to be measured. The log is removed from it at
// the end.
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "host.hpp"
#include "idempotency/filter.hpp"
#include "net/gateway.hpp"
#include "wal/sync_thread.hpp"

namespace {

using namespace finchstile;
using namespace finchstile::idempotency;
using nlohmann::json;
namespace asio = boost::asio;
using SteadyClock = std::chrono::steady_clock;

struct Variant {
  const char* name;
  bool storesKeys;
  std::optional<SyncPolicy> syncPolicy;  // empty: no log
};

constexpr int kWarmUpRequests = 500;  // sent before the measured ones

// Sends requests to a gateway of its own. Returns the latencies of the served ones, in microseconds and
// ascending order.
std::vector<double> sendRequests(const Variant& variant, const std::string& path, int requests) {
  bench::Host host;
  asio::io_context io(1);
  const Clock clock;
  const json config = bench::configFor(host, fake_upstream::classJson({"put", "dedup", "zone"}));
  // Each object must outlive those declared after it.
  std::filesystem::remove_all(path);
  const TenantAndClassNames names{{}, {"put"}};
  std::unique_ptr<wal::LogDirectory> directory;
  std::unique_ptr<wal::Log> log;
  std::unique_ptr<wal::SyncThread> thread;
  std::unique_ptr<Journal> journal;
  std::unique_ptr<IdempotencyFilter> filter;
  Gateway gateway(io, clock, bench::readSequentialConfig(config, clock));
  IdempotencySettings settings;
  if (variant.storesKeys)
    filter = std::make_unique<IdempotencyFilter>(clock, settings, 0, Seed{1, 2}, gateway.filterCallbacks());
  if (variant.syncPolicy) {
    try {
      directory = wal::openLogDirectory(path);
    } catch (const wal::LogDirectoryError& error) {
      std::fprintf(stderr, "%s\n", error.what());
      std::exit(1);
    }
    log = std::make_unique<wal::Log>(*directory, settings.log.segments);
    thread = std::make_unique<wal::SyncThread>([&io](auto call) { asio::post(io, std::move(call)); });
    JournalSettings journalSettings;
    journalSettings.sync = *variant.syncPolicy;
    journalSettings.retention = settings.limits.retention;
    journal = std::make_unique<Journal>(*log, journalSettings, names, TimeBase{}, *thread);
    filter->recover(*journal);
  }
  if (filter) gateway.attach(*filter);
  gateway.start();
  const auto endpoint = gateway.endpoint();
  std::thread loop([&] { io.run(); });
  asio::io_context clientIo;
  asio::ip::tcp::socket client(clientIo);
  client.connect(endpoint);
  client.set_option(asio::ip::tcp::no_delay(true));
  std::vector<double> latenciesUs;
  char bytes[4096];
  for (int i = -kWarmUpRequests; i < requests; ++i) {  // negative: warm-up
    const std::string id = std::to_string(1'000'000 + i);
    std::string request = "POST /put/1 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: i";
    request += id;
    request += "\r\nX-Time-Left-Ms: 2000\r\nIdempotency-Key: 5c0f6e1a2b3d4c59a8b7c6d5e4f";
    request += id;
    request += "\r\nContent-Length: 4\r\n\r\nbody";
    const auto sent = SteadyClock::now();
    asio::write(client, asio::buffer(request));
    const std::size_t bytesRead = client.read_some(asio::buffer(bytes));
    // The decision module may reject requests while the host is slow; these are not part of the measurement.
    if (std::string_view(bytes, bytesRead).substr(9, 3) == "200" && i >= 0)
      latenciesUs.push_back(std::chrono::duration<double, std::micro>(SteadyClock::now() - sent).count());
  }
  client.close();
  asio::post(io, [&] { io.stop(); });
  loop.join();
  thread.reset();
  if (latenciesUs.size() < static_cast<std::size_t>(requests) / 2)
    std::fprintf(stderr, "only %zu of %d requests were served\n", latenciesUs.size(), requests), std::exit(1);
  std::sort(latenciesUs.begin(), latenciesUs.end());
  return latenciesUs;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) return std::fputs("usage: bench_idempotency_request FOLDER\n", stderr), 2;
  const std::string path = std::string(argv[1]) + "/measured";
  std::filesystem::create_directories(argv[1]);
  const Variant variants[] = {{"no store", false, {}},
                              {"store", true, {}},
                              {"log, never", true, SyncPolicy::never},
                              {"log, interval", true, SyncPolicy::interval},
                              {"log, before_send", true, SyncPolicy::beforeSend}};
  constexpr int kRounds = 3, kRequests = 2000;
  std::vector<std::vector<std::vector<double>>> latencies(std::size(variants));  // by variant and round
  // The variants take turns, so that other load on the machine affects all of them alike.
  for (int round = 0; round < kRounds; ++round)
    for (std::size_t v = 0; v < std::size(variants); ++v)
      latencies[v].push_back(sendRequests(variants[v], path, kRequests));
  for (std::size_t v = 0; v < std::size(variants); ++v) {
    const auto percentiles = [&](std::size_t permille) {
      std::vector<double> perRound;
      for (const auto& round : latencies[v]) perRound.push_back(round[round.size() * permille / 1000]);
      std::sort(perRound.begin(), perRound.end());
      return perRound;
    };
    const auto p50 = percentiles(500), p99 = percentiles(990);
    std::printf("%-17s p50 %.0f us (%.0f to %.0f), p99 %.0f us (%.0f to %.0f), %d rounds of %d\n",
                variants[v].name, p50[kRounds / 2], p50.front(), p50.back(), p99[kRounds / 2], p99.front(),
                p99.back(), kRounds, kRequests);
  }
  std::filesystem::remove_all(path);
}
