// Client for long polls over HTTP/1.1: requests that the server may hold until there is a change, sent one
// after another on one connection.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <string>

#include "net/clock.hpp"

namespace finchstile {

/// The response to a long poll.
struct LongPollResponse {
  unsigned status = 0;
  /// 0 if the response has no Retry-After header or its value is not a number of seconds.
  Duration retryAfter{};
  std::string body;
};

/// Events of a LongPollClient. Each poll ends with one of them, unless it is stopped.
class LongPollCallbacks {
 public:
  virtual ~LongPollCallbacks() = default;
  /// A response has arrived. The next poll may be sent from within.
  virtual void onLongPollResponse(LongPollResponse&& response) = 0;
  /// The poll has failed and the connection is closed.
  virtual void onLongPollFailed() = 0;
};

/// Sends long polls on one connection, which it opens and reopens as necessary.
class LongPollClient {
 public:
  /// Time limits of a response.
  struct Timeouts {
    Duration firstByte{};  ///< Until the first byte.
    Duration pause{};      ///< Between pieces; if 0, the complete response must arrive within `firstByte`.
    Duration total{};      ///< From the first byte to the last, if `pause` is not 0.
  };

  /// A response with a body longer than `maxBodyBytes` fails the poll.
  LongPollClient(boost::asio::io_context& io, std::size_t maxBodyBytes, LongPollCallbacks& callbacks);
  ~LongPollClient();

  /// Sends a GET request for `target` and waits for the response. Only one poll may be open at a time.
  void sendPoll(const boost::asio::ip::tcp::endpoint& endpoint, const std::string& target,
                const Timeouts& timeouts);
  /// Closes the connection; no callback for the open poll follows.
  void stop();

  std::uint64_t bytesSent() const { return bytesSent_; }
  std::uint64_t bytesReceived() const { return bytesReceived_; }

 private:
  struct Connection;
  void write(const std::shared_ptr<Connection>& connection);
  void read(const std::shared_ptr<Connection>& connection);
  void retry(const std::shared_ptr<Connection>& connection);
  void onComplete(const std::shared_ptr<Connection>& connection);
  void onProgress();
  void failAt(std::chrono::steady_clock::time_point deadline);
  void fail();

  boost::asio::io_context& io_;
  const std::size_t maxBodyBytes_;
  LongPollCallbacks& callbacks_;
  boost::asio::steady_timer timer_;
  std::shared_ptr<Connection> connection_;  // null if there is none
  Timeouts timeouts_;
  // 0 until the first byte of the response arrives.
  std::chrono::steady_clock::time_point responseDeadline_{};
  // Shared with the handler of the present timer wait; false after that wait was superseded.
  std::shared_ptr<bool> timerArmed_;
  std::uint64_t bytesSent_ = 0;
  std::uint64_t bytesReceived_ = 0;
};

}  // namespace finchstile
