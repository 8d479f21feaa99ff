#include "net/client_session.hpp"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <cerrno>
#include <charconv>
#include <chrono>
#include <cstdio>
#include <utility>

#include "net/listener.hpp"
#include "net/socket_io.hpp"

namespace finchstile {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

// Input that is read and discarded at once when the descriptor of a connection is needed.
constexpr std::size_t kMaxBytesDiscardedAtOnce = std::size_t{256} * 1024;
// How long a request waits for room before the time of its client is known.
constexpr Duration kMaxReadPauseWithoutHead = std::chrono::milliseconds(500);
// Pause of a client that is still writing after its last response.
constexpr Duration kMaxLingerPause = std::chrono::seconds(1);
constexpr Duration kMaxLingerTimeInDrain = std::chrono::milliseconds(200);  // must not delay the exit
// Bytes of later requests that are read while a request is being processed.
constexpr std::size_t kMaxReadAheadBytes = std::size_t{16} * 1024;
// Minimum average rate of a request body: half of what slow links carry. A slower client is treated as
// unresponsive.
constexpr double kMinBodyBytesPerSecond = 32 * 1024;

// Bytes that a client has written can be buffered between it and this process up to this number.
constexpr std::size_t kMaxBytesInTransit = std::size_t{10} * 1024 * 1024;
// A sender fills an open window within this time with what it has buffered.
constexpr Duration kMinTimeWithoutBacklog = std::chrono::milliseconds(50);

// Sent at once on a connection for which there is no capacity. Refusing is safe, since nothing of a request
// was passed on.
constexpr std::string_view kServiceUnavailableResponse =
    "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

// Time that the slowest client has for so many bytes of a body.
Duration timeToReceive(std::uint64_t bytes) {
  const std::chrono::duration<double> time(static_cast<double>(bytes) / kMinBodyBytesPerSecond);
  return std::chrono::duration_cast<Duration>(time);
}

// Peeks at the next byte without consuming it. Returns a positive value if there is one and 0 if the client
// has closed its sending side. Below 0, errno is transient if nothing is known to have arrived, otherwise the
// error of the connection.
ssize_t peekByte(tcp::socket& socket) {
  char byte = 0;
  return ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
}

}  // namespace

ClientSession::ClientSession(tcp::socket socket, Listener& listener)
    : listener_(listener),
      socket_(std::move(socket)),
      bufferAccount_(listener.bufferBudget_),
      buffer_(kMaxUnparsedBytes + kMaxReadBytes) {
  reader_.restart();
}

void ClientSession::enter(State state) {
  if (state != State::closed) {
    auto& sessions = listener_.sessionsIn(state);
    sessions.splice(sessions.end(), listener_.sessionsIn(state_), listPosition_);
  } else {
    listener_.sessionsIn(state_).erase(listPosition_);
    --listener_.size_;
  }
  state_ = state;
  stateSince_ = listener_.clock_.now();
  if (state == State::lingering || state == State::closed) bufferAccount_.end();
  updateHeldBytes();
  listener_.resumePausedReads();
}

// Memory that the client takes now. The buffer of 8 KiB that every connection has is not counted, only what
// is in it.
std::size_t ClientSession::heldBytes() const {
  if (state_ == State::closed) return 0;
  return buffer_.size() + reader_.heldBytes() + messageBytes_ + pieceBytes_ + output_.size();
}

// --- Reading

// The first request can have waited for its connection to be accepted.
void ClientSession::start() {
  if (unreadBytes(socket_) > 0) readPausedTime_ = maxUnreadTime();
  awaitBytes();
}

// Bytes that found no room in the receive queue arrive whenever it gets some, so that the age of the last
// ones says nothing about when their client wrote them.
Duration ClientSession::maxUnreadTime() {
  return receiveQueueHasRoom(socket_) ? timeSinceLastBytes(socket_) : timeSinceLastSend(socket_);
}

// At most one wait for bytes is pending. Arriving bytes are handled according to the state at that time.
void ClientSession::awaitBytes() {
  if (std::exchange(awaitingBytes_, true)) return;
  socket_.async_wait(tcp::socket::wait_read, [this, self = shared_from_this()](error_code error) {
    awaitingBytes_ = false;
    if (state_ == State::closed) return;
    if (error) return close();
    onReadable();
  });
}

std::size_t ClientSession::receive(std::size_t maxBytes, error_code& error) {
  const std::size_t received = socket_.read_some(buffer_.prepare(maxBytes), error);
  buffer_.commit(received);
  return received;
}

void ClientSession::onReadable() {
  handleInput();
  if (state_ == State::closed) return;
  updateHeldBytes();
  listener_.resumePausedReads();
}

void ClientSession::handleInput() {
  if (state_ == State::writing || state_ == State::relaying) return;  // awaitRequest starts the next wait
  if (state_ == State::lingering) return discardInput();
  // `readBody` starts the next wait.
  if (state_ == State::waiting && bodyIncomplete_ && !bodyReadRequested_) return;
  // Bytes of a next request are read ahead, up to a limit, while a request is being processed. Otherwise the
  // close of a client's connection after these bytes would not be detected.
  const bool readsAhead = state_ == State::waiting && !bodyIncomplete_;
  const std::size_t buffered = buffer_.size();
  if (readsAhead && buffered >= kMaxReadAheadBytes) return;  // checkForDisconnect detects the close
  error_code error;
  std::size_t maxBytes = readsAhead ? std::min(kMaxReadBytes, kMaxReadAheadBytes - buffered) : kMaxReadBytes;
  // The rest of a body whose request was passed on needs no room: it leaves as fast as it is read. What fits
  // into the share of the client is read without asking, however the request arrives.
  if (!bodyIncomplete_) {
    if (bufferAccount_.freeShare() == 0 && !reserveInput()) return;
    maxBytes = std::min(maxBytes, std::max<std::size_t>(1, bufferAccount_.freeShare()));
  }
  const bool full = receive(maxBytes, error) == maxBytes;
  if (isTransient(error)) return awaitBytes();
  if (error) return close();
  if (readsAhead) return awaitBytes();
  lastByteAt_ = listener_.clock_.now();
  if (bodyIncomplete_) {
    noteBodyRead(full);
    return parseBody();
  }
  if (state_ == State::idle) enter(State::reading);
  requestStarted_ = true;
  parseRequest();
}

// Returns false if reading has to pause until other clients hold less.
bool ClientSession::reserveInput() {
  if (readPaused_) return false;
  readPaused_ = !listener_.reserveInput(*this);
  if (readPaused_) readPausedAt_ = listener_.clock_.now();
  return !readPaused_;
}

// The whole request may lie unread in the socket's buffers, and then its client counts the time of the pause.
Duration ClientSession::maxReadPause() const {
  if (!reader_.isHeadComplete()) return kMaxReadPauseWithoutHead;
  const auto text = reader_.parser().get()["X-Time-Left-Ms"];
  std::uint32_t timeLeftMs = 0;
  std::from_chars(text.data(), text.data() + text.size(), timeLeftMs);
  const Duration timeLeft = std::chrono::milliseconds(timeLeftMs);
  return std::min<Duration>(timeLeft / 4 * 3, listener_.options_.requestTimeout);
}

// Bytes that are reserved before the next read. The first read of a request takes what every client may hold.
// What follows is reserved as a whole: clients that each wait for the rest of their room would wait for each
// other.
std::size_t ClientSession::expectedInput() const {
  if (state_ == State::waiting || heldBytes() == 0) return kMaxReadBytes;
  if (!reader_.isHeadComplete()) return kMaxReadBytes + kMaxHeadBytes + kMaxFields * kFieldOverheadBytes;
  const std::uint64_t length = reader_.parser().content_length().value_or(kMaxBodyBytes);
  const std::uint64_t buffered = std::min<std::uint64_t>(length, kMaxBufferedBodyBytes + kMaxReadBytes);
  return static_cast<std::size_t>(buffered) - reader_.bufferedBody();
}

void ClientSession::resumeReading() {
  if (readPaused_) readPausedTime_ += listener_.clock_.now() - readPausedAt_;
  readPaused_ = false;
  awaitBytes();
}

void ClientSession::awaitRequest() {
  reader_.restart();
  messageBytes_ = 0;
  pieceBytes_ = 0;
  requestStarted_ = buffer_.size() > 0;
  enter(requestStarted_ ? State::reading : State::idle);
  if (requestStarted_) return parseRequest();
  if (listener_.handOverSession(*this)) return;
  listener_.trimIdle();
  releaseLargeBuffer();
  awaitBytes();
}

void ClientSession::parseRequest() {
  using Step = MessageReader<true>::Step;
  error_code error;
  for (;;) switch (reader_.step(buffer_, error)) {
      case Step::needsBytes:
        if (reader_.bufferedBody() > kMaxBufferedBodyBytes) return onRequestParsed(false);
        return awaitBytes();
      case Step::malformed: return refuseInput(error);
      case Step::complete: return onRequestParsed(true);
      case Step::head:
        if (!reader_.parser().is_done() &&
            beast::iequals(reader_.parser().get()[http::field::expect], "100-continue"))
          return writeContinue();
    }
}

void ClientSession::writeContinue() {
  static constexpr char kContinue[] = "HTTP/1.1 100 Continue\r\n\r\n";
  writingContinue_ = true;
  asyncWriteAll(socket_, asio::buffer(kContinue, sizeof kContinue - 1),
                [this, self = shared_from_this()](error_code error, std::size_t) {
                  writingContinue_ = false;
                  if (state_ == State::closed) return;
                  if (error) return close();
                  parseRequest();
                });
}

void ClientSession::releaseLargeBuffer() {
  if (buffer_.size() == 0 && buffer_.capacity() > kMaxReadBytes)
    buffer_ = beast::flat_buffer(kMaxUnparsedBytes + kMaxReadBytes);
}

void ClientSession::onRequestParsed(bool bodyComplete) {
  releaseLargeBuffer();
  messageBytes_ = reader_.heldBytes();
  bufferAccount_.endReservation();
  ClientRequest request = reader_.takeMessage();
  keepAlive_ = request.keep_alive();
  httpVersion_ = request.version();
  isHeadRequest_ = request.method() == http::verb::head;
  enter(State::waiting);
  bodyIncomplete_ = !bodyComplete;
  bodyReadRequested_ = false;
  bodyPausedTime_ = {};
  bodyPausedSince_ = stateSince_;
  inputBacklogAt_ = stateSince_;
  unreadTime_ = std::exchange(readPausedTime_, {});
  lastByteNotBefore_ = bodyComplete ? stateSince_ : stateSince_ - unreadTime_;
  const auto self = shared_from_this();
  listener_.callbacks_.onClientRequest(self, std::move(request), bodyComplete);
  if (state_ == State::waiting && !bodyIncomplete_) awaitBytes();
}

void ClientSession::readBody() {
  if (state_ != State::waiting || !bodyIncomplete_ || std::exchange(bodyReadRequested_, true)) return;
  pieceBytes_ = 0;
  lastByteAt_ = listener_.clock_.now();
  bodyPausedTime_ += lastByteAt_ - bodyPausedSince_;
  if (unreadBytes(socket_) > 0) inputBacklogAt_ = lastByteAt_;
  if (buffer_.size() > 0) return parseBody();
  awaitBytes();
}

void ClientSession::parseBody() {
  using Step = MessageReader<true>::Step;
  error_code error;
  const Step step = reader_.step(buffer_, error);
  // The request was already passed on, and the client would take an error status for the response to it.
  if (step == Step::malformed) return close();
  if (step == Step::needsBytes && reader_.bufferedBody() == 0) return awaitBytes();
  bodyIncomplete_ = step != Step::complete;
  bodyReadRequested_ = false;
  bodyPausedSince_ = listener_.clock_.now();
  const auto self = shared_from_this();
  std::string piece = reader_.takeBody();
  pieceBytes_ = piece.size();
  listener_.callbacks_.onClientBody(request_, std::move(piece), !bodyIncomplete_);
  if (state_ == State::waiting && !bodyIncomplete_) awaitBytes();
}

Time ClientSession::lastByteNotBefore() {
  if (bodyIncomplete_ && !mayHaveWrittenLastByte()) lastByteNotBefore_ = listener_.clock_.now();
  return lastByteNotBefore_;
}

// A client whose bytes have not been waiting for some time is read as fast as it writes, so these bytes were
// not written much earlier.
void ClientSession::noteBodyRead(bool full) {
  if (lastByteAt_ - inputBacklogAt_ >= kMinTimeWithoutBacklog) lastByteNotBefore_ = lastByteAt_;
  if (full) inputBacklogAt_ = lastByteAt_;
}

// Bytes that the client has written may have been read already, be in this socket's receive queue or, if that
// has no room, in buffers on the way to it. Without a length only the lack of any bytes shows that the last
// one is not among them.
bool ClientSession::mayHaveWrittenLastByte() {
  if (state_ == State::closed) return true;
  const std::size_t unread = unreadBytes(socket_);
  const Time queueFilledSince = bodyReadRequested_ ? inputBacklogAt_ : bodyPausedSince_;
  const bool queueSettled = listener_.clock_.now() - queueFilledSince >= kMinTimeWithoutBacklog;
  const bool queueHasRoom = queueSettled && receiveQueueHasRoom(socket_);
  const auto length = reader_.parser().content_length();
  if (!length) return !queueHasRoom || unread + buffer_.size() > 0;
  const std::uint64_t received = reader_.bodyRead() + buffer_.size() + unread;
  if (received >= *length) return true;
  return !queueHasRoom && *length - received <= kMaxBytesInTransit;
}

// --- Writing

void ClientSession::respond(Response&& response) {
  if (state_ != State::waiting) return;
  request_ = 0;
  if (!response.partial) {
    writeHead(response, response.body.size());
    if (!isHeadRequest_) output_ += response.body;
    return write();
  }
  const std::optional<std::uint64_t> length = response.partial->length;
  relay_ = response.partial->relay;
  chunked_ = !length && httpVersion_ >= 11;
  closeDelimited_ = !length && !chunked_;
  if (closeDelimited_) keepAlive_ = false;
  writeHead(response, length);
  writeBody(std::move(response.body), false);
}

void ClientSession::writeHead(const Response& response, std::optional<std::uint64_t> length) {
  enter(State::writing);
  // Otherwise the rest of an incomplete request body would be taken for the next request.
  if (std::exchange(bodyIncomplete_, false)) keepAlive_ = false;
  keepAlive_ = keepAlive_ && !response.close && !listener_.closesAfterResponse();
  const auto line = [this](std::string_view name, std::string_view value) {
    output_.append(name).append(": ").append(value).append("\r\n");
  };
  const auto reason = http::obsolete_reason(response.status);
  output_.reserve(256 + response.body.size());
  output_ = httpVersion_ >= 11 ? "HTTP/1.1 " : "HTTP/1.0 ";
  output_.append(std::to_string(static_cast<unsigned>(response.status))).append(" ");
  output_.append(reason.data(), reason.size()).append("\r\n");
  if (httpVersion_ >= 11 && !keepAlive_) line("Connection", "close");
  if (httpVersion_ < 11 && keepAlive_) line("Connection", "keep-alive");
  if (!response.contentType.empty()) line("Content-Type", response.contentType);
  for (const HeaderLine& header : response.headers) line(header.name, header.value);
  if (response.retryAfter > Duration{}) {
    char seconds[32];
    std::snprintf(seconds, sizeof seconds, "%.3f",
                  std::chrono::duration<double>(response.retryAfter).count());
    line("Retry-After", seconds);
  }
  if (length) line("Content-Length", std::to_string(*length));
  else if (chunked_) line("Transfer-Encoding", "chunked");
  output_ += "\r\n";
}

void ClientSession::writeBody(std::string&& piece, bool last) {
  if (state_ != State::writing && state_ != State::relaying) return;
  morePiecesFollow_ = !last;
  if (chunked_) {
    appendChunk(output_, piece);
    if (last) output_ += kLastChunk;
  } else if (output_.empty()) {
    output_ = std::move(piece);
  } else {
    output_ += piece;
  }
  enter(State::writing);
  write();
}

void ClientSession::truncateResponse() {
  relay_ = 0;
  error_code ignored;
  // A regular close would delimit the body and make it look complete; a reset does not.
  if (closeDelimited_) socket_.set_option(asio::socket_base::linger(true, 0), ignored);
  close();
}

// The write timeout restarts after every partial write, and whenever the client has acknowledged more bytes:
// a slow client is served, and only one that reads nothing is disconnected.
void ClientSession::write() {
  writeProgress_.restart(stateSince_);
  updateHeldBytes();
  const auto unwritten = asio::buffer(output_.data() + outputWritten_, output_.size() - outputWritten_);
  asyncWriteSome(socket_, unwritten, [this, self = shared_from_this()](error_code error, std::size_t bytes) {
    if (state_ == State::closed) return;
    if (error) return close();
    outputWritten_ += bytes;
    if (outputWritten_ == output_.size()) return onWritten();
    enter(State::writing);
    write();
  });
}

void ClientSession::checkWriteProgress() {
  const Duration stalled = writeProgress_.stalledFor(listener_.clock_.now(), unacknowledgedBytes(socket_));
  if (stalled > listener_.options_.writeTimeout) close();
}

void ClientSession::onWritten() {
  output_.clear();
  outputWritten_ = 0;
  if (morePiecesFollow_) {
    enter(State::relaying);
    return listener_.callbacks_.onResponseWritten(relay_);
  }
  if (const RelayId relay = std::exchange(relay_, 0)) listener_.callbacks_.onResponseWritten(relay);
  // An idle client keeps no large buffer.
  if (output_.capacity() > kMaxReadBytes) output_.shrink_to_fit();
  if (keepAlive_) return awaitRequest();
  linger();
}

// --- Refusing

void ClientSession::refuse(http::status status) {
  enter(State::waiting);
  Response response = plainResponse(status);
  response.close = true;
  respond(std::move(response));
}

void ClientSession::refuseInput(error_code error) {
  if (error == http::error::body_limit) return refuse(http::status::payload_too_large);
  if (error == http::error::header_limit) return refuse(http::status::request_header_fields_too_large);
  refuse(http::status::bad_request);
}

void ClientSession::refuseConnection() {
  writeNow(socket_, asio::buffer(kServiceUnavailableResponse));
  linger();
}

void ClientSession::onOverdue() {
  if (!requestStarted_) return closeIdle();
  if (writingContinue_ || state_ == State::waiting) return close();  // concurrent writes would interleave
  refuse(readPaused_ ? http::status::service_unavailable : http::status::request_timeout);
}

bool ClientSession::isOverdue() const {
  if (state_ == State::waiting && (!bodyIncomplete_ || !bodyReadRequested_)) return false;
  const Time now = listener_.clock_.now();
  if (readPaused_ && now - readPausedAt_ > maxReadPause()) return true;
  const Duration timeout = listener_.options_.requestTimeout;
  // The limit below grows with the bytes received. Without this check, a client could send much at first and
  // then stay silent for minutes.
  if (bodyIncomplete_ && now - lastByteAt_ > timeout) return true;
  std::uint64_t bytes = reader_.bodyRead();
  if (bodyIncomplete_) bytes -= std::min<std::uint64_t>(bytes, kMaxBufferedBodyBytes);
  const Duration pausedTime = bodyIncomplete_ ? bodyPausedTime_ : Duration{};
  return now - stateSince_ - pausedTime > timeout + timeToReceive(bytes);
}

// --- Ending

// Nothing is read from a client that sent more than the read-ahead limit, or while its host is slow to take
// the rest of a long body or with the rest of a long response. Only the kernel can report that such a client
// has disconnected.
void ClientSession::checkForDisconnect() {
  const bool hostTakesNoBody = state_ == State::waiting && bodyIncomplete_ && !bodyReadRequested_;
  const bool readsNothing =
      state_ == State::relaying || hostTakesNoBody || readPaused_ || buffer_.size() >= kMaxReadAheadBytes;
  if (readsNothing && peerHasClosed()) close();
}

// Returns true if the client sends nothing more: its close is the next event to be read or follows unread
// bytes. A half-closed client, which ended only its sending side, counts as disconnected too
// (docs/design/acceptance.md).
bool ClientSession::peerHasClosed() {
  const ssize_t unread = peekByte(socket_);
  if (unread < 0) return !isTransient(errno);
  pollfd query{socket_.native_handle(), POLLRDHUP, 0};
  return unread == 0 || ::poll(&query, 1, 0) > 0;
}

bool ClientSession::isDisconnected() {
  if (state_ == State::closed) return true;
  if (!peerHasClosed()) return false;
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    if (self->state_ == State::waiting) self->close();
  });
  return true;
}

std::optional<ClientSession::ReleasedConnection> ClientSession::release() {
  if (state_ != State::waiting || bodyIncomplete_) return std::nullopt;
  const auto self = shared_from_this();
  request_ = 0;
  enter(State::closed);
  error_code ignored;
  socket_.cancel(ignored);
  const auto unread = buffer_.data();
  return ReleasedConnection{std::move(socket_),
                            std::string(static_cast<const char*>(unread.data()), unread.size())};
}

tcp::endpoint ClientSession::remoteEndpoint() const {
  error_code ignored;
  return socket_.remote_endpoint(ignored);
}

// Closing a socket with unread bytes resets the connection, and the response may be lost with it. The sending
// side is therefore shut down first, and further input, such as the rest of a refused body, is read and
// discarded, up to the longest body.
void ClientSession::linger() {
  enter(State::lingering);
  lastByteAt_ = stateSince_;
  error_code ignored;
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
  buffer_.clear();
  discardInput();
}

void ClientSession::discardInput() {
  error_code error;
  discardedBytes_ += socket_.read_some(buffer_.prepare(kMaxReadBytes), error);
  if (isTransient(error)) return awaitBytes();
  if (error || discardedBytes_ > kMaxBodyBytes) return close();
  lastByteAt_ = listener_.clock_.now();
  awaitBytes();
}

// A client may go on writing for as long as it would have had for its body.
bool ClientSession::isLingerOver() const {
  const Time now = listener_.clock_.now();
  if (listener_.draining()) return now - stateSince_ > kMaxLingerTimeInDrain;
  const Duration maxTime = listener_.options_.requestTimeout + timeToReceive(discardedBytes_);
  return now - lastByteAt_ > kMaxLingerPause || now - stateSince_ > maxTime;
}

// If a request has arrived since the last read, the session stays open and reads it. A request that arrives
// at this very moment finds the sending side shut down: it is discarded, and its client, which sees the end
// of the connection instead of a response, sends it again elsewhere. A close would reset the connection and
// lose the part of the last response that the kernel has not delivered.
void ClientSession::closeIdle() {
  if (peekByte(socket_) > 0) return;
  linger();
}

// Closes the connection at once because its descriptor is needed. A partially received request is refused,
// and so is a first request that may be in transit: without a response it would count as lost. Unread bytes
// are read to make a reset unlikely.
void ClientSession::shed() {
  const bool isIdle = state_ == State::idle || (state_ == State::fresh && !requestStarted_);
  if (isIdle && peekByte(socket_) > 0) return;  // its request has arrived
  error_code ignored;
  if (!writingContinue_ && state_ != State::idle)
    writeNow(socket_, asio::buffer(kServiceUnavailableResponse));
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
  buffer_.clear();
  error_code end;
  for (std::size_t bytes = 0; !end && bytes < kMaxBytesDiscardedAtOnce;)
    bytes += socket_.read_some(buffer_.prepare(kMaxReadBytes), end);
  close();
}

void ClientSession::close() {
  if (state_ == State::closed) return;
  const auto self = shared_from_this();
  const bool responsePending = state_ == State::waiting;
  enter(State::closed);
  error_code ignored;
  socket_.close(ignored);
  const load_balancing::RequestId request = std::exchange(request_, 0);
  if (responsePending && request != 0) listener_.callbacks_.onClientDisconnected(request);
  if (const RelayId relay = std::exchange(relay_, 0)) listener_.callbacks_.onResponseAborted(relay);
}

}  // namespace finchstile
