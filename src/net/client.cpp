#include "net/client.hpp"

#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <cstdio>
#include <stdexcept>

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
constexpr Duration kUnderWay = milliseconds(100);  // a usual client's request may be on its way for so long
// Clients that ask once and keep their connection would use up what they may hold in all: of those at rest,
// at most so large a part of the limit is kept.
constexpr std::size_t kIdlePart = 3;
constexpr std::size_t kAheadMost = 16 * 1024;  // read of later requests while one is answered

}  // namespace

// --- Listener
// -----------------------------------------------------------------------------------------------

Listener::Listener(asio::io_context& io, const Clock& clock, const tcp::endpoint& at, int inherited,
                   std::size_t most, const ClientTuning& tuning, ClientEvents& events)
    : io_(io),
      clock_(clock),
      most_(most),
      tuning_(tuning),
      events_(events),
      acceptor_(io),
      pause_(io),
      inherited_(inherited >= 0) {
  if (inherited_) {
    adopt(at, inherited);
  } else {
    acceptor_.open(at.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(at);
    acceptor_.listen(asio::socket_base::max_listen_connections);
  }
  acceptor_.non_blocking(true);
}

// Danger: another descriptor under that number, a file of ours or a socket of somebody else's, would be taken
// for the clients' door.
void Listener::adopt(const tcp::endpoint& at, int fd) {
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
  if (size_ >= most_ && !shedIdle()) return turnAway(std::move(socket));
  const auto session = std::make_shared<ClientSession>(std::move(socket), *this);
  session->place_ = in(State::fresh).insert(in(State::fresh).end(), session);
  session->since_ = clock_.now();
  ++size_;
  session->start();
}

// No place for it: told so at once, and a refusal is harmless as nothing of it was passed on.
void Listener::turnAway(tcp::socket socket) {
  char dropped[4096];
  error_code ignored;
  socket.read_some(asio::buffer(dropped), ignored);  // danger: unread bytes would turn the close into a reset
  static constexpr char kFull[] =
      "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
  socket.write_some(asio::buffer(kFull, sizeof kFull - 1), ignored);
  socket.shutdown(tcp::socket::shutdown_send, ignored);
}

Duration Listener::age(State state) const {
  const Sessions& s = sessions_[static_cast<std::size_t>(state)];
  return s.empty() ? Duration(-1) : clock_.now() - s.front()->since_;
}

// Danger: the connection of a usual client may have its request on the way; those that can't are ended first.
bool Listener::shedIdle() {
  const std::size_t before = size_;
  if (!in(State::lingering).empty()) endOldest(State::lingering);
  else if (age(State::fresh) > kUnderWay) endOldest(State::fresh);
  else if (age(State::reading) > kUnderWay) endOldest(State::reading);
  else if (!in(State::idle).empty()) endOldest(State::idle);
  else if (!in(State::fresh).empty()) endOldest(State::fresh);
  return size_ < before;
}

void Listener::trimIdle() {
  if (in(State::idle).size() > std::max<std::size_t>(1, most_ / kIdlePart)) endOldest(State::idle);
}

void Listener::endOldest(State state) {
  const auto session = in(state).front();
  if (state == State::idle || (state == State::fresh && !session->begun_)) session->closeIdle();
  else session->close();
}

Duration Listener::limit(State state) const {
  switch (state) {
    case State::fresh:
    case State::reading: return tuning_.request;
    case State::idle: return tuning_.idle;
    case State::writing: return tuning_.write;
    case State::lingering: return draining() ? kLingerDrain : kLingerMost;
    default: return Duration::max();
  }
}

void Listener::sweep() {
  for (const State state : {State::fresh, State::reading, State::idle, State::writing, State::lingering})
    for (std::size_t left = in(state).size(); left > 0 && age(state) > limit(state); --left) {
      const auto session = in(state).front();
      if (state == State::fresh || state == State::reading) session->tooSlow();
      else if (state == State::idle) session->closeIdle();
      else session->close();
      if (session->state_ == state) break;  // its request has just come
    }
  const auto each = [this](State state, auto act) {  // `act` may take it out of the list
    for (auto it = in(state).begin(); it != in(state).end();) act(**it++);
  };
  each(State::waiting, [](ClientSession& s) { s.lookForEnd(); });
  const bool ending = draining_ && !acceptor_.is_open();
  if (away_ != Time{} ? clock_.now() < away_ : !ending) return;
  each(State::idle, [](ClientSession& s) { s.closeIdle(); });
  each(State::fresh, [ending](ClientSession& s) {
    // Danger: while clients are sent away one that has just connected may be about to ask.
    if (!s.begun_ && (ending || s.listener_.clock_.now() - s.since_ > kUnderWay)) s.closeIdle();
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
  if (state_ == State::writing) return;  // the next read waits again
  if (state_ == State::lingering) return discard();
  // Bytes of a next request are taken in, up to a limit, while this one is answered: behind them, the end of
  // a client that left would not be seen.
  const bool ahead = state_ == State::waiting;
  const std::size_t held = buffer_.size();
  if (ahead && held >= kAheadMost) return;  // `lookForEnd` sees the end
  error_code error;
  receive(ahead ? kAheadMost - held : kReadMost, error);
  if (error == asio::error::would_block || error == asio::error::try_again) return await();
  if (error) return close();
  if (ahead) return await();
  if (state_ == State::idle) enter(State::reading);
  begun_ = true;
  advance();
}

void ClientSession::read() {
  reader_.restart();
  begun_ = buffer_.size() > 0;
  enter(begun_ ? State::reading : State::idle);
  if (begun_) return advance();
  listener_.trimIdle();
  if (buffer_.capacity() > kReadMost) buffer_ = beast::flat_buffer(kBufferMost + kReadMost);
  await();
}

void ClientSession::advance() {
  using Step = MessageReader<true>::Step;
  error_code error;
  for (;;) switch (reader_.step(buffer_, error)) {
      case Step::more: return await();
      case Step::bad: return refuseInput(error);
      case Step::whole: return parsed();
      case Step::head:
        if (!reader_.parser().is_done() &&
            beast::iequals(reader_.parser().get()[http::field::expect], "100-continue"))
          return sayContinue();
    }
}

void ClientSession::sayContinue() {
  continue_ = {http::status::continue_, 11};
  continuing_ = true;
  http::async_write(socket_, continue_, [this, self = shared_from_this()](error_code error, std::size_t) {
    continuing_ = false;
    if (state_ == State::closed) return;
    if (error) return close();
    advance();
  });
}

void ClientSession::parsed() {
  ClientRequest request = reader_.parser().release();
  keepAlive_ = request.keep_alive();
  version_ = request.version();
  headOnly_ = request.method() == http::verb::head;
  enter(State::waiting);
  const auto self = shared_from_this();
  listener_.events_.onClientRequest(self, std::move(request));
  if (state_ == State::waiting) await();
}

void ClientSession::refuse(http::status status) {
  enter(State::waiting);
  Answer a;
  a.status = status;
  a.close = true;
  answer(std::move(a));
}

void ClientSession::refuseInput(error_code error) {
  refuse(error == http::error::body_limit     ? http::status::payload_too_large
         : error == http::error::header_limit ? http::status::request_header_fields_too_large
                                              : http::status::bad_request);
}

void ClientSession::tooSlow() {
  if (!begun_) return closeIdle();
  if (continuing_) return close();  // two writes at once would mix
  refuse(http::status::request_timeout);
}

// A client that sent more than is read ahead, and left: only the kernel knows.
void ClientSession::lookForEnd() {
  if (buffer_.size() < kAheadMost) return;
  pollfd look{socket_.native_handle(), POLLRDHUP, 0};
  if (::poll(&look, 1, 0) > 0) close();
}

void ClientSession::answer(Answer&& a) {
  if (state_ != State::waiting) return;
  request_ = 0;
  enter(State::writing);
  response_ = {};
  response_.result(a.status);
  response_.version(version_);
  const bool keepAlive = keepAlive_ && !a.close && !listener_.draining();
  response_.keep_alive(keepAlive);
  if (!a.contentType.empty()) response_.set(http::field::content_type, a.contentType);
  for (const HeaderLine& line : a.headers) response_.set(line.name, line.value);
  if (a.retryAfter > Duration{}) {
    char text[32];
    std::snprintf(text, sizeof text, "%.3f", std::chrono::duration<double>(a.retryAfter).count());
    response_.set(http::field::retry_after, text);
  }
  response_.content_length(a.body.size());
  if (!headOnly_) response_.body() = std::move(a.body);
  http::async_write(socket_, response_,
                    [this, self = shared_from_this(), keepAlive](error_code error, std::size_t) {
                      written(error, keepAlive);
                    });
}

void ClientSession::written(error_code error, bool keepAlive) {
  if (state_ == State::closed) return;
  if (error) return close();
  response_ = {};
  if (keepAlive) return read();
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

void ClientSession::closeIdle() {
  // Danger: a request may have come since the last look; it is read, not reset.
  char byte = 0;
  if (::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0) return;
  close();
}

void ClientSession::close() {
  if (state_ == State::closed) return;
  const auto self = shared_from_this();
  const bool asked = state_ == State::waiting;
  enter(State::closed);
  error_code ignored;
  socket_.close(ignored);
  const ridgeshift::RequestId request = std::exchange(request_, 0);
  if (asked && request != 0) listener_.events_.onClientLeft(request);
}

}  // namespace finchstile
