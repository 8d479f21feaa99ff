#include "net/client.hpp"

#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <cerrno>
#include <cstdio>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace finchstile {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kLingerMost = seconds(1);          // for the rest of a body that was refused,
constexpr std::size_t kLingerBytes = 256 * 1024;      // and for so much of it: reading on would cost more
constexpr Duration kLingerDrain = milliseconds(200);  // while draining it must not hold up the end
constexpr Duration kAcceptPause = milliseconds(20);   // after a failed accept: out of descriptors, mostly
// A process that replaces another one may come before the system has let go of the address. A third of the
// time in which the platform wants a restarted process ready.
constexpr Duration kBindMost = milliseconds(3300), kBindPause = milliseconds(20);
constexpr std::size_t kSparePart = 32;             // so large a part of the limit may be turned away at once
constexpr Duration kUnderWay = milliseconds(100);  // a usual client's request may be on its way for so long
// Clients that ask once and keep their connection would use up what they may hold in all: of those at rest,
// at most so large a part of the limit is kept.
constexpr std::size_t kIdlePart = 3;
constexpr std::size_t kAheadMost = 16 * 1024;  // read of later requests while one is answered
// The slowest that a body may come, in bytes a second: half of what slow lines carry. Below it whoever sends
// is taken for silent, and a descriptor is worth more than its request.
constexpr double kBodyRate = 32 * 1024;

// What lies unread: above 0, bytes; 0, the end; below, nothing yet or an error, as errno has it.
ssize_t peek(tcp::socket& socket) {
  char byte = 0;
  return ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
}

}  // namespace

// --- Listener
// -----------------------------------------------------------------------------------------------

Listener::Listener(asio::io_context& io, const Clock& clock, const tcp::endpoint& at, int inherited,
                   std::size_t most, const ClientConnectionOptions& tuning, ClientCallbacks& events)
    : io_(io),
      clock_(clock),
      most_(most),
      spare_(most / kSparePart + 1),
      tuning_(tuning),
      events_(events),
      acceptor_(io),
      pause_(io),
      inherited_(inherited >= 0) {
  if (inherited_) {
    takeOver(at, inherited);
  } else {
    acceptor_.open(at.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    const Time until = clock.now() + kBindMost;
    for (error_code error;;) {
      acceptor_.bind(at, error);
      if (!error) break;
      if (error != asio::error::address_in_use || clock.now() >= until)
        throw std::runtime_error("cannot listen at " + at.address().to_string() + ":" +
                                 std::to_string(at.port()) + ": " + error.message());
      std::this_thread::sleep_for(kBindPause);
    }
    acceptor_.listen(asio::socket_base::max_listen_connections);
  }
  acceptor_.non_blocking(true);
}

// Danger: another descriptor under that number, a file of ours or a socket of somebody else's, would be taken
// for the clients' listener.
void Listener::takeOver(const tcp::endpoint& at, int fd) {
  const auto fail = [fd](const std::string& what) {
    throw std::runtime_error("the inherited descriptor " + std::to_string(fd) + " " + what);
  };
  int listening = 0;
  socklen_t size = sizeof listening;
  if (::getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &listening, &size) != 0 || listening == 0)
    fail("is no listening socket");
  ::fcntl(fd, F_SETFD, FD_CLOEXEC);
  error_code error;
  acceptor_.assign(at.protocol(), fd, error);
  if (error) fail("can't be used: " + error.message());
  const tcp::endpoint found = acceptor_.local_endpoint(error);
  if (error || (at.port() != 0 && found != at)) fail("does not listen at the address that is configured");
}

void Listener::accept() {
  acceptor_.async_accept([this](error_code error, tcp::socket socket) {
    if (error == asio::error::operation_aborted || !acceptor_.is_open()) return;
    if (!error) {
      take(std::move(socket));
      return accept();
    }
    // Danger: out of descriptors, accept fails at once and for ever; a loop over it would eat the core.
    shedIdle();
    pause_.expires_after(kAcceptPause);
    pause_.async_wait([this](error_code stopped) {
      if (!stopped && acceptor_.is_open()) accept();
    });
  });
}

void Listener::take(tcp::socket socket) {
  error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  socket.non_blocking(true, ignored);
  // Those that linger have been answered: they give way, but the last few are read out.
  const bool room = size_ - in(State::lingering).size() < most_ || shedOther();
  const auto session = std::make_shared<ClientSession>(std::move(socket), *this);
  session->place_ = in(State::fresh).insert(in(State::fresh).end(), session);
  session->since_ = clock_.now();
  ++size_;
  while (size_ > most_ + spare_ && !in(State::lingering).empty()) endOldest(State::lingering);
  if (room) session->start();
  else session->turnAway();
}

void Listener::adopt(int fd) {
  tcp::socket socket(io_);
  error_code error;
  socket.assign(acceptor_.is_open() ? acceptor_.local_endpoint(error).protocol() : tcp::v4(), fd, error);
  if (error) ::close(fd);
  else take(std::move(socket));
}

// Danger: what we have read of a next request would be missing there. What the kernel holds goes along.
bool Listener::giveAway(ClientSession& s) {
  if (!give_ || s.buffer_.size() > 0 || (s.state_ != State::idle && s.state_ != State::fresh) || s.begun_)
    return false;
  if (!give_(s.socket_.native_handle())) return false;
  s.close();  // ours; the connection lives on with the other
  return true;
}

Duration Listener::age(State state) const {
  const Sessions& s = sessions_[static_cast<std::size_t>(state)];
  return s.empty() ? Duration(-1) : clock_.now() - s.front()->since_;
}

// Danger: the connection of a usual client may have its request on the way; those that can't are ended first.
bool Listener::shedIdle() {
  if (in(State::lingering).empty()) return shedOther();
  endOldest(State::lingering);
  return true;
}

bool Listener::shedOther() {
  const std::size_t before = size_;
  if (age(State::fresh) > kUnderWay) endOldest(State::fresh);
  else if (age(State::reading) > kUnderWay) endOldest(State::reading);
  else if (!in(State::idle).empty()) endOldest(State::idle);
  else if (!in(State::fresh).empty()) endOldest(State::fresh);
  return size_ < before;
}

void Listener::trimIdle() {
  if (in(State::idle).size() > std::max<std::size_t>(1, most_ / kIdlePart))
    in(State::idle).front()->closeIdle();
}

void Listener::endOldest(State state) {
  const auto session = in(state).front();
  if (state == State::lingering) session->close();
  else session->drop();
}

Duration Listener::limit(State state) const {
  switch (state) {
    case State::idle: return tuning_.idleTimeout;
    case State::writing: return tuning_.writeTimeout;
    case State::lingering: return draining() ? kLingerDrain : kLingerMost;
    default: return Duration::max();
  }
}

// What ends one may end others, and lists change under the loop: those that are due are taken note of first.
template <class Act>
void Listener::each(State state, Act act) {
  const std::vector<std::shared_ptr<ClientSession>> all(in(state).begin(), in(state).end());
  for (const auto& session : all)
    if (session->state_ == state) act(*session);
}

void Listener::sweep() {
  for (const State state : {State::idle, State::writing, State::lingering})
    for (std::size_t left = in(state).size(); left > 0 && age(state) > limit(state); --left) {
      const auto session = in(state).front();
      if (state == State::idle) session->closeIdle();
      else session->close();
      if (session->state_ == state) break;  // its request has just come
    }
  for (const State state : {State::fresh, State::reading, State::waiting})
    each(state, [](ClientSession& s) {
      if (s.overdue()) s.tooSlow();
    });
  each(State::waiting, [](ClientSession& s) { s.lookForEnd(); });
  each(State::passing, [](ClientSession& s) { s.lookForEnd(); });
  if (give_)
    for (const State state : {State::idle, State::fresh})
      each(state, [this](ClientSession& s) { giveAway(s); });
  const bool ending = draining_ && !acceptor_.is_open();
  if (away_ != Time{} ? clock_.now() < away_ : !ending) return;
  each(State::idle, [](ClientSession& s) { s.closeIdle(); });
  each(State::fresh, [ending](ClientSession& s) {
    // Danger: while clients are sent away one that has just connected may be about to ask.
    if (!s.begun_ && (ending || s.listener_.clock_.now() - s.since_ > kUnderWay)) s.closeIdle();
  });
}

void Listener::refuseHalf() {
  for (const State state : {State::fresh, State::reading})
    each(state, [](ClientSession& s) {
      if (s.begun_ && !s.continuing_) s.refuse(http::status::service_unavailable);  // two writes would mix
    });
}

void Listener::close() {
  draining_ = true;
  if (!acceptor_.is_open()) return;
  // Danger: what the kernel has accepted for us is taken; closing the listener would reset it unanswered. One
  // that was inherited stays open elsewhere, and the next process takes what waits there.
  for (error_code error; !error && !inherited_;) {
    tcp::socket socket(io_);
    acceptor_.accept(socket, error);
    if (!error) take(std::move(socket));
  }
  error_code ignored;
  acceptor_.close(ignored);
  pause_.cancel();
}

// --- ClientSession
// ------------------------------------------------------------------------------------------

ClientSession::ClientSession(tcp::socket socket, Listener& listener)
    : listener_(listener), socket_(std::move(socket)), buffer_(kBufferMost + kReadMost) {
  reader_.restart();
}

void ClientSession::enter(State state) {
  if (state != State::closed) {
    auto& to = listener_.in(state);
    to.splice(to.end(), listener_.in(state_), place_);
  } else {
    listener_.in(state_).erase(place_);
    --listener_.size_;
  }
  state_ = state;
  since_ = listener_.clock_.now();
}

// The one wait for bytes, whatever the state; what comes is dealt with as the state is by then.
void ClientSession::await() {
  if (std::exchange(awaiting_, true)) return;
  socket_.async_wait(tcp::socket::wait_read, [this, self = shared_from_this()](error_code error) {
    awaiting_ = false;
    if (state_ == State::closed) return;
    if (error) return close();
    onReadable();
  });
}

std::size_t ClientSession::receive(std::size_t most, error_code& error) {
  const std::size_t n = socket_.read_some(buffer_.prepare(most), error);
  buffer_.commit(n);
  return n;
}

void ClientSession::onReadable() {
  if (state_ == State::writing || state_ == State::passing) return;  // the next read waits again
  if (state_ == State::lingering) return discard();
  // Bytes of a next request are taken in, up to a limit, while this one is answered: behind them, the end of
  // a client that left would not be seen.
  if (state_ == State::waiting && partial_ && !pulled_) return;  // `pull` waits again
  const bool ahead = state_ == State::waiting && !partial_;
  const std::size_t held = buffer_.size();
  if (ahead && held >= kAheadMost) return;  // `lookForEnd` sees the end
  error_code error;
  receive(ahead ? kAheadMost - held : kReadMost, error);
  if (error == asio::error::would_block || error == asio::error::try_again) return await();
  if (error) return close();
  if (ahead) return await();
  heard_ = listener_.clock_.now();
  if (partial_) return passPart();
  if (state_ == State::idle) enter(State::reading);
  begun_ = true;
  advance();
}

void ClientSession::read() {
  reader_.restart();
  begun_ = buffer_.size() > 0;
  enter(begun_ ? State::reading : State::idle);
  if (begun_) return advance();
  if (listener_.giveAway(*this)) return;
  listener_.trimIdle();
  if (buffer_.capacity() > kReadMost) buffer_ = beast::flat_buffer(kBufferMost + kReadMost);
  await();
}

void ClientSession::advance() {
  using Step = MessageReader<true>::Step;
  error_code error;
  for (;;) switch (reader_.step(buffer_, error)) {
      case Step::more:
        if (reader_.bodyHeld() > kWholeMost) return parsed(false);
        return await();
      case Step::bad: return refuseInput(error);
      case Step::whole: return parsed(true);
      case Step::head:
        if (!reader_.parser().is_done() &&
            beast::iequals(reader_.parser().get()[http::field::expect], "100-continue"))
          return sayContinue();
    }
}

void ClientSession::sayContinue() {
  static constexpr char kContinue[] = "HTTP/1.1 100 Continue\r\n\r\n";
  continuing_ = true;
  asio::async_write(socket_, asio::buffer(kContinue, sizeof kContinue - 1),
                    [this, self = shared_from_this()](error_code error, std::size_t) {
                      continuing_ = false;
                      if (state_ == State::closed) return;
                      if (error) return close();
                      advance();
                    });
}

void ClientSession::parsed(bool whole) {
  ClientRequest request = reader_.takeMessage();
  keepAlive_ = request.keep_alive();
  version_ = request.version();
  headOnly_ = request.method() == http::verb::head;
  enter(State::waiting);
  partial_ = !whole;
  pulled_ = false;
  held_ = {};
  heldSince_ = since_;
  const auto self = shared_from_this();
  listener_.events_.onClientRequest(self, std::move(request), whole);
  if (state_ == State::waiting && !partial_) await();
}

void ClientSession::pull() {
  if (state_ != State::waiting || !partial_ || std::exchange(pulled_, true)) return;
  heard_ = listener_.clock_.now();
  held_ += heard_ - heldSince_;
  if (buffer_.size() > 0) return passPart();
  await();
}

void ClientSession::passPart() {
  using Step = MessageReader<true>::Step;
  error_code error;
  const Step step = reader_.step(buffer_, error);
  // It is under way, and nothing can be said of it any more that its client would not take for an answer.
  if (step == Step::bad) return close();
  if (step == Step::more && reader_.bodyHeld() == 0) return await();
  partial_ = step != Step::whole;
  pulled_ = false;
  heldSince_ = listener_.clock_.now();
  const auto self = shared_from_this();
  listener_.events_.onClientBody(request_, reader_.takeBody(), !partial_);
  if (state_ == State::waiting && !partial_) await();
}

// Time in which nothing was asked of it does not count against who sends.
bool ClientSession::overdue() const {
  if (state_ == State::waiting && (!partial_ || !pulled_)) return false;
  // Danger: a body that came fast would earn its client minutes of silence.
  if (partial_ && listener_.clock_.now() - heard_ > listener_.tuning_.requestTimeout) return true;
  double bytes = static_cast<double>(reader_.bodyRead());
  if (partial_) bytes -= static_cast<double>(kWholeMost);
  const auto grown = std::chrono::duration<double>(bytes / kBodyRate);
  return listener_.clock_.now() - since_ - (partial_ ? held_ : Duration{}) >
         listener_.tuning_.requestTimeout + std::chrono::duration_cast<Duration>(grown);
}

void ClientSession::refuse(http::status status) {
  enter(State::waiting);
  Response a;
  a.status = status;
  a.close = true;
  respond(std::move(a));
}

void ClientSession::refuseInput(error_code error) {
  refuse(error == http::error::body_limit     ? http::status::payload_too_large
         : error == http::error::header_limit ? http::status::request_header_fields_too_large
                                              : http::status::bad_request);
}

void ClientSession::tooSlow() {
  if (!begun_) return closeIdle();
  if (continuing_ || state_ == State::waiting) return close();  // two writes at once would mix
  refuse(http::status::request_timeout);
}

// A client that left while nothing is read from it, as it sent more than is read ahead, or as its host takes
// its time with the rest of a long answer: only the kernel knows.
void ClientSession::lookForEnd() {
  if ((state_ == State::passing || buffer_.size() >= kAheadMost) && atEnd()) close();
}

// Nothing more comes from its client: the end is next to be read, or lies behind bytes that are not read yet.
// One that has ended only its sending side has left too (docs/design/acceptance.md).
bool ClientSession::atEnd() {
  const ssize_t n = peek(socket_);
  if (n < 0) return errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR;
  pollfd look{socket_.native_handle(), POLLRDHUP, 0};
  return n == 0 || ::poll(&look, 1, 0) > 0;
}

bool ClientSession::gone() {
  if (state_ == State::closed) return true;
  if (!atEnd()) return false;
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    if (self->state_ == State::waiting) self->close();
  });
  return true;
}

// Whoever has not sent its request whole can't be answered and go on: what still comes would be taken for a
// next request.
void ClientSession::respond(Response&& a) {
  if (state_ != State::waiting) return;
  request_ = 0;
  if (!a.partial) {
    startHead(a, a.body.size());
    if (!headOnly_) out_ += a.body;
    return write();
  }
  const std::optional<std::uint64_t> length = a.partial->length;
  relay_ = a.partial->relay;
  chunked_ = !length && version_ >= 11;
  unbounded_ = !length && !chunked_;
  if (unbounded_) keepAlive_ = false;  // the end of the connection is the end of the body
  startHead(a, length);
  pass(std::move(a.body), false);
}

void ClientSession::startHead(const Response& a, std::optional<std::uint64_t> length) {
  enter(State::writing);
  if (std::exchange(partial_, false)) keepAlive_ = false;
  keepAlive_ = keepAlive_ && !a.close && !listener_.closesAfterAnswer();
  const auto line = [this](std::string_view name, std::string_view value) {
    out_.append(name).append(": ").append(value).append("\r\n");
  };
  const auto reason = http::obsolete_reason(a.status);
  out_.reserve(256 + a.body.size());
  out_ = version_ >= 11 ? "HTTP/1.1 " : "HTTP/1.0 ";
  out_.append(std::to_string(static_cast<unsigned>(a.status))).append(" ");
  out_.append(reason.data(), reason.size()).append("\r\n");
  if (version_ >= 11 && !keepAlive_) line("Connection", "close");
  if (version_ < 11 && keepAlive_) line("Connection", "keep-alive");
  if (!a.contentType.empty()) line("Content-Type", a.contentType);
  for (const HeaderLine& h : a.headers) line(h.name, h.value);
  if (a.retryAfter > Duration{}) {
    char text[32];
    std::snprintf(text, sizeof text, "%.3f", std::chrono::duration<double>(a.retryAfter).count());
    line("Retry-After", text);
  }
  if (length) line("Content-Length", std::to_string(*length));
  else if (chunked_) line("Transfer-Encoding", "chunked");
  out_ += "\r\n";
}

// RFC 9112, 7.1, where the length is not known ahead.
void ClientSession::pass(std::string&& piece, bool last) {
  if (state_ != State::writing && state_ != State::passing) return;
  more_ = !last;
  if (chunked_) {
    if (!piece.empty()) {
      char size[24];
      out_.append(size, static_cast<std::size_t>(std::snprintf(size, sizeof size, "%zx\r\n", piece.size())));
      out_.append(piece).append("\r\n");
    }
    if (last) out_ += "0\r\n\r\n";
  } else if (out_.empty()) {
    out_ = std::move(piece);
  } else {
    out_ += piece;
  }
  enter(State::writing);
  write();
}

void ClientSession::cut() {
  relay_ = 0;
  error_code ignored;
  // Danger: an end in order would tell its client that this was all.
  if (unbounded_) socket_.set_option(asio::socket_base::linger(true, 0), ignored);
  close();
}

// Who takes a little at a time goes on; only who takes nothing is ended.
void ClientSession::write() {
  socket_.async_write_some(asio::buffer(out_.data() + written_, out_.size() - written_),
                           [this, self = shared_from_this()](error_code error, std::size_t n) {
                             if (state_ == State::closed) return;
                             if (error) return close();
                             written_ += n;
                             if (written_ == out_.size()) return written();
                             enter(State::writing);
                             write();
                           });
}

void ClientSession::written() {
  out_.clear();
  written_ = 0;
  if (more_) {
    enter(State::passing);
    return listener_.events_.onResponseWritten(relay_);
  }
  if (const RelayId relay = std::exchange(relay_, 0)) listener_.events_.onResponseWritten(relay);
  if (out_.capacity() > kReadMost)
    out_.shrink_to_fit();  // a long answer's buffer would stay with an idle client
  if (keepAlive_) return read();
  linger();
}

// Danger: closing a socket that holds unread bytes resets it, and the answer may be lost with it. So our side
// ends first, and what still comes is read and dropped, for a while and up to a limit.
void ClientSession::linger() {
  enter(State::lingering);
  error_code ignored;
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
  buffer_.clear();
  discard();
}

void ClientSession::discard() {
  error_code error;
  const std::size_t n = socket_.read_some(buffer_.prepare(kReadMost), error);
  discarded_ += n;
  if (error == asio::error::would_block || error == asio::error::try_again) return await();
  if (error || discarded_ > kLingerBytes) return close();
  await();
}

std::optional<ClientSession::Left> ClientSession::leave() {
  if (state_ != State::waiting || partial_) return std::nullopt;
  const auto self = shared_from_this();
  request_ = 0;
  enter(State::closed);
  error_code ignored;
  socket_.cancel(ignored);
  const auto early = buffer_.data();
  return Left{std::move(socket_), std::string(static_cast<const char*>(early.data()), early.size())};
}

tcp::endpoint ClientSession::from() const {
  error_code ignored;
  return socket_.remote_endpoint(ignored);
}

// Danger: a request may have come since the last look; it is read, not reset. One that comes in the very
// moment finds our side ended: it is read and dropped, and its client, who sees the end in place of an
// answer, sends it once more elsewhere. A close over it would reset the connection, and take what the system
// still holds of the last answer along.
void ClientSession::closeIdle() {
  if (peek(socket_) > 0) return;
  linger();
}

// No place for it: told so at once, and a refusal is harmless as nothing of it was passed on.
constexpr std::string_view kFull =
    "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

void ClientSession::turnAway() {
  error_code ignored;
  socket_.write_some(asio::buffer(kFull), ignored);
  linger();
}

// Its descriptor is needed now. What has come in part is refused, and so is a first request that may be on
// its way: with no answer it would count as lost. What lies unread is read: the close is to reset as little
// as can be.
void ClientSession::drop() {
  const bool rests = state_ == State::idle || (state_ == State::fresh && !begun_);
  if (rests && peek(socket_) > 0) return;  // its request has come
  error_code ignored, end;
  if (!continuing_ && state_ != State::idle) socket_.write_some(asio::buffer(kFull), ignored);
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
  buffer_.clear();
  for (std::size_t n = 0; !end && n < kLingerBytes;) n += socket_.read_some(buffer_.prepare(kReadMost), end);
  close();
}

void ClientSession::close() {
  if (state_ == State::closed) return;
  const auto self = shared_from_this();
  const bool asked = state_ == State::waiting;
  enter(State::closed);
  error_code ignored;
  socket_.close(ignored);
  const load_balancing::RequestId request = std::exchange(request_, 0);
  if (asked && request != 0) listener_.events_.onClientDisconnected(request);
  if (const RelayId relay = std::exchange(relay_, 0)) listener_.events_.onResponseAborted(relay);
}

}  // namespace finchstile
