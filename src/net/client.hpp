// The client side: accepts, parses, and answers each request once.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_set>

#include "net/clock.hpp"
#include "ridgeshift/ridgeshift.hpp"

namespace finchstile {

using boost::asio::ip::tcp;
using ClientRequest = boost::beast::http::request<boost::beast::http::string_body>;

struct Answer {
  boost::beast::http::status status = boost::beast::http::status::ok;
  std::string body;
  std::string contentType;
  Duration retryAfter{};  // 0: none
  bool close = false;
};

class ClientSession;

class ClientEvents {
 public:
  virtual ~ClientEvents() = default;
  virtual void onClientRequest(const std::shared_ptr<ClientSession>& session, ClientRequest&& request) = 0;
  virtual void onClientLeft(ridgeshift::RequestId request) = 0;
};

class Listener {
 public:
  // Holds `most` client connections at the most.
  Listener(boost::asio::io_context& io, const Clock& clock, const tcp::endpoint& at, std::size_t most,
           ClientEvents& events);

  tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }
  void start() { accept(); }
  void sweep();  // ends what is slow or idle for too long; to be called about once a second

  void beginDrain() { draining_ = true; }  // answers say `Connection: close` from here on
  void close();                            // takes in what waits in the accept queue, then stops accepting
  bool draining() const { return draining_; }
  std::size_t size() const { return sessions_.size(); }

 private:
  friend class ClientSession;
  void accept();
  void take(tcp::socket socket);
  bool shedOldestIdle();

  boost::asio::io_context& io_;
  const Clock& clock_;
  std::size_t most_;
  ClientEvents& events_;
  tcp::acceptor acceptor_;
  boost::asio::steady_timer pause_;
  std::unordered_set<std::shared_ptr<ClientSession>> sessions_;
  bool draining_ = false;
};

// One client connection. It reads a request only when the one before has been answered.
class ClientSession : public std::enable_shared_from_this<ClientSession> {
 public:
  ClientSession(tcp::socket socket, Listener& listener);

  void start() { read(); }
  // Danger: a client that went away while its answer was prepared has none coming; a second answer would be
  // taken for that of the next request. Both are dropped here.
  void answer(Answer&& answer);
  void setRequest(ridgeshift::RequestId id) { request_ = id; }

 private:
  friend class Listener;
  enum class State { idle, reading, waiting, writing, lingering, closed };

  void read();
  void readBody();
  void parsed(boost::system::error_code error);
  void refuseInput(boost::system::error_code error);
  void watch();
  void written(boost::system::error_code error, bool keepAlive);
  void linger();
  void closeIdle();
  void close();
  void enter(State state);

  Listener& listener_;
  tcp::socket socket_;
  boost::beast::flat_buffer buffer_;
  std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> parser_;
  boost::beast::http::response<boost::beast::http::string_body> response_;
  boost::beast::http::response<boost::beast::http::empty_body> continue_;
  std::string discarded_;
  State state_ = State::idle;
  Time since_{};
  ridgeshift::RequestId request_ = 0;  // 0: none, or the client has already been told of as gone
  unsigned version_ = 11;
  bool keepAlive_ = true, broken_ = false, headOnly_ = false;
};

}  // namespace finchstile
