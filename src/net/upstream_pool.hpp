// Connections to the hosts: opened, reused, limited in number, and assigned to attempts.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "finchstile/load_balancer.hpp"
#include "net/clock.hpp"
#include "net/upstream_messages.hpp"

namespace finchstile {

using boost::asio::ip::tcp;

class UpstreamConnection;

/// What happens to attempts.
class UpstreamCallbacks {
 public:
  virtual ~UpstreamCallbacks() = default;
  /// Called right before the first byte is written. None: nothing is sent, and the attempt ends with
  /// `unsent`, which the callee may set; as it stands, the attempt found no connection.
  virtual std::optional<OutgoingRequest> composeRequest(AttemptId attempt,
                                                        load_balancing::Outcome& unsent) = 0;
  /// Whether the last byte may still be sent after the connection was verified.
  virtual bool maySendLastByte(AttemptId attempt) = 0;
  /// All that there was of an incomplete request has been written; `sendBody` has the next piece.
  virtual void onReadyForRequestBody(AttemptId attempt) = 0;
  /// The head of the final response is here: whatever becomes of the rest, the host has done its work.
  virtual void onResponseHeaders(AttemptId attempt) = 0;
  /// Called once for each attempt, unless it was given up or its response has begun. May be called from
  /// within `sendBody`, if a last piece leaves nothing to be written, but from no other call of UpstreamPool.
  virtual void onOutcome(AttemptId attempt, load_balancing::Outcome outcome, UpstreamResponse&& response) = 0;
  /// A served response that is too long to be buffered, with its body as far as it has come. Each further
  /// piece waits for `resumeReading`; the last one, or the truncation, ends the attempt.
  virtual void onResponseBegun(AttemptId attempt, UpstreamResponse&& response,
                               std::optional<std::uint64_t> length) = 0;
  virtual void onResponseBody(AttemptId attempt, std::string&& piece, bool last) = 0;
  virtual void onResponseTruncated(AttemptId attempt) = 0;
  /// The host has answered 101. The connection leaves the pool, with the bytes that came behind the head.
  /// This ends the attempt.
  virtual void onUpgraded(AttemptId attempt, tcp::socket&& socket, std::string&& early,
                          const boost::beast::http::fields& head) = 0;
};

class UpstreamPool {
 public:
  struct Limits {
    Duration connectTimeout{};
    Duration maxResponsePause{};  ///< Between the bytes of a response that has begun.
    Duration maxIdleTime{};       ///< Idle connections are closed after this.
    std::size_t maxConnectingPerHost = 4;
    std::size_t maxConnections = 256;  ///< In all.
    /// A last byte that waits for the verification of its connection waits at least so long.
    Duration minVerificationTime = std::chrono::milliseconds(1);
  };

  UpstreamPool(boost::asio::io_context& io, const Clock& clock, Limits limits, UpstreamCallbacks& callbacks);
  ~UpstreamPool();

  /// Sends the attempt as soon as there is a connection. With `verifyConnection` the last byte waits until
  /// the connection has outlived the bytes before by a round trip.
  void send(AttemptId attempt, load_balancing::HostId host, const tcp::endpoint& endpoint,
            bool verifyConnection = false);
  /// Closes the attempt's connection; no callback for it follows. Returns true if its last byte may have been
  /// sent, so that it may have run.
  bool abandonAttempt(AttemptId attempt);
  void sendBody(AttemptId attempt, std::string&& piece, bool last);
  void resumeReading(AttemptId attempt);
  /// Connections to a host that is not open are closed instead of kept.
  void setOpen(load_balancing::HostId host, bool open);
  /// Drops the host's record. False: an attempt or a connection still needs it.
  bool forget(load_balancing::HostId host);
  void setConnectionOptions(std::size_t maxConnectingPerHost, Duration minVerificationTime) {
    limits_.maxConnectingPerHost = maxConnectingPerHost;
    limits_.minVerificationTime = minVerificationTime;
  }
  /// Closes connections that are idle for too long. To be called a few times a second; calls in between do no
  /// harm.
  void sweep();

  std::size_t connections() const { return connections_; }
  std::size_t maxConnections() const { return limits_.maxConnections; }
  std::size_t upstreams() const { return upstreams_.size(); }  ///< Hosts of which there is a record.
  std::size_t opened() const { return opened_; }               ///< Connections since the start.
  std::size_t sends() const { return sends_; }  ///< Attempts whose last byte was written, since the start.

 private:
  friend class UpstreamConnection;
  using ConnectionPointer = std::shared_ptr<UpstreamConnection>;

  struct Upstream {
    std::vector<ConnectionPointer> idle;  // the most recently used last
    std::deque<AttemptId> waiting;        // attempts without a connection
    std::vector<ConnectionPointer> connecting;
    std::size_t connections = 0;  // in all
    tcp::endpoint endpoint;
    bool open = true;
  };
  struct PendingAttempt {
    load_balancing::HostId host = load_balancing::kNone;
    bool verifyConnection = false;
    ConnectionPointer connection;                        // null while it waits
    std::optional<boost::asio::steady_timer> waitTimer;  // bounds the wait
  };

  // Called by connections.
  void onConnectionCreated(load_balancing::HostId host);
  void onConnectionClosed(load_balancing::HostId host);
  void onConnectEnded(const ConnectionPointer& connection, bool connected);
  void onIdleConnectionEnded(const ConnectionPointer& connection);
  void onRequestSent() { ++sends_; }
  /// Ends an attempt whose events the connection reports by itself.
  void forgetAttempt(AttemptId attempt) { attempts_.erase(attempt); }
  void settle(AttemptId attempt, load_balancing::Outcome outcome, UpstreamResponse&& response = {});
  /// Gives a free connection to a waiting attempt, or keeps it idle.
  void assign(const ConnectionPointer& connection);
  /// Opens connections for waiting attempts.
  void connectMore(load_balancing::HostId host);

  bool sendOn(AttemptId attempt, const ConnectionPointer& connection);
  bool closeOneIdle();
  UpstreamConnection* connectionOf(AttemptId attempt);
  void failWaiting(AttemptId attempt,
                   load_balancing::Outcome outcome = load_balancing::Outcome::connectFailed);
  void removeFromWaiting(AttemptId attempt, load_balancing::HostId host);

  boost::asio::io_context& io_;
  const Clock& clock_;
  Limits limits_;
  UpstreamCallbacks& callbacks_;
  std::unordered_map<load_balancing::HostId, Upstream> upstreams_;
  std::unordered_map<AttemptId, PendingAttempt> attempts_;
  std::size_t connections_ = 0;
  std::size_t opened_ = 0;
  std::size_t sends_ = 0;
};

}  // namespace finchstile
