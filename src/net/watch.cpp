#include "net/watch.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <optional>
#include <utility>

namespace finchstile {
namespace {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr double kRetryAfterMost = 3600;  // seconds

Duration retryAfterOf(const http::response<http::string_body>& answer) {
  const auto text = answer[http::field::retry_after];
  double seconds = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seconds);
  if (error != std::errc{} || end != text.data() + text.size() || !(seconds > 0)) return {};
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::min(seconds, kRetryAfterMost)));
}

}  // namespace

struct Watch::Connection {
  Connection(boost::asio::io_context& io, const tcp::endpoint& at) : socket(io), to(at) {}
  tcp::socket socket;
  const tcp::endpoint to;
  boost::beast::flat_buffer buffer;
  http::request<http::empty_body> request;
  std::optional<http::response_parser<http::string_body>> parser;
  bool connected = false;
};

Watch::Watch(boost::asio::io_context& io, std::size_t bodyMost, WatchEvents& events)
    : io_(io), bodyMost_(bodyMost), events_(events), timer_(io) {}
Watch::~Watch() = default;

void Watch::stop() {
  timer_.cancel();
  if (const auto connection = std::exchange(connection_, nullptr)) {
    error_code ignored;
    connection->socket.close(ignored);
  }
}

void Watch::call(const tcp::endpoint& at, const std::string& target, Duration most) {
  if (connection_ && connection_->to != at) stop();
  if (!connection_) connection_ = std::make_shared<Connection>(io_, at);
  const auto connection = connection_;
  // Danger: whoever was cut off says nothing, ever.
  timer_.expires_after(most);
  timer_.async_wait([this, connection](error_code stopped) {
    if (!stopped && connection == connection_) lost();
  });
  connection->request = {http::verb::get, target, 11};
  connection->request.set(http::field::host, at.address().to_string() + ":" + std::to_string(at.port()));
  connection->parser.emplace();
  connection->parser->body_limit(bodyMost_);
  if (connection->connected) return write(connection);
  connection->socket.async_connect(at, [this, connection](error_code error) {
    if (connection != connection_) return;
    if (error) return lost();
    connection->connected = true;
    write(connection);
  });
}

void Watch::write(const std::shared_ptr<Connection>& connection) {
  http::async_write(connection->socket, connection->request,
                    [this, connection](error_code error, std::size_t bytes) {
                      if (connection != connection_) return;
                      bytesSent_ += bytes;
                      if (error) return lost();
                      read(connection);
                    });
}

void Watch::read(const std::shared_ptr<Connection>& connection) {
  http::async_read(connection->socket, connection->buffer, *connection->parser,
                   [this, connection](error_code error, std::size_t bytes) {
                     if (connection != connection_) return;
                     bytesReceived_ += bytes;
                     if (error) return lost();
                     answered(connection);
                   });
}

void Watch::answered(const std::shared_ptr<Connection>& connection) {
  timer_.cancel();
  const bool kept = connection->parser->keep_alive();
  auto message = connection->parser->release();
  WatchAnswer answer{message.result_int(), retryAfterOf(message), std::move(message.body())};
  if (!kept) stop();
  events_.onWatchAnswer(std::move(answer));
}

void Watch::lost() {
  stop();
  events_.onWatchLost();
}

}  // namespace finchstile
