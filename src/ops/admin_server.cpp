#include "ops/admin_server.hpp"

#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <sstream>
#include <utility>

#include "net/socket_io.hpp"

namespace finchstile::ops {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using std::chrono::milliseconds;

constexpr milliseconds kLingerTime(500);    // for the client to read the response and close
constexpr std::size_t kDiscardBytes = 512;  // read at once while lingering
constexpr unsigned kHttp11 = 11;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kNotFound = 404;

// Any other error means that the client has disconnected.
bool isMalformed(const error_code& error) {
  return error.category() == http::make_error_code(http::error::bad_method).category() &&
         error != http::error::end_of_stream && error != http::error::partial_message;
}

}  // namespace

// A connection. It is in `sessions_` from accept to close(); pending handlers keep it alive until they have
// run.
class AdminServer::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(AdminServer& server, tcp::socket socket)
      : server_(server),
        socket_(std::move(socket)),
        timer_(server.io_),
        buffer_(server.limits_.maxCallBytes) {
    parser_.header_limit(static_cast<std::uint32_t>(server.limits_.maxCallBytes));
    parser_.body_limit(server.limits_.maxCallBytes);
  }

  Sessions::iterator position{};

  void start() {
    closeAfter(server_.limits_.callTimeout);
    read();
  }

  void read() {
    const auto onRead = [this, self = shared_from_this()](error_code error, std::size_t) {
      if (closed_) return;
      if (!error) return onCall();
      if (isTransient(error))
        return retryRead(socket_, [self] {
          if (!self->closed_) self->read();
        });
      if (isMalformed(error)) return respond({kBadRequest, "malformed call\n"}, {});
      close();
    };
    http::async_read(socket_, buffer_, parser_, onRead);
  }

  void close() {
    if (std::exchange(closed_, true)) return;
    error_code ignored;
    timer_.cancel();
    socket_.close(ignored);
    server_.sessions_.erase(position);
  }

 private:
  void onCall() {
    const auto& message = parser_.get();
    const AdminCallResult result =
        parseAdminCall({message.method_string().data(), message.method_string().size()},
                       {message.target().data(), message.target().size()});
    if (result.call) return respond(server_.handler_.onCall(*result.call), {});
    const char* const text = result.status == kNotFound ? "no such call\n" : "not understood\n";
    respond({result.status, text}, result.allow);
  }

  void respond(Reply&& reply, std::string_view allow) {
    response_.result(reply.status);
    response_.version(kHttp11);
    response_.keep_alive(false);
    response_.set(http::field::content_type, "text/plain; version=0.0.4; charset=utf-8");
    if (!allow.empty()) response_.set(http::field::allow, std::string(allow));
    response_.body() = std::move(reply.body);
    response_.prepare_payload();
    const auto onWritten = [this, self = shared_from_this()](error_code error, std::size_t) {
      if (closed_) return;
      if (error) return close();
      linger();
    };
    std::ostringstream text;
    text << response_;
    responseText_ = std::move(text).str();
    error_code ignored;
    socket_.non_blocking(true, ignored);
    asyncWriteAll(socket_, asio::buffer(responseText_), onWritten);
  }

  // Closing a socket with unread bytes resets the connection, and the client may lose the response.
  void linger() {
    error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    closeAfter(kLingerTime);
    discardInput();
  }

  void discardInput() {
    const auto onRead = [this, self = shared_from_this()](error_code error, std::size_t) {
      if (closed_) return;
      if (error) return close();
      discardInput();
    };
    socket_.async_read_some(asio::buffer(discarded_), onRead);
  }

  void closeAfter(milliseconds time) {
    timer_.expires_after(time);
    timer_.async_wait([this, self = shared_from_this()](error_code cancelled) {
      if (!cancelled && !closed_) close();
    });
  }

  AdminServer& server_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  boost::beast::flat_buffer buffer_;
  http::request_parser<http::string_body> parser_;
  http::response<http::string_body> response_;
  std::string responseText_;  // while it is written
  std::array<char, kDiscardBytes> discarded_{};
  bool closed_ = false;
};

AdminServer::AdminServer(asio::io_context& io, const tcp::endpoint& listenAddress, AdminCallHandler& handler,
                         Limits limits)
    : io_(io),
      handler_(handler),
      limits_(limits),
      acceptor_(io),
      connectionAcceptor_(acceptor_, {[this](tcp::socket&& socket) { startSession(std::move(socket)); }}) {
  acceptor_.open(listenAddress.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(listenAddress);
  acceptor_.listen(asio::socket_base::max_listen_connections);
  connectionAcceptor_.start();
}

AdminServer::~AdminServer() { close(); }

void AdminServer::close() {
  error_code ignored;
  acceptor_.close(ignored);
  connectionAcceptor_.stop();
  while (!sessions_.empty()) {
    const auto session = sessions_.front();
    session->close();
  }
}

void AdminServer::startSession(tcp::socket&& socket) {
  if (sessions_.size() >= limits_.maxConnections) {
    const auto oldest = sessions_.front();
    oldest->close();
  }
  const auto session = std::make_shared<Session>(*this, std::move(socket));
  session->position = sessions_.insert(sessions_.end(), session);
  session->start();
}

}  // namespace finchstile::ops
