// An HTTP host for benchmarks, which runs in the benchmark process on threads of its own.
#pragma once

#include <sys/socket.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <cstdlib>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "fake_upstream_config.hpp"
#include "net/config.hpp"

namespace finchstile::bench {

namespace asio = boost::asio;

// Responds to each request with status 200; the requests of a connection are handled one at a time.
class Host {
 public:
  Host() : acceptor_(io_, {asio::ip::address_v4::loopback(), 0}), acceptThread_([this] { run(); }) {}
  ~Host() {
    boost::system::error_code ignored;
    ::shutdown(acceptor_.native_handle(), SHUT_RDWR);
    acceptor_.close(ignored);
    acceptThread_.join();
    for (auto& thread : connectionThreads_) thread.join();
  }
  asio::ip::tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }

 private:
  static constexpr std::size_t kReadBytes = 8192;  // most bytes of one read
  static constexpr std::string_view kHeadEnd = "\r\n\r\n", kLengthHeader = "Content-Length: ";

  void run() {
    for (;;) {
      boost::system::error_code error;
      auto socket = std::make_shared<asio::ip::tcp::socket>(io_);
      acceptor_.accept(*socket, error);
      if (error) return;
      socket->set_option(asio::ip::tcp::no_delay(true), error);
      connectionThreads_.emplace_back([socket] {
        char bytes[kReadBytes];
        static constexpr char kResponse[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        boost::system::error_code ioError;
        std::string received;
        while (!ioError) {
          received.append(bytes, socket->read_some(asio::buffer(bytes), ioError));
          const std::size_t headEnd = received.find(kHeadEnd);
          if (ioError || headEnd == std::string::npos) continue;
          const std::size_t lengthAt = received.find(kLengthHeader);
          const std::size_t bodyBytes =
              lengthAt < headEnd
                  ? std::strtoul(received.c_str() + lengthAt + kLengthHeader.size(), nullptr, 10)
                  : 0;
          if (received.size() < headEnd + kHeadEnd.size() + bodyBytes) continue;
          received.clear();
          asio::write(*socket, asio::buffer(kResponse, sizeof kResponse - 1), ioError);
        }
      });
    }
  }
  asio::io_context io_;
  asio::ip::tcp::acceptor acceptor_;
  std::vector<std::thread> connectionThreads_;
  std::thread acceptThread_;
};

// A gateway configuration with `host` as its only host and `classJson` as its only class.
inline nlohmann::json configFor(const Host& host, const nlohmann::json& classJson) {
  using nlohmann::json;
  const auto address = host.endpoint().address().to_string() + ":" + std::to_string(host.endpoint().port());
  return {{"name", "b"},
          {"listen", "127.0.0.1:0"},
          {"discovery", "127.0.0.1:1"},
          {"seed", "1"},
          {"limits", {{"sockets", 256}}},
          {"settings", fake_upstream::settingsJson(json::array({classJson}), false, "east")},
          {"known",
           fake_upstream::listJson(1, true, json::array({fake_upstream::hostJson("s", address, "east")}))}};
}

// Reads a configuration for a benchmark of sequential requests. Connections are reused at once: such requests
// would otherwise wait for a connection that rests, which bench_connection_reuse measures by itself.
inline GatewayConfig readSequentialConfig(const nlohmann::json& configJson, const Clock& clock) {
  GatewayConfig config = readConfig(configJson.dump(), clock);
  config.options.minReuseDelay = {};
  return config;
}

}  // namespace finchstile::bench
