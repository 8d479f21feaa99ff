// What the rest of connections between a response and the next request costs: the time for which attempts
// wait for a connection, and the connections opened, at the request rate of one gateway before the hosts that
// it uses. Requests arrive at random (Poisson), on as many client connections as are needed.
// The variants run at the same time.
//   build-bench/bench_connection_reuse [SECONDS [WARM_UP_SECONDS]]
#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "fake_upstream_config.hpp"
#include "measure.hpp"
#include "net/gateway.hpp"

namespace finchstile::bench {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using std::chrono::milliseconds;
using SteadyClock = std::chrono::steady_clock;

constexpr int kDefaultSeconds = 60;
// Load before the measured time: attempts that wait lead to more connections.
constexpr int kDefaultWarmUpSeconds = 120;
constexpr unsigned kSeed = 20261204;
constexpr std::size_t kDescriptors = 1024;

struct Variant {
  const char* name;
  milliseconds reuseDelay, work;
  int hosts;
  double requestsPerSecond;
};
// The first two pairs have the rate and the hosts of docs/CAPACITY.md; the last one is a busy small pool.
constexpr Variant kVariants[] = {
    {"74 hosts, 2 ms of work, no rest", milliseconds(0), milliseconds(2), 74, 231},
    {"74 hosts, 2 ms of work", milliseconds(25), milliseconds(2), 74, 231},
    {"74 hosts, 60 ms of work, no rest", milliseconds(0), milliseconds(60), 74, 231},
    {"74 hosts, 60 ms of work", milliseconds(25), milliseconds(60), 74, 231},
    {"8 hosts, 2 ms of work, no rest", milliseconds(0), milliseconds(2), 8, 231},
    {"8 hosts, 2 ms of work", milliseconds(25), milliseconds(2), 8, 231},
};

// Hosts that respond to each request with status 200 after a fixed time.
class Hosts {
 public:
  Hosts(asio::io_context& io, int count, milliseconds work) : io_(io), work_(work) {
    for (int i = 0; i < count; ++i) {
      acceptors_.push_back(
          std::make_unique<tcp::acceptor>(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)));
      accept(*acceptors_.back());
    }
  }
  nlohmann::json list() const {
    nlohmann::json hosts = nlohmann::json::array();
    for (std::size_t i = 0; i < acceptors_.size(); ++i)
      hosts.push_back(fake_upstream::hostJson(
          fake_upstream::hostName(i), "127.0.0.1:" + std::to_string(acceptors_[i]->local_endpoint().port()),
          "east"));
    return hosts;
  }

 private:
  struct Connection {
    explicit Connection(tcp::socket s) : socket(std::move(s)), timer(socket.get_executor()) {}
    tcp::socket socket;
    asio::steady_timer timer;
    boost::beast::flat_buffer buffer;
    http::request<http::string_body> request;
  };

  void accept(tcp::acceptor& acceptor) {
    acceptor.async_accept([this, &acceptor](error_code error, tcp::socket socket) {
      if (error) return;
      socket.set_option(tcp::no_delay(true), error);
      serve(std::make_shared<Connection>(std::move(socket)));
      accept(acceptor);
    });
  }
  void serve(const std::shared_ptr<Connection>& connection) {
    connection->request = {};
    http::async_read(connection->socket, connection->buffer, connection->request,
                     [this, connection](error_code error, std::size_t) {
                       if (error) return;
                       connection->timer.expires_after(work_);
                       connection->timer.async_wait([this, connection](error_code) { respond(connection); });
                     });
  }
  void respond(const std::shared_ptr<Connection>& connection) {
    static constexpr char kResponse[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    error_code error;
    asio::write(connection->socket, asio::buffer(kResponse, sizeof kResponse - 1), error);
    if (!error) serve(connection);
  }

  asio::io_context& io_;
  const milliseconds work_;
  std::vector<std::unique_ptr<tcp::acceptor>> acceptors_;
};

// Records for how long attempts waited for a connection, once `measuring`.
class WaitLog : public AttemptLog {
 public:
  void onAttempt(const AttemptLogEntry& attempt) override {
    if (!measuring || attempt.firstByteAt == Time{}) return;
    waits.values.push_back(
        std::chrono::duration<double, std::milli>(attempt.firstByteAt - attempt.chosenAt).count());
    newConnections += attempt.connection.lastResponseAt == Time{};
  }
  void onRequest(const RequestLogEntry& request) override {
    if (measuring) (request.status == 200 ? served : notServed) += 1;
  }
  void onHostPhase(const std::string&, load_balancing::HostPhase) override {}

  bool measuring = false;
  Samples waits;  // milliseconds
  std::size_t newConnections = 0, served = 0, notServed = 0;
};

// Sends requests at random intervals, each on a free connection or on a new one.
class Clients {
 public:
  Clients(asio::io_context& io, const tcp::endpoint& gateway, double requestsPerSecond)
      : io_(io), gateway_(gateway), timer_(io), interval_(requestsPerSecond) {}
  void start() {
    next_ = SteadyClock::now();
    scheduleNext();
  }

 private:
  struct Connection {
    explicit Connection(asio::io_context& io) : socket(io) {}
    tcp::socket socket;
    boost::beast::flat_buffer buffer;
    http::response<http::string_body> response;
  };

  void scheduleNext() {
    next_ +=
        std::chrono::duration_cast<SteadyClock::duration>(std::chrono::duration<double>(interval_(random_)));
    timer_.expires_at(next_);
    timer_.async_wait([this](error_code cancelled) {
      if (cancelled) return;
      send();
      scheduleNext();
    });
  }
  void send() {
    std::shared_ptr<Connection> connection;
    if (free_.empty()) {
      connection = std::make_shared<Connection>(io_);
      connection->socket.connect(gateway_);
      connection->socket.set_option(tcp::no_delay(true));
    } else {
      connection = free_.back();
      free_.pop_back();
    }
    asio::write(connection->socket,
                asio::buffer("GET /get/1 HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: i" +
                             std::to_string(++requests_) + "\r\nX-Time-Left-Ms: 2000\r\n\r\n"));
    connection->response = {};
    http::async_read(connection->socket, connection->buffer, connection->response,
                     [this, connection](error_code error, std::size_t) {
                       if (!error && connection->response.keep_alive()) free_.push_back(connection);
                     });
  }

  asio::io_context& io_;
  const tcp::endpoint gateway_;
  asio::steady_timer timer_;
  std::exponential_distribution<double> interval_;
  std::mt19937 random_{kSeed};
  SteadyClock::time_point next_;
  std::vector<std::shared_ptr<Connection>> free_;
  std::uint64_t requests_ = 0;
};

void measure(const Variant& variant, std::chrono::seconds warmUp, std::chrono::seconds duration) {
  asio::io_context io(1);
  const Clock clock;
  Hosts hosts(io, variant.hosts, variant.work);
  const nlohmann::json json = {
      {"name", "b"},
      {"listen", "127.0.0.1:0"},
      {"discovery", "127.0.0.1:1"},
      {"seed", "1"},
      {"limits", {{"sockets", kDescriptors}}},
      {"settings",
       fake_upstream::settingsJson(
           nlohmann::json::array({fake_upstream::classJson({"get", "retryable", "all"})}), false, "east")},
      {"known", fake_upstream::listJson(1, true, hosts.list())}};
  GatewayConfig config = readConfig(json.dump(), clock);
  config.options.minReuseDelay = variant.reuseDelay;
  WaitLog log;
  Gateway gateway(io, clock, std::move(config));
  gateway.setAttemptLog(log);
  gateway.start();
  Clients clients(io, gateway.endpoint(), variant.requestsPerSecond);
  clients.start();
  io.run_for(warmUp);
  log.measuring = true;
  io.run_for(duration);
  log.measuring = false;
  const auto waited =
      std::count_if(log.waits.values.begin(), log.waits.values.end(), [](double wait) { return wait > 1; });
  std::printf(
      "%-34s %7zu served %4zu not; waits: p50 %6.3f p90 %6.3f p99 %6.3f p99.9 %6.3f ms, %5.2f%% over 1 ms; "
      "%zu connections opened\n",
      variant.name, log.served, log.notServed, log.waits.quantile(0.5), log.waits.quantile(0.9),
      log.waits.quantile(0.99), log.waits.quantile(0.999),
      100.0 * static_cast<double>(waited) / static_cast<double>(log.waits.values.size()), log.newConnections);
}

}  // namespace
}  // namespace finchstile::bench

int main(int argc, char** argv) {
  using namespace finchstile::bench;
  const int seconds = argc > 1 ? std::atoi(argv[1]) : kDefaultSeconds;
  const int warmUpSeconds = argc > 2 ? std::atoi(argv[2]) : kDefaultWarmUpSeconds;
  if (argc > 3 || seconds <= 0 || warmUpSeconds < 0)
    return std::fputs("usage: bench_connection_reuse [SECONDS [WARM_UP_SECONDS]]\n", stderr), 2;
  std::vector<std::thread> threads;
  for (const Variant& variant : kVariants)
    threads.emplace_back([&variant, seconds, warmUpSeconds] {
      measure(variant, std::chrono::seconds(warmUpSeconds), std::chrono::seconds(seconds));
    });
  for (std::thread& thread : threads) thread.join();
  return 0;
}
