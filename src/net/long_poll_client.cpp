#include "net/long_poll_client.hpp"

#include <algorithm>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <optional>
#include <sstream>
#include <utility>

#include "base/address.hpp"
#include "net/socket_io.hpp"

namespace finchstile {
namespace {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr double kMaxRetryAfterSeconds = 3600;

Duration retryAfterOf(const http::response<http::string_body>& response) {
  const auto text = response[http::field::retry_after];
  double seconds = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seconds);
  if (error != std::errc{} || end != text.data() + text.size() || !(seconds > 0)) return {};
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::min(seconds, kMaxRetryAfterSeconds)));
}

}  // namespace

// Shared with its pending handlers, which may run after the client has released it.
struct LongPollClient::Connection {
  Connection(boost::asio::io_context& io, const tcp::endpoint& remote, LongPollClient& client)
      : owner(&client), socket(io), endpoint(remote) {}
  LongPollClient* owner;  // null after the client released the connection; the client may be destroyed
  tcp::socket socket;
  const tcp::endpoint endpoint;
  boost::beast::flat_buffer buffer;
  http::request<http::empty_body> request;
  std::string requestText;  // while it is written
  std::optional<http::response_parser<http::string_body>> parser;
  bool connected = false;
};

LongPollClient::LongPollClient(boost::asio::io_context& io, std::size_t maxBodyBytes,
                               LongPollCallbacks& callbacks)
    : io_(io), maxBodyBytes_(maxBodyBytes), callbacks_(callbacks), timer_(io) {}

LongPollClient::~LongPollClient() { stop(); }

void LongPollClient::stop() {
  if (timerArmed_) *timerArmed_ = false;
  timer_.cancel();
  if (const auto connection = std::exchange(connection_, nullptr)) {
    connection->owner = nullptr;
    error_code ignored;
    connection->socket.close(ignored);
  }
}

// A server behind a network partition never sends anything, hence the timer. The handler of an expired timer
// runs even if the timer was restarted or cancelled before the loop reaches the handler; without the flag it
// would fail the next poll.
void LongPollClient::failAt(std::chrono::steady_clock::time_point deadline) {
  if (timerArmed_) *timerArmed_ = false;
  timerArmed_ = std::make_shared<bool>(true);
  timer_.expires_at(deadline);
  timer_.async_wait([this, armed = timerArmed_](error_code cancelled) {
    if (!cancelled && *armed) fail();
  });
}

void LongPollClient::sendPoll(const tcp::endpoint& endpoint, const std::string& target,
                              const Timeouts& timeouts) {
  if (connection_ && connection_->endpoint != endpoint) stop();
  if (!connection_) connection_ = std::make_shared<Connection>(io_, endpoint, *this);
  const auto connection = connection_;
  timeouts_ = timeouts;
  responseDeadline_ = {};
  failAt(std::chrono::steady_clock::now() + timeouts.firstByte);
  connection->request = {http::verb::get, target, 11};
  connection->request.set(http::field::host, addressText(endpoint));
  connection->parser.emplace();
  connection->parser->body_limit(maxBodyBytes_);
  connection->parser->eager(true);  // otherwise the parser would stop after the head
  if (connection->connected) return write(connection);
  connection->socket.async_connect(endpoint, [connection](error_code error) {
    LongPollClient* const owner = connection->owner;
    if (!owner) return;
    if (error) return owner->fail();
    connection->connected = true;
    owner->write(connection);
  });
}

void LongPollClient::write(const std::shared_ptr<Connection>& connection) {
  std::ostringstream text;
  text << connection->request;
  connection->requestText = std::move(text).str();
  error_code ignored;
  connection->socket.non_blocking(true, ignored);
  asyncWriteAll(connection->socket, boost::asio::buffer(connection->requestText),
                [connection](error_code error, std::size_t bytes) {
                  LongPollClient* const owner = connection->owner;
                  if (!owner) return;
                  owner->bytesSent_ += bytes;
                  if (error) return owner->fail();
                  owner->read(connection);
                });
}

void LongPollClient::read(const std::shared_ptr<Connection>& connection) {
  http::async_read_some(connection->socket, connection->buffer, *connection->parser,
                        [connection](error_code error, std::size_t bytes) {
                          LongPollClient* const owner = connection->owner;
                          if (!owner) return;
                          owner->bytesReceived_ += bytes;
                          if (isTransient(error)) return owner->retry(connection);
                          if (error) return owner->fail();
                          if (connection->parser->is_done()) return owner->onComplete(connection);
                          owner->onProgress();
                          owner->read(connection);
                        });
}

void LongPollClient::retry(const std::shared_ptr<Connection>& connection) {
  retryRead(connection->socket, [connection] {
    if (connection->owner) connection->owner->read(connection);
  });
}

// Limits each pause and the response as a whole: a response that arrives byte by byte would otherwise occupy
// the client indefinitely.
void LongPollClient::onProgress() {
  if (timeouts_.pause == Duration{}) return;
  const auto now = std::chrono::steady_clock::now();
  const bool isFirstPiece = responseDeadline_ == std::chrono::steady_clock::time_point{};
  if (isFirstPiece) responseDeadline_ = now + timeouts_.total;
  failAt(std::min(now + timeouts_.pause, responseDeadline_));
}

void LongPollClient::onComplete(const std::shared_ptr<Connection>& connection) {
  *timerArmed_ = false;
  timer_.cancel();
  // Bytes behind the response belong to no poll and must not be read as the response to the next one.
  const bool reusable = connection->parser->keep_alive() && connection->buffer.size() == 0;
  auto message = connection->parser->release();
  LongPollResponse response{message.result_int(), retryAfterOf(message), std::move(message.body())};
  if (!reusable) stop();
  callbacks_.onLongPollResponse(std::move(response));
}

void LongPollClient::fail() {
  stop();
  callbacks_.onLongPollFailed();
}

}  // namespace finchstile
