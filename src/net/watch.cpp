#include "net/watch.hpp"

#include <algorithm>
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
  Connection(boost::asio::io_context& io, const tcp::endpoint& at, Watch& watch)
      : owner(&watch), socket(io), to(at) {}
  Watch* owner;  // null once it has nothing to do with this connection any more; it may be gone then
  tcp::socket socket;
  const tcp::endpoint to;
  boost::beast::flat_buffer buffer;
  http::request<http::empty_body> request;
  std::optional<http::response_parser<http::string_body>> parser;
  bool connected = false;
};

Watch::Watch(boost::asio::io_context& io, std::size_t bodyMost, WatchCallbacks& events)
    : io_(io), bodyMost_(bodyMost), events_(events), timer_(io) {}
Watch::~Watch() { stop(); }

void Watch::stop() {
  if (waiting_) *waiting_ = false;
  timer_.cancel();
  if (const auto connection = std::exchange(connection_, nullptr)) {
    connection->owner = nullptr;
    error_code ignored;
    connection->socket.close(ignored);
  }
}

// Danger: whoever was cut off says nothing, ever. And a timer that has expired is told of even if it is set
// anew or cancelled before the loop comes to it: taken for the next call's, it would end that one.
void Watch::waitUntil(std::chrono::steady_clock::time_point deadline) {
  if (waiting_) *waiting_ = false;
  waiting_ = std::make_shared<bool>(true);
  timer_.expires_at(deadline);
  timer_.async_wait([this, waiting = waiting_](error_code stopped) {
    if (!stopped && *waiting) lost();
  });
}

void Watch::call(const tcp::endpoint& at, const std::string& target, const Patience& patience) {
  if (connection_ && connection_->to != at) stop();
  if (!connection_) connection_ = std::make_shared<Connection>(io_, at, *this);
  const auto connection = connection_;
  patience_ = patience;
  end_ = {};
  waitUntil(std::chrono::steady_clock::now() + patience.begin);
  connection->request = {http::verb::get, target, 11};
  connection->request.set(http::field::host, at.address().to_string() + ":" + std::to_string(at.port()));
  connection->parser.emplace();
  connection->parser->body_limit(bodyMost_);
  connection->parser->eager(true);  // the body is taken in with the head
  if (connection->connected) return write(connection);
  connection->socket.async_connect(at, [connection](error_code error) {
    Watch* const owner = connection->owner;
    if (!owner) return;
    if (error) return owner->lost();
    connection->connected = true;
    owner->write(connection);
  });
}

void Watch::write(const std::shared_ptr<Connection>& connection) {
  http::async_write(connection->socket, connection->request,
                    [connection](error_code error, std::size_t bytes) {
                      Watch* const owner = connection->owner;
                      if (!owner) return;
                      owner->bytesSent_ += bytes;
                      if (error) return owner->lost();
                      owner->read(connection);
                    });
}

void Watch::read(const std::shared_ptr<Connection>& connection) {
  http::async_read_some(connection->socket, connection->buffer, *connection->parser,
                        [connection](error_code error, std::size_t bytes) {
                          Watch* const owner = connection->owner;
                          if (!owner) return;
                          owner->bytesReceived_ += bytes;
                          if (error) return owner->lost();
                          if (connection->parser->is_done()) return owner->answered(connection);
                          owner->moved();
                          owner->read(connection);
                        });
}

// More of an answer has come.
void Watch::moved() {
  if (patience_.pause == Duration{}) return;
  const auto now = std::chrono::steady_clock::now();
  // Danger: one that dribbles would hold the watch for good.
  if (end_ == std::chrono::steady_clock::time_point{}) end_ = now + patience_.all;
  waitUntil(std::min(now + patience_.pause, end_));
}

void Watch::answered(const std::shared_ptr<Connection>& connection) {
  *waiting_ = false;
  timer_.cancel();
  const bool kept = connection->parser->keep_alive();
  auto message = connection->parser->release();
  WatchResponse answer{message.result_int(), retryAfterOf(message), std::move(message.body())};
  if (!kept) stop();
  events_.onWatchResponse(std::move(answer));
}

void Watch::lost() {
  stop();
  events_.onWatchLost();
}

}  // namespace finchstile
