#include "stream/relay.hpp"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <cstring>
#include <utility>

#include "stream/sockets.hpp"

namespace finchstile::stream {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

// Turns of reading and writing in one go: a fast stream must not keep the loop to itself.
constexpr int kTurns = 8;
// For the words that end a protocol to be written, and answered.
constexpr Duration kFarewell = std::chrono::seconds(2);

// Danger: in the midst of a unit nothing of ours can go in; a side must not count as silent for it.
constexpr Duration kPingAgain = std::chrono::milliseconds(50);

bool again(const error_code& error) {
  return error == asio::error::would_block || error == asio::error::try_again;
}

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
    // Read with the handshake. Not of the budget: at most what one read may bring, and gone with it.
    const std::string& early = side == Side::client ? parts.fromClient : parts.fromHost;
    Pipe& p = pipe(side);
    p.heard = clock.now();
    if (early.empty()) continue;
    p.piece = std::make_unique<char[]>(early.size());
    std::memcpy(p.piece.get(), early.data(), early.size());
    p.end = early.size();
    p.looked = codec_ ? 0 : p.end;
  }
  pipe(Side::host).own = std::move(parts.greeting);
}

Relay::~Relay() {
  for (Pipe& p : pipes_) release(p);
}

void Relay::start() {
  // Danger: what it finds may end it at once, while whoever starts it has not written it down yet.
  asio::post(client_.get_executor(), [this, self = shared_from_this()] {
    if (over_) return;
    watch(Side::client);
    watch(Side::host);
    pump(Side::client);
    if (!over_) pump(Side::host);
    if (!over_) setDue();
  });
}

// A reset shows at once, also while nothing is read or written of that side: behind a FIN, or while the other
// side is slow. What came ahead of it is still passed on.
void Relay::watch(Side side) {
  socket(side).async_wait(tcp::socket::wait_error, [this, side, self = shared_from_this()](error_code error) {
    if (over_ || error) return;
    if (!isBroken(socket(side))) return;  // an end in order, of both directions
    Pipe& p = pipe(side);
    p.broken = true;
    if (p.ended || p.writing) return broken(side);
    pump(side);
  });
}

void Relay::hold(Pipe& p) {
  if (p.piece) return;
  p.grant = budget_.take();
  p.piece.reset(new char[p.grant.size]);  // not cleared: it is read into
  p.begin = p.looked = p.end = 0;
}

void Relay::release(Pipe& p) {
  if (!std::exchange(p.piece, nullptr)) return;
  p.begin = p.looked = p.end = 0;
  if (p.grant.size > 0) budget_.giveBack(std::exchange(p.grant, {}));
}

bool Relay::mayPutOwn(Side from) const {
  const Pipe& p = pipe(from);
  return !p.own.empty() && (p.ownAt > 0 || (p.begin == p.looked && (!codec_ || codec_->atBoundary(from))));
}

// Does what can be done now in one direction, and waits for the rest.
void Relay::pump(Side from) {
  Pipe& p = pipe(from);
  for (int turn = 0; !over_;) {
    if (p.writing) return;
    if (mayPutOwn(from) || p.begin < p.looked) {
      if (!writeSome(from)) return;
    } else if (p.looked < p.end && !p.hungry) {
      lookOn(from);
    } else if (p.ended) {
      release(p);
      if (!flow_.onDelivered(from)) return;
      error_code ignored;
      socket(other(from)).shutdown(tcp::socket::shutdown_send, ignored);
      if (const auto ending = flow_.over()) return finish(leaving_ ? *leaving_ : *ending);
      return setDue();
    } else {
      if (p.reading) return;
      if (++turn > kTurns) {
        release(p);
        asio::post(client_.get_executor(), [this, from, self = shared_from_this()] {
          if (!over_) pump(from);
        });
        return;
      }
      if (!readSome(from)) return;
    }
  }
}

// False: it waits, or is over.
bool Relay::writeSome(Side from) {
  Pipe& p = pipe(from);
  const Side to = other(from);
  const bool own = mayPutOwn(from);
  error_code error;
  const std::size_t n =
      own ? socket(to).write_some(asio::buffer(p.own.data() + p.ownAt, p.own.size() - p.ownAt), error)
          : socket(to).write_some(asio::buffer(p.piece.get() + p.begin, p.looked - p.begin), error);
  if (again(error)) {
    flow_.onBlocked(to, clock_.now());
    waitToWrite(from);
    setDue();
    return false;
  }
  if (error) {
    broken(to);
    return false;
  }
  flow_.onMoved(clock_.now());
  flow_.onUnblocked(to);
  if (!own) {
    p.begin += n;
    p.passed += n;
    return true;
  }
  p.ownAt += n;
  if (p.ownAt < p.own.size()) return true;
  p.own.clear();
  p.ownAt = 0;
  if (leaving_) {
    p.muted = p.said = p.told = true;
    checkLeaving();
  }
  return !over_;
}

bool Relay::readSome(Side from) {
  Pipe& p = pipe(from);
  // The beginning of a header stays where it is until the rest has come.
  const std::size_t rest = p.end - p.looked;
  if (rest > 0 && p.grant.size > 0) {
    std::memmove(p.piece.get(), p.piece.get() + p.looked, rest);
  } else {
    const std::string early(rest > 0 ? p.piece.get() + p.looked : "", rest);
    if (p.grant.size == 0) release(p);  // what came with the handshake
    hold(p);
    std::memcpy(p.piece.get(), early.data(), rest);
  }
  p.begin = p.looked = 0;
  p.end = rest;
  error_code error;
  const std::size_t n =
      socket(from).read_some(asio::buffer(p.piece.get() + rest, p.grant.size - rest), error);
  if (again(error)) {
    if (rest == 0) release(p);
    waitToRead(from);
    return false;
  }
  if (error == asio::error::eof && !p.broken) {
    p.ended = true;
    flow_.onEnd(from);
    // In a protocol with words for it a bare end is a break: its other side can't tell whether that was all.
    if (codec_ && !codec_->saidEnd(from)) {
      broken(from);
      return false;
    }
    if (leaving_) checkLeaving();
    return !over_;
  }
  if (error) {
    broken(from);
    return false;
  }
  p.end = rest + n;
  p.looked = codec_ ? 0 : p.end;
  p.hungry = false;
  const Time now = clock_.now();
  flow_.onMoved(now);
  p.heard = now;
  if (std::exchange(p.pinged, false)) setDue();  // else it would be asked again only when this answer was due
  return true;
}

void Relay::lookOn(Side from) {
  Pipe& p = pipe(from);
  if (codec_->saidEnd(from)) {  // nothing follows that; what does is dropped
    p.begin = p.looked = p.end;
    return;
  }
  const bool stop = !p.own.empty() && !p.muted;
  const Codec::Look look = codec_->look(from, p.piece.get() + p.looked, p.end - p.looked, stop);
  p.looked += look.pass;
  p.hungry = p.looked < p.end && !(stop && look.pass > 0);
  if (p.muted) p.begin = p.looked;
  if (look.fault) return faulty(from, *look.fault);
  if (!codec_->saidEnd(from)) return;
  if (!p.muted) p.told = true;
  if (!firstSaid_) firstSaid_ = from;
  if (leaving_) return checkLeaving();
  if (!codec_->saidEnd(other(from))) return;
  // The side that has the server's part closes the connection (RFC 6455, 7.1.1); for a while it may.
  leaving_ = Ending{*firstSaid_ == Side::client ? Ender::client : Ender::host, Why::finished, true};
  leaveBy_ = clock_.now() + kFarewell;
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

// A side is gone, with or without notice.
void Relay::broken(Side side) {
  if (over_) return;
  pipe(side).broken = true;
  if (leaving_) return finish(*leaving_);
  const Ending ending{side == Side::client ? Ender::client : Ender::host, Why::reset, false};
  if (codec_) leave(ending, side == Side::host, side == Side::client);
  else finish(ending);
}

void Relay::faulty(Side side, Why why) {
  Pipe& p = pipe(side);
  p.end = p.looked;
  p.muted = true;
  if (leaving_) {
    p.broken = true;  // it is not listened to any more
    return checkLeaving();
  }
  leave({side == Side::client ? Ender::client : Ender::host, why, false}, true, true);
}

void Relay::close(Why why) {
  if (over_ || leaving_) return;
  if (codec_) return leave({Ender::gateway, why, true}, true, true);
  finish({Ender::gateway, why, false});
}

// Danger: words of ours in the midst of a unit would be read as a part of it. Where the side that sends is
// gone, or at fault, its unit is never finished, and the other can be told by a reset only.
void Relay::leave(const Ending& ending, bool clientHears, bool hostHears) {
  leaving_ = ending;
  leaveBy_ = clock_.now() + kFarewell;
  const bool hears[] = {clientHears, hostHears};
  for (const Side to : {Side::client, Side::host}) {
    Pipe& p = pipe(other(to));
    const bool canEnd = codec_->atBoundary(other(to)) || (!p.ended && !p.broken && !p.muted);
    if (!hears[static_cast<std::size_t>(to)] || p.told || !canEnd) {
      p.said = p.muted = true;  // nothing to be said, or no way to
      continue;
    }
    p.own += codec_->farewell(to, ending);
    p.said = p.own.empty();
  }
  setDue();
  const auto self = shared_from_this();
  for (const Side from : {Side::client, Side::host})
    if (!over_) pump(from);
  if (!over_) checkLeaving();
}

// Over when each side has been told, and has said so itself or gone.
void Relay::checkLeaving() {
  if (over_ || !leaving_) return;
  for (const Side s : {Side::client, Side::host}) {
    const Pipe& p = pipe(s);
    if (!pipe(other(s)).said) return;
    if (pipe(other(s)).told && !p.ended && !p.broken && !codec_->saidEnd(s)) return;
  }
  finish(*leaving_);
}

// --- Time
// -------------------------------------------------------------------------------------------------

void Relay::setDue() {
  Time due = leaving_ ? leaveBy_ : flow_.due();
  if (codec_ && !leaving_ && codec_->pingAfter() > Duration{})
    for (const Pipe& p : pipes_)
      if (!p.ended)
        due = std::min(
            due, std::max(clock_.now() + kPingAgain,
                          p.heard + codec_->pingAfter() + (p.pinged ? codec_->pingAnswer() : Duration{})));
  if (due != Time::max()) events_.onRelayDue(id_, due);
}

void Relay::check(Time now) {
  if (over_) return;
  const auto self = shared_from_this();
  if (leaving_) {
    if (now >= leaveBy_) return finish(*leaving_);
  } else if (const auto ending = flow_.overdue(now)) {
    if (!codec_) return finish(*ending);
    // Who takes nothing does not take our word either.
    leave(*ending, !(ending->who == Ender::client), !(ending->who == Ender::host));
  } else if (codec_) {
    checkPings(now);
  }
  if (!over_) setDue();
}

void Relay::checkPings(Time now) {
  const Duration after = codec_->pingAfter();
  if (after == Duration{}) return;
  for (const Side side : {Side::client, Side::host}) {
    Pipe& p = pipe(side);
    if (p.ended || now < p.heard + after) continue;
    if (!p.pinged) {
      Pipe& to = pipe(other(side));
      if (!to.own.empty() || to.muted || to.ended) continue;
      to.own = codec_->ping(side);
      pump(other(side));
      if (over_) return;
      if (to.ownAt == 0 && !to.own.empty()) to.own.clear();
      else p.pinged = true;
    } else if (now >= p.heard + after + codec_->pingAnswer()) {
      const bool client = side == Side::client;
      return leave({client ? Ender::client : Ender::host, Why::silent, false}, !client, client);
    }
  }
}

// --- The end
// -------------------------------------------------------------------------------------------------

void Relay::abandon() {
  over_ = true;
  for (Pipe& p : pipes_) release(p);  // danger: handlers may keep this one beyond the budget
  error_code ignored;
  client_.close(ignored);
  host_.close(ignored);
}

void Relay::finish(const Ending& ending) {
  if (std::exchange(over_, true)) return;
  const auto self = shared_from_this();
  for (Pipe& p : pipes_) release(p);
  for (const Side s : {Side::client, Side::host}) {
    error_code ignored;
    // Danger: an end in order would tell this side that what it has is all there is. Where it was told in the
    // protocol's words, it knows.
    if (!ending.orderly && !(pipe(other(s)).told && !pipe(s).broken)) resetAtClose(socket(s));
    socket(s).close(ignored);
  }
  events_.onRelayOver(id_, ending);
}

}  // namespace finchstile::stream
