#include "net/upstream_connection.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <cerrno>
#include <chrono>
#include <sstream>
#include <utility>

#include "net/socket_io.hpp"

namespace finchstile {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using load_balancing::HostId;
using load_balancing::Outcome;

constexpr std::size_t kMaxBufferBytes = kMaxUnparsedBytes + kMaxReadBytes;
// How often a write that waits is checked for progress.
constexpr Duration kWriteProgressInterval = std::chrono::milliseconds(250);
// How long the beginning of a response without a length is held back.
constexpr Duration kMaxBufferingTime = std::chrono::seconds(1);
constexpr int kMaxInterimResponses = 8;  // 1xx responses before the final one

// Number of round trips for which the last byte is held back; the second one is for the time that the peer
// takes to notice. The limit is a small part of a latency objective, in case a queue or a pause of this
// process inflated the measured round trip.
constexpr int kVerificationRoundTrips = 2;
constexpr Duration kMaxVerificationTime = std::chrono::milliseconds(20);

template <class Head>
Outcome outcomeOf(const Head& head) {
  const unsigned status = head.result_int();
  if (status == 200) return Outcome::served;
  // Only this header proves that the request never ran.
  if ((status == 503 || status == 504) && head["X-Unprocessed"] == "1") return Outcome::rejectedForCapacity;
  // The request is invalid, and the host is not at fault. 408 and 429 describe the state of the host.
  if (status >= 400 && status < 500 && status != 408 && status != 429) return Outcome::invalidRequest;
  return Outcome::error;
}

}  // namespace

UpstreamConnection::UpstreamConnection(UpstreamPool& pool, HostId host)
    : host_(host), pool_(pool), socket_(pool.io_), timer_(pool.io_), buffer_(kMaxBufferBytes) {
  pool_.onConnectionCreated(host_);
}

void UpstreamConnection::connect(const tcp::endpoint& endpoint) {
  endpoint_ = endpoint;
  const Time startedAt = pool_.clock_.now();
  const auto self = shared_from_this();
  timer_.expires_after(pool_.limits_.connectTimeout);
  timer_.async_wait([this, self](error_code cancelled) {
    if (!cancelled && !closed_ && connecting_) endConnect(false);
  });
  socket_.async_connect(endpoint_, [this, self, startedAt](error_code error) {
    if (closed_ || !connecting_) return;
    connectedAt_ = pool_.clock_.now();
    roundTrip_ = connectedAt_ - startedAt;
    error_code ignored;
    if (!error) {
      socket_.set_option(tcp::no_delay(true), ignored);
      socket_.non_blocking(true, ignored);
      localPort_ = socket_.local_endpoint(ignored).port();
    }
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
  relaying_ = clientHasPiece_ = false;
  bodyIncomplete_ = longRequestBody_ = !request.bodyComplete;
  upgradeRequested_ = request.upgrade;
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
  if (bodyIncomplete_) return request_.empty() ? requestNextBodyPiece() : write(0, request_.size());
  // If no byte is left to hold back, the host already has the complete request, and its response would not be
  // read.
  if (request_.empty()) return endAttempt(Outcome::reset);
  write(0, request_.size() - 1);
}

void UpstreamConnection::appendBody(const std::string& piece) {
  if (chunked_) appendChunk(request_, piece);
  else request_ += piece;
}

void UpstreamConnection::requestNextBodyPiece() { pool_.callbacks_.onReadyForRequestBody(attempt_); }

void UpstreamConnection::write(std::size_t from, std::size_t to) {
  lastByteSent_ = !bodyIncomplete_ && to == request_.size();
  if (bodyIncomplete_) watchForWriteStall();
  asyncWriteAll(socket_, asio::buffer(request_.data() + from, to - from),
                [this, self = shared_from_this(), to](error_code error, std::size_t) {
                  if (closed_) return;
                  // After an error the last byte was not written: the host has not started the request.
                  if (error) return endAttempt(Outcome::connectFailed);
                  onWritten(to);
                });
}

void UpstreamConnection::onWritten(std::size_t to) {
  if (bodyIncomplete_) {
    stopStallTimer();
    if (request_.capacity() > kMaxPieceBytes) request_ = {};  // that of the first bytes
    request_.clear();
    return requestNextBodyPiece();
  }
  if (to < request_.size()) return verifyThenWrite(to);
  pool_.onRequestSent();
  if (request_.capacity() > kMaxReadBytes) request_ = {};
  request_.clear();
  read();
}

// Holds back the last byte while the connection is verified. No check of a socket can show whether the peer
// is still there: it may have closed or lost the connection with the notification in transit or never sent,
// or may reset it at the next bytes; so may any middlebox. A host starts a request with its last byte: a
// request that ends before that byte is written has not run, whoever ended it, and may be sent to another
// host. Therefore all bytes but the last are written, and the end of the connection gets the time to become
// visible. This also covers new connections that are accepted and dropped, and processes that died unnoticed.
// It only costs time, without any benefit, if an intermediary responds for the host or buffers the request
// until it is complete.
void UpstreamConnection::verifyThenWrite(std::size_t from) {
  stopStallTimer();
  timer_.expires_after(verificationTime());
  timer_.async_wait([this, self = shared_from_this(), from](error_code cancelled) {
    if (cancelled || closed_) return;
    if (!isQuiet()) return endAttempt(Outcome::connectFailed);
    if (const auto outcome = pool_.callbacks_.refuseLastByte(attempt_)) return endAttempt(*outcome);
    write(from, request_.size());
  });
  watchBeforeLastByte();
}

void UpstreamConnection::watchBeforeLastByte() {
  if (std::exchange(watchingBeforeLastByte_, true)) return;
  socket_.async_wait(tcp::socket::wait_read, [this, self = shared_from_this()](error_code) {
    watchingBeforeLastByte_ = false;
    // Bytes that arrive before the complete request was sent are not a response to it.
    if (!closed_ && attempt_ != 0 && !lastByteSent_ && !isQuiet()) endAttempt(Outcome::connectFailed);
  });
}

// The round trip is measured by the connect, because the kernel's own measurement includes delayed
// acknowledgements of tens of milliseconds.
Duration UpstreamConnection::verificationTime() const {
  return std::max(pool_.limits_.minVerificationTime,
                  std::min(kVerificationRoundTrips * roundTrip_, kMaxVerificationTime));
}

// --- Reading

void UpstreamConnection::read() {
  if (std::exchange(reading_, true)) return;
  const bool readsLongPieces = relaying_ && pool_.hasMemoryForResponse(2 * kMaxPieceBytes);
  if (!readsLongPieces && buffer_.size() == 0 && buffer_.capacity() > kMaxReadBytes) releaseBuffer();
  socket_.async_read_some(buffer_.prepare(readsLongPieces ? kMaxPieceBytes : kMaxReadBytes),
                          [this, self = shared_from_this()](error_code error, std::size_t bytes) {
                            if (closed_) return;
                            if (isTransient(error))
                              return retryRead(socket_, [self] {
                                self->reading_ = false;
                                if (!self->closed_) self->read();
                              });
                            reading_ = false;
                            stopStallTimer();
                            buffer_.commit(bytes);
                            if (clientHasPiece_) unhandledRead_ = error;
                            else onRead(error);
                          });
}

void UpstreamConnection::onRead(error_code error) {
  if (error == asio::error::eof && reader_.completeAtEndOfConnection()) return parse();
  if (error) return failResponse();
  parse();
}

void UpstreamConnection::releaseBuffer() { buffer_ = boost::beast::flat_buffer(kMaxBufferBytes); }

// Anything but a response whose framing proves it complete counts as a reset: the request may have run, and
// the received bytes are discarded.
void UpstreamConnection::parse() {
  using Step = MessageReader<false>::Step;
  error_code error;
  for (;;) switch (reader_.step(buffer_, error)) {
      case Step::malformed: return failResponse();
      case Step::head:
        responseHeadAt_ = pool_.clock_.now();
        if (reader_.parser().get().result_int() >= 200) pool_.callbacks_.onResponseHeaders(attempt_);
        if (reader_.parser().get().result() == http::status::switching_protocols)
          return upgradeRequested_ ? onUpgrade() : failResponse();
        if (reader_.parser().content_length().value_or(0) > kMaxBufferedBodyBytes) return beginRelay();
        break;
      case Step::needsBytes:
        if (relaying_ && reader_.bufferedBody() > 0) return relayBody(false);
        if (mustRelay()) return beginRelay();
        watchForPause();
        return read();
      case Step::complete:
        stopStallTimer();
        if (relaying_) return relayBody(true);
        if (reader_.parser().get().result_int() >= 200) return onComplete();
        if (++interimResponses_ > kMaxInterimResponses) return endAttempt(Outcome::reset);
        reader_.restart();  // the final response follows
        if (buffer_.size() == 0) return read();
    }
}

TransferPhase UpstreamConnection::transferPhase() {
  if (attempt_ == 0) return TransferPhase::none;
  if (relaying_) return TransferPhase::relayed;
  if (!reader_.isHeadComplete()) {
    const bool headHasBegun = lastByteSent_ && (buffer_.size() > 0 || reader_.parser().got_some());
    if (headHasBegun) return TransferPhase::buffered;
    return longRequestBody_ ? TransferPhase::requestBody : TransferPhase::none;
  }
  // The client waits for no response with another outcome.
  if (outcomeOf(reader_.parser().get()) != Outcome::served) return TransferPhase::none;
  return reader_.parser().content_length() ? TransferPhase::buffered : TransferPhase::openEnded;
}

// A long response is not to be cut off because its host writes it slowly. Its length may be unknown, so one
// that is still arriving when its time for being buffered is over counts as long. When memory is short, what
// exceeds one read is not buffered either.
bool UpstreamConnection::mustRelay() {
  if (relaying_) return false;
  if (reader_.bufferedBody() > kMaxBufferedBodyBytes) return true;
  if (reader_.bufferedBody() >= kMaxReadBytes && !pool_.hasMemoryForResponse(kMaxReadBytes)) return true;
  const bool bufferedForLong = pool_.clock_.now() - responseHeadAt_ > kMaxBufferingTime;
  return bufferedForLong && transferPhase() == TransferPhase::openEnded;
}

void UpstreamConnection::relay() {
  if (transferPhase() == TransferPhase::openEnded) beginRelay();
}

// A read may be pending, or may have ended while the client took the last piece: a relay can begin between
// two reads.
void UpstreamConnection::resumeReading() {
  if (!relaying_) return;
  clientHasPiece_ = false;
  if (const auto result = std::exchange(unhandledRead_, std::nullopt)) return onRead(*result);
  if (reading_) return watchForPause();
  parse();
}

// Only the head is used of a response with another outcome than served.
void UpstreamConnection::beginRelay() {
  stopStallTimer();
  const auto& head = reader_.parser().get();
  const Outcome outcome = outcomeOf(head);
  UpstreamResponse response;
  response.status = head.result_int();
  if (outcome != Outcome::served) {
    const auto self = shared_from_this();
    const AttemptId attempt = std::exchange(attempt_, 0);
    closeAndReplace();
    return pool_.settle(attempt, outcome, std::move(response));
  }
  relaying_ = clientHasPiece_ = true;
  response.contentType = std::string(head[http::field::content_type]);
  response.head = static_cast<const http::fields&>(head.base());
  std::optional<std::uint64_t> length;
  if (const auto known = reader_.parser().content_length()) length = *known;
  response.body = reader_.takeBody();
  pool_.callbacks_.onResponseBegun(attempt_, std::move(response), length);
}

void UpstreamConnection::relayBody(bool last) {
  stopStallTimer();
  std::string piece = reader_.takeBody();
  if (!last) {
    clientHasPiece_ = true;
    return pool_.callbacks_.onResponseBody(attempt_, std::move(piece), false);
  }
  const auto self = shared_from_this();
  const AttemptId attempt = std::exchange(attempt_, 0);
  relaying_ = false;
  pool_.eraseAttempt(attempt);
  if (finishResponse()) pool_.release(self);
  else closeAndReplace();
  pool_.callbacks_.onResponseBody(attempt, std::move(piece), true);
}

void UpstreamConnection::onComplete() {
  const auto self = shared_from_this();
  const bool reusable = finishResponse();
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
  // Reporting the outcome may start the next attempt, so the connection is freed first.
  if (reusable) pool_.release(self);
  else closeAndReplace();
  pool_.settle(attempt, outcome, std::move(response));
}

void UpstreamConnection::onUpgrade() {
  stopStallTimer();
  const auto self = shared_from_this();
  const AttemptId attempt = std::exchange(attempt_, 0);
  pool_.eraseAttempt(attempt);
  closed_ = true;
  pool_.onConnectionClosed(host_);
  error_code ignored;
  timer_.cancel();
  socket_.cancel(ignored);
  const auto unread = buffer_.data();
  const http::fields head = static_cast<const http::fields&>(reader_.parser().get().base());
  pool_.callbacks_.onUpgraded(attempt, std::move(socket_),
                              std::string(static_cast<const char*>(unread.data()), unread.size()), head);
  pool_.connectForWaiting(host_);
}

// --- Ending

// A broken response may leave its connection open and send no more. As long as a response makes progress, its
// total time is not limited here.
void UpstreamConnection::watchForPause() {
  if (std::exchange(stallTimerSet_, true)) return;
  timer_.expires_after(maxPause(transferPhase()));
  timer_.async_wait([this, self = shared_from_this()](error_code cancelled) {
    if (!cancelled && !closed_ && stallTimerSet_) onPauseTooLong();
  });
}

void UpstreamConnection::onPauseTooLong() {
  reportTransferEnd(relaying_ ? TransferEndReason::incomplete : TransferEndReason::paused);
  if (relaying_) truncateResponse();
  else endAttempt(Outcome::reset);
}

void UpstreamConnection::reportTransferEnd(TransferEndReason reason) {
  if (attempt_ != 0)
    pool_.callbacks_.onTransferEnded(attempt_, {transferPhase(), reason, reader_.bodyRead()});
}

void UpstreamConnection::watchForWriteStall() {
  if (std::exchange(stallTimerSet_, true)) return;
  writeProgress_.restart(pool_.clock_.now());
  awaitWriteProgress();
}

void UpstreamConnection::awaitWriteProgress() {
  timer_.expires_after(kWriteProgressInterval);
  timer_.async_wait([this, self = shared_from_this()](error_code cancelled) {
    if (cancelled || closed_ || !stallTimerSet_) return;
    const Duration stalled = writeProgress_.stalledFor(pool_.clock_.now(), unacknowledgedBytes(socket_));
    if (stalled < maxPause(TransferPhase::requestBody)) return awaitWriteProgress();
    reportTransferEnd(TransferEndReason::paused);
    endAttempt(Outcome::connectFailed);
  });
}

void UpstreamConnection::stopStallTimer() {
  if (std::exchange(stallTimerSet_, false)) timer_.cancel();
}

// The request may have run.
void UpstreamConnection::failResponse() {
  const bool hasBegun = reader_.isHeadComplete();
  if (hasBegun) reportTransferEnd(relaying_ ? TransferEndReason::incomplete : TransferEndReason::broken);
  if (relaying_) truncateResponse();
  else endAttempt(Outcome::reset);
}

// A response that was partly relayed can't be repaired; its client must be able to detect that it is
// incomplete.
void UpstreamConnection::truncateResponse() {
  const auto self = shared_from_this();
  const AttemptId attempt = std::exchange(attempt_, 0);
  relaying_ = false;
  pool_.eraseAttempt(attempt);
  closeAndReplace();
  pool_.callbacks_.onResponseTruncated(attempt);
}

void UpstreamConnection::endAttempt(Outcome outcome) {
  const auto self = shared_from_this();
  const AttemptId attempt = std::exchange(attempt_, 0);
  closeAndReplace();
  pool_.settle(attempt, outcome);
}

// Returns true if the connection may carry another request. Bytes after the response belong to no request,
// and no next response may be read from there.
bool UpstreamConnection::finishResponse() {
  lastResponseAt_ = pool_.clock_.now();
  if (!reader_.parser().keep_alive()) return false;
  if (buffer_.size() == 0) {
    if (buffer_.capacity() > kMaxReadBytes) releaseBuffer();
    return isQuiet();
  }
  pool_.onUnsolicitedBytes(Duration{});
  return false;
}

// The host may have closed the connection a moment ago, with the notification still in the receive queue.
bool UpstreamConnection::isQuiet() {
  char byte = 0;
  const ssize_t unread = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  // A host may respond to a long request before it has received all of it.
  if (unread > 0 && !bodyIncomplete_)
    pool_.onUnsolicitedBytes(pool_.clock_.now() - std::max(lastResponseAt_, connectedAt_));
  return unread < 0 && isTransient(errno);
}

void UpstreamConnection::watchWhileIdle() {
  if (std::exchange(watchingIdle_, true)) return;  // the wait of an earlier idle period is still pending
  socket_.async_wait(tcp::socket::wait_read, [this, self = shared_from_this()](error_code error) {
    watchingIdle_ = false;
    if (closed_ || attempt_ != 0) return;
    if (!error && isQuiet()) return watchWhileIdle();
    pool_.onIdleConnectionEnded(self);
    closeAndReplace();
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

// Closes the connection and opens a new one for waiting attempts. The caller must keep this object alive.
void UpstreamConnection::closeAndReplace() {
  close();
  pool_.connectForWaiting(host_);
}

}  // namespace finchstile
