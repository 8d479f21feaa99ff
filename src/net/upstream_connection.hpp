// Connection to a host.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <memory>
#include <optional>
#include <string>

#include "finchstile/load_balancer.hpp"
#include "net/clock.hpp"
#include "net/framing.hpp"
#include "net/socket_queues.hpp"
#include "net/transfer_policy.hpp"
#include "net/upstream_messages.hpp"
#include "net/upstream_pool.hpp"

namespace finchstile {

/// Carries one attempt at a time. It is only reused after a complete response; otherwise it is closed.
/// Pending handlers may keep it alive beyond the pool; none of them uses the pool after the connection was
/// closed.
class UpstreamConnection : public std::enable_shared_from_this<UpstreamConnection> {
 public:
  UpstreamConnection(UpstreamPool& pool, load_balancing::HostId host);

  load_balancing::HostId host() const { return host_; }
  const tcp::endpoint& endpoint() const { return endpoint_; }
  Time idleSince() const { return idleSince_; }

  /// Starts the connect, which ends with `UpstreamPool::onConnectEnded`.
  void connect(const tcp::endpoint& endpoint);
  /// Sends the request of an attempt. With `verifyConnection` the last byte is held back while the connection
  /// is verified.
  void send(AttemptId attempt, OutgoingRequest&& request, bool verifyConnection);
  /// Sends the next piece of a request body, after `UpstreamCallbacks::onReadyForRequestBody`.
  void sendBody(const std::string& piece, bool last);
  /// What the connection is transferring for its attempt.
  TransferPhase transferPhase();
  /// Calls `UpstreamCallbacks::onTransferEnded` for the transfer of the attempt, if there is one.
  void reportTransferEnd(TransferEndReason reason);
  /// As `UpstreamPool::relay`.
  void relay();
  /// Continues to read a relayed response after its last piece was consumed.
  void resumeReading();
  /// True if the last byte of the request was written or is being written.
  bool lastByteSent() const { return lastByteSent_; }

  ConnectionUse use() const { return {localPort_, lastResponseAt_}; }
  /// When the previous response was complete; 0 if there was none.
  Time lastResponseAt() const { return lastResponseAt_; }

  /// Returns false if the host has closed the connection or has sent unsolicited bytes, which are counted. To
  /// be called once after the connection has ceased to be quiet.
  bool isQuiet();
  void beginIdle(Time now) { idleSince_ = now; }
  /// Closes the connection if the host closes it or sends anything while it is idle.
  void watchWhileIdle();
  void close();

 private:
  void endConnect(bool connected);

  // Writing.
  void appendBody(const std::string& piece);
  void requestNextBodyPiece();
  void write(std::size_t from, std::size_t to);
  void onWritten(std::size_t to);
  void verifyThenWrite(std::size_t from);
  void watchBeforeLastByte();
  Duration verificationTime() const;

  // Reading.
  void read();
  void onRead(boost::system::error_code error);
  void releaseBuffer();
  void parse();
  bool mustRelay();
  void beginRelay();
  void relayBody(bool last);
  void onComplete();
  void onUpgrade();

  // Ending.
  void watchForPause();
  void onPauseTooLong();
  void watchForWriteStall();
  void awaitWriteProgress();
  void stopStallTimer();
  void failResponse();
  void truncateResponse();
  void endAttempt(load_balancing::Outcome outcome);
  bool finishResponse();
  void closeAndReplace();

  const load_balancing::HostId host_;
  UpstreamPool& pool_;
  tcp::socket socket_;
  boost::asio::steady_timer timer_;
  tcp::endpoint endpoint_;
  Time idleSince_{};
  std::uint16_t localPort_ = 0;
  Time connectedAt_{};
  Time lastResponseAt_{};
  Duration roundTrip_{};  // duration of the connect
  bool closed_ = false;   // closed, or handed over by an upgrade; the pool does not count it any more
  bool connecting_ = true;
  bool watchingIdle_ = false;
  bool watchingBeforeLastByte_ = false;
  bool stallTimerSet_ = false;

  // The attempt.
  AttemptId attempt_ = 0;  // 0 if there is none
  std::string request_;    // bytes to write, until the last byte is written
  bool lastByteSent_ = false;
  bool bodyIncomplete_ = false;    // more of the request body is to be sent
  bool chunked_ = false;           // the request body is sent in chunks
  bool upgradeRequested_ = false;  // the request is an upgrade, to which 101 is a valid response
  boost::beast::flat_buffer buffer_;
  MessageReader<false> reader_;
  int interimResponses_ = 0;
  bool longRequestBody_ = false;  // the request body was not complete when the attempt began
  bool reading_ = false;          // a read is pending
  bool relaying_ = false;         // the response is relayed piece by piece
  bool clientHasPiece_ = false;   // the client has not taken the last relayed piece yet
  // Result of a read that ended meanwhile; its bytes are in the buffer.
  std::optional<boost::system::error_code> unhandledRead_;
  Time responseHeadAt_{};
  WriteProgress writeProgress_;
};

}  // namespace finchstile
