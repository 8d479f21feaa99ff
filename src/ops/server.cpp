#include "ops/server.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <utility>

namespace finchstile::ops {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using std::chrono::milliseconds;

constexpr milliseconds kAcceptPause(20);  // after a failed accept: out of descriptors, mostly
constexpr milliseconds kLinger(500);      // for the caller to take its answer and close

bool malformed(const error_code& error) {  // else the caller has gone
  return error.category() == http::make_error_code(http::error::bad_method).category() &&
         error != http::error::end_of_stream && error != http::error::partial_message;
}

}  // namespace

// A connection is in `sessions_` from accept to close; its handlers keep it alive a little longer.
class Server::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(Server& server, tcp::socket socket)
      : server_(server), socket_(std::move(socket)), timer_(server.io_), buffer_(server.limits_.bytes) {
    parser_.header_limit(static_cast<std::uint32_t>(server.limits_.bytes));
    parser_.body_limit(server.limits_.bytes);
  }

  Sessions::iterator place{};

  void start() {
    endIn(server_.limits_.silence);
    http::async_read(
        socket_, buffer_, parser_, [this, self = shared_from_this()](error_code error, std::size_t) {
          if (closed_) return;
          if (error) return malformed(error) ? answer({400, "malformed call\n"}, {}) : close();
          const auto& message = parser_.get();
          const CallResult read = readCall({message.method_string().data(), message.method_string().size()},
                                           {message.target().data(), message.target().size()});
          if (read.call) return answer(server_.events_.onCall(*read.call), {});
          answer({read.status, read.status == 404 ? "no such call\n" : "not understood\n"}, read.allow);
        });
  }

  void close() {
    if (std::exchange(closed_, true)) return;
    error_code ignored;
    timer_.cancel();
    socket_.close(ignored);
    server_.sessions_.erase(place);
  }

 private:
  void answer(Reply&& reply, std::string_view allow) {
    response_.result(reply.status);
    response_.version(11);
    response_.keep_alive(false);
    response_.set(http::field::content_type, "text/plain; version=0.0.4; charset=utf-8");
    if (!allow.empty()) response_.set(http::field::allow, std::string(allow));
    response_.body() = std::move(reply.body);
    response_.prepare_payload();
    http::async_write(socket_, response_, [this, self = shared_from_this()](error_code error, std::size_t) {
      if (closed_) return;
      if (error) return close();
      error_code ignored;
      socket_.shutdown(tcp::socket::shutdown_send, ignored);
      // Danger: a close with bytes unread resets the connection, and the answer may be lost with it.
      endIn(kLinger);
      drain();
    });
  }

  void drain() {
    socket_.async_read_some(asio::buffer(dropped_),
                            [this, self = shared_from_this()](error_code error, std::size_t) {
                              if (closed_) return;
                              if (error) return close();
                              drain();
                            });
  }

  void endIn(milliseconds time) {
    timer_.expires_after(time);
    timer_.async_wait([this, self = shared_from_this()](error_code stopped) {
      if (!stopped && !closed_) close();
    });
  }

  Server& server_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  boost::beast::flat_buffer buffer_;
  http::request_parser<http::string_body> parser_;
  http::response<http::string_body> response_;
  char dropped_[512];
  bool closed_ = false;
};

Server::Server(asio::io_context& io, const tcp::endpoint& at, CallEvents& events, Limits limits)
    : io_(io), events_(events), limits_(limits), acceptor_(io), pause_(io) {
  acceptor_.open(at.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(at);
  acceptor_.listen(asio::socket_base::max_listen_connections);
  accept();
}

Server::~Server() { close(); }

void Server::close() {
  error_code ignored;
  acceptor_.close(ignored);
  pause_.cancel();
  while (!sessions_.empty()) {
    const auto session = sessions_.front();
    session->close();
  }
}

void Server::accept() {
  acceptor_.async_accept([this](error_code error, tcp::socket socket) {
    if (error == asio::error::operation_aborted || !acceptor_.is_open()) return;
    if (error) {
      pause_.expires_after(kAcceptPause);
      pause_.async_wait([this](error_code stopped) {
        if (!stopped && acceptor_.is_open()) accept();
      });
      return;
    }
    if (sessions_.size() >= limits_.most) {
      const auto oldest = sessions_.front();
      oldest->close();
    }
    const auto session = std::make_shared<Session>(*this, std::move(socket));
    session->place = sessions_.insert(sessions_.end(), session);
    session->start();
    accept();
  });
}

}  // namespace finchstile::ops
