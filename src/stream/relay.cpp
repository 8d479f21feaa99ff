#include "stream/relay.hpp"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <cstring>
#include <utility>

#include "net/socket_io.hpp"
#include "stream/sockets.hpp"

namespace finchstile::stream {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

// Reads per pump() before yielding to the event loop, so that a fast stream does not starve others.
constexpr int kMaxReadsPerPump = 8;
// Time for close messages to be written and answered.
constexpr Duration kCloseHandshakeTimeout = std::chrono::seconds(2);

// Retry interval of a ping that could not be inserted within a unit; the side must not count as silent for
// that.
constexpr Duration kPingRetryInterval = std::chrono::milliseconds(50);

}  // namespace

Relay::Relay(StreamId id, RelayParts&& parts, BufferBudget& budget, const Clock& clock, RelayEvents& events)
    : id_(id),
      client_(std::move(parts.client)),
      host_(std::move(parts.host)),
      budget_(budget),
      clock_(clock),
      events_(events),
      codec_(std::move(parts.codec)),
      flow_(parts.limits, clock.now()) {
  for (const Side side : {Side::client, Side::host}) {
    error_code ignored;
    socket(side).non_blocking(true, ignored);
    socket(side).set_option(tcp::no_delay(true), ignored);
    // Bytes read with the handshake. Not charged to the budget: at most one read, and freed once forwarded.
    const std::string& prefetched = side == Side::client ? parts.fromClient : parts.fromHost;
    Pipe& p = pipe(side);
    p.lastReceived = clock.now();
    if (prefetched.empty()) continue;
    p.piece = std::make_unique<char[]>(prefetched.size());
    std::memcpy(p.piece.get(), prefetched.data(), prefetched.size());
    p.end = prefetched.size();
    p.decodedEnd = codec_ ? 0 : p.end;
  }
  pipe(Side::host).injected = std::move(parts.initialDataForClient);
}

Relay::~Relay() {
  for (Pipe& p : pipes_) releasePiece(p);
}

void Relay::start() {
  // Deferred, because the relay may end at once, before its owner has stored it.
  asio::post(client_.get_executor(), [this, self = shared_from_this()] {
    if (over_) return;
    watch(Side::client);
    watch(Side::host);
    pump(Side::client);
    if (!over_) pump(Side::host);
    if (!over_) setDue();
  });
}

// Detects a reset immediately, even if the side is not being read or written: after its FIN, or while the
// other side is slow. Bytes received before the reset are still forwarded.
void Relay::watch(Side side) {
  socket(side).async_wait(tcp::socket::wait_error, [this, side, self = shared_from_this()](error_code error) {
    if (over_ || error) return;
    if (!isBroken(socket(side))) return;  // orderly close of both directions
    Pipe& p = pipe(side);
    p.broken = true;
    if (p.ended || p.writing) return onBroken(side);
    pump(side);
  });
}

void Relay::acquirePiece(Pipe& p) {
  if (p.piece) return;
  p.grant = budget_.take();
  p.piece.reset(new char[p.grant.size]);  // left uninitialized; filled by reads
  p.begin = p.decodedEnd = p.end = 0;
}

void Relay::releasePiece(Pipe& p) {
  if (!std::exchange(p.piece, nullptr)) return;
  p.begin = p.decodedEnd = p.end = 0;
  if (p.grant.size > 0) budget_.returnPiece(std::exchange(p.grant, {}));
}

bool Relay::canWriteInjected(Side from) const {
  const Pipe& p = pipe(from);
  return !p.injected.empty() &&
         (p.injectedOffset > 0 || (p.begin == p.decodedEnd && (!codec_ || codec_->atBoundary(from))));
}

// Makes all progress possible in one direction without blocking, then waits for the socket.
void Relay::pump(Side from) {
  Pipe& p = pipe(from);
  for (int turn = 0; !over_;) {
    if (p.writing) return;
    if (canWriteInjected(from) || p.begin < p.decodedEnd) {
      if (!writeSome(from)) return;
    } else if (p.decodedEnd < p.end && !p.needsMoreInput) {
      decodeBuffered(from);
    } else if (p.ended) {
      releasePiece(p);
      if (!flow_.onDelivered(from)) return;
      error_code ignored;
      socket(other(from)).shutdown(tcp::socket::shutdown_send, ignored);
      if (const auto ending = flow_.over()) return finish(closingEnding_ ? *closingEnding_ : *ending);
      return setDue();
    } else {
      if (p.reading) return;
      if (++turn > kMaxReadsPerPump) {
        if (!holdsIncompleteUnit(p)) releasePiece(p);
        asio::post(client_.get_executor(), [this, from, self = shared_from_this()] {
          if (!over_) pump(from);
        });
        return;
      }
      if (!readSome(from)) return;
    }
  }
}

// Returns false if it must wait or the relay is over.
bool Relay::writeSome(Side from) {
  Pipe& p = pipe(from);
  const Side to = other(from);
  const bool injected = canWriteInjected(from);
  error_code error;
  const std::size_t n =
      injected ? socket(to).write_some(
                     asio::buffer(p.injected.data() + p.injectedOffset, p.injected.size() - p.injectedOffset),
                     error)
               : socket(to).write_some(asio::buffer(p.piece.get() + p.begin, p.decodedEnd - p.begin), error);
  if (isTransient(error)) {
    flow_.onBlocked(to, clock_.now());
    waitToWrite(from);
    setDue();
    return false;
  }
  if (error) {
    onBroken(to);
    return false;
  }
  flow_.onActivity(clock_.now());
  flow_.onUnblocked(to);
  if (!injected) {
    p.begin += n;
    p.passed += n;
    return true;
  }
  p.injectedOffset += n;
  if (p.injectedOffset < p.injected.size()) return true;
  p.injected.clear();
  p.injectedOffset = 0;
  if (closingEnding_) {
    p.discardsInput = p.closeDone = p.closeForwarded = true;
    checkCloseHandshake();
  }
  return !over_;
}

bool Relay::readSome(Side from) {
  Pipe& p = pipe(from);
  // An incomplete unit stays in the buffer until the rest has arrived.
  const std::size_t rest = p.end - p.decodedEnd;
  if (rest > 0 && p.grant.size > 0) {
    std::memmove(p.piece.get(), p.piece.get() + p.decodedEnd, rest);
  } else {
    const std::string prefetched(rest > 0 ? p.piece.get() + p.decodedEnd : "", rest);
    if (p.grant.size == 0) releasePiece(p);  // the piece of bytes read with the handshake
    acquirePiece(p);
    std::memcpy(p.piece.get(), prefetched.data(), rest);
  }
  p.begin = p.decodedEnd = 0;
  p.end = rest;
  error_code error;
  const std::size_t n =
      socket(from).read_some(asio::buffer(p.piece.get() + rest, p.grant.size - rest), error);
  if (isTransient(error)) {
    if (!holdsIncompleteUnit(p)) releasePiece(p);
    waitToRead(from);
    return false;
  }
  if (error == asio::error::eof && !p.broken) {
    p.ended = true;
    flow_.onEnd(from);
    // A FIN without a close message is a failure: the other side could not detect truncation.
    if (codec_ && !codec_->closeReceived(from)) {
      onBroken(from);
      return false;
    }
    if (closingEnding_) checkCloseHandshake();
    return !over_;
  }
  if (error) {
    onBroken(from);
    return false;
  }
  p.end = rest + n;
  p.decodedEnd = codec_ ? 0 : p.end;
  p.needsMoreInput = false;
  const Time now = clock_.now();
  flow_.onActivity(now);
  p.lastReceived = now;
  if (std::exchange(p.pingOutstanding, false))
    setDue();  // otherwise the next ping would wait for the deadline of this pong
  return true;
}

void Relay::decodeBuffered(Side from) {
  Pipe& p = pipe(from);
  if (codec_->closeReceived(from)) {  // no data may follow a close message; discard it
    p.begin = p.decodedEnd = p.end;
    return;
  }
  const bool stop = !p.injected.empty() && !p.discardsInput;
  const Codec::DecodeResult decoded =
      codec_->decode(from, p.piece.get() + p.decodedEnd, p.end - p.decodedEnd, stop);
  p.decodedEnd += decoded.pass;
  p.needsMoreInput = p.decodedEnd < p.end && !(stop && decoded.pass > 0);
  if (p.discardsInput) p.begin = p.decodedEnd;
  if (decoded.fault) return onProtocolFault(from, *decoded.fault);
  if (!codec_->closeReceived(from)) return;
  if (!p.discardsInput) p.closeForwarded = true;
  if (!firstCloser_) firstCloser_ = from;
  if (closingEnding_) return checkCloseHandshake();
  if (!codec_->closeReceived(other(from))) return;
  // The server closes the TCP connection first (RFC 6455, 7.1.1); allow it some time.
  closingEnding_ =
      Ending{*firstCloser_ == Side::client ? EndedBy::client : EndedBy::host, EndReason::finished, true};
  closeDeadline_ = clock_.now() + kCloseHandshakeTimeout;
  setDue();
}

void Relay::waitToRead(Side from) {
  Pipe& p = pipe(from);
  if (std::exchange(p.reading, true)) return;
  socket(from).async_wait(tcp::socket::wait_read, [this, from, self = shared_from_this()](error_code) {
    pipe(from).reading = false;
    if (!over_) pump(from);
  });
}

void Relay::waitToWrite(Side from) {
  Pipe& p = pipe(from);
  if (std::exchange(p.writing, true)) return;
  socket(other(from))
      .async_wait(tcp::socket::wait_write, [this, from, self = shared_from_this()](error_code) {
        pipe(from).writing = false;
        if (!over_) pump(from);
      });
}

// A side reset its connection, or it was lost.
void Relay::onBroken(Side side) {
  if (over_) return;
  pipe(side).broken = true;
  if (closingEnding_) return finish(*closingEnding_);
  const Ending ending{side == Side::client ? EndedBy::client : EndedBy::host, EndReason::reset, false};
  if (codec_) beginClose(ending, side == Side::host, side == Side::client);
  else finish(ending);
}

void Relay::onProtocolFault(Side side, EndReason why) {
  Pipe& p = pipe(side);
  p.end = p.decodedEnd;
  p.discardsInput = true;
  if (closingEnding_) {
    p.broken = true;  // its input is ignored from now on
    return checkCloseHandshake();
  }
  beginClose({side == Side::client ? EndedBy::client : EndedBy::host, why, false}, true, true);
}

void Relay::close(EndReason why) {
  if (over_ || closingEnding_) return;
  if (codec_) return beginClose({EndedBy::gateway, why, true}, true, true);
  finish({EndedBy::gateway, why, false});
}

// Starts the close handshake. A close message inserted within a unit would be read as part of it. If the
// sender of that unit is lost or at fault, the unit is never completed, and the receiver can only be notified
// by a reset.
void Relay::beginClose(const Ending& ending, bool notifyClient, bool notifyHost) {
  closingEnding_ = ending;
  closeDeadline_ = clock_.now() + kCloseHandshakeTimeout;
  const bool notify[] = {notifyClient, notifyHost};
  for (const Side to : {Side::client, Side::host}) {
    Pipe& p = pipe(other(to));
    const bool canEnd = codec_->atBoundary(other(to)) || (!p.ended && !p.broken && !p.discardsInput);
    if (!notify[static_cast<std::size_t>(to)] || p.closeForwarded || !canEnd) {
      p.closeDone = p.discardsInput = true;  // no close message needed or possible
      continue;
    }
    p.injected += codec_->closeMessage(to, ending);
    p.closeDone = p.injected.empty();
  }
  setDue();
  const auto self = shared_from_this();
  for (const Side from : {Side::client, Side::host})
    if (!over_) pump(from);
  if (!over_) checkCloseHandshake();
}

// Finishes when each side has got its close message and has answered it or disconnected.
void Relay::checkCloseHandshake() {
  if (over_ || !closingEnding_) return;
  for (const Side s : {Side::client, Side::host}) {
    const Pipe& p = pipe(s);
    if (!pipe(other(s)).closeDone) return;
    if (pipe(other(s)).closeForwarded && !p.ended && !p.broken && !codec_->closeReceived(s)) return;
  }
  finish(*closingEnding_);
}

// --- Time

void Relay::setDue() {
  Time due = closingEnding_ ? closeDeadline_ : flow_.due();
  if (codec_ && !closingEnding_ && codec_->pingInterval() > Duration{})
    for (const Pipe& p : pipes_)
      if (!p.ended)
        due = std::min(due, std::max(clock_.now() + kPingRetryInterval,
                                     p.lastReceived + codec_->pingInterval() +
                                         (p.pingOutstanding ? codec_->pingTimeout() : Duration{})));
  if (due != Time::max()) events_.onRelayDue(id_, due);
}

void Relay::check(Time now) {
  if (over_) return;
  const auto self = shared_from_this();
  if (closingEnding_) {
    if (now >= closeDeadline_) return finish(*closingEnding_);
  } else if (const auto ending = flow_.overdue(now)) {
    if (!codec_) return finish(*ending);
    // A side that accepts no bytes cannot receive a close message either.
    beginClose(*ending, !(ending->who == EndedBy::client), !(ending->who == EndedBy::host));
  } else if (codec_) {
    checkPings(now);
  }
  if (!over_) setDue();
}

void Relay::checkPings(Time now) {
  const Duration after = codec_->pingInterval();
  if (after == Duration{}) return;
  for (const Side side : {Side::client, Side::host}) {
    Pipe& p = pipe(side);
    if (p.ended || now < p.lastReceived + after) continue;
    if (!p.pingOutstanding) {
      Pipe& to = pipe(other(side));
      if (!to.injected.empty() || to.discardsInput || to.ended) continue;
      to.injected = codec_->ping(side);
      pump(other(side));
      if (over_) return;
      if (to.injectedOffset == 0 && !to.injected.empty()) to.injected.clear();
      else p.pingOutstanding = true;
    } else if (now >= p.lastReceived + after + codec_->pingTimeout()) {
      const bool client = side == Side::client;
      return beginClose({client ? EndedBy::client : EndedBy::host, EndReason::silent, false}, !client,
                        client);
    }
  }
}

// --- Termination

void Relay::abandon() {
  over_ = true;
  for (Pipe& p : pipes_)
    releasePiece(p);  // pending handlers may keep this object alive longer than the budget
  error_code ignored;
  client_.close(ignored);
  host_.close(ignored);
}

void Relay::finish(const Ending& ending) {
  if (std::exchange(over_, true)) return;
  const auto self = shared_from_this();
  for (Pipe& p : pipes_) releasePiece(p);
  for (const Side s : {Side::client, Side::host}) {
    error_code ignored;
    // An orderly close would make this side take the bytes it has for the complete stream, unless it got a
    // close message.
    if (!ending.orderly && !(pipe(other(s)).closeForwarded && !pipe(s).broken)) resetAtClose(socket(s));
    socket(s).close(ignored);
  }
  events_.onRelayOver(id_, ending);
}

}  // namespace finchstile::stream
