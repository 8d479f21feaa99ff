// Raw TCP ends for tests of streams: what came, how it ended, and a server that keeps its connections.
#pragma once

#include <sys/socket.h>

#include <boost/asio.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace finchstile::testing {

struct TcpConnection : std::enable_shared_from_this<TcpConnection> {
  using tcp = boost::asio::ip::tcp;
  using error_code = boost::system::error_code;
  explicit TcpConnection(tcp::socket s) : socket(std::move(s)) {}

  static std::shared_ptr<TcpConnection> connect(boost::asio::io_context& io, const tcp::endpoint& to) {
    const auto w = std::make_shared<TcpConnection>(tcp::socket(io));
    error_code error;
    w->socket.connect(to, error);
    if (error) w->reset = true;
    else w->read();
    return w;
  }
  void read() {
    if (paused) return;
    socket.async_read_some(boost::asio::buffer(buffer_),
                           [this, self = shared_from_this()](error_code error, std::size_t n) {
                             if (error == boost::asio::error::eof) ended = true;
                             else if (error) reset = true;
                             if (error) return;
                             count += n;
                             if (keep) receivedBytes.append(buffer_, n);
                             if (const auto on = onBytes)
                               on(*this);  // a copy: it may put another in its place
                             read();
                           });
  }
  void resume() {
    paused = false;
    read();
  }
  // Written in order, whatever the other side does meanwhile.
  void write(std::string bytes) {
    out_.push_back(std::move(bytes));
    if (out_.size() == 1) writeOn();
  }
  void shutdownSend() {  // its FIN, behind what is still to be written
    finishing_ = true;
    if (out_.empty()) shut();
  }
  void abort() {
    error_code ignored;
    socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
  }
  void close() {
    error_code ignored;
    socket.close(ignored);
  }
  bool over() const { return ended || reset; }

  tcp::socket socket;
  std::string receivedBytes;
  std::uint64_t count = 0;
  bool keep = true, paused = false, ended = false, reset = false;
  std::function<void(TcpConnection&)> onBytes;

 private:
  void writeOn() {
    boost::asio::async_write(socket, boost::asio::buffer(out_.front()),
                             [this, self = shared_from_this()](error_code error, std::size_t) {
                               if (error) return;
                               out_.pop_front();
                               if (!out_.empty()) return writeOn();
                               if (finishing_) shut();
                             });
  }
  void shut() {
    error_code ignored;
    socket.shutdown(tcp::socket::shutdown_send, ignored);
  }
  std::deque<std::string> out_;
  bool finishing_ = false;
  char buffer_[16 * 1024];
};

// A worker that carries streams: each connection is kept, and `onConnection` says what is done with it.
class TcpServer {
 public:
  using tcp = boost::asio::ip::tcp;
  explicit TcpServer(boost::asio::io_context& io,
                     std::function<void(const std::shared_ptr<TcpConnection>&)> on = {},
                     const tcp::endpoint& at = {boost::asio::ip::address_v4::loopback(), 0})
      : onConnection(std::move(on)), acceptor_(io, at), endpoint_(acceptor_.local_endpoint()) {
    accept();
  }
  tcp::endpoint endpoint() const { return endpoint_; }
  void stop() { acceptor_.close(); }
  std::size_t open() const {
    std::size_t n = 0;
    for (const auto& w : connections) n += !w->over();
    return n;
  }
  std::vector<std::shared_ptr<TcpConnection>> connections;
  std::function<void(const std::shared_ptr<TcpConnection>&)> onConnection;

 private:
  void accept() {
    acceptor_.async_accept([this](boost::system::error_code error, tcp::socket s) {
      if (error) return;
      connections.push_back(std::make_shared<TcpConnection>(std::move(s)));
      if (onConnection) onConnection(connections.back());
      connections.back()->read();
      accept();
    });
  }
  tcp::acceptor acceptor_;
  tcp::endpoint endpoint_;
};

inline void echo(const std::shared_ptr<TcpConnection>& w) {
  w->onBytes = [](TcpConnection& wire) { wire.write(std::exchange(wire.receivedBytes, {})); };
}

// Bytes that tell their place, so that one lost, doubled or moved is seen.
inline std::string pattern(std::size_t n) {
  std::string out(n, '\0');
  for (std::size_t i = 0; i < n; ++i) out[i] = static_cast<char>((i * 2654435761u) >> 13);
  return out;
}

}  // namespace finchstile::testing
