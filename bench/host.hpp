// A fake host for benchmarks, on separate threads.
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
#include <thread>
#include <vector>

#include "fake_upstream_config.hpp"

namespace finchstile::bench {

namespace asio = boost::asio;

// Answers each request with 200; requests of one connection are answered one at a time.
class Host {
 public:
  Host() : acceptor_(io_, {asio::ip::address_v4::loopback(), 0}), thread_([this] { run(); }) {}
  ~Host() {
    boost::system::error_code ignored;
    ::shutdown(acceptor_.native_handle(), SHUT_RDWR);
    acceptor_.close(ignored);
    thread_.join();
    for (auto& t : served_) t.join();
  }
  asio::ip::tcp::endpoint at() const { return acceptor_.local_endpoint(); }

 private:
  void run() {
    for (;;) {
      boost::system::error_code error;
      auto socket = std::make_shared<asio::ip::tcp::socket>(io_);
      acceptor_.accept(*socket, error);
      if (error) return;
      socket->set_option(asio::ip::tcp::no_delay(true), error);
      served_.emplace_back([socket] {
        char bytes[8192];
        static constexpr char kAnswer[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        boost::system::error_code bad;
        std::string have;
        while (!bad) {
          have.append(bytes, socket->read_some(asio::buffer(bytes), bad));
          const std::size_t head = have.find("\r\n\r\n");
          if (bad || head == std::string::npos) continue;
          const std::size_t said = have.find("Content-Length: ");
          const std::size_t body = said < head ? std::strtoul(have.c_str() + said + 16, nullptr, 10) : 0;
          if (have.size() < head + 4 + body) continue;
          have.clear();
          asio::write(*socket, asio::buffer(kAnswer, sizeof kAnswer - 1), bad);
        }
      });
    }
  }
  asio::io_context io_;
  asio::ip::tcp::acceptor acceptor_;
  std::vector<std::thread> served_;
  std::thread thread_;
};

// A gateway configuration with `host` as its only host, and one class.
inline nlohmann::json configFor(const Host& host, const nlohmann::json& grade) {
  using nlohmann::json;
  const auto at = host.at().address().to_string() + ":" + std::to_string(host.at().port());
  return {
      {"name", "b"},
      {"listen", "127.0.0.1:0"},
      {"discovery", "127.0.0.1:1"},
      {"seed", "1"},
      {"limits", {{"sockets", 256}}},
      {"settings", fake_upstream::settingsJson(json::array({grade}), false, "east")},
      {"known", fake_upstream::listJson(1, true, json::array({fake_upstream::hostJson("s", at, "east")}))}};
}

}  // namespace finchstile::bench
