// Long polls over HTTP/1.1: calls that the server may hold until it has something to report, one after
// another on one connection.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <string>

#include "net/clock.hpp"

namespace finchstile {

struct LongPollResponse {
  unsigned status = 0;
  Duration retryAfter{};  ///< 0: the response has no Retry-After, or one that is no number of seconds.
  std::string body;
};

class LongPollCallbacks {
 public:
  virtual ~LongPollCallbacks() = default;
  /// The next poll may be made from within.
  virtual void onLongPollResponse(LongPollResponse&& response) = 0;
  /// No response will come, and the connection is closed.
  virtual void onLongPollFailed() = 0;
};

class LongPollClient {
 public:
  /// How long a response may take.
  struct Timeouts {
    Duration firstByte{};  ///< Up to its first byte.
    Duration pause{};      ///< Between its pieces; 0: the complete response has to come within `firstByte`.
    Duration total{};      ///< From its first byte to its last, if `pause` is not 0.
  };

  /// A response whose body is longer than `maxBodyBytes` counts as failed.
  LongPollClient(boost::asio::io_context& io, std::size_t maxBodyBytes, LongPollCallbacks& callbacks);
  ~LongPollClient();

  /// Sends a GET for `target` and waits for its response. There is at most one poll at a time.
  void poll(const boost::asio::ip::tcp::endpoint& endpoint, const std::string& target,
            const Timeouts& timeouts);
  /// Closes the connection; no callback for the open poll follows.
  void stop();

  std::uint64_t bytesSent() const { return bytesSent_; }
  std::uint64_t bytesReceived() const { return bytesReceived_; }

 private:
  struct Connection;
  void write(const std::shared_ptr<Connection>& connection);
  void read(const std::shared_ptr<Connection>& connection);
  void onComplete(const std::shared_ptr<Connection>& connection);
  void onProgress();
  void failAt(std::chrono::steady_clock::time_point deadline);
  void fail();

  boost::asio::io_context& io_;
  const std::size_t maxBodyBytes_;
  LongPollCallbacks& callbacks_;
  boost::asio::steady_timer timer_;
  std::shared_ptr<Connection> connection_;  // null: none
  Timeouts timeouts_;
  std::chrono::steady_clock::time_point responseDeadline_{};  // 0: no byte of the response has come
  std::shared_ptr<bool> timerWanted_;  // shared with the handler of the timer's present wait
  std::uint64_t bytesSent_ = 0;
  std::uint64_t bytesReceived_ = 0;
};

}  // namespace finchstile
