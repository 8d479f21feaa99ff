// Pool of connections to hosts: opens, reuses and limits connections and assigns them to attempts.
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
#include "net/gateway_metrics.hpp"
#include "net/memory_account.hpp"
#include "net/reuse_delay.hpp"
#include "net/transfer_policy.hpp"
#include "net/upstream_messages.hpp"

namespace finchstile {

using boost::asio::ip::tcp;

class UpstreamConnection;

/// Events of attempts.
class UpstreamCallbacks {
 public:
  virtual ~UpstreamCallbacks() = default;
  /// Called directly before the first byte is written on `connection`. If it returns none, nothing is sent
  /// and the attempt ends with `unsentOutcome`, which the callee may set; its initial value means that the
  /// attempt got no connection.
  virtual std::optional<OutgoingRequest> composeRequest(AttemptId attempt, const ConnectionUse& connection,
                                                        load_balancing::Outcome& unsentOutcome) = 0;
  /// Asked after the connection was verified. Returns none if the last byte may still be sent, otherwise the
  /// outcome with which the attempt ends.
  virtual std::optional<load_balancing::Outcome> refuseLastByte(AttemptId attempt) = 0;
  /// All bytes of an incomplete request so far have been written; `sendBody` is to pass the next piece.
  virtual void onReadyForRequestBody(AttemptId attempt) = 0;
  /// The head of the final response has arrived. Whatever happens to the rest, the host has done its work.
  virtual void onResponseHeaders(AttemptId attempt) = 0;
  /// Called once for each attempt, unless it was abandoned or its response is being relayed. May be called
  /// from within `sendBody`, if the last piece leaves nothing to be written, but from no other function of
  /// UpstreamPool.
  virtual void onOutcome(AttemptId attempt, load_balancing::Outcome outcome, UpstreamResponse&& response) = 0;
  /// A served response that is too long to be buffered has started; `response` has the part of its body that
  /// has arrived. Each further piece waits for `resumeReading`; the last one, or the truncation, ends the
  /// attempt.
  virtual void onResponseBegun(AttemptId attempt, UpstreamResponse&& response,
                               std::optional<std::uint64_t> length) = 0;
  /// A piece of a relayed response has arrived.
  virtual void onResponseBody(AttemptId attempt, std::string&& piece, bool last) = 0;
  /// The attempt's transfer ends before it is complete; its outcome, or the truncation, follows.
  virtual void onTransferEnded(AttemptId attempt, const TransferEnd& end) = 0;
  /// The relayed response ended before it was complete.
  virtual void onResponseTruncated(AttemptId attempt) = 0;
  /// The host has responded with 101. The connection leaves the pool, together with the bytes that were read
  /// after the head. This ends the attempt.
  virtual void onUpgraded(AttemptId attempt, tcp::socket&& socket, std::string&& unreadFromHost,
                          const boost::beast::http::fields& head) = 0;
};

/// Sends each attempt on an idle connection to its host that has rested for the reuse delay, on the next one
/// that will have rested, or on a new one if there are too few of these. Attempts that wait for a connection
/// are served in order.
class UpstreamPool {
 public:
  struct Limits {
    Duration connectTimeout{};
    Duration maxIdleTime{};  ///< Idle connections are closed after this time.
    std::size_t maxConnectingPerHost = 4;
    std::size_t maxConnections = 256;  ///< To all hosts together.
    /// Minimum time for which the last byte is held back while its connection is verified.
    Duration minVerificationTime = std::chrono::milliseconds(1);
    /// Minimum time between a response and the next request on the same connection; see ReuseDelay.
    Duration minReuseDelay{};
    MemoryAccount* memory = nullptr;  ///< Of the process; null if it has no limit.
  };

  UpstreamPool(boost::asio::io_context& io, const Clock& clock, Limits limits, UpstreamCallbacks& callbacks);
  ~UpstreamPool();

  /// Sends the attempt as soon as a connection is available. With `verifyConnection` the last byte is held
  /// back until the connection has stayed open for a verification time after the other bytes were written.
  void send(AttemptId attempt, load_balancing::HostId host, const tcp::endpoint& endpoint,
            bool verifyConnection = false);
  /// Closes the attempt's connection without any further callback for the attempt. Returns true if its last
  /// byte may have been sent, so that the attempt may have run.
  bool abandonAttempt(AttemptId attempt);
  /// Sends a piece of the request body, after `UpstreamCallbacks::onReadyForRequestBody`.
  void sendBody(AttemptId attempt, std::string&& piece, bool last);
  /// What is being transferred for the attempt.
  TransferPhase transferPhase(AttemptId attempt);
  /// Calls `UpstreamCallbacks::onTransferEnded` if something is being transferred. To be called before an
  /// attempt is abandoned for its deadline.
  void reportDeadline(AttemptId attempt);
  /// Begins to relay an open-ended response, with what has arrived of it: calls
  /// `UpstreamCallbacks::onResponseBegun`. Does nothing in any other phase.
  void relay(AttemptId attempt);
  /// Continues to read a relayed response after its last piece was consumed.
  void resumeReading(AttemptId attempt);
  /// Enables or disables pooling of idle connections to a host. While disabled, they are closed instead.
  void setPooling(load_balancing::HostId host, bool pooling);
  /// Removes the host's record. Returns false if an attempt or a connection still needs it.
  bool removeHost(load_balancing::HostId host);
  void setConnectionOptions(std::size_t maxConnectingPerHost, Duration minVerificationTime,
                            Duration minReuseDelay) {
    limits_.maxConnectingPerHost = maxConnectingPerHost;
    limits_.minVerificationTime = minVerificationTime;
    reuseDelay_.setMinimum(minReuseDelay);
  }
  /// Closes connections that have been idle for too long. To be called a few times a second; additional calls
  /// are harmless.
  void sweep();

  std::size_t connections() const { return connections_; }
  std::size_t maxConnections() const { return limits_.maxConnections; }
  std::size_t upstreams() const { return upstreams_.size(); }  ///< Number of hosts with a record.
  std::size_t opened() const { return opened_; }               ///< Connections opened since the start.
  std::size_t sends() const { return sends_; }  ///< Attempts whose last byte was written, since the start.
  const UnsolicitedBytesMetrics& unsolicitedBytes() const { return unsolicitedBytes_; }

 private:
  friend class UpstreamConnection;
  using ConnectionPointer = std::shared_ptr<UpstreamConnection>;

  struct Upstream {
    std::vector<ConnectionPointer> idle;  // the most recently used one is last; some may still have to rest
    std::deque<AttemptId> waiting;        // attempts without a connection
    std::vector<ConnectionPointer> connecting;
    std::size_t connections = 0;                         // idle, connecting and in use
    std::optional<boost::asio::steady_timer> restTimer;  // runs if attempts wait while connections rest
    RestWaitCounter restWaits;
    tcp::endpoint endpoint;
    bool pooling = true;
  };
  struct PendingAttempt {
    load_balancing::HostId host = load_balancing::kNone;
    bool verifyConnection = false;
    ConnectionPointer connection;                        // null while the attempt waits
    std::optional<boost::asio::steady_timer> waitTimer;  // limits the wait
  };

  // Called by connections.
  void onConnectionCreated(load_balancing::HostId host);
  void onConnectionClosed(load_balancing::HostId host);
  void onConnectEnded(const ConnectionPointer& connection, bool connected);
  void onIdleConnectionEnded(const ConnectionPointer& connection);
  void onRequestSent() { ++sends_; }
  /// Whether so many bytes of a response may be held at a time.
  bool hasMemoryForResponse(std::size_t bytes) {
    return !limits_.memory || limits_.memory->grant(bytes, MemoryUse::longResponse);
  }
  /// Bytes that belong to no request have arrived `delay` after the last response on their connection.
  void onUnsolicitedBytes(Duration delay);
  /// Removes an attempt whose end the connection reports itself.
  void eraseAttempt(AttemptId attempt) { attempts_.erase(attempt); }
  void settle(AttemptId attempt, load_balancing::Outcome outcome, UpstreamResponse&& response = {});
  /// Keeps a connection whose response is complete.
  void release(const ConnectionPointer& connection);
  /// Opens connections for waiting attempts, within the limits.
  void connectForWaiting(load_balancing::HostId host);
  /// Opens `count` connections, within the limits.
  void connect(load_balancing::HostId host, Upstream& upstream, std::size_t count);

  void serveWaiting(load_balancing::HostId host);
  bool sendNextWaiting(Upstream& upstream, const ConnectionPointer& connection);
  bool trySend(AttemptId attempt, const ConnectionPointer& connection);
  ConnectionPointer takeRested(Upstream& upstream);
  void keepIdle(Upstream& upstream, const ConnectionPointer& connection);
  void awaitRest(load_balancing::HostId host);
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
  UnsolicitedBytesMetrics unsolicitedBytes_;
  ReuseDelay reuseDelay_;
};

}  // namespace finchstile
