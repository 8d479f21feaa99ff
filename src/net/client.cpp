#include "net/client.hpp"

#include <sys/socket.h>

#include <boost/asio/buffer.hpp>
#include <cstdio>
#include <limits>

namespace finchstile {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kBodyMost = 64 * 1024;
constexpr std::size_t kHeaderMost = 16 * 1024;
constexpr Duration kIdleMost = seconds(120);  // longer than clients and fronts keep a connection unused
constexpr Duration kSlowMost = seconds(10);   // danger: a client that dribbles holds a descriptor
constexpr Duration kLingerMost = seconds(2);  // for the rest of a body that was refused
constexpr Duration kLingerDrain = milliseconds(200);  // the same while draining: it must not hold up the end
constexpr Duration kAcceptPause = milliseconds(20);   // after a failed accept: out of descriptors, mostly

}  // namespace

// --- Listener
// -----------------------------------------------------------------------------------------------

Listener::Listener(asio::io_context& io, const Clock& clock, const tcp::endpoint& at, std::size_t most,
                   ClientEvents& events)
    : io_(io), clock_(clock), most_(most), events_(events), acceptor_(io), pause_(io) {
  acceptor_.open(at.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(at);
  acceptor_.listen(asio::socket_base::max_listen_connections);
  acceptor_.non_blocking(true);
}

void Listener::accept() {
  acceptor_.async_accept([this](error_code error, tcp::socket socket) {
    if (error == asio::error::operation_aborted || !acceptor_.is_open()) return;
    if (!error) {
      take(std::move(socket));
      return accept();
    }
    // Danger: out of descriptors, accept fails at once and for ever; a loop over it would eat the core.
    shedOldestIdle();
    pause_.expires_after(kAcceptPause);
    pause_.async_wait([this](error_code stopped) {
      if (!stopped && acceptor_.is_open()) accept();
    });
  });
}

void Listener::take(tcp::socket socket) {
  error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  const auto session = std::make_shared<ClientSession>(std::move(socket), *this);
  sessions_.insert(session);
  session->start();
  if (sessions_.size() > most_) shedOldestIdle();
}

bool Listener::shedOldestIdle() {
  std::shared_ptr<ClientSession> oldest;
  for (const auto& s : sessions_)
    if (s->state_ == ClientSession::State::idle && (!oldest || s->since_ < oldest->since_)) oldest = s;
  if (!oldest) return false;
  oldest->closeIdle();
  return true;
}

void Listener::sweep() {
  const Time now = clock_.now();
  std::vector<std::shared_ptr<ClientSession>> late, idle;
  for (const auto& s : sessions_) {
    using S = ClientSession::State;
    const Duration age = now - s->since_;
    if ((s->state_ == S::reading || s->state_ == S::writing) && age > kSlowMost) late.push_back(s);
    if (s->state_ == S::lingering && age > (draining_ ? kLingerDrain : kLingerMost)) late.push_back(s);
    if (s->state_ == S::idle && (age > kIdleMost || (draining_ && !acceptor_.is_open()))) idle.push_back(s);
  }
  for (const auto& s : late) s->close();
  for (const auto& s : idle) s->closeIdle();
}

void Listener::close() {
  draining_ = true;
  if (!acceptor_.is_open()) return;
  // Danger: what the kernel has accepted for us is taken; closing the listener would reset it unanswered.
  for (error_code error; !error;) {
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
    : listener_(listener), socket_(std::move(socket)), buffer_(kHeaderMost + 2 * kBodyMost) {}

void ClientSession::enter(State state) {
  state_ = state;
  since_ = listener_.clock_.now();
}

void ClientSession::read() {
  enter(buffer_.size() > 0 ? State::reading : State::idle);
  parser_.emplace();
  parser_->body_limit(kBodyMost);
  parser_->header_limit(kHeaderMost);
  auto readHeader = [this] {
    http::async_read_header(socket_, buffer_, *parser_,
                            [this, self = shared_from_this()](error_code error, std::size_t) {
                              if (state_ == State::closed) return;
                              if (error) return refuseInput(error);
                              readBody();
                            });
  };
  if (buffer_.size() > 0) return readHeader();
  // Waiting apart from reading tells an idle connection from one whose request has begun to come.
  socket_.async_wait(tcp::socket::wait_read, [this, self = shared_from_this(), readHeader](error_code error) {
    if (state_ == State::closed) return;
    if (error) return close();
    enter(State::reading);
    readHeader();
  });
}

void ClientSession::readBody() {
  if (parser_->is_done()) return parsed({});
  auto go = [this] {
    http::async_read(socket_, buffer_, *parser_,
                     [this, self = shared_from_this()](error_code error, std::size_t) {
                       if (state_ != State::closed) parsed(error);
                     });
  };
  if (!beast::iequals(parser_->get()[http::field::expect], "100-continue")) return go();
  continue_ = {http::status::continue_, 11};
  http::async_write(socket_, continue_, [this, self = shared_from_this(), go](error_code error, std::size_t) {
    if (state_ == State::closed) return;
    if (error) return close();
    go();
  });
}

void ClientSession::parsed(error_code error) {
  if (error) return refuseInput(error);
  ClientRequest request = parser_->release();
  keepAlive_ = request.keep_alive();
  version_ = request.version();
  headOnly_ = request.method() == http::verb::head;
  enter(State::waiting);
  const auto self = shared_from_this();
  listener_.events_.onClientRequest(self, std::move(request));
  if (state_ == State::waiting) watch();
}

void ClientSession::refuseInput(error_code error) {
  const bool malformed = error.category() == make_error_code(http::error::bad_method).category() &&
                         error != http::error::end_of_stream && error != http::error::partial_message;
  if (!malformed) return close();  // the client is gone
  broken_ = true;
  enter(State::waiting);
  Answer a;
  a.status = error == http::error::body_limit     ? http::status::payload_too_large
             : error == http::error::header_limit ? http::status::request_header_fields_too_large
                                                  : http::status::bad_request;
  a.close = true;
  answer(std::move(a));
}

// While the answer is prepared: has the client gone? Bytes of a next request end the watch; they stay where
// they are until this one is answered.
void ClientSession::watch() {
  if (buffer_.size() > 0) return;
  socket_.async_wait(tcp::socket::wait_read, [this, self = shared_from_this()](error_code error) {
    if (state_ != State::waiting) return;
    char byte = 0;
    const ssize_t n = error ? -1 : ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (n > 0) return;
    if (n < 0 && !error && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) return watch();
    close();
  });
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
  if (keepAlive) {
    response_ = {};
    return read();
  }
  linger();
}

// Danger: closing a socket that holds unread bytes resets it, and the answer may be lost with it. So our side
// ends first, and what still comes is read and dropped for a while.
void ClientSession::linger() {
  enter(State::lingering);
  error_code ignored;
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
  discarded_.resize(4096);
  socket_.async_read_some(asio::buffer(discarded_),
                          [this, self = shared_from_this()](error_code error, std::size_t) {
                            if (state_ == State::closed) return;
                            if (error) return close();
                            const Time begun = since_;
                            linger();
                            since_ = begun;
                          });
}

void ClientSession::closeIdle() {
  // Danger: a request may have come since the last look; it is read, not reset.
  char byte = 0;
  if (::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0) return;
  close();
}

void ClientSession::close() {
  if (state_ == State::closed) return;
  const bool asked = state_ == State::waiting;
  enter(State::closed);
  error_code ignored;
  socket_.close(ignored);
  const ridgeshift::RequestId request = std::exchange(request_, 0);
  const auto self = shared_from_this();
  listener_.sessions_.erase(self);
  if (asked && request != 0) listener_.events_.onClientLeft(request);
}

}  // namespace finchstile
