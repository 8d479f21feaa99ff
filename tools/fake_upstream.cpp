// Stand-ins on loopback for trying the gateway and for measurements: hosts that answer 200, and a discovery
// that names them. Writes a configuration for the gateway with ports that the system gave out, and serves
// until it is ended or its time is up. No model of a server: a host answers at once, or after a fixed time.
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

struct Options {
  std::string config, listen = "127.0.0.1:0";
  int hosts = 2, workMs = 0, seconds = 600;
};

int number(const char* name, const char* text, int least, int most) {
  char* end = nullptr;
  const long n = std::strtol(text, &end, 10);
  if (*text == 0 || *end != 0 || n < least || n > most)
    throw std::invalid_argument(std::string(name) + " must be from " + std::to_string(least) + " to " +
                                std::to_string(most));
  return static_cast<int>(n);
}

Options read(int argc, char** argv) {
  Options o;
  for (int i = 1; i < argc; i += 2) {
    const std::string name = argv[i];
    if (i + 1 >= argc) throw std::invalid_argument(name + " wants a value");
    if (name == "--config") o.config = argv[i + 1];
    else if (name == "--listen") o.listen = argv[i + 1];
    else if (name == "--hosts") o.hosts = number("--hosts", argv[i + 1], 1, 100);
    else if (name == "--work-ms") o.workMs = number("--work-ms", argv[i + 1], 0, 10000);
    else if (name == "--seconds") o.seconds = number("--seconds", argv[i + 1], 1, 86400);
    else throw std::invalid_argument("unknown option " + name);
  }
  if (o.config.empty()) throw std::invalid_argument("--config is missing: where to write the configuration");
  return o;
}

std::string text(const tcp::endpoint& at) {
  return at.address().to_string() + ":" + std::to_string(at.port());
}

// One connection to a host or to discovery.
class Session : public std::enable_shared_from_this<Session> {
 public:
  using Reply = std::function<void(const Request&, const std::function<void(Response)>&)>;
  Session(tcp::socket socket, const Reply& reply) : socket_(std::move(socket)), reply_(reply) {}

  void read() {
    request_ = {};
    http::async_read(socket_, buffer_, request_,
                     [this, self = shared_from_this()](error_code error, std::size_t) {
                       if (!error) reply_(request_, [this, self](Response r) { write(std::move(r)); });
                     });
  }

 private:
  void write(Response r) {
    response_ = std::move(r);
    response_.version(11);
    response_.keep_alive(true);
    response_.prepare_payload();
    http::async_write(socket_, response_, [this, self = shared_from_this()](error_code error, std::size_t) {
      if (!error) read();
    });
  }

  tcp::socket socket_;
  const Reply& reply_;
  boost::beast::flat_buffer buffer_;
  Request request_;
  Response response_;
};

class Server {
 public:
  Server(asio::io_context& io, Session::Reply reply)
      : acceptor_(io, {asio::ip::address_v4::loopback(), 0}), reply_(std::move(reply)) {
    accept();
  }
  tcp::endpoint at() const { return acceptor_.local_endpoint(); }

 private:
  void accept() {
    acceptor_.async_accept([this](error_code error, tcp::socket socket) {
      if (error) return;
      error_code ignored;
      socket.set_option(tcp::no_delay(true), ignored);
      std::make_shared<Session>(std::move(socket), reply_)->read();
      accept();
    });
  }
  tcp::acceptor acceptor_;
  Session::Reply reply_;
};

// A port that is free now, for a gateway that is started next: it has no way to tell which one it was given.
std::string freePort(asio::io_context& io, const std::string& listen) {
  if (listen.size() < 2 || listen.compare(listen.size() - 2, 2, ":0") != 0) return listen;
  const auto address = asio::ip::make_address(listen.substr(0, listen.size() - 2));
  return text(tcp::acceptor(io, {address, 0}).local_endpoint());
}

json configuration(const std::string& listen, const tcp::endpoint& discovery, const json& list) {
  using finchstile::fake_upstream::gradeJson;
  constexpr std::int64_t kAim = 400000000, kGiveUp = 2000000000;
  return {{"name", "standin"},
          {"listen", listen},
          {"discovery", text(discovery)},
          {"seed", "1"},
          {"limits", {{"sockets", 1024}}},
          {"known", list},
          {"settings", finchstile::fake_upstream::settingsJson(
                           {gradeJson({"cut-plan", "retryable", "all", 12, kAim, kGiveUp}),
                            gradeJson({"stock-out", "fragile", "all", 1, kAim, kGiveUp}),
                            gradeJson({"log-in", "dedup", "zone", 1, kAim, kGiveUp})},
                           true, "brasov")}};
}

void serve(const Options& o) {
  asio::io_context io(1);
  const Session::Reply host = [&](const Request& q, const std::function<void(Response)>& done) {
    Response r{q["X-Correlation-Id"].empty() ? http::status::not_found : http::status::ok, 11};
    r.set(http::field::content_type, "text/plain");
    r.body() = "served " + std::string(q.target()) + "\n";
    if (o.workMs == 0) return done(std::move(r));
    const auto timer = std::make_shared<asio::steady_timer>(io, std::chrono::milliseconds(o.workMs));
    timer->async_wait([timer, done, r](error_code) { done(r); });
  };
  std::vector<std::unique_ptr<Server>> hosts;
  json endpoints = json::array();
  for (int i = 0; i < o.hosts; ++i) {
    hosts.push_back(std::make_unique<Server>(io, host));
    endpoints.push_back(
        finchstile::fake_upstream::hostJson("s-" + std::to_string(i), text(hosts.back()->at()), "brasov"));
  }
  const json list = finchstile::fake_upstream::listJson(1, true, endpoints);
  Server discovery(io, [&](const Request& q, const std::function<void(Response)>& done) {
    Response r{http::status::ok, 11};
    if (q.target().find("since=") == boost::beast::string_view::npos) {
      r.body() = list.dump();
      return done(std::move(r));
    }
    r.body() = R"({"index":1,"snapshot":false,"endpoints":[]})";  // a watch that has no news
    const auto timer = std::make_shared<asio::steady_timer>(io, std::chrono::seconds(2));
    timer->async_wait([timer, done, r](error_code) { done(r); });
  });
  std::ofstream file(o.config, std::ios::trunc);
  file << configuration(freePort(io, o.listen), discovery.at(), list).dump(1) << "\n";
  file.close();
  if (!file) throw std::runtime_error("cannot write " + o.config);
  std::printf("ready\n");
  std::fflush(stdout);
  asio::steady_timer end(io, std::chrono::seconds(o.seconds));
  end.async_wait([&](error_code) { io.stop(); });
  asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&](error_code, int) { io.stop(); });
  io.run();
}

}  // namespace

int main(int argc, char** argv) try {
  serve(read(argc, argv));
  return 0;
} catch (const std::exception& bad) {
  std::fprintf(stderr, "finchstile-fake-upstream: %s\n", bad.what());
  return 2;
}
