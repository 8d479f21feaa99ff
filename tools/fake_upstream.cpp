// finchstile-fake-upstream: hosts that answer 200 and a discovery service that lists them, on loopback, for
// trying out the gateway and for benchmarks. Writes a configuration for the gateway with ports assigned by
// the system, prints "ready", and serves until SIGTERM, SIGINT or the end of --seconds. It does not model the
// behaviour of real hosts: a host answers immediately or after a fixed time. The exit code is 0, or 2 with a
// line on standard error if an option is invalid or the configuration cannot be written.
//
//   finchstile-fake-upstream --config FILE [--hosts N] [--work-ms N] [--seconds N] [--listen ADDRESS:PORT]
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "fake_upstream_config.hpp"

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using nlohmann::json;
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

constexpr std::chrono::seconds kWatchTime(2);  // for which discovery holds a poll without changes

struct Options {
  std::string configPath;
  std::string listen = "127.0.0.1:0";  // of the gateway; port 0: a free port is chosen
  int hosts = 2;
  int workMs = 0;
  int seconds = 600;
};

int readNumber(const char* name, const char* text, int min, int max) {
  char* end = nullptr;
  const long value = std::strtol(text, &end, 10);
  if (*text == 0 || *end != 0 || value < min || value > max)
    throw std::invalid_argument(std::string(name) + " must be from " + std::to_string(min) + " to " +
                                std::to_string(max));
  return static_cast<int>(value);
}

Options readOptions(int argc, char** argv) {
  Options options;
  for (int i = 1; i < argc; i += 2) {
    const std::string name = argv[i];
    if (i + 1 >= argc) throw std::invalid_argument(name + " needs a value");
    const char* const value = argv[i + 1];
    if (name == "--config") options.configPath = value;
    else if (name == "--listen") options.listen = value;
    else if (name == "--hosts") options.hosts = readNumber("--hosts", value, 1, 100);
    else if (name == "--work-ms") options.workMs = readNumber("--work-ms", value, 0, 10000);
    else if (name == "--seconds") options.seconds = readNumber("--seconds", value, 1, 86400);
    else throw std::invalid_argument("unknown option " + name);
  }
  if (options.configPath.empty())
    throw std::invalid_argument("--config is missing: it names the file to write the configuration to");
  return options;
}

std::string textOf(const tcp::endpoint& endpoint) {
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

using SendResponse = std::function<void(Response)>;
// Calls `send` once for each request, immediately or later.
using RequestHandler = std::function<void(const Request&, const SendResponse& send)>;

// One connection to a host or to discovery. It lives until the peer closes it; `handler` must outlive it.
class Session : public std::enable_shared_from_this<Session> {
 public:
  Session(tcp::socket socket, const RequestHandler& handler)
      : socket_(std::move(socket)), handler_(handler) {}

  void read() {
    request_ = {};
    http::async_read(socket_, buffer_, request_,
                     [this, self = shared_from_this()](error_code error, std::size_t) {
                       if (error) return;
                       handler_(request_, [this, self](Response response) { write(std::move(response)); });
                     });
  }

 private:
  void write(Response response) {
    response_ = std::move(response);
    response_.version(11);
    response_.keep_alive(true);
    response_.prepare_payload();
    http::async_write(socket_, response_, [this, self = shared_from_this()](error_code error, std::size_t) {
      if (!error) read();
    });
  }

  tcp::socket socket_;
  const RequestHandler& handler_;
  boost::beast::flat_buffer buffer_;
  Request request_;
  Response response_;
};

class Server {
 public:
  Server(asio::io_context& io, RequestHandler handler)
      : acceptor_(io, {asio::ip::address_v4::loopback(), 0}), handler_(std::move(handler)) {
    accept();
  }
  tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }

 private:
  void accept() {
    acceptor_.async_accept([this](error_code error, tcp::socket socket) {
      if (error) return;
      error_code ignored;
      socket.set_option(tcp::no_delay(true), ignored);
      std::make_shared<Session>(std::move(socket), handler_)->read();
      accept();
    });
  }

  tcp::acceptor acceptor_;
  const RequestHandler handler_;
};

// Replaces port 0 by a port that is free now. The gateway is started later and does not report a port that
// the system assigned to it.
std::string chooseListenAddress(asio::io_context& io, const std::string& listen) {
  if (listen.size() < 2 || listen.compare(listen.size() - 2, 2, ":0") != 0) return listen;
  const auto address = asio::ip::make_address(listen.substr(0, listen.size() - 2));
  return textOf(tcp::acceptor(io, {address, 0}).local_endpoint());
}

json gatewayConfiguration(const std::string& listen, const tcp::endpoint& discovery,
                          const json& endpointList) {
  using finchstile::fake_upstream::classJson;
  constexpr std::int64_t kLatencyObjectiveNs = 400000000;
  constexpr std::int64_t kClientTimeoutNs = 2000000000;
  const json classes = {
      classJson({"cut-plan", "retryable", "all", 12, kLatencyObjectiveNs, kClientTimeoutNs}),
      classJson({"stock-out", "fragile", "all", 1, kLatencyObjectiveNs, kClientTimeoutNs}),
      classJson({"log-in", "dedup", "zone", 1, kLatencyObjectiveNs, kClientTimeoutNs})};
  return {{"name", "standin"},
          {"listen", listen},
          {"discovery", textOf(discovery)},
          {"seed", "1"},
          {"limits", {{"sockets", 1024}}},
          {"known", endpointList},
          {"settings", finchstile::fake_upstream::settingsJson(classes, true, "brasov")}};
}

void sendAfter(asio::io_context& io, std::chrono::nanoseconds delay, const SendResponse& send,
               const Response& response) {
  const auto timer = std::make_shared<asio::steady_timer>(io, delay);
  timer->async_wait([timer, send, response](error_code) { send(response); });
}

RequestHandler hostHandler(asio::io_context& io, std::chrono::milliseconds work) {
  return [&io, work](const Request& request, const SendResponse& send) {
    const bool hasId = !request["X-Correlation-Id"].empty();
    Response response{hasId ? http::status::ok : http::status::not_found, 11};
    response.set(http::field::content_type, "text/plain");
    response.body() = "served " + std::string(request.target()) + "\n";
    if (work.count() == 0) send(std::move(response));
    else sendAfter(io, work, send, response);
  };
}

RequestHandler discoveryHandler(asio::io_context& io, const std::string& endpointList) {
  return [&io, endpointList](const Request& request, const SendResponse& send) {
    Response response{http::status::ok, 11};
    if (request.target().find("since=") == boost::beast::string_view::npos) {
      response.body() = endpointList;
      return send(std::move(response));
    }
    response.body() = R"({"index":1,"snapshot":false,"endpoints":[]})";
    sendAfter(io, kWatchTime, send, response);
  };
}

void serve(const Options& options) {
  asio::io_context io(1);
  std::vector<std::unique_ptr<Server>> hosts;
  json endpoints = json::array();
  for (int i = 0; i < options.hosts; ++i) {
    hosts.push_back(std::make_unique<Server>(io, hostHandler(io, std::chrono::milliseconds(options.workMs))));
    endpoints.push_back(finchstile::fake_upstream::hostJson("s-" + std::to_string(i),
                                                            textOf(hosts.back()->endpoint()), "brasov"));
  }
  const json list = finchstile::fake_upstream::listJson(1, true, endpoints);
  const Server discovery(io, discoveryHandler(io, list.dump()));
  std::ofstream file(options.configPath, std::ios::trunc);
  file << gatewayConfiguration(chooseListenAddress(io, options.listen), discovery.endpoint(), list).dump(1)
       << "\n";
  file.close();
  if (!file) throw std::runtime_error("cannot write " + options.configPath);
  std::printf("ready\n");
  std::fflush(stdout);
  asio::steady_timer end(io, std::chrono::seconds(options.seconds));
  end.async_wait([&](error_code) { io.stop(); });
  asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&](error_code, int) { io.stop(); });
  io.run();
}

}  // namespace

int main(int argc, char** argv) try {
  serve(readOptions(argc, argv));
  return 0;
} catch (const std::exception& error) {
  std::fprintf(stderr, "finchstile-fake-upstream: %s\n", error.what());
  return 2;
}
