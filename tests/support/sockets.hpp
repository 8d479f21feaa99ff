// Scripted HTTP servers and clients for the gateway's tests, on loopback, with ports assigned by the system,
// all on the test's event loop. A server acts as a host or as discovery; its handler determines the answers.
#pragma once

#include <gtest/gtest.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "fake_upstream_config.hpp"
#include "net/gateway.hpp"
#include "support/run_until.hpp"

namespace finchstile::testing {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using nlohmann::json;

inline tcp::endpoint loopback() { return {asio::ip::make_address("127.0.0.1"), 0}; }
inline std::string text(const tcp::endpoint& e) {
  return e.address().to_string() + ":" + std::to_string(e.port());
}

// One accepted connection of a Server.
struct Peer : std::enable_shared_from_this<Peer> {
  explicit Peer(tcp::socket s) : socket(std::move(s)) {}
  tcp::socket socket;
  boost::beast::flat_buffer buffer;
  std::optional<http::request_parser<http::string_body>> parser;
  bool ended = false;  // closed by the other side, or a read failed

  void write(const std::string& bytes) { asio::write(socket, asio::buffer(bytes)); }
  void reply(int status, const std::string& body, const std::string& headers = "") {
    write("HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
          "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
  }
  void close() {
    error_code ignored;
    socket.close(ignored);
  }
};

using Received = http::request<http::string_body>;

// Accepts connections and passes each request to `handler`, which may answer at once, later or never.
class Server {
 public:
  using Handler = std::function<void(const std::shared_ptr<Peer>&, const Received&)>;

  Server(asio::io_context& io, Handler h) : handler(std::move(h)), acceptor_(io, loopback()) { accept(); }
  tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }
  void stop() { acceptor_.close(); }

  Handler handler;
  std::uint64_t maxBodyBytes = 1 << 20;
  std::vector<std::shared_ptr<Peer>> peers;  // all connections accepted so far
  std::vector<Received> received;            // all requests so far

 private:
  void accept() {
    acceptor_.async_accept([this](error_code error, tcp::socket s) {
      if (error) return;
      peers.push_back(std::make_shared<Peer>(std::move(s)));
      read(peers.back());
      accept();
    });
  }
  void read(const std::shared_ptr<Peer>& peer) {
    peer->parser.emplace();
    peer->parser->body_limit(maxBodyBytes);
    http::async_read(peer->socket, peer->buffer, *peer->parser, [this, peer](error_code error, std::size_t) {
      if (error) {
        peer->ended = true;
        return;
      }
      received.push_back(peer->parser->release());
      handler(peer, Received(received.back()));
      if (peer->socket.is_open()) read(peer);
    });
  }
  tcp::acceptor acceptor_;
};

// A client connection that sends requests or raw bytes and collects the answers. Its pending reads share
// ownership, so that a test may release it at any time.
class Client : public std::enable_shared_from_this<Client> {
 public:
  static std::shared_ptr<Client> connect(asio::io_context& io, const tcp::endpoint& to) {
    const auto c = std::make_shared<Client>(io);
    c->socket.connect(to);
    c->read();
    return c;
  }
  explicit Client(asio::io_context& io) : socket(io) {}
  void write(const std::string& bytes) { asio::write(socket, asio::buffer(bytes)); }
  void sendRequest(const std::string& method, const std::string& path, int leftMs,
                   const std::string& body = "", const std::string& headers = "") {
    static int requestCount = 0;
    id = "id-" + std::to_string(++requestCount);  // each request has an id of its own
    write(method + " " + path + " HTTP/1.1\r\nHost: api\r\nX-Correlation-Id: " + id +
          "\r\nX-Time-Left-Ms: " + std::to_string(leftMs) + "\r\n" + headers +
          (method == "POST" ? "Content-Length: " + std::to_string(body.size()) + "\r\n" : "") + "\r\n" +
          body);
  }
  void close() {
    error_code ignored;
    socket.close(ignored);
  }

  tcp::socket socket;
  std::string id;  // correlation id of the last request
  std::vector<http::response<http::string_body>> answers;
  bool ended = false;

 private:
  void read() {
    parser_.emplace();
    parser_->body_limit(64u << 20);
    http::async_read(socket, buffer_, *parser_,
                     [this, self = shared_from_this()](error_code error, std::size_t) {
                       if (error) {
                         ended = true;
                         return;
                       }
                       answers.push_back(parser_->release());
                       read();
                     });
  }
  boost::beast::flat_buffer buffer_;
  std::optional<http::response_parser<http::string_body>> parser_;
};

// Records the outcomes of attempts in the order of their ends.
struct OutcomeLog : AttemptLog {
  std::vector<load_balancing::Outcome> all;
  std::ptrdiff_t count(load_balancing::Outcome outcome) const {
    return std::count(all.begin(), all.end(), outcome);
  }
  void onAttempt(const AttemptLogEntry& a) override { all.push_back(a.outcome); }
  void onRequest(const RequestLogEntry&) override {}
  void onHostPhase(const std::string&, load_balancing::HostPhase) override {}
};

inline json settingsJson() {
  using fake_upstream::classJson;
  return fake_upstream::settingsJson(
      {classJson({"read", "retryable", "all", 12}), classJson({"book", "fragile", "all"}),
       classJson({"put", "dedup", "zone"})},
      false, "east");
}

inline json hostJson(const std::string& name, const tcp::endpoint& at, const std::string& status = "active",
                     std::int64_t sinceMs = 0) {
  return fake_upstream::hostJson(name, text(at), "east", status, sinceMs);
}

using fake_upstream::listJson;

inline json configJson(const tcp::endpoint& discovery, const json& hosts) {
  return {{"name", "n0"},
          {"listen", "127.0.0.1:0"},
          {"discovery", text(discovery)},
          {"seed", "92094eb940cf389a"},
          {"limits", {{"sockets", 256}}},
          {"known", listJson(1, true, hosts)},
          {"settings", settingsJson()}};
}

}  // namespace finchstile::testing
