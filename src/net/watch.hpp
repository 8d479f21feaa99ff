// Calls over HTTP/1.1 that the other side may hold until there is something to tell, one after another on a
// connection that is kept. Whoever watches says when the next call goes out.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <string>

#include "net/clock.hpp"

namespace finchstile {

struct WatchResponse {
  unsigned status = 0;
  Duration retryAfter{};  // 0: it names none
  std::string body;
};

class WatchCallbacks {
 public:
  virtual ~WatchCallbacks() = default;
  virtual void onWatchResponse(WatchResponse&& answer) = 0;  // the next call may go out from within
  virtual void onWatchLost() = 0;                            // no answer will come; the connection is gone
};

class Watch {
 public:
  // `bodyMost`: bytes of an answer at the most; a longer one counts as lost.
  Watch(boost::asio::io_context& io, std::size_t bodyMost, WatchCallbacks& events);
  ~Watch();

  // How long an answer may take.
  struct Patience {
    Duration begin{};  // up to its first byte
    Duration pause{};  // between its pieces; 0: all of it within `begin`
    Duration all{};    // from its first byte to its last, where it may pause
  };
  // Sends a GET for `target` and waits for its answer. One call is out at a time.
  void call(const boost::asio::ip::tcp::endpoint& at, const std::string& target, const Patience& patience);
  void stop();  // ends the connection; nothing more is told of the call that is out

  std::uint64_t bytesSent() const { return bytesSent_; }
  std::uint64_t bytesReceived() const { return bytesReceived_; }

 private:
  struct Connection;
  void write(const std::shared_ptr<Connection>& connection);
  void read(const std::shared_ptr<Connection>& connection);
  void answered(const std::shared_ptr<Connection>& connection);
  void moved();
  void waitUntil(std::chrono::steady_clock::time_point deadline);
  void lost();

  boost::asio::io_context& io_;
  const std::size_t bodyMost_;
  WatchCallbacks& events_;
  boost::asio::steady_timer timer_;
  std::shared_ptr<Connection> connection_;  // null: none
  Patience patience_;
  std::chrono::steady_clock::time_point end_{};  // of the answer that comes in pieces; 0: it has not begun
  std::shared_ptr<bool> waiting_;  // for the call that is out; false behind it: for nothing any more
  std::uint64_t bytesSent_ = 0, bytesReceived_ = 0;
};

}  // namespace finchstile
