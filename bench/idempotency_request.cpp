// Latency that the store and its log add to a keyed request: the time from the first byte of a request to its
// answer, for sequential requests through a gateway on loopback.
//
//   cmake -B build-bench -DFINCHSTILE_BENCH=ON && cmake --build build-bench -j4 --target
//   bench_idempotency_request build-bench/bench_idempotency_request FOLDER   (empty or missing, on the disk
//   to be measured; emptied at the end)
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

struct Mode {
  const char* name;
  bool store;
  std::optional<SyncPolicy> log;
};

std::vector<double> serve(const Mode& mode, const std::string& path, int requests) {
  bench::Host host;
  asio::io_context io(1);
  const Clock clock;
  const json config = bench::configFor(host, fake_upstream::classJson({"put", "dedup", "zone"}));
  // Each object must outlive those declared after it.
  std::filesystem::remove_all(path);
  const TenantAndClassNames names{{}, {"put"}};
  std::unique_ptr<wal::LogDirectory> folder;
  std::unique_ptr<wal::Log> log;
  std::unique_ptr<wal::SyncThread> thread;
  std::unique_ptr<Journal> journal;
  std::unique_ptr<IdempotencyFilter> stage;
  Gateway gateway(io, clock, readConfig(config.dump(), clock));
  IdempotencySettings settings;
  if (mode.store)
    stage = std::make_unique<IdempotencyFilter>(clock, settings, 0, Seed{1, 2}, gateway.filterCallbacks());
  if (mode.log) {
    try {
      folder = wal::openLogDirectory(path);
    } catch (const wal::LogDirectoryError& error) {
      std::fprintf(stderr, "%s\n", error.what());
      std::exit(1);
    }
    log = std::make_unique<wal::Log>(*folder, settings.log.segments);
    thread = std::make_unique<wal::SyncThread>([&io](auto call) { asio::post(io, std::move(call)); });
    JournalSettings j;
    j.sync = *mode.log;
    j.retention = settings.limits.retention;
    journal = std::make_unique<Journal>(*log, j, names, TimeBase{}, *thread);
    stage->recover(*journal);
  }
  if (stage) gateway.attach(*stage);
  gateway.start();
  const auto at = gateway.endpoint();
  std::thread loop([&] { io.run(); });
  asio::io_context own;
  asio::ip::tcp::socket client(own);
  client.connect(at);
  client.set_option(asio::ip::tcp::no_delay(true));
  std::vector<double> took;
  char bytes[4096];
  for (int i = -500; i < requests; ++i) {  // negative: warm-up
    const std::string id = std::to_string(1'000'000 + i);
    std::string request = "POST /put/1 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: i";
    request += id;
    request += "\r\nX-Time-Left-Ms: 2000\r\nIdempotency-Key: 5c0f6e1a2b3d4c59a8b7c6d5e4f";
    request += id;
    request += "\r\nContent-Length: 4\r\n\r\nbody";
    const auto sent = SteadyClock::now();
    asio::write(client, asio::buffer(request));
    const std::size_t n = client.read_some(asio::buffer(bytes));
    // The decision module may reject requests while the host is slow; these are not part of the measurement.
    if (std::string_view(bytes, n).substr(9, 3) == "200" && i >= 0)
      took.push_back(std::chrono::duration<double, std::micro>(SteadyClock::now() - sent).count());
  }
  client.close();
  asio::post(io, [&] { io.stop(); });
  loop.join();
  thread.reset();
  if (took.size() < static_cast<std::size_t>(requests) / 2)
    std::fprintf(stderr, "only %zu of %d were answered\n", took.size(), requests), std::exit(1);
  std::sort(took.begin(), took.end());
  return took;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) return std::fputs("usage: bench_idempotency_request FOLDER\n", stderr), 2;
  const std::string path = std::string(argv[1]) + "/measured";
  std::filesystem::create_directories(argv[1]);
  const Mode modes[] = {{"no store", false, {}},
                        {"store", true, {}},
                        {"log, never", true, SyncPolicy::never},
                        {"log, interval", true, SyncPolicy::interval},
                        {"log, before_send", true, SyncPolicy::beforeSend}};
  constexpr int kRounds = 3, kRequests = 2000;
  std::vector<std::vector<std::vector<double>>> took(std::size(modes));
  // The variants take turns, so that other load on the machine affects all of them alike.
  for (int round = 0; round < kRounds; ++round)
    for (std::size_t m = 0; m < std::size(modes); ++m) took[m].push_back(serve(modes[m], path, kRequests));
  for (std::size_t m = 0; m < std::size(modes); ++m) {
    const auto of = [&](std::size_t permille) {
      std::vector<double> v;
      for (const auto& round : took[m]) v.push_back(round[round.size() * permille / 1000]);
      std::sort(v.begin(), v.end());
      return v;
    };
    const auto p50 = of(500), p99 = of(990);
    std::printf("%-17s p50 %.0f us (%.0f to %.0f), p99 %.0f us (%.0f to %.0f), %d rounds of %d\n",
                modes[m].name, p50[kRounds / 2], p50.front(), p50.back(), p99[kRounds / 2], p99.front(),
                p99.back(), kRounds, kRequests);
  }
  std::filesystem::remove_all(path);
}
