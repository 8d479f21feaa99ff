// Clients and a host that exchange raw bytes with the gateway at the pace of the test.
#pragma once

#include <cstdint>
#include <cstdio>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "support/gateway_fixture.hpp"

namespace finchstile::testing {

// Returns pseudo-random bytes, so that lost, repeated and moved pieces are detected.
inline std::string pseudoRandomBytes(std::size_t size) {
  std::string result(size, '\0');
  std::uint32_t state = 12345;
  for (char& c : result) c = static_cast<char>((state = state * 1664525 + 1013904223) >> 24);
  return result;
}

// A client that sends and reads raw bytes at the pace of the test. Its small receive buffer lets backpressure
// set in early.
struct RawClient : std::enable_shared_from_this<RawClient> {
  explicit RawClient(asio::io_context& io) : socket(io) {}
  static std::shared_ptr<RawClient> connect(asio::io_context& io, const tcp::endpoint& to) {
    const auto c = std::make_shared<RawClient>(io);
    c->socket.open(tcp::v4());
    c->socket.set_option(asio::socket_base::receive_buffer_size(16 * 1024));
    c->socket.connect(to);
    return c;
  }
  void read(std::size_t maxBytes = SIZE_MAX) {
    if (receivedBytes.size() >= maxBytes) return;
    socket.async_read_some(asio::buffer(readBuffer),
                           [self = shared_from_this(), maxBytes](error_code error, std::size_t n) {
                             self->receivedBytes.append(self->readBuffer, n);
                             if (error) self->ended = true;
                             else self->read(maxBytes);
                           });
  }
  // Queues `bytes` without blocking.
  void send(const std::string& bytes) {
    unsent += bytes;
    if (!std::exchange(writing, true)) writeNext();
  }
  void writeNext() {
    socket.async_write_some(asio::buffer(unsent),
                            [self = shared_from_this()](error_code error, std::size_t n) {
                              self->unsent.erase(0, n);
                              self->writing = !error && !self->unsent.empty();
                              if (self->writing) self->writeNext();
                            });
  }
  tcp::socket socket;
  char readBuffer[4096];
  std::string receivedBytes, unsent;
  bool ended = false, writing = false;
};

inline std::string head(const std::string& method, const std::string& path, const std::string& headers,
                        int timeLeftMs = 2900) {
  static int requestCount = 0;
  return method + " " + path + " HTTP/1.1\r\nHost: api\r\nX-Correlation-Id: b-" +
         std::to_string(++requestCount) + "\r\nX-Time-Left-Ms: " + std::to_string(timeLeftMs) + "\r\n" +
         headers + "\r\n";
}

struct BodiesTest : GatewayTest {
  // A host that accepts raw connections and collects what it receives, unless `reading` is false. The test
  // writes its answers to `sockets`.
  struct RawHost {
    RawHost(asio::io_context& io) : acceptor(io, loopback()) { accept(); }
    void accept() {
      acceptor.async_accept([this](error_code error, tcp::socket s) {
        if (error) return;
        sockets.push_back(std::make_shared<tcp::socket>(std::move(s)));
        if (reading) read(sockets.back());
        accept();
      });
    }
    void read(const std::shared_ptr<tcp::socket>& s) {
      s->async_read_some(asio::buffer(readBuffer), [this, s](error_code error, std::size_t n) {
        requestBytes.append(readBuffer, n);
        if (error) ended = true;
        else read(s);
      });
    }
    tcp::acceptor acceptor;
    std::vector<std::shared_ptr<tcp::socket>> sockets;
    char readBuffer[16 * 1024];
    std::string requestBytes;
    bool reading = true, ended = false;
  };
  std::unique_ptr<RawHost> rawHost;
  void startWithRawHost(const std::function<void(json&)>& change = [](json&) {}) {
    if (!rawHost) rawHost = std::make_unique<RawHost>(io);
    start([&](json& c) {
      change(c);
      c["known"]["endpoints"] = json::array({hostJson("s-0", rawHost->acceptor.local_endpoint())});
    });
  }
  std::shared_ptr<RawClient> rawClient() { return RawClient::connect(io, gateway->endpoint()); }
  std::string bodyOf(const std::string& message) { return message.substr(message.find("\r\n\r\n") + 4); }
};

}  // namespace finchstile::testing
