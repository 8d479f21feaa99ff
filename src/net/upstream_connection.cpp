#include "net/upstream_connection.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <cerrno>
#include <chrono>
#include <sstream>
#include <utility>

namespace finchstile {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using load_balancing::HostId;
using load_balancing::Outcome;

// A host that shows no sign of life for so long in the middle of a body, in either direction, has stalled.
constexpr Duration kMaxBodyStall = std::chrono::seconds(5);
constexpr int kMaxInterimResponses = 8;  // 1xx ahead of one final response

// For how many round trips a last byte is held back. The second one is for the time that the other side takes
// to notice. The limit is a small part of a latency objective, should a queue or a pause of ours have spoilt
// the measured round trip.
constexpr int kVerificationRoundTrips = 2;
constexpr Duration kMaxVerificationTime = std::chrono::milliseconds(20);

template <class Head>
Outcome outcomeOf(const Head& head) {
  const unsigned status = head.result_int();
  if (status == 200) return Outcome::served;
  // Only the mark proves that the request never ran.
  if ((status == 503 || status == 504) && head["X-Unprocessed"] == "1") return Outcome::rejectedForCapacity;
  // The request is at fault, not the host. 408 and 429 describe the host's own state.
  if (status >= 400 && status < 500 && status != 408 && status != 429) return Outcome::invalidRequest;
  return Outcome::error;
}

}  // namespace

UpstreamConnection::UpstreamConnection(UpstreamPool& pool, HostId host)
    : host_(host),
      pool_(pool),
      socket_(pool.io_),
      timer_(pool.io_),
      buffer_(kMaxUnparsedBytes + kMaxReadBytes) {
  pool_.onConnectionCreated(host_);
}

void UpstreamConnection::connect(const tcp::endpoint& endpoint) {
  endpoint_ = endpoint;
  const Time startedAt = pool_.clock_.now();
  const auto self = shared_from_this();
  timer_.expires_after(pool_.limits_.connectTimeout);
  timer_.async_wait([this, self](error_code stopped) {
    if (!stopped && !closed_ && connecting_) endConnect(false);
  });
  socket_.async_connect(endpoint_, [this, self, startedAt](error_code error) {
    if (closed_ || !connecting_) return;
    roundTrip_ = pool_.clock_.now() - startedAt;
    error_code ignored;
    if (!error) socket_.set_option(tcp::no_delay(true), ignored);
    endConnect(!error);
  });
}

void UpstreamConnection::endConnect(bool connected) {
  connecting_ = false;
  timer_.cancel();
  const auto self = shared_from_this();
  if (!connected) close();
  pool_.onConnectEnded(self, connected);
}

// --- Writing

void UpstreamConnection::send(AttemptId attempt, OutgoingRequest&& request, bool verifyConnection) {
  attempt_ = attempt;
  reader_.restart();
  interimResponses_ = 0;
  relaying_ = false;
  bodyIncomplete_ = !request.bodyComplete;
  upgradeAsked_ = request.upgrade;
  lastByteSent_ = false;
  std::ostringstream bytes;
  if (bodyIncomplete_) bytes << request.message.base();
  else bytes << request.message;
  request_ = std::move(bytes).str();
  if (bodyIncomplete_) {
    chunked_ = request.message.chunked();
    appendBody(request.message.body());
    watchBeforeLastByte();
    return write(0, request_.size());
  }
  write(0, verifyConnection ? request_.size() - 1 : request_.size());
}

void UpstreamConnection::sendBody(const std::string& piece, bool last) {
  appendBody(piece);
  if (last && chunked_) request_ += kLastChunk;
  bodyIncomplete_ = !last;
  if (bodyIncomplete_) return request_.empty() ? wantBody() : write(0, request_.size());
  // With nothing left to write the host would have the complete request, and nobody would read its response.
  if (request_.empty()) return endAttempt(Outcome::reset);
  write(0, request_.size() - 1);
}

void UpstreamConnection::appendBody(const std::string& piece) {
  if (chunked_) appendChunk(request_, piece);
  else request_ += piece;
}

void UpstreamConnection::wantBody() { pool_.callbacks_.onReadyForRequestBody(attempt_); }

void UpstreamConnection::write(std::size_t from, std::size_t to) {
  lastByteSent_ = !bodyIncomplete_ && to == request_.size();
  if (bodyIncomplete_) watchForStall(kMaxBodyStall, Outcome::connectFailed);
  asio::async_write(socket_, asio::buffer(request_.data() + from, to - from),
                    [this, self = shared_from_this(), to](error_code error, std::size_t) {
                      if (closed_) return;
                      // After an error the last byte was never written: the host has not begun.
                      if (error) return endAttempt(Outcome::connectFailed);
                      onWritten(to);
                    });
}

void UpstreamConnection::onWritten(std::size_t to) {
  if (bodyIncomplete_) {
    stopTimer();
    request_.clear();
    return wantBody();
  }
  if (to < request_.size()) return verifyThenWrite(to);
  pool_.onRequestSent();
  request_.clear();
  read();
}

// No check of a socket tells whether the other side is still there. It may have closed or forgotten the
// connection with the notice under way, may never tell, or may reset at the next bytes; so may any box
// between. A host begins with the last byte: a request that ends before it is written has not run, whoever
// ended it, and may go elsewhere. So all bytes but the last are written, and an end has the time to show.
// This also covers new connections that are accepted and dropped, and processes that died unnoticed. It is of
// no use, and costs its time, where something between answers for the host or keeps bytes back until the
// request is complete.
void UpstreamConnection::verifyThenWrite(std::size_t from) {
  stopTimer();
  timer_.expires_after(verificationTime());
  timer_.async_wait([this, self = shared_from_this(), from](error_code stopped) {
    if (stopped || closed_) return;
    if (isAlive() && pool_.callbacks_.maySendLastByte(attempt_)) return write(from, request_.size());
    endAttempt(Outcome::connectFailed);
  });
  watchBeforeLastByte();
}

void UpstreamConnection::watchBeforeLastByte() {
  if (std::exchange(watchingEarly_, true)) return;
  socket_.async_wait(tcp::socket::wait_read, [this, self = shared_from_this()](error_code) {
    watchingEarly_ = false;
    // Bytes that come ahead of the complete request are no response to it.
    if (!closed_ && attempt_ != 0 && !lastByteSent_ && !isAlive()) endAttempt(Outcome::connectFailed);
  });
}

// From the connect: the kernel's own measure counts late acknowledgements, tens of milliseconds, as round
// trips.
Duration UpstreamConnection::verificationTime() const {
  return std::max(pool_.limits_.minVerificationTime,
                  std::min(kVerificationRoundTrips * roundTrip_, kMaxVerificationTime));
}

// --- Reading

void UpstreamConnection::read() {
  socket_.async_read_some(buffer_.prepare(relaying_ ? kMaxPieceBytes : kMaxReadBytes),
                          [this, self = shared_from_this()](error_code error, std::size_t bytes) {
                            if (closed_) return;
                            stopTimer();
                            if (error == asio::error::eof && reader_.completeAtEndOfConnection())
                              return parse();
                            if (error) return endBroken();
                            buffer_.commit(bytes);
                            parse();
                          });
}

// Anything but a response that its framing proves complete counts as a reset: the request may have run, and
// what came is nobody's response.
void UpstreamConnection::parse() {
  using Step = MessageReader<false>::Step;
  error_code error;
  for (;;) switch (reader_.step(buffer_, error)) {
      case Step::malformed: return endBroken();
      case Step::head:
        if (reader_.parser().get().result_int() >= 200) pool_.callbacks_.onResponseHeaders(attempt_);
        if (reader_.parser().get().result() == http::status::switching_protocols)
          return upgradeAsked_ ? onUpgrade() : endBroken();
        if (reader_.parser().content_length().value_or(0) > kMaxBufferedBodyBytes) return beginLongResponse();
        break;
      case Step::needsBytes:
        if (relaying_ && reader_.bufferedBody() > 0) return relayBody(false);
        if (reader_.bufferedBody() > kMaxBufferedBodyBytes) return beginLongResponse();
        watchForStall(relaying_ ? kMaxBodyStall : pool_.limits_.maxResponsePause, Outcome::reset);
        return read();
      case Step::complete:
        stopTimer();
        if (relaying_) return relayBody(true);
        if (reader_.parser().get().result_int() >= 200) return onComplete();
        if (++interimResponses_ > kMaxInterimResponses) return endAttempt(Outcome::reset);
        reader_.restart();  // the final response follows
        if (buffer_.size() == 0) return read();
    }
}

void UpstreamConnection::resumeReading() {
  if (relaying_) parse();
}

// Of a response that is not served only the head counts.
void UpstreamConnection::beginLongResponse() {
  stopTimer();
  const auto& head = reader_.parser().get();
  const Outcome outcome = outcomeOf(head);
  UpstreamResponse response;
  response.status = head.result_int();
  if (outcome != Outcome::served) {
    const auto self = shared_from_this();
    const AttemptId attempt = std::exchange(attempt_, 0);
    drop();
    return pool_.settle(attempt, outcome, std::move(response));
  }
  relaying_ = true;
  response.contentType = std::string(head[http::field::content_type]);
  response.head = static_cast<const http::fields&>(head.base());
  std::optional<std::uint64_t> length;
  if (const auto known = reader_.parser().content_length()) length = *known;
  response.body = reader_.takeBody();
  pool_.callbacks_.onResponseBegun(attempt_, std::move(response), length);
}

void UpstreamConnection::relayBody(bool last) {
  stopTimer();
  std::string piece = reader_.takeBody();
  if (!last) return pool_.callbacks_.onResponseBody(attempt_, std::move(piece), false);
  const auto self = shared_from_this();
  const AttemptId attempt = std::exchange(attempt_, 0);
  relaying_ = false;
  pool_.forgetAttempt(attempt);
  if (isReusable()) pool_.assign(self);
  else drop();
  pool_.callbacks_.onResponseBody(attempt, std::move(piece), true);
}

void UpstreamConnection::onComplete() {
  const auto self = shared_from_this();
  const bool reusable = isReusable();
  http::response<http::string_body> message = reader_.takeMessage();
  UpstreamResponse response;
  const Outcome outcome = outcomeOf(message);
  response.status = message.result_int();
  if (outcome == Outcome::served) {
    response.contentType = std::string(message[http::field::content_type]);
    response.body = std::move(message.body());
  }
  response.head = std::move(static_cast<http::fields&>(message.base()));
  const AttemptId attempt = std::exchange(attempt_, 0);
  // The outcome may start the next attempt, so the connection has to be free before it is reported.
  if (reusable) pool_.assign(self);
  else drop();
  pool_.settle(attempt, outcome, std::move(response));
}

void UpstreamConnection::onUpgrade() {
  stopTimer();
  const auto self = shared_from_this();
  const AttemptId attempt = std::exchange(attempt_, 0);
  pool_.forgetAttempt(attempt);
  closed_ = true;
  pool_.onConnectionClosed(host_);
  error_code ignored;
  timer_.cancel();
  socket_.cancel(ignored);
  const auto unread = buffer_.data();
  const http::fields head = static_cast<const http::fields&>(reader_.parser().get().base());
  pool_.callbacks_.onUpgraded(attempt, std::move(socket_),
                              std::string(static_cast<const char*>(unread.data()), unread.size()), head);
  pool_.connectMore(host_);
}

// --- Ending

// A broken response may leave its connection open and send no more. A response that has begun must go on
// within the limit; as long as it does, it may take its time.
void UpstreamConnection::watchForStall(Duration limit, Outcome outcome) {
  if (std::exchange(stallTimerSet_, true)) return;
  timer_.expires_after(limit);
  timer_.async_wait([this, self = shared_from_this(), outcome](error_code stopped) {
    if (stopped || closed_ || !stallTimerSet_) return;
    if (relaying_) endBroken();
    else endAttempt(outcome);
  });
}

void UpstreamConnection::stopTimer() {
  if (std::exchange(stallTimerSet_, false)) timer_.cancel();
}

// The request may have run. A response that has been begun can't be made good; its client is to see that it
// is not complete.
void UpstreamConnection::endBroken() {
  if (!relaying_) return endAttempt(Outcome::reset);
  const auto self = shared_from_this();
  const AttemptId attempt = std::exchange(attempt_, 0);
  relaying_ = false;
  pool_.forgetAttempt(attempt);
  drop();
  pool_.callbacks_.onResponseTruncated(attempt);
}

void UpstreamConnection::endAttempt(Outcome outcome) {
  const auto self = shared_from_this();
  const AttemptId attempt = std::exchange(attempt_, 0);
  drop();
  pool_.settle(attempt, outcome);
}

// Bytes behind the response belong to nothing that was asked for: no next response may be read from there.
bool UpstreamConnection::isReusable() {
  return reader_.parser().keep_alive() && buffer_.size() == 0 && isAlive();
}

// The host may have closed the connection a moment ago, with the notice still in the queue.
bool UpstreamConnection::isAlive() {
  char byte = 0;
  const ssize_t unread = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return unread < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void UpstreamConnection::watchWhileIdle() {
  if (std::exchange(watchingIdle_, true)) return;  // the wait of an earlier idle time is still pending
  socket_.async_wait(tcp::socket::wait_read, [this, self = shared_from_this()](error_code error) {
    watchingIdle_ = false;
    if (closed_ || attempt_ != 0) return;
    if (!error && isAlive()) return watchWhileIdle();
    pool_.onIdleConnectionEnded(self);
    close();
  });
}

void UpstreamConnection::close() {
  if (closed_) return;
  closed_ = true;
  pool_.onConnectionClosed(host_);
  error_code ignored;
  timer_.cancel();
  socket_.close(ignored);
}

// Waiting attempts get a new connection in place of this one. The caller keeps this object alive.
void UpstreamConnection::drop() {
  close();
  pool_.connectMore(host_);
}

}  // namespace finchstile
