// One connection to a host.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <memory>
#include <string>

#include "finchstile/load_balancer.hpp"
#include "net/clock.hpp"
#include "net/framing.hpp"
#include "net/upstream_messages.hpp"
#include "net/upstream_pool.hpp"

namespace finchstile {

/// Carries one attempt at a time. After anything but a complete response it is closed rather than reused.
/// Handlers that are pending may keep it alive beyond the pool; none of them uses the pool once it is closed.
class UpstreamConnection : public std::enable_shared_from_this<UpstreamConnection> {
 public:
  UpstreamConnection(UpstreamPool& pool, load_balancing::HostId host);

  load_balancing::HostId host() const { return host_; }
  const tcp::endpoint& endpoint() const { return endpoint_; }
  Time idleSince() const { return idleSince_; }

  /// Ends with `UpstreamPool::onConnectEnded`.
  void connect(const tcp::endpoint& endpoint);
  void send(AttemptId attempt, OutgoingRequest&& request, bool verifyConnection);
  /// The next piece of a body, after `UpstreamCallbacks::onReadyForRequestBody`.
  void sendBody(const std::string& piece, bool last);
  /// The piece of a relayed response that came last has been taken.
  void resumeReading();
  /// The last byte of the request has been sent, or handed to the system to be.
  bool lastByteSent() const { return lastByteSent_; }

  /// False: the host has closed the connection, or has sent something without being asked.
  bool isAlive();
  void beginIdle(Time now) { idleSince_ = now; }
  /// Closes the connection at anything that comes while it is idle, its end above all.
  void watchWhileIdle();
  void close();

 private:
  void endConnect(bool connected);

  // Writing.
  void appendBody(const std::string& piece);
  void wantBody();
  void write(std::size_t from, std::size_t to);
  void onWritten(std::size_t to);
  void verifyThenWrite(std::size_t from);
  void watchBeforeLastByte();
  Duration verificationTime() const;

  // Reading.
  void read();
  void parse();
  void beginLongResponse();
  void relayBody(bool last);
  void onComplete();
  void onUpgrade();

  // Ending.
  void watchForStall(Duration limit, load_balancing::Outcome outcome);
  void stopTimer();
  void endBroken();
  void endAttempt(load_balancing::Outcome outcome);
  bool isReusable();
  void drop();

  const load_balancing::HostId host_;
  UpstreamPool& pool_;
  tcp::socket socket_;
  boost::asio::steady_timer timer_;
  tcp::endpoint endpoint_;
  Time idleSince_{};
  Duration roundTrip_{};  // as the connect took it
  bool closed_ = false;   // the pool no longer counts it: closed, or given away by an upgrade
  bool connecting_ = true;
  bool watchingIdle_ = false;
  bool watchingEarly_ = false;
  bool stallTimerSet_ = false;

  // The attempt.
  AttemptId attempt_ = 0;  // 0: none
  std::string request_;    // until its last byte is written
  bool lastByteSent_ = false;
  bool bodyIncomplete_ = false;  // more of the request's body is to be sent
  bool chunked_ = false;         // the request's body
  bool upgradeAsked_ = false;    // 101 is a response to the request
  boost::beast::flat_buffer buffer_;
  MessageReader<false> reader_;
  int interimResponses_ = 0;
  bool relaying_ = false;  // the response goes on piece by piece
};

}  // namespace finchstile
